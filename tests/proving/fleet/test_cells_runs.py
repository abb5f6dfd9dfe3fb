"""Randomised runs with the servers divided into cells."""

import pytest

from buckthornshift.dispatch._list_follower import ListFollower
from buckthornshift.proving.fleet import FleetRule, run_cells_seed

# Each seed with what was wrong when it first failed.
SEEDS_ONCE_FAILED = {
    3: "a job was refused whose cell held no server, though others did",
    6: "a job waited in a cell whose only server was leaving",
    11: "an owner kept a server whose entry had vanished",
    254: "an owner took the list of a new keeper for a rival's",
    566: "a job was never tried again at an owner that had lost a server for a moment",
    871: "a claim was called complete by an instance that nobody had told the list",
}


@pytest.mark.parametrize("seed", range(12))
def test_mixed_faults_with_cells(seed):
    result = run_cells_seed(seed)
    assert result.violation is None, result.detail


@pytest.mark.parametrize("seed", SEEDS_ONCE_FAILED)
def test_seeds_that_once_failed(seed):
    result = run_cells_seed(seed)
    assert result.violation is None, result.detail


def test_without_a_look_at_the_list_some_task_runs_twice(monkeypatch):
    """An instance that nobody told the list claims a cell."""
    is_known = property(lambda self: False, lambda self, value: None)
    monkeypatch.setattr(ListFollower, "may_lack_servers", is_known, raising=False)
    assert run_cells_seed(871).violation is FleetRule.ONE_RUN
