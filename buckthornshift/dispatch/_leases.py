"""Renew the leases of backend servers, read finished runs, release servers."""

import math

from ._actions import DisconnectServer, LogCode, RenewLease
from ._crash_history import LossEvidence
from ._election import get_term
from ._events import RenewalAnswered, Verdict
from ._internal_messages import (
    AdoptionTimeout,
    ClaimEnded,
    ClaimStarted,
    HeartbeatDue,
    HousekeepingDue,
    PeerLost,
    RivalClaimEnded,
    ServerRetryDue,
    ServersAdded,
    ServersChanged,
)
from ._jobs import Run, RunPhase
from ._server import Ownership

UNLISTED_RETENTION_MS = 15_000.0
# Delay before the finished runs of an idle server are acknowledged. It is well below
# the platform's limit for acknowledgements, and lets one request cover several runs.
IDLE_ACK_DELAY_MS = 500.0
# Responses to a request without a token, which show that the server can be reached.
PROBE_ANSWERS = (Verdict.DONE, Verdict.FENCED)


class LeaseManager:
    """Renew the leases of the servers of owned cells, and release the servers.

    A server accepts commands only with the highest fencing token that it has seen. Its
    runs are ended when their lease is not renewed in time.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param claims: the :class:`ServerClaims`.
    :param runs: the :class:`RunTracker`, which is notified of finished runs.
    :param incarnations: the :class:`ServerIncarnations`, which is notified of lost
        servers.
    :param claim_coverage: the :class:`ClaimCoverage`.
    """

    def __init__(
        self,
        context=None,
        fleet=None,
        membership=None,
        cells=None,
        claims=None,
        runs=None,
        incarnations=None,
        claim_coverage=None,
    ):
        self.context = context
        self.fleet = fleet
        self.membership = membership
        self.cells = cells
        self.claims = claims
        self.runs = runs
        self.incarnations = incarnations
        self.claim_coverage = claim_coverage
        self._has_yielding = False
        cells.list_yielding_ids = self.list_yielding_ids
        claims.renew_lease = self.renew_lease

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ClaimStarted: self.on_claim_started,
            ClaimEnded: self.on_claim_ended,
            RenewalAnswered: self.on_renewal_answered,
            ServersAdded: self.on_servers_added,
            PeerLost: self.on_peer_lost,
            RivalClaimEnded: self.on_rival_claim_ended,
            HeartbeatDue: self.on_heartbeat_due,
            HousekeepingDue: self.on_housekeeping,
            ServerRetryDue: self.on_retry_due,
            AdoptionTimeout: self.on_adoption_timeout,
        }

    def list_yielding_ids(self):
        """Return ids of servers with runs of a claim that this instance gave up."""
        if not self._has_yielding:
            return []
        yielding_ids = [
            server.id
            for server in self.fleet.by_id.values()
            if server.ownership is Ownership.YIELDING
        ]
        self._has_yielding = bool(yielding_ids)
        return yielding_ids

    def on_claim_started(self, message):
        """Claim the servers of the cell that no former owner still holds."""
        for server in self.fleet.list_servers(message.cell):
            if server.ownership is Ownership.NONE and server.is_reachable:
                # A server that was not called has not been silent.
                server.last_response_ms = self.context.now_ms
            self.claims.claim(server)

    def on_claim_ended(self, message):
        """Release idle servers at once, and busy ones when their runs have ended.

        An instance that stops hands busy ones over with their runs, if another one is
        there to adopt them: a server that waits for its last run stands half idle.
        """
        if self.context.is_stopping and self.cells.has_successor():
            self._hand_over(message.cell)
        for server in self.fleet.list_servers(message.cell):
            if server.ownership is Ownership.OWNED and not server.is_idle:
                server.ownership = Ownership.YIELDING
                self._has_yielding = True
            elif server.ownership is not Ownership.YIELDING:
                self._clear_ownership(server, Ownership.NONE)
                server.is_reachable = True
        self.membership.broadcast_heartbeat()

    def _hand_over(self, cell):
        jobs = self.runs.jobs
        for job in jobs.list_open(cell):
            jobs.hand_over(job, self.runs.adoption.list_left(job))
        for server in self.fleet.list_servers(cell):
            if server.ownership is not Ownership.OWNED or server.is_idle:
                continue
            # The leases last until the next owner renews them.
            server.renewal_sent_ms = None
            self.renew_lease(server)
            self.runs.leave_behind(server)

    def on_servers_added(self, message):
        """Claim servers that are new on the list.

        They get no tasks before every instance in contact has heard a claim that names
        them: it compares that with the claim of the next owner.
        """
        usable_after_ms = self.context.now_ms + self.context.settings.lost_after_ms
        for server in message.servers:
            if self.cells.is_owner_of(server.cell):
                server.usable_after_ms = usable_after_ms
            self.claims.claim(server)
            # A rival may have claimed the server first and run tasks on it.
            self.claim_coverage.update(server.cell)

    def on_peer_lost(self, message):
        """Claim the servers that a lost instance still held."""
        self.claims.claim_unowned()

    def on_rival_claim_ended(self, message):
        """Claim the servers again that the rival had taken.

        Those that count as owned are asked, as the rival may have taken them unnoticed.
        A start would be refused then, and its job returned.
        """
        if message.cell >= self.cells.n_cells:
            return
        for server in list(self.fleet.list_servers(message.cell)):
            if server.ownership is Ownership.FENCED and server.renewal_sent_ms is None:
                self.claims.reclaim_fenced(server)
            elif server.ownership is Ownership.OWNED:
                self.poll_now(server)

    def on_heartbeat_due(self, message):
        """Claim servers that another instance has released since the last heartbeat."""
        self.claims.claim_unowned()

    def on_retry_due(self, message):
        """Retry a server that refused the fencing token or did not respond."""
        server = self.fleet.by_id.get(message.server_id)
        if server is None or server.renewal_sent_ms is not None:
            return
        match server.ownership:
            case Ownership.FENCED:
                # A retry from before the refusal may be due earlier.
                if self.context.now_ms >= server.claim_after_ms:
                    self.claims.reclaim_fenced(server)
            case Ownership.NONE:
                self.claims.claim(server)
            case _:
                self.renew_lease(server)

    def on_housekeeping(self, message):
        """Renew leases, refresh clock offsets, remove servers that are gone."""
        for server in list(self.fleet.by_id.values()):
            self._remove_if_gone(server)
            is_held_here = server.ownership in (Ownership.OWNED, Ownership.YIELDING)
            if not is_held_here or server.renewal_sent_ms is not None:
                continue
            if not server.is_idle or self._is_refresh_due(server):
                self.renew_lease(server)
        for cell in self.cells.list_owned():
            self.claim_coverage.update(cell)

    def on_adoption_timeout(self, message):
        """Stop runs found when the server was claimed whose job was not submitted."""
        server = self.fleet.by_id.get(message.server_id)
        if server is None:
            return
        for run in list(server.run_by_name.values()):
            if run.task is None and run.phase is RunPhase.RUNNING:
                self.runs.stop(server, run)

    def renew_lease(self, server):
        """Renew a server's lease and read its runs, unless a renewal is in flight."""
        context = self.context
        settings = context.settings
        if server.renewal_sent_ms is not None:
            return
        server.renewal_sent_ms = context.now_ms
        may_wait = (
            server.ownership is not Ownership.CLAIMING
            and not server.is_idle
            and not server.awaits_listing
        )
        server.last_acked_sent = server.choose_ack()
        context.counters.n_holds += 1
        context.emit(
            RenewLease(
                server=server.record,
                token=server.token,
                lease_end_ms=self._choose_lease_end(server),
                sent_ms=context.now_ms,
                last_acked=server.last_acked_sent,
                wait_ms=int(settings.hold_wait_ms) if may_wait else 0,
            )
        )

    def poll_now(self, server):
        """Read a server's runs at once.

        A renewal may be waiting at the server for a run to end; the server responds to
        this request without waiting.
        """
        context = self.context
        if server.renewal_sent_ms is None:
            self.renew_lease(server)
            return
        if server.poll_sent_ms is not None or server.renewal_sent_ms == context.now_ms:
            return
        self._poll(server)

    def extend_lease(self, server):
        """Renew a server's lease at once, now that the job of every run is known.

        The renewal that waits at the server was sent without a lease. Where none is in
        flight, the next one is about to be sent.
        """
        if server.renewal_sent_ms is not None:
            self._poll(server)

    def _poll(self, server):
        context = self.context
        server.poll_sent_ms = context.now_ms
        context.counters.n_holds += 1
        context.emit(
            RenewLease(
                server=server.record,
                token=server.token,
                lease_end_ms=self._choose_lease_end(server),
                sent_ms=context.now_ms,
                last_acked=server.choose_ack(),
            )
        )

    def ask_again(self, server):
        """Ask a restarted server for its runs; what was asked before doesn't count."""
        server.renewal_sent_ms = server.poll_sent_ms = None
        if server.is_held:
            self.renew_lease(server)
            # The new incarnation has seen no token, so it may accept that of a rival.
            self.claim_coverage.update(server.cell)

    def grant_lease(self, server):
        """Return when a new lease ends on the server's clock, and record its expiry."""
        context = self.context
        settings = context.settings
        end_ms = context.now_ms + settings.max_lease_duration_ms
        server.lease_expiry_ms = max(server.lease_expiry_ms, end_ms)
        return int(context.now_ms + server.clock_offset_ms + settings.lease_ms)

    def _choose_lease_end(self, server):
        """Return when a new lease ends on the server's clock; ``None`` for no lease.

        A lease covers all runs of the server. So there is none while one of them has no
        job here: its former owner starts the task again once its own leases have
        expired. Nor is there one for a server that doesn't answer, so that its runs
        lapse. That includes stops: a renewal on another connection may overtake one.
        """
        can_lease = server.clock_offset_ms is not None and server.is_reachable
        if not can_lease or server.is_idle:
            return None
        if server.has_unacked_stop or server.has_run_without_job:
            return None
        lease_end_ms = self.grant_lease(server)
        self._log_first_lease(server)
        return lease_end_ms

    def _log_first_lease(self, server):
        """Log until when the runs found at a claim may go on, once for each claim."""
        if not server.has_unleased_found:
            return
        server.has_unleased_found = False
        found = [run for run in server.run_by_name.values() if run.is_found]
        self.context.log(
            LogCode.FOUND_RUNS_LEASED,
            server.id,
            tasks=[run.name for run in found],
            n_without_job=sum(run.task is None for run in found),
            lease_ms=round(server.lease_expiry_ms - self.context.now_ms),
        )

    def on_renewal_answered(self, event):
        """Apply the response to a renewal, or to a poll sent during one."""
        server = self.fleet.by_id.get(event.server_id)
        if server is None:
            return
        if event.sent_ms == server.poll_sent_ms:
            server.poll_sent_ms = None
            if event.verdict is not Verdict.DONE:
                # The renewal in flight reports the failure as well.
                return
        elif event.sent_ms == server.renewal_sent_ms:
            server.renewal_sent_ms = None
        else:
            return
        if event.token != server.token:
            return
        if self.incarnations.is_stale(server, event):
            self._handle_failed_renewal(server)
            return
        if server.ownership is Ownership.NONE and event.verdict in PROBE_ANSWERS:
            self._record_response(server, event.sent_ms, None)
            self.claims.postpone_regained(server)
            return
        self.incarnations.read_incarnation(server, event)
        match event.verdict:
            case Verdict.DONE:
                self._apply_response(server, event)
            case Verdict.FENCED:
                self._record_response(server, event.sent_ms, None)
                self.mark_fenced(server)
            case Verdict.OTHER_INCARNATION:
                self._drop_replaced(server)
            case _:
                server.note_failed_call(
                    event.verdict, event.sent_ms, self.context.now_ms
                )
                self._handle_failed_renewal(server)

    def mark_fenced(self, server):
        """Give up a server that refused the token, as another instance owns it."""
        context = self.context
        context.log(
            LogCode.SERVER_FENCED,
            server.id,
            token=server.token,
            term=self.cells.get(server.cell).term,
        )
        server.refused_term = get_term(server.token)
        delay_ms = self.claims.postpone_fenced(server)
        self._clear_ownership(server, Ownership.FENCED)
        self.cells.get(server.cell).set_complete_term(0)
        context.start_timer(delay_ms, ServerRetryDue(server_id=server.id))

    def _is_refresh_due(self, server):
        """Return whether an idle server's clock is to be read or a run acknowledged."""
        age_ms = self.context.now_ms - server.clock_read_ms
        has_unsent_ack = server.has_unsent_ack
        is_stale = age_ms > self.context.settings.clock_refresh_ms / 2
        return is_stale or (has_unsent_ack and age_ms > IDLE_ACK_DELAY_MS)

    def _apply_response(self, server, event):
        self._record_response(server, event.sent_ms, event.clock_ms)
        if server.ownership is Ownership.CLAIMING:
            self._finish_claim(server, event)
        if event.sent_ms >= server.newest_response_sent_ms:
            # The response to a poll may arrive before that to an older renewal, which
            # waits at the server.
            server.newest_response_sent_ms = event.sent_ms
            self.runs.reconcile_running(server, event)
        server.has_listed_ends |= bool(event.ended)
        for ended in event.ended:
            if ended.number > server.last_acked:
                server.last_acked = ended.number
                self.runs.record_end(server, ended)
        if server.ownership is Ownership.YIELDING and server.is_idle:
            self._release(server)
        elif not server.is_idle:
            self.renew_lease(server)
        self.claim_coverage.update_if_incomplete(server.cell)

    def _record_response(self, server, sent_ms, clock_ms):
        context = self.context
        server.last_response_ms = context.now_ms
        server.newest_contact_sent_ms = max(server.newest_contact_sent_ms, sent_ms)
        server.forget_close(sent_ms)
        self.runs.crash_history.retract_loss(server, sent_ms)
        server.is_reachable = True
        if clock_ms is not None:
            server.update_clock_offset(clock_ms, context.now_ms)

    def _finish_claim(self, server, event):
        context = self.context
        server.ownership = Ownership.OWNED
        self.runs.adoption.clear_lost(server.id)
        context.log(
            LogCode.SERVER_TAKEN,
            server.id,
            token=server.token,
            n_running=len(event.running),
            n_ended=len(event.ended),
        )
        for running in event.running:
            run = Run(
                name=running.task,
                number=running.run,
                server_id=server.id,
                phase=RunPhase.RUNNING,
                sent_ms=context.now_ms,
                percent=running.percent,
                progress_changed_ms=context.now_ms,
                confirmed_ms=context.now_ms,
                listed_started_ms=server.started_ms,
                is_found=True,
            )
            self.runs.track_found(server, run)
        server.has_unleased_found = bool(event.running)
        if server.n_unsized_runs:
            context.start_timer(
                context.settings.adopt_ms, AdoptionTimeout(server_id=server.id)
            )
        context.post(ServersChanged())

    def _release(self, server):
        # No request is needed: the server reports unacknowledged finished runs to its
        # next owner.
        context = self.context
        context.log(LogCode.SERVER_RELEASED, server.id)
        self._clear_ownership(server, Ownership.NONE)
        self.membership.broadcast_heartbeat()

    def _handle_failed_renewal(self, server):
        context = self.context
        settings = context.settings
        silent_ms = context.now_ms - server.last_response_ms
        if server.is_reachable and silent_ms > settings.silent_after_ms:
            server.is_reachable = False
            context.log(
                LogCode.SERVER_UNREACHABLE, server.id, silent_ms=round(silent_ms)
            )
            context.post(ServersChanged())
        is_lapsed = (
            context.now_ms > server.lease_expiry_ms
            and silent_ms > settings.rival_takeover_ms
        )
        if not server.is_reachable and is_lapsed and not server.is_idle:
            self.incarnations.lose_all(server, LossEvidence.LEASES_EXPIRED)
        if server.ownership is Ownership.CLAIMING and not server.is_reachable:
            server.ownership = Ownership.NONE
            server.token = 0
        delay_ms = 0.0 if server.is_reachable else settings.retry_ms
        context.start_timer(max(1.0, delay_ms), ServerRetryDue(server_id=server.id))
        self.claim_coverage.update_if_incomplete(server.cell)

    def _clear_ownership(self, server, ownership):
        """Drop the token of a server, and its runs without reporting their end."""
        server.ownership = ownership
        server.renewal_sent_ms = server.poll_sent_ms = None
        server.token = 0
        server.forget_close(math.inf)
        if server.awaits_listing:
            self.incarnations.lose_former(server)
        self.runs.leave_to_next_owner(server)

    def _drop_replaced(self, server):
        server.ownership = Ownership.NONE
        server.is_replaced = True
        server.is_reachable = False
        self.incarnations.lose_all(server, LossEvidence.SERVER_REPLACED)
        self._remove_if_gone(server)

    def _remove_if_gone(self, server):
        context = self.context
        if server.unlisted_since_ms is None or not server.is_idle:
            return
        unlisted_ms = context.now_ms - server.unlisted_since_ms
        is_gone = server.is_replaced or unlisted_ms >= UNLISTED_RETENTION_MS
        is_lost = unlisted_ms >= context.settings.unlisted_grace_ms
        if is_gone or (is_lost and not server.is_reachable):
            self.fleet.remove(server)
            if server.is_replaced:
                self.runs.adoption.clear_lost(server.id)
            context.emit(DisconnectServer(server_id=server.id))
