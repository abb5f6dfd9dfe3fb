"""Questions to the homes of jobs that belong to other instances."""

import attrs

from ..contracts import AwaitJob, CancelJob, JobAnswered, Reason, Refusal
from ._actions import EventCode, SendPeer
from ._context import build_unknown_answer
from ._events import InstancesListed, PeerReceived, PeerSendFailed
from ._jobs import PeerWaiter
from ._messages import (
    CoordinatorLost,
    PeerRequestDue,
    RemoteAnswerRequested,
    RemoteCancelRequested,
    ReplyReady,
    SubmissionReceived,
)

ASK_AGAIN_MS = 200.0
ANSWER_SLACK_MS = 500.0
HOME_RETRY_AFTER_MS = 1_000
# Wide enough that two processes of an instance do not draw the same numbers.
REQUEST_ID_BITS = 48


@attrs.define(kw_only=True)
class PeerRequest:
    """A question to another instance.

    :param request_id: identifies the question at this instance.
    :param asked: the message that led to it.
    :param asked_ms: when it was first asked.
    :param due_ms: when the waiter is told that there is no answer.
    :param failed_ms: first failure to reach the home since the last contact.
    """

    request_id: int = 0
    asked: RemoteAnswerRequested | RemoteCancelRequested = RemoteAnswerRequested()
    asked_ms: float = 0.0
    due_ms: float = 0.0
    failed_ms: float | None = None


