"""Runs that a rival may continue, when their job gets another owner."""

from test_failed_without_cause import QUEUE
from test_failed_without_cause import Owner as NextOwner
from test_removed_servers import UNLISTED_MS
from test_removed_servers import Owner as RivalledOwner

from buckthornshift.dispatch import StartRun, SubmitJob


# Guards against a task that the next owner starts beside its run at a removed server,
# for which the former owner would have waited.
def test_next_owner_waits_for_a_run_at_a_removed_server_as_long_as_the_former_one():
    owner = RivalledOwner()
    owner.lose_to_rival()
    owner.advance_time(UNLISTED_MS)
    assert owner.submit(is_resent=True, attempt=2) == []
    (job,) = owner.core.jobs.list_open()
    runs_left = owner.core.runs.adoption.list_left(job)
    assert len(runs_left) == 1
    settings = owner.core.context.settings
    next_owner = NextOwner(address="o:3")
    message = SubmitJob(
        key=1,
        job=job.spec,
        queue=QUEUE,
        left_ms=30_000.0,
        is_resent=True,
        runs_left=runs_left,
        # As the receiving instance computes it, for any run that is handed over.
        runs_left_ms=settings.max_lease_duration_ms + settings.call_timeout_ms,
    )
    for server_id in {left.server_id for left in runs_left}:
        next_owner.records.pop(server_id)
    next_owner.read_list()
    next_owner.cut_off_ids.update(left.server_id for left in runs_left)
    next_owner.advance_time(UNLISTED_MS)
    next_owner.receive(message)
    next_owner.advance_time(5_000.0)
    assert owner.core.runs.is_open(job.tasks[0].name)
    assert next_owner.pop(StartRun) == []
