"""Cost to callers of a job that is not served, and the order of jobs by it.

docs/design/23-overload-order.md documents the measure.
"""

import enum

from ._hashing import HASH_BITS, hash_name
from ._jobs import TaskPhase

# Weight of a queue relative to that of the next lower priority.
PRIORITY_WEIGHT_RATIO = 2.0
# Part of a job's cost that is lost once its answer can only be late.
LATE_LOSS = 0.8
# Largest work of a job that raises its cost, relative to the mean of its queue.
MAX_RELATIVE_WORK = 4.0
# Weight of the latest job in the mean work of its queue.
MEAN_WORK_GAIN = 0.02
# Least work of the larger jobs, relative to the mean of their queue. With log-normal
# work of sigma 0.7, they are the largest tenth and the fifth below it.
SIZE_CLASS_LIMITS = (1.1, 1.9)


# Time before its caller's deadline in which a job that has begun comes first, in
# critical paths: a slot is free after one run, and a task may take twice as long as
# expected.
BEGUN_MARGIN_PATHS = 3.0
# Added to it, for messages and scheduling passes.
BEGUN_MARGIN_MS = 100.0


class Rank(enum.IntEnum):
    """Groups of jobs, in the order in which they start."""

    BEGUN_AND_DUE = 0
    BELOW_GUARANTEE = 1
    BY_COST = 2


class CostOrder:
    """Order jobs by what callers lose if they wait, for the work that they need.

    :param context: the shared :class:`DispatchContext`.
    :param shares: the :class:`QueueShares`.
    :param duration_estimator: the :class:`DurationEstimator`.
    """

    def __init__(self, context=None, shares=None, duration_estimator=None):
        self.context = context
        self.shares = shares
        self.duration_estimator = duration_estimator
        self._mean_work_by_queue = {}

    def record_arrival(self, job):
        """Set the work and the cost of a new job, and update the rates of its queue."""
        declared_work = sum(
            step.n_tasks * step.estimate_ms * step.need.cpu for step in job.spec.steps
        )
        name = job.queue.name
        mean_work = self._mean_work_by_queue.get(name, declared_work)
        mean_work += MEAN_WORK_GAIN * (declared_work - mean_work)
        self._mean_work_by_queue[name] = mean_work
        job.work = self.duration_estimator.get_correction(name) * declared_work
        relative_work = declared_work / max(1.0, mean_work)
        job.loss_cost = compute_loss_cost(job.queue.priority, relative_work)
        job.size_class = sum(relative_work > limit for limit in SIZE_CLASS_LIMITS)
        self.shares.record_arrival(job)

    def record_loss(self, job):
        """Record that a job is not served in time."""
        self.shares.record_loss(job)

    def make_sort_key(self, job):
        """Return the key by which jobs are sorted to start."""
        now_ms = self.context.now_ms
        if not self.shares.are_rates_known(job.cell):
            return make_objective_sort_key(job, now_ms)
        if _must_finish_now(job, now_ms):
            return (Rank.BEGUN_AND_DUE, job.deadline_ms, job.arrived_ms)
        is_below = self.shares.is_below_guarantee(job)
        rank = Rank.BELOW_GUARANTEE if is_below else Rank.BY_COST
        return (rank, -compute_urgency(job, now_ms), job.arrived_ms)

    def spread_retry_ms(self, job, retry_after_ms):
        """Return the time after which a refused caller should retry.

        The callers that are refused for the same cause return over a period as long
        as the time that the cause lasts.

        :param job: the refused :class:`Job`.
        :param retry_after_ms: how long the cause is known to last.
        """
        min_ms = self.context.settings.min_retry_after_ms
        fraction = hash_name(job.job_id) / 2**HASH_BITS
        return min_ms + fraction * max(min_ms, retry_after_ms)


def make_objective_sort_key(job, now_ms, is_protected=False):
    """Return the key by which jobs are sorted to start, by their objective.

    Jobs that can still meet their latency objective come first, then those with the
    operators' higher priority (a lower number), then those that must start earliest.

    :param job: the :class:`Job`.
    :param now_ms: the current time.
    :param is_protected: whether the job stays among the first ones though it is late.
    """
    is_late = now_ms > job.latest_start_ms and not is_protected
    return (is_late, job.queue.priority, job.latest_start_ms)


def compute_loss_cost(priority, relative_work):
    """Return what a caller loses if its job is not served.

    :param priority: declared priority of its queue; 0 is the highest.
    :param relative_work: declared work of the job, relative to the mean of its queue.
    """
    weight = PRIORITY_WEIGHT_RATIO**-priority
    return weight * (1.0 + min(MAX_RELATIVE_WORK, relative_work))


def compute_urgency(job, now_ms):
    """Return what a job's caller loses by a wait, for each unit of remaining work.

    :param job: the :class:`Job`.
    :param now_ms: the current time.
    """
    density = job.loss_cost / max(1.0, _estimate_remaining_work(job))
    is_late = now_ms > job.latest_start_ms
    return (1.0 - LATE_LOSS) * density if is_late else density


def _must_finish_now(job, now_ms):
    """Return whether a job has begun and its caller leaves soon."""
    margin_ms = BEGUN_MARGIN_PATHS * job.critical_path_ms + BEGUN_MARGIN_MS
    return job.may_have_run and now_ms > job.deadline_ms - margin_ms


def _estimate_remaining_work(job):
    """Return the work of the tasks that have not started.

    Steps differ in the work of their tasks, so only jobs of one step take the short
    way.
    """
    if len(job.spec.steps) == 1:
        return job.work * len(job.waiting_by_name) / max(1, len(job.tasks))
    return sum(
        task.spec.estimate_ms * task.spec.need.cpu
        for task in job.tasks
        if task.phase in (TaskPhase.BLOCKED, TaskPhase.WAITING)
    )
