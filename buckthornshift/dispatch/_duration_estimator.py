"""How long tasks really take, against what their callers estimate."""

# Weight of the newest run of a queue: its last twenty runs or so count.
RATIO_GAIN = 0.05
# One run may be off by much (a slow server, a lost answer); it counts for no more.
MAX_RATIO = 4.0


class DurationEstimator:
    """Learn per queue by which factor estimates are off."""

    def __init__(self):
        self._ratio_by_queue = {}

    def note(self, queue_name, estimate_ms, actual_ms):
        """Take one run into the mean.

        :param queue_name: name of the queue.
        :param estimate_ms: what its caller estimated.
        :param actual_ms: what it took, from its order to its end.
        """
        if estimate_ms <= 0:
            return
        ratio = min(MAX_RATIO, actual_ms / estimate_ms)
        known = self._ratio_by_queue.get(queue_name, 1.0)
        self._ratio_by_queue[queue_name] = known + RATIO_GAIN * (ratio - known)

    def get_ratio(self, queue_name):
        """Return the factor on the estimates of a queue."""
        return self._ratio_by_queue.get(queue_name, 1.0)
