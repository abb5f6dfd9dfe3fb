"""Refuse jobs where they arrive while the owner is short of processor time."""

from ._admission import JobRefusal
from ._events import LagProbeDue
from ._hashing import HASH_BITS, hash_name
from ._peer_messages import EndReason

# Weight of the newest measurement; at one each 50 ms the last 100 ms count.
LAG_GAIN = 0.5
# Below this wait nothing is refused: the constant part of the objectives is 60 ms, and
# a job passes the owner's queue of messages three times.
SHEDDING_START_LAG_MS = 20.0
# From this wait on everything is refused: no objective would be met.
SHEDDING_FULL_LAG_MS = 120.0
# When to come back: the wait is measured, told and worked off in this time.
RETRY_FACTOR = 4.0


class LoadShedder:
    """Measure how long messages wait here, and refuse by how long they wait there.

    Answers the pattern of an owner whose processor is the bottleneck. Everything that
    is sent to it then costs others their answers, a refusal by itself too, so the
    instances that callers reached refuse for it. A growing part is refused, so that
    load and wait settle instead of swinging.

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
        """Take one measurement into the mean."""
        late_ms = max(0.0, self.context.now_ms - event.due_ms)
        self.lag_ms += LAG_GAIN * (late_ms - self.lag_ms)

    def check(self, job_id, owner_address):
        """Return a :class:`JobRefusal`, or ``None`` for a job that may be passed on.

        :param job_id: the job; it decides which part it falls into.
        :param owner_address: the owner.
        """
        lag_ms = self._read_owner_lag(owner_address)
        share = (lag_ms - SHEDDING_START_LAG_MS) / (
            SHEDDING_FULL_LAG_MS - SHEDDING_START_LAG_MS
        )
        if hash_name(job_id) / 2**HASH_BITS >= share:
            return None
        min_ms = self.context.settings.min_retry_after_ms
        return JobRefusal(
            reason=EndReason.OVERLOADED,
            detail=f"messages wait {lag_ms:.0f} ms at the owner",
            retry_after_ms=max(min_ms, RETRY_FACTOR * lag_ms),
        )

    def _read_owner_lag(self, address):
        if address == self.context.identity.address:
            return self.lag_ms
        peer = self.membership.by_address.get(address)
        return 0.0 if peer is None else peer.heartbeat.lag_ms
