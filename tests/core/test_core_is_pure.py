"""The decision core imports no clock, socket, event loop or I/O library."""

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
MODULES = sorted([*CORE.glob("*.py"), *(CORE.parent / "contracts").glob("*.py")])


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
