"""Pattern: a deployment that is too large for one owner."""

import random

import pytest
from owner_harness import OwnerHarness

from buckthornshift.dispatch import (
    CellClaim,
    DispatchSettings,
    EndReason,
    Heartbeat,
    JobArrived,
    JobEnded,
    JobSpec,
    Outcome,
    PeerMessageReceived,
    Queue,
    RenewLease,
    Resources,
    SendToPeer,
    ServerRecord,
    ServersRead,
    StartRun,
    StepSpec,
    SubmitJob,
)
from buckthornshift.proving.fleet import FleetPlan, FleetWorld

QUEUE = Queue(name="q", service="s", max_attempts=3, stretch=2.0, target_ms=60.0)
NEED = Resources(cpu=1_000)
OTHER = "p:1"
LEFT_MS = 4_000.0
SETTINGS = DispatchSettings(cell_servers=4, grow_after_ms=1_000.0)


def make_servers(n, cpu=1_000, label=""):
    return tuple(
        ServerRecord(
            server_id=f"s{i}",
            service="s",
            capacity=Resources(cpu=cpu),
            labels=(label,),
        )
        for i in range(n)
    )


def make_job(number, label=""):
    step = StepSpec(n_tasks=1, need=NEED, estimate_ms=100.0, required_label=label)
    return JobSpec(job_id=f"{number:016x}", payload="p", steps=(step,))


class Owner(OwnerHarness):
    """An owner of one of two cells; another instance owns the other one."""

    def __init__(self, servers=None, n_servers=8):
        self.is_heard = False
        super().__init__(
            queues=(QUEUE,),
            servers=make_servers(n_servers) if servers is None else servers,
            settings=SETTINGS,
        )
        self.is_heard = True
        self.advance_time(500.0)
        (self.cell,) = self.core.cells.list_owned()

    def advance_time(self, ms):
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            super().advance_time(50.0)
            if self.is_heard:
                self.hear_other()

    def hear_other(self):
        """Let the owner of the other cell beat; at first it takes cell 1."""
        owned = self.core.cells.list_owned()
        cell = 1 if len(owned) != 1 else 1 - owned[0]
        claim = CellClaim(
            cell=cell, term=10**9, n_owned=100, is_complete=True, free_cpu=8_000
        )
        heartbeat = Heartbeat(
            sent_ms=self.now_ms, echo_ms=self.now_ms, n_cells=2, claims=(claim,)
        )
        self.hear(heartbeat)

    def hear(self, message, address=OTHER):
        self.feed(PeerMessageReceived(address=address, incarnation=2, message=message))

    def find_jobs(self, cell, label=""):
        """Yield jobs whose ids belong to a cell."""
        for number in range(1_000):
            job = make_job(number, label)
            if self.core.cells.find_cell(job.job_id) == cell:
                yield job

    def submit(self, job, key=1, **fields):
        """Let the other instance pass a job on; return what it is told."""
        fields = {"cell": self.cell, "n_cells": 2, **fields}
        message = SubmitJob(key=key, job=job, queue=QUEUE, left_ms=LEFT_MS, **fields)
        self.hear(message)
        sent = [a.message for a in self.pop(SendToPeer)]
        return [m for m in sent if isinstance(m, JobEnded) and m.key == key]


def test_a_long_list_is_divided_and_each_cell_owned_by_one():
    owner = Owner()
    cells = owner.core.cells
    assert cells.n_cells == 2
    owned_ids = {s.id for s in cells.fleet.list_servers(owner.cell)}
    assert cells.fleet.count_owned() == len(owned_ids)
    owner.pop(RenewLease)
    owner.advance_time(SETTINGS.clock_refresh_ms)
    held = owner.pop(RenewLease)
    assert {action.server.server_id for action in held} == owned_ids


def test_a_short_list_is_one_cell():
    owner = OwnerHarness(servers=make_servers(4), settings=SETTINGS)
    assert owner.core.cells.n_cells == 1
    assert owner.core.cells.list_owned() == [0]


def test_a_list_that_is_long_for_a_moment_is_not_divided():
    """Servers that were all replaced at once stay listed for some seconds."""
    owner = OwnerHarness(servers=make_servers(4), settings=SETTINGS)
    owner.feed(ServersRead(servers=make_servers(8)))
    owner.advance_time(SETTINGS.grow_after_ms / 2)
    owner.feed(ServersRead(servers=make_servers(4)))
    owner.advance_time(2 * SETTINGS.grow_after_ms)
    assert owner.core.cells.n_cells == 1
    owner.feed(ServersRead(servers=make_servers(8)))
    owner.advance_time(SETTINGS.grow_after_ms + 200.0)
    assert owner.core.cells.n_cells == 2


