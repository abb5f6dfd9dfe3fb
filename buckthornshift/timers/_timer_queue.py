"""Timer service: parts subscribe to a point in time and get a message back."""

import heapq
import itertools

import attrs


@attrs.define(kw_only=True)
class _Entry:
    due_ms: float
    message: object
    is_cancelled: bool = False


class TimerQueue:
    """Deliver messages at given times, in order; it reads no clock itself."""

    def __init__(self):
        self._heap = []
        self._sequence = itertools.count()

    def start(self, due_ms, message):
        """Subscribe to a point in time.

        :param due_ms: when to deliver, on the caller's monotonic scale.
        :param message: what to deliver.
        :returns: a handle for :meth:`cancel`.
        """
        entry = _Entry(due_ms=due_ms, message=message)
        heapq.heappush(self._heap, (due_ms, next(self._sequence), entry))
        return entry

    def cancel(self, handle):
        """Drop a subscription; harmless when it is delivered or ``None``."""
        if handle is not None:
            handle.is_cancelled = True

    def pop_due(self, now_ms):
        """Return the next due message, or ``None``.

        :param now_ms: the current time.
        """
        while self._heap and self._heap[0][0] <= now_ms:
            entry = heapq.heappop(self._heap)[2]
            if not entry.is_cancelled:
                return entry.message
        return None

    def find_next_due(self):
        """Return the time of the next subscription, or ``None``."""
        while self._heap and self._heap[0][2].is_cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def __len__(self):
        return len(self._heap)
