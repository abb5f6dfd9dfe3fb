"""The deterministic packages import no clock, socket, event loop or I/O library."""

import ast
import pathlib

import pytest

import buckthornshift.core

ALLOWED_MODULES = {
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
CORE_FOLDER = pathlib.Path(buckthornshift.core.__file__).parent
PURE_PACKAGES = ("core", "contracts", "dispatch", "timers")
PURE_MODULES = sorted(
    path for name in PURE_PACKAGES for path in (CORE_FOLDER.parent / name).glob("*.py")
)
# Modules of a running instance must not import heavy libraries, to save memory.
SERVING_MODULES = sorted(
    path
    for name in ("serving", "platform", "dispatch")
    for path in (CORE_FOLDER.parent / name).glob("*.py")
)
HEAVY_LIBRARIES = {
    "blacksheep",
    "grpc",
    "uvicorn",
    "matplotlib",
    "hdrh",
    "h11",
    "click",
}


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


def find_forbidden_imports(source):
    return list_imports(source) - ALLOWED_MODULES - {"..contracts", "..timers"}


@pytest.mark.parametrize("path", PURE_MODULES, ids=lambda path: path.name)
def test_pure_module_imports_only_allowed_modules(path):
    assert not find_forbidden_imports(path.read_text())


def test_forbidden_imports_are_found():
    assert find_forbidden_imports("import asyncio") == {"asyncio"}
    assert find_forbidden_imports("from ..links import send_request") == {"..links"}


@pytest.mark.parametrize("path", SERVING_MODULES, ids=lambda path: path.name)
def test_serving_module_imports_no_heavy_library(path):
    assert not list_imports(path.read_text()) & HEAVY_LIBRARIES


def test_platform_wire_names_appear_only_in_the_platform_package():
    names = ("FencingToken", "LastAcked", "run-start", "TargetCompletionMs")
    leaked_names = [
        (path, name)
        for path in CORE_FOLDER.parent.rglob("*.py")
        if path.parent.name != "platform"
        for name in names
        if name in path.read_text()
    ]
    assert not leaked_names
