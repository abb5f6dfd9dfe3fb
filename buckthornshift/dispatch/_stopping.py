"""Graceful stop: finish what is held, then leave."""

from ._actions import Exit, LogCode
from ._events import StopRequested
from ._internal import StopStepDue

STOP_STEP_MS = 50.0


class Stopping:
    """Stop an instance without cutting off a request.

    :param context: the shared :class:`DispatchContext`.
    :param homes: the :class:`Homes`.
    :param holding: the :class:`Holding`.
    :param min_ms: shortest time from the request to the end, in which the balancer
        learns that the instance takes no new connections.
    :param max_ms: longest such time.
    """

    def __init__(
        self, context=None, homes=None, holding=None, min_ms=3_000.0, max_ms=5_300.0
    ):
        self.context = context
        self.homes = homes
        self.holding = holding
        self.min_ms = min_ms
        self.max_ms = max_ms
        self._asked_ms = None

    def subscribe(self):
        """Return handlers by message class."""
        return {StopRequested: self.on_requested, StopStepDue: self.on_step}

    def on_requested(self, event):
        """Begin to stop; asking again changes nothing."""
        context = self.context
        if self._asked_ms is not None:
            return
        self._asked_ms = context.now_ms
        context.log(
            LogCode.STOPPING,
            context.identity.address,
            n_requests=len(self.homes.by_key),
        )
        context.start_timer(STOP_STEP_MS, StopStepDue())

    def on_step(self, message):
        """Exit if nothing is left to do, or no time."""
        context = self.context
        waited_ms = context.now_ms - self._asked_ms
        is_idle = not self.homes.by_key and not self.holding.list_held()
        if waited_ms >= self.max_ms or (is_idle and waited_ms >= self.min_ms):
            context.log(
                LogCode.STOPPED,
                context.identity.address,
                n_requests=len(self.homes.by_key),
                after_ms=round(waited_ms),
            )
            context.emit(Exit())
            return
        context.start_timer(STOP_STEP_MS, StopStepDue())
