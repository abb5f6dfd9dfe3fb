"""Partition of the servers into cells with an owner each."""

import random

import pytest
from owner_harness import OwnerHarness

from buckthornshift.dispatch import (
    CellClaim,
    DispatchCore,
    DispatchIdentity,
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
    """An owner of one of two cells; a simulated instance owns the other one."""

    def __init__(self, servers=None, n_servers=8):
        self.is_other_live = False
        super().__init__(
            queues=(QUEUE,),
            servers=make_servers(n_servers) if servers is None else servers,
            settings=SETTINGS,
        )
        self.is_other_live = True
        self.advance_time(500.0)
        (self.cell,) = self.core.cells.list_owned()

    def advance_time(self, ms):
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            super().advance_time(50.0)
            if self.is_other_live:
                self.receive_other_heartbeat()

    def receive_other_heartbeat(self):
        """Receive a heartbeat of the owner of the other cell, which is 1 at first."""
        owned = self.core.cells.list_owned()
        cell = 1 if len(owned) != 1 else 1 - owned[0]
        claim = CellClaim(
            cell=cell, term=10**9, n_owned=100, complete_term=10**9, free_cpu=8_000
        )
        heartbeat = Heartbeat(
            sent_ms=self.now_ms, echo_ms=self.now_ms, n_cells=2, claims=(claim,)
        )
        self.receive(heartbeat)

    def receive(self, message, address=OTHER):
        self.feed(PeerMessageReceived(address=address, incarnation=2, message=message))

    def find_jobs(self, cell, label=""):
        """Yield jobs whose ids hash to a cell."""
        for number in range(1_000):
            job = make_job(number, label)
            if self.core.cells.find_cell(job.job_id) == cell:
                yield job

    def submit(self, job, key=1, **fields):
        """Submit a job from the other instance; return its outcomes."""
        fields = {"cell": self.cell, "n_cells": 2, **fields}
        message = SubmitJob(key=key, job=job, queue=QUEUE, left_ms=LEFT_MS, **fields)
        self.receive(message)
        sent = [a.message for a in self.pop(SendToPeer)]
        return [m for m in sent if isinstance(m, JobEnded) and m.key == key]


def test_long_list_is_split_into_cells_with_one_owner_each():
    owner = Owner()
    cells = owner.core.cells
    assert cells.n_cells == 2
    owned_ids = {s.id for s in cells.fleet.list_servers(owner.cell)}
    assert cells.fleet.count_owned() == len(owned_ids)
    owner.pop(RenewLease)
    owner.advance_time(SETTINGS.clock_refresh_ms)
    renewals = owner.pop(RenewLease)
    assert {action.server.server_id for action in renewals} == owned_ids


def test_short_list_is_one_cell():
    owner = OwnerHarness(servers=make_servers(4), settings=SETTINGS)
    assert owner.core.cells.n_cells == 1
    assert owner.core.cells.list_owned() == [0]


@pytest.mark.parametrize(
    ("power", "link_mbps", "n_cells"),
    [
        (1.3, 1_000.0, 1),
        (0.516, 1_000.0, 4),
        (2.15, 12.5, 2),
        (0.12, 2.0, 16),
        (2.15, 0.0, 1),
    ],
)
def test_cells_fit_processor_and_link_of_an_instance(power, link_mbps, n_cells):
    """176 servers on instances of several sizes; bandwidth 0 is unknown."""
    identity = DispatchIdentity(address="o:1", power=power, link_mbps=link_mbps)
    core = DispatchCore(identity=identity, random_state=random.Random(1))
    core.start(0.0, 0.0)
    core.handle(ServersRead(servers=make_servers(176)), 1.0, 1.0)
    assert core.cells.n_cells == n_cells


def test_temporarily_long_list_is_not_split():
    """When all servers are replaced, the old ones stay listed for some seconds."""
    servers = make_servers(4)
    owner = OwnerHarness(queues=(QUEUE,), servers=servers, settings=SETTINGS)
    owner.feed(ServersRead(servers=make_servers(8)))
    owner.advance_time(SETTINGS.grow_after_ms / 2)
    owner.feed(ServersRead(servers=make_servers(4)))
    owner.advance_time(2 * SETTINGS.grow_after_ms)
    assert owner.core.cells.n_cells == 1
    owner.feed(ServersRead(servers=make_servers(8)))
    owner.advance_time(SETTINGS.grow_after_ms + 200.0)
    assert owner.core.cells.n_cells == 2


def test_job_starts_in_cell_of_its_id():
    owner = Owner()
    for key, job in zip(range(3), owner.find_jobs(owner.cell), strict=False):
        owner.submit(job, key)
    cells = {find_start_cell(owner, action) for action in owner.pop(StartRun)}
    assert cells == {owner.cell}


def find_start_cell(owner, action):
    return owner.core.fleet.by_id[action.server.server_id].cell


def test_job_for_another_cell_is_returned():
    owner = Owner()
    job = next(owner.find_jobs(1 - owner.cell))
    (ended,) = owner.submit(job, cell=1 - owner.cell)
    assert ended.outcome is Outcome.RETURNED
    assert ended.reason is EndReason.NOT_OWNER
    assert owner.pop(StartRun) == []


def test_job_is_returned_if_sender_uses_fewer_cells():
    owner = Owner()
    (ended,) = owner.submit(next(owner.find_jobs(owner.cell)), cell=0, n_cells=1)
    assert ended.outcome is Outcome.RETURNED


class FullOwner(Owner):
    """An owner whose cell is full of long jobs."""

    def __init__(self):
        super().__init__()
        self.jobs = self.find_jobs(self.cell)
        n_slots = len(self.core.fleet.list_servers(self.cell))
        self.next_key = 100
        for _ in range(4 * n_slots):
            self.submit_next()

    def submit_next(self):
        """Submit another job for this cell; return it and its outcomes."""
        self.next_key += 1
        job = next(self.jobs)
        return job, self.submit(job, self.next_key)


def test_full_cell_names_cell_with_capacity():
    owner = FullOwner()
    _, (ended,) = owner.submit_next()
    assert ended.outcome is Outcome.RETURNED
    assert ended.reason is EndReason.CELL_FULL
    assert ended.cell == 1 - owner.cell
    assert not ended.may_have_run


def test_repeated_job_gets_same_cell_though_first_cell_has_capacity():
    """The first submission may be running in the cell that was named."""
    owner = FullOwner()
    job, _ = owner.submit_next()
    for server in owner.core.fleet.list_servers(owner.cell):
        server.free = Resources(cpu=100_000)
    (ended,) = owner.submit(job, key=999)
    assert ended.reason is EndReason.CELL_FULL
    assert ended.cell == 1 - owner.cell


def test_repeated_job_gets_same_cell_as_long_as_first_submission_may_run():
    """The timeout of long jobs exceeds the time for which outcomes are kept."""
    owner = FullOwner()
    job, _ = owner.submit_next()
    owner.advance_time(SETTINGS.ended_kept_ms + 500.0)
    (ended,) = owner.submit(job, key=999)
    assert ended.reason is EndReason.CELL_FULL


def test_job_passed_on_by_a_full_cell_is_refused_by_another():
    owner = FullOwner()
    job = next(owner.find_jobs(1 - owner.cell))
    (ended,) = owner.submit(job, key=999, is_passed_on=True)
    assert ended.outcome is Outcome.NOT_RUN
    assert ended.reason is EndReason.OVERLOADED
    assert ended.retry_after_ms > 0


def test_job_with_label_of_another_cell_is_passed_on():
    servers = make_servers(8)
    owner = Owner(servers=servers)
    labelled = tuple(
        ServerRecord(
            server_id=record.server_id,
            service="s",
            capacity=record.capacity,
            labels=() if find_record_cell(owner, record) == owner.cell else ("rare",),
        )
        for record in servers
    )
    owner.feed(ServersRead(servers=labelled))
    job = next(owner.find_jobs(owner.cell, label="rare"))
    (ended,) = owner.submit(job)
    assert ended.reason is EndReason.CELL_FULL
    assert ended.cell == 1 - owner.cell


def find_record_cell(owner, record):
    return owner.core.fleet.by_id[record.server_id].cell


def test_submitting_instance_sends_job_to_named_cell():
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
    owner.receive(ended)
    (start,) = owner.pop(StartRun)
    assert find_start_cell(owner, start) == owner.cell


def test_claim_ends_when_number_of_cells_grows():
    owner = OwnerHarness(servers=make_servers(4), settings=SETTINGS)
    assert owner.core.cells.list_owned() == [0]
    heartbeat = Heartbeat(sent_ms=1.0, echo_ms=1.0, n_cells=4)
    owner.feed(PeerMessageReceived(address=OTHER, incarnation=2, message=heartbeat))
    assert owner.core.cells.n_cells == 4
    assert owner.core.cells.list_owned() == []
    assert owner.core.fleet.count_owned() == 0


@pytest.mark.parametrize("n_cells", [3, 128, -1])
def test_invalid_number_of_cells_is_ignored(n_cells):
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
    """Return cell and name of each instance that considers itself an owner."""
    return sorted(
        (cell, instance.name)
        for instance in world.instances
        if instance.core is not None
        for cell in instance.core.cells.list_owned()
    )


def test_cells_have_different_owners():
    world = run_world(6, 16, SETTINGS)
    owners = list_owners(world)
    assert [cell for cell, _ in owners] == [0, 1, 2, 3]
    assert len({name for _, name in owners}) == 4


def test_cell_of_lost_owner_goes_to_instance_without_cell():
    world = run_world(6, 16, SETTINGS)
    owners = dict(list_owners(world))
    world.kill_instance(world.find_instance(owners[2]), restart_ms=60_000.0)
    world.clock.run_until(world.clock.now_ms + 1_000.0)
    new_owners = dict(list_owners(world))
    assert {c: n for c, n in new_owners.items() if c != 2} == {
        c: n for c, n in owners.items() if c != 2
    }
    assert new_owners[2] not in owners.values()


def test_restarted_instances_get_cells():
    world = run_world(4, 16, SETTINGS)
    for instance in world.instances[1:]:
        world.kill_instance(instance, restart_ms=2_000.0)
    world.clock.run_until(world.clock.now_ms + 1_900.0)
    assert len(list_owners(world)) == 4
    world.clock.run_until(world.clock.now_ms + 12_000.0)
    owners = list_owners(world)
    assert [cell for cell, _ in owners] == [0, 1, 2, 3]
    assert len({name for _, name in owners}) == 4


def test_all_instances_get_changes_of_the_list():
    world = run_world(5, 16, SETTINGS)
    world.add_server("zone-0", 17)
    world.clock.run_until(world.clock.now_ms + 1_000.0)
    counts = {len(instance.core.fleet.by_id) for instance in world.instances}
    assert counts == {17}


def test_heartbeats_among_many_instances_are_limited():
    """Frequent heartbeats between all of 300 instances are 180,000 a second."""
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
    # Ten a second to the owner, and one every two seconds to all others.
    expected = (n_instances - 1) * (10 + n_instances / 2) * 4
    hub_extra = 3 * 3 * 10 * 4
    assert len(others) <= 1.1 * (expected + hub_extra)


def test_lost_owner_among_many_instances_is_replaced_within_a_second():
    settings = DispatchSettings(few_instances=8, n_hubs=3, idle_beat_ms=2_000.0)
    world = run_world(24, 4, settings)
    owner = world.find_owner()
    world.kill_instance(owner, restart_ms=60_000.0)
    world.clock.run_until(world.clock.now_ms + 1_000.0)
    assert world.find_owner() is not None


def test_many_instances_agree_on_owner_after_restart_of_all():
    settings = DispatchSettings(few_instances=8, n_hubs=3)
    world = run_world(16, 4, settings)
    for instance in world.instances:
        world.kill_instance(instance, restart_ms=random.Random(1).uniform(300.0, 500.0))
    world.clock.run_until(world.clock.now_ms + 3_000.0)
    owners = {instance.core.cells.get(0).owner[0] for instance in world.instances}
    assert owners == {world.find_owner().name}
