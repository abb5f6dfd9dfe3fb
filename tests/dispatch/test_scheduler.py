"""Where tasks go: servers that hang, fail or are slow; order under overload."""

import pytest
from owner_harness import OwnerHarness

from buckthornshift.dispatch import (
    EndedTask,
    EndKind,
    JobArrived,
    JobSpec,
    LogCode,
    LogLine,
    Outcome,
    Queue,
    RenewLease,
    Resources,
    RunningTask,
    ServerRecord,
    StartAnswered,
    StartRun,
    StepSpec,
    StopAnswered,
    StopRun,
    Verdict,
)
from buckthornshift.dispatch._actions import AnswerCaller

NEED = Resources(cpu=6_000, memory_mb=64)
URGENT = Queue(name="urgent", service="s", priority=0, max_attempts=3, stretch=1.6)
PATIENT = Queue(name="patient", service="s", priority=2, max_attempts=3, stretch=1.6)


class Owner(OwnerHarness):
    """An owner of like servers, with its answers given by hand."""

    def __init__(self, n_servers=2, slots=2):
        self.n_ended = {}
        capacity = Resources(cpu=NEED.cpu * slots, memory_mb=1_000)
        super().__init__(
            queues=(URGENT, PATIENT),
            servers=(
                ServerRecord(server_id=f"s{i}", service="s", capacity=capacity)
                for i in range(n_servers)
            ),
        )

    def submit(self, number, n_tasks=1, queue=URGENT, run_ms=100.0):
        step = StepSpec(n_tasks=n_tasks, need=NEED, estimate_ms=run_ms)
        job = JobSpec(job_id=f"{number:016x}", payload="p", steps=(step,))
        self.feed(
            JobArrived(caller_ref=number, job=job, queue=queue, timeout_ms=3_000.0)
        )

    def accept(self, start):
        self.feed(
            StartAnswered(
                server_id=start.server.server_id,
                task=start.task,
                run=start.run,
                clock_ms=int(self.now_ms),
            )
        )

    def list_server(self, server_id, running=(), ended=()):
        hold = [a for a in self.pop(RenewLease) if a.server.server_id == server_id][-1]
        self.answer_renewal(hold, running, ended)

    def end(self, start, kind=EndKind.DONE):
        server_id = start.server.server_id
        number = self.n_ended[server_id] = self.n_ended.get(server_id, 0) + 1
        ended = EndedTask(number=number, task=start.task, run=start.run, kind=kind)
        self.list_server(server_id, ended=(ended,))


@pytest.fixture
def owner():
    return Owner()


def test_a_job_is_answered_when_its_last_task_is_done(owner):
    owner.submit(1, n_tasks=2)
    starts = owner.pop(StartRun)
    assert len(starts) == 2
    for start in starts:
        owner.accept(start)
    owner.end(starts[0])
    assert not owner.pop(AnswerCaller)
    owner.end(starts[1])
    (answer,) = owner.pop(AnswerCaller)
    assert answer.outcome is Outcome.COMPLETED


def test_tasks_fill_a_server_before_the_next():
    owner = Owner(n_servers=3, slots=2)
    owner.submit(1, n_tasks=2)
    assert len({start.server.server_id for start in owner.pop(StartRun)}) == 1


def test_a_server_that_hangs_gets_one_task_at_a_time():
    """Pattern: a server stands still on all that it starts, and its health is good."""
    owner = Owner(n_servers=1, slots=3)
    owner.submit(1, n_tasks=1)
    (start,) = owner.pop(StartRun)
    owner.accept(start)
    listed = RunningTask(task=start.task, run=start.run, percent=0.0)
    for _ in range(16):
        owner.advance_time(50.0)
        if any(isinstance(a, RenewLease) for a in owner.actions):
            owner.list_server("s0", running=(listed,))
    assert owner.pop(StopRun)
    owner.end(start, EndKind.STOPPED)
    owner.submit(2, n_tasks=3)
    assert len(owner.pop(StartRun)) == 1


def test_a_suspected_server_is_trusted_again_after_one_good_end():
    owner = Owner(n_servers=1, slots=3)
    owner.core.fleet.by_id["s0"].suspect_until_ms = 1e9
    owner.submit(1, n_tasks=3)
    (trial,) = owner.pop(StartRun)
    owner.accept(trial)
    owner.end(trial)
    assert len(owner.pop(StartRun)) == 2


