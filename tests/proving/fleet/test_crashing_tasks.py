"""Jobs with a task that crashes every server that starts it."""

import pytest

from buckthornshift.proving.fleet import FleetFault, run_fleet_seed

CRASH_KINDS = [FleetFault.TASKS_CRASH_SERVERS]
OWNER_LOSS_KINDS = [
    FleetFault.TASKS_CRASH_SERVERS,
    FleetFault.OWNER_CRASH,
    FleetFault.TASKS_CRASH_SERVERS,
    FleetFault.OWNER_FREEZE,
    FleetFault.ROLLING_STOP,
]


# Guards against one task that crashes server after server until its deadline.
@pytest.mark.parametrize("seed", (14, 15, 16, 17))
def test_task_that_crashes_servers_is_given_up(seed):
    result = run_fleet_seed(seed, kinds=CRASH_KINDS, n_faults=3)
    assert result.violation is None, result.detail
