"""A job that is to be returned, and was replaced by its next submission."""

from test_answers import ReturningOwner

from buckthornshift.dispatch import StartRun, StopRun


# Guards against runs that are stopped without cause: a server of the former job is
# lost to a rival, and the job that has replaced it runs on another one.
def test_lost_server_of_a_replaced_job_stops_no_run_of_the_next_one():
    owner = ReturningOwner()
    owner.submit_from_peer()
    owner.advance_time(500.0)
    (start,) = owner.pop(StartRun)
    assert start.server.server_id != owner.busy_id
    owner.pop(StopRun)
    owner.core.lease_manager.mark_fenced(owner.server(owner.busy_id))
    owner.advance_time(100.0)
    stopped = [(stop.server.server_id, stop.task) for stop in owner.pop(StopRun)]
    assert (start.server.server_id, start.task) not in stopped
