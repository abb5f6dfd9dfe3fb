"""Recovery of a job whose home is gone: learn from the servers, fence, go on.

The backend servers are told to refuse any start of the job under an older term and
to report what they know. The term plays the part of a fencing token: a former home
that was only paused cannot start anything after its servers were fenced.
"""

import attrs

from ..contracts import AttemptState, Reason, Refusal
from ._actions import EventCode, FenceJob
from ._context import build_complete_answer, build_failure_answer, build_unknown_answer
from ._events import JobFenced
from ._jobs import Job, JobPhase, TaskPhase
from ._messages import (
    AttemptAdopted,
    ClaimRequested,
    CoordinatorLost,
    FenceTimedOut,
    JobFinished,
    JobReady,
    RecoveryRequested,
    ReplyReady,
    SubmissionReceived,
)
from ._submission import build_job, decode_outcome, register_job


@attrs.define(kw_only=True)
class RecoveryProgress:
    """What the servers told of one job so far.

    :param job: the job at this instance.
    :param waiting_ids: servers that have not answered.
    :param n_silent: servers that did not answer.
    :param has_failed_task: whether a task is known to have failed.
    """

    job: Job = None
    waiting_ids: set = attrs.field(factory=set)
    n_silent: int = 0
    has_failed_task: bool = False


class JobRecovery:
    """Bring a job of a lost home to its one answer.

    Repeatable work is taken over with a claim of the next term, and what no server
    knows is started. Work that must not be repeated is never taken over: its
    outcome is learnt, or answered as unknown.

    :param context: the shared :class:`Context`.
    """

    def __init__(self, context=None):
        self.context = context
        self.by_job = {}

    def subscribe(self):
        """Return handlers by message class."""
        return {
            CoordinatorLost: self.on_coordinator_lost,
            RecoveryRequested: self.on_recovery_requested,
            JobFenced: self.on_fenced,
            FenceTimedOut: self.on_patience_over,
        }

    def on_coordinator_lost(self, message):
        """Take the job over, or ask the servers what became of it."""
        context = self.context
        job_id = message.job.job_id
        known = context.jobs.find(job_id)
        if known is not None:
            self._join(known, message.waiter)
            return
        if message.state.is_ended:
            answer = decode_outcome(job_id, message.state)
            context.post(ReplyReady(waiter=message.waiter, answer=answer))
            return
        job = self._build(message)
        if job is None:
            return
        context.counters.n_takeovers += 1
        context.note(EventCode.JOB_TAKEN_OVER, job_id, message.state.claim.home)
        register_job(context, job)
        if message.state.claim.is_repeatable:
            context.post(ClaimRequested(job=job))
        else:
            context.post(RecoveryRequested(job=job))

    def on_recovery_requested(self, message):
        """Fence the job on every server and collect what they know."""
        context = self.context
        job = message.job
        job.phase = JobPhase.RECOVERING
        fence_term = job.term if job.is_claim_won else job.term + 1
        inquiry = RecoveryProgress(job=job)
        self.by_job[job.job_id] = inquiry
        for server in context.servers.by_id.values():
            inquiry.waiting_ids.add(server.id)
            context.emit(
                FenceJob(server=server.record, job_id=job.job_id, term=fence_term)
            )
        context.start_timer(
            context.settings.fence_patience_ms, FenceTimedOut(job_id=job.job_id)
        )
        self._finish_if_told(inquiry)

    def on_fenced(self, event):
        """Take what one server knows of the job."""
        inquiry = self.by_job.get(event.job_id)
        if inquiry is None or event.server_id not in inquiry.waiting_ids:
            return
        inquiry.waiting_ids.discard(event.server_id)
        server = self.context.servers.by_id.get(event.server_id)
        if event.report is None or server is None:
            inquiry.n_silent += 1
        else:
            self._adopt(inquiry, server, event.report)
        self._finish_if_told(inquiry)

    def on_patience_over(self, message):
        """Go on without the servers that did not answer."""
        inquiry = self.by_job.get(message.job_id)
        if inquiry is not None:
            inquiry.n_silent += len(inquiry.waiting_ids)
            inquiry.waiting_ids.clear()
            self._finish_if_told(inquiry)

    def _join(self, known, waiter):
        if known.answer is None:
            known.waiters.append(waiter)
            return
        self.context.post(ReplyReady(waiter=waiter, answer=known.answer))

    def _build(self, message):
        context = self.context
        claim = message.state.claim
        entry = context.catalogue.find_entry(message.job.entry)
        is_lost_entry = isinstance(entry, Refusal)
        if is_lost_entry or (claim.is_repeatable and context.log_health.is_unreachable):
            answer = build_unknown_answer(
                message.job.job_id,
                Reason.OUTCOME_UNKNOWN,
                "the home of the job is gone and it cannot be recovered now",
                retry_after_ms=2_000,
            )
            context.post(ReplyReady(waiter=message.waiter, answer=answer))
            return None
        arrival = SubmissionReceived(waiter=message.waiter, job=message.job)
        term = claim.term + 1 if claim.is_repeatable else claim.term
        job = build_job(context, arrival, claim.digest, entry, term=term)
        job.is_taken_over = True
        return job

    def _adopt(self, inquiry, server, server_report):
        task_by_id = {task.id: task for task in inquiry.job.tasks}
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
                    inquiry.has_failed_task = True

    def _finish_if_told(self, inquiry):
        if inquiry.waiting_ids:
            return
        job = inquiry.job
        if self.by_job.pop(job.job_id, None) is None or job.answer is not None:
            return
        if job.n_open_tasks == 0:
            self._settle(job, build_complete_answer(job))
            return
        if job.is_claim_won:
            self.context.post(JobReady(job=job))
            return
        self._finish_unrepeatable(inquiry)

    def _finish_unrepeatable(self, inquiry):
        job = inquiry.job
        if inquiry.has_failed_task:
            answer = build_failure_answer(job, Reason.TASK_FAILED, "a task failed")
            self._settle(job, answer)
            return
        is_all_known = all(
            task.phase in (TaskPhase.ENDED, TaskPhase.RUNNING) for task in job.tasks
        )
        if is_all_known:
            job.phase = JobPhase.RUNNING
            return
        detail = "the home of the job is gone, and not every task could be found"
        self._settle(job, build_failure_answer(job, Reason.OUTCOME_UNKNOWN, detail))

    def _settle(self, job, answer):
        self.context.post(JobFinished(job=job, answer=answer))
