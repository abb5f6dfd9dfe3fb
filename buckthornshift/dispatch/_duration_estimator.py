"""Correction of callers' duration estimates by measured run times."""

# Weight of the latest run of a queue; about its last 20 runs count.
RATIO_GAIN = 0.05
# Upper bound of one sample, as a slow server or a lost answer makes outliers.
MAX_RATIO = 4.0


class DurationEstimator:
    """Track by queue the mean ratio of measured to estimated durations."""

    def __init__(self):
        self._ratio_by_queue = {}

    def add_sample(self, queue_name, estimate_ms, actual_ms):
        """Update the mean ratio of a queue with one run.

        :param queue_name: name of the queue.
        :param estimate_ms: duration that the caller estimated.
        :param actual_ms: measured time from the start command to the reported end.
        """
        if estimate_ms <= 0:
            return
        ratio = min(MAX_RATIO, actual_ms / estimate_ms)
        current = self._ratio_by_queue.get(queue_name, 1.0)
        self._ratio_by_queue[queue_name] = current + RATIO_GAIN * (ratio - current)

    def get_correction(self, queue_name):
        """Return the factor to multiply the estimates of a queue by."""
        return self._ratio_by_queue.get(queue_name, 1.0)
