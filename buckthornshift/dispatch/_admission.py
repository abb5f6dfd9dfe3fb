"""Whether a new job is taken, by the work that is ahead of it."""

import attrs

from ._peer_messages import EndReason

# What is left of a run that takes longer than expected, as a part of that.
OVERDUE_FRACTION = 0.2
# Age up to which the expected ends of what runs are used again: well under the
# shortest objective, and much more than the time to work one message off.
ENDS_KEPT_MS = 5.0
# A job that no listed server holds may fit a server of the next nightly upgrade.
INFEASIBLE_RETRY_MS = 1_000.0


@attrs.frozen(kw_only=True)
class JobRefusal:
    """Sentinel for a job that is turned down, with the reason.

    :param reason: the :class:`EndReason`.
    :param detail: inputs of the decision.
    :param retry_after_ms: when asking again can help.
    """

    reason: EndReason = EndReason.OVERLOADED
    detail: str = ""
    retry_after_ms: float = 0.0


class AdmissionController:
    """Refuse at once what can't be done by its latency objective.

    Answers the pattern of sustained overload. Taking everything that its caller
    would wait for lets the queue grow until every answer is late; taking what can
    meet its objective serves as many in time as there is room for, and tells the
    others at once when to come back.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param duration_estimator: the :class:`DurationEstimator`.
    """

    def __init__(self, context=None, fleet=None, duration_estimator=None):
        self.context = context
        self.fleet = fleet
        self.duration_estimator = duration_estimator
        self._left_by_place = {}

    def check(self, job, open_jobs):
        """Return a :class:`JobRefusal`, or ``None`` for a job that is taken.

        :param job: the new job.
        :param open_jobs: jobs of its cell that have no outcome.
        """
        context = self.context
        for step in job.spec.steps:
            if not self.fleet.can_ever_run(job.queue.service, step, job.cell):
                return JobRefusal(
                    reason=EndReason.INFEASIBLE,
                    detail=f"no server holds {step.need} {step.required_label}",
                    retry_after_ms=INFEASIBLE_RETRY_MS,
                )
        if job.is_resent:
            # Part of its work may be done already: it is not wasted by a refusal.
            return None
        need_cpu = max(1, max(step.need.cpu for step in job.spec.steps))
        n_ahead = self._count_ahead(job, open_jobs)
        n_free = self.fleet.count_free_slots(job.queue.service, need_cpu, job.cell)
        if n_ahead < n_free:
            return None
        # Ends are known to within half of a run only: the second half of the tasks
        # may start a little later and end in time all the same.
        n_half = (job.spec.steps[0].n_tasks + 1) // 2
        wait_ms = self._estimate_wait_ms(job, n_ahead + n_half - n_free)
        # The estimate is no better than the constant part of the objective.
        slack_ms = max(job.queue.target_ms, job.latest_start_ms - context.now_ms)
        if wait_ms > slack_ms:
            return JobRefusal(
                reason=EndReason.OVERLOADED,
                detail=f"expected wait {wait_ms:.0f} ms, slack {slack_ms:.0f} ms",
                retry_after_ms=max(context.settings.min_retry_after_ms, wait_ms),
            )
        return None

    def _count_ahead(self, job, open_jobs):
        """Return how many tasks of a service start before a job's."""
        now_ms = self.context.now_ms
        key = make_job_sort_key(job, now_ms)
        return sum(
            len(other.waiting_by_name)
            for other in open_jobs
            if other.waiting_by_name
            and other.queue.service == job.queue.service
            and make_job_sort_key(other, now_ms) <= key
        )

    def _estimate_wait_ms(self, job, n_needed):
        """Return when a number of slots will have become free.

        What runs now frees its slots first, one after the other; beyond that the
        slots turn over at the pace of what runs.

        :param job: the job.
        :param n_needed: slots needed beyond those that are free.
        """
        left_ms = self._find_left_ms(job.queue.service, job.cell)
        if not left_ms:
            return 0.0
        if n_needed <= len(left_ms):
            return left_ms[max(0, n_needed - 1)]
        n_rounds = n_needed / len(left_ms)
        return n_rounds * max(left_ms[-1], job.critical_path_ms)

    def _find_left_ms(self, service, cell):
        """Return how long runs go on, in order; a moment old at most."""
        now_ms = self.context.now_ms
        read_ms, left_ms = self._left_by_place.get((service, cell), (-ENDS_KEPT_MS, ()))
        if now_ms - read_ms >= ENDS_KEPT_MS:
            left_ms = sorted(self._list_left_ms(service, cell))
            self._left_by_place[service, cell] = (now_ms, left_ms)
        return left_ms

    def _list_left_ms(self, service, cell):
        """Return how long each run of a service in a cell is expected to go on."""
        now_ms = self.context.now_ms
        left_ms = []
        for server in self.fleet.list_servers(cell):
            if server.record.service != service or not server.is_reachable:
                continue
            for run in server.run_by_name.values():
                if run.task is None:
                    continue
                queue_name = run.task.job.queue.name
                ratio = self.duration_estimator.get_ratio(queue_name)
                expected_ms = ratio * run.task.spec.estimate_ms
                shortest_ms = OVERDUE_FRACTION * expected_ms
                left_ms.append(max(shortest_ms, expected_ms - (now_ms - run.sent_ms)))
        return left_ms


def make_job_sort_key(job, now_ms):
    """Return the order in which jobs start.

    Those that can still meet their objective come first; among them the operators'
    priority decides, then the latest useful start.

    :param job: the :class:`Job`.
    :param now_ms: the current time.
    """
    is_late = now_ms > job.latest_start_ms
    return (is_late, job.queue.priority, job.latest_start_ms)
