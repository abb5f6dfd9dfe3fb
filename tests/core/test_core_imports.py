"""The decision cores import no clock, socket, event loop or I/O library."""

import ast
import pathlib

import pytest

import buckthornshift.core

ALLOWED = {
    "attrs",
    "collections",
    "enum",
    "hashlib",
    "heapq",
    "itertools",
    "math",
    "msgspec",
    "typing",
    "uuid",
    "xxhash",
}
CORE = pathlib.Path(buckthornshift.core.__file__).parent
PACKAGES = ("core", "contracts", "dispatch", "timers")
MODULES = sorted(
    path for name in PACKAGES for path in (CORE.parent / name).glob("*.py")
)
# The process of an instance keeps its memory small by what it does not import.
SERVING_MODULES = sorted(
    path
    for name in ("serving", "platform", "dispatch")
    for path in (CORE.parent / name).glob("*.py")
)
HEAVY = {"blacksheep", "grpc", "uvicorn", "matplotlib", "hdrh", "h11", "click"}


def list_imports(source):
    names = set()
    for node in ast.walk(ast.parse(source)):
        match node:
            case ast.Import(names=aliases):
                names.update(alias.name.split(".")[0] for alias in aliases)
            case ast.ImportFrom(level=0, module=module):
                names.add(module.split(".")[0])
            case ast.ImportFrom(level=2, module=module):
                names.add(f"..{module}")
    return names


def find_forbidden(source):
    return list_imports(source) - ALLOWED - {"..contracts", "..timers"}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_imports(path):
    assert not find_forbidden(path.read_text())


def test_the_check_can_fail():
    assert find_forbidden("import asyncio") == {"asyncio"}
    assert find_forbidden("from ..links import call") == {"..links"}


@pytest.mark.parametrize("path", SERVING_MODULES, ids=lambda path: path.name)
def test_serving_imports_only_what_it_serves_with(path):
    assert not list_imports(path.read_text()) & HEAVY


def test_wire_names_stay_in_the_adapter():
    names = ("FencingToken", "LastAcked", "run-start", "TargetCompletionMs")
    leaks = [
        (path, name)
        for path in CORE.parent.rglob("*.py")
        if path.parent.name != "platform"
        for name in names
        if name in path.read_text()
    ]
    assert not leaks
