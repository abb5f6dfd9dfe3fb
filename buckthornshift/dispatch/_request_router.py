"""Callers' requests at the instance that they reached.

It keeps the request, passes the job to the owner, and gives the one answer.
"""

import attrs

from ._actions import AnswerCaller, LogCode, SendToPeer
from ._declarations import JobSpec, Queue
from ._events import CallerDisconnected, JobArrived, PeerConnected, PeerMessageReceived
from ._internal_messages import (
    CallerDeadline,
    CellsChanged,
    OwnerChanged,
    PeerLost,
    ResubmitDue,
    SubmissionEnded,
)
from ._peer_messages import DropJob, EndReason, JobEnded, Outcome, SubmitJob

# What a job may take as a multiple of its estimate; nine of ten stay below.
LONG_RUN_FACTOR = 2.0
# The owner answers at the deadline itself; this is the wait for its message.
OWNER_ANSWER_SLACK_MS = 20.0


@attrs.define(kw_only=True)
class PendingRequest:
    """A caller's job at the instance that it reached.

    :param key: number of the submission.
    :param caller_ref: the caller's request.
    :param job: the job.
    :param queue: its queue.
    :param arrived_ms: when the request arrived.
    :param deadline_ms: when the caller stops to wait.
    :param owner: address and term of the owner that has the job, or ``None``.
    :param attempt: counts the owners that it was passed to.
    :param may_have_run: whether an owner was given the job and may have started it.
    :param resubmit_at_ms: when nothing that a former owner started can run any more.
    :param declined_by: cell, address and term of an owner that gave the job back.
    :param n_cells: number of cells when its cell was chosen.
    :param cell: the cell that is to run it.
    :param is_passed_on: whether the cell of its id had no room.
    :param may_run_in_former_cell: whether it may have run in a cell that was divided since.
    """

    key: int = 0
    caller_ref: int = 0
    job: JobSpec = JobSpec()
    queue: Queue = Queue()
    arrived_ms: float = 0.0
    deadline_ms: float = 0.0
    owner: tuple | None = None
    attempt: int = 0
    may_have_run: bool = False
    resubmit_at_ms: float = 0.0
    declined_by: tuple | None = None
    n_cells: int = 0
    cell: int = 0
    is_passed_on: bool = False
    may_run_in_former_cell: bool = False


