"""Randomised simulations with the servers divided into cells."""

import pytest

from buckthornshift.proving.fleet import (
    FleetFault,
    run_cells_seed,
    run_held_cells_seed,
)

# The kinds that the regression seeds draw their faults from.
NEWER_KINDS = (
    FleetFault.LINK_FULL,
    FleetFault.TASKS_CRASH_SERVERS,
    FleetFault.SERVER_SHRINKS,
)
FORMER_KINDS = [kind for kind in FleetFault if kind not in NEWER_KINDS]
# Regression seeds, each with the fault that it revealed.
REGRESSION_SEEDS = {
    3: "a job was refused because its cell had no server, though other cells had",
    6: "a job kept waiting in a cell whose only server was draining",
    11: "an owner kept a server whose entry was gone from the store",
    254: "an owner took the list of the new owner of the first cell for a rival's",
    566: "a job was never retried at an owner that had briefly lost a server",
    871: "an instance without the server list considered its claim complete",
}


@pytest.mark.parametrize("seed", range(12))
def test_mixed_faults_with_cells(seed):
    result = run_cells_seed(seed)
    assert result.violation is None, result.detail


# Regression seeds of all kinds of faults.
MIXED_REGRESSION_SEEDS = {
    5030: "an owner that had yielded kept a job that was resubmitted elsewhere",
    9414: "a new owner with an old list started a task on a draining server",
    5034: "a job waited in a cell whose only servers were lost but still listed",
}


@pytest.mark.parametrize("seed", MIXED_REGRESSION_SEEDS)
def test_regression_seed_of_all_kinds(seed):
    result = run_cells_seed(seed)
    assert result.violation is None, result.detail


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_regression_seed(seed):
    result = run_cells_seed(seed, kinds=FORMER_KINDS)
    assert result.violation is None, result.detail


# Instances are cut off from the store in turn while servers drain. With each of these
# seeds an owner that could read the store started a task on a draining server: it got
# the list from an instance that could not, or from one that became the publisher later.
READER_KINDS = [FleetFault.STORE_PARTITION, FleetFault.SERVER_DRAIN]
READER_SEEDS = (20, 23, 59, 74, 130, 184)


@pytest.mark.parametrize("seed", READER_SEEDS)
def test_owner_that_reaches_the_store_knows_which_servers_drain(seed):
    result = run_cells_seed(seed, kinds=2 * READER_KINDS, n_faults=7)
    assert result.violation is None, result.detail


PARTITION_KINDS = [
    FleetFault.INSTANCE_PARTITION,
    FleetFault.ZONE_PARTITION,
    FleetFault.ONE_WAY_PARTITION,
    FleetFault.INSTANCE_CRASH,
    FleetFault.CALLERS_DISCONNECT,
]


@pytest.mark.parametrize("seed", range(4))
def test_partitions_that_hold_messages_up(seed):
    """What a process sent arrives after the partition, also if it ended meanwhile."""
    result = run_held_cells_seed(seed, kinds=PARTITION_KINDS, n_faults=8)
    assert result.violation is None, result.detail
