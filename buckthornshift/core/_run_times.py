"""Estimates of run times from observations, which correct declared run times."""

import attrs

MEAN_SMOOTHING_FACTOR = 0.1
DEVIATION_SMOOTHING_FACTOR = 0.1
MIN_RATIO = 0.01


@attrs.define(kw_only=True)
class _Estimate:
    mean: float = 0.0
    deviation: float = 0.0
    n_samples: int = 0

    def add(self, value):
        if self.n_samples == 0:
            self.mean = value
            self.deviation = value / 4
        error = value - self.mean
        self.mean += MEAN_SMOOTHING_FACTOR * error
        self.deviation += DEVIATION_SMOOTHING_FACTOR * (abs(error) - self.deviation)
        self.n_samples += 1


class RunTimeEstimator:
    """Estimate run times per entry, by moving averages of mean and mean deviation.

    For tasks with a declared run time, the ratio of the observed to the declared
    one is averaged instead, so that declarations that are off by a constant factor
    are corrected.

    :param default_ms: run time assumed before the first observation.
    """

    def __init__(self, default_ms=300.0):
        self.default_ms = default_ms
        self._duration_by_entry = {}
        self._ratio_by_entry = {}

    def add_sample(self, entry_name, declared_ms, run_ms):
        """Add the run time of a task that ended to the estimates.

        :param entry_name: name of its entry.
        :param declared_ms: declared run time; 0 if none.
        :param run_ms: observed run time.
        """
        if declared_ms > 0:
            estimates, value = self._ratio_by_entry, run_ms / declared_ms
        else:
            estimates, value = self._duration_by_entry, run_ms
        estimates.setdefault(entry_name, _Estimate()).add(value)

    def predict_ms(self, entry_name, declared_ms):
        """Return the expected run time in milliseconds.

        :param entry_name: name of the entry.
        :param declared_ms: declared run time; 0 if none.
        """
        if declared_ms > 0:
            estimate = self._ratio_by_entry.get(entry_name)
            ratio = 1.0 if estimate is None else max(MIN_RATIO, estimate.mean)
            return declared_ms * ratio
        estimate = self._duration_by_entry.get(entry_name)
        return self.default_ms if estimate is None else max(1.0, estimate.mean)

    def predict_late_ms(self, entry_name, declared_ms, factor):
        """Return the run time in milliseconds after which a task counts as late.

        :param entry_name: name of the entry.
        :param declared_ms: declared run time; 0 if none.
        :param factor: multiple of the expected run time, to which four times the mean
            deviation is added.
        """
        expected = self.predict_ms(entry_name, declared_ms)
        estimates = self._ratio_by_entry if declared_ms > 0 else self._duration_by_entry
        estimate = estimates.get(entry_name)
        margin = 0.0 if estimate is None else 4.0 * estimate.deviation
        return factor * expected + margin * (declared_ms if declared_ms > 0 else 1.0)
