"""Virtual clock: runs scheduled calls in order of time, without waiting."""

import heapq
import itertools

EPOCH_MS = 1_700_000_000_000.0


class VirtualClock:
    """Hold the time of a run and the calls that are due later."""

    def __init__(self):
        self.now_ms = 0.0
        self._heap = []
        self._sequence = itertools.count()

    @property
    def wall_ms(self):
        """Wall-clock time in milliseconds since the epoch."""
        return EPOCH_MS + self.now_ms

    def schedule(self, delay_ms, function, *args):
        """Call a function after a delay.

        :param delay_ms: the delay in milliseconds.
        :param function: what to call.
        :param args: its arguments.
        """
        due_ms = self.now_ms + max(0.0, delay_ms)
        heapq.heappush(self._heap, (due_ms, next(self._sequence), function, args))

    def run_until(self, end_ms):
        """Run every call that is due up to a time.

        :param end_ms: the time.
        """
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, function, args = heapq.heappop(self._heap)
            self.now_ms = max(self.now_ms, due_ms)
            function(*args)
        self.now_ms = end_ms
