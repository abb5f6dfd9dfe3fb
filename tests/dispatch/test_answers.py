"""Requests get an answer, whatever was lost between the instances."""

from test_failed_without_cause import RECEIVER, Owner

from buckthornshift.dispatch import (
    EndKind,
    JobEnded,
    PeerConnected,
    SendToPeer,
)


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


# Guards against repetitions without use: a heartbeat that was sent later has arrived.
def test_outcome_that_has_arrived_is_not_sent_again():
    owner = Owner()
    (start,) = owner.submit()
    end_run(owner, start)
    assert len(pop_outcomes(owner)) == 1
    owner.advance_time(200.0)
    owner.feed(PeerConnected(address=RECEIVER))
    assert pop_outcomes(owner) == []