class PeerRequestTracker:
    """Ask the home of a job, and settle what happens if it cannot tell.

    :param context: the shared :class:`Context`.
    """

    def __init__(self, context=None):
        self.context = context
        self.by_request_id = {}

    def subscribe(self):
        """Return handlers by message class."""
        return {
            RemoteAnswerRequested: self.on_remote_answer_requested,
            RemoteCancelRequested: self.on_cancel_asked,
            PeerReceived: self.on_peer,
            PeerSendFailed: self.on_send_failed,
            InstancesListed: self.on_listed,
            PeerRequestDue: self.on_due,
        }

    def on_remote_answer_requested(self, message):
        """Ask the home of a job for its answer, unless it is the one that asks."""
        waiter = message.waiter
        if isinstance(waiter, PeerWaiter) and waiter.peer_id == message.coordinator_id:
            answer = build_unknown_answer(
                message.job.job_id,
                Reason.HOME_UNREACHABLE,
                "two instances take each other for the home of the job",
                HOME_RETRY_AFTER_MS,
            )
            self.context.post(ReplyReady(waiter=waiter, answer=answer))
            return
        self.context.note(
            EventCode.JOB_ATTACHED, message.job.job_id, message.coordinator_id
        )
        self._open(message, message.job.timeout_ms + ANSWER_SLACK_MS)

    def on_cancel_asked(self, message):
        """Ask the home of a job to cancel it."""
        self._open(message, self.context.settings.attach_patience_ms)

    def on_peer(self, event):
        """Pass a home's answer to the waiter."""
        if not isinstance(event.message, JobAnswered):
            return
        question = self.by_request_id.pop(event.message.request_id, None)
        if question is not None:
            self._answer(question, event.message.answer)

    def on_send_failed(self, event):
        """Ask again, elsewhere, or give up, by what is certain."""
        if not isinstance(event.message, AwaitJob | CancelJob):
            return
        question = self.by_request_id.get(event.message.request_id)
        if question is None:
            return
        if question.failed_ms is None:
            question.failed_ms = self.context.now_ms
        is_forward = isinstance(question.asked, RemoteAnswerRequested) and (
            question.asked.claim is None
        )
        if is_forward:
            self._route_again(question, event.may_have_arrived)
            return
        self._reconsider(question)

    def on_listed(self, event):
        """Settle questions whose home has gone."""
        for question in list(self.by_request_id.values()):
            if self._is_home_gone(question):
                self._settle_gone(question)

    def on_due(self, message):
        """Look again at an open question."""
        question = self.by_request_id.get(message.request_id)
        if question is None:
            return
        if self.context.now_ms >= question.due_ms:
            self._give_up(question, "the home did not answer in time")
            return
        if question.failed_ms is None:
            self._schedule(question)
            return
        waited_ms = self.context.now_ms - question.failed_ms
        if waited_ms >= self.context.settings.attach_patience_ms:
            self._give_up(question, "the home of the job cannot be reached")
            return
        self._ask(question)

    def make_request_id(self):
        """Draw the number of a question.

        A peer may still answer a question of a former process of this instance.
        """
        return self.context.random_state.getrandbits(REQUEST_ID_BITS)

    def _open(self, asked, patience_ms):
        now_ms = self.context.now_ms
        question = PeerRequest(
            request_id=self.make_request_id(),
            asked=asked,
            asked_ms=now_ms,
            due_ms=now_ms + patience_ms,
        )
        self.by_request_id[question.request_id] = question
        self._ask(question)

    def _ask(self, question):
        context = self.context
        if self._is_home_gone(question):
            self._settle_gone(question)
            return
        peer = context.peers.by_id.get(question.asked.coordinator_id)
        if peer is None:
            # The list lags behind the claim: wait until it shows the home.
            question.failed_ms = question.failed_ms or context.now_ms
            self._schedule(question)
            return
        context.counters.n_peer_messages += 1
        context.emit(SendPeer(peer=peer.record, message=_make_question(question)))
        self._schedule(question)

    def _schedule(self, question):
        delay_ms = question.due_ms - self.context.now_ms
        if question.failed_ms is not None:
            delay_ms = min(delay_ms, ASK_AGAIN_MS)
        message = PeerRequestDue(request_id=question.request_id)
        self.context.start_timer(max(1.0, delay_ms), message)

    def _reconsider(self, question):
        if self._is_home_gone(question):
            self._settle_gone(question)
            return
        self._schedule(question)

    def _route_again(self, question, may_have_arrived):
        context = self.context
        if may_have_arrived and self._may_run_unclaimed(question.asked.job):
            self._give_up(question, "the peer that got the job cannot be reached")
            return
        self.by_request_id.pop(question.request_id, None)
        context.post(
            SubmissionReceived(
                waiter=question.asked.waiter,
                job=question.asked.job,
                is_resubmission=question.asked.is_resubmission,
            )
        )

    def _may_run_unclaimed(self, job):
        # A peer that is cut off from the log starts such a job without a claim, and
        # nothing but its own word would tell.
        entry = self.context.catalogue.find_entry(job.entry)
        if isinstance(entry, Refusal):
            return True
        return entry.is_repeatable and entry.is_served_in_outage

    def _is_home_gone(self, question):
        context = self.context
        asked = question.asked
        if isinstance(asked, RemoteAnswerRequested) and asked.claim is not None:
            state = context.claims.find(asked.job.job_id)
            read_ms = context.now_ms if state is None else state.read_ms
            return context.peers.is_gone(
                asked.coordinator_id, asked.claim.incarnation, context.now_ms - read_ms
            )
        return asked.coordinator_id not in context.peers.by_id

    def _settle_gone(self, question):
        context = self.context
        self.by_request_id.pop(question.request_id, None)
        asked = question.asked
        if not isinstance(asked, RemoteAnswerRequested):
            self._give_up(question, "the home of the job has gone")
            return
        state = context.claims.find(asked.job.job_id)
        if state is None:
            self._route_again(question, may_have_arrived=True)
            return
        if state.claim != asked.claim:
            self._route_again(question, may_have_arrived=False)
            return
        context.post(CoordinatorLost(waiter=asked.waiter, job=asked.job, state=state))

    def _give_up(self, question, detail):
        self.by_request_id.pop(question.request_id, None)
        asked = question.asked
        job_id = (
            asked.job.job_id
            if isinstance(asked, RemoteAnswerRequested)
            else asked.job_id
        )
        answer = build_unknown_answer(
            job_id, Reason.HOME_UNREACHABLE, detail, HOME_RETRY_AFTER_MS
        )
        self._answer(question, answer)

    def _answer(self, question, answer):
        waiter = question.asked.waiter
        self.context.post(ReplyReady(waiter=waiter, answer=answer))


def _make_question(question):
    asked = question.asked
    match asked:
        case RemoteAnswerRequested():
            return AwaitJob(
                request_id=question.request_id,
                job=asked.job,
                is_resubmission=asked.is_resubmission,
                is_forwarded=asked.claim is None,
            )
        case RemoteCancelRequested():
            return CancelJob(request_id=question.request_id, job_id=asked.job_id)
