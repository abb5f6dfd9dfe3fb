"""Load shedding: refuse jobs where they arrive while their owner is short of CPU."""

from ._admission import JobRefusal
from ._events import LagProbeDue
from ._hashing import HASH_BITS, hash_name
from ._peer_messages import EndReason

# Weight of the latest sample; with a sample every 50 ms, about the last 100 ms count.
LAG_GAIN = 0.5
# Owner's lag up to which nothing is refused: a job passes the owner's message queue
# three times, which must fit into the 60 ms constant part of the latency objectives.
SHEDDING_START_LAG_MS = 20.0
# Owner's lag from which everything is refused, as no latency objective would be met.
SHEDDING_FULL_LAG_MS = 120.0
# Retry-after time as a multiple of the owner's lag. In that time the lag is measured
# and reported, and the backlog is worked off.
RETRY_AFTER_FACTOR = 4.0


class LoadShedder:
    """Measure this instance's lag, and refuse jobs by the lag of their owner.

    The lag is how long messages wait until an instance handles them. When the CPU of an
    owner is the bottleneck, every message delays the answers to others, and so would a
    refusal that the owner itself sends. The instances that receive the requests
    therefore refuse them on its behalf. The refused fraction grows with the lag, so
    that load and lag settle instead of oscillating.

    :param context: the shared :class:`DispatchContext`.
    :param membership: the :class:`Membership`.
    """

    def __init__(self, context=None, membership=None):
        self.context = context
        self.membership = membership
        self.lag_ms = 0.0
        membership.get_lag_ms = lambda: self.lag_ms

    def subscribe(self):
        """Return handlers by message class."""
        return {LagProbeDue: self.on_lag_probe}

    def on_lag_probe(self, event):
        """Update the moving average of the lag with one sample."""
        sample_ms = max(0.0, self.context.now_ms - event.due_ms)
        self.lag_ms += LAG_GAIN * (sample_ms - self.lag_ms)

    def check(self, job_id, owner_address):
        """Return a :class:`JobRefusal`, or ``None`` if a job may be submitted.

        :param job_id: id of the job; its hash decides whether the job belongs to the
            refused fraction, so that every instance decides alike.
        :param owner_address: address of the owner of the job's cell.
        """
        lag_ms = self._get_owner_lag_ms(owner_address)
        refused_fraction = (lag_ms - SHEDDING_START_LAG_MS) / (
            SHEDDING_FULL_LAG_MS - SHEDDING_START_LAG_MS
        )
        if hash_name(job_id) / 2**HASH_BITS >= refused_fraction:
            return None
        min_retry_ms = self.context.settings.min_retry_after_ms
        return JobRefusal(
            reason=EndReason.OVERLOADED,
            detail=f"messages wait {lag_ms:.0f} ms at the owner",
            retry_after_ms=max(min_retry_ms, RETRY_AFTER_FACTOR * lag_ms),
        )

    def _get_owner_lag_ms(self, address):
        if address == self.context.identity.address:
            return self.lag_ms
        peer = self.membership.by_address.get(address)
        return 0.0 if peer is None else peer.heartbeat.lag_ms
