"""Timer queue: components start timers and get a message when one is due."""

import heapq
import itertools

import attrs


@attrs.define(kw_only=True)
class _Timer:
    due_ms: float
    message: object
    is_cancelled: bool = False


class TimerQueue:
    """Priority queue of timers, each with a message.

    It reads no clock; the caller passes the current time.
    """

    def __init__(self):
        self._heap = []
        self._sequence = itertools.count()

    def start(self, due_ms, message):
        """Start a timer.

        :param due_ms: time at which the timer is due, in milliseconds of the caller's
            monotonic clock.
        :param message: message that :meth:`pop_due` returns when the timer is due.
        :returns: a handle for :meth:`cancel`.
        """
        timer = _Timer(due_ms=due_ms, message=message)
        heapq.heappush(self._heap, (due_ms, next(self._sequence), timer))
        return timer

    def cancel(self, handle):
        """Cancel a timer; does nothing if it has expired or ``handle`` is ``None``."""
        if handle is not None:
            handle.is_cancelled = True

    def pop_due(self, now_ms):
        """Remove the next due timer and return its message, or ``None`` if none is due.

        :param now_ms: current time, in milliseconds of the same clock.
        """
        while self._heap and self._heap[0][0] <= now_ms:
            timer = heapq.heappop(self._heap)[2]
            if not timer.is_cancelled:
                return timer.message
        return None

    def find_next_due(self):
        """Return the due time of the next timer, or ``None`` if there is none."""
        while self._heap and self._heap[0][2].is_cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def __len__(self):
        return len(self._heap)
