"""Updates of the server list and of server health, from the store and from owners."""

from ._actions import LogCode, WatchServerList
from ._events import PeerMessageReceived, ServersRead
from ._internal_messages import (
    ClaimEnded,
    ClaimStarted,
    HousekeepingDue,
    ServersAdded,
    ServersChanged,
    ServersRestarted,
)
from ._list_publisher import LIST_CELL
from ._peer_messages import ServerHealthUpdate, ServerListUpdate

# How long a new owner waits for the list: three heartbeats.
MAX_LIST_WAIT_MS = 300.0


class ListFollower:
    """Keep the list of servers and their health up to date.

    The owner of the first cell reads the list from the store; the other instances
    receive it from that owner.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param list_publisher: the :class:`ListPublisher`.
    :param server_speeds: the :class:`ServerSpeeds`.
    """

    def __init__(
        self,
        context=None,
        fleet=None,
        membership=None,
        cells=None,
        list_publisher=None,
        server_speeds=None,
    ):
        self.context = context
        self.fleet = fleet
        self.membership = membership
        self.cells = cells
        self.list_publisher = list_publisher
        self.server_speeds = server_speeds
        self.may_be_stale = False

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ClaimStarted: self.on_claim_started,
            ClaimEnded: self.on_claim_ended,
            ServersRead: self.on_servers_read,
            PeerMessageReceived: self.on_peer_message,
            HousekeepingDue: self.on_housekeeping,
        }

    def is_awaiting_list(self, cell):
        """Return whether an owner is to get a list before it starts tasks in a cell.

        Its own list may name servers that have begun to leave. The owner of the first
        cell sends it at its next heartbeat; without that owner, or after a
        while, the own list is used.

        :param cell: number of the cell.
        """
        if not self.may_be_stale or self.cells.is_owner_of(LIST_CELL):
            return False
        age_ms = self.context.now_ms - self.cells.get(cell).claimed_ms
        has_publisher = bool(self.cells.list_claims(LIST_CELL))
        return has_publisher and age_ms < MAX_LIST_WAIT_MS

    def on_claim_started(self, message):
        """Start following the list in the store, as owner of the first cell."""
        if message.cell == LIST_CELL:
            self.context.emit(WatchServerList(is_on=True))

    def on_claim_ended(self, message):
        """Stop following the list in the store, which is left to the next owner."""
        if message.cell == LIST_CELL:
            self.context.emit(WatchServerList(is_on=False))

    def on_servers_read(self, event):
        """Apply a list that was read from the store, and publish it."""
        self._update_list(event.servers, event.unreadable_ids)
        self.list_publisher.publish()

    def on_peer_message(self, event):
        """Apply an update of the list, or of the health of servers.

        An owner adds servers that only a rival owner lists, because tasks may run on
        them.
        """
        match event.message:
            case ServerListUpdate() if self._is_from_rival(event.address):
                self._add_unknown(event.message.servers)
            case ServerListUpdate():
                self._apply_list_message(event.message)
            case ServerHealthUpdate(cell=cell, lessons=reports, kinds=kinds):
                if cell < self.cells.n_cells and not self.cells.is_owner_of(cell):
                    self.fleet.apply_health_reports(reports, cell)
                    if not self.cells.is_owner:
                        self.server_speeds.apply_kind_reports(kinds)

    def on_housekeeping(self, message):
        """Grow the number of cells if due; note whether the list may be stale."""
        self.cells.grow_if_oversized(self.fleet.count_in_use())
        if not self.cells.is_owner and not self.membership.is_self_hub:
            # This instance is sent no changes, and entries may be missing in the store.
            self.may_be_stale = True

    def _is_from_rival(self, address):
        """Return whether an owner got a list that it must not follow.

        Owners follow only the list of the owner of the first cell.
        """
        if not self.cells.is_owner:
            return False
        claims = self.cells.list_claims(LIST_CELL)
        _, publisher, _ = max(claims, key=lambda claim: claim[0], default=(0, None, 0))
        is_publisher = self.cells.is_owner_of(LIST_CELL)
        return is_publisher or publisher is None or publisher.address != address

    def _apply_list_message(self, message):
        """Apply a whole list, or changes to the current one."""
        if message.is_whole:
            # Unlisted servers are added first, because tasks may still run on them.
            self._update_list(message.servers)
            self.may_be_stale = False
        record_by_id = {record.server_id: record for record in self.fleet.records}
        if not message.is_whole:
            record_by_id |= {record.server_id: record for record in message.servers}
        gone_ids = set(message.gone_ids)
        records = tuple(r for i, r in record_by_id.items() if i not in gone_ids)
        if records != self.fleet.records:
            self._update_list(records)

    def _add_unknown(self, records):
        known_ids = {record.server_id for record in self.fleet.records}
        known_ids.update(self.fleet.by_id)
        unknown = tuple(r for r in records if r.server_id not in known_ids)
        if unknown:
            self._update_list((*self.fleet.records, *unknown))

    def _update_list(self, records, unreadable_ids=()):
        context = self.context
        added, changed, unlisted = self.fleet.update_list(records, unreadable_ids)
        for server in added:
            context.log(LogCode.SERVER_LISTED, server.id, service=server.record.service)
        for server in changed:
            if server.record.is_draining:
                context.log(LogCode.SERVER_DRAINING, server.id)
        for server in unlisted:
            context.log(LogCode.SERVER_UNLISTED, server.id)
        restarted = tuple(s for s in changed if s.restart_noticed_ms == context.now_ms)
        if restarted:
            context.post(ServersRestarted(servers=restarted))
        if added:
            context.post(ServersAdded(servers=tuple(added)))
        if added or changed or unlisted:
            context.post(ServersChanged())
        self.cells.grow_if_oversized(self.fleet.count_in_use())
