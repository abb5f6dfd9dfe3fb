"""Admission control: whether a new job can still meet its latency objective."""

import attrs

from ._overload_cost import make_objective_sort_key
from ._peer_messages import EndReason

# Remaining time assumed for a run that takes longer than expected, as a fraction of its
# expected duration.
MIN_REMAINING_FRACTION = 0.2
# How long the estimated remaining times of runs are cached: well below the shortest
# latency objective, and much longer than handling one message takes.
REMAINING_CACHE_MS = 5.0
# A job that is too large for every listed server may fit one that a nightly upgrade
# adds.
INFEASIBLE_RETRY_MS = 1_000.0


@attrs.frozen(kw_only=True)
class JobRefusal:
    """Why a job is refused, and when a retry may succeed.

    :param reason: the :class:`EndReason`.
    :param detail: inputs of the decision, for the log.
    :param retry_after_ms: time after which a retry may succeed.
    :param may_be_late: whether the job is accepted nevertheless if no other cell has
        room for it.
    """

    reason: EndReason = EndReason.OVERLOADED
    detail: str = ""
    retry_after_ms: float = 0.0
    may_be_late: bool = False


class AdmissionController:
    """Refuse jobs at once that can't meet their latency objective.

    Under sustained overload, accepting every job that its caller would wait for lets
    the queue grow until every answer is late. Accepting only the jobs that can meet
    their objective serves as many in time as there is capacity for, and tells the other
    callers at once when to retry.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param duration_estimator: the :class:`DurationEstimator`.
    :param job_order: the :class:`ObjectiveOrder` or :class:`CostOrder`.
    :param late_service: the :class:`LateService`.
    """

    def __init__(
        self,
        context=None,
        fleet=None,
        duration_estimator=None,
        job_order=None,
        late_service=None,
    ):
        self.context = context
        self.fleet = fleet
        self.duration_estimator = duration_estimator
        self.job_order = job_order
        self.late_service = late_service
        self._remaining_by_service_cell = {}

    def check(self, job, open_jobs):
        """Return a :class:`JobRefusal`, or ``None`` to accept a job.

        :param job: the new job.
        :param open_jobs: the jobs of its cell that have no outcome yet.
        """
        context = self.context
        self.job_order.record_arrival(job)
        for step in job.spec.steps:
            if not self.fleet.can_ever_run(job.queue.service, step, job.cell):
                return JobRefusal(
                    reason=EndReason.INFEASIBLE,
                    detail=f"no server fits {step.need} {step.required_label}",
                    retry_after_ms=INFEASIBLE_RETRY_MS,
                )
        if job.is_resent:
            # Part of its work may be done already, which a refusal would waste.
            return None
        need_cpu = max(1, max(step.need.cpu for step in job.spec.steps))
        n_ahead = self._count_ahead(job, open_jobs)
        n_free = self.fleet.count_free_slots(job.queue.service, need_cpu, job.cell)
        if n_ahead < n_free:
            return None
        # The ends of runs are known only to within half of a run, so the second half
        # of the tasks may start a little later and still end in time.
        n_half = (job.spec.steps[0].n_tasks + 1) // 2
        wait_ms = self._estimate_wait_ms(job, n_ahead + n_half - n_free)
        # The error of the estimate is about the constant part of the objective.
        slack_ms = max(job.queue.target_ms, job.latest_start_ms - context.now_ms)
        if wait_ms > slack_ms:
            may_be_late = self.late_service.can_end_late(job, wait_ms)
            if not may_be_late:
                self.job_order.record_loss(job)
            retry_after_ms = self.job_order.spread_retry_ms(
                job, min(wait_ms, self._bound_wait_ms(job, open_jobs))
            )
            return JobRefusal(
                reason=EndReason.OVERLOADED,
                detail=f"expected wait {wait_ms:.0f} ms, slack {slack_ms:.0f} ms",
                retry_after_ms=max(context.settings.min_retry_after_ms, retry_after_ms),
                may_be_late=may_be_late,
            )
        return None

    def estimate_wait_ms(self, job, n_needed):
        """Return the expected time until enough slots are free.

        :param job: the job.
        :param n_needed: number of slots needed beyond those that are free.
        """
        return self._estimate_wait_ms(job, n_needed)

    def _bound_wait_ms(self, job, open_jobs):
        """Return the time after which no job that waits now is still ahead of a job.

        Each of them has started by its latest start or is refused then.
        """
        last_start_ms = max(
            (j.latest_start_ms for j in open_jobs if j.waiting_by_name),
            default=0.0,
        )
        remaining_ms = self._get_remaining_ms(job.queue.service, job.cell)
        longest_run_ms = max(job.critical_path_ms, *remaining_ms[-1:])
        return max(0.0, last_start_ms - self.context.now_ms) + longest_run_ms

    def _count_ahead(self, job, open_jobs):
        """Return how many waiting tasks of its service start before a job's tasks."""
        make_sort_key = self.job_order.make_sort_key
        sort_key = make_sort_key(job)
        return sum(
            len(other.waiting_by_name)
            for other in open_jobs
            if other.waiting_by_name
            and other.queue.service == job.queue.service
            and make_sort_key(other) <= sort_key
        )

    def _estimate_wait_ms(self, job, n_needed):
        """Return the expected time until enough slots are free.

        The current runs free their slots first, in the order of their expected ends.
        If more slots are needed, all slots of the cell are reused in rounds, each as
        long as the longest remaining run, or as the critical path of the job if that is
        longer.

        :param job: the job.
        :param n_needed: number of slots needed beyond those that are free.
        """
        remaining_ms = self._get_remaining_ms(job.queue.service, job.cell)
        if not remaining_ms:
            return 0.0
        if n_needed <= len(remaining_ms):
            return remaining_ms[max(0, n_needed - 1)]
        need_cpu = max(1, max(step.need.cpu for step in job.spec.steps))
        n_slots = self.fleet.count_cell_slots(job.queue.service, need_cpu, job.cell)
        n_rounds = n_needed / max(len(remaining_ms), n_slots)
        return n_rounds * max(remaining_ms[-1], job.critical_path_ms)

    def _get_remaining_ms(self, service, cell):
        """Return the sorted remaining times of a service's runs, cached briefly."""
        now_ms = self.context.now_ms
        computed_ms, remaining_ms = self._remaining_by_service_cell.get(
            (service, cell), (-REMAINING_CACHE_MS, ())
        )
        if now_ms - computed_ms >= REMAINING_CACHE_MS:
            remaining_ms = sorted(self._estimate_remaining_ms(service, cell))
            self._remaining_by_service_cell[service, cell] = (now_ms, remaining_ms)
        return remaining_ms

    def _estimate_remaining_ms(self, service, cell):
        """Return the expected remaining time of each run of a service in a cell."""
        now_ms = self.context.now_ms
        remaining_ms = []
        for server in self.fleet.list_servers(cell):
            if server.record.service != service or not server.is_reachable:
                continue
            for run in server.run_by_name.values():
                if run.task is None:
                    continue
                queue_name = run.task.job.queue.name
                ratio = self.duration_estimator.get_correction(queue_name)
                expected_ms = ratio * run.task.spec.estimate_ms
                min_remaining_ms = MIN_REMAINING_FRACTION * expected_ms
                remaining_ms.append(
                    max(min_remaining_ms, expected_ms - (now_ms - run.sent_ms))
                )
        return remaining_ms


class ObjectiveOrder:
    """Order jobs by their latency objective and priority.

    Where jobs are served late on purpose, one that has begun is not overtaken by those
    that can meet their objective: its work so far would be lost at its deadline.

    :param context: the shared :class:`DispatchContext`.
    """

    def __init__(self, context=None):
        self.context = context

    def record_arrival(self, job):
        """Do nothing, as the order needs no rates."""

    def record_loss(self, job):
        """Do nothing, as the order needs no shares."""

    def make_sort_key(self, job):
        """Return the key by which jobs are sorted to start."""
        context = self.context
        is_protected = job.may_have_run and context.settings.max_lateness > 1.0
        return make_objective_sort_key(job, context.now_ms, is_protected)

    def spread_retry_ms(self, job, retry_after_ms):
        """Return the time after which a refused caller should retry, unchanged."""
        return retry_after_ms