def test_a_slow_server_is_used_last():
    """Pattern: runs on some servers take several times as long."""
    owner = Owner(n_servers=3, slots=1)
    owner.core.fleet.by_id["s0"].slowness = 6.0
    owner.submit(1, n_tasks=2)
    assert {s.server.server_id for s in owner.pop(StartRun)} == {"s1", "s2"}
    owner.submit(2, n_tasks=1)
    assert {s.server.server_id for s in owner.pop(StartRun)} == {"s0"}


def test_a_failed_task_goes_to_another_server(owner):
    owner.submit(1, n_tasks=1)
    (first,) = owner.pop(StartRun)
    owner.accept(first)
    owner.end(first, EndKind.FAILED)
    (second,) = owner.pop(StartRun)
    assert second.server.server_id != first.server.server_id
    assert second.run > first.run


def test_declared_priority_comes_first_under_overload():
    """Pattern: more comes than there is room for."""
    owner = Owner(n_servers=1, slots=1)
    owner.submit(1)
    (running,) = owner.pop(StartRun)
    owner.accept(running)
    owner.submit(2, queue=PATIENT, run_ms=150.0)
    owner.submit(3, queue=URGENT, run_ms=150.0)
    owner.end(running)
    assert [start.task[:16] for start in owner.pop(StartRun)] == [f"{3:016x}"]


def test_what_can_not_meet_its_objective_is_refused_at_once():
    owner = Owner(n_servers=1, slots=1)
    owner.submit(1, run_ms=1_000.0)
    owner.pop(StartRun)
    owner.submit(2, run_ms=100.0)
    (answer,) = owner.pop(AnswerCaller)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.retry_after_ms >= 200.0
    lines = [a for a in owner.pop(LogLine) if a.code is LogCode.JOB_REFUSED]
    assert "expected wait" in lines[-1].fields["detail"]


def test_an_order_without_an_answer_keeps_its_room(owner):
    owner.submit(1)
    (start,) = owner.pop(StartRun)
    server = owner.core.fleet.by_id[start.server.server_id]
    free_cpu = server.free.cpu
    owner.feed(
        StartAnswered(
            server_id=server.id,
            task=start.task,
            run=start.run,
            verdict=Verdict.NO_ANSWER,
        )
    )
    assert owner.pop(StopRun)
    assert server.free.cpu == free_cpu
    assert not owner.pop(StartRun)


def test_an_overdue_start_is_stopped_and_goes_elsewhere(owner):
    """Pattern: some orders get no answer and are carried out seconds later."""
    owner.submit(1)
    (start,) = owner.pop(StartRun)
    owner.advance_time(300.0)
    (stop,) = owner.pop(StopRun)
    assert (stop.task, stop.run) == (start.task, start.run)
    assert not owner.pop(StartRun)
    owner.pop(RenewLease)
    owner.now_ms += 1.0
    owner.feed(
        StopAnswered(server_id=start.server.server_id, task=stop.task, run=stop.run)
    )
    (second,) = owner.pop(StartRun)
    assert second.server.server_id != start.server.server_id


def test_an_answer_that_waits_in_a_busy_process_is_read_before_it_is_missed(owner):
    """Pattern: an owner that is short of processor time reads answers late."""
    owner.submit(1)
    (start,) = owner.pop(StartRun)
    owner.now_ms += 300.0
    owner.accept(start)
    assert not owner.pop(StopRun)


def test_answers_that_came_too_late_make_the_wait_longer(owner):
    for _ in range(50):
        owner.core.runs.patience.note(2.0)
    owner.submit(1)
    (start,) = owner.pop(StartRun)
    owner.advance_time(200.0)
    assert owner.pop(StopRun)
    owner.accept(start)
    assert owner.core.runs.patience.get_timeout_ms() > 100.0


def test_an_unanswered_start_alone_does_not_make_a_server_suspect(owner):
    owner.submit(1)
    (start,) = owner.pop(StartRun)
    server = owner.core.fleet.by_id[start.server.server_id]
    server.last_response_ms = owner.now_ms + 200.0
    owner.advance_time(300.0)
    assert server.suspect_until_ms == 0.0


def test_a_job_that_is_late_from_the_beginning_waits_for_room():
    """Pattern: tasks take longer than estimated; a calm moment without a free slot."""
    owner = Owner(n_servers=1, slots=1)
    owner.core.duration_estimator._ratio_by_queue["urgent"] = 3.0
    owner.submit(1, run_ms=20.0)
    (running,) = owner.pop(StartRun)
    owner.accept(running)
    owner.submit(2, run_ms=20.0)
    assert not owner.pop(AnswerCaller)
    owner.end(running)
    assert owner.pop(StartRun)
