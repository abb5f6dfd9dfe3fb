"""Age of the server list, and which owners read it from the store."""

from ._actions import LogCode, WatchServerList
from ._events import ServersConfirmed, ServersRead
from ._internal_messages import ClaimEnded, ClaimStarted, HeartbeatDue
from ._list_publisher import LIST_CELL

# Age of the list above which an owner reads the store itself. A server that leaves must
# get no more tasks 2 s after the store recorded it.
MAX_LIST_AGE_MS = 1_000.0
# Age of the publisher's list up to which an owner relies on it again.
RELIABLE_LIST_AGE_MS = 600.0
NEVER_MS = -1e9


class ListReader:
    """Decide whether this instance reads the list of servers from the store.

    The owner of the first cell, the publisher, reads the list; the other instances
    receive it from that owner. Its heartbeats tell how old its list is. An owner whose
    list gets too old is a substitute: it reads the store itself until the publisher
    does again, and keeps a publisher that is cut off from the store up to date.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param list_publisher: the :class:`ListPublisher`.
    """

    def __init__(
        self,
        context=None,
        fleet=None,
        membership=None,
        cells=None,
        list_publisher=None,
    ):
        self.context = context
        self.fleet = fleet
        self.membership = membership
        self.cells = cells
        self.list_publisher = list_publisher
        self.is_substitute = False
        self._has_logged_age = False
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
            ServersRead: self.on_read,
            ServersConfirmed: self.on_read,
            HeartbeatDue: self.on_heartbeat_due,
        }

    @property
    def is_reading(self):
        """Whether this instance is to read the list from the store."""
        return self.is_substitute or self.cells.is_owner_of(LIST_CELL)

    @property
    def has_current_read(self):
        """Whether this instance reads the list, and has succeeded lately."""
        age_ms = self.context.now_ms - self._read_ms
        return self.is_reading and age_ms <= MAX_LIST_AGE_MS

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

    def find_publisher(self):
        """Return the other instance that owns the first cell, or ``None``."""
        claims = self.cells.list_claims(LIST_CELL)
        _, publisher, _ = max(claims, key=lambda claim: claim[0], default=(0, None, 0))
        return publisher

    def is_publisher(self, address):
        """Return whether another instance is the publisher.

        :param address: address of the instance.
        """
        publisher = self.find_publisher()
        return publisher is not None and publisher.address == address

    def find_outdated_publisher(self):
        """Return a publisher that is to be sent the list that this instance has read.

        :returns: the :class:`Peer`; ``None`` if the publisher reads the list itself, or
            if this instance doesn't.
        """
        if not self.is_substitute or not self.has_current_read:
            return None
        publisher = self.find_publisher()
        if publisher is None or _has_current_list(publisher.heartbeat):
            return None
        return publisher

    def on_claim_started(self, message):
        """Start reading as owner of the first cell, or if the list is too old."""
        if message.cell == LIST_CELL:
            self.is_substitute = False
            self.context.emit(WatchServerList(is_on=True))
        self._update_reading()

    def on_claim_ended(self, message):
        """Stop reading, which is left to the next owner."""
        if message.cell == LIST_CELL:
            self.context.emit(WatchServerList(is_on=False))
        self._update_reading()

    def on_read(self, event):
        """Note when the store had the list that was read last.

        :param event: the :class:`ServersRead` or :class:`ServersConfirmed`.
        """
        self._read_ms = self.context.now_ms - event.age_ms

    def on_heartbeat_due(self, message):
        """Note how old the publisher's list is; read the store if it is too old."""
        self._note_published_list()
        self._update_reading()

    def _note_published_list(self):
        """Note that the publisher has the same list, and how old that is.

        Its newest heartbeat was sent after the own heartbeat that it confirms.
        """
        publisher = self.find_publisher()
        if publisher is None or publisher.confirmed_sent_ms is None:
            return
        heartbeat = publisher.heartbeat
        if heartbeat.list_age_ms < 0 or heartbeat.list_digest != self.fleet.digest():
            return
        published_ms = publisher.confirmed_sent_ms - heartbeat.list_age_ms
        self._published_ms = max(self._published_ms, published_ms)

    def _update_reading(self):
        """Start or stop reading the list in place of the publisher."""
        is_too_old = self.cells.is_owner and self.compute_age_ms() > MAX_LIST_AGE_MS
        self._log_age(is_too_old)
        if not self.cells.is_owner or self.cells.is_owner_of(LIST_CELL):
            self._end_substitution()
        elif is_too_old and not self.is_substitute:
            self.is_substitute = True
            self.context.emit(WatchServerList(is_on=True))
        elif self.context.now_ms - self._published_ms <= RELIABLE_LIST_AGE_MS:
            self._end_substitution()

    def _log_age(self, is_too_old):
        """Log that the list of an owner has become too old, or current again."""
        if is_too_old == self._has_logged_age:
            return
        self._has_logged_age = is_too_old
        context = self.context
        publisher = self.find_publisher()
        uptime_ms = context.now_ms - context.started_ms
        context.log(
            LogCode.LIST_OUTDATED if is_too_old else LogCode.LIST_CURRENT,
            context.identity.address,
            age_ms=round(min(self.compute_age_ms(), uptime_ms)),
            publisher=None if publisher is None else publisher.address,
            was_reading=self.is_reading,
        )

    def _end_substitution(self):
        if not self.is_substitute:
            return
        self.is_substitute = False
        self.list_publisher.forget_recipients()
        if not self.cells.is_owner_of(LIST_CELL):
            self.context.emit(WatchServerList(is_on=False))


def _has_current_list(heartbeat):
    """Return whether the sender of a heartbeat has read the list lately."""
    return 0.0 <= heartbeat.list_age_ms <= MAX_LIST_AGE_MS
