"""Graceful stop: finish what is held, then leave."""

from ._actions import Exit, LogCode
from ._events import StopRequested
from ._internal_messages import StopCheckDue
from ._peer_messages import EndReason

STOP_STEP_MS = 50.0
MAX_STEP_MS = 4.0 * STOP_STEP_MS


class GracefulShutdown:
    """Stop an instance without cutting off a request.

    :param context: the shared :class:`DispatchContext`.
    :param request_router: the :class:`RequestRouter`.
    :param lease_manager: the :class:`LeaseManager`.
    """

    def __init__(self, context=None, request_router=None, lease_manager=None):
        self.context = context
        self.request_router = request_router
        self.lease_manager = lease_manager
        self._asked_ms = None
        self._step_ms = 0.0

    def subscribe(self):
        """Return handlers by message class."""
        return {StopRequested: self.on_requested, StopCheckDue: self.on_step}

    def on_requested(self, event):
        """Begin to stop; asking again changes nothing."""
        context = self.context
        if self._asked_ms is not None:
            return
        self._asked_ms = self._step_ms = context.now_ms
        self.request_router.shutdown_deadline_ms = (
            context.now_ms + context.settings.stop_max_ms
        )
        context.log(
            LogCode.STOPPING,
            context.identity.address,
            n_requests=len(self.request_router.by_key),
        )
        context.start_timer(STOP_STEP_MS, StopCheckDue())

    def on_step(self, message):
        """Exit if nothing is left to do, or no time."""
        context = self.context
        settings = context.settings
        waited_ms = context.now_ms - self._asked_ms
        since_step_ms = context.now_ms - self._step_ms
        self._step_ms = context.now_ms
        is_idle = (
            not self.request_router.by_key
            and not self.lease_manager.list_yielding_ids()
        )
        is_over = waited_ms >= settings.stop_max_ms
        if since_step_ms > MAX_STEP_MS:
            # After a pause, requests may wait behind this step.
            context.start_timer(STOP_STEP_MS, StopCheckDue())
            return
        if is_over or (is_idle and waited_ms >= settings.stop_min_ms):
            context.log(
                LogCode.STOPPED,
                context.identity.address,
                n_requests=len(self.request_router.by_key),
                after_ms=round(waited_ms),
            )
            self.request_router.answer_all(EndReason.STOPPING)
            context.emit(Exit())
            return
        context.start_timer(STOP_STEP_MS, StopCheckDue())
