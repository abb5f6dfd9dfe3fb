"""Tasks under which servers are lost: suspicion, isolation, giving up."""

import pytest
from owner_harness import OwnerHarness

from buckthornshift.dispatch import (
    DispatchSettings,
    EndedTask,
    EndReason,
    Heartbeat,
    JobEnded,
    JobSpec,
    Outcome,
    PeerMessageReceived,
    Queue,
    RenewalAnswered,
    Resources,
    SendToPeer,
    ServerRecord,
    StartAnswered,
    StartRun,
    StepSpec,
    SubmitJob,
    TimeAdvanced,
    Verdict,
)
from buckthornshift.dispatch._peer_messages import ServerLoss

QUEUE = Queue(name="q", service="s", stretch=2.0, target_ms=60.0, max_attempts=3)
RECEIVER = "h:1"
# Until a server that stopped responding counts as lost: its leases have expired.
LOSS_MS = 1_500.0


class Owner(OwnerHarness):
    """An owner of servers of two slots; some don't answer at all."""

    def __init__(self, n_servers=6):
        self.silent_ids = set()
        records = [
            ServerRecord(
                server_id=f"s{i}",
                service="s",
                capacity=Resources(cpu=2_000, memory_mb=64),
            )
            for i in range(n_servers)
        ]
        # Runs make no progress in these tests.
        settings = DispatchSettings(stalled_after_ms=1e9)
        super().__init__(queues=(QUEUE,), servers=records, settings=settings)
        self.advance_time(200.0)

    def collect_actions(self, actions):
        super().collect_actions(actions)
        for action in actions:
            if isinstance(action, StartRun):
                self.answer_start(action)

    def answer_start(self, action):
        self.feed(
            StartAnswered(
                server_id=action.server.server_id,
                task=action.task,
                run=action.run,
                clock_ms=int(self.now_ms),
            )
        )

    def respond_to_renewal(self, action, running=(), ended=()):
        if action.server.server_id not in self.silent_ids:
            super().respond_to_renewal(action, running, ended)
            return
        self.feed(
            RenewalAnswered(
                server_id=action.server.server_id,
                token=action.token,
                sent_ms=action.sent_ms,
                verdict=Verdict.NOT_SENT,
            )
        )

    def advance_time(self, ms):
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            super().advance_time(min(50.0, end_ms - self.now_ms))
            self.receive(Heartbeat(sent_ms=self.now_ms, echo_ms=self.now_ms))
            self.fail_waiting_renewals()

    def fail_waiting_renewals(self):
        for server in list(self.core.fleet.by_id.values()):
            if server.id in self.silent_ids and server.renewal_sent_ms is not None:
                self.feed(
                    RenewalAnswered(
                        server_id=server.id,
                        token=server.token,
                        sent_ms=server.renewal_sent_ms,
                        verdict=Verdict.NO_ANSWER,
                    )
                )

    def receive(self, message):
        self.feed(PeerMessageReceived(address=RECEIVER, incarnation=2, message=message))

    def submit(self, key=1, n_tasks=1, cpu=1_000):
        step = StepSpec(n_tasks=n_tasks, need=Resources(cpu=cpu), estimate_ms=300.0)
        job = JobSpec(job_id=f"{key:016x}", payload="p", steps=(step,))
        self.receive(SubmitJob(key=key, job=job, queue=QUEUE, left_ms=20_000.0))
        return self.pop(StartRun)

    def poll(self, server_id):
        """Ask a server for its runs at once; it responds."""
        self.core.lease_manager.poll_now(self.core.fleet.by_id[server_id])
        self.feed(TimeAdvanced())

    def complete(self, start):
        """Let the server of a run report that it is done."""
        server = self.core.fleet.by_id[start.server.server_id]
        ended = EndedTask(number=1, task=start.task, run=start.run)
        self.feed(
            RenewalAnswered(
                server_id=server.id,
                token=server.token,
                sent_ms=server.renewal_sent_ms,
                clock_ms=int(self.now_ms),
                ended=(ended,),
            )
        )

    def replace(self, server_id):
        """Let another process answer at the address of a lost server."""
        server = self.core.fleet.by_id[server_id]
        if server.renewal_sent_ms is None:
            self.core.lease_manager.renew_lease(server)
        self.feed(
            RenewalAnswered(
                server_id=server.id,
                token=server.token,
                sent_ms=server.renewal_sent_ms,
                verdict=Verdict.OTHER_INCARNATION,
            )
        )

    def lose(self, *server_ids):
        """Let servers stop answering until they count as lost; return new starts."""
        self.silent_ids.update(server_ids)
        self.advance_time(LOSS_MS)
        return self.pop(StartRun)

    def pop_outcomes(self):
        messages = [action.message for action in self.pop(SendToPeer)]
        return [m for m in messages if isinstance(m, JobEnded)]

    @property
    def history(self):
        return self.core.crash_history


def test_task_that_crashed_two_servers_is_given_up():
    owner = Owner()
    (first,) = owner.submit()
    (second,) = owner.lose(first.server.server_id)
    assert owner.lose(second.server.server_id) == []
    # Either server may only be out of reach, and the task done there.
    assert owner.pop_outcomes() == []
    owner.replace(first.server.server_id)
    assert owner.pop_outcomes() == []
    owner.replace(second.server.server_id)
    (ended,) = owner.pop_outcomes()
    assert (ended.outcome, ended.reason) == (
        Outcome.FAILED,
        EndReason.ATTEMPTS_USED_UP,
    )


