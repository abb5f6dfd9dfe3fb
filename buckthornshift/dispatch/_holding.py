"""Taking servers over, renewing leases, reading ends, giving servers back."""

from ._actions import DisconnectServer, LogCode, RenewLease
from ._election import TOKEN_RANDOM_BITS, make_token
from ._events import EndKind, RenewalAnswered, Verdict
from ._fleet import Ownership
from ._internal import (
    AdoptionOver,
    BeatDue,
    ClaimBegun,
    ClaimEnded,
    HousekeepingDue,
    PeerLost,
    ServerRetryDue,
    ServersAdded,
    ServersChanged,
)
from ._jobs import Run, RunPhase

FORGET_UNLISTED_MS = 15_000.0
# An unacknowledged end on an idle server is acknowledged after this time; well
# inside the platform's bound for taking note of ends, and rarely without company.
ACK_IDLE_MS = 500.0


class Holding:
    """Own servers: claim, renew, release.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param runs: the :class:`RunTracker`, told of ends and losses.
    :param following: the :class:`ListFollowing`.
    """

    def __init__(
        self,
        context=None,
        fleet=None,
        membership=None,
        cells=None,
        runs=None,
        following=None,
    ):
        self.context = context
        self.fleet = fleet
        self.membership = membership
        self.cells = cells
        self.runs = runs
        self.following = following
        self._is_yielding = False
        cells.list_held = self.list_held

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ClaimBegun: self.on_claim_begun,
            ClaimEnded: self.on_claim_ended,
            RenewalAnswered: self.on_hold_answered,
            ServersAdded: self.on_added,
            PeerLost: self.on_peer_lost,
            BeatDue: self.on_beat_due,
            HousekeepingDue: self.on_housekeeping,
            ServerRetryDue: self.on_retry_due,
            AdoptionOver: self.on_adoption_over,
        }

    def list_held(self):
        """Return the servers that this instance holds without owning the claim."""
        if not self._is_yielding:
            return []
        held_ids = [
            server.id
            for server in self.fleet.by_id.values()
            if server.ownership is Ownership.YIELDING
        ]
        self._is_yielding = bool(held_ids)
        return held_ids

    def on_claim_begun(self, message):
        """Take every server, but those that a former owner still holds."""
        for server in self.fleet.list_cell(message.cell):
            self._take(server)

    def on_claim_ended(self, message):
        """Release idle servers at once, the others when their runs have ended."""
        for server in self.fleet.list_cell(message.cell):
            if server.ownership is Ownership.OWNED and not server.is_idle:
                server.ownership = Ownership.YIELDING
                self._is_yielding = True
            elif server.ownership is not Ownership.YIELDING:
                self._abandon(server, Ownership.NONE)
        self.membership.beat_now()

    def on_added(self, message):
        """Take servers that are new on the list."""
        for server in message.servers:
            self._take(server)

    def on_peer_lost(self, message):
        """Take the servers that a lost instance still held."""
        self._take_missing()

    def on_beat_due(self, message):
        """Take servers that were released meanwhile; renew what is due."""
        self._take_missing()

    def on_retry_due(self, message):
        """Ask again for a server that was fenced or did not answer."""
        server = self.fleet.by_id.get(message.server_id)
        if server is None or server.hold_sent_ms is not None:
            return
        match server.ownership:
            case Ownership.FENCED:
                self._retake_fenced(server)
            case Ownership.NONE:
                self._take(server)
            case _:
                self.hold(server)

    def on_housekeeping(self, message):
        """Renew idle servers' clocks, acknowledge ends, forget what is gone."""
        for server in list(self.fleet.by_id.values()):
            self._forget_if_gone(server)
            is_ours = server.ownership in (Ownership.OWNED, Ownership.YIELDING)
            if not is_ours or server.hold_sent_ms is not None:
                continue
            if not server.is_idle or self._is_look_due(server):
                self.hold(server)
        for cell in self.cells.list_owned():
            self._check_complete(cell)

    def on_adoption_over(self, message):
        """Stop runs found at a takeover whose job did not come."""
        server = self.fleet.by_id.get(message.server_id)
        if server is None:
            return
        for run in list(server.run_by_name.values()):
            if run.task is None and run.phase is RunPhase.RUNNING:
                self.runs.stop(server, run)

    def hold(self, server):
        """Renew a server's lease and read its ends, unless that is under way."""
        context = self.context
        settings = context.settings
        if server.hold_sent_ms is not None:
            return
        server.hold_sent_ms = context.now_ms
        lease_end_ms = None
        can_lease = server.clock_offset_ms is not None and server.is_reachable
        if can_lease and not server.is_idle:
            # A server that does not answer gets none, so that its runs lapse.
            lease_end_ms = self.grant_lease(server)
        is_waiting = server.ownership is not Ownership.CLAIMING and not server.is_idle
        server.told_acked = server.last_acked
        context.counters.n_holds += 1
        context.emit(
            RenewLease(
                server=server.record,
                token=server.token,
                lease_end_ms=lease_end_ms,
                sent_ms=context.now_ms,
                last_acked=server.last_acked,
                wait_ms=int(settings.hold_wait_ms) if is_waiting else 0,
            )
        )

    def look(self, server):
        """Read a server's list at once, though a renewal may wait there."""
        context = self.context
        if server.hold_sent_ms is None:
            self.hold(server)
            return
        if server.look_sent_ms is not None or server.hold_sent_ms == context.now_ms:
            return
        server.look_sent_ms = context.now_ms
        context.counters.n_holds += 1
        context.emit(
            RenewLease(
                server=server.record,
                token=server.token,
                sent_ms=context.now_ms,
                last_acked=server.last_acked,
            )
        )

    def grant_lease(self, server):
        """Return the end of a new lease on the server's clock, and remember it."""
        context = self.context
        settings = context.settings
        end_ms = context.now_ms + settings.max_lease_duration_ms
        server.leased_until_ms = max(server.leased_until_ms, end_ms)
        return int(context.now_ms + server.clock_offset_ms + settings.lease_ms)

    def on_hold_answered(self, event):
        """Take over what runs and what ended."""
        server = self.fleet.by_id.get(event.server_id)
        if server is None:
            return
        if event.sent_ms == server.look_sent_ms:
            server.look_sent_ms = None
            if event.verdict is not Verdict.DONE:
                # The renewal beside it tells what is wrong, if anything is.
                return
        elif event.sent_ms == server.hold_sent_ms:
            server.hold_sent_ms = None
        else:
            return
        if event.token != server.token:
            return
        match event.verdict:
            case Verdict.DONE:
                self._read_answer(server, event)
            case Verdict.FENCED:
                self.lose_to_other(server)
            case Verdict.OTHER_INCARNATION:
                self._drop_dead(server)
            case _:
                self._miss_answer(server)

    def lose_to_other(self, server):
        """Take note that another instance owns a server now."""
        context = self.context
        context.log(
            LogCode.SERVER_FENCED,
            server.id,
            token=server.token,
            term=self.cells.get(server.cell).term,
        )
        server.refused_term = server.token >> TOKEN_RANDOM_BITS
        self._abandon(server, Ownership.FENCED)
        self.cells.get(server.cell).note_server_lost()
        context.start_timer(
            context.settings.lost_after_ms, ServerRetryDue(server_id=server.id)
        )

    def _is_look_due(self, server):
        """Return whether an idle server is to be asked for its clock or its ends."""
        age_ms = self.context.now_ms - server.clock_read_ms
        has_ack = server.told_acked < server.last_acked
        is_stale = age_ms > self.context.settings.clock_refresh_ms / 2
        return is_stale or (has_ack and age_ms > ACK_IDLE_MS)

    def _take_missing(self):
        for cell in self.cells.list_owned():
            for server in self.fleet.list_cell(cell):
                if server.ownership is Ownership.NONE and server.hold_sent_ms is None:
                    self._take(server)

    def _take(self, server):
        # A server whose entry vanished is taken as well, for what it may run.
        election = self.cells.get(server.cell)
        if not election.is_owner:
            return
        if server.ownership is Ownership.YIELDING:
            # Runs of an earlier claim of this instance: they go on under its token.
            server.ownership = Ownership.OWNED
            return
        if server.ownership is not Ownership.NONE or self._is_held_elsewhere(server):
            return
        server.ownership = Ownership.CLAIMING
        server.token = make_token(election.term, self.context.random_state)
        self.hold(server)

    def _is_held_elsewhere(self, server):
        return any(
            server.id in peer.beat.held_ids or self.cells.covers(peer.beat, server)
            for peer in self.membership.list_live()
        )

    def _is_outbid(self, election):
        claims = self.cells.list_claims(election.cell)
        return any(claim.term > election.term for _, _, claim in claims)

    def _retake_fenced(self, server):
        """Claim a server again if nobody with a higher claim is heard."""
        server.ownership = Ownership.NONE
        election = self.cells.get(server.cell)
        if not election.is_owner or self._is_outbid(election):
            return
        if server.refused_term >= election.term:
            election.raise_term()
        else:
            self._take(server)

    def _read_answer(self, server, event):
        self._note_answer(server, event.clock_ms)
        if server.ownership is Ownership.CLAIMING:
            self._finish_take(server, event)
        if event.sent_ms >= server.listed_ms:
            # A look may overtake a renewal that waited; its listing is younger.
            server.listed_ms = event.sent_ms
            self.runs.reconcile_running(server, event)
        for ended in event.ended:
            if ended.number > server.last_acked:
                server.last_acked = ended.number
                self.runs.record_end(server, ended)
        if server.ownership is Ownership.YIELDING and server.is_idle:
            self._acknowledge_and_release(server)
        elif not server.is_idle:
            self.hold(server)
        self._check_complete(server.cell)

    def _note_answer(self, server, clock_ms):
        context = self.context
        server.answered_ms = context.now_ms
        server.is_reachable = True
        if clock_ms is not None:
            server.read_clock(clock_ms, context.now_ms)

    def _finish_take(self, server, event):
        context = self.context
        server.ownership = Ownership.OWNED
        self.runs.clear_lost(server.id)
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
            )
            server.add_run(run)
            self.runs.adopt_if_job_known(server, run)
        if server.n_unknown:
            context.start_timer(
                context.settings.adopt_ms, AdoptionOver(server_id=server.id)
            )
        context.post(ServersChanged())

    def _acknowledge_and_release(self, server):
        # The release needs no answer: the next owner is told what is unacknowledged.
        context = self.context
        context.log(LogCode.SERVER_RELEASED, server.id)
        self._abandon(server, Ownership.NONE)
        self.membership.beat_now()

    def _miss_answer(self, server):
        context = self.context
        settings = context.settings
        silent_ms = context.now_ms - server.answered_ms
        if server.is_reachable and silent_ms > settings.silent_after_ms:
            server.is_reachable = False
            context.log(
                LogCode.SERVER_UNREACHABLE, server.id, silent_ms=round(silent_ms)
            )
            context.post(ServersChanged())
        is_lapsed = context.now_ms > server.leased_until_ms
        if not server.is_reachable and is_lapsed and not server.is_idle:
            self.runs.drop_all(server, EndKind.LAPSED)
        if server.ownership is Ownership.CLAIMING and not server.is_reachable:
            server.ownership = Ownership.NONE
        delay_ms = 0.0 if server.is_reachable else settings.retry_ms
        context.start_timer(max(1.0, delay_ms), ServerRetryDue(server_id=server.id))
        self._check_complete(server.cell)

    def _abandon(self, server, ownership):
        """Give up all claims on a server; its runs are no longer ours to tell of."""
        server.ownership = ownership
        server.hold_sent_ms = server.look_sent_ms = None
        server.token = 0
        self.runs.drop_all(server, None)

    def _drop_dead(self, server):
        server.ownership = Ownership.NONE
        server.unlisted_ms = self.context.now_ms - FORGET_UNLISTED_MS
        self.runs.drop_all(server, EndKind.LAPSED)
        self._forget_if_gone(server)

    def _forget_if_gone(self, server):
        context = self.context
        if server.unlisted_ms is None or not server.is_idle:
            return
        is_gone = context.now_ms - server.unlisted_ms >= FORGET_UNLISTED_MS
        if is_gone or not server.is_reachable:
            self.fleet.remove(server)
            self.runs.clear_lost(server.id)
            context.emit(DisconnectServer(server_id=server.id))

    def _check_complete(self, cell):
        election = self.cells.get(cell)
        if not election.is_owner or election.is_claim_complete:
            return
        age_ms = self.context.now_ms - election.claimed_ms
        lapsed_ms = self.context.settings.resubmit_after_ms
        if self.following.may_lack_servers and age_ms < lapsed_ms:
            # Something may run on a server that it does not know.
            return
        servers = self.fleet.list_cell(cell)
        if servers and all(s.ownership is Ownership.OWNED for s in servers):
            election.note_claim_complete()
