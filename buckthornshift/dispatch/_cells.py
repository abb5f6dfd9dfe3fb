"""Partition of the backend servers into cells, each with an owner.

Cells serve deployments that are too large for one owner. A server belongs to the cell
given by the hash of its id, and a job runs in the cell given by the hash of its id, so
that repeated submissions of a job reach the same owner. The owner of a cell without
capacity for a job redirects it to another cell.

A cell is small enough for the processor and the link of any instance, so that it has an
owner that can serve it whichever instances are lost.
"""

from ._actions import LogCode
from ._election import Election
from ._events import PeerMessageReceived, StopRequested
from ._hashing import hash_name
from ._internal_messages import CellsChanged, HeartbeatDue, PauseDetected, PeerLost
from ._peer_messages import CellClaim, Heartbeat

# Eight times the cells of the largest planned deployment.
MAX_CELLS = 64
# A smaller cell could not start the tasks of a usual job at once.
MIN_CELL_SERVERS = 4
# An owner of several cells gives one up after another instance has been a candidate
# without a cell for this time, which is enough for that instance to read the list.
HAND_OVER_AFTER_MS = 2_000.0
# Uptime of all instances in contact up to which they count as started together. The
# platform starts all of them within 0.3 s, and the slowest takes another second.
YOUNG_FLEET_MS = 2_000.0
# Instances that started together wait this much longer for those of higher rank.
YOUNG_CLAIM_WAIT_MS = 300.0


