"""Requests to the instances that coordinate jobs submitted or cancelled here."""

import attrs

from ..contracts import AwaitJob, CancelJob, JobAnswered, Reason, Refusal
from ._actions import EventCode, SendPeer
from ._context import build_unknown_answer
from ._events import InstancesListed, PeerReceived, PeerSendFailed
from ._jobs import PeerWaiter
from ._messages import (
    AnswerReady,
    CoordinatorLost,
    PeerRequestDue,
    RemoteAnswerRequested,
    RemoteCancelRequested,
    SubmissionReceived,
)

REQUEST_RETRY_MS = 200.0
ANSWER_GRACE_MS = 500.0
RETRY_AFTER_MS = 1_000
# Wide enough that two processes of one instance do not draw the same id.
REQUEST_ID_BITS = 48


@attrs.define(kw_only=True)
class PeerRequest:
    """An open request to another instance.

    :param request_id: identifies the request at this instance.
    :param cause: the message that the request is made for.
    :param created_ms: when the request was first sent.
    :param due_ms: when the waiter is told that there is no answer.
    :param failed_ms: when the coordinator was first found unreachable or missing from
        the instance list, or ``None``.
    """

    request_id: int = 0
    cause: RemoteAnswerRequested | RemoteCancelRequested = RemoteAnswerRequested()
    created_ms: float = 0.0
    due_ms: float = 0.0
    failed_ms: float | None = None