def test_a_job_starts_in_the_cell_of_its_id():
    owner = Owner()
    for key, job in zip(range(3), owner.find_jobs(owner.cell), strict=False):
        owner.submit(job, key)
    cells = {hash_of(owner, action) for action in owner.pop(StartRun)}
    assert cells == {owner.cell}


def hash_of(owner, action):
    return owner.core.fleet.by_id[action.server.server_id].cell


def test_a_job_for_another_cell_is_given_back():
    owner = Owner()
    job = next(owner.find_jobs(1 - owner.cell))
    (ended,) = owner.submit(job, cell=1 - owner.cell)
    assert ended.outcome is Outcome.RETURNED
    assert ended.reason is EndReason.NOT_OWNER
    assert owner.pop(StartRun) == []


def test_a_job_of_an_instance_that_knows_fewer_cells_is_given_back():
    owner = Owner()
    (ended,) = owner.submit(next(owner.find_jobs(owner.cell)), cell=0, n_cells=1)
    assert ended.outcome is Outcome.RETURNED


class FullOwner(Owner):
    """One whose cell is full of long jobs."""

    def __init__(self):
        super().__init__()
        self.jobs = self.find_jobs(self.cell)
        n_slots = len(self.core.fleet.list_servers(self.cell))
        self.next_key = 100
        for _ in range(4 * n_slots):
            self.submit_next()

    def submit_next(self):
        """Submit a job for this cell."""
        self.next_key += 1
        job = next(self.jobs)
        return job, self.submit(job, self.next_key)


def test_a_job_without_room_is_told_the_cell_that_has_some():
    owner = FullOwner()
    _, (ended,) = owner.submit_next()
    assert ended.outcome is Outcome.RETURNED
    assert ended.reason is EndReason.CELL_FULL
    assert ended.cell == 1 - owner.cell
    assert not ended.may_have_run


def test_a_repeat_is_told_the_same_cell_though_there_is_room_by_now():
    """The first try may run there."""
    owner = FullOwner()
    job, _ = owner.submit_next()
    for server in owner.core.fleet.list_servers(owner.cell):
        server.free = Resources(cpu=100_000)
    (ended,) = owner.submit(job, key=999)
    assert ended.reason is EndReason.CELL_FULL
    assert ended.cell == 1 - owner.cell


def test_a_repeat_is_told_the_same_cell_as_long_as_the_first_try_may_run():
    """The callers of the longest jobs wait longer than outcomes are remembered."""
    owner = FullOwner()
    job, _ = owner.submit_next()
    owner.advance_time(SETTINGS.ended_kept_ms + 500.0)
    (ended,) = owner.submit(job, key=999)
    assert ended.reason is EndReason.CELL_FULL


def test_a_job_that_another_cell_had_no_room_for_is_refused():
    owner = FullOwner()
    job = next(owner.find_jobs(1 - owner.cell))
    (ended,) = owner.submit(job, key=999, is_passed_on=True)
    assert ended.outcome is Outcome.NOT_RUN
    assert ended.reason is EndReason.OVERLOADED
    assert ended.retry_after_ms > 0


def test_a_label_that_only_another_cell_has_is_looked_for_there():
    servers = make_servers(8)
    owner = Owner(servers=servers)
    labelled = tuple(
        ServerRecord(
            server_id=record.server_id,
            service="s",
            capacity=record.capacity,
            labels=() if hash_of_id(owner, record) == owner.cell else ("rare",),
        )
        for record in servers
    )
    owner.feed(ServersRead(servers=labelled))
    job = next(owner.find_jobs(owner.cell, label="rare"))
    (ended,) = owner.submit(job)
    assert ended.reason is EndReason.CELL_FULL
    assert ended.cell == 1 - owner.cell


def hash_of_id(owner, record):
    return owner.core.fleet.by_id[record.server_id].cell


def test_a_home_passes_a_job_on_to_the_cell_that_it_is_told():
    owner = Owner()
    job = next(owner.find_jobs(1 - owner.cell))
    owner.feed(JobArrived(caller_ref=1, job=job, queue=QUEUE, timeout_ms=2_000.0))
    sent = [a.message for a in owner.pop(SendToPeer)]
    (submitted,) = [m for m in sent if isinstance(m, SubmitJob)]
    assert submitted.cell == 1 - owner.cell
    ended = JobEnded(
        key=submitted.key,
        attempt=submitted.attempt,
        outcome=Outcome.RETURNED,
        reason=EndReason.CELL_FULL,
        cell=owner.cell,
    )
    owner.hear(ended)
    (start,) = owner.pop(StartRun)
    assert hash_of(owner, start) == owner.cell


