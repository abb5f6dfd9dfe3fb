"""How long to wait for an answer that usually comes quickly."""

# Weights of the newest answer, as for round-trip times of TCP (RFC 6298).
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0


class AdaptiveTimeout:
    """Learn how long answers take, and from when on one is overdue.

    :param min_ms: shortest wait; above a pause of the own event loop.
    :param max_ms: longest wait, and the first one.
    """

    def __init__(self, min_ms=60.0, max_ms=250.0):
        self.min_ms = min_ms
        self.max_ms = max_ms
        self._mean_ms = None
        self._deviation_ms = 0.0

    def note(self, answer_ms):
        """Take one answer's time into the mean."""
        if self._mean_ms is None:
            self._mean_ms = answer_ms
            self._deviation_ms = answer_ms / 2.0
            return
        error_ms = answer_ms - self._mean_ms
        self._deviation_ms += DEVIATION_GAIN * (abs(error_ms) - self._deviation_ms)
        self._mean_ms += MEAN_GAIN * error_ms

    def get_timeout_ms(self):
        """Return how long to wait for the next answer."""
        if self._mean_ms is None:
            return self.max_ms
        patience_ms = self._mean_ms + DEVIATIONS * self._deviation_ms
        return min(self.max_ms, max(self.min_ms, patience_ms))
