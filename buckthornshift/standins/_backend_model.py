"""Model of a backend server: slots, attempts and fences, without I/O."""

import attrs

from ..contracts import AttemptReport, AttemptState, ServerReport

MAX_KEPT_ATTEMPTS = 20_000


@attrs.define(kw_only=True)
class BackendFaults:
    """Faults of a simulated backend server.

    :param fails_everything: whether every task fails after 1 ms.
    :param slow_factor: factor on run times.
    :param is_silent: whether open connections get no more data, while new ones work.
    :param is_down: whether no request gets a response.
    """

    fails_everything: bool = False
    slow_factor: float = 1.0
    is_silent: bool = False
    is_down: bool = False


@attrs.define(kw_only=True)
class SimulatedAttempt:
    """State of an attempt on its server.

    :param job_id: id of the job.
    :param task_id: id of the task.
    :param report: the latest :class:`~buckthornshift.contracts.AttemptReport`.
    :param due_ms: when a running attempt ends.
    :param started_ms: start time.
    :param connection: receives the result; opaque to the model.
    """

    job_id: str = ""
    task_id: str = ""
    report: AttemptReport = AttemptReport()
    due_ms: float = 0.0
    started_ms: float = 0.0
    connection: object = None


class BackendModel:
    """Run attempts in a limited number of slots; the caller passes the time.

    :param server_id: id of the server.
    :param incarnation: incarnation of its process.
    :param slots: maximum number of concurrent attempts.
    :param default_run_ms: run time of a task whose payload has no ``run_ms``.
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
        self._cancelled = []
        self._fence_by_job = {}

    def start(self, request, connection, now_ms):
        """Start the attempts of a request, or refuse them one by one.

        :param request: the :class:`~buckthornshift.contracts.StartRequest`.
        :param connection: receives the results; opaque to the model.
        :param now_ms: the current time.
        :returns: reports of the refused attempts.
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
        """End the attempts that are due.

        :param now_ms: the current time.
        :returns: the ended :class:`SimulatedAttempt` objects.
        """
        ended = []
        for attempt_id in sorted(self.running_ids):
            attempt = self.attempts_by_id[attempt_id]
            if attempt.due_ms <= now_ms:
                self.running_ids.discard(attempt_id)
                attempt.report = self._make_final_report(attempt, now_ms)
                ended.append(attempt)
        return ended

    def query(self, attempt_ids):
        """Return the latest report of each attempt."""
        return tuple(self._get_report(attempt_id) for attempt_id in attempt_ids)

    def cancel(self, attempt_ids):
        """Stop attempts, and refuse those that have not arrived yet when they do."""
        for attempt_id in attempt_ids:
            attempt = self.attempts_by_id.get(attempt_id)
            if attempt is None:
                report = AttemptReport(
                    attempt_id=attempt_id, state=AttemptState.NEVER_STARTED
                )
                self._store_attempt(attempt_id, SimulatedAttempt(report=report))
            elif attempt_id in self.running_ids:
                self.running_ids.discard(attempt_id)
                self._cancel_attempt(attempt, AttemptState.STOPPED)
        return self.query(attempt_ids)

    def fence(self, job_id, term):
        """Refuse starts of a job below a term; return the reports of its attempts."""
        self._fence_by_job[job_id] = max(term, self._fence_by_job.get(job_id, 0))
        return tuple(
            attempt.report
            for attempt in self.attempts_by_id.values()
            if attempt.job_id == job_id
        )

    def take_cancelled(self):
        """Return the attempts cancelled since the last call, to report their end."""
        cancelled, self._cancelled = self._cancelled, []
        return cancelled

    def make_report(self, reports=()):
        """Return a server report with attempt reports and the current load."""
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

    def _cancel_attempt(self, attempt, state):
        attempt.report = attrs.evolve(attempt.report, state=state)
        self._cancelled.append(attempt)

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
        self._store_attempt(spec.attempt_id, attempt)
        self.running_ids.add(spec.attempt_id)
        if self.on_start is not None:
            self.on_start(self, spec)
        key = f"{spec.job_id}/{spec.task_id}"
        self.n_starts_by_task[key] = self.n_starts_by_task.get(key, 0) + 1

    def _make_final_report(self, attempt, now_ms):
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

    def _get_report(self, attempt_id):
        attempt = self.attempts_by_id.get(attempt_id)
        if attempt is None:
            return AttemptReport(attempt_id=attempt_id, state=AttemptState.UNKNOWN)
        return attempt.report

    def _store_attempt(self, attempt_id, attempt):
        self.attempts_by_id[attempt_id] = attempt
        if len(self.attempts_by_id) > MAX_KEPT_ATTEMPTS:
            oldest = next(iter(self.attempts_by_id))
            if oldest not in self.running_ids:
                del self.attempts_by_id[oldest]


def _asks_to_fail(report):
    payload = report.output.get("echo") if isinstance(report.output, dict) else None
    return isinstance(payload, dict) and bool(payload.get("fail"))
