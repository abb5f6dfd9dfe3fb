"""Model of a backend server: slots, attempts, fences; shared by all stand-ins."""

import attrs

from ..contracts import AttemptReport, AttemptState, ServerReport

MAX_KEPT_ATTEMPTS = 20_000


@attrs.define(kw_only=True)
class BackendFaults:
    """Faults that a backend stand-in can be told to show.

    :param fails_everything: every task fails at once.
    :param slow_factor: multiplies run times.
    :param is_silent: open connections carry nothing more; new ones work.
    :param is_down: nothing is answered.
    """

    fails_everything: bool = False
    slow_factor: float = 1.0
    is_silent: bool = False
    is_down: bool = False


@attrs.define(kw_only=True)
class SimulatedAttempt:
    """An attempt as its server knows it.

    :param job_id: the job.
    :param task_id: the task.
    :param report: last report.
    :param due_ms: when a running attempt ends.
    :param started_ms: when it started.
    :param connection: who waits for the result.
    """

    job_id: str = ""
    task_id: str = ""
    report: AttemptReport = AttemptReport()
    due_ms: float = 0.0
    started_ms: float = 0.0
    connection: object = None


class BackendModel:
    """Run tasks of given lengths in slots, without a socket or clock.

    :param server_id: name of the server.
    :param incarnation: incarnation of its process.
    :param slots: tasks that run at once.
    :param default_run_ms: run time of a payload that names none.
    """

    def __init__(self, server_id="", incarnation="", slots=8, default_run_ms=50.0):
        self.server_id = server_id
        self.incarnation = incarnation
        self.slots = slots
        self.default_run_ms = default_run_ms
        self.faults = BackendFaults()
        self.is_leaving = False
        self.attempts_by_id = {}
        self.running_ids = set()
        self.n_starts_by_task = {}
        self.n_refused = 0
        self.on_start = None
        self._dropped = []
        self._fence_by_job = {}

    def start(self, request, connection, now_ms):
        """Take a start.

        :param request: the :class:`~buckthornshift.contracts.StartRequest`.
        :param connection: who gets the results.
        :param now_ms: the current time.
        :returns: reports of attempts that were refused.
        """
        refused = []
        for spec in request.attempts:
            state = self._find_refusal(spec, request.incarnation)
            if state is None:
                self._begin(spec, connection, now_ms)
            else:
                self.n_refused += 1
                refused.append(AttemptReport(attempt_id=spec.attempt_id, state=state))
        return refused

    def find_next_due(self):
        """Return when the next running attempt ends, or ``None``."""
        dues = (
            self.attempts_by_id[attempt_id].due_ms for attempt_id in self.running_ids
        )
        return min(dues, default=None)

    def finish_due(self, now_ms):
        """End attempts whose time has come.

        :param now_ms: the current time.
        :returns: the ended :class:`SimulatedAttempt` objects.
        """
        ended = []
        for attempt_id in sorted(self.running_ids):
            attempt = self.attempts_by_id[attempt_id]
            if attempt.due_ms <= now_ms:
                self.running_ids.discard(attempt_id)
                attempt.report = self._end_report(attempt, now_ms)
                ended.append(attempt)
        return ended

    def query(self, attempt_ids):
        """Return what is known of attempts."""
        return tuple(self._report_of(attempt_id) for attempt_id in attempt_ids)

    def cancel(self, attempt_ids):
        """Stop attempts; those never seen are refused from now on."""
        for attempt_id in attempt_ids:
            attempt = self.attempts_by_id.get(attempt_id)
            if attempt is None:
                report = AttemptReport(
                    attempt_id=attempt_id, state=AttemptState.NEVER_STARTED
                )
                self._remember(attempt_id, SimulatedAttempt(report=report))
            elif attempt_id in self.running_ids:
                self.running_ids.discard(attempt_id)
                self._drop(attempt, AttemptState.STOPPED)
        return self.query(attempt_ids)

    def fence(self, job_id, term):
        """Refuse starts of a job below a term; return what is known of the job."""
        self._fence_by_job[job_id] = max(term, self._fence_by_job.get(job_id, 0))
        return tuple(
            attempt.report
            for attempt in self.attempts_by_id.values()
            if attempt.job_id == job_id
        )

    def take_cancelled(self):
        """Return attempts that were cancelled or fenced, to tell who waits."""
        dropped, self._dropped = self._dropped, []
        return dropped

    def make_report(self, reports=()):
        """Return a server report with the current load."""
        return ServerReport(
            incarnation=self.incarnation,
            n_running=len(self.running_ids),
            is_leaving=self.is_leaving,
            reports=tuple(reports),
        )

    def _find_refusal(self, spec, incarnation):
        if incarnation != self.incarnation:
            return AttemptState.WRONG_INCARNATION
        if spec.attempt_id in self.attempts_by_id:
            return self.attempts_by_id[spec.attempt_id].report.state
        if spec.term < self._fence_by_job.get(spec.job_id, 0):
            return AttemptState.FENCED
        if self.is_leaving:
            return AttemptState.LEAVING
        if len(self.running_ids) >= self.slots:
            return AttemptState.BUSY
        return None

    def _drop(self, attempt, state):
        attempt.report = attrs.evolve(attempt.report, state=state)
        self._dropped.append(attempt)

    def _begin(self, spec, connection, now_ms):
        run_ms = self.default_run_ms
        if isinstance(spec.payload, dict):
            run_ms = float(spec.payload.get("run_ms", run_ms))
        if self.faults.fails_everything:
            run_ms = 1.0
        report = AttemptReport(
            attempt_id=spec.attempt_id,
            task_id=spec.task_id,
            state=AttemptState.RUNNING,
            output={"echo": spec.payload, "server": self.server_id},
        )
        attempt = SimulatedAttempt(
            job_id=spec.job_id,
            task_id=spec.task_id,
            report=report,
            started_ms=now_ms,
            due_ms=now_ms + run_ms * self.faults.slow_factor,
            connection=connection,
        )
        self._remember(spec.attempt_id, attempt)
        self.running_ids.add(spec.attempt_id)
        if self.on_start is not None:
            self.on_start(self, spec)
        key = f"{spec.job_id}/{spec.task_id}"
        self.n_starts_by_task[key] = self.n_starts_by_task.get(key, 0) + 1

    def _end_report(self, attempt, now_ms):
        is_failure = self.faults.fails_everything or _asks_to_fail(attempt.report)
        run_ms = now_ms - attempt.started_ms
        if is_failure:
            return attrs.evolve(
                attempt.report,
                state=AttemptState.FAILED,
                output=None,
                detail="the task failed",
                run_ms=run_ms,
            )
        return attrs.evolve(attempt.report, state=AttemptState.OK, run_ms=run_ms)

    def _report_of(self, attempt_id):
        attempt = self.attempts_by_id.get(attempt_id)
        if attempt is None:
            return AttemptReport(attempt_id=attempt_id, state=AttemptState.UNKNOWN)
        return attempt.report

    def _remember(self, attempt_id, attempt):
        self.attempts_by_id[attempt_id] = attempt
        if len(self.attempts_by_id) > MAX_KEPT_ATTEMPTS:
            oldest = next(iter(self.attempts_by_id))
            if oldest not in self.running_ids:
                del self.attempts_by_id[oldest]


def _asks_to_fail(report):
    payload = report.output.get("echo") if isinstance(report.output, dict) else None
    return isinstance(payload, dict) and bool(payload.get("fail"))
