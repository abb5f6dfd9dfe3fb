"""Failed runs of a job that is to be returned, and is submitted again before."""

from test_answers import ReturningOwner
from test_failed_without_cause import QUEUE

from buckthornshift.dispatch import EndKind, StartRun


# Guards against a start after a task has failed as often as its queue allows: its job
# was submitted again while its last run was to be stopped.
def test_failed_runs_of_a_returned_job_count_after_it_is_submitted_again():
    owner = ReturningOwner()
    (start,) = [s for s in owner.starts if s.server.server_id == owner.busy_id]
    (task,) = [t for t in owner.job.tasks if t.name == start.task]
    task.n_failures = QUEUE.max_attempts - 1
    owner.submit_from_peer()
    owner.cut_off_ids.clear()
    owner.processes[owner.busy_id].end(start.task, EndKind.FAILED)
    owner.advance_time(1_000.0)
    assert start.task not in [again.task for again in owner.pop(StartRun)]
