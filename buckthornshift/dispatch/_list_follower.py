"""Updates of the server list and of server health, from the store and from owners."""

from ._actions import LogCode, WatchServerList
from ._events import PeerMessageReceived, ServersConfirmed, ServersRead
from ._internal_messages import (
    ClaimEnded,
    ClaimStarted,
    HeartbeatDue,
    HousekeepingDue,
    ServersAdded,
    ServersChanged,
    ServersRestarted,
)
from ._list_publisher import LIST_CELL
from ._peer_messages import ServerHealthUpdate, ServerListUpdate

# How long a new owner waits for the list: three heartbeats.
MAX_LIST_WAIT_MS = 300.0
# Age of the list at which an owner reads the store itself. A server that leaves must
# get no more tasks 2 s after the store recorded it.
MAX_LIST_AGE_MS = 1_000.0
# Age at which a new owner waits for its first read. It is read at once then.
MAX_LIST_AGE_AT_START_MS = 1_600.0
# Age at which it relies on the publisher again. The list is polled every 300 ms, and it
# takes two heartbeats to confirm its age.
RELIABLE_LIST_AGE_MS = 600.0
NEVER_MS = -1e9


class ListFollower:
    """Keep the list of servers and their health up to date.

    The owner of the first cell, the publisher, reads the list from the store; the other
    instances receive it from that owner. Its heartbeats tell how old its list is. An
    owner whose list gets too old reads the store itself until the publisher does again,
    and keeps a publisher that is cut off from the store up to date.

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
        self.is_substitute = False
        self._is_outdated = False
        # Latest times at which the store is known to have had the present list, by own
        # reads and by those of the publisher.
        self._read_ms = NEVER_MS
        self._published_ms = NEVER_MS
        membership.get_list_age_ms = self.get_sent_age_ms
        list_publisher.get_list_age_ms = self.get_sent_age_ms
        list_publisher.find_outdated_publisher = self.find_outdated_publisher

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ClaimStarted: self.on_claim_started,
            ClaimEnded: self.on_claim_ended,
            ServersRead: self.on_servers_read,
            ServersConfirmed: self.on_servers_confirmed,
            HeartbeatDue: self.on_heartbeat_due,
            PeerMessageReceived: self.on_peer_message,
            HousekeepingDue: self.on_housekeeping,
        }

    @property
    def is_reading(self):
        """Whether this instance reads the list from the store."""
        return self.is_substitute or self.cells.is_owner_of(LIST_CELL)

    def compute_age_ms(self):
        """Return for how long the store may have had another list."""
        return self.context.now_ms - max(self._read_ms, self._published_ms)

    def get_sent_age_ms(self):
        """Return the age of the list for messages; -1 if this instance isn't reading.

        A list that was never read is as old as the process.
        """
        if not self.is_reading:
            return -1.0
        uptime_ms = self.context.now_ms - self.context.started_ms
        return float(round(min(self.compute_age_ms(), uptime_ms)))

    def is_awaiting_list(self, cell):
        """Return whether an owner is to get a list before it starts tasks in a cell.

        Its own list may name servers that have begun to leave. It reads the list, or
        the owner of the first cell sends it at its next heartbeat; after a while, the
        own list is used.

        :param cell: number of the cell.
        """
        age_ms = self.context.now_ms - self.cells.get(cell).claimed_ms
        if age_ms >= MAX_LIST_WAIT_MS:
            return False
        if self.compute_age_ms() > MAX_LIST_AGE_AT_START_MS:
            return True
        if not self.may_be_stale or self.cells.is_owner_of(LIST_CELL):
            return False
        return self._find_publisher() is not None

    def find_outdated_publisher(self):
        """Return a publisher that is to be sent the list that this instance has read.

        :returns: the :class:`Peer`; ``None`` if the publisher reads the list itself, or
            if this instance doesn't.
        """
        if not self.is_substitute or not self._can_read:
            return None
        publisher = self._find_publisher()
        if publisher is None or _has_current_list(publisher.heartbeat):
            return None
        return publisher

    def on_claim_started(self, message):
        """Start following the list in the store, as owner of the first cell.

        Another owner follows it as well if its list is too old.
        """
        if message.cell == LIST_CELL:
            self.is_substitute = False
            self.context.emit(WatchServerList(is_on=True))
        self._update_reading()

    def on_claim_ended(self, message):
        """Stop following the list in the store, which is left to the next owner."""
        if message.cell == LIST_CELL:
            self.context.emit(WatchServerList(is_on=False))
        self._update_reading()

    def on_servers_read(self, event):
        """Apply a list that was read from the store, and publish it."""
        self._read_ms = self.context.now_ms - event.age_ms
        self._update_list(event.servers, event.unreadable_ids)
        self.list_publisher.publish()

    def on_servers_confirmed(self, event):
        """Note that the store has the list that was read last."""
        self._read_ms = self.context.now_ms - event.age_ms

    def on_heartbeat_due(self, message):
        """Note how old the publisher's list is; read the store if it is too old."""
        self._note_published_list()
        self._update_reading()

    def on_peer_message(self, event):
        """Apply an update of the list, or of the health of servers.

        An owner adds servers that only a rival owner lists, because tasks may run on
        them. Those that only an outdated publisher lists have gone.
        """
        match event.message:
            case ServerListUpdate(age_ms=age_ms):
                if self._is_to_be_followed(event.address, age_ms):
                    self._apply_list_message(event.message)
                elif not (self._can_read and self._is_publisher(event.address)):
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

    @property
    def _can_read(self):
        """Whether this instance reads the list from the store, and has succeeded."""
        age_ms = self.context.now_ms - self._read_ms
        return self.is_reading and age_ms <= MAX_LIST_AGE_MS

    def _is_to_be_followed(self, address, age_ms):
        """Return whether the list of an instance replaces the own one.

        An owner follows only the publisher, and a publisher that is cut off from the
        store follows an owner that isn't. A list never replaces a newer one.

        :param address: address of the sender.
        :param age_ms: age of its list; -1 if unknown.
        """
        if not self.fleet.records:
            return True
        if self._can_read or age_ms > self.compute_age_ms():
            return False
        if not self.cells.is_owner or self._is_publisher(address):
            return True
        return self.cells.is_owner_of(LIST_CELL) and 0.0 <= age_ms <= MAX_LIST_AGE_MS

    def _is_publisher(self, address):
        publisher = self._find_publisher()
        return publisher is not None and publisher.address == address

    def _find_publisher(self):
        """Return the other instance that owns the first cell, or ``None``."""
        claims = self.cells.list_claims(LIST_CELL)
        _, publisher, _ = max(claims, key=lambda claim: claim[0], default=(0, None, 0))
        return publisher

    def _note_published_list(self):
        """Note that the publisher has the same list, and how old that is.

        Its newest heartbeat was sent after the own heartbeat that it confirms.
        """
        publisher = self._find_publisher()
        if publisher is None or publisher.confirmed_sent_ms is None:
            return
        heartbeat = publisher.heartbeat
        if heartbeat.list_age_ms < 0 or heartbeat.list_digest != self.fleet.digest():
            return
        published_ms = publisher.confirmed_sent_ms - heartbeat.list_age_ms
        self._published_ms = max(self._published_ms, published_ms)

    def _update_reading(self):
        """Start or stop reading the list in place of the publisher."""
        context = self.context
        age_ms = self.compute_age_ms()
        is_outdated = self.cells.is_owner and age_ms > MAX_LIST_AGE_MS
        if is_outdated != self._is_outdated:
            self._is_outdated = is_outdated
            code = LogCode.LIST_OUTDATED if is_outdated else LogCode.LIST_CURRENT
            publisher = self._find_publisher()
            context.log(
                code,
                context.identity.address,
                age_ms=round(min(age_ms, context.now_ms - context.started_ms)),
                publisher=None if publisher is None else publisher.address,
                was_reading=self.is_reading,
            )
        if not self.cells.is_owner or self.cells.is_owner_of(LIST_CELL):
            self._end_substitution()
        elif is_outdated and not self.is_substitute:
            self.is_substitute = True
            context.emit(WatchServerList(is_on=True))
        elif context.now_ms - self._published_ms <= RELIABLE_LIST_AGE_MS:
            self._end_substitution()

    def _end_substitution(self):
        if not self.is_substitute:
            return
        self.is_substitute = False
        self.list_publisher.forget_recipients()
        if not self.cells.is_owner_of(LIST_CELL):
            self.context.emit(WatchServerList(is_on=False))

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


def _has_current_list(heartbeat):
    """Return whether the sender of a heartbeat reads the list from the store."""
    return 0.0 <= heartbeat.list_age_ms <= MAX_LIST_AGE_MS
