"""A submission that joins an open job brings what its sender knows of former runs."""

from test_failed_without_cause import PEER, QUEUE, TASK, Owner

from buckthornshift.dispatch import (
    JobSpec,
    Outcome,
    Resources,
    StartRun,
    StepSpec,
    SubmitJob,
)
from buckthornshift.dispatch._peer_messages import RunLeft


class WaitingOwner(Owner):
    """An owner with an open job that waits, as its only server isn't usable yet."""

    def __init__(self):
        super().__init__(n_servers=1)
        self.server("s0").usable_after_ms = self.now_ms + 500.0
        step = StepSpec(n_tasks=1, need=Resources(cpu=1_000), estimate_ms=300.0)
        self.job = JobSpec(job_id=f"{1:016x}", payload="p", steps=(step,))
        assert self.submit() == []

    def join(self, left_ms=30_000.0, **fields):
        message = SubmitJob(
            key=2, job=self.job, queue=QUEUE, left_ms=left_ms, is_resent=True, **fields
        )
        self.receive(message, PEER, 3)


# Guards against "not run" for the first caller of a job that has run for a second one.
def test_job_that_a_joined_submission_may_have_run_is_not_answered_as_not_run():
    owner = WaitingOwner()
    owner.server("s0").usable_after_ms = owner.now_ms + 60_000.0
    owner.join()
    owner.advance_time(30_000.0)
    outcomes = {ended.key: ended.outcome for ended in owner.pop_outcomes()}
    assert outcomes == {1: Outcome.FAILED, 2: Outcome.FAILED}


# Guards against a start beside a run that a former owner handed over with a submission
# that joins an open job.
def test_joined_submission_keeps_its_handed_over_run_from_starting_twice():
    owner = WaitingOwner()
    left = RunLeft(task=TASK, server_id="s9")
    owner.join(runs_left=(left,), runs_left_ms=2_000.0)
    owner.advance_time(1_000.0)
    assert owner.pop(StartRun) == []
    owner.advance_time(2_000.0)
    assert len(owner.pop(StartRun)) == 1
