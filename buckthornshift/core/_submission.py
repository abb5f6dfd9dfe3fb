"""Submissions and cancellations of jobs: accept, attach, forward or refuse."""

import msgspec

from ..contracts import (
    AwaitJob,
    CancelJob,
    JobAnswer,
    JobStatus,
    Reason,
    Refusal,
    compute_job_digest,
    make_conflict_answer,
    make_refusal_answer,
)
from ._actions import EventCode
from ._catalogue import ENTRY_PREFIX, OWNER_PREFIX
from ._context import build_failure_answer, build_unknown_answer
from ._events import JobCancelRequested, JobSubmitted, PeerReceived
from ._jobs import CallerWaiter, Job, JobPhase, PeerWaiter, Task, TaskPhase
from ._messages import (
    AnswerReady,
    ClaimRequested,
    CoordinatorLost,
    DeadlineReached,
    JobFinished,
    JobReady,
    JobWithdrawn,
    RemoteAnswerRequested,
    RemoteCancelRequested,
    SubmissionReceived,
)

LOG_RETRY_AFTER_MS = 2_000


class SubmissionHandler:
    """Accept, attach, forward or refuse submissions, and cancel jobs.

    A submission of a job that is known here or claimed in the shared log attaches to
    that job; only a new job is checked for admission.

    :param context: the shared :class:`Context`.
    """

    def __init__(self, context=None):
        self.context = context

    def subscribe(self):
        """Return handlers by message class."""
        return {
            JobSubmitted: self.on_submitted,
            SubmissionReceived: self.on_received,
            JobCancelRequested: self.on_cancel,
            PeerReceived: self.on_peer,
            DeadlineReached: self.on_deadline,
        }

    def on_submitted(self, event):
        """Handle a job submitted by a caller."""
        self.context.counters.n_submitted += 1
        self._submit(
            SubmissionReceived(
                waiter=CallerWaiter(caller_ref=event.caller_ref),
                job=event.job,
                is_resubmission=event.is_resubmission,
            )
        )

    def on_received(self, message):
        """Handle a submission that another component routes again."""
        self._submit(message)

    def on_peer(self, event):
        """Handle a submission or cancellation from a peer."""
        match event.message:
            case AwaitJob():
                self._submit_from_peer(event.peer_id, event.message)
            case CancelJob():
                waiter = PeerWaiter(
                    peer_id=event.peer_id, request_id=event.message.request_id
                )
                self._cancel(waiter, event.message.job_id, is_from_peer=True)

    def on_cancel(self, event):
        """Cancel a job on behalf of a caller."""
        waiter = CallerWaiter(caller_ref=event.caller_ref)
        self._cancel(waiter, event.job_id, is_from_peer=False)

    def on_deadline(self, message):
        """Answer a job whose deadline has passed, by whether it may have run."""
        job = message.job
        if job.answer is not None:
            return
        if job.phase is JobPhase.CLAIMING:
            detail = "the deadline came before the claim was settled"
            answer = build_failure_answer(job, Reason.DEADLINE_PAST, detail)
            self.context.post(JobWithdrawn(job=job, answer=answer))
            return
        has_lost_attempt = any(
            a.is_connection_lost
            for task in job.tasks
            for a in task.list_open_attempts()
        )
        reason = Reason.DEADLINE_EXCEEDED
        if not job.may_have_started():
            reason = Reason.DEADLINE_PAST
        elif has_lost_attempt and not job.entry.is_repeatable:
            reason = Reason.OUTCOME_UNKNOWN
        answer = build_failure_answer(job, reason, "the deadline came first")
        self.context.post(JobFinished(job=job, answer=answer))

    def _submit_from_peer(self, peer_id, message):
        waiter = PeerWaiter(peer_id=peer_id, request_id=message.request_id)
        self._submit(
            SubmissionReceived(
                waiter=waiter,
                job=message.job,
                is_resubmission=message.is_resubmission,
                is_forwarded=message.is_forwarded,
            )
        )

    def _submit(self, submission):
        digest = compute_job_digest(submission.job)
        if self._attach_to_known_job(submission, digest):
            return
        if self._route_by_claim(submission, digest):
            return
        refusal = self._check_admission(submission)
        if refusal is not None:
            self._refuse(submission, refusal)
            return
        self._accept(submission, digest)

    def _attach_to_known_job(self, submission, digest):
        job = self.context.jobs.find(submission.job.job_id)
        if job is None:
            return False
        if job.digest != digest:
            self._refuse_conflict(submission)
        elif job.answer is not None:
            self._answer(submission.waiter, job.answer)
        elif submission.waiter not in job.waiters:
            job.waiters.append(submission.waiter)
            self.context.log(EventCode.JOB_ATTACHED, job.job_id)
        return True

    def _route_by_claim(self, submission, digest):
        context = self.context
        state = context.claims.find(submission.job.job_id)
        if state is None:
            return False
        claim = state.claim
        if claim.digest != digest:
            self._refuse_conflict(submission)
            return True
        if state.is_ended:
            self._answer(
                submission.waiter, decode_outcome(submission.job.job_id, state)
            )
            return True
        identity = context.identity
        if claim.incarnation == identity.incarnation:
            return self._handle_own_claim(submission)
        claim_age_ms = context.now_ms - state.read_ms
        if not context.peers.is_gone(claim.home, claim.incarnation, claim_age_ms):
            context.post(
                RemoteAnswerRequested(
                    waiter=submission.waiter,
                    job=submission.job,
                    coordinator_id=claim.home,
                    claim=claim,
                    is_resubmission=submission.is_resubmission,
                )
            )
            return True
        context.post(
            CoordinatorLost(waiter=submission.waiter, job=submission.job, state=state)
        )
        return True

    def _handle_own_claim(self, submission):
        if submission.job.job_id in self.context.withdrawn_ids:
            return False
        answer = build_unknown_answer(
            submission.job.job_id,
            Reason.ANSWER_NOT_KEPT,
            "the job was answered, and the answer is no longer kept",
        )
        self._answer(submission.waiter, answer)
        return True

    def _check_admission(self, submission):
        context = self.context
        job = submission.job
        refusal = context.admission.check_id(
            job.job_id, context.claims.floor_ms, context.wall_ms
        )
        if refusal is not None:
            return refusal
        entry = context.catalogue.find_entry(job.entry)
        if isinstance(entry, Refusal):
            return entry
        return context.admission.check_limits(job, entry)

    def _accept(self, submission, digest):
        context = self.context
        # A peer would send a job that this instance has claimed straight back.
        is_claimed = context.claims.find(submission.job.job_id) is not None
        has_stopped_accepting = (
            context.is_draining
            and not is_claimed
            and context.now_ms - context.drain_started_ms
            >= context.settings.drain_accept_ms
        )
        if has_stopped_accepting:
            self._forward_while_draining(submission)
            return
        entry = context.catalogue.find_entry(submission.job.entry)
        is_log_unavailable = (
            context.log_health.is_unreachable or not context.claims.is_ready
        )
        if is_log_unavailable:
            self._accept_in_outage(submission, digest, entry)
            return
        if self._is_in_outage_grace(submission, entry):
            self._refuse(
                submission,
                _refuse_for_log("late claims are still being read"),
            )
            return
        job = self._make_job(submission, digest, entry)
        if job is not None:
            context.post(ClaimRequested(job=job))

    def _is_in_outage_grace(self, submission, entry):
        outage_ended_ms = self.context.log_health.outage_ended_ms
        if outage_ended_ms is None or not submission.is_resubmission:
            return False
        is_recent = self.context.now_ms - outage_ended_ms < (
            self.context.settings.heal_grace_ms
        )
        return is_recent and entry.is_repeatable

    def _accept_in_outage(self, submission, digest, entry):
        context = self.context
        can_run_unclaimed = entry.is_repeatable and entry.is_served_in_outage
        if not can_run_unclaimed or not context.log_health.is_unreachable:
            self._refuse(
                submission, _refuse_for_log("the claim cannot be recorded now")
            )
            return
        if submission.is_resubmission:
            detail = "the job is not known here, and the log cannot be asked"
            self._refuse(submission, _refuse_for_log(detail))
            return
        coordinator_id = context.peers.rank_zone_instances(submission.job.job_id)[0]
        if (
            coordinator_id != context.identity.instance_id
            and not submission.is_forwarded
        ):
            self._forward(submission, coordinator_id)
            return
        job = self._make_job(submission, digest, entry)
        if job is not None:
            job.is_outage_run = True
            context.log(EventCode.JOB_RUN_IN_OUTAGE, job.job_id)
            context.post(JobReady(job=job))

    def _forward_while_draining(self, submission):
        target_id = None
        if not submission.is_forwarded:
            target_id = self.context.peers.find_forward_target(submission.job.job_id)
        if target_id is None:
            detail = "the instance is stopping"
            refusal = Refusal(reason=Reason.DRAINING, detail=detail, retry_after_ms=500)
            self._refuse(submission, refusal)
            return
        self._forward(submission, target_id)

    def _forward(self, submission, peer_id):
        self.context.counters.n_forwarded += 1
        self.context.post(
            RemoteAnswerRequested(
                waiter=submission.waiter,
                job=submission.job,
                coordinator_id=peer_id,
                is_resubmission=submission.is_resubmission,
            )
        )

    def _make_job(self, submission, digest, entry):
        context = self.context
        job = build_job(context, submission, digest, entry)
        refusal = context.admission.check_capacity(
            job, context.work_in_flight_ms, context.now_ms
        )
        if refusal is None:
            owner = context.catalogue.find_owner(entry.owner)
            refusal = context.admission.check_quota(job, owner, context.now_ms)
        if refusal is not None:
            self._refuse(submission, refusal)
            return None
        register_job(context, job)
        return job

    def _cancel(self, waiter, job_id, is_from_peer):
        context = self.context
        job = context.jobs.find(job_id)
        if job is None:
            self._cancel_remotely(waiter, job_id, is_from_peer)
            return
        if job.answer is not None:
            self._answer(waiter, job.answer)
            return
        open_tasks = [t for t in job.tasks if t.phase is not TaskPhase.ENDED]
        have_all_started = all(task.list_open_attempts() for task in open_tasks)
        if have_all_started and not job.entry.is_repeatable and job.is_claim_won:
            answer = build_unknown_answer(
                job_id,
                Reason.ALREADY_STARTED,
                "every task has started and may not be stopped",
            )
            self._answer(waiter, answer)
            return
        context.log(EventCode.JOB_CANCELLED, job_id)
        job.waiters.append(waiter)
        answer = build_failure_answer(job, Reason.CANCELLED, "cancelled by the caller")
        context.post(JobFinished(job=job, answer=answer))

    def _cancel_remotely(self, waiter, job_id, is_from_peer):
        context = self.context
        state = context.claims.find(job_id)
        if state is not None and state.is_ended:
            self._answer(waiter, decode_outcome(job_id, state))
            return
        coordinator_id = None if state is None else state.claim.home
        if coordinator_id in context.peers.by_id and not is_from_peer:
            context.post(
                RemoteCancelRequested(
                    waiter=waiter, job_id=job_id, coordinator_id=coordinator_id
                )
            )
            return
        answer = build_unknown_answer(
            job_id, Reason.UNKNOWN_JOB, "the job is not known to this instance"
        )
        self._answer(waiter, answer)

    def _refuse_conflict(self, submission):
        job_id = submission.job.job_id
        self.context.log(EventCode.JOB_REFUSED, job_id, Reason.ID_CONFLICT)
        self._answer(submission.waiter, make_conflict_answer(job_id))

    def _refuse(self, submission, refusal):
        job_id = submission.job.job_id
        self.context.log(EventCode.JOB_REFUSED, job_id, refusal.reason)
        if refusal.reason is Reason.ID_TOO_OLD:
            answer = build_unknown_answer(job_id, refusal.reason, refusal.detail)
        else:
            answer = make_refusal_answer(job_id, refusal)
        self._answer(submission.waiter, answer)

    def _answer(self, waiter, answer):
        self.context.post(AnswerReady(waiter=waiter, answer=answer))


