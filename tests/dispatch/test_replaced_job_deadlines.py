"""Deadlines of the callers of a returned job that another submission replaces."""

from test_answers import ReturningOwner
from test_failed_without_cause import PEER, QUEUE

from buckthornshift.dispatch import SubmitJob


# Guards against a job that is held to the shorter deadline of the submission that has
# replaced it: the sender of the former one still waits.
def test_replacing_job_waits_for_the_latest_deadline_of_its_senders():
    owner = ReturningOwner()
    latest_ms = owner.job.deadline_ms
    message = SubmitJob(key=7, job=owner.job.spec, queue=QUEUE, left_ms=2_000.0)
    owner.receive(message, PEER, 3)
    (job,) = owner.core.jobs.list_open()
    assert len(job.submissions) == 2
    assert job.deadline_ms == latest_ms
