"""Requests get an answer, whatever was lost between the instances."""

import math

import pytest
from test_completions import CHAIN
from test_failed_without_cause import PEER, QUEUE, RECEIVER, Owner

from buckthornshift.dispatch import (
    AnswerCaller,
    EndKind,
    JobArrived,
    JobEnded,
    JobSpec,
    Outcome,
    PeerConnected,
    Resources,
    RunningTask,
    SendToPeer,
    StartRun,
    StepSpec,
    SubmitJob,
)
from buckthornshift.dispatch._jobs import TaskPhase


def end_run(owner, start, kind=EndKind.DONE):
    """Let a run end, and its server answer the renewal that waits for that."""
    owner.processes[start.server.server_id].end(start.task, kind)
    owner.answer_waiting_renewals()


def pop_outcomes(owner, address=RECEIVER):
    """Return the outcomes that were sent to an instance."""
    sent = [action for action in owner.pop(SendToPeer) if action.address == address]
    return [a.message for a in sent if isinstance(a.message, JobEnded)]


# Guards against a request that waits until its deadline, as the outcome was lost with
# the owner's connection, while that of the receiving instance has lasted.
def test_outcome_is_sent_again_over_a_new_connection_of_the_owner():
    owner = Owner()
    (start,) = owner.submit()
    end_run(owner, start)
    (lost,) = pop_outcomes(owner)
    owner.feed(PeerConnected(address=RECEIVER))
    assert pop_outcomes(owner) == [lost]


# Guards against a job that runs again, as its outcome was lost with several connections
# one after the other.
def test_job_is_not_run_again_while_its_outcome_is_lost_repeatedly():
    owner = Owner()
    (start,) = owner.submit()
    end_run(owner, start)
    (lost,) = pop_outcomes(owner)
    for _ in range(4):
        owner.advance_time(2_000.0)
        assert owner.submit() == []
        assert pop_outcomes(owner) == [lost]


# Guards against repetitions without use: a heartbeat that was sent later has arrived.
def test_outcome_that_has_arrived_is_not_sent_again():
    owner = Owner()
    (start,) = owner.submit()
    end_run(owner, start)
    assert len(pop_outcomes(owner)) == 1
    owner.advance_time(200.0)
    owner.feed(PeerConnected(address=RECEIVER))
    assert pop_outcomes(owner) == []


class ReturningOwner(Owner):
    """An owner that returns a job once the runs on a server have ended.

    The other server of the job refuses its token, and the runs there are gone.
    """

    def __init__(self):
        super().__init__(n_servers=2)
        self.starts = self.submit(n_tasks=3)
        self.job = self.core.jobs.by_id[f"{1:016x}"]
        fenced_id, self.busy_id = sorted(self.records)
        self.done_task = self.starts[0].task
        end_run(self, self.starts.pop(0))
        self.cut_off_ids.add(self.busy_id)
        self.core.lease_manager.mark_fenced(self.server(fenced_id))
        self.processes[fenced_id].running.clear()

    def submit_from_peer(self):
        message = SubmitJob(key=7, job=self.job.spec, queue=QUEUE, left_ms=30_000.0)
        self.receive(message, PEER, 3)

    def end_all_runs(self):
        """End the runs of the returned job as stopped, later ones as done.

        :returns: the names of the tasks that were started, and the outcomes.
        """
        self.cut_off_ids.clear()
        for start in self.starts:
            self.processes[start.server.server_id].end(start.task, EndKind.STOPPED)
        names, outcomes = [], {RECEIVER: [], PEER: []}
        for _ in range(40):
            self.advance_time(50.0)
            for start in self.pop(StartRun):
                names.append(start.task)
                end_run(self, start)
            for action in self.pop(SendToPeer):
                if isinstance(action.message, JobEnded):
                    outcomes[action.address].append(action.message.outcome)
        return names, outcomes


# Guards against a request that waits until its deadline: its job was to be returned
# after its last run, and another instance has submitted it meanwhile.
def test_job_that_is_submitted_again_before_it_is_returned_answers_both_senders():
    owner = ReturningOwner()
    owner.submit_from_peer()
    _, outcomes = owner.end_all_runs()
    assert outcomes == {RECEIVER: [Outcome.COMPLETED], PEER: [Outcome.COMPLETED]}


# Guards against a task that runs twice: it was done before its job was to be returned.
def test_task_of_a_job_that_is_submitted_again_before_it_is_returned_runs_once():
    owner = ReturningOwner()
    owner.submit_from_peer()
    names, _ = owner.end_all_runs()
    assert names
    assert owner.done_task not in names


# Guards against a job that is refused as not run, though its runs are being stopped.
def test_job_that_is_submitted_again_before_it_is_returned_may_have_run():
    owner = ReturningOwner()
    owner.submit_from_peer()
    (job,) = owner.core.jobs.list_open()
    assert job.may_have_run


# Guards against a refusal that says the job never ran: a former owner has run it, and
# the caller had submitted it to another instance before.
@pytest.mark.parametrize("is_running", [False, True])
def test_job_with_a_run_of_a_former_owner_may_have_run(is_running):
    owner = Owner(n_servers=1)
    server = owner.server("s0")
    server.usable_after_ms = owner.now_ms + 60_000.0
    assert owner.submit(steps=CHAIN) == []
    (job,) = owner.core.jobs.list_open()
    assert not job.may_have_run
    if is_running:
        run = RunningTask(task=job.tasks[0].name, run=1, percent=1.0)
        owner.processes["s0"].running.append(run)
        owner.core.lease_manager.mark_fenced(server)
        owner.advance_time(1_500.0)
        assert job.tasks[0].phase is TaskPhase.PLACED
    else:
        owner.let_former_run_end("s0", job.tasks[0].name)
    assert job.may_have_run


# Guards against a caller without an answer: it submitted its job a second time at the
# same instance, while the first request was open.
def test_both_requests_with_the_same_job_are_answered():
    owner = Owner()
    (start,) = owner.submit()
    (job,) = owner.core.jobs.list_open()
    for caller_ref in (1, 2):
        arrival = JobArrived(
            caller_ref=caller_ref, job=job.spec, queue=QUEUE, timeout_ms=9_000.0
        )
        owner.feed(arrival)
    end_run(owner, start)
    answers = owner.pop(AnswerCaller)
    assert {answer.caller_ref: answer.outcome for answer in answers} == {
        1: Outcome.COMPLETED,
        2: Outcome.COMPLETED,
    }
    assert owner.pop(StartRun) == []


# Guards against requests without an answer: whatever the deadline and the estimate
# are, each request is answered at the latest when its caller stops waiting.
@pytest.mark.parametrize("timeout_ms", [1.0, 500.0, 1e300, math.inf])
@pytest.mark.parametrize("estimate_ms", [-1e308, -1.0, 0.0, 1e300])
def test_request_with_odd_numbers_is_answered(timeout_ms, estimate_ms):
    owner = Owner()
    step = StepSpec(n_tasks=3, need=Resources(cpu=1_000), estimate_ms=estimate_ms)
    job = JobSpec(job_id="0" * 16, payload="p", steps=(step,))
    arrival = JobArrived(caller_ref=1, job=job, queue=QUEUE, timeout_ms=timeout_ms)
    owner.feed(arrival)
    for start in owner.pop(StartRun):
        end_run(owner, start)
    owner.advance_time(1_000.0)
    for start in owner.pop(StartRun):
        end_run(owner, start)
    assert len(owner.pop(AnswerCaller)) == 1
