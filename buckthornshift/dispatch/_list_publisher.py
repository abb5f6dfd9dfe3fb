"""What owners tell the others of the servers: the list once, then changes.

The owner of the first cell follows the list, and tells it to the other owners, too.
"""

from ._actions import SendToPeer
from ._events import PeerConnected
from ._internal_messages import ClaimEnded, ClaimStarted, HeartbeatDue, PeerLost
from ._peer_messages import ServerHealthUpdate, ServerListUpdate

# Instances that get the whole list in one beat: it is long (26 KB for 175 servers), and
# orders to servers wait behind it on the owner's link.
MAX_LISTS_PER_HEARTBEAT = 4
# The cell whose owner follows the list of servers for all.
LIST_CELL = 0
HEALTH_REPORT_INTERVAL_MS = 2_000.0
# What was told shows in the beats by then, ten beats later.
LIST_RESEND_AFTER_MS = 1_000.0


class ListPublisher:
    """Keep the other instances' lists of servers like the owner's.

    A message may be lost with its connection, so the list is told again after a loss of
    contact and over a new connection, and to an instance whose list stays different.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    """

    def __init__(self, context=None, fleet=None, membership=None, cells=None):
        self.context = context
        self.fleet = fleet
        self.membership = membership
        self.cells = cells
        self._sent_record_by_id = {}
        self._sent_incarnation_by_address = {}
        self._list_sent_ms_by_address = {}
        self._changed_ms = 0.0
        self._health_reports_by_cell = {}
        self._health_reports_sent_ms = -HEALTH_REPORT_INTERVAL_MS

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ClaimStarted: self.on_publish_due,
            ClaimEnded: self.on_claim_ended,
            PeerConnected: self.on_possible_loss,
            PeerLost: self.on_possible_loss,
            HeartbeatDue: self.on_publish_due,
        }

    def on_claim_ended(self, message):
        """Begin anew with the next claim: others have another owner's list then."""
        if message.cell == LIST_CELL:
            self._sent_incarnation_by_address.clear()

    def on_possible_loss(self, message):
        """Tell an instance the list again that may have missed something."""
        self._sent_incarnation_by_address.pop(message.address, None)

    def on_publish_due(self, message):
        """Tell what others lack."""
        self.publish()

    def publish(self):
        """Tell changes to those that have the list, and the list to some others."""
        if self.cells.is_owner_of(LIST_CELL):
            self._send_changes()
            self._send_lists()
        if self.cells.is_owner:
            self._send_health_reports()

    def _send_changes(self):
        record_by_id = {
            server.id: server.record
            for server in self.fleet.by_id.values()
            if server.unlisted_since_ms is None
        }
        told_by_id = self._sent_record_by_id
        if record_by_id == told_by_id:
            return
        changed = tuple(r for i, r in record_by_id.items() if told_by_id.get(i) != r)
        gone_ids = tuple(i for i in told_by_id if i not in record_by_id)
        self._sent_record_by_id = record_by_id
        self._changed_ms = self.context.now_ms
        message = ServerListUpdate(servers=changed, gone_ids=gone_ids)
        for peer in self.membership.list_live():
            if self._has_list(peer):
                self._send(peer, message)

    def _send_lists(self):
        lacking = []
        digest = self.fleet.digest()
        for peer in self.membership.list_live():
            if not (peer.heartbeat.claims or self.membership.is_hub(peer.address)):
                self._sent_incarnation_by_address.pop(peer.address, None)
            elif not self._has_list(peer) or self._has_different_list(peer, digest):
                lacking.append(peer)
        # A rival is to know first what may run where.
        lacking.sort(key=lambda peer: not peer.heartbeat.claims)
        # Those whose entry vanished are told as well: something may run there.
        servers = self.fleet.by_id.values()
        message = ServerListUpdate(
            servers=tuple(server.record for server in servers),
            gone_ids=tuple(s.id for s in servers if s.unlisted_since_ms is not None),
            is_whole=True,
        )
        for peer in lacking[:MAX_LISTS_PER_HEARTBEAT]:
            self._sent_incarnation_by_address[peer.address] = peer.incarnation
            self._list_sent_ms_by_address[peer.address] = self.context.now_ms
            self._send(peer, message)

    def _send_health_reports(self):
        now_ms = self.context.now_ms
        if now_ms - self._health_reports_sent_ms < HEALTH_REPORT_INTERVAL_MS:
            return
        self._health_reports_sent_ms = now_ms
        for cell in self.cells.list_owned():
            former = self._health_reports_by_cell.get(cell, ())
            lessons = self.fleet.list_health_reports(cell)
            self._health_reports_by_cell[cell] = lessons
            if not lessons and not former:
                continue
            message = ServerHealthUpdate(cell=cell, lessons=lessons)
            for peer in self.membership.list_live():
                if self.membership.is_hub(peer.address):
                    self._send(peer, message)

    def _has_list(self, peer):
        told = self._sent_incarnation_by_address.get(peer.address)
        return told == peer.incarnation

    def _has_different_list(self, peer, digest):
        told_ms = self._list_sent_ms_by_address.get(peer.address, 0.0)
        settled_ms = max(told_ms, self._changed_ms) + LIST_RESEND_AFTER_MS
        is_settled = self.context.now_ms > settled_ms
        return is_settled and peer.heartbeat.list_digest != digest

    def _send(self, peer, message):
        self.context.emit(SendToPeer(address=peer.address, message=message))
