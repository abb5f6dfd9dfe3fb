"""Evacuation of zones: no task starts there, at any owner that can know of it."""

import attrs
import pytest
from owner_harness import WALL_MS, OwnerHarness
from test_cells import Owner as CellOwner
from test_cells import make_servers

from buckthornshift.contracts import MessageCodec
from buckthornshift.dispatch import (
    PEER_MESSAGES,
    AnswerCaller,
    ConfigurationRead,
    EndReason,
    EvacuationsRead,
    EvacuationUpdate,
    Heartbeat,
    JobArrived,
    JobEnded,
    JobSpec,
    LogCode,
    LogLine,
    Outcome,
    Ownership,
    PeerMessageReceived,
    Queue,
    RenewLease,
    Resources,
    RunningTask,
    SendToPeer,
    ServerRecord,
    ServersRead,
    StartAnswered,
    StartRun,
    StepSpec,
    StopRun,
)
from buckthornshift.dispatch._evacuation import EVACUATION_RESEND_MS
from buckthornshift.dispatch._hashing import hash_name
from buckthornshift.dispatch._peer_messages import ConfigurationUpdate

NEED = Resources(cpu=1_000)
QUEUE = Queue(name="q", service="s", max_attempts=3, stretch=2.0, target_ms=60.0)
SERVERS = tuple(
    ServerRecord(
        server_id=f"s{i}",
        service="s",
        zone=f"z{i}",
        capacity=Resources(cpu=2_000),
        labels=(f"only-z{i}",),
    )
    for i in range(3)
)


class Owner(OwnerHarness):
    """An owner of a server in each of three zones, in contact with an instance."""

    def __init__(self, is_peer_live=True):
        self.is_peer_live = is_peer_live
        self.peer_version = 0
        self.last_ref = 0
        super().__init__(queues=(QUEUE,), servers=SERVERS)

    def advance_time(self, ms):
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            super().advance_time(min(50.0, end_ms - self.now_ms))
            if self.is_peer_live:
                self.receive_heartbeat()

    def receive_heartbeat(self):
        self.receive(
            Heartbeat(
                sent_ms=self.now_ms,
                echo_ms=self.now_ms,
                config_version=1,
                evacuation_version=self.peer_version,
            )
        )

    def receive(self, message):
        self.feed(PeerMessageReceived(address="p:1", incarnation=2, message=message))

    def evacuate(self, version, *zones):
        self.feed(EvacuationsRead(version=version, zones=zones))

    def submit(self, n_tasks=1, label=""):
        self.last_ref += 1
        step = StepSpec(
            n_tasks=n_tasks, need=NEED, estimate_ms=100.0, required_label=label
        )
        job = JobSpec(job_id=f"{self.last_ref:016x}", payload="p", steps=(step,))
        self.feed(
            JobArrived(
                caller_ref=self.last_ref, job=job, queue=QUEUE, timeout_ms=2_000.0
            )
        )

    def accept_starts(self, starts):
        for start in starts:
            self.feed(
                StartAnswered(
                    server_id=start.server.server_id,
                    task=start.task,
                    run=start.run,
                    clock_ms=int(self.now_ms),
                )
            )

    def pop_start_zones(self):
        return {start.server.zone for start in self.pop(StartRun)}

    def pop_updates(self):
        messages = [a.message for a in self.pop(SendToPeer)]
        return [m for m in messages if isinstance(m, EvacuationUpdate)]

    def pop_changes(self):
        lines = self.pop(LogLine)
        return [line for line in lines if line.code is LogCode.EVACUATION_CHANGED]

    @property
    def evacuations(self):
        state = self.core.evacuation_tracker.evacuations
        return (state.version, state.zones)


@pytest.fixture
def owner():
    return Owner()


def test_no_task_starts_in_an_evacuated_zone(owner):
    owner.evacuate(5, "z1")
    owner.submit(n_tasks=4)
    assert owner.pop_start_zones() == {"z0", "z2"}
    assert owner.core.fleet.count_owned() == len(SERVERS)


