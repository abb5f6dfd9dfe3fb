"""Guaranteed shares of queues."""

import attrs

from buckthornshift.dispatch import Queue
from buckthornshift.dispatch._context import DispatchContext
from buckthornshift.dispatch._jobs import Job
from buckthornshift.dispatch._queue_shares import QueueShares


def make_shares():
    """Return shares of queues that each got 100 jobs a second for three seconds."""
    shares = QueueShares(context=DispatchContext())
    for tick in range(300):
        shares.context.now_ms = 10.0 * tick
        for name in ("a", "b"):
            shares.record_arrival(make_job(name))
    return shares


def make_job(name):
    return Job(queue=Queue(name=name), work=1_000.0)


def test_queue_of_which_most_is_lost_is_below_its_guarantee():
    shares = make_shares()
    for _ in range(150):
        shares.record_loss(make_job("a"))
    assert shares.is_below_guarantee(make_job("a"))
    assert not shares.is_below_guarantee(make_job("b"))


def test_burst_does_not_raise_the_guarantee():
    """Guards against a queue that gets a larger share by sending more jobs."""
    shares = make_shares()
    for _ in range(200):
        shares.record_arrival(make_job("a"))
    for _ in range(200):
        shares.record_loss(make_job("a"))
    assert not shares.is_below_guarantee(make_job("a"))


def test_large_jobs_have_a_guarantee_of_their_own():
    shares = make_shares()
    large = attrs.evolve(make_job("a"), size_class=2)
    shares.record_arrival(large)
    shares.record_loss(large)
    assert shares.is_below_guarantee(large)
    assert not shares.is_below_guarantee(make_job("a"))


def test_rates_are_unknown_right_after_the_first_arrival():
    shares = QueueShares(context=DispatchContext())
    shares.record_arrival(make_job("a"))
    assert not shares.are_rates_known(0)