def build_job(context, submission, digest, entry, term=0):
    """Build the coordinating instance's job from a submission.

    :param context: the shared :class:`Context`.
    :param submission: the :class:`SubmissionReceived`.
    :param digest: digest of the job as submitted.
    :param entry: the job's catalogue entry.
    :param term: term of the claim under which the job is to run.
    """
    request = submission.job
    job = Job(
        request=request,
        digest=digest,
        entry=entry,
        accepted_ms=context.now_ms,
        deadline_ms=context.now_ms + request.timeout_ms,
        term=term,
        waiters=[submission.waiter],
        n_open_tasks=len(request.tasks),
        quota_keys=_list_quota_keys(context, request, entry),
    )
    job.tasks = [_build_task(context, job, spec) for spec in request.tasks]
    job.virtual_deadline_ms = _compute_virtual_deadline(context, job)
    return job


def register_job(context, job):
    """Add an accepted job to the job table and start its deadline timer.

    :param context: the shared :class:`Context`.
    :param job: the accepted job.
    """
    context.jobs.add(job)
    context.log(EventCode.JOB_ACCEPTED, job.job_id)
    job.deadline_timer = context.start_timer(
        job.deadline_ms - context.now_ms, DeadlineReached(job=job)
    )


def decode_outcome(job_id, state):
    """Return the answer to an ended job from its outcome in the shared log.

    :param job_id: the job.
    :param state: the job's :class:`ClaimState`, with an outcome.
    """
    if state.answer:
        return msgspec.msgpack.decode(state.answer, type=JobAnswer)
    return JobAnswer(
        job_id=job_id,
        status=JobStatus.FAILED,
        reason=Reason.ANSWER_NOT_KEPT,
        detail="the job was answered, and the answer was too large to keep",
        may_have_run=True,
    )


def _compute_virtual_deadline(context, job):
    ideal_ms = context.admission.estimate_ideal_ms(job)
    due_ms = context.now_ms + context.settings.urgency_factor * ideal_ms
    return min(job.deadline_ms, due_ms)


def _build_task(context, job, spec):
    expected_ms = context.run_times.predict_ms(job.request.entry, spec.run_time_ms)
    return Task(spec=spec, job=job, expected_ms=expected_ms)


def _list_quota_keys(context, request, entry):
    owner = context.catalogue.find_owner(entry.owner)
    keys = []
    if owner.max_running_tasks or owner.max_starts_per_s:
        keys.append(OWNER_PREFIX + entry.owner)
    if entry.max_running_tasks or entry.max_starts_per_s:
        keys.append(ENTRY_PREFIX + request.entry)
    return tuple(keys)


def _refuse_for_log(detail):
    return Refusal(
        reason=Reason.LOG_UNREACHABLE,
        detail=detail,
        retry_after_ms=LOG_RETRY_AFTER_MS,
    )
