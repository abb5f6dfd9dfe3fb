"""Recovery times after the owner or all instances crash."""

import pytest

from buckthornshift.proving.fleet import FleetPlan, FleetWorld
from buckthornshift.proving.fleet._callers import FleetCallers

CRASH_AT_MS = 5_000.0
# Required by users: the servers of a crashed owner start tasks again within a second,
# and 3 s after all instances restart at least half of the previous load is served.
OWNER_RECOVERY_TARGET_MS = 1_000.0
RESTART_RECOVERY_TARGET_MS = 3_000.0
RESTART_DELAY_MS = 500.0
IN_FLIGHT_MS = 30.0


def run_until_crash(seed, n_zones):
    plan = FleetPlan(seed=seed, n_zones=n_zones, jobs_per_s=20.0, busy_ms=20_000.0)
    world = FleetWorld(plan=plan)
    callers = FleetCallers(world=world)
    world.start()
    callers.start()
    world.clock.run_until(CRASH_AT_MS)
    return world


@pytest.mark.parametrize("seed", range(8))
def test_servers_start_tasks_again_within_a_second_of_an_owner_crash(seed):
    world = run_until_crash(seed, n_zones=1 + seed % 4)
    world.kill_instance(world.find_owner())
    # Commands of the crashed owner that are in flight arrive first.
    world.clock.run_until(CRASH_AT_MS + IN_FLIGHT_MS)
    n_starts = world.oracle.counts.n_starts
    while world.oracle.counts.n_starts == n_starts:
        world.clock.run_until(world.clock.now_ms + 5.0)
        assert world.clock.now_ms - CRASH_AT_MS <= OWNER_RECOVERY_TARGET_MS


@pytest.mark.parametrize("seed", range(8))
def test_half_of_the_load_is_served_within_3_s_of_a_full_restart(seed):
    world = run_until_crash(seed, n_zones=1 + seed % 4)
    n_completed_before = world.oracle.counts.n_completed
    rate_per_ms = n_completed_before / (CRASH_AT_MS - 1_500.0)
    for instance in world.instances:
        world.kill_instance(instance, restart_ms=RESTART_DELAY_MS)
    n_completed_at_crash = world.oracle.counts.n_completed
    world.clock.run_until(CRASH_AT_MS + RESTART_DELAY_MS + RESTART_RECOVERY_TARGET_MS)
    n_completed_after = world.oracle.counts.n_completed - n_completed_at_crash
    assert n_completed_after >= 0.5 * rate_per_ms * RESTART_RECOVERY_TARGET_MS
