"""Request ids of an instance differ between its processes."""

import random

from buckthornshift.core import CoreSettings, EntryIdentity
from buckthornshift.core._context import Context
from buckthornshift.core._peer_requests import PeerRequestTracker


def make_first_request_id(incarnation, seed):
    context = Context(
        identity=EntryIdentity(instance_id="e", incarnation=incarnation),
        settings=CoreSettings(),
        random_state=random.Random(seed),
    )
    return PeerRequestTracker(context=context).make_request_id()


def test_restarted_instance_does_not_reuse_request_ids():
    """A late answer to the former process must not match a request of the new one.

    It did while every process numbered its requests from the beginning.
    """
    assert make_first_request_id("e.1", 1) != make_first_request_id("e.2", 2)
