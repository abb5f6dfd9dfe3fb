"""How soon work goes on after the owner, or everything, is lost."""

import pytest

from buckthornshift.proving.fleet import FleetPlan, FleetWorld
from buckthornshift.proving.fleet._callers import FleetCallers

LOST_AT_MS = 5_000.0
# The users' targets: servers of a lost owner start tasks again within a second; half of
# the load before is served within 3 s of the machines' return.
OWNER_TARGET_MS = 1_000.0
RETURN_TARGET_MS = 3_000.0
RESTART_MS = 500.0
UNDER_WAY_MS = 30.0


def run_until_loss(seed, n_zones):
    plan = FleetPlan(seed=seed, n_zones=n_zones, jobs_per_s=20.0, busy_ms=20_000.0)
    world = FleetWorld(plan=plan)
    callers = FleetCallers(world=world)
    world.start()
    callers.start()
    world.clock.run_until(LOST_AT_MS)
    return world


@pytest.mark.parametrize("seed", range(8))
def test_servers_of_a_lost_owner_start_tasks_again_within_a_second(seed):
    world = run_until_loss(seed, n_zones=1 + seed % 4)
    world.kill_instance(world.find_owner())
    # Orders of the lost owner that were under way land first.
    world.clock.run_until(LOST_AT_MS + UNDER_WAY_MS)
    n_starts = world.oracle.counts.n_starts
    while world.oracle.counts.n_starts == n_starts:
        world.clock.run_until(world.clock.now_ms + 5.0)
        assert world.clock.now_ms - LOST_AT_MS <= OWNER_TARGET_MS


@pytest.mark.parametrize("seed", range(8))
def test_half_of_the_load_is_served_within_3_s_of_the_return(seed):
    world = run_until_loss(seed, n_zones=1 + seed % 4)
    n_before = world.oracle.counts.n_completed
    per_ms = n_before / (LOST_AT_MS - 1_500.0)
    for instance in world.instances:
        world.kill_instance(instance, restart_ms=RESTART_MS)
    n_lost = world.oracle.counts.n_completed
    world.clock.run_until(LOST_AT_MS + RESTART_MS + RETURN_TARGET_MS)
    n_served = world.oracle.counts.n_completed - n_lost
    assert n_served >= 0.5 * per_ms * RETURN_TARGET_MS
