"""Known faults are passed over under xdist as well, and nothing else is."""

import pathlib
import shutil
import subprocess
import sys

import pytest

TESTS = """
def test_listed_fails(): assert False
def test_listed_passes(): pass
def test_fails(): assert False
def test_passes(): pass
"""
KNOWN_RED = """
Test: tests/serving/test_x.py::test_listed_fails
Test: tests/serving/test_x.py::test_listed_passes
"""


@pytest.mark.parametrize("n_workers", [0, 1])
def test_only_listed_tests_may_fail(tmp_path, n_workers):
    """xdist appends the group to a node id, which then differs from the listed one."""
    folder = tmp_path / "tests" / "serving"
    folder.mkdir(parents=True)
    shutil.copy(pathlib.Path(__file__).parent / "conftest.py", folder.parent)
    (folder / "test_x.py").write_text(TESTS)
    (tmp_path / "KNOWN-RED.txt").write_text(KNOWN_RED)
    (tmp_path / "pytest.ini").write_text("[pytest]\naddopts = --dist loadgroup\n")
    command = [sys.executable, "-m", "pytest", "-q", "-n", str(n_workers)]
    result = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True)
    assert "2 failed, 1 passed, 1 xfailed" in result.stdout
