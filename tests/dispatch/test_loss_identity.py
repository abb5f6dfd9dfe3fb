"""Losses hold for the process and the task that they were observed for."""

import pytest
from test_failed_without_cause import (
    OTHER_TASK,
    PEER,
    RESTARTED_MS,
    STARTED_MS,
    TASK,
    Owner,
)
from test_forged_crash_evidence import CrashObserver

from buckthornshift.dispatch import PeerConnected
from buckthornshift.dispatch._peer_messages import ServerLoss, ServerLossRetracted


# Guards against one crash that counts twice, in whatever order and after whatever
# silence its observers report it; a former version reports no start.
@pytest.mark.parametrize("age_ms", [10.0, 900.0, 3_000.0])
@pytest.mark.parametrize("first_ms", [0, STARTED_MS])
def test_one_crash_gives_no_task_up_whoever_knows_the_start(first_ms, age_ms):
    owner = CrashObserver()
    owner.receive_crash("x0", started_ms=first_ms, age_ms=age_ms)
    owner.receive_crash("x0", started_ms=STARTED_MS - first_ms)
    assert owner.history.is_suspect(TASK)
    assert not owner.history.is_given_up(TASK)


# Guards against a task that crashes a server again and again, as a report without the
# start hides one with it, or one process the next.
@pytest.mark.parametrize("unknown_id", ["x0", "x1"])
def test_second_crash_gives_a_task_up_beside_a_report_without_the_start(unknown_id):
    owner = CrashObserver()
    owner.receive_crash(unknown_id)
    owner.receive_crash("x0", started_ms=STARTED_MS)
    if unknown_id == "x0":
        assert not owner.history.is_given_up(TASK)
        owner.receive_crash("x0", started_ms=RESTARTED_MS)
    assert owner.history.is_given_up(TASK)


# Guards against a crash that is taken for a cut, as only the observer without the start
# saw the connection close.
def test_crash_counts_if_only_the_report_without_the_start_shows_it():
    owner = CrashObserver()
    owner.receive(ServerLoss(server_id="x0", started_ms=STARTED_MS, tasks=(TASK,)))
    owner.receive_crash("x0")
    owner.receive_crash("x1")
    assert owner.history.is_given_up(TASK)


# Guards against losses that count as common, as one server is counted under two keys.
def test_two_servers_reported_twice_have_no_common_cause():
    owner = CrashObserver()
    for server_id in ("x0", "x1"):
        owner.receive_crash(server_id, task=OTHER_TASK)
        owner.receive_crash(server_id, started_ms=STARTED_MS)
    assert owner.history.is_given_up(TASK)


# Guards against a wrong suspicion that outlasts the response of the server, as it was
# reported without its start as well.
@pytest.mark.parametrize("first_ms", [0, STARTED_MS])
def test_response_of_the_process_retracts_the_loss_without_its_start(first_ms):
    owner = CrashObserver()
    for started_ms in (first_ms, STARTED_MS - first_ms):
        owner.receive_crash("x0", started_ms=started_ms, age_ms=1_500.0)
    owner.advance_time(1_000.0)
    retraction = ServerLossRetracted(server_id="x0", started_ms=STARTED_MS, age_ms=10.0)
    owner.receive(retraction)
    assert not owner.history.is_suspect(TASK)


# Guards against a crash that is retracted by the response of a later process.
def test_response_of_a_later_process_retracts_no_earlier_loss_without_the_start():
    owner = CrashObserver()
    owner.receive_crash("x0", age_ms=5_000.0)
    loss = ServerLoss(
        server_id="x0", started_ms=RESTARTED_MS, tasks=(TASK,), age_ms=1_500.0
    )
    owner.receive(loss)
    owner.advance_time(1_000.0)
    retraction = ServerLossRetracted(
        server_id="x0", started_ms=RESTARTED_MS, age_ms=10.0
    )
    owner.receive(retraction)
    assert owner.history.list_lost_servers(TASK) == ["x0"]
    assert not owner.history.is_suspect(OTHER_TASK)


def report_cut_and_crash(owner, is_crash_first, server_id="x0", cut_age_ms=800.0):
    """Report a server lost in a cut under one task, and crashed under another one."""
    cut = ServerLoss(server_id=server_id, tasks=(TASK,), age_ms=cut_age_ms)
    if not is_crash_first:
        owner.receive(cut)
    owner.receive_crash(server_id, task=OTHER_TASK)
    if is_crash_first:
        owner.receive(cut)


def list_crashes(owner, task):
    return [loss["is_crash"] for loss in owner.history.describe_losses(task)]


# Guards against a crash that counts for a task which was lost in a cut before, at this
# instance and at those that it tells.
@pytest.mark.parametrize("is_crash_first", [True, False])
def test_crash_counts_for_its_own_task_at_every_instance(is_crash_first):
    owner, other = CrashObserver(), Owner(n_servers=0, address=PEER)
    report_cut_and_crash(owner, is_crash_first)
    owner.feed(PeerConnected(address=PEER))
    owner.pass_messages_to(other)
    for instance in (owner, other):
        assert list_crashes(instance, TASK) == [False]
        assert list_crashes(instance, OTHER_TASK) == [True]


# Guards against a give-up after two crashes of other tasks; three losses of its own
# still give a task up.
@pytest.mark.parametrize("n_servers", [2, 3])
def test_cuts_beside_crashes_give_a_task_up_after_three(n_servers):
    owner = CrashObserver()
    for index in range(n_servers):
        report_cut_and_crash(owner, True, server_id=f"x{index}")
        owner.advance_time(1_000.0)
    assert owner.history.is_given_up(OTHER_TASK)
    assert owner.history.is_given_up(TASK) is (n_servers == 3)
    assert not owner.history.has_crashed_all(TASK)


# Guards against a response between a cut and a crash that retracts neither or both.
def test_response_between_a_cut_and_a_crash_retracts_the_cut_alone():
    owner = CrashObserver()
    report_cut_and_crash(owner, False)
    owner.receive(ServerLossRetracted(server_id="x0", age_ms=400.0))
    assert not owner.history.is_suspect(TASK)
    assert list_crashes(owner, OTHER_TASK) == [True]


# Guards against a third crash: a response after the cut, but before the crash was
# known, doesn't show that the process lives.
def test_response_before_a_crash_was_learnt_does_not_retract_it():
    owner = CrashObserver()
    owner.receive(ServerLoss(server_id="x0", tasks=(TASK,), age_ms=100.0))
    owner.advance_time(500.0)
    owner.receive_crash("x0", age_ms=550.0)
    owner.receive(ServerLossRetracted(server_id="x0", age_ms=300.0))
    assert list_crashes(owner, TASK) == [True]


# Guards against losses that depend on the order of their reports: the process had
# answered the second observer since the first one's loss.
@pytest.mark.parametrize("is_crash_first", [True, False])
def test_process_that_was_heard_later_was_not_lost_before(is_crash_first):
    owner = CrashObserver()
    report_cut_and_crash(owner, is_crash_first, cut_age_ms=3_000.0)
    assert owner.history.list_lost_servers(TASK) == []
    assert list_crashes(owner, OTHER_TASK) == [True]