class RequestRouter:
    """Keep callers' requests until each has its one answer.

    :param context: the shared :class:`DispatchContext`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param load_shedder: the :class:`LoadShedder`.
    """

    def __init__(self, context=None, membership=None, cells=None, load_shedder=None):
        self.context = context
        self.membership = membership
        self.cells = cells
        self.load_shedder = load_shedder
        self.by_key = {}
        self.shutdown_deadline_ms = None
        self._key_by_caller = {}
        self._next_key = 0

    def subscribe(self):
        """Return handlers by message class."""
        return {
            JobArrived: self.on_arrived,
            CallerDisconnected: self.on_caller_left,
            CallerDeadline: self.on_deadline,
            OwnerChanged: self.on_owner_changed,
            CellsChanged: self.on_owner_changed,
            PeerLost: self.on_peer_lost,
            ResubmitDue: self.on_resubmit_due,
            PeerConnected: self.on_link_opened,
            PeerMessageReceived: self.on_received,
            SubmissionEnded: self.on_submission_ended,
        }

    def on_arrived(self, event):
        """Take a caller's job and pass it to the owner."""
        context = self.context
        context.counters.n_jobs += 1
        self._next_key += 1
        request = PendingRequest(
            key=self._next_key,
            caller_ref=event.caller_ref,
            job=event.job,
            queue=event.queue,
            arrived_ms=context.now_ms,
            deadline_ms=context.now_ms + event.timeout_ms,
        )
        self._choose_cell(request)
        self.by_key[request.key] = request
        self._key_by_caller[event.caller_ref] = request.key
        context.log(
            LogCode.JOB_ARRIVED,
            event.job.job_id,
            queue=event.queue.name,
            n_tasks=sum(step.n_tasks for step in event.job.steps),
            timeout_ms=event.timeout_ms,
            config_version=context.configuration.version,
        )
        context.start_timer(
            event.timeout_ms + OWNER_ANSWER_SLACK_MS, CallerDeadline(key=request.key)
        )
        if self._ends_after_shutdown(request):
            self._refuse(request, EndReason.STOPPING)
            return
        if not self._shed(request):
            self._route(request)

    def on_caller_left(self, event):
        """Drop the job of a caller that closed its connection."""
        key = self._key_by_caller.pop(event.caller_ref, None)
        request = self.by_key.pop(key, None)
        if request is None:
            return
        self.context.log(LogCode.CALLER_LEFT, request.job.job_id)
        if request.owner is not None:
            self._send(request.owner[0], DropJob(key=key))

    def on_deadline(self, message):
        """Answer a caller whose deadline came before the owner's answer."""
        request = self.by_key.get(message.key)
        if request is not None:
            self._give_up(request, EndReason.DEADLINE)

    def on_owner_changed(self, message):
        """Pass on what has no owner, or whose owner was lost."""
        for request in list(self.by_key.values()):
            self._route(request)

    def on_peer_lost(self, message):
        """Pass on what an instance had that is lost, owner by then or not."""
        for request in list(self.by_key.values()):
            if request.owner is not None and request.owner[0] == message.address:
                self._route(request)

    def on_resubmit_due(self, message):
        """Pass on a job of which nothing can run any more."""
        request = self.by_key.get(message.key)
        if request is not None:
            # One that lost a server to another owner may have it again.
            request.declined_by = None
            self._route(request)

    def on_link_opened(self, event):
        """Repeat what may have been lost with the former connection.

        The owner may have started it, lost this instance and forgotten the job.
        """
        for request in self.by_key.values():
            if request.owner is not None and request.owner[0] == event.address:
                request.may_have_run = True
                self._submit(request)

    def on_received(self, event):
        """Take an owner's answer."""
        if isinstance(event.message, JobEnded):
            self._finish(event.address, event.message)

    def on_submission_ended(self, message):
        """Take the answer of the owner in this very instance."""
        if message.address == self.context.identity.address:
            self._finish(message.address, message.ended)

    def answer_all(self, reason):
        """Answer every open request, because the process ends.

        :param reason: the :class:`EndReason`.
        """
        for request in list(self.by_key.values()):
            self._give_up(request, reason)

    def _ends_after_shutdown(self, request):
        """Return whether the process will end before a job's answer."""
        if self.shutdown_deadline_ms is None:
            return False
        expected_ms = LONG_RUN_FACTOR * request.job.compute_critical_path_ms()
        return self.context.now_ms + expected_ms > self.shutdown_deadline_ms

    def _shed(self, request):
        """Refuse a job if the owner is too busy to take it; return whether."""
        owner = self.cells.get(request.cell).owner
        if owner is None or owner[0] is None:
            return False
        refusal = self.load_shedder.check(request.job.job_id, owner[0])
        if refusal is None:
            return False
        self.context.log(
            LogCode.JOB_REFUSED,
            request.job.job_id,
            reason=refusal.reason,
            detail=refusal.detail,
            retry_after_ms=round(refusal.retry_after_ms),
        )
        self._refuse(request, refusal.reason, refusal.retry_after_ms)
        return True

    def _refuse(self, request, reason, retry_after_ms=None):
        if retry_after_ms is None:
            retry_after_ms = self.context.settings.min_retry_after_ms
        ended = JobEnded(
            outcome=Outcome.NOT_RUN, reason=reason, retry_after_ms=retry_after_ms
        )
        self._answer(request, ended)

    def _give_up(self, request, reason):
        may_have_run = request.may_have_run
        if request.owner is not None:
            self._send(request.owner[0], DropJob(key=request.key))
            may_have_run = True
        self._answer(
            request,
            JobEnded(
                key=request.key,
                outcome=Outcome.FAILED if may_have_run else Outcome.NOT_RUN,
                reason=reason,
                may_have_run=may_have_run,
            ),
        )

    def _finish(self, address, ended):
        request = self.by_key.get(ended.key)
        if request is None or request.owner is None or request.owner[0] != address:
            return
        if ended.attempt != request.attempt:
            # About an earlier try at the same owner.
            return
        if ended.outcome is Outcome.RETURNED:
            self._take_back(request, ended)
            return
        self._answer(request, ended)

    def _take_back(self, request, ended):
        """Find another owner for a job, or the same one a little later."""
        context = self.context
        context.counters.n_returned += 1
        owner, request.owner = request.owner, None
        request.may_have_run = request.may_have_run or ended.may_have_run
        if ended.reason is EndReason.OUT_OF_CONTACT:
            # That owner did not start it, and may be in contact again soon.
            retry = ResubmitDue(key=request.key)
            context.start_timer(context.settings.retry_ms, retry)
            return
        if ended.reason is EndReason.CELL_FULL and ended.cell < self.cells.n_cells:
            request.cell = ended.cell
            request.is_passed_on = True
            self._route(request)
            return
        request.declined_by = (request.cell, *owner[:2])
        if request.may_have_run:
            self._wait_for_lapse(request, context.now_ms)
        self._route(request)

    def _choose_cell(self, request):
        request.n_cells = self.cells.n_cells
        request.cell = self.cells.find_cell(request.job.job_id)
        request.is_passed_on = False

    def _route(self, request):
        context = self.context
        if request.owner is not None:
            if self.membership.is_live(request.owner[0], request.owner[2]):
                return
            self._lose_owner(request)
        if request.n_cells != self.cells.n_cells:
            request.may_run_in_former_cell = request.may_have_run
            self._choose_cell(request)
        cell = request.cell
        address, term, is_complete = self.cells.get(cell).owner or (None, 0, False)
        if address is None or request.declined_by == (cell, address, term):
            return
        is_lapsed = context.now_ms >= request.resubmit_at_ms
        is_seen = is_complete and not request.may_run_in_former_cell
        if request.may_have_run and not (is_seen or is_lapsed):
            # Only an owner of the whole cell sees what a former one left running.
            return
        request.owner = (address, term, self._find_incarnation(address))
        request.attempt += 1
        context.log(
            LogCode.JOB_SENT,
            request.job.job_id,
            owner=address,
            cell=cell,
            term=term,
            is_resent=request.may_have_run,
        )
        self._submit(request)

    def _lose_owner(self, request):
        peer = self.membership.by_address.get(request.owner[0])
        last_heard_ms = self.context.now_ms
        if peer is not None and peer.last_heard_ms is not None:
            last_heard_ms = peer.last_heard_ms
        request.owner = None
        request.may_have_run = True
        self._wait_for_lapse(request, last_heard_ms)

    def _wait_for_lapse(self, request, last_heard_ms):
        context = self.context
        request.resubmit_at_ms = last_heard_ms + context.settings.resubmit_after_ms
        delay_ms = max(0.0, request.resubmit_at_ms - context.now_ms)
        context.start_timer(delay_ms, ResubmitDue(key=request.key))

    def _find_incarnation(self, address):
        peer = self.membership.by_address.get(address)
        return None if peer is None else peer.incarnation

    def _submit(self, request):
        context = self.context
        message = SubmitJob(
            key=request.key,
            attempt=request.attempt,
            job=request.job,
            queue=request.queue,
            waited_ms=context.now_ms - request.arrived_ms,
            left_ms=request.deadline_ms - context.now_ms,
            is_resent=request.may_have_run,
            n_cells=request.n_cells,
            cell=request.cell,
            is_passed_on=request.is_passed_on,
        )
        self._send(request.owner[0], message)

    def _send(self, address, message):
        context = self.context
        if address != context.identity.address:
            context.emit(SendToPeer(address=address, message=message))
            return
        context.post(
            PeerMessageReceived(
                address=address,
                incarnation=context.identity.incarnation,
                message=message,
            )
        )

    def _answer(self, request, ended):
        context = self.context
        self.by_key.pop(request.key, None)
        self._key_by_caller.pop(request.caller_ref, None)
        may_have_run = request.may_have_run or ended.may_have_run
        outcome = ended.outcome
        if outcome is Outcome.NOT_RUN and may_have_run:
            # A former owner may have started it: "not run" can't be told any more.
            outcome = Outcome.FAILED
        counters = context.counters
        match outcome:
            case Outcome.COMPLETED:
                counters.n_completed += 1
            case Outcome.FAILED:
                counters.n_failed += 1
            case Outcome.NOT_RUN:
                counters.n_refused += 1
        context.log(
            LogCode.JOB_ANSWERED,
            request.job.job_id,
            outcome=outcome,
            reason=ended.reason,
            after_ms=round(context.now_ms - request.arrived_ms, 1),
            owner=request.owner,
            may_have_run=may_have_run,
        )
        context.emit(
            AnswerCaller(
                caller_ref=request.caller_ref,
                outcome=outcome,
                reason=ended.reason,
                may_have_run=may_have_run,
                retry_after_ms=ended.retry_after_ms,
            )
        )
