"""Graceful shutdown: finish all accepted jobs, then exit."""

from ._actions import EventCode, Exit
from ._events import DrainRequested
from ._invariants import Invariant
from ._messages import DrainCheckDue

DRAIN_CHECK_INTERVAL_MS = 50.0
# After a pause of the process, unhandled requests may be queued behind the first
# check, so one idle check does not prove that nothing is left to do.
MIN_IDLE_CHECKS = 2


class Drain:
    """Shut an instance down without breaking off any request.

    The instance still accepts jobs until the platform's list and the load balancer
    show that it leaves; after that it forwards them to a peer. It exits when every
    job and every request to another coordinator is answered and its records are in
    the log, or the longest wait for the log is over.

    :param context: the shared :class:`Context`.
    :param peer_requests: the :class:`PeerRequestTracker` part.
    """

    def __init__(self, context=None, peer_requests=None):
        self.context = context
        self.peer_requests = peer_requests
        self._idle_since_ms = None
        self._n_idle_checks = 0

    def subscribe(self):
        """Return handlers by message class."""
        return {DrainRequested: self.on_requested, DrainCheckDue: self.on_check_due}

    def on_requested(self, event):
        """Begin to drain, unless the instance already drains."""
        context = self.context
        if context.is_draining:
            return
        context.is_draining = True
        context.drain_started_ms = context.now_ms
        context.log(EventCode.DRAIN_STARTED, context.identity.instance_id)
        context.start_timer(DRAIN_CHECK_INTERVAL_MS, DrainCheckDue())

    def on_check_due(self, message):
        """Exit if nothing was left to do in several checks in a row."""
        context = self.context
        self._n_idle_checks = self._n_idle_checks + 1 if self._is_done() else 0
        if self._n_idle_checks >= MIN_IDLE_CHECKS:
            is_empty = not context.jobs.n_open and not self.peer_requests.by_request_id
            context.monitor.check(is_empty, Invariant.DRAIN_CUTS_NOTHING)
            context.has_exited = True
            context.log(EventCode.DRAIN_FINISHED, context.identity.instance_id)
            context.emit(Exit())
            return
        context.start_timer(DRAIN_CHECK_INTERVAL_MS, DrainCheckDue())

    def _is_done(self):
        context = self.context
        draining_ms = context.now_ms - context.drain_started_ms
        if draining_ms < context.settings.drain_accept_ms:
            return False
        if context.jobs.n_open or self.peer_requests.by_request_id:
            self._idle_since_ms = None
            return False
        if self._idle_since_ms is None:
            self._idle_since_ms = context.now_ms
        idle_ms = context.now_ms - self._idle_since_ms
        may_wait_for_log = idle_ms < context.settings.drain_flush_ms
        return not (context.writer.has_pending and may_wait_for_log)
