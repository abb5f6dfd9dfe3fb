"""Whether a job that can't meet its latency objective is served late or refused."""

# Shortest duration assumed for a job, as a fraction of the expected one; 95% of jobs
# take longer.
MIN_RUN_FRACTION = 0.5
# How long a job that has not begun still waits after it missed its objective, as a
# fraction of the time until it could no longer end by its deadline.
LATE_WAIT_FRACTION = 0.25


class LateService:
    """Decide which jobs are served although they will be late, and until when.

    A late answer is worth less to a caller than one in time, but more than none. Late
    jobs start when no job waits that can meet its objective.

    :param context: the shared :class:`DispatchContext`.
    """

    def __init__(self, context=None):
        self.context = context

    @property
    def is_on(self):
        """Whether any job is served late on purpose."""
        return self.context.settings.max_lateness > 1.0

    def can_end_late(self, job, wait_ms):
        """Return whether a job will end while its answer is of use.

        :param job: a job that can't meet its objective.
        :param wait_ms: its expected wait.
        """
        if not self.is_on:
            return False
        settings = self.context.settings
        objective_ms = job.objective_deadline_ms - job.arrived_ms
        latest_end_ms = min(
            job.deadline_ms - settings.answer_margin_ms,
            job.arrived_ms + settings.max_lateness * objective_ms,
        )
        return self.context.now_ms + wait_ms + job.critical_path_ms <= latest_end_ms

    def compute_wait_end_ms(self, job):
        """Return until when a job that has not begun waits for a server."""
        last_start_ms = job.deadline_ms - MIN_RUN_FRACTION * job.critical_path_ms
        # For a job that could not meet its objective even on arrival, the wait is
        # counted from its arrival.
        objective_missed_ms = max(job.latest_start_ms, job.arrived_ms)
        max_wait_ms = max(0.0, last_start_ms - objective_missed_ms)
        return objective_missed_ms + LATE_WAIT_FRACTION * max_wait_ms