def test_new_and_moved_servers_of_the_zone_get_no_task(owner):
    owner.evacuate(5, "z0", "z1")
    moved = attrs.evolve(SERVERS[2], zone="z1")
    new = attrs.evolve(SERVERS[0], server_id="s3")
    owner.feed(ServersRead(servers=(*SERVERS[:2], moved, new)))
    assert owner.core.fleet.count_slots("s", 1_000) == 0
    owner.feed(ServersRead(servers=SERVERS))
    assert owner.core.fleet.count_slots("s", 1_000) == 2


def test_running_tasks_finish_and_their_leases_are_renewed(owner):
    owner.submit(n_tasks=6)
    starts = owner.pop(StartRun)
    owner.accept_starts(starts)
    owner.evacuate(5, "z1")
    running = [
        RunningTask(task=start.task, run=start.run, percent=50.0)
        for start in starts
        if start.server.zone == "z1"
    ]
    waiting = [r for r in owner.pop(RenewLease) if r.server.zone == "z1"][-1]
    owner.respond_to_renewal(waiting, running=running)
    (renewal,) = [r for r in owner.pop(RenewLease) if r.server.zone == "z1"]
    assert renewal.lease_end_ms is not None
    assert not owner.pop(StopRun)


def test_evacuations_of_two_zones_of_all_and_of_an_unknown_one(owner):
    owner.evacuate(5, "z1", "z2", "nowhere")
    owner.submit(n_tasks=2)
    assert owner.pop_start_zones() == {"z0"}
    owner.evacuate(6, "z0", "z1", "z2")
    owner.submit()
    (answer,) = owner.pop(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, EndReason.INFEASIBLE)
    assert not owner.pop(StartRun)


def test_servers_are_used_again_when_the_evacuation_ends(owner):
    owner.evacuate(5, "z1", "z2")
    owner.submit(n_tasks=3)
    assert owner.pop_start_zones() == {"z0"}
    owner.evacuate(6)
    assert owner.pop_start_zones() <= {"z1", "z2"}
    owner.submit(n_tasks=3)
    assert owner.pop_start_zones() == {"z1", "z2"}


def test_waiting_job_that_only_the_zone_can_run_is_refused_at_once(owner):
    """It would wait for its deadline although no server can run it."""
    owner.submit(n_tasks=2, label="only-z1")
    owner.pop(StartRun)
    owner.submit(label="only-z1")
    assert not owner.pop(AnswerCaller)
    owner.evacuate(5, "z1")
    (answer,) = owner.pop(AnswerCaller)
    assert (answer.caller_ref, answer.outcome) == (2, Outcome.NOT_RUN)
    assert answer.reason is EndReason.INFEASIBLE
    assert answer.retry_after_ms > 0
    owner.evacuate(6)
    assert not owner.pop(StartRun)


def test_waiting_job_that_another_cell_can_run_is_passed_on():
    servers = tuple(
        attrs.evolve(server, zone=f"z{hash_name(server.server_id) % 2}")
        for server in make_servers(8)
    )
    owner = CellOwner(servers)
    jobs = owner.find_jobs(owner.cell)
    for key, job in zip(range(1, 20), jobs, strict=False):
        owner.submit(job, key)
    waiting = [job for job in owner.core.jobs.list_open() if not job.may_have_run]
    assert waiting
    owner.feed(EvacuationsRead(version=5, zones=(f"z{owner.cell}",)))
    sent = [a.message for a in owner.pop(SendToPeer)]
    ended = [m for m in sent if isinstance(m, JobEnded)]
    assert {(m.reason, m.cell) for m in ended} == {
        (EndReason.CELL_FULL, 1 - owner.cell)
    }
    assert len(ended) == len(waiting)
    assert all(job.may_have_run for job in owner.core.jobs.list_open())


def test_admission_does_not_count_the_capacity_of_the_zone(owner):
    """A queue would show the loss only after jobs have been late."""
    fleet = owner.core.fleet
    counts = [fleet.count_slots("s", 1_000)]
    owner.evacuate(5, "z1")
    counts += [
        fleet.count_slots("s", 1_000),
        fleet.count_free_slots("s", 1_000, 0),
        fleet.count_cell_slots("s", 1_000, 0),
        fleet.count_free_cpu(0) // 1_000,
    ]
    assert counts == [6, 4, 4, 4, 4]
    for server in fleet.by_id.values():
        server.ownership = Ownership.CLAIMING
    assert fleet.count_free_slots("s", 1_000, 0) == 4


