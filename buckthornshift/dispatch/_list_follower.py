"""Updates of the server list and of server health, from the store and from owners."""

from ._actions import LogCode
from ._events import PeerMessageReceived, ServersRead
from ._internal_messages import (
    HousekeepingDue,
    ServersAdded,
    ServersChanged,
    ServersRestarted,
)
from ._list_publisher import LIST_CELL
from ._list_reader import MAX_LIST_AGE_MS
from ._peer_messages import ServerHealthUpdate, ServerListUpdate

# How long a new owner waits for the list: three heartbeats.
MAX_LIST_WAIT_MS = 300.0
# Age of the list above which a new owner starts no task before it has read the list.
MAX_LIST_AGE_AT_START_MS = 1_600.0


class ListFollower:
    """Apply lists of servers, and reports of their health, as they arrive.

    :class:`ListReader` decides which instances read the list from the store.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param list_publisher: the :class:`ListPublisher`.
    :param list_reader: the :class:`ListReader`.
    :param server_speeds: the :class:`ServerSpeeds`.
    """

    def __init__(
        self,
        context=None,
        fleet=None,
        membership=None,
        cells=None,
        list_publisher=None,
        list_reader=None,
        server_speeds=None,
    ):
        self.context = context
        self.fleet = fleet
        self.membership = membership
        self.cells = cells
        self.list_publisher = list_publisher
        self.list_reader = list_reader
        self.server_speeds = server_speeds
        self.may_be_stale = False

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ServersRead: self.on_servers_read,
            PeerMessageReceived: self.on_peer_message,
            HousekeepingDue: self.on_housekeeping,
        }

    def is_awaiting_list(self, cell):
        """Return whether an owner is to get a list before it starts tasks in a cell.

        Its own list may name servers that have begun to leave. It reads the list, or
        the owner of the first cell sends it at its next heartbeat; after a while, the
        own list is used.

        :param cell: number of the cell.
        """
        claim_age_ms = self.context.now_ms - self.cells.get(cell).claimed_ms
        if claim_age_ms >= MAX_LIST_WAIT_MS:
            return False
        if self.list_reader.compute_age_ms() > MAX_LIST_AGE_AT_START_MS:
            return True
        if not self.may_be_stale or self.cells.is_owner_of(LIST_CELL):
            return False
        return self.list_reader.find_publisher() is not None

    def on_servers_read(self, event):
        """Apply a list that was read from the store, and publish it."""
        self._update_list(event.servers, event.unreadable_ids)
        self.list_publisher.publish()

    def on_peer_message(self, event):
        """Apply an update of the list, or of the health of servers.

        An owner adds servers that only a rival owner lists, because tasks may run on
        them. Those that only an outdated publisher lists have gone.
        """
        match event.message:
            case ServerListUpdate(age_ms=age_ms):
                if self._is_to_be_followed(event.address, age_ms):
                    self._apply_list_message(event.message)
                elif not self._is_from_outdated_publisher(event.address):
                    self._add_unknown(event.message.servers)
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

    def _is_to_be_followed(self, address, age_ms):
        """Return whether the list of an instance replaces the own one.

        An owner follows only the publisher, and a publisher that is cut off from the
        store follows an owner that isn't. A list never replaces a newer one.

        :param address: address of the sender.
        :param age_ms: age of its list; -1 if unknown.
        """
        if not self.fleet.records:
            return True
        reader = self.list_reader
        if reader.has_current_read or age_ms > reader.compute_age_ms():
            return False
        if not self.cells.is_owner or reader.is_publisher(address):
            return True
        return self.cells.is_owner_of(LIST_CELL) and 0.0 <= age_ms <= MAX_LIST_AGE_MS

    def _is_from_outdated_publisher(self, address):
        """Return whether an own read has replaced what the publisher sends."""
        reader = self.list_reader
        return reader.has_current_read and reader.is_publisher(address)

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