def test_a_claim_ends_with_the_division_that_it_was_made_under():
    owner = OwnerHarness(servers=make_servers(4), settings=SETTINGS)
    assert owner.core.cells.list_owned() == [0]
    heartbeat = Heartbeat(sent_ms=1.0, echo_ms=1.0, n_cells=4)
    owner.feed(PeerMessageReceived(address=OTHER, incarnation=2, message=heartbeat))
    assert owner.core.cells.n_cells == 4
    assert owner.core.cells.list_owned() == []
    assert owner.core.fleet.count_owned() == 0


@pytest.mark.parametrize("n_cells", [3, 128, -1])
def test_a_number_of_cells_that_cannot_be_is_ignored(n_cells):
    owner = OwnerHarness(servers=make_servers(4), settings=SETTINGS)
    heartbeat = Heartbeat(sent_ms=1.0, echo_ms=1.0, n_cells=n_cells)
    owner.feed(PeerMessageReceived(address=OTHER, incarnation=2, message=heartbeat))
    assert owner.core.cells.n_cells == 1


def run_world(n_instances, n_servers, settings, ms=4_000.0):
    plan = FleetPlan(seed=1, n_instances=n_instances, n_servers=n_servers)
    world = FleetWorld(plan=plan, settings=settings)
    world.start()
    world.clock.run_until(ms)
    return world


def list_owners(world):
    """Return the owner of each cell, as each instance sees it itself."""
    return sorted(
        (cell, instance.name)
        for instance in world.instances
        if instance.core is not None
        for cell in instance.core.cells.list_owned()
    )


def test_cells_are_spread_over_the_instances():
    world = run_world(6, 16, SETTINGS)
    owners = list_owners(world)
    assert [cell for cell, _ in owners] == [0, 1, 2, 3]
    assert len({name for _, name in owners}) == 4


def test_the_cell_of_a_lost_owner_goes_to_one_without_a_cell():
    world = run_world(6, 16, SETTINGS)
    owners = dict(list_owners(world))
    world.kill_instance(world.find_instance(owners[2]), restart_ms=60_000.0)
    world.clock.run_until(world.clock.now_ms + 1_000.0)
    heirs = dict(list_owners(world))
    assert {c: n for c, n in heirs.items() if c != 2} == {
        c: n for c, n in owners.items() if c != 2
    }
    assert heirs[2] not in owners.values()


def test_instances_that_come_back_are_given_cells():
    world = run_world(4, 16, SETTINGS)
    for instance in world.instances[1:]:
        world.kill_instance(instance, restart_ms=2_000.0)
    world.clock.run_until(world.clock.now_ms + 1_900.0)
    assert len(list_owners(world)) == 4
    world.clock.run_until(world.clock.now_ms + 12_000.0)
    owners = list_owners(world)
    assert [cell for cell, _ in owners] == [0, 1, 2, 3]
    assert len({name for _, name in owners}) == 4


def test_everyone_knows_the_list_of_the_first_cell_s_owner():
    world = run_world(5, 16, SETTINGS)
    world.add_server("zone-0", 17)
    world.clock.run_until(world.clock.now_ms + 1_000.0)
    counts = {len(instance.core.fleet.by_id) for instance in world.instances}
    assert counts == {17}


def test_many_instances_do_not_beat_to_all_others():
    """The mesh of 300 instances would be 180,000 messages a second."""
    n_instances = 24
    settings = DispatchSettings(few_instances=8, n_hubs=3, idle_beat_ms=2_000.0)
    world = run_world(n_instances, 4, settings)
    sent = []
    send = world.network.send
    world.network.send = lambda instance, action: (
        sent.append(instance),
        send(instance, action),
    )
    world.clock.run_until(world.clock.now_ms + 4_000.0)
    owner = world.find_owner()
    others = [instance for instance in sent if instance is not owner]
    # Ten a second to the owner, and one each two seconds to all others.
    expected = (n_instances - 1) * (10 + n_instances / 2) * 4
    hub_extra = 3 * 3 * 10 * 4
    assert len(others) <= 1.1 * (expected + hub_extra)


def test_the_owner_among_many_instances_is_replaced_within_a_second():
    settings = DispatchSettings(few_instances=8, n_hubs=3, idle_beat_ms=2_000.0)
    world = run_world(24, 4, settings)
    owner = world.find_owner()
    world.kill_instance(owner, restart_ms=60_000.0)
    world.clock.run_until(world.clock.now_ms + 1_000.0)
    assert world.find_owner() is not None


def test_all_find_each_other_again_after_a_loss_of_all():
    settings = DispatchSettings(few_instances=8, n_hubs=3)
    world = run_world(16, 4, settings)
    for instance in world.instances:
        world.kill_instance(instance, restart_ms=random.Random(1).uniform(300.0, 500.0))
    world.clock.run_until(world.clock.now_ms + 3_000.0)
    owners = {instance.core.cells.get(0).owner[0] for instance in world.instances}
    assert owners == {world.find_owner().name}
