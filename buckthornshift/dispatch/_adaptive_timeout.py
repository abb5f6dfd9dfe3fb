"""A timeout that adapts to measured response times."""

# Smoothing factors of TCP's retransmission timeout (RFC 6298).
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATION_FACTOR = 4.0


class AdaptiveTimeout:
    """Derive a timeout from the mean and deviation of response times.

    :param min_ms: shortest timeout; longer than a pause of this process's event loop.
    :param max_ms: longest timeout, used also until the first sample.
    """

    def __init__(self, min_ms=60.0, max_ms=250.0):
        self.min_ms = min_ms
        self.max_ms = max_ms
        self._mean_ms = None
        self._deviation_ms = 0.0

    def add_sample(self, response_ms):
        """Update the mean and the deviation with one response time.

        :param response_ms: time from the request to its response.
        """
        if self._mean_ms is None:
            self._mean_ms = response_ms
            self._deviation_ms = response_ms / 2.0
            return
        error_ms = response_ms - self._mean_ms
        self._deviation_ms += DEVIATION_GAIN * (abs(error_ms) - self._deviation_ms)
        self._mean_ms += MEAN_GAIN * error_ms

    def get_timeout_ms(self):
        """Return how long to wait for the next response, in milliseconds."""
        if self._mean_ms is None:
            return self.max_ms
        timeout_ms = self._mean_ms + DEVIATION_FACTOR * self._deviation_ms
        return min(self.max_ms, max(self.min_ms, timeout_ms))
