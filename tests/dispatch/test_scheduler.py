"""Tests of scheduling: hanging, failing and slow servers, order under overload."""

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
HIGH_PRIORITY = Queue(
    name="urgent", service="s", priority=0, max_attempts=3, stretch=1.6
)
LOW_PRIORITY = Queue(
    name="patient", service="s", priority=2, max_attempts=3, stretch=1.6
)


class Owner(OwnerHarness):
    """An owner of identical servers, whose responses are simulated."""

    def __init__(self, n_servers=2, slots=2):
        self.n_ended = {}
        capacity = Resources(cpu=NEED.cpu * slots, memory_mb=1_000)
        super().__init__(
            queues=(HIGH_PRIORITY, LOW_PRIORITY),
            servers=(
                ServerRecord(server_id=f"s{i}", service="s", capacity=capacity)
                for i in range(n_servers)
            ),
        )

    def submit(self, number, n_tasks=1, queue=HIGH_PRIORITY, run_ms=100.0):
        step = StepSpec(n_tasks=n_tasks, need=NEED, estimate_ms=run_ms)
        job = JobSpec(job_id=f"{number:016x}", payload="p", steps=(step,))
        self.feed(
            JobArrived(caller_ref=number, job=job, queue=queue, timeout_ms=3_000.0)
        )

    def accept_start(self, start):
        self.feed(
            StartAnswered(
                server_id=start.server.server_id,
                task=start.task,
                run=start.run,
                clock_ms=int(self.now_ms),
            )
        )

    def report_server(self, server_id, running=(), ended=()):
        last = [a for a in self.pop(RenewLease) if a.server.server_id == server_id][-1]
        self.respond_to_renewal(last, running, ended)

    def report_end(self, start, kind=EndKind.DONE):
        server_id = start.server.server_id
        number = self.n_ended[server_id] = self.n_ended.get(server_id, 0) + 1
        ended = EndedTask(number=number, task=start.task, run=start.run, kind=kind)
        self.report_server(server_id, ended=(ended,))


@pytest.fixture
def owner():
    return Owner()


def test_job_is_answered_when_its_last_task_is_done(owner):
    owner.submit(1, n_tasks=2)
    starts = owner.pop(StartRun)
    assert len(starts) == 2
    for start in starts:
        owner.accept_start(start)
    owner.report_end(starts[0])
    assert not owner.pop(AnswerCaller)
    owner.report_end(starts[1])
    (answer,) = owner.pop(AnswerCaller)
    assert answer.outcome is Outcome.COMPLETED


def test_tasks_fill_a_server_before_the_next():
    owner = Owner(n_servers=3, slots=2)
    owner.submit(1, n_tasks=2)
    assert len({start.server.server_id for start in owner.pop(StartRun)}) == 1


def test_hanging_server_gets_one_task_at_a_time():
    """A server makes no progress on any task, although its health checks pass."""
    owner = Owner(n_servers=1, slots=3)
    owner.submit(1, n_tasks=1)
    (start,) = owner.pop(StartRun)
    owner.accept_start(start)
    running_task = RunningTask(task=start.task, run=start.run, percent=0.0)
    for _ in range(16):
        owner.advance_time(50.0)
        if any(isinstance(a, RenewLease) for a in owner.actions):
            owner.report_server("s0", running=(running_task,))
    assert owner.pop(StopRun)
    owner.report_end(start, EndKind.STOPPED)
    owner.submit(2, n_tasks=3)
    assert len(owner.pop(StartRun)) == 1


def test_suspect_server_is_trusted_again_after_one_success():
    owner = Owner(n_servers=1, slots=3)
    owner.core.fleet.by_id["s0"].suspect_until_ms = 1e9
    owner.submit(1, n_tasks=3)
    (probe,) = owner.pop(StartRun)
    owner.accept_start(probe)
    owner.report_end(probe)
    assert len(owner.pop(StartRun)) == 2


def test_slow_server_is_used_last():
    """Runs on some servers take several times as long as on the others."""
    owner = Owner(n_servers=3, slots=1)
    owner.core.fleet.by_id["s0"].slowness = 6.0
    owner.submit(1, n_tasks=2)
    assert {s.server.server_id for s in owner.pop(StartRun)} == {"s1", "s2"}
    owner.submit(2, n_tasks=1)
    assert {s.server.server_id for s in owner.pop(StartRun)} == {"s0"}


def test_failed_task_is_retried_on_another_server(owner):
    owner.submit(1, n_tasks=1)
    (first,) = owner.pop(StartRun)
    owner.accept_start(first)
    owner.report_end(first, EndKind.FAILED)
    (second,) = owner.pop(StartRun)
    assert second.server.server_id != first.server.server_id
    assert second.run > first.run


def test_higher_priority_starts_first_under_overload():
    """More jobs arrive than the servers have capacity for."""
    owner = Owner(n_servers=1, slots=1)
    owner.submit(1)
    (running,) = owner.pop(StartRun)
    owner.accept_start(running)
    owner.submit(2, queue=LOW_PRIORITY, run_ms=150.0)
    owner.submit(3, queue=HIGH_PRIORITY, run_ms=150.0)
    owner.report_end(running)
    assert [start.task[:16] for start in owner.pop(StartRun)] == [f"{3:016x}"]


def test_job_that_can_not_meet_its_objective_is_refused_at_once():
    owner = Owner(n_servers=1, slots=1)
    owner.submit(1, run_ms=1_000.0)
    owner.pop(StartRun)
    owner.submit(2, run_ms=100.0)
    (answer,) = owner.pop(AnswerCaller)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.retry_after_ms >= 200.0
    lines = [a for a in owner.pop(LogLine) if a.code is LogCode.JOB_REFUSED]
    assert "expected wait" in lines[-1].fields["detail"]


def test_unanswered_start_keeps_its_resources_reserved(owner):
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


def test_overdue_start_is_stopped_and_retried_elsewhere(owner):
    """Some commands get no response and are executed seconds later."""
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


def test_response_that_waits_in_a_busy_process_is_not_overdue(owner):
    """An owner that is short of CPU reads responses late."""
    owner.submit(1)
    (start,) = owner.pop(StartRun)
    owner.now_ms += 300.0
    owner.accept_start(start)
    assert not owner.pop(StopRun)


def test_late_responses_increase_the_start_timeout(owner):
    for _ in range(50):
        owner.core.runs.start_timeout.add_sample(2.0)
    owner.submit(1)
    (start,) = owner.pop(StartRun)
    owner.advance_time(200.0)
    assert owner.pop(StopRun)
    owner.accept_start(start)
    assert owner.core.runs.start_timeout.get_timeout_ms() > 100.0


def test_unanswered_start_alone_does_not_make_a_server_suspect(owner):
    owner.submit(1)
    (start,) = owner.pop(StartRun)
    server = owner.core.fleet.by_id[start.server.server_id]
    server.last_response_ms = owner.now_ms + 200.0
    owner.advance_time(300.0)
    assert server.suspect_until_ms == 0.0


def test_job_that_is_late_from_the_start_waits_for_capacity():
    """Tasks take longer than estimated, and no slot is free although load is low."""
    owner = Owner(n_servers=1, slots=1)
    owner.core.duration_estimator._ratio_by_queue["urgent"] = 3.0
    owner.submit(1, run_ms=20.0)
    (running,) = owner.pop(StartRun)
    owner.accept_start(running)
    owner.submit(2, run_ms=20.0)
    assert not owner.pop(AnswerCaller)
    owner.report_end(running)
    assert owner.pop(StartRun)
