"""Fixed seeds of mixed faults, and seeds that once showed a fault."""

import pytest

from buckthornshift.proving.fleet import (
    FleetFault,
    run_busy_fleet_seed,
    run_fleet_seed,
)

# Each seed with what was wrong when it first failed.
SEEDS_ONCE_FAILED = {
    4: "a server lost to a rival was not taken for one that may run the task",
    8: "a submission repeated after a silent link was refused as not run",
    9: "renewals that got no answer kept extending the time until a run had lapsed",
    15: "two claims of the same rank",
    36: "a job given back waited for a run that it had no part in",
    20143: "the same, after a freeze of the owner",
    30203: "the same, after cuts",
    4400021: "a stopping instance ended before what came in a pause was read",
    4400059: "the same",
}


@pytest.mark.parametrize("seed", range(16))
def test_mixed_faults(seed):
    result = run_fleet_seed(seed)
    assert result.violation is None, result.detail


@pytest.mark.parametrize("seed", range(8))
def test_mixed_faults_on_busy_instances(seed):
    result = run_busy_fleet_seed(seed)
    assert result.violation is None, result.detail


@pytest.mark.parametrize("kind", list(FleetFault))
def test_one_kind_of_fault(kind):
    result = run_fleet_seed(1_000, kinds=[kind], n_faults=4)
    assert result.violation is None, result.detail


@pytest.mark.parametrize("seed", SEEDS_ONCE_FAILED, ids=str)
def test_seed_that_once_failed(seed):
    result = run_fleet_seed(seed)
    assert result.violation is None, result.detail


# Losses of owners while entries of servers vanish for a while.
LAPSE_KINDS = [
    FleetFault.ENTRIES_LAPSE,
    FleetFault.OWNER_CRASH,
    FleetFault.ALL_INSTANCES_CRASH,
    FleetFault.ENTRIES_LAPSE,
    FleetFault.OWNER_FREEZE,
]
LAPSE_SEEDS = {
    14: "a new owner did not know a server that the former one used",
    82: "the same",
    167: "the same",
    264: "the same",
    184: "an owner that stood still worked off what came meanwhile",
    203: "an owner did not share servers whose entries had vanished",
}


@pytest.mark.parametrize("seed", LAPSE_SEEDS, ids=str)
def test_owner_lost_while_entries_vanish(seed):
    result = run_fleet_seed(seed, kinds=LAPSE_KINDS, n_faults=6)
    assert result.violation is None, result.detail


def test_a_seed_repeats_exactly():
    assert run_fleet_seed(5) == run_fleet_seed(5)
