"""Guaranteed shares of the queues that compete for the servers of a cell."""

import math

import attrs

# Time constant of the rate at which work usually arrives: much longer than a burst, so
# that a burst doesn't raise the share of its queue.
USUAL_TIME_CONSTANT_MS = 30_000.0
# Time constant of the recent arrivals and losses.
RECENT_TIME_CONSTANT_MS = 3_000.0
# Time from the first arrival until rates are known.
MIN_OBSERVED_MS = 500.0
# Part of the work that arrives, at most of what usually arrives, that is guaranteed to
# be served.
GUARANTEED_FRACTION = 0.4
# How long it is cached which classes are below their guarantee: well below the shortest
# latency objective, and much longer than handling one message takes.
BELOW_CACHE_MS = 5.0


@attrs.define(kw_only=True)
class WorkRate:
    """Mean rate of work, in which older work counts exponentially less.

    :param time_constant_ms: age at which work counts 1/e.
    :param decayed_work: sum of the work, as it counts at ``updated_ms``.
    :param updated_ms: when the sum was updated.
    """

    time_constant_ms: float = RECENT_TIME_CONSTANT_MS
    decayed_work: float = 0.0
    updated_ms: float = 0.0

    def add(self, work, now_ms):
        """Add work.

        :param work: the work, in millicore-milliseconds.
        :param now_ms: the current time.
        """
        self.decayed_work = self._decay(now_ms) + work
        self.updated_ms = now_ms

    def compute_cpu(self, now_ms, observed_ms):
        """Return the rate of work, which is the CPU that it needs, in millicores.

        :param now_ms: the current time.
        :param observed_ms: for how long work has been added.
        """
        weight = 1.0 - math.exp(-observed_ms / self.time_constant_ms)
        return self._decay(now_ms) / (self.time_constant_ms * max(weight, 1e-3))

    def _decay(self, now_ms):
        age_ms = now_ms - self.updated_ms
        return self.decayed_work * math.exp(-age_ms / self.time_constant_ms)


@attrs.define(kw_only=True)
class ClassRates:
    """Rates of the work of one size class of a queue in one cell.

    :param usual: work that usually arrives.
    :param arrived: work that arrived recently.
    :param lost: work of jobs that recently turned out not to be served in time.
    """

    usual: WorkRate = attrs.field(
        factory=lambda: WorkRate(time_constant_ms=USUAL_TIME_CONSTANT_MS)
    )
    arrived: WorkRate = attrs.field(factory=WorkRate)
    lost: WorkRate = attrs.field(factory=WorkRate)


class QueueShares:
    """Track which queues of the cells owned here are served less than guaranteed.

    Each size class of a queue has a guarantee: a part of the work that arrives, at most
    of what usually arrives. A burst of one queue therefore doesn't raise its guarantee,
    and takes only what the others leave; it starves neither the other queues nor the
    large jobs of its own. What a class leaves unused, the others borrow.

    :param context: the shared :class:`DispatchContext`.
    """

    def __init__(self, context=None):
        self.context = context
        self._rates_by_class = {}
        self._first_arrival_ms_by_cell = {}
        self._is_below_by_class = {}
        self._is_below_computed_ms = 0.0

    def record_arrival(self, job):
        """Record the work of a new job."""
        now_ms = self.context.now_ms
        self._first_arrival_ms_by_cell.setdefault(job.cell, now_ms)
        rates = self._rates_by_class.setdefault(_get_class(job), ClassRates())
        rates.usual.add(job.work, now_ms)
        rates.arrived.add(job.work, now_ms)

    def record_loss(self, job):
        """Record that a job is not served in time."""
        rates = self._rates_by_class.get(_get_class(job))
        if rates is not None:
            rates.lost.add(job.work, self.context.now_ms)

    def are_rates_known(self, cell):
        """Return whether the rates of the queues of a cell are known."""
        first_ms = self._first_arrival_ms_by_cell.get(cell)
        return first_ms is not None and self.context.now_ms - first_ms > MIN_OBSERVED_MS

    def is_below_guarantee(self, job):
        """Return whether jobs of this queue and size are served less than guaranteed.

        Jobs that may still be served count as served.
        """
        now_ms = self.context.now_ms
        if now_ms - self._is_below_computed_ms >= BELOW_CACHE_MS:
            self._is_below_by_class.clear()
            self._is_below_computed_ms = now_ms
        key = _get_class(job)
        is_below = self._is_below_by_class.get(key)
        if is_below is None:
            served_cpu, guaranteed_cpu = self._measure(key)
            is_below = self._is_below_by_class[key] = served_cpu < guaranteed_cpu
        return is_below

    def dump(self):
        """Return the served and guaranteed rate of each class as plain values."""
        shares = []
        for key in self._rates_by_class:
            cell, queue_name, size_class = key
            served_cpu, guaranteed_cpu = self._measure(key)
            shares.append(
                {
                    "cell": cell,
                    "queue": queue_name,
                    "size_class": size_class,
                    "served_cpu": round(served_cpu),
                    "guaranteed_cpu": round(guaranteed_cpu),
                }
            )
        return shares

    def _measure(self, key):
        """Return the served and the guaranteed rate of a class, in millicores."""
        now_ms = self.context.now_ms
        observed_ms = now_ms - self._first_arrival_ms_by_cell[key[0]]
        rates = self._rates_by_class[key]
        arrived_cpu = rates.arrived.compute_cpu(now_ms, observed_ms)
        lost_cpu = rates.lost.compute_cpu(now_ms, observed_ms)
        usual_cpu = rates.usual.compute_cpu(now_ms, observed_ms)
        guaranteed_cpu = GUARANTEED_FRACTION * min(arrived_cpu, usual_cpu)
        return max(0.0, arrived_cpu - lost_cpu), guaranteed_cpu


def _get_class(job):
    """Return the key of the jobs that share a guarantee with a job."""
    return (job.cell, job.queue.name, job.size_class)
