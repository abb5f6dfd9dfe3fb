"""Expect the tests that KNOWN-RED.txt lists to fail, and no others; share the cores."""

import os
import pathlib
import re

import pytest

TESTS = pathlib.Path(__file__).parent
KNOWN_RED = TESTS.parent / "KNOWN-RED.txt"
# A line of the form "Test: tests/folder/test_file.py::test_name[parameter]".
TEST_LINE = re.compile(r"^\s*Test: (\S+)$", re.M)
MAX_WORKERS = 8
# Tests on real sockets and clocks run one at a time, so that they compete for the
# processor with simulations only.
REAL_TIME_FOLDERS = ("links", "proving/soak", "serving", "standins")
# These start first, so that no worker begins a long test when the others are done.
LONG_TESTS = {
    "test_mutation_violates_invariant",
    "test_resubmission_that_ignores_leases_is_detected",
    "test_run_does_not_depend_on_hash_seed_or_folder",
    "test_several_cells_serve_a_load_that_exceeds_one_owner",
    "test_without_liveness_check_of_sender_a_task_runs_twice",
}


def pytest_xdist_auto_num_workers():
    """Return the number of workers that ``-n auto`` starts; 0 runs in this process."""
    n_cores = len(os.sched_getaffinity(0))
    return min(n_cores, MAX_WORKERS) if n_cores > 1 else 0


# xdist appends the group to the node id, so the id is read before.
@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items):
    known_ids = set(TEST_LINE.findall(KNOWN_RED.read_text()))
    for item in items:
        if item.nodeid in known_ids:
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
        folder = item.path.parent.relative_to(TESTS).as_posix()
        if folder in REAL_TIME_FOLDERS:
            item.add_marker(pytest.mark.xdist_group("real_time"))
    items.sort(key=lambda item: item.originalname not in LONG_TESTS)