def test_resubmission_of_a_job_that_was_given_up_fails_at_once():
    owner = Owner()
    (first,) = owner.submit()
    (second,) = owner.lose(first.server.server_id)
    owner.lose(second.server.server_id)
    owner.replace(first.server.server_id)
    owner.replace(second.server.server_id)
    owner.pop_outcomes()
    assert owner.submit(key=1) == []
    owner.receive(
        SubmitJob(
            key=2,
            job=JobSpec(job_id=f"{1:016x}", payload="p", steps=(StepSpec(),)),
            queue=QUEUE,
            left_ms=5_000.0,
        )
    )
    assert {e.outcome for e in owner.pop_outcomes()} == {Outcome.FAILED}
    assert owner.pop(StartRun) == []


@pytest.mark.parametrize("n_lost", [1, 2])
def test_next_owner_knows_how_many_servers_were_lost(n_lost):
    """The owner is lost between two crashes, and the job is sent to the next one."""
    owner = Owner()
    task = f"{1:016x}.0.0.0"
    for index in range(n_lost):
        owner.receive(
            ServerLoss(
                server_id=f"x{index}", tasks=(task,), age_ms=10.0, is_confirmed=True
            )
        )
    starts = owner.submit()
    if n_lost == 1:
        assert owner.lose(starts[0].server.server_id) == []
        owner.replace(starts[0].server.server_id)
    assert owner.pop_outcomes()[0].outcome is Outcome.FAILED


def test_loss_is_sent_to_the_other_instances():
    owner = Owner()
    (start,) = owner.submit()
    owner.lose(start.server.server_id)
    messages = [action.message for action in owner.pop(SendToPeer)]
    (loss,) = [m for m in messages if isinstance(m, ServerLoss)]
    assert (loss.server_id, loss.tasks) == (start.server.server_id, (start.task,))


def test_suspect_runs_alone():
    """Tasks beside one that crashes servers would lose theirs as well."""
    owner = Owner(n_servers=3)
    first = owner.submit(key=1, n_tasks=2)
    (server_id,) = {start.server.server_id for start in first}
    second = owner.lose(server_id)
    assert len({start.server.server_id for start in second}) == 2
    assert owner.submit(key=2) == []


def test_idle_server_goes_to_other_tasks_first():
    """The job of the suspect is older and more urgent."""
    owner = Owner(n_servers=3)
    (first,) = owner.submit(key=1, cpu=2_000)
    busy = owner.submit(key=2, n_tasks=2, cpu=2_000)
    assert owner.lose(first.server.server_id) == []
    assert owner.submit(key=3, cpu=2_000) == []
    owner.complete(busy[0])
    (start,) = owner.pop(StartRun)
    assert start.task.startswith(f"{3:016x}.")
    owner.complete(busy[1])
    (start,) = owner.pop(StartRun)
    assert start.task == first.task


def test_servers_that_fail_together_do_not_make_tasks_suspect():
    """A rack loses power under several harmless tasks."""
    owner = Owner(n_servers=12)
    starts = owner.submit(n_tasks=10)
    lost_ids = {start.server.server_id for start in starts}
    assert len(lost_ids) == 5
    owner.lose(*lost_ids)
    assert not any(owner.history.is_suspect(start.task) for start in starts)


def test_server_that_responds_again_has_not_crashed():
    """The network was interrupted until the leases had expired."""
    owner = Owner()
    (start,) = owner.submit()
    owner.lose(start.server.server_id)
    assert owner.history.is_suspect(start.task)
    owner.silent_ids.clear()
    owner.advance_time(500.0)
    assert not owner.history.is_suspect(start.task)


def test_tasks_lost_beside_the_cause_are_cleared():
    owner = Owner()
    owner.history.record(owner.core.fleet.by_id["s0"], ["bad", "harmless"])
    owner.history.record(owner.core.fleet.by_id["s1"], ["bad"])
    assert owner.history.is_given_up("bad")
    assert not owner.history.is_suspect("harmless")


def test_completed_task_is_cleared():
    owner = Owner()
    owner.history.record(owner.core.fleet.by_id["s0"], ["bad", "harmless"])
    owner.history.clear_task("harmless")
    assert not owner.history.is_suspect("harmless")
    assert owner.history.is_suspect("bad")


def test_loss_reported_by_an_instance_that_is_cut_off_is_ignored():
    """The server has responded to its present owner meanwhile."""
    owner = Owner()
    (start,) = owner.submit()
    owner.advance_time(500.0)
    loss = ServerLoss(
        server_id=start.server.server_id, tasks=(start.task,), age_ms=400.0
    )
    owner.poll(start.server.server_id)
    owner.receive(loss)
    assert not owner.history.is_suspect(start.task)


def test_task_that_lost_four_servers_to_common_failures_is_not_started_again():
    owner = Owner(n_servers=8)
    task = f"{1:016x}.0.0.0"
    for index in range(4):
        owner.receive(ServerLoss(server_id=f"x{index}", tasks=(task,), age_ms=10.0))
    assert owner.submit() == []
    assert owner.history.is_suspect(task)
