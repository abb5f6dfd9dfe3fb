"""The log at one instance: claims, outcomes, catalogue, outages, snapshots."""

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
from ._log_writer import FIRST_CONTROL_APPEND_ID, AppendDue
from ._messages import (
    ClaimLost,
    ClaimRequested,
    HousekeepingDue,
    JobReady,
    JobWithdrawn,
    LogOutageBegan,
    RecoveryRequested,
    RemoteAnswerRequested,
    ReplyReady,
)

LOG_RETRY_AFTER_MS = 2_000
MAX_WITHDRAWN_JOBS = 10_000


class LogProcessor:
    """Append claims, read the log, and settle who is home of a job.

    :param context: the shared :class:`Context`.
    """

    def __init__(self, context=None):
        self.context = context
        self._snapshot_due_ms = None
        self._snapshot_seen_ms = 0.0
        self._next_control_id = FIRST_CONTROL_APPEND_ID
        self._asked_snapshot_ms = 0.0

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ClaimRequested: self.on_claim_requested,
            AppendDue: self.on_writer_due,
            AppendDone: self.on_append_done,
            AppendFailed: self.on_append_failed,
            LogRead: self.on_read,
            LogReadFailed: self.on_read_failed,
            ClaimLost: self.on_job_lost,
            JobWithdrawn: self.on_withdrawn,
            LogOutageBegan: self.on_outage_began,
            PeerReceived: self.on_peer,
            HousekeepingDue: self.on_housekeeping,
        }

    def on_claim_requested(self, message):
        """Queue a job's claim, or go on at once if the claim is already here."""
        context = self.context
        job = message.job
        context.withdrawn_ids.pop(job.job_id, None)
        state = context.claims.find(job.job_id)
        identity = context.identity
        is_here = state is not None and state.claim.term == job.term
        if is_here and state.claim.incarnation == identity.incarnation:
            self._settle_claim(job, state)
            return
        context.writer.add_claim(make_claim(context, job))
        self._append()

    def on_writer_due(self, message):
        """Append when the budget allows it again."""
        self._append()

    def on_append_done(self, event):
        """Settle an acknowledged append; read it at once if nothing lies between."""
        self._note_success()
        batch = self.context.writer.finish_append(event.append_id)
        if batch is not None and event.offset == self.context.claims.covers:
            self._read_claims_record(event.offset, batch)
        self._append()

    def on_append_failed(self, event):
        """Keep the records of a failed append pending."""
        self.context.writer.fail_append(event.append_id, self.context.now_ms)
        self._note_failure()
        self._append()

    def on_read(self, event):
        """Take records of a stream."""
        self._note_success()
        match event.stream:
            case "catalogue":
                self._read_catalogue(event.batch)
            case "claims":
                self._read_claims(event.batch)
        self._append()

    def on_read_failed(self, event):
        """Take note that the log could not be read."""
        self._note_failure()

    def on_job_lost(self, message):
        """Send the waiters of a lost job to its home."""
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
                context.post(ReplyReady(waiter=waiter, answer=answer))
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
        """Answer a job that never started; a resubmission may run it later."""
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
            context.post(ReplyReady(waiter=waiter, answer=message.answer))

    def on_outage_began(self, message):
        """Give up jobs whose claim cannot be settled now; none has started."""
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
        """Give a peer the catalogue, or take one from it."""
        context = self.context
        match event.message:
            case SnapshotRequest():
                self._give_snapshot(event.peer_id)
            case SnapshotReply(snapshot=snapshot) if snapshot is not None:
                if context.catalogue.merge_snapshot(snapshot):
                    context.note(EventCode.CATALOGUE_CHANGED, event.peer_id, "peer")

    def on_housekeeping(self, message):
        """Evict old claims, write snapshots, ask peers for a catalogue."""
        context = self.context
        floor_ms = context.claims.floor_ms
        context.claims.evict(context.now_ms)
        if context.claims.floor_ms > floor_ms:
            detail = f"{context.claims.floor_ms}"
            context.note(EventCode.CLAIMS_FLOOR_RAISED, CLAIMS_STREAM, detail)
        context.jobs.evict(context.now_ms)
        self._append_snapshots_if_due()
        self._ask_for_catalogue()

    def _append(self):
        context = self.context
        action = context.writer.make_append(context.now_ms, context.peers.n_instances)
        if action is not None:
            context.emit(action)

    def _note_success(self):
        context = self.context
        if context.log_health.note_success(context.now_ms):
            context.note(EventCode.LOG_BACK)

    def _note_failure(self):
        context = self.context
        if context.log_health.note_failure(context.now_ms):
            context.note(EventCode.LOG_OUT_OF_REACH)
            context.post(LogOutageBegan())

    def _read_catalogue(self, batch):
        context = self.context
        catalogue = context.catalogue
        for record in batch.records:
            message = self._decode(CATALOGUE_STREAM, record)
            verdict = catalogue.consume_record(record.offset, message)
            if verdict is None:
                continue
            code = EventCode.CATALOGUE_CHANGED
            if not verdict.is_accepted:
                code = EventCode.CATALOGUE_CHANGE_REJECTED
            context.note(code, verdict.change_id, f"offset {verdict.offset}")
        if catalogue.last_snapshot_offset >= batch.next_offset - len(batch.records):
            self._snapshot_seen_ms = context.now_ms
        catalogue.finish_read(batch)

    def _read_claims(self, batch):
        context = self.context
        for record in batch.records:
            if record.offset >= context.claims.covers:
                message = self._decode(CLAIMS_STREAM, record)
                self._read_claims_record(record.offset, message)
        fallback_ms = context.wall_ms
        context.claims.finish_read(batch, int(fallback_ms))

    def _read_claims_record(self, offset, message):
        context = self.context
        touched = context.claims.consume_record(offset, message, context.now_ms)
        is_own = (
            isinstance(message, ClaimsBatch)
            and message.writer == context.identity.incarnation
        )
        if is_own:
            context.writer.confirm_batch(message)
        for job_id in touched:
            job = context.jobs.by_id.get(job_id)
            if job is not None and job.phase is JobPhase.CLAIMING:
                self._settle_claim(job, context.claims.find(job_id))

    def _settle_claim(self, job, state):
        context = self.context
        if job.is_claim_won:
            return
        claim = state.claim
        is_mine = claim.incarnation == context.identity.incarnation
        if is_mine and claim.term == job.term:
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

    def _decode(self, stream, record):
        try:
            message = decode_message(record.body)
        except DecodeError as error:
            self.context.note(
                EventCode.RECORD_IGNORED, f"{stream}@{record.offset}", str(error)
            )
            return None
        if isinstance(message, UnknownMessage):
            self.context.note(
                EventCode.RECORD_IGNORED, f"{stream}@{record.offset}", message.tag
            )
        return message

    def _remember_withdrawn(self, job_id):
        withdrawn = self.context.withdrawn_ids
        withdrawn[job_id] = True
        if len(withdrawn) > MAX_WITHDRAWN_JOBS:
            withdrawn.pop(next(iter(withdrawn)))

    def _append_snapshots_if_due(self):
        context = self.context
        interval_ms = context.settings.snapshot_interval_ms
        if self._snapshot_due_ms is None:
            self._draw_snapshot_time(context.now_ms)
        is_ready = context.catalogue.is_ready and context.claims.is_ready
        if not is_ready or context.now_ms < self._snapshot_due_ms:
            return
        self._draw_snapshot_time(context.now_ms)
        if context.now_ms - self._snapshot_seen_ms < interval_ms:
            return
        self._snapshot_seen_ms = context.now_ms
        snapshot = context.catalogue.make_snapshot()
        self._next_control_id += 1
        context.emit(
            AppendRecord(
                append_id=self._next_control_id,
                stream=CATALOGUE_STREAM,
                body=encode_message(snapshot),
            )
        )
        context.writer.floor = ClaimsFloor(
            covers=context.claims.covers, floor_ms=context.claims.compute_floor()
        )
        context.note(EventCode.SNAPSHOT_APPENDED, CATALOGUE_STREAM)
        self._append()

    def _draw_snapshot_time(self, now_ms):
        interval_ms = self.context.settings.snapshot_interval_ms
        spread = 0.5 + self.context.random_state.random()
        self._snapshot_due_ms = now_ms + interval_ms * spread

    def _ask_for_catalogue(self):
        context = self.context
        catalogue = context.catalogue
        is_stuck = not catalogue.is_ready and (
            context.log_health.is_unreachable or catalogue.is_waiting_for_snapshot
        )
        if not is_stuck:
            return
        target = context.peers.find_forward_target(str(context.now_ms))
        if target is not None:
            peer = context.peers.by_id[target]
            context.emit(SendPeer(peer=peer.record, message=SnapshotRequest()))

    def _give_snapshot(self, peer_id):
        context = self.context
        peer = context.peers.by_id.get(peer_id)
        if peer is None or not context.catalogue.is_ready:
            return
        reply = SnapshotReply(snapshot=context.catalogue.make_snapshot())
        context.emit(SendPeer(peer=peer.record, message=reply))


def make_claim(context, job):
    """Return the claim of this instance on a job.

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