class Cells:
    """Assign the servers to cells and track the owner of each cell.

    The number of cells is a power of two and only grows. So all instances agree on it
    as soon as they know the largest number that any of them uses.

    :param context: the shared :class:`DispatchContext`.
    :param membership: the :class:`Membership`.
    :param fleet: the :class:`Fleet`.
    """

    def __init__(self, context=None, membership=None, fleet=None):
        self.context = context
        self.membership = membership
        self.fleet = fleet
        self.n_cells = 1
        self.settle_end_ms = None
        self.list_yielding_ids = lambda: ()
        self.count_waiting_cpu = lambda cell: 0
        self.knows_evacuations = lambda: True
        self.elections = [self._make_election(0)]
        self._n_planned_cells = 1
        self._oversized_since_ms = None
        self._surplus_since_ms = None
        membership.describe_claims = self.describe_claims
        membership.holds_servers = self.holds_servers
        membership.has_all_owners = self.has_all_owners

    def subscribe(self):
        """Return handlers by message class."""
        return {
            HeartbeatDue: self.on_tick,
            PeerLost: self.on_tick,
            PauseDetected: self.on_pause,
            StopRequested: self.on_stop,
            PeerMessageReceived: self.on_received,
            CellsChanged: self.on_cells_changed,
        }

    @property
    def is_owner(self):
        """Whether this instance owns a cell, as far as it knows."""
        return any(election.is_owner for election in self.elections)

    def holds_servers(self):
        """Return whether this instance owns a cell, or runs of a former claim go on."""
        return self.is_owner or bool(self.list_yielding_ids())

    def get(self, cell):
        """Return the :class:`Election` of a cell."""
        return self.elections[cell]

    def is_owner_of(self, cell):
        """Return whether this instance owns a cell, as far as it knows."""
        return cell < self.n_cells and self.elections[cell].is_owner

    def list_owned(self):
        """Return the cells that this instance owns."""
        return [e.cell for e in self.elections if e.is_owner]

    def has_any_owner(self):
        """Return whether at least one cell has a known owner."""
        return any(e.owner is not None and e.owner[0] for e in self.elections)

    def has_all_owners(self):
        """Return whether every cell is claimed by this instance or by a live one."""
        claimed = set(self.list_owned())
        for peer in self.membership.list_live():
            if peer.heartbeat.n_cells == self.n_cells:
                claimed.update(claim.cell for claim in peer.heartbeat.claims)
        return len(claimed) >= self.n_cells

    def find_cell(self, job_id):
        """Return the cell that is to run a job."""
        return hash_name(job_id) % self.n_cells

    def covers(self, heartbeat, server):
        """Return whether the sender of a heartbeat claims the cell of a server.

        :param heartbeat: the :class:`Heartbeat`; its sender may use another cell count.
        :param server: the :class:`Server`.
        """
        cell = server.hash % max(1, heartbeat.n_cells)
        return any(claim.cell == cell for claim in heartbeat.claims)

    def list_claims(self, cell):
        """Return other instances' claims on a cell: sort key, peer and claim each."""
        claims = []
        for peer in self.membership.list_live():
            if not peer.heartbeat.claims or peer.heartbeat.n_cells != self.n_cells:
                continue
            for claim in peer.heartbeat.claims:
                if claim.cell == cell:
                    key = (claim.n_owned, claim.term, peer.incarnation)
                    claims.append((key, peer, claim))
        return claims

    def find_servers_digest(self, address, cell):
        """Return the checksum of the servers that an instance last claimed.

        :param address: address of the instance.
        :param cell: number of the cell.
        :returns: the checksum, or ``None`` if that instance isn't known.
        """
        if address == self.context.identity.address:
            return self.fleet.compute_cell_digest(cell)
        peer = self.membership.by_address.get(address)
        return None if peer is None else peer.find_servers_digest(self.n_cells, cell)

    def has_unheard_owner(self, cell):
        """Return whether an instance in contact hears an owner that this one doesn't.

        That instance has given the cell up to it, so a claim would be the third.
        """
        return any(
            peer.heartbeat.n_cells == self.n_cells
            and cell in peer.heartbeat.yielded_cells
            for peer in self.membership.list_live()
        )

    def find_cell_with_capacity(self, cell, can_run, need_cpu=None):
        """Return another cell, the one with the most free CPU, or ``None``.

        :param cell: the cell to leave out.
        :param can_run: returns whether some server of a cell could run the job.
        :param need_cpu: CPU that must be free now, in thousandths of a core; ``None``
            for any cell that could ever run the job.
        """
        min_cpu = float("-inf") if need_cpu is None else need_cpu
        free_by_cell = {}
        if need_cpu is None:
            free_by_cell = dict.fromkeys(range(self.n_cells), 0)
        for peer in self.membership.list_live():
            if peer.heartbeat.n_cells == self.n_cells:
                free_by_cell |= {c.cell: c.free_cpu for c in peer.heartbeat.claims}
        free_by_cell |= {c: self._compute_free_cpu(c) for c in self.list_owned()}
        free_by_cell.pop(cell, None)
        candidates = [
            c for c, cpu in free_by_cell.items() if cpu >= min_cpu and can_run(c)
        ]
        return max(candidates, key=free_by_cell.get, default=None)

    def describe_claims(self):
        """Return the heartbeat fields that describe this instance's claims."""
        return {
            "n_cells": self.n_cells,
            "claims": tuple(
                self._describe_claim(e) for e in self._list_own_elections()
            ),
            "list_digest": self.fleet.digest(),
            "is_eligible": self.is_eligible(),
            "held_ids": tuple(self.list_yielding_ids()),
            "yielded_cells": tuple(e.cell for e in self.elections if e.has_yielded),
        }

    def has_successor(self):
        """Return whether another instance in contact could own the cells."""
        return any(self._may_claim(peer) for peer in self.membership.list_live())

    def is_eligible(self):
        """Return whether this instance is able to own servers."""
        context = self.context
        return (
            not context.is_stopping
            and context.configuration.version > 0
            and bool(self.fleet.by_id)
            and self.knows_evacuations()
        )

    def is_settled(self):
        """Return whether an existing owner, if there is one, has been heard.

        Where all instances have just started, there is none.
        """
        context = self.context
        if self.settle_end_ms is None:
            settle_end_ms = context.started_ms + context.settings.settle_ms
            return context.now_ms >= settle_end_ms or self._is_fleet_young()
        return context.now_ms >= self.settle_end_ms

    def _is_fleet_young(self):
        """Return whether the instances have all just started, as far as is known."""
        now_ms = self.context.now_ms
        membership = self.membership
        live = membership.list_live()
        if not membership.has_instance_list or len(live) < len(membership.by_address):
            return False
        return now_ms - self.context.started_ms < YOUNG_FLEET_MS and all(
            not peer.heartbeat.claims and peer.get_uptime_ms(now_ms) < YOUNG_FLEET_MS
            for peer in live
        )

    def is_next_claimant(self, cell):
        """Return whether this instance is to claim a cell without an owner.

        Candidates are ordered by the number of cells that they own, fewest first, then
        by rank. The cells without an owner are assigned to them round-robin.
        """
        waited_ms = self.elections[cell].compute_ownerless_ms()
        counts_young = waited_ms < YOUNG_CLAIM_WAIT_MS and self._is_fleet_young()
        n_own_cells = len(self.list_owned())
        own_rank = self.context.identity.rank
        n_candidates = n_ahead = 0
        for peer in self.membership.list_live():
            if not self._may_claim(peer, counts_young):
                continue
            n_candidates += 1
            n_cells_owned = len(peer.heartbeat.claims)
            is_tied = n_cells_owned == n_own_cells
            n_ahead += n_cells_owned < n_own_cells or (is_tied and peer.rank > own_rank)
        ownerless = [e.cell for e in self.elections if e.is_ownerless]
        return ownerless.index(cell) % (n_candidates + 1) == n_ahead

    def compute_max_servers(self):
        """Return the largest number of servers that this instance is able to own."""
        identity = self.context.identity
        settings = self.context.settings
        max_servers = min(
            settings.cell_servers, identity.power * settings.cell_servers_per_core
        )
        if identity.link_mbps > 0.0:
            max_by_link = identity.link_mbps * settings.cell_servers_per_mbps
            max_servers = min(max_servers, max_by_link)
        return max(max_servers, min(MIN_CELL_SERVERS, settings.cell_servers))

    def grow_if_oversized(self, n_listed):
        """Increase the number of cells if a cell is too large for this instance.

        The other instances adopt the larger number, so that the instance with the
        fewest resources determines it.

        :param n_listed: number of listed servers.
        """
        n_needed = 1
        max_servers = self.compute_max_servers()
        while n_needed * max_servers < n_listed and n_needed < MAX_CELLS:
            n_needed *= 2
        if n_needed <= self._n_planned_cells:
            self._oversized_since_ms = None
            return
        now_ms = self.context.now_ms
        if self._oversized_since_ms is None:
            self._oversized_since_ms = now_ms
        is_lasting = (
            now_ms - self._oversized_since_ms >= self.context.settings.grow_after_ms
        )
        if is_lasting or not self.has_any_owner():
            self._grow(n_needed, "list")

    def on_tick(self, message):
        """Update the owner of each cell; give up a surplus cell."""
        self.update_ownership()
        self._hand_over_surplus()

    def update_ownership(self):
        """Update the owner of each cell; claim those that are due to this instance."""
        for election in self.elections:
            election.update_ownership()

    def on_pause(self, message):
        """Give up all claims and wait for other owners before claiming again.

        Other instances may have taken over during the pause. The messages received
        during it are handled next; commands that result from them, under the old claims
        or under higher ones, would conflict with those of the new owners.
        """
        context = self.context
        context.log(
            LogCode.PAUSE_NOTICED,
            context.identity.address,
            late_ms=round(message.late_ms),
            terms=[election.term for election in self._list_own_elections()],
        )
        self.settle_end_ms = context.now_ms + context.settings.settle_ms
        for election in self._list_own_elections():
            election.release_claim()

    def on_stop(self, event):
        """Give up all claims before a graceful stop."""
        for election in self._list_own_elections():
            election.release_claim()
        self.update_ownership()
        self.membership.broadcast_heartbeat()

    def on_received(self, event):
        """Adopt a larger number of cells, or the owner of a cell without one."""
        if not isinstance(event.message, Heartbeat):
            return
        if event.message.n_cells > self._n_planned_cells:
            self._grow(event.message.n_cells, event.address)
        if event.message.claims and any(e.is_ownerless for e in self.elections):
            self.update_ownership()

    def on_cells_changed(self, message):
        """Assign the servers to more cells, after all claims have been given up."""
        if message.n_cells <= self.n_cells:
            return
        self.n_cells = message.n_cells
        self.fleet.assign_cells(self.n_cells)
        for cell in range(len(self.elections), self.n_cells):
            self.elections.append(self._make_election(cell))
        self.update_ownership()
        self.membership.broadcast_heartbeat()

    def _grow(self, n_cells, source):
        if n_cells > MAX_CELLS or n_cells & (n_cells - 1):
            self.context.log(LogCode.RECORD_IGNORED, source, n_cells=n_cells)
            return
        self._n_planned_cells = n_cells
        self._oversized_since_ms = None
        self.context.log(
            LogCode.CELLS_DIVIDED,
            source,
            n_cells=n_cells,
            former=self.n_cells,
            n_servers=len(self.fleet.by_id),
        )
        for election in self._list_own_elections():
            election.release_claim()
        self.context.post(CellsChanged(n_cells=n_cells))

    def _hand_over_surplus(self):
        owned = self.list_owned()
        now_ms = self.context.now_ms
        if len(owned) < 2 or not self._has_idle_candidate():
            self._surplus_since_ms = None
        elif self._surplus_since_ms is None:
            self._surplus_since_ms = now_ms
        elif now_ms - self._surplus_since_ms >= HAND_OVER_AFTER_MS:
            self._surplus_since_ms = None
            self.elections[owned[-1]].release_claim()

    def _has_idle_candidate(self):
        return any(
            not peer.heartbeat.claims and self._may_claim(peer)
            for peer in self.membership.list_live()
        )

    def _make_election(self, cell):
        return Election(
            context=self.context, membership=self.membership, cells=self, cell=cell
        )

    def _list_own_elections(self):
        return [election for election in self.elections if election.is_owner]

    def _describe_claim(self, election):
        return CellClaim(
            cell=election.cell,
            term=election.term,
            n_owned=self.fleet.count_owned(election.cell),
            complete_term=election.complete_term,
            servers_digest=self.fleet.compute_cell_digest(election.cell),
            free_cpu=self._compute_free_cpu(election.cell) if self.n_cells > 1 else 0,
        )

    def _compute_free_cpu(self, cell):
        return self.fleet.count_free_cpu(cell) - self.count_waiting_cpu(cell)

    def _may_claim(self, peer, counts_young=False):
        """Return whether another instance is a candidate for a cell now.

        An instance that has just started still waits for an existing owner. If it
        counted, no cell would be claimed after a restart of all instances until the
        last one has waited.

        :param peer: the other instance.
        :param counts_young: whether to count it even so.
        """
        heartbeat = peer.heartbeat
        uptime_ms = peer.get_uptime_ms(self.context.now_ms)
        is_settled = counts_young or uptime_ms >= self.context.settings.settle_ms
        return heartbeat.is_eligible and not heartbeat.is_leaving and is_settled
