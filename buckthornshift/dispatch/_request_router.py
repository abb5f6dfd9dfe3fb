"""Routing of callers' requests at the instance that received them.

That instance keeps each request open, submits its job to the owner of the job's cell,
and answers the caller exactly once.
"""

import attrs

from ._actions import AnswerCaller, LogCode, SendToPeer
from ._declarations import JobSpec, Queue
from ._events import CallerDisconnected, JobArrived, PeerConnected, PeerMessageReceived
from ._internal_messages import (
    CallerDeadline,
    CellsChanged,
    ContactBroken,
    OwnerChanged,
    PeerLost,
    RefusalDue,
    ResubmitDue,
    SubmissionEnded,
)
from ._peer_messages import EndReason, JobEnded, Outcome, SubmitJob

# Assumed duration of a job as a multiple of its estimate; 90% of jobs take less.
LONG_RUN_FACTOR = 2.0
# The owner ends a job at its deadline; this is the extra wait for its message.
OWNER_ANSWER_SLACK_MS = 20.0
# A job without an owner is refused so long before its caller stops waiting.
REFUSAL_MARGIN_MS = 10.0
# Part of a submission's number that counts the requests of a process, and the part of
# the incarnation before it; both fit into 64 bits with a sign.
REQUEST_NUMBER_BITS = 31
PROCESS_MASK = 0xFFFF_FFFF


