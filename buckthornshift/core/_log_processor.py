"""Processing of the shared log: claims, outcomes, catalogue, outages, snapshots."""

from ..contracts import (
    CATALOGUE_STREAM,
    CLAIMS_STREAM,
    Claim,
    ClaimsBatch,
    ClaimsFloor,
    DecodeError,
    Reason,
    SnapshotReply,
    SnapshotRequest,
    UnknownMessage,
    decode_message,
    encode_message,
    make_conflict_answer,
)
from ._actions import AppendRecord, EventCode, SendPeer
from ._context import build_failure_answer
from ._events import (
    AppendDone,
    AppendFailed,
    LogRead,
    LogReadFailed,
    PeerReceived,
)
from ._jobs import JobPhase
from ._log_writer import SNAPSHOT_APPEND_ID_BASE, AppendDue
from ._messages import (
    AnswerReady,
    ClaimLost,
    ClaimRequested,
    HousekeepingDue,
    JobReady,
    JobWithdrawn,
    LogOutageBegan,
    RecoveryRequested,
    RemoteAnswerRequested,
)

LOG_RETRY_AFTER_MS = 2_000
MAX_WITHDRAWN_JOBS = 10_000


class LogProcessor:
    """Append claims, apply what is read from the log, and resolve claims on jobs.

    The instance whose claim on a job wins coordinates that job.

    :param context: the shared :class:`Context`.
    """

    def __init__(self, context=None):
        self.context = context
        self._next_snapshot_ms = None
        self._last_snapshot_ms = 0.0
        self._last_snapshot_append_id = SNAPSHOT_APPEND_ID_BASE
        self._asked_snapshot_ms = 0.0

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ClaimRequested: self.on_claim_requested,
            AppendDue: self.on_append_due,
            AppendDone: self.on_append_done,
            AppendFailed: self.on_append_failed,
            LogRead: self.on_read,
            LogReadFailed: self.on_read_failed,
            ClaimLost: self.on_claim_lost,
            JobWithdrawn: self.on_withdrawn,
            LogOutageBegan: self.on_outage_began,
            PeerReceived: self.on_peer,
            HousekeepingDue: self.on_housekeeping,
        }

    def on_claim_requested(self, message):
        """Queue a job's claim for the log, or use a claim that is there already."""
        context = self.context
        job = message.job
        context.withdrawn_ids.pop(job.job_id, None)
        state = context.claims.find(job.job_id)
        identity = context.identity
        is_recorded = state is not None and state.claim.term == job.term
        if is_recorded and state.claim.incarnation == identity.incarnation:
            self._resolve_claim(job, state)
            return
        context.writer.add_claim(make_claim(context, job))
        self._append_pending()

    def on_append_due(self, message):
        """Append pending records once the append rate allows it."""
        self._append_pending()

    def on_append_done(self, event):
        """Confirm an append; apply its batch if every earlier record has been read."""
        self._record_log_success()
        batch = self.context.writer.finish_append(event.append_id)
        if batch is not None and event.offset == self.context.claims.covers:
            self._apply_claims_record(event.offset, batch)
        self._append_pending()

    def on_append_failed(self, event):
        """Leave the records of a failed append pending and record the failure."""
        self.context.writer.fail_append(event.append_id, self.context.now_ms)
        self._record_log_failure()
        self._append_pending()

    def on_read(self, event):
        """Apply records that were read from a stream of the log."""
        self._record_log_success()
        match event.stream:
            case "catalogue":
                self._apply_catalogue_batch(event.batch)
            case "claims":
                self._apply_claims_batch(event.batch)
        self._append_pending()

    def on_read_failed(self, event):
        """Record a failed read, which may begin a log outage."""
        self._record_log_failure()

    def on_claim_lost(self, message):
        """Ask the job's coordinator on behalf of the waiters of a lost claim."""
        context = self.context
        job = message.job
        if context.jobs.by_id.get(job.job_id) is not job:
            return
        context.timers.cancel(job.deadline_timer)
        context.jobs.remove(job)
        context.writer.remove_claim(job.job_id)
        is_conflict = message.claim.digest != job.digest
        for waiter in job.waiters:
            if is_conflict:
                answer = make_conflict_answer(job.job_id)
                context.post(AnswerReady(waiter=waiter, answer=answer))
                continue
            context.post(
                RemoteAnswerRequested(
                    waiter=waiter,
                    job=job.request,
                    coordinator_id=message.claim.home,
                    claim=message.claim,
                )
            )

    def on_withdrawn(self, message):
        """Answer a withdrawn job as not run; a resubmission may run it later."""
        context = self.context
        job = message.job
        if context.jobs.by_id.get(job.job_id) is not job:
            return
        context.monitor.check_job_answer(job, message.answer)
        context.timers.cancel(job.deadline_timer)
        context.jobs.remove(job)
        context.writer.remove_claim(job.job_id)
        self._remember_withdrawn(job.job_id)
        for waiter in job.waiters:
            context.post(AnswerReady(waiter=waiter, answer=message.answer))

    def on_outage_began(self, message):
        """Withdraw the jobs that wait for their claim; none of them has started."""
        context = self.context
        for job in list(context.jobs.by_id.values()):
            if job.phase is not JobPhase.CLAIMING:
                continue
            answer = build_failure_answer(
                job,
                Reason.LOG_UNREACHABLE,
                "the claim could not be recorded",
                LOG_RETRY_AFTER_MS,
            )
            context.post(JobWithdrawn(job=job, answer=answer))

    def on_peer(self, event):
        """Send a peer a catalogue snapshot, or merge the one that it sent."""
        context = self.context
        match event.message:
            case SnapshotRequest():
                self._send_snapshot(event.peer_id)
            case SnapshotReply(snapshot=snapshot) if snapshot is not None:
                if context.catalogue.merge_snapshot(snapshot):
                    context.log(EventCode.CATALOGUE_CHANGED, event.peer_id, "peer")

    def on_housekeeping(self, message):
        """Evict old claims and answers, append snapshots, request a catalogue."""
        context = self.context
        floor_ms = context.claims.floor_ms
        context.claims.evict(context.now_ms)
        if context.claims.floor_ms > floor_ms:
            detail = f"{context.claims.floor_ms}"
            context.log(EventCode.CLAIMS_FLOOR_RAISED, CLAIMS_STREAM, detail)
        context.jobs.evict(context.now_ms)
        self._append_snapshot_if_due()
        self._request_catalogue()

    def _append_pending(self):
        context = self.context
        action = context.writer.make_append(context.now_ms, context.peers.n_instances)
        if action is not None:
            context.emit(action)

    def _record_log_success(self):
        context = self.context
        if context.log_health.record_success(context.now_ms):
            context.log(EventCode.LOG_BACK)

    def _record_log_failure(self):
        context = self.context
        if context.log_health.record_failure(context.now_ms):
            context.log(EventCode.LOG_OUT_OF_REACH)
            context.post(LogOutageBegan())

    def _apply_catalogue_batch(self, batch):
        context = self.context
        catalogue = context.catalogue
        for record in batch.records:
            message = self._decode_record(CATALOGUE_STREAM, record)
            result = catalogue.consume_record(record.offset, message)
            if result is None:
                continue
            code = EventCode.CATALOGUE_CHANGED
            if not result.is_accepted:
                code = EventCode.CATALOGUE_CHANGE_REJECTED
            context.log(code, result.change_id, f"offset {result.offset}")
        if catalogue.last_snapshot_offset >= batch.next_offset - len(batch.records):
            self._last_snapshot_ms = context.now_ms
        catalogue.finish_read(batch)

    def _apply_claims_batch(self, batch):
        context = self.context
        for record in batch.records:
            if record.offset >= context.claims.covers:
                message = self._decode_record(CLAIMS_STREAM, record)
                self._apply_claims_record(record.offset, message)
        fallback_floor_ms = context.wall_ms
        context.claims.finish_read(batch, int(fallback_floor_ms))

    def _apply_claims_record(self, offset, message):
        context = self.context
        job_ids = context.claims.consume_record(offset, message, context.now_ms)
        is_own_batch = (
            isinstance(message, ClaimsBatch)
            and message.writer == context.identity.incarnation
        )
        if is_own_batch:
            context.writer.confirm_batch(message)
        for job_id in job_ids:
            job = context.jobs.by_id.get(job_id)
            if job is not None and job.phase is JobPhase.CLAIMING:
                self._resolve_claim(job, context.claims.find(job_id))

    def _resolve_claim(self, job, state):
        context = self.context
        if job.is_claim_won:
            return
        claim = state.claim
        is_own_claim = claim.incarnation == context.identity.incarnation
        if is_own_claim and claim.term == job.term:
            job.is_claim_won = True
            context.writer.remove_claim(job.job_id)
            if job.is_taken_over:
                context.post(RecoveryRequested(job=job))
            else:
                context.post(JobReady(job=job))
            return
        if claim.term < job.term:
            return
        context.post(ClaimLost(job=job, claim=claim))

    def _decode_record(self, stream, record):
        try:
            message = decode_message(record.body)
        except DecodeError as error:
            self.context.log(
                EventCode.RECORD_IGNORED, f"{stream}@{record.offset}", str(error)
            )
            return None
        if isinstance(message, UnknownMessage):
            self.context.log(
                EventCode.RECORD_IGNORED, f"{stream}@{record.offset}", message.tag
            )
        return message

    def _remember_withdrawn(self, job_id):
        withdrawn = self.context.withdrawn_ids
        withdrawn[job_id] = True
        if len(withdrawn) > MAX_WITHDRAWN_JOBS:
            withdrawn.pop(next(iter(withdrawn)))

    def _append_snapshot_if_due(self):
        context = self.context
        interval_ms = context.settings.snapshot_interval_ms
        if self._next_snapshot_ms is None:
            self._schedule_snapshot(context.now_ms)
        is_ready = context.catalogue.is_ready and context.claims.is_ready
        if not is_ready or context.now_ms < self._next_snapshot_ms:
            return
        self._schedule_snapshot(context.now_ms)
        if context.now_ms - self._last_snapshot_ms < interval_ms:
            return
        self._last_snapshot_ms = context.now_ms
        snapshot = context.catalogue.make_snapshot()
        self._last_snapshot_append_id += 1
        context.emit(
            AppendRecord(
                append_id=self._last_snapshot_append_id,
                stream=CATALOGUE_STREAM,
                body=encode_message(snapshot),
            )
        )
        context.writer.floor = ClaimsFloor(
            covers=context.claims.covers, floor_ms=context.claims.compute_floor()
        )
        context.log(EventCode.SNAPSHOT_APPENDED, CATALOGUE_STREAM)
        self._append_pending()

    def _schedule_snapshot(self, now_ms):
        interval_ms = self.context.settings.snapshot_interval_ms
        jitter = 0.5 + self.context.random_state.random()
        self._next_snapshot_ms = now_ms + interval_ms * jitter

    def _request_catalogue(self):
        context = self.context
        catalogue = context.catalogue
        needs_snapshot = not catalogue.is_ready and (
            context.log_health.is_unreachable or catalogue.is_waiting_for_snapshot
        )
        if not needs_snapshot:
            return
        target_id = context.peers.find_forward_target(str(context.now_ms))
        if target_id is not None:
            peer = context.peers.by_id[target_id]
            context.emit(SendPeer(peer=peer.record, message=SnapshotRequest()))

    def _send_snapshot(self, peer_id):
        context = self.context
        peer = context.peers.by_id.get(peer_id)
        if peer is None or not context.catalogue.is_ready:
            return
        reply = SnapshotReply(snapshot=context.catalogue.make_snapshot())
        context.emit(SendPeer(peer=peer.record, message=reply))


def make_claim(context, job):
    """Return the claim by which this instance asks to coordinate a job.

    :param context: the shared :class:`Context`.
    :param job: the job.
    """
    return Claim(
        job_id=job.job_id,
        digest=job.digest,
        home=context.identity.instance_id,
        incarnation=context.identity.incarnation,
        term=job.term,
        is_repeatable=job.entry.is_repeatable,
        is_late=job.is_outage_run,
    )
