"""Outcomes of attempts: results, refusals, lost connections and overdue attempts."""

from ..contracts import NOT_STARTED_STATES, AttemptState
from ._actions import EventCode
from ._context import build_complete_answer, build_failure_answer
from ._events import ServerReported, StartLost, StartNotSent
from ._jobs import TaskPhase
from ._messages import (
    AttemptAdopted,
    AttemptCancelRequested,
    AttemptQueryRequested,
    AttemptsLost,
    AttemptsOverdue,
    JobClosed,
    JobFinished,
    ServerProcessGone,
    ServerUnreachable,
    TaskRequeued,
)
from ._retry import CompleteTask, FailJob, RequeueTask

MAX_QUERY_INTERVAL_MS = 8_000.0
ADOPTED_QUERY_INTERVAL_MS = 250.0


class AttemptOutcomeHandler:
    """Track attempts until their outcome is known, then finish or retry the task.

    :param context: the shared :class:`Context`.
    :param attempts: the :class:`AttemptTable`.
    """

    def __init__(self, context=None, attempts=None):
        self.context = context
        self.attempts = attempts

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ServerReported: self.on_report,
            StartNotSent: self.on_not_sent,
            StartLost: self.on_start_lost,
            AttemptsOverdue: self.on_overdue,
            AttemptsLost: self.on_attempts_lost,
            AttemptAdopted: self.on_adopted,
            ServerProcessGone: self.on_process_gone,
            JobClosed: self.on_job_closed,
        }

    def on_report(self, event):
        """Apply the states of attempts that a backend server reports."""
        for report in event.report.reports:
            attempt = self.attempts.by_id.get(report.attempt_id)
            if attempt is not None:
                self._apply_report(attempt, report, event.report.incarnation)

    def on_not_sent(self, event):
        """Requeue the tasks of a start that certainly did not reach its server."""
        message = ServerUnreachable(
            server_id=event.server_id, detail="connection refused"
        )
        self.context.post(message)
        for attempt in self.attempts.list_known(event.attempt_ids):
            self._close_attempt(attempt, AttemptState.NEVER_STARTED)

    def on_start_lost(self, event):
        """Query the attempts whose connection ended without a result."""
        attempts = self.attempts.list_known(event.attempt_ids)
        if not attempts:
            return
        for attempt in attempts:
            attempt.is_connection_lost = True
        context = self.context
        context.counters.n_lost += len(attempts)
        context.log(EventCode.ATTEMPT_LOST, event.server_id, f"{len(attempts)}")
        context.post(AttemptQueryRequested(attempts=tuple(attempts)))

    def on_overdue(self, message):
        """Query attempts that take longer than expected, less often each time."""
        attempts = tuple(a for a in message.attempts if a.is_open)
        if not attempts:
            return
        self.context.post(AttemptQueryRequested(attempts=attempts))
        interval_ms = min(MAX_QUERY_INTERVAL_MS, message.interval_ms * 2)
        self._schedule_overdue_check(attempts, interval_ms)

    def on_attempts_lost(self, message):
        """Close attempts whose outcome can no longer be found out."""
        for attempt in message.attempts:
            self._close_attempt(attempt, AttemptState.UNKNOWN)

    def on_adopted(self, message):
        """Track an attempt that a former coordinator started."""
        attempt = self.attempts.adopt(message.task, message.server, message.attempt_id)
        self._schedule_overdue_check((attempt,), ADOPTED_QUERY_INTERVAL_MS)

    def on_process_gone(self, message):
        """Close the attempts of a server process that no longer exists."""
        lost = self.attempts.list_by_process(message.server_id, message.incarnation)
        for attempt in lost:
            self._close_attempt(attempt, AttemptState.UNKNOWN)

    def on_job_closed(self, message):
        """Cancel the open attempts of an answered job if its tasks are repeatable."""
        if not message.job.entry.is_repeatable:
            return
        for task in message.job.tasks:
            for attempt in task.list_open_attempts():
                self.context.post(AttemptCancelRequested(attempt=attempt))

    def _apply_report(self, attempt, report, incarnation):
        state = report.state
        is_same_process = incarnation == attempt.server.incarnation
        if not is_same_process and state is not AttemptState.WRONG_INCARNATION:
            self._close_attempt(attempt, AttemptState.UNKNOWN)
            return
        match state:
            case AttemptState.RUNNING:
                return
            case AttemptState.UNKNOWN:
                # The start may still arrive. Cancelling makes the server refuse it;
                # its response to the cancellation decides.
                self.context.post(AttemptCancelRequested(attempt=attempt))
                return
        self._update_server(attempt, report)
        self._close_attempt(attempt, state, report.output)

    def _close_attempt(self, attempt, state, output=None):
        if not attempt.is_open:
            return
        self.attempts.close(attempt)
        attempt.is_proven_unstarted = state in NOT_STARTED_STATES
        task = attempt.task
        job = task.job
        if task.phase is not TaskPhase.RUNNING or job.answer is not None:
            return
        if task.list_open_attempts() and state is not AttemptState.OK:
            return
        match self.context.retry.decide(state, job.entry, task):
            case CompleteTask():
                self._complete_task(task, output)
            case RequeueTask(delay_ms=delay_ms, is_retry=is_retry):
                self._requeue_task(task, delay_ms, is_retry)
            case FailJob(reason=reason):
                answer = build_failure_answer(job, reason, f"task {task.id!r}")
                self.context.post(JobFinished(job=job, answer=answer))

    def _complete_task(self, task, output):
        task.end(output)
        for attempt in task.list_open_attempts():
            self.context.post(AttemptCancelRequested(attempt=attempt))
        job = task.job
        if job.n_open_tasks == 0:
            self.context.post(JobFinished(job=job, answer=build_complete_answer(job)))

    def _requeue_task(self, task, delay_ms, is_retry):
        context = self.context
        if is_retry:
            context.counters.n_retries += 1
            context.log(EventCode.ATTEMPT_RETRIED, task.job.job_id, task.id)
        context.post(TaskRequeued(task=task, delay_ms=delay_ms))

    def _update_server(self, attempt, report):
        context = self.context
        server = attempt.server
        match report.state:
            case AttemptState.OK:
                if context.servers.record_success(server):
                    context.log(EventCode.SERVER_RECOVERED, server.id)
                spec = attempt.task.spec
                entry_name = attempt.task.job.request.entry
                context.run_times.add_sample(
                    entry_name, spec.run_time_ms, report.run_ms
                )
            case AttemptState.FAILED:
                if context.servers.record_failure(server, context.now_ms):
                    context.log(EventCode.SERVER_EJECTED, server.id)
            case AttemptState.BUSY:
                context.counters.n_busy += 1
                context.servers.record_busy_refusal(server, context.now_ms)
            case AttemptState.LEAVING:
                server.is_leaving = True
            case AttemptState.WRONG_INCARNATION:
                pause_ms = context.settings.probe_interval_ms
                server.busy_until_ms = context.now_ms + pause_ms

    def _schedule_overdue_check(self, attempts, interval_ms):
        message = AttemptsOverdue(attempts=attempts, interval_ms=interval_ms)
        self.context.start_timer(interval_ms, message)
