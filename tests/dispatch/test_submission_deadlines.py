"""A job that is submitted more than once: each caller waits until its own deadline."""

import pytest
from test_failed_without_cause import PEER, QUEUE, RECEIVER, Owner

from buckthornshift.dispatch import (
    DropJob,
    EndReason,
    JobSpec,
    Outcome,
    Resources,
    StartRun,
    StepSpec,
    StopRun,
    SubmitJob,
)

# Both callers stop waiting after these times; the owner answers shortly before.
SHORT_MS = 1_000.0
LONG_MS = 3_000.0


class Receiver(Owner):
    """An owner to which a job is submitted several times.

    :param cpu: need of its task; a server has 2,000.
    """

    def __init__(self, cpu=1_000):
        super().__init__(n_servers=1)
        step = StepSpec(n_tasks=1, need=Resources(cpu=cpu), estimate_ms=300.0)
        self.job = JobSpec(job_id=f"{1:016x}", payload="p", steps=(step,))

    def submit_again(self, key, left_ms, **fields):
        address = fields.pop("address", RECEIVER)
        incarnation = {RECEIVER: 2, PEER: 3}[address]
        message = SubmitJob(
            key=key, job=self.job, queue=QUEUE, left_ms=left_ms, **fields
        )
        self.receive(message, address, incarnation)

    def list_open_keys(self):
        jobs = self.core.jobs.list_open()
        return [s.key for job in jobs for s in job.submissions]

    def pop_answers(self):
        return [(e.key, e.outcome, e.reason) for e in self.pop_outcomes()]


# Guards against a caller that is told of another one's deadline, earlier or later than
# its own, and against the end of a job for which another caller waits.
@pytest.mark.parametrize("is_short_first", [True, False])
def test_callers_are_answered_at_their_own_deadlines(is_short_first):
    owner = Receiver()
    left_ms_by_key = {1: SHORT_MS, 2: LONG_MS}
    for key in (1, 2) if is_short_first else (2, 1):
        owner.submit_again(key, left_ms_by_key[key])
    owner.advance_time(SHORT_MS)
    unknown = (Outcome.FAILED, EndReason.DEADLINE)
    assert owner.pop_answers() == [(1, *unknown)]
    assert owner.list_open_keys() == [2]
    assert owner.pop(StopRun) == []
    owner.advance_time(LONG_MS - SHORT_MS)
    assert owner.pop_answers() == [(2, *unknown)]
    assert len(owner.pop(StopRun)) == 1


# Guards against "completed" for the first caller only, and against a second start.
def test_job_completes_for_the_caller_that_still_waits():
    owner = Receiver()
    owner.submit_again(1, SHORT_MS)
    owner.submit_again(2, LONG_MS)
    owner.advance_time(SHORT_MS)
    owner.pop_outcomes()
    (start,) = owner.pop(StartRun)
    owner.processes["s0"].end(start.task)
    owner.core.lease_manager.poll_now(owner.server("s0"))
    owner.advance_time(100.0)
    assert owner.pop_answers() == [(2, Outcome.COMPLETED, EndReason.NONE)]
    assert owner.pop(StartRun) == []


# Guards against a job that goes on for nobody: the caller that would have waited
# longest has left, or its instance is lost.
@pytest.mark.parametrize("is_lost", [False, True])
def test_job_ends_at_the_latest_deadline_that_is_left(is_lost):
    owner = Receiver()
    owner.submit_again(2, LONG_MS, address=PEER)
    owner.submit_again(1, SHORT_MS)
    owner.advance_time(100.0)
    if is_lost:
        owner.core.jobs._drop_submissions(lambda s: s.address == PEER)
    else:
        owner.receive(DropJob(key=2), PEER, 3)
    (job,) = owner.core.jobs.list_open()
    assert job.deadline_ms <= owner.now_ms + SHORT_MS
    owner.advance_time(SHORT_MS)
    assert [key for key, _, _ in owner.pop_answers()] == [1]
    assert owner.core.jobs.list_open() == []


# Guards against "not run" for a caller whose job starts later for another one.
def test_caller_of_a_job_that_waits_on_for_another_one_is_not_told_not_run():
    owner = Receiver(cpu=2_000)
    owner.submit(key=9, n_tasks=1)
    owner.submit_again(1, SHORT_MS)
    owner.submit_again(2, 2 * LONG_MS)
    (job,) = (j for j in owner.core.jobs.list_open() if j.job_id == owner.job.job_id)
    is_open_for_all = not job.may_have_run and len(job.submissions) == 2
    assert is_open_for_all
    # Whether it may wait for so long is another question.
    job.objective_deadline_ms = owner.now_ms + LONG_MS
    owner.advance_time(SHORT_MS)
    answers = owner.pop_answers()
    assert [a for a in answers if a[0] == 1] == [
        (1, Outcome.FAILED, EndReason.DEADLINE)
    ]


# Guards against a repetition of an answered submission that joins the job again.
def test_repetition_of_an_answered_submission_gets_the_same_answer():
    owner = Receiver()
    owner.submit_again(1, SHORT_MS, attempt=1)
    owner.submit_again(2, LONG_MS, attempt=1)
    owner.advance_time(SHORT_MS)
    first = owner.pop_answers()
    owner.submit_again(1, 30.0, attempt=1)
    assert owner.pop_answers() == first
    assert owner.list_open_keys() == [2]


# Guards against a deadline that a repeated submission keeps or loses for the others.
def test_repeated_submission_keeps_the_deadlines_of_both_callers():
    owner = Receiver()
    owner.submit_again(1, SHORT_MS, attempt=1)
    owner.submit_again(2, LONG_MS, attempt=1)
    owner.advance_time(500.0)
    owner.submit_again(1, SHORT_MS - 500.0, attempt=2)
    owner.submit_again(2, LONG_MS - 500.0, attempt=1)
    owner.advance_time(SHORT_MS - 500.0)
    assert [key for key, _, _ in owner.pop_answers()] == [1]
    owner.advance_time(LONG_MS - SHORT_MS)
    assert [key for key, _, _ in owner.pop_answers()] == [2]
