"""Measure for how long this process could not run its event loop."""

import asyncio

PROBE_INTERVAL_S = 0.01
# Shorter delays are those of an event loop at work.
MIN_STALL_S = 0.02


class StallMeter:
    """Add up the stalls of the event loop.

    :ivar total_s: duration of all stalls so far, in seconds.
    """

    def __init__(self):
        self.total_s = 0.0
        self._task = None

    def start(self):
        """Begin to measure."""
        self._task = asyncio.ensure_future(self._measure())

    async def read(self):
        """Return the duration of all stalls, that which is just ending included."""
        await asyncio.sleep(2 * PROBE_INTERVAL_S)
        return self.total_s

    def close(self):
        """Stop measuring."""
        if self._task is not None:
            self._task.cancel()

    async def _measure(self):
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + PROBE_INTERVAL_S
            await asyncio.sleep(PROBE_INTERVAL_S)
            late_s = loop.time() - due_s
            if late_s >= MIN_STALL_S:
                self.total_s += late_s
