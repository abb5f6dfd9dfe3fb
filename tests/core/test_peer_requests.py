"""Questions between instances are told apart across restarts."""

import random

from buckthornshift.core import CoreSettings, EntryIdentity
from buckthornshift.core._context import Context
from buckthornshift.core._peer_requests import PeerRequestTracker


def open_first_question(incarnation, seed):
    context = Context(
        identity=EntryIdentity(instance_id="e", incarnation=incarnation),
        settings=CoreSettings(),
        random_state=random.Random(seed),
    )
    return PeerRequestTracker(context=context).make_request_id()


def test_a_restarted_instance_does_not_reuse_request_ids():
    """An answer to the former process was taken for one to the new process."""
    assert open_first_question("e.1", 1) != open_first_question("e.2", 2)
