"""The list of servers as this instance knows it, from the store and from owners."""

from ._actions import LogCode, WatchServerList
from ._events import PeerMessageReceived, ServersRead
from ._internal import (
    ClaimBegun,
    ClaimEnded,
    HousekeepingDue,
    ServersAdded,
    ServersChanged,
)
from ._list_sharing import LIST_CELL
from ._peer_messages import LessonsShared, ServersShared


class ListFollowing:
    """Follow the list of servers, and what owners have learned of them.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param sharing: the :class:`ListSharing`.
    """

    def __init__(
        self, context=None, fleet=None, membership=None, cells=None, sharing=None
    ):
        self.context = context
        self.fleet = fleet
        self.membership = membership
        self.cells = cells
        self.sharing = sharing
        self.may_lack_servers = False

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ClaimBegun: self.on_claim_begun,
            ClaimEnded: self.on_claim_ended,
            ServersRead: self.on_read,
            PeerMessageReceived: self.on_peer,
            HousekeepingDue: self.on_housekeeping,
        }

    def on_claim_begun(self, message):
        """Follow the store's list as owner of the cell that does it for all."""
        if message.cell == LIST_CELL:
            self.context.emit(WatchServerList(is_on=True))

    def on_claim_ended(self, message):
        """Leave the store's list to the next owner."""
        if message.cell == LIST_CELL:
            self.context.emit(WatchServerList(is_on=False))

    def on_read(self, event):
        """Take over a list that was read from the store."""
        self._read(event.servers)
        self.sharing.share()

    def on_peer(self, event):
        """Take over what owners tell of the servers.

        An owner adds what only a rival knows: something may run there.
        """
        match event.message:
            case ServersShared() if self._is_from_rival(event.address):
                self._add_unknown(event.message.servers)
            case ServersShared():
                self._follow(event.message)
            case LessonsShared(cell=cell, lessons=lessons):
                if cell < self.cells.n_cells and not self.cells.is_owner_of(cell):
                    self.fleet.take_lessons(lessons, cell)

    def on_housekeeping(self, message):
        """Look whether the list is too long, and whether it may be old."""
        self.cells.fit(len(self.fleet.records))
        if not self.cells.is_owner and not self.membership.is_own_hub:
            # Nobody tells it changes, and the store may have lost entries.
            self.may_lack_servers = True

    def _is_from_rival(self, address):
        """Return whether an owner hears a list from another than its keeper."""
        if not self.cells.is_owner:
            return False
        claims = self.cells.list_claims(LIST_CELL)
        _, keeper, _ = max(claims, key=lambda claim: claim[0], default=(0, None, 0))
        is_own = self.cells.is_owner_of(LIST_CELL)
        return is_own or keeper is None or keeper.address != address

    def _follow(self, message):
        """Read the list that results from what the owner tells."""
        if message.is_whole:
            # What is gone is read first as if it were listed, for what it may run.
            self._read(message.servers)
            self.may_lack_servers = False
        record_by_id = {record.server_id: record for record in self.fleet.records}
        if not message.is_whole:
            record_by_id |= {record.server_id: record for record in message.servers}
        gone_ids = set(message.gone_ids)
        records = tuple(r for i, r in record_by_id.items() if i not in gone_ids)
        if records != self.fleet.records:
            self._read(records)

    def _add_unknown(self, records):
        known_ids = {record.server_id for record in self.fleet.records}
        known_ids.update(self.fleet.by_id)
        unknown = tuple(r for r in records if r.server_id not in known_ids)
        if unknown:
            self._read((*self.fleet.records, *unknown))

    def _read(self, records):
        context = self.context
        added, changed, vanished = self.fleet.read_list(records)
        for server in added:
            context.log(LogCode.SERVER_LISTED, server.id, service=server.record.service)
        for server in changed:
            if server.record.is_draining:
                context.log(LogCode.SERVER_DRAINING, server.id)
        for server in vanished:
            context.log(LogCode.SERVER_UNLISTED, server.id)
        if added:
            context.post(ServersAdded(servers=tuple(added)))
        if added or changed or vanished:
            context.post(ServersChanged())
        self.cells.fit(len(records))
