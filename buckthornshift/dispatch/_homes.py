"""Callers' requests at the instance that they reached.

It keeps the request, passes the job to the owner, and gives the one answer.
"""

import attrs

from ._actions import AnswerCaller, LogCode, SendPeer
from ._declarations import JobSpec, Queue
from ._events import CallerLeft, JobArrived, PeerLinkOpened, PeerReceived
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
class HomeJob:
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
    :param resubmit_ms: when nothing that a former owner started can run any more.
    :param declined_by: cell, address and term of an owner that gave the job back.
    :param n_cells: number of cells when its cell was chosen.
    :param cell: the cell that is to run it.
    :param is_passed_on: whether the cell of its id had no room.
    :param is_moved: whether it may have run in a cell that was divided since.
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
    resubmit_ms: float = 0.0
    declined_by: tuple | None = None
    n_cells: int = 0
    cell: int = 0
    is_passed_on: bool = False
    is_moved: bool = False


class Homes:
    """Keep callers' requests until each has its one answer.

    :param context: the shared :class:`DispatchContext`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param shedding: the :class:`Shedding`.
    """

    def __init__(self, context=None, membership=None, cells=None, shedding=None):
        self.context = context
        self.membership = membership
        self.cells = cells
        self.shedding = shedding
        self.by_key = {}
        self.last_answer_ms = None
        self._key_by_caller = {}
        self._next_key = 0

    def subscribe(self):
        """Return handlers by message class."""
        return {
            JobArrived: self.on_arrived,
            CallerLeft: self.on_caller_left,
            CallerDeadline: self.on_deadline,
            OwnerChanged: self.on_owner_changed,
            CellsChanged: self.on_owner_changed,
            PeerLost: self.on_peer_lost,
            ResubmitDue: self.on_resubmit_due,
            PeerLinkOpened: self.on_link_opened,
            PeerReceived: self.on_received,
            SubmissionEnded: self.on_submission_ended,
        }

    def on_arrived(self, event):
        """Take a caller's job and pass it to the owner."""
        context = self.context
        context.counters.n_jobs += 1
        self._next_key += 1
        home_job = HomeJob(
            key=self._next_key,
            caller_ref=event.caller_ref,
            job=event.job,
            queue=event.queue,
            arrived_ms=context.now_ms,
            deadline_ms=context.now_ms + event.timeout_ms,
        )
        self._choose_cell(home_job)
        self.by_key[home_job.key] = home_job
        self._key_by_caller[event.caller_ref] = home_job.key
        context.log(
            LogCode.JOB_ARRIVED,
            event.job.job_id,
            queue=event.queue.name,
            n_tasks=sum(step.n_tasks for step in event.job.steps),
            timeout_ms=event.timeout_ms,
            config_version=context.configuration.version,
        )
        context.start_timer(
            event.timeout_ms + OWNER_ANSWER_SLACK_MS, CallerDeadline(key=home_job.key)
        )
        if self._is_too_late(home_job):
            self._refuse(home_job, EndReason.STOPPING)
            return
        if not self._shed(home_job):
            self._route(home_job)

    def on_caller_left(self, event):
        """Drop the job of a caller that closed its connection."""
        key = self._key_by_caller.pop(event.caller_ref, None)
        home_job = self.by_key.pop(key, None)
        if home_job is None:
            return
        self.context.log(LogCode.CALLER_LEFT, home_job.job.job_id)
        if home_job.owner is not None:
            self._send(home_job.owner[0], DropJob(key=key))

    def on_deadline(self, message):
        """Answer a caller whose deadline came before the owner's answer."""
        home_job = self.by_key.get(message.key)
        if home_job is not None:
            self._give_up(home_job, EndReason.DEADLINE)

    def on_owner_changed(self, message):
        """Pass on what has no owner, or whose owner was lost."""
        for home_job in list(self.by_key.values()):
            self._route(home_job)

    def on_peer_lost(self, message):
        """Pass on what an instance had that is lost, owner by then or not."""
        for home_job in list(self.by_key.values()):
            if home_job.owner is not None and home_job.owner[0] == message.address:
                self._route(home_job)

    def on_resubmit_due(self, message):
        """Pass on a job of which nothing can run any more."""
        home_job = self.by_key.get(message.key)
        if home_job is not None:
            # One that lost a server to another owner may have it again.
            home_job.declined_by = None
            self._route(home_job)

    def on_link_opened(self, event):
        """Repeat what may have been lost with the former connection.

        The owner may have started it, lost this instance and forgotten the job.
        """
        for home_job in self.by_key.values():
            if home_job.owner is not None and home_job.owner[0] == event.address:
                home_job.may_have_run = True
                self._submit(home_job)

    def on_received(self, event):
        """Take an owner's answer."""
        if isinstance(event.message, JobEnded):
            self._finish(event.address, event.message)

    def on_submission_ended(self, message):
        """Take the answer of the owner in this very instance."""
        if message.address == self.context.identity.address:
            self._finish(message.address, message.ended)

    def give_up_all(self, reason):
        """Answer every open request, because the process ends.

        :param reason: the :class:`EndReason`.
        """
        for home_job in list(self.by_key.values()):
            self._give_up(home_job, reason)

    def _is_too_late(self, home_job):
        """Return whether the process will end before a job's answer."""
        if self.last_answer_ms is None:
            return False
        expected_ms = LONG_RUN_FACTOR * home_job.job.compute_critical_path_ms()
        return self.context.now_ms + expected_ms > self.last_answer_ms

    def _shed(self, home_job):
        """Refuse a job if the owner is too busy to take it; return whether."""
        owner = self.cells.get(home_job.cell).owner
        if owner is None or owner[0] is None:
            return False
        refusal = self.shedding.check(home_job.job.job_id, owner[0])
        if refusal is None:
            return False
        self.context.log(
            LogCode.JOB_REFUSED,
            home_job.job.job_id,
            reason=refusal.reason,
            detail=refusal.detail,
            retry_after_ms=round(refusal.retry_after_ms),
        )
        self._refuse(home_job, refusal.reason, refusal.retry_after_ms)
        return True

    def _refuse(self, home_job, reason, retry_after_ms=None):
        if retry_after_ms is None:
            retry_after_ms = self.context.settings.min_retry_after_ms
        ended = JobEnded(
            outcome=Outcome.NOT_RUN, reason=reason, retry_after_ms=retry_after_ms
        )
        self._answer(home_job, ended)

    def _give_up(self, home_job, reason):
        may_have_run = home_job.may_have_run
        if home_job.owner is not None:
            self._send(home_job.owner[0], DropJob(key=home_job.key))
            may_have_run = True
        self._answer(
            home_job,
            JobEnded(
                key=home_job.key,
                outcome=Outcome.FAILED if may_have_run else Outcome.NOT_RUN,
                reason=reason,
                may_have_run=may_have_run,
            ),
        )

    def _finish(self, address, ended):
        home_job = self.by_key.get(ended.key)
        if home_job is None or home_job.owner is None or home_job.owner[0] != address:
            return
        if ended.attempt != home_job.attempt:
            # About an earlier try at the same owner.
            return
        if ended.outcome is Outcome.RETURNED:
            self._take_back(home_job, ended)
            return
        self._answer(home_job, ended)

    def _take_back(self, home_job, ended):
        """Find another owner for a job, or the same one a little later."""
        context = self.context
        context.counters.n_returned += 1
        owner, home_job.owner = home_job.owner, None
        home_job.may_have_run = home_job.may_have_run or ended.may_have_run
        if ended.reason is EndReason.OUT_OF_CONTACT:
            # That owner did not start it, and may be in contact again soon.
            retry = ResubmitDue(key=home_job.key)
            context.start_timer(context.settings.retry_ms, retry)
            return
        if ended.reason is EndReason.CELL_FULL and ended.cell < self.cells.n_cells:
            home_job.cell = ended.cell
            home_job.is_passed_on = True
            self._route(home_job)
            return
        home_job.declined_by = (home_job.cell, *owner[:2])
        if home_job.may_have_run:
            self._wait_for_lapse(home_job, context.now_ms)
        self._route(home_job)

    def _choose_cell(self, home_job):
        home_job.n_cells = self.cells.n_cells
        home_job.cell = self.cells.find_cell(home_job.job.job_id)
        home_job.is_passed_on = False

    def _route(self, home_job):
        context = self.context
        if home_job.owner is not None:
            if self.membership.is_live(home_job.owner[0], home_job.owner[2]):
                return
            self._lose_owner(home_job)
        if home_job.n_cells != self.cells.n_cells:
            home_job.is_moved = home_job.may_have_run
            self._choose_cell(home_job)
        cell = home_job.cell
        address, term, is_complete = self.cells.get(cell).owner or (None, 0, False)
        if address is None or home_job.declined_by == (cell, address, term):
            return
        is_lapsed = context.now_ms >= home_job.resubmit_ms
        is_seen = is_complete and not home_job.is_moved
        if home_job.may_have_run and not (is_seen or is_lapsed):
            # Only an owner of the whole cell sees what a former one left running.
            return
        home_job.owner = (address, term, self._find_incarnation(address))
        home_job.attempt += 1
        context.log(
            LogCode.JOB_SENT,
            home_job.job.job_id,
            owner=address,
            cell=cell,
            term=term,
            is_resent=home_job.may_have_run,
        )
        self._submit(home_job)

    def _lose_owner(self, home_job):
        peer = self.membership.by_address.get(home_job.owner[0])
        last_heard_ms = self.context.now_ms
        if peer is not None and peer.last_heard_ms is not None:
            last_heard_ms = peer.last_heard_ms
        home_job.owner = None
        home_job.may_have_run = True
        self._wait_for_lapse(home_job, last_heard_ms)

    def _wait_for_lapse(self, home_job, last_heard_ms):
        context = self.context
        home_job.resubmit_ms = last_heard_ms + context.settings.resubmit_after_ms
        delay_ms = max(0.0, home_job.resubmit_ms - context.now_ms)
        context.start_timer(delay_ms, ResubmitDue(key=home_job.key))

    def _find_incarnation(self, address):
        peer = self.membership.by_address.get(address)
        return None if peer is None else peer.incarnation

    def _submit(self, home_job):
        context = self.context
        message = SubmitJob(
            key=home_job.key,
            attempt=home_job.attempt,
            job=home_job.job,
            queue=home_job.queue,
            waited_ms=context.now_ms - home_job.arrived_ms,
            left_ms=home_job.deadline_ms - context.now_ms,
            is_resent=home_job.may_have_run,
            n_cells=home_job.n_cells,
            cell=home_job.cell,
            is_passed_on=home_job.is_passed_on,
        )
        self._send(home_job.owner[0], message)

    def _send(self, address, message):
        context = self.context
        if address != context.identity.address:
            context.emit(SendPeer(address=address, message=message))
            return
        context.post(
            PeerReceived(
                address=address,
                incarnation=context.identity.incarnation,
                message=message,
            )
        )

    def _answer(self, home_job, ended):
        context = self.context
        self.by_key.pop(home_job.key, None)
        self._key_by_caller.pop(home_job.caller_ref, None)
        may_have_run = home_job.may_have_run or ended.may_have_run
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
            home_job.job.job_id,
            outcome=outcome,
            reason=ended.reason,
            after_ms=round(context.now_ms - home_job.arrived_ms, 1),
            owner=home_job.owner,
            may_have_run=may_have_run,
        )
        context.emit(
            AnswerCaller(
                caller_ref=home_job.caller_ref,
                outcome=outcome,
                reason=ended.reason,
                may_have_run=may_have_run,
                retry_after_ms=ended.retry_after_ms,
            )
        )
