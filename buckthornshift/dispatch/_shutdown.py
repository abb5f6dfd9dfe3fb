"""Graceful shutdown: finish open requests, release servers, then exit."""

from ._actions import Exit, LogCode
from ._events import StopRequested
from ._internal_messages import StopCheckDue
from ._peer_messages import EndReason

CHECK_INTERVAL_MS = 50.0
MAX_CHECK_GAP_MS = 4.0 * CHECK_INTERVAL_MS


class GracefulShutdown:
    """Shut an instance down without dropping a request.

    :param context: the shared :class:`DispatchContext`.
    :param request_router: the :class:`RequestRouter`.
    :param lease_manager: the :class:`LeaseManager`.
    """

    def __init__(self, context=None, request_router=None, lease_manager=None):
        self.context = context
        self.request_router = request_router
        self.lease_manager = lease_manager
        self._requested_ms = None
        self._last_check_ms = 0.0
        self._is_postponed = False

    def subscribe(self):
        """Return handlers by message class."""
        return {StopRequested: self.on_requested, StopCheckDue: self.on_check}

    def on_requested(self, event):
        """Begin the shutdown; a repeated request has no effect."""
        context = self.context
        if self._requested_ms is not None:
            return
        self._requested_ms = self._last_check_ms = context.now_ms
        self.request_router.shutdown_deadline_ms = (
            context.now_ms + context.settings.stop_max_ms
        )
        context.log(
            LogCode.STOPPING,
            context.identity.address,
            n_requests=len(self.request_router.by_key),
        )
        context.start_timer(CHECK_INTERVAL_MS, StopCheckDue())

    def on_check(self, message):
        """Exit once nothing is left to do, or once time is up."""
        context = self.context
        settings = context.settings
        since_request_ms = context.now_ms - self._requested_ms
        since_check_ms = context.now_ms - self._last_check_ms
        self._last_check_ms = context.now_ms
        is_idle = (
            not self.request_router.by_key
            and not self.lease_manager.list_yielding_ids()
        )
        is_timed_out = since_request_ms >= settings.stop_max_ms
        is_late = since_check_ms > MAX_CHECK_GAP_MS
        if is_late and not (is_timed_out and self._is_postponed):
            # The process was paused: requests may be queued behind this timer.
            self._is_postponed = is_timed_out
            context.start_timer(CHECK_INTERVAL_MS, StopCheckDue())
            return
        if is_timed_out or (is_idle and since_request_ms >= settings.stop_min_ms):
            context.log(
                LogCode.STOPPED,
                context.identity.address,
                n_requests=len(self.request_router.by_key),
                after_ms=round(since_request_ms),
            )
            # A request that is read until the sockets close is refused.
            self.request_router.shutdown_deadline_ms = context.now_ms
            self.request_router.answer_all(EndReason.STOPPING)
            context.emit(Exit())
            return
        context.start_timer(CHECK_INTERVAL_MS, StopCheckDue())