@attrs.define(kw_only=True)
class PendingRequest:
    """A caller's request that has not been answered yet.

    :param key: number of the submission.
    :param caller_ref: identifies the caller's HTTP request.
    :param job: the job.
    :param queue: the queue that it was submitted to.
    :param arrived_ms: when the request arrived.
    :param deadline_ms: when the caller stops waiting.
    :param owner: address, term and incarnation of the owner that the job was submitted
        to, or ``None``.
    :param attempt: number of times the job was submitted to an owner; a repetition
        over a new connection doesn't count.
    :param may_have_run: whether an owner received the job and may have started it.
    :param former_term: highest known term of the owners that may have started it.
    :param former_digests: checksums of the servers that those owners claimed last.
    :param former_process: address and incarnation of the owner that may have started
        it; ``None`` if there was none, or more than one.
    :param is_handed_over: whether the last owner handed the job over.
    :param runs_left: the :class:`RunLeft` objects of that owner.
    :param runs_left_until_ms: when the leases of those runs must have expired.
    :param resubmit_at_ms: when no run that a former owner started can be left.
    :param declined_by: cell, address and term of the owner that returned the job last.
    :param n_cells: number of cells when ``cell`` was chosen.
    :param cell: the cell that is to run the job.
    :param is_passed_on: whether the job was redirected to ``cell`` because the cell
        that its id maps to was full.
    :param may_run_in_former_cell: whether a task may still run in the cell that was
        chosen before the servers were divided further.
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
    former_term: int = 0
    former_digests: set = attrs.field(factory=set)
    former_process: tuple | None = None
    is_handed_over: bool = False
    runs_left: tuple = ()
    runs_left_until_ms: float = 0.0
    resubmit_at_ms: float = 0.0
    declined_by: tuple | None = None
    n_cells: int = 0
    cell: int = 0
    is_passed_on: bool = False
    may_run_in_former_cell: bool = False


class RequestRouter:
    """Submit callers' jobs to owners, and answer each request exactly once.

    :param context: the shared :class:`DispatchContext`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param load_shedder: the :class:`LoadShedder`.
    :param completions: the :class:`CompletionHistory`.
    :param cancellations: the :class:`Cancellations`.
    """

    def __init__(
        self,
        context=None,
        membership=None,
        cells=None,
        load_shedder=None,
        completions=None,
        cancellations=None,
    ):
        self.context = context
        self.membership = membership
        self.cells = cells
        self.load_shedder = load_shedder
        self.completions = completions
        self.cancellations = cancellations
        self.by_key = {}
        self.shutdown_deadline_ms = None
        self._key_by_caller_ref = {}
        self._n_requests = 0

    def subscribe(self):
        """Return handlers by message class."""
        return {
            JobArrived: self.on_arrived,
            CallerDisconnected: self.on_caller_disconnected,
            CallerDeadline: self.on_deadline,
            RefusalDue: self.on_refusal_due,
            OwnerChanged: self.on_owner_changed,
            CellsChanged: self.on_owner_changed,
            PeerLost: self.on_peer_lost,
            ResubmitDue: self.on_resubmit_due,
            PeerConnected: self.on_possible_loss,
            ContactBroken: self.on_possible_loss,
            PeerMessageReceived: self.on_received,
            SubmissionEnded: self.on_submission_ended,
        }

    def on_arrived(self, event):
        """Submit a caller's new job to its owner, or refuse it."""
        context = self.context
        context.counters.n_jobs += 1
        request = PendingRequest(
            key=self._make_key(),
            caller_ref=event.caller_ref,
            job=event.job,
            queue=event.queue,
            arrived_ms=context.now_ms,
            deadline_ms=context.now_ms + event.timeout_ms,
        )
        self._choose_cell(request)
        self.by_key[request.key] = request
        self._key_by_caller_ref[event.caller_ref] = request.key
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
        if self._shed_if_overloaded(request):
            return
        self._route(request)
        if request.owner is None:
            context.start_timer(
                max(0.0, event.timeout_ms - REFUSAL_MARGIN_MS),
                RefusalDue(key=request.key),
            )

    def on_caller_disconnected(self, event):
        """Cancel the job of a caller that closed its connection."""
        key = self._key_by_caller_ref.pop(event.caller_ref, None)
        request = self.by_key.pop(key, None)
        if request is None:
            return
        owner = None if request.owner is None else request.owner[0]
        self.context.log(LogCode.CALLER_LEFT, request.job.job_id, owner=owner)
        if request.owner is not None:
            self.cancellations.cancel(request.owner, key)

    def on_deadline(self, message):
        """Answer a caller whose deadline passed without an answer from the owner."""
        request = self.by_key.get(message.key)
        if request is not None:
            self._answer_unfinished(request, EndReason.DEADLINE)

    def on_refusal_due(self, message):
        """Refuse a job that has had no owner while its caller waited."""
        request = self.by_key.get(message.key)
        if request is None or request.owner is not None or request.may_have_run:
            return
        self._refuse(request, EndReason.NO_OWNER)

    def on_owner_changed(self, message):
        """Submit the jobs that have no owner, or whose owner was lost."""
        for request in list(self.by_key.values()):
            self._route(request)

    def on_peer_lost(self, message):
        """Resubmit the jobs that a lost instance had, even if it owns no cell now."""
        for request in list(self.by_key.values()):
            if request.owner is not None and request.owner[0] == message.address:
                self._route(request)

    def on_resubmit_due(self, message):
        """Submit a job again, now that no earlier run of it can be left."""
        request = self.by_key.get(message.key)
        if request is not None:
            # An owner that returned the job because it lost a server to another
            # instance may own that server again.
            request.declined_by = None
            self._route(request)

    def on_possible_loss(self, event):
        """Repeat submissions that an owner may have lost.

        They may have been lost with the former connection, or with the contact that
        the owner reports as broken. They count as possibly run: the owner may have
        started the job before it lost contact and forgot the job. Runs that a former
        owner handed over may go on as well.

        :param event: the :class:`PeerConnected` or :class:`ContactBroken`.
        """
        for request in self.by_key.values():
            if request.owner is not None and request.owner[0] == event.address:
                runs_left = request.runs_left
                self._record_former_owner(request, request.owner)
                request.runs_left = runs_left
                self._log_sent(request, is_repeat=True)
                self._submit(request)

    def on_received(self, event):
        """Handle the outcome that an owner on another instance reports."""
        if isinstance(event.message, JobEnded):
            self._handle_job_ended(event.address, event.message)

    def on_submission_ended(self, message):
        """Handle the outcome of a job that this instance itself owns."""
        if message.address == self.context.identity.address:
            self._handle_job_ended(message.address, message.ended)

    def answer_all(self, reason):
        """Answer every open request because the process is about to exit.

        :param reason: the :class:`EndReason`.
        """
        for request in list(self.by_key.values()):
            self._answer_unfinished(request, reason)

    def _make_key(self):
        """Return a number that no other process at this address uses.

        An outcome names only the number of its submission.
        """
        self._n_requests += 1
        process = self.context.identity.incarnation & PROCESS_MASK
        return (process << REQUEST_NUMBER_BITS) + self._n_requests

    def _ends_after_shutdown(self, request):
        """Return whether a job is expected to end after the process has exited."""
        if self.shutdown_deadline_ms is None:
            return False
        expected_ms = LONG_RUN_FACTOR * request.job.compute_critical_path_ms()
        return self.context.now_ms + expected_ms > self.shutdown_deadline_ms

    def _shed_if_overloaded(self, request):
        """Refuse a job if its owner is overloaded.

        :returns: whether the job was refused.
        """
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

    def _answer_unfinished(self, request, reason):
        may_have_run = request.may_have_run
        if request.owner is not None:
            self.cancellations.cancel(request.owner, request.key)
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

    def _handle_job_ended(self, address, ended):
        request = self.by_key.get(ended.key)
        if request is None or request.owner is None or request.owner[0] != address:
            return
        if ended.attempt != request.attempt:
            # The outcome of an earlier submission to the same owner.
            return
        if ended.outcome is Outcome.RETURNED:
            self._handle_returned(request, ended)
            return
        self._answer(request, ended)

    def _handle_returned(self, request, ended):
        """Find another owner for a returned job, or retry the same one later."""
        context = self.context
        context.counters.n_returned += 1
        owner, request.owner = request.owner, None
        self.completions.learn(request.job.job_id, ended.finished_tasks)
        if ended.may_have_run:
            self._record_former_owner(request, owner)
        if ended.reason is EndReason.OUT_OF_CONTACT:
            # The owner did not start the job, and contact may soon be restored. It may
            # have started an earlier submission, which this one repeated.
            process = (owner[0], owner[2])
            if request.may_have_run and request.former_process in (None, process):
                self._schedule_resubmit(request, context.now_ms)
            retry = ResubmitDue(key=request.key)
            context.start_timer(context.settings.retry_ms, retry)
            return
        if ended.reason is EndReason.CELL_FULL and ended.cell < self.cells.n_cells:
            request.cell = ended.cell
            request.is_passed_on = True
            self._route(request)
            return
        request.declined_by = (request.cell, *owner[:2])
        if ended.reason is EndReason.HANDED_OVER:
            self._record_hand_over(request, ended)
        elif request.may_have_run:
            self._schedule_resubmit(request, context.now_ms)
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
        address, term, complete_term = self.cells.get(cell).owner or (None, 0, 0)
        if address is None or request.declined_by == (cell, address, term):
            return
        are_leases_expired = context.now_ms >= request.resubmit_at_ms
        if request.may_have_run and not (
            are_leases_expired
            or request.is_handed_over
            or self._sees_all_runs(request, address, complete_term)
        ):
            return
        request.owner = (address, term, self._find_incarnation(address))
        request.attempt += 1
        self._log_sent(request)
        self._submit(request)

    def _sees_all_runs(self, request, address, complete_term):
        """Return whether an owner knows every run of a job that is left.

        That is the owner itself that started them, or one whose tokens all servers of
        the cell have accepted after those of every former owner of the job. It must
        claim the same servers: one that was added may be missing in its list.
        """
        if not complete_term or request.may_run_in_former_cell:
            return False
        process = (address, self._find_incarnation(address))
        if process == request.former_process:
            return True
        digest = self.cells.find_servers_digest(address, request.cell)
        claims_same_servers = request.former_digests <= {digest}
        return claims_same_servers and complete_term > request.former_term

    def _record_hand_over(self, request, ended):
        """Record what the next owner must know of a job that was handed over."""
        settings = self.context.settings
        request.is_handed_over = True
        request.runs_left = ended.runs_left
        request.runs_left_until_ms = (
            self.context.now_ms
            + settings.max_lease_duration_ms
            + settings.call_timeout_ms
        )
        request.resubmit_at_ms = self.context.now_ms

    def _record_former_owner(self, request, owner):
        """Record an owner that may have started a job, with its highest known term.

        What an earlier owner handed over no longer says what runs.
        """
        request.is_handed_over = False
        request.runs_left = ()
        address, term, incarnation = owner
        peer = self.membership.by_address.get(address)
        claims = () if peer is None else peer.heartbeat.claims
        terms = [claim.term for claim in claims if claim.cell == request.cell]
        is_first = not request.may_have_run
        process = (address, incarnation)
        is_same = is_first or request.former_process == process
        request.former_process = process if is_same else None
        request.former_term = max(request.former_term, term, *terms)
        request.former_digests.add(
            self.cells.find_servers_digest(address, request.cell)
        )
        request.may_have_run = True

    def _lose_owner(self, request):
        peer = self.membership.by_address.get(request.owner[0])
        last_heard_ms = self.context.now_ms
        if peer is not None and peer.last_heard_ms is not None:
            last_heard_ms = peer.last_heard_ms
        self._record_former_owner(request, request.owner)
        request.owner = None
        self._schedule_resubmit(request, last_heard_ms)

    def _schedule_resubmit(self, request, last_heard_ms):
        context = self.context
        request.resubmit_at_ms = last_heard_ms + context.settings.resubmit_after_ms
        delay_ms = max(0.0, request.resubmit_at_ms - context.now_ms)
        context.start_timer(delay_ms, ResubmitDue(key=request.key))

    def _log_sent(self, request, is_repeat=False):
        address, term, _ = request.owner
        self.context.log(
            LogCode.JOB_SENT,
            request.job.job_id,
            owner=address,
            cell=request.cell,
            term=term,
            is_resent=request.may_have_run,
            attempt=request.attempt,
            is_repeat=is_repeat,
        )

    def _find_incarnation(self, address):
        peer = self.membership.by_address.get(address)
        return None if peer is None else peer.incarnation

    def _submit(self, request):
        context = self.context
        finished_tasks = self.completions.list_known(request.job.job_id)
        message = SubmitJob(
            key=request.key,
            attempt=request.attempt,
            job=request.job,
            queue=request.queue,
            waited_ms=context.now_ms - request.arrived_ms,
            left_ms=request.deadline_ms - context.now_ms,
            is_resent=request.may_have_run or bool(finished_tasks),
            n_cells=request.n_cells,
            cell=request.cell,
            is_passed_on=request.is_passed_on,
            finished_tasks=tuple(sorted(finished_tasks)),
            runs_left=request.runs_left,
            runs_left_ms=max(0.0, request.runs_left_until_ms - context.now_ms),
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
        self._key_by_caller_ref.pop(request.caller_ref, None)
        may_have_run = request.may_have_run or ended.may_have_run
        outcome = ended.outcome
        if outcome is Outcome.NOT_RUN and may_have_run:
            # A former owner may have started the job, so "not run" could be wrong.
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
