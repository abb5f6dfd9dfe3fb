"""Virtual clock, which runs scheduled calls in order of time without waiting."""

import heapq
import itertools

# After the epoch of the terms, so that claims take their term from the clock.
START_WALL_MS = 1_800_000_000_000.0


class VirtualClock:
    """Current time of a simulation and the queue of scheduled calls.

    Calls that are due at the same time run in the order in which they were scheduled.
    """

    def __init__(self):
        self.now_ms = 0.0
        self._heap = []
        self._sequence = itertools.count()

    @property
    def wall_ms(self):
        """Simulated wall-clock time in milliseconds since the Unix epoch."""
        return START_WALL_MS + self.now_ms

    def schedule(self, delay_ms, function, *args):
        """Schedule a call.

        :param delay_ms: delay from now in milliseconds; a negative one counts as zero.
        :param function: the function to call.
        :param args: its positional arguments.
        """
        due_ms = self.now_ms + max(0.0, delay_ms)
        heapq.heappush(self._heap, (due_ms, next(self._sequence), function, args))

    def run_until(self, end_ms):
        """Run the calls that are due, and advance the clock to a time.

        :param end_ms: the time in milliseconds since the start of the simulation.
        """
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, function, args = heapq.heappop(self._heap)
            self.now_ms = max(self.now_ms, due_ms)
            function(*args)
        self.now_ms = end_ms
