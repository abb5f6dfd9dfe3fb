"""A backend server with its runs, free resources, ownership and incarnation."""

import enum
import math

import attrs

from ._declarations import Resources, ServerRecord
from ._events import Verdict
from ._jobs import RunPhase
from ._server_speeds import ServerSpeed


class Ownership(enum.StrEnum):
    """State of this instance's ownership of a server.

    ``FENCED`` means that the server refused the token; ``YIELDING`` that the claim has
    ended but runs under it continue.
    """

    NONE = "none"
    CLAIMING = "claiming"
    OWNED = "owned"
    FENCED = "fenced"
    YIELDING = "yielding"


@attrs.define(kw_only=True, eq=False)
class Server:
    """State of a backend server as this instance knows it.

    :param record: its entry in the platform's list.
    :param hash: hash of its id, which determines its cell.
    :param cell: number of its cell.
    :param ownership: whether this instance owns it.
    :param token: fencing token of this instance's commands; 0 without ownership.
    :param refused_term: term of the last token that the server refused.
    :param run_by_name: the :class:`Run` of each task, by name of the task.
    :param free: unreserved :class:`Resources`, not counting runs of unknown size.
    :param n_unsized_runs: runs of unknown size, found when the server was claimed.
    :param n_isolated_runs: runs beside which no other may start.
    :param has_unleased_found: whether runs were found when it was claimed, and have got
        no lease since.
    :param last_acked: number of the last finished run that was processed.
    :param last_acked_sent: the ``last_acked`` that the server was last sent.
    :param has_listed_ends: whether a response since the last renewal or poll was sent
        listed finished runs.
    :param started_ms: its incarnation: when its process started, in milliseconds since
        the epoch; 0 if unknown.
    :param former_started_ms: incarnation before the last restart that was noticed.
    :param former_silent_since_ms: when the former incarnation last responded.
    :param restart_noticed_ms: when the last restart was noticed, or ``None``.
    :param barred_by_name: number of the last run of each task whose start it may still
        get, though a stop has barred it, and until when; by name of the task.
    :param awaits_listing: whether it has restarted, and has not listed its runs since.
    :param clock_offset_ms: the server's clock minus that of this instance, or ``None``.
    :param clock_read_ms: when the offset was measured.
    :param lease_expiry_ms: when the last lease granted has certainly expired.
    :param closed_ms: when it last closed a connection in order, before the leases had
        certainly expired; ``None`` if it has responded since.
    :param has_ended: whether it has refused a connection after it closed one.
    :param former_has_closed: ``has_closed`` of the former incarnation.
    :param was_draining: whether the former incarnation was shutting down.
    :param renewal_sent_ms: when the renewal in flight was sent, or ``None``.
    :param poll_sent_ms: when a poll during that renewal was sent, or ``None``.
    :param newest_response_sent_ms: send time of the newest renewal or poll whose
        response was read.
    :param newest_contact_sent_ms: the same for any response, also the refusal of a
        token.
    :param last_response_ms: when the server last responded.
    :param is_reachable: whether it responds.
    :param claim_after_ms: when it may be claimed at the earliest, after it refused the
        token or could not be reached.
    :param usable_after_ms: when it may get tasks at the earliest, after it was listed
        during a claim.
    :param unlisted_since_ms: when its entry vanished from the list, or ``None``.
    :param is_replaced: whether another server answers at its address, so that it is
        gone; its entry may be listed for some seconds more.
    :param is_evacuated: whether its zone is evacuated, so that it gets no new task.
    :param suspect_until_ms: until when other servers are preferred to it.
    :param n_failures: consecutive failures.
    :param slowness: moving average of the ratio of actual to estimated run times.
    :param speed: the :class:`ServerSpeed` that was learnt.
    :param relative_slowness: factor on run times relative to the mean of the service's
        servers; 1 where they are equally fast.
    """

    record: ServerRecord = ServerRecord()
    hash: int = 0
    cell: int = 0
    ownership: Ownership = Ownership.NONE
    token: int = 0
    refused_term: int = 0
    run_by_name: dict = attrs.field(factory=dict)
    free: Resources = Resources()
    n_unsized_runs: int = 0
    n_isolated_runs: int = 0
    has_unleased_found: bool = False
    last_acked: int = 0
    last_acked_sent: int = 0
    has_listed_ends: bool = False
    started_ms: int = 0
    former_started_ms: int = 0
    former_silent_since_ms: float = 0.0
    restart_noticed_ms: float | None = None
    awaits_listing: bool = False
    barred_by_name: dict = attrs.field(factory=dict)
    clock_offset_ms: float | None = None
    clock_read_ms: float = 0.0
    lease_expiry_ms: float = 0.0
    closed_ms: float | None = None
    has_ended: bool = False
    former_has_closed: bool = False
    was_draining: bool = False
    renewal_sent_ms: float | None = None
    poll_sent_ms: float | None = None
    newest_response_sent_ms: float = -1.0
    newest_contact_sent_ms: float = -1.0
    last_response_ms: float = 0.0
    is_reachable: bool = True
    claim_after_ms: float = 0.0
    usable_after_ms: float = 0.0
    unlisted_since_ms: float | None = None
    is_replaced: bool = False
    is_evacuated: bool = False
    suspect_until_ms: float = 0.0
    n_failures: int = 0
    slowness: float = 1.0
    speed: ServerSpeed = attrs.field(factory=ServerSpeed)
    relative_slowness: float = 1.0

    @property
    def id(self):
        """Id of the server; a restarted server may keep it."""
        return self.record.server_id

    @property
    def is_held(self):
        """Whether this instance sends lease renewals to it."""
        return self.ownership not in (Ownership.NONE, Ownership.FENCED)

    @property
    def has_current_record(self):
        """Whether its entry is not that of a former incarnation.

        The capacity and the labels of the present one may differ.
        """
        return not 0 < self.record.started_ms < self.started_ms

    @property
    def has_closed(self):
        """Whether it closed a connection in order, and has not responded since."""
        return self.closed_ms is not None

    @property
    def is_idle(self):
        """Whether no run is known on it."""
        return not self.run_by_name

    @property
    def free_cpu(self):
        """Free CPU; 0 while its runs need more than its reduced capacity."""
        return max(0, self.free.cpu)

    @property
    def has_unacked_stop(self):
        """Whether it was told to stop a run and has not acknowledged that."""
        return any(
            run.phase is RunPhase.STOPPING and run.stop_acked_ms is None
            for run in self.run_by_name.values()
        )

    @property
    def has_run_without_job(self):
        """Whether a run goes on whose job isn't open at this instance.

        It was found when the server was claimed, and isn't known to have been stopped.
        """
        return self.n_unsized_runs > 0 and any(
            run.task is None and run.stop_acked_ms is None
            for run in self.run_by_name.values()
        )

    def is_former(self, started_ms):
        """Return whether an entry or a response is from a former incarnation."""
        return 0 < started_ms < self.started_ms

    def is_newer(self, started_ms):
        """Return whether an entry or a response shows that the server has restarted.

        The first known start is none, unless the server has responded without one.
        """
        has_responded = self.newest_response_sent_ms >= 0.0
        return started_ms > self.started_ms and (self.started_ms > 0 or has_responded)

    def begin_incarnation(self, started_ms, now_ms):
        """Forget what only held for the former incarnation, except its runs."""
        if not self.awaits_listing:
            self.former_started_ms = self.started_ms
            self.former_silent_since_ms = self.last_response_ms
            self.former_has_closed = self.has_closed
            self.was_draining = self.record.is_draining
        self.started_ms = started_ms
        self.restart_noticed_ms = now_ms
        self.awaits_listing = True
        self.last_acked = self.last_acked_sent = 0
        self.has_listed_ends = False
        self.clock_offset_ms = None
        self.clock_read_ms = 0.0
        self.refused_term = 0
        self.is_replaced = False
        self.forget_close(math.inf)

    def note_failed_call(self, verdict, sent_ms, now_ms):
        """Note what a call that was not carried out shows of the server's process.

        A connection that is closed in order and one that is refused later suggest that
        its process has ended. Once the leases may have expired, the end of the process
        says nothing of a run.

        :param verdict: the :class:`Verdict` of the call.
        :param sent_ms: when it was sent.
        :param now_ms: current time.
        """
        match verdict:
            case Verdict.CLOSED if now_ms <= self.lease_expiry_ms:
                self.closed_ms = now_ms
            case Verdict.REFUSED:
                self.has_ended = self.has_closed
            case Verdict.CLOSED | Verdict.NOT_SENT | Verdict.NO_ANSWER:
                pass
            case _:
                self.forget_close(sent_ms)

    def forget_close(self, sent_ms):
        """Forget that a connection was closed, as the server responds.

        The response to an earlier request may have been under way at the close.

        :param sent_ms: when the request was sent that it responds to.
        """
        if self.closed_ms is not None and sent_ms > self.closed_ms:
            self.closed_ms = None
            self.has_ended = False

    @property
    def has_unsent_ack(self):
        """Whether it has listed finished runs that no renewal has acknowledged."""
        if self.started_ms:
            return self.has_listed_ends
        return self.last_acked_sent < self.last_acked

    def choose_ack(self):
        """Return the number of the last finished run to acknowledge now.

        A server that may restart under its id gets a number only right after it has
        listed finished runs. A new incarnation would forget its own runs up to it.
        """
        has_listed_ends, self.has_listed_ends = self.has_listed_ends, False
        return self.last_acked if has_listed_ends or not self.started_ms else 0

    def update_record(self, record):
        """Replace the record; a change of the capacity changes what is free."""
        used = self.record.capacity.minus(self.free)
        self.record = record
        self.free = record.capacity.minus(used)

    def add_run(self, run):
        """Add a run and reserve its resources."""
        self.run_by_name[run.name] = run
        self.n_isolated_runs += run.is_isolated
        if run.need is None:
            self.n_unsized_runs += 1
        else:
            self.free = self.free.minus(run.need)

    def remove_run(self, run):
        """Remove a run and release its resources."""
        if self.run_by_name.get(run.name) is not run:
            return
        del self.run_by_name[run.name]
        self.n_isolated_runs -= run.is_isolated
        if run.need is None:
            self.n_unsized_runs -= 1
        else:
            self.free = self.free.plus(run.need)

    def set_run_need(self, run, need):
        """Set the resources of a run whose need was unknown, and reserve them."""
        self.remove_run(run)
        run.need = need
        self.add_run(run)

    def update_clock_offset(self, clock_ms, now_ms):
        """Update the offset of the server's clock from a reading.

        The network delay of the response makes the offset too small, so leases end a
        little early.
        """
        self.clock_offset_ms = clock_ms - now_ms
        self.clock_read_ms = now_ms
