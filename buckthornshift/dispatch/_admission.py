"""Whether a new job is taken, by the work that is ahead of it."""

import attrs

from ._peer_messages import EndReason


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


class Admission:
    """Refuse at once what can't be done in time.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    """

    def __init__(self, context=None, fleet=None):
        self.context = context
        self.fleet = fleet

    def check(self, job, open_jobs):
        """Return a :class:`JobRefusal`, or ``None`` for a job that is taken.

        :param job: the new job.
        :param open_jobs: jobs that have no outcome.
        """
        settings = self.context.settings
        for step in job.spec.steps:
            if not self.fleet.can_ever_run(job.queue.service, step):
                return JobRefusal(
                    reason=EndReason.INFEASIBLE,
                    detail=f"no server holds {step.need} {step.required_label}",
                    retry_after_ms=1_000.0,
                )
        wait_ms = self.estimate_wait_ms(job, open_jobs)
        slack_ms = job.deadline_ms - self.context.now_ms - job.chain_ms
        if wait_ms > max(0.0, slack_ms):
            return JobRefusal(
                reason=EndReason.OVERLOADED,
                detail=f"expected wait {wait_ms:.0f} ms, slack {slack_ms:.0f} ms",
                retry_after_ms=max(settings.min_retry_after_ms, wait_ms),
            )
        return None

    def estimate_wait_ms(self, job, open_jobs):
        """Return how long a job would wait for its start.

        :param job: the job.
        :param open_jobs: jobs that have no outcome.
        """
        capacity = sum(
            server.record.capacity.cpu
            for server in self.fleet.iter_open(job.queue.service)
        )
        if capacity == 0:
            return 0.0
        key = rank_job(job, self.context.now_ms)
        work = sum(
            other.waiting_work
            for other in open_jobs
            if other.queue.service == job.queue.service
            and rank_job(other, self.context.now_ms) <= key
        )
        return work / capacity


def rank_job(job, now_ms):
    """Return the order in which jobs start: by latest useful start, late ones last.

    :param job: the :class:`Job`.
    :param now_ms: the current time.
    """
    is_late = now_ms > job.latest_start_ms
    return (is_late, job.latest_start_ms, job.queue.priority)
