"""Recovery of jobs whose coordinator is gone.

The backend servers are told to refuse any start of the job under an older term and
to report the attempts that they know. The term is a fencing token: a former
coordinator that was only paused cannot start anything on a fenced server.
"""

import attrs

from ..contracts import AttemptState, Reason, Refusal
from ._actions import EventCode, FenceJob
from ._context import build_complete_answer, build_failure_answer, build_unknown_answer
from ._events import JobFenced
from ._jobs import Job, JobPhase, TaskPhase
from ._messages import (
    AnswerReady,
    AttemptAdopted,
    ClaimRequested,
    CoordinatorLost,
    FenceTimedOut,
    JobFinished,
    JobReady,
    RecoveryRequested,
    SubmissionReceived,
)
from ._submission import build_job, decode_outcome, register_job


@attrs.define(kw_only=True)
class RecoveryProgress:
    """Responses to the fences of one job in recovery.

    :param job: the job as built at this instance.
    :param pending_server_ids: servers whose response is awaited.
    :param n_unanswered: servers that did not respond or are no longer known.
    :param has_failed_task: whether a server reported a failed or stopped task.
    """

    job: Job = None
    pending_server_ids: set = attrs.field(factory=set)
    n_unanswered: int = 0
    has_failed_task: bool = False


class JobRecovery:
    """Recover jobs whose coordinator is gone, so that each still gets one answer.

    A repeatable job is taken over with a claim of the next term, and tasks that no
    server knows are started. A job that must not be repeated is never taken over:
    its outcome is collected from the servers, or answered as unknown.

    :param context: the shared :class:`Context`.
    """

    def __init__(self, context=None):
        self.context = context
        self.progress_by_job = {}

    def subscribe(self):
        """Return handlers by message class."""
        return {
            CoordinatorLost: self.on_coordinator_lost,
            RecoveryRequested: self.on_recovery_requested,
            JobFenced: self.on_fenced,
            FenceTimedOut: self.on_fence_timed_out,
        }

    def on_coordinator_lost(self, message):
        """Claim a repeatable job of a lost coordinator, or ask the servers about it."""
        context = self.context
        job_id = message.job.job_id
        known_job = context.jobs.find(job_id)
        if known_job is not None:
            self._attach(known_job, message.waiter)
            return
        if message.state.is_ended:
            answer = decode_outcome(job_id, message.state)
            context.post(AnswerReady(waiter=message.waiter, answer=answer))
            return
        job = self._build_recovered_job(message)
        if job is None:
            return
        context.counters.n_takeovers += 1
        context.log(EventCode.JOB_TAKEN_OVER, job_id, message.state.claim.home)
        register_job(context, job)
        if message.state.claim.is_repeatable:
            context.post(ClaimRequested(job=job))
        else:
            context.post(RecoveryRequested(job=job))

    def on_recovery_requested(self, message):
        """Fence the job on every server, which report the attempts that they know."""
        context = self.context
        job = message.job
        job.phase = JobPhase.RECOVERING
        fence_term = job.term if job.is_claim_won else job.term + 1
        progress = RecoveryProgress(job=job)
        self.progress_by_job[job.job_id] = progress
        for server in context.servers.by_id.values():
            progress.pending_server_ids.add(server.id)
            context.emit(
                FenceJob(server=server.record, job_id=job.job_id, term=fence_term)
            )
        context.start_timer(
            context.settings.fence_patience_ms, FenceTimedOut(job_id=job.job_id)
        )
        self._finish_if_all_responded(progress)

    def on_fenced(self, event):
        """Apply one server's response to a fence."""
        progress = self.progress_by_job.get(event.job_id)
        if progress is None or event.server_id not in progress.pending_server_ids:
            return
        progress.pending_server_ids.discard(event.server_id)
        server = self.context.servers.by_id.get(event.server_id)
        if event.report is None or server is None:
            progress.n_unanswered += 1
        else:
            self._apply_fence_report(progress, server, event.report)
        self._finish_if_all_responded(progress)

    def on_fence_timed_out(self, message):
        """Continue without the servers that have not responded."""
        progress = self.progress_by_job.get(message.job_id)
        if progress is not None:
            progress.n_unanswered += len(progress.pending_server_ids)
            progress.pending_server_ids.clear()
            self._finish_if_all_responded(progress)

    def _attach(self, job, waiter):
        if job.answer is None:
            job.waiters.append(waiter)
            return
        self.context.post(AnswerReady(waiter=waiter, answer=job.answer))

    def _build_recovered_job(self, message):
        context = self.context
        claim = message.state.claim
        entry = context.catalogue.find_entry(message.job.entry)
        is_entry_unknown = isinstance(entry, Refusal)
        if is_entry_unknown or (
            claim.is_repeatable and context.log_health.is_unreachable
        ):
            answer = build_unknown_answer(
                message.job.job_id,
                Reason.OUTCOME_UNKNOWN,
                "the home of the job is gone and it cannot be recovered now",
                retry_after_ms=2_000,
            )
            context.post(AnswerReady(waiter=message.waiter, answer=answer))
            return None
        submission = SubmissionReceived(waiter=message.waiter, job=message.job)
        term = claim.term + 1 if claim.is_repeatable else claim.term
        job = build_job(context, submission, claim.digest, entry, term=term)
        job.is_taken_over = True
        return job

    def _apply_fence_report(self, progress, server, server_report):
        task_by_id = {task.id: task for task in progress.job.tasks}
        for report in server_report.reports:
            task = task_by_id.get(report.task_id)
            if task is None or task.phase is TaskPhase.ENDED:
                continue
            match report.state:
                case AttemptState.OK:
                    task.end(report.output)
                case AttemptState.RUNNING:
                    task.phase = TaskPhase.RUNNING
                    self.context.post(
                        AttemptAdopted(
                            task=task, server=server, attempt_id=report.attempt_id
                        )
                    )
                case AttemptState.FAILED | AttemptState.STOPPED:
                    progress.has_failed_task = True

    def _finish_if_all_responded(self, progress):
        if progress.pending_server_ids:
            return
        job = progress.job
        if self.progress_by_job.pop(job.job_id, None) is None or job.answer is not None:
            return
        if job.n_open_tasks == 0:
            self._finish(job, build_complete_answer(job))
            return
        if job.is_claim_won:
            self.context.post(JobReady(job=job))
            return
        self._finish_non_repeatable(progress)

    def _finish_non_repeatable(self, progress):
        job = progress.job
        if progress.has_failed_task:
            answer = build_failure_answer(job, Reason.TASK_FAILED, "a task failed")
            self._finish(job, answer)
            return
        are_all_known = all(
            task.phase in (TaskPhase.ENDED, TaskPhase.RUNNING) for task in job.tasks
        )
        if are_all_known:
            job.phase = JobPhase.RUNNING
            return
        detail = "the home of the job is gone, and not every task could be found"
        self._finish(job, build_failure_answer(job, Reason.OUTCOME_UNKNOWN, detail))

    def _finish(self, job, answer):
        self.context.post(JobFinished(job=job, answer=answer))