def test_lower_version_is_ignored_and_only_changes_are_logged(owner):
    owner.evacuate(5, "z1")
    owner.evacuate(4)
    owner.receive(EvacuationUpdate(version=3, zones=("z2",)))
    owner.evacuate(7, "z1")
    assert owner.evacuations == (5, ("z1",))
    (line,) = owner.pop_changes()
    assert line.fields == {"zones": ("z1",), "former": (), "source": "store"}


def test_owner_applies_what_another_instance_knows(owner):
    owner.receive(EvacuationUpdate(version=5, zones=("z0", "z1")))
    owner.submit(n_tasks=2)
    assert owner.pop_start_zones() == {"z2"}


def test_set_is_sent_to_an_instance_with_a_lower_version(owner):
    owner.evacuate(5, "z1")
    owner.receive_heartbeat()
    owner.receive_heartbeat()
    assert owner.pop_updates() == [EvacuationUpdate(version=5, zones=("z1",))]
    owner.evacuate(6)
    owner.receive_heartbeat()
    assert owner.pop_updates() == [EvacuationUpdate(version=6)]
    owner.advance_time(EVACUATION_RESEND_MS + 50.0)
    assert owner.pop_updates() == [EvacuationUpdate(version=6)]
    owner.peer_version = 6
    owner.advance_time(3.0 * EVACUATION_RESEND_MS)
    assert owner.pop_updates() == []


def test_instance_that_read_the_end_of_an_evacuation_tells_those_that_did_not(owner):
    """An instance that started later has read nothing but an empty set.

    It must neither take the older set of others nor leave them with it.
    """
    owner.evacuate(9)
    assert owner.evacuations == (0, ())
    owner.peer_version = 5
    owner.receive_heartbeat()
    owner.receive(EvacuationUpdate(version=5, zones=("z1",)))
    assert owner.pop_updates() == [EvacuationUpdate(version=9)]
    assert owner.evacuations == (9, ())


def test_set_that_was_read_again_unchanged_is_newer_than_that_of_others(owner):
    """History was lost; meanwhile the evacuation had ended and begun again."""
    owner.evacuate(5, "z1")
    owner.evacuate(9, "z1")
    owner.peer_version = 7
    owner.receive(EvacuationUpdate(version=7))
    owner.receive_heartbeat()
    assert owner.evacuations == (9, ("z1",))


def test_nothing_changes_where_no_evacuation_ever_existed():
    """Owners send ten heartbeats a second to each instance, over narrow links."""
    actions = []
    for events in ((), (EvacuationsRead(version=40),)):
        owner = Owner()
        for event in events:
            owner.feed(event)
        owner.submit(n_tasks=7)
        owner.advance_time(2_000.0)
        actions.append(owner.actions)
    assert actions[0] == actions[1]
    codec = MessageCodec(classes=PEER_MESSAGES, omits_defaults=True)
    sent = [a.message for a in actions[1] if isinstance(a, SendToPeer)]
    assert not any(isinstance(m, EvacuationUpdate) for m in sent)
    heartbeats = [codec.encode(m) for m in sent if isinstance(m, Heartbeat)]
    assert heartbeats
    assert not any(b"evacuation" in body for body in heartbeats)


def test_instance_without_the_set_is_no_candidate_while_others_report_one(owner):
    """It started in an outage of the store, so its configuration is from others."""
    owner.peer_version = 5
    owner.receive_heartbeat()
    assert not owner.core.cells.is_eligible()
    owner.receive(EvacuationUpdate(version=5, zones=("z1",)))
    assert owner.core.cells.is_eligible()


def test_instance_sends_the_set_before_the_configuration(owner):
    """An instance that starts in an outage must not own servers in between."""
    owner.evacuate(5, "z1")
    configuration = owner.core.context.configuration
    owner.feed(ConfigurationRead(configuration=configuration))
    owner.pop(SendToPeer)
    owner.receive(Heartbeat(sent_ms=WALL_MS, echo_ms=owner.now_ms))
    sent = [type(a.message) for a in owner.pop(SendToPeer)]
    assert sent.index(EvacuationUpdate) < sent.index(ConfigurationUpdate)
