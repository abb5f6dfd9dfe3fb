"""Runs at servers that are removed from the fleet, where they may go on."""

import pytest
from test_failed_without_cause import OTHER_TASK, TASK, UNLISTED_MS
from test_forged_crash_evidence import CrashObserver

from buckthornshift.dispatch import StartRun, Verdict
from buckthornshift.dispatch._jobs import Run
from buckthornshift.dispatch._peer_messages import RunLeft

# A caller's time in these tests, and the time that a rival takes at most to stop a run
# without a job.
CALLER_WAIT_MS = 30_000.0
TAKEOVER_MS = 1_250.0


class Owner(CrashObserver):
    """An owner from which a rival takes the server of its run."""

    def unlist(self, server_id):
        self.cut_off_ids.add(server_id)
        self.entry = self.records.pop(server_id)
        self.read_list()

    def lose_to_rival(self, n_tasks=1):
        """Start a job and lose its server to a rival; return the starts."""
        starts = self.submit(n_tasks=n_tasks)
        self.advance_time(100.0)
        server_id = starts[0].server.server_id
        self.fail_renewal(server_id, Verdict.FENCED)
        self.unlist(server_id)
        return starts

    def relist(self):
        server_id = self.entry.server_id
        self.records[server_id] = self.entry
        self.cut_off_ids.discard(server_id)
        self.read_list()
        self.advance_time(1_500.0)


# Guards against a task that starts beside its run until the rival's caller has left,
# and against one that is never started again.
def test_task_waits_for_a_run_at_a_removed_server_as_long_as_a_caller_may():
    owner = Owner()
    (start,) = owner.lose_to_rival()
    owner.advance_time(UNLISTED_MS)
    assert start.server.server_id not in owner.core.fleet.by_id
    owner.advance_time(CALLER_WAIT_MS - UNLISTED_MS)
    assert owner.submit(is_resent=True, attempt=2) == []
    owner.advance_time(TAKEOVER_MS + 500.0)
    assert [again.task for again in owner.pop(StartRun)] == [start.task]


# Guards against runs that are kept for ever once their server is gone, also those of
# jobs that are not known here.
def test_runs_at_removed_servers_are_forgotten():
    owner = Owner()
    owner.lose_to_rival()
    # A former owner's run, whose job was never submitted here.
    owner.core.runs.adoption.record_lost(Run(name=OTHER_TASK, server_id="s9"))
    owner.advance_time(UNLISTED_MS)
    lost_run_by_name = owner.core.runs.adoption._lost_run_by_name
    assert len(lost_run_by_name) == 2
    owner.advance_time(60_000.0)
    assert lost_run_by_name == {}


# Guards against a task that waits on though its server has listed its runs again.
@pytest.mark.parametrize("is_done", [False, True])
def test_server_that_returns_tells_whether_the_run_goes_on(is_done):
    owner = Owner()
    (start,) = owner.lose_to_rival()
    owner.advance_time(UNLISTED_MS)
    process = owner.processes[start.server.server_id]
    if is_done:
        process.end(start.task)
    else:
        process.running.clear()
    owner.submit(is_resent=True, attempt=2)
    owner.pop_outcomes()
    owner.relist()
    outcomes = [ended.outcome for ended in owner.pop_outcomes()]
    assert outcomes == (["completed"] if is_done else [])
    assert len(owner.pop(StartRun)) == (not is_done)


# The same for a run that goes on: it is adopted, and not started beside.
def test_run_at_a_server_that_returns_is_adopted():
    owner = Owner()
    (start,) = owner.lose_to_rival()
    owner.advance_time(UNLISTED_MS)
    owner.submit(is_resent=True, attempt=2)
    owner.relist()
    assert owner.pop(StartRun) == []
    _, run = owner.core.runs.find_open(start.task)
    assert run.task is not None


# Guards against a wait for a run whose process is gone: another one answers there.
def test_run_of_a_replaced_server_is_not_waited_for():
    owner = Owner()
    (start,) = owner.submit()
    server_id = start.server.server_id
    owner.advance_time(100.0)
    server = owner.server(server_id)
    owner.fail_renewal(server_id, Verdict.FENCED)
    owner.advance_time(1_000.0)
    owner.fail_renewal(server_id, Verdict.OTHER_INCARNATION)
    owner.unlist(server_id)
    owner.advance_time(300.0)
    assert server.is_replaced
    assert server_id not in owner.core.fleet.by_id
    assert len(owner.submit(is_resent=True, attempt=2)) == 1


# Guards against a start beside a handed-over run, whose leases outlast the server's
# place in the fleet.
def test_handed_over_run_at_a_removed_server_lasts_as_long_as_its_leases():
    owner = Owner()
    owner.unlist("s1")
    owner.advance_time(2_400.0)
    left = RunLeft(task=TASK, server_id="s1")
    assert owner.submit(is_resent=True, runs_left=(left,), runs_left_ms=1_000.0) == []
    owner.advance_time(600.0)
    assert "s1" not in owner.core.fleet.by_id
    assert owner.pop(StartRun) == []
    owner.advance_time(800.0)
    assert len(owner.pop(StartRun)) == 1