class PeerRequestTracker:
    """Ask the coordinator of a job for its answer or to cancel it.

    A request that cannot be delivered is retried, routed to another instance or
    answered as unknown, depending on whether the job may have run.

    :param context: the shared :class:`Context`.
    """

    def __init__(self, context=None):
        self.context = context
        self.by_request_id = {}

    def subscribe(self):
        """Return handlers by message class."""
        return {
            RemoteAnswerRequested: self.on_remote_answer_requested,
            RemoteCancelRequested: self.on_remote_cancel_requested,
            PeerReceived: self.on_peer,
            PeerSendFailed: self.on_send_failed,
            InstancesListed: self.on_listed,
            PeerRequestDue: self.on_due,
        }

    def on_remote_answer_requested(self, message):
        """Ask the coordinator of a job for its answer, unless it is the one asking."""
        waiter = message.waiter
        if isinstance(waiter, PeerWaiter) and waiter.peer_id == message.coordinator_id:
            answer = build_unknown_answer(
                message.job.job_id,
                Reason.HOME_UNREACHABLE,
                "two instances take each other for the home of the job",
                RETRY_AFTER_MS,
            )
            self.context.post(AnswerReady(waiter=waiter, answer=answer))
            return
        self.context.log(
            EventCode.JOB_ATTACHED, message.job.job_id, message.coordinator_id
        )
        self._open_request(message, message.job.timeout_ms + ANSWER_GRACE_MS)

    def on_remote_cancel_requested(self, message):
        """Ask the coordinator of a job to cancel it."""
        self._open_request(message, self.context.settings.attach_patience_ms)

    def on_peer(self, event):
        """Pass a coordinator's answer to the waiter."""
        if not isinstance(event.message, JobAnswered):
            return
        request = self.by_request_id.pop(event.message.request_id, None)
        if request is not None:
            self._answer(request, event.message.answer)

    def on_send_failed(self, event):
        """Retry, route elsewhere or give up a request that could not be delivered."""
        if not isinstance(event.message, AwaitJob | CancelJob):
            return
        request = self.by_request_id.get(event.message.request_id)
        if request is None:
            return
        if request.failed_ms is None:
            request.failed_ms = self.context.now_ms
        is_forward = isinstance(request.cause, RemoteAnswerRequested) and (
            request.cause.claim is None
        )
        if is_forward:
            self._route_elsewhere(request, event.may_have_arrived)
            return
        self._check_and_reschedule(request)

    def on_listed(self, event):
        """Resolve requests whose coordinator is no longer listed."""
        for request in list(self.by_request_id.values()):
            if self._is_coordinator_gone(request):
                self._handle_gone_coordinator(request)

    def on_due(self, message):
        """Retry an open request, or give it up once its time has run out."""
        request = self.by_request_id.get(message.request_id)
        if request is None:
            return
        if self.context.now_ms >= request.due_ms:
            self._give_up(request, "the home did not answer in time")
            return
        if request.failed_ms is None:
            self._schedule_retry(request)
            return
        unreachable_ms = self.context.now_ms - request.failed_ms
        if unreachable_ms >= self.context.settings.attach_patience_ms:
            self._give_up(request, "the home of the job cannot be reached")
            return
        self._send(request)

    def make_request_id(self):
        """Return a random request id.

        Ids are random because a peer may still answer a request of a former process
        of this instance.
        """
        return self.context.random_state.getrandbits(REQUEST_ID_BITS)

    def _open_request(self, cause, timeout_ms):
        now_ms = self.context.now_ms
        request = PeerRequest(
            request_id=self.make_request_id(),
            cause=cause,
            created_ms=now_ms,
            due_ms=now_ms + timeout_ms,
        )
        self.by_request_id[request.request_id] = request
        self._send(request)

    def _send(self, request):
        context = self.context
        if self._is_coordinator_gone(request):
            self._handle_gone_coordinator(request)
            return
        peer = context.peers.by_id.get(request.cause.coordinator_id)
        if peer is None:
            # The instance list lags behind the claim: wait until it shows the peer.
            request.failed_ms = request.failed_ms or context.now_ms
            self._schedule_retry(request)
            return
        context.counters.n_peer_messages += 1
        context.emit(SendPeer(peer=peer.record, message=_make_message(request)))
        self._schedule_retry(request)

    def _schedule_retry(self, request):
        delay_ms = request.due_ms - self.context.now_ms
        if request.failed_ms is not None:
            delay_ms = min(delay_ms, REQUEST_RETRY_MS)
        message = PeerRequestDue(request_id=request.request_id)
        self.context.start_timer(max(1.0, delay_ms), message)

    def _check_and_reschedule(self, request):
        if self._is_coordinator_gone(request):
            self._handle_gone_coordinator(request)
            return
        self._schedule_retry(request)

    def _route_elsewhere(self, request, may_have_arrived):
        context = self.context
        if may_have_arrived and self._may_run_without_claim(request.cause.job):
            self._give_up(request, "the peer that got the job cannot be reached")
            return
        self.by_request_id.pop(request.request_id, None)
        context.post(
            SubmissionReceived(
                waiter=request.cause.waiter,
                job=request.cause.job,
                is_resubmission=request.cause.is_resubmission,
            )
        )

    def _may_run_without_claim(self, job):
        # A peer that cannot reach the log starts such a job without a claim, so the
        # log does not show whether the job has run.
        entry = self.context.catalogue.find_entry(job.entry)
        if isinstance(entry, Refusal):
            return True
        return entry.is_repeatable and entry.is_served_in_outage

    def _is_coordinator_gone(self, request):
        context = self.context
        cause = request.cause
        if isinstance(cause, RemoteAnswerRequested) and cause.claim is not None:
            state = context.claims.find(cause.job.job_id)
            read_ms = context.now_ms if state is None else state.read_ms
            return context.peers.is_gone(
                cause.coordinator_id, cause.claim.incarnation, context.now_ms - read_ms
            )
        return cause.coordinator_id not in context.peers.by_id

    def _handle_gone_coordinator(self, request):
        context = self.context
        self.by_request_id.pop(request.request_id, None)
        cause = request.cause
        if not isinstance(cause, RemoteAnswerRequested):
            self._give_up(request, "the home of the job has gone")
            return
        state = context.claims.find(cause.job.job_id)
        if state is None:
            self._route_elsewhere(request, may_have_arrived=True)
            return
        if state.claim != cause.claim:
            self._route_elsewhere(request, may_have_arrived=False)
            return
        context.post(CoordinatorLost(waiter=cause.waiter, job=cause.job, state=state))

    def _give_up(self, request, detail):
        self.by_request_id.pop(request.request_id, None)
        cause = request.cause
        job_id = (
            cause.job.job_id
            if isinstance(cause, RemoteAnswerRequested)
            else cause.job_id
        )
        answer = build_unknown_answer(
            job_id, Reason.HOME_UNREACHABLE, detail, RETRY_AFTER_MS
        )
        self._answer(request, answer)

    def _answer(self, request, answer):
        waiter = request.cause.waiter
        self.context.post(AnswerReady(waiter=waiter, answer=answer))


def _make_message(request):
    cause = request.cause
    match cause:
        case RemoteAnswerRequested():
            return AwaitJob(
                request_id=request.request_id,
                job=cause.job,
                is_resubmission=cause.is_resubmission,
                is_forwarded=cause.claim is None,
            )
        case RemoteCancelRequested():
            return CancelJob(request_id=request.request_id, job_id=cause.job_id)
