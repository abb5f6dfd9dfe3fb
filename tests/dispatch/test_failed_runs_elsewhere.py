"""Failed runs of a task count as attempts whichever owner has read their ends."""

import attrs
from test_answers import end_run
from test_failed_without_cause import QUEUE, Owner
from test_request_router import QUEUE as RECEIVED_QUEUE
from test_request_router import SUCCESSOR, ReceivingInstance

from buckthornshift.dispatch import (
    EndKind,
    EndReason,
    JobArrived,
    JobSpec,
    Outcome,
    Resources,
    StartRun,
    StepSpec,
)


def fail_run(owner, start):
    """Let a run fail; return new starts."""
    end_run(owner, start, EndKind.FAILED)
    owner.advance_time(100.0)
    return owner.pop(StartRun)


def return_job(owner):
    """Let the owner give its claim up; it returns its job after the last run."""
    (job,) = owner.core.jobs.list_open()
    owner.core.cells.get(0).release_claim()
    owner.core.jobs.return_job(job)


# Guards against a start after a task has failed as often as its queue allows: its last
# run failed while the job was to be returned.
def test_job_whose_attempts_are_used_up_before_it_is_returned_fails():
    owner = Owner(n_servers=2)
    (start,) = owner.submit()
    for _ in range(QUEUE.max_attempts - 1):
        (start,) = fail_run(owner, start)
    return_job(owner)
    assert fail_run(owner, start) == []
    (ended,) = owner.pop_outcomes()
    assert (ended.outcome, ended.reason) == (
        Outcome.FAILED,
        EndReason.ATTEMPTS_USED_UP,
    )


# Guards against a start after a task has failed as often as its queue allows, at two
# owners one after the other.
def test_failed_runs_at_the_former_owner_count_at_the_next_one():
    receiver = ReceivingInstance()
    step = StepSpec(need=Resources(cpu=1_000), estimate_ms=300.0)
    job = JobSpec(job_id="0" * 16, payload="p", steps=(step,))
    queue = attrs.evolve(RECEIVED_QUEUE, max_attempts=2)
    receiver.feed(JobArrived(caller_ref=1, job=job, queue=queue, timeout_ms=30_000.0))
    (submission,) = receiver.pop_submissions()
    former = Owner(n_servers=2)
    former.receive(submission)
    (start,) = former.pop(StartRun)
    (start,) = fail_run(former, start)
    return_job(former)
    end_run(former, start, EndKind.STOPPED)
    (returned,) = former.pop_outcomes()
    receiver.receive(returned)
    receiver.advance_time(2_000.0, address=SUCCESSOR, n_owned=2)
    (submission,) = receiver.pop_submissions()
    successor = Owner(n_servers=2, address=SUCCESSOR)
    successor.receive(submission)
    (start,) = successor.pop(StartRun)
    assert fail_run(successor, start) == []
