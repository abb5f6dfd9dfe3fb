"""Graceful stop: finish what was accepted, then leave."""

from ._actions import EventCode, Exit
from ._events import DrainRequested
from ._invariants import Invariant
from ._messages import DrainCheckDue

DRAIN_CHECK_INTERVAL_MS = 50.0
# After a pause of the process, requests may wait behind the first due step.
MIN_IDLE_CHECKS = 2


class Drain:
    """Stop an instance without cutting off a request.

    The instance goes on accepting while the platform's list and balancer learn of
    its leaving; after that it forwards to a peer. It exits when every job and
    question is answered and its records are on the log.

    :param context: the shared :class:`Context`.
    :param peer_requests: the :class:`PeerRequestTracker` part.
    """

    def __init__(self, context=None, peer_requests=None):
        self.context = context
        self.peer_requests = peer_requests
        self._idle_since_ms = None
        self._n_idle_steps = 0

    def subscribe(self):
        """Return handlers by message class."""
        return {DrainRequested: self.on_requested, DrainCheckDue: self.on_step}

    def on_requested(self, event):
        """Begin to drain; asking again changes nothing."""
        context = self.context
        if context.is_draining:
            return
        context.is_draining = True
        context.drain_started_ms = context.now_ms
        context.note(EventCode.DRAIN_STARTED, context.identity.instance_id)
        context.start_timer(DRAIN_CHECK_INTERVAL_MS, DrainCheckDue())

    def on_step(self, message):
        """Exit if nothing is left to do."""
        context = self.context
        self._n_idle_steps = self._n_idle_steps + 1 if self._is_done() else 0
        if self._n_idle_steps >= MIN_IDLE_CHECKS:
            is_empty = not context.jobs.n_open and not self.peer_requests.by_request_id
            context.monitor.check(is_empty, Invariant.DRAIN_CUTS_NOTHING)
            context.has_exited = True
            context.note(EventCode.DRAIN_FINISHED, context.identity.instance_id)
            context.emit(Exit())
            return
        context.start_timer(DRAIN_CHECK_INTERVAL_MS, DrainCheckDue())

    def _is_done(self):
        context = self.context
        drained_ms = context.now_ms - context.drain_started_ms
        if drained_ms < context.settings.drain_accept_ms:
            return False
        if context.jobs.n_open or self.peer_requests.by_request_id:
            self._idle_since_ms = None
            return False
        if self._idle_since_ms is None:
            self._idle_since_ms = context.now_ms
        waited_ms = context.now_ms - self._idle_since_ms
        is_patient = waited_ms < context.settings.drain_flush_ms
        return not (context.writer.has_pending and is_patient)
