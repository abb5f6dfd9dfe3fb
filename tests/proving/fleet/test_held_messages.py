"""Messages that a partition holds up arrive after it, over connections since replaced.

TCP repeats what was sent during a partition once it is over, also on a connection whose
sender has opened another one meanwhile.
"""

import attrs
import pytest

from buckthornshift.dispatch import DispatchSettings, JobSpec, Resources, StepSpec
from buckthornshift.dispatch._membership import Membership
from buckthornshift.dispatch._message_order import MessageOrder
from buckthornshift.proving.fleet import (
    FleetPlan,
    FleetRule,
    FleetRuleError,
    FleetWorld,
)
from buckthornshift.proving.fleet._callers import FleetCallers

FIRST_CUT_MS = 3_000.0
SETTLE_MS = 5_200.0
N_JOBS_PER_CUT = 12
JOB_INTERVAL_MS = 40.0
TASK_MS = 4_000.0
TIMEOUT_MS = 12_000.0
STEP = StepSpec(need=Resources(cpu=6_800, memory_mb=64), estimate_ms=TASK_MS)


@attrs.frozen(kw_only=True)
class Cuts:
    """Partitions of an owner from all other instances, one after another.

    It still reaches its servers and the store.

    :param cut_ms: how long each lasts.
    :param n_cuts: number of partitions.
    :param is_one_way: whether only what the others send to the owner is held up.
    :param n_owners: how many owners of cells are cut off at the same time.
    :param cell_servers: largest number of servers in a cell.
    """

    cut_ms: float = 1_500.0
    n_cuts: int = 3
    is_one_way: bool = False
    n_owners: int = 1
    cell_servers: int = 256


def run_cuts(cuts, seed):
    """Submit long jobs during each cut to the instances that aren't cut off.

    :raises FleetRuleError: if a rule is violated, such as that a task runs only once at
        a time.
    """
    plan = FleetPlan(
        seed=seed, n_instances=9, n_servers=24, busy_ms=0.0, holds_cut_messages=True
    )
    world = FleetWorld(
        plan=plan, settings=DispatchSettings(cell_servers=cuts.cell_servers)
    )
    callers = FleetCallers(world=world)
    world.start()
    world.clock.run_until(FIRST_CUT_MS)
    for number in range(cuts.n_cuts):
        owners = [i for i in world.instances if i.core.cells.is_owner]
        owners = owners[: cuts.n_owners]
        others = [i for i in world.instances if i not in owners]
        pairs = {(i.name, o.name) for i in others for o in owners}
        if not cuts.is_one_way:
            pairs |= {(o.name, i.name) for i in others for o in owners}
        world.network.faults.one_way_cuts |= pairs
        end_ms = world.clock.now_ms + cuts.cut_ms
        for index in range(N_JOBS_PER_CUT):
            submit(world, callers, others[index % len(others)], (number, index))
            world.clock.run_until(world.clock.now_ms + JOB_INTERVAL_MS)
        world.clock.run_until(end_ms)
        world.network.faults.one_way_cuts -= pairs
        world.clock.run_until(world.clock.now_ms + SETTLE_MS)
    world.clock.run_until(world.clock.now_ms + TIMEOUT_MS)
    world.oracle.check_final_state()
    return world


def submit(world, callers, instance, number):
    cut, index = number
    job_id = f"{1 + cut * N_JOBS_PER_CUT + index:016x}"
    job = JobSpec(job_id=job_id, payload="p", steps=(STEP,))
    queue = world.store.configuration.queues[0]
    callers._on_arrival(instance, instance.key, (job, queue, TIMEOUT_MS, False, 1))


# With each of these seeds a task ran twice, as the owner accepted submissions that had
# been held up.
CASES = [
    (Cuts(cut_ms=1_000.0), 5),
    (Cuts(cut_ms=1_000.0, is_one_way=True), 1),
    (Cuts(cut_ms=1_500.0), 9),
    (Cuts(cut_ms=1_500.0, is_one_way=True), 9),
    (Cuts(cut_ms=1_800.0), 6),
    (Cuts(cut_ms=1_800.0, is_one_way=True), 8),
    (Cuts(cut_ms=2_000.0), 9),
    (Cuts(cut_ms=2_300.0, is_one_way=True), 8),
    (Cuts(cut_ms=1_500.0, cell_servers=6), 7),
    (Cuts(cut_ms=1_800.0, cell_servers=6, n_owners=2), 9),
]


@pytest.mark.parametrize(("cuts", "seed"), CASES)
def test_submission_held_up_by_a_partition_does_not_run_a_task_twice(cuts, seed):
    """Its sender has submitted the job to another owner meanwhile."""
    run_cuts(cuts, seed)


# The new owner loses contact with some instances for a moment, as the interval of
# heartbeats changes at its claim, and then yields while its runs go on.
CASES_OF_LOST_CONTACT = [
    (Cuts(cut_ms=2_300.0, is_one_way=True), 2),
    (Cuts(cut_ms=1_500.0, cell_servers=6, n_owners=2), 6),
]


@pytest.mark.parametrize(("cuts", "seed"), CASES_OF_LOST_CONTACT)
def test_contact_that_only_the_sender_lost_does_not_run_a_task_twice(cuts, seed):
    """An owner kept the job of an instance that had submitted it to another one."""
    run_cuts(cuts, seed)


@pytest.mark.parametrize(("cuts", "seed"), CASES_OF_LOST_CONTACT)
def test_keeping_jobs_after_a_loss_at_the_sender_is_detected(monkeypatch, cuts, seed):
    """Mutation: an owner doesn't react when another instance reports a loss."""
    monkeypatch.setattr(Membership, "_check_own_losses", lambda self, peer: None)
    with pytest.raises(FleetRuleError, match=FleetRule.ONE_RUN):
        run_cuts(cuts, seed)


def test_reading_replaced_connections_runs_a_task_twice(monkeypatch):
    """Mutation: messages are handled in the order in which they arrive."""
    monkeypatch.setattr(MessageOrder, "is_superseded", lambda self, event: False)
    with pytest.raises(FleetRuleError, match=FleetRule.ONE_RUN):
        run_cuts(*CASES[2])
