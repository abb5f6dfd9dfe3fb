"""Distribution of the server list and of server health to other instances.

The owner of the first cell follows the list in the store. It sends the whole list once
to the owners of other cells and to the hubs, and then only changes. While it can't read
the store, an owner of another cell that can sends it the list in the same way.
"""

from ._actions import SendToPeer
from ._events import PeerConnected
from ._internal_messages import ClaimEnded, ClaimStarted, HeartbeatDue, PeerLost
from ._peer_messages import ServerHealthUpdate, ServerListUpdate

# Limits the whole lists sent per heartbeat interval. A list is long (26 KB for 175
# servers), and commands to servers wait behind it on the owner's network link.
MAX_LISTS_PER_HEARTBEAT = 4
# The owner of this cell follows the list of servers for all instances.
LIST_CELL = 0
HEALTH_REPORT_INTERVAL_MS = 2_000.0
# Ten heartbeats, after which the digest in a heartbeat reflects a list that was sent.
LIST_RESEND_AFTER_MS = 1_000.0


class ListPublisher:
    """Keep the server lists of other instances equal to the owner's.

    A message may be lost with its connection. The whole list is therefore sent again
    after a loss of contact, over a new connection, and to an instance whose heartbeats
    still report another list.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param server_speeds: the :class:`ServerSpeeds`.
    """

    def __init__(
        self,
        context=None,
        fleet=None,
        membership=None,
        cells=None,
        server_speeds=None,
    ):
        self.context = context
        self.fleet = fleet
        self.membership = membership
        self.cells = cells
        self.server_speeds = server_speeds
        self.find_outdated_publisher = lambda: None
        self.get_list_age_ms = lambda: -1.0
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
        """Reset what was sent, as the next owner sends its own list."""
        if message.cell == LIST_CELL:
            self.forget_recipients()

    def forget_recipients(self):
        """Reset to whom the list was sent."""
        self._sent_incarnation_by_address.clear()

    def on_possible_loss(self, message):
        """Send the whole list again to an instance that may have missed messages."""
        self._sent_incarnation_by_address.pop(message.address, None)

    def on_publish_due(self, message):
        """Publish at a heartbeat or at the start of a claim."""
        self.publish()

    def publish(self):
        """Send changes, whole lists and health reports where they are due."""
        recipients = self._find_recipients()
        if recipients:
            self._send_changes(recipients)
            self._send_lists(recipients)
        if self.cells.is_owner:
            self._send_health_reports()

    def _find_recipients(self):
        """Return the instances to which this one sends the list now."""
        if self.cells.is_owner_of(LIST_CELL):
            return self.membership.list_live()
        publisher = self.find_outdated_publisher()
        return [] if publisher is None else [publisher]

    def _send_changes(self, recipients):
        record_by_id = {
            server.id: server.record
            for server in self.fleet.by_id.values()
            if server.unlisted_since_ms is None
        }
        sent_by_id = self._sent_record_by_id
        if record_by_id == sent_by_id:
            return
        changed = tuple(r for i, r in record_by_id.items() if sent_by_id.get(i) != r)
        gone_ids = tuple(i for i in sent_by_id if i not in record_by_id)
        self._sent_record_by_id = record_by_id
        self._changed_ms = self.context.now_ms
        message = ServerListUpdate(
            servers=changed, gone_ids=gone_ids, age_ms=self.get_list_age_ms()
        )
        for peer in recipients:
            if self._has_list(peer):
                self._send(peer, message)

    def _send_lists(self, candidates):
        recipients = []
        digest = self.fleet.digest()
        for peer in candidates:
            if not (peer.heartbeat.claims or self.membership.is_hub(peer.address)):
                self._sent_incarnation_by_address.pop(peer.address, None)
            elif not self._has_list(peer) or self._has_different_list(peer, digest):
                recipients.append(peer)
        # A rival owner comes first, as it has to know where tasks may run.
        recipients.sort(key=lambda peer: not peer.heartbeat.claims)
        # Unlisted servers are sent as well, because tasks may still run on them.
        servers = self.fleet.by_id.values()
        message = ServerListUpdate(
            servers=tuple(server.record for server in servers),
            gone_ids=tuple(s.id for s in servers if s.unlisted_since_ms is not None),
            is_whole=True,
            age_ms=self.get_list_age_ms(),
        )
        for peer in recipients[:MAX_LISTS_PER_HEARTBEAT]:
            self._sent_incarnation_by_address[peer.address] = peer.incarnation
            self._list_sent_ms_by_address[peer.address] = self.context.now_ms
            self._send(peer, message)

    def _send_health_reports(self):
        now_ms = self.context.now_ms
        if now_ms - self._health_reports_sent_ms < HEALTH_REPORT_INTERVAL_MS:
            return
        self._health_reports_sent_ms = now_ms
        for cell in self.cells.list_owned():
            previous = self._health_reports_by_cell.get(cell, ())
            reports = self.fleet.list_health_reports(cell)
            self._health_reports_by_cell[cell] = reports
            kinds = self.server_speeds.list_kind_reports()
            if not reports and not previous and not kinds:
                continue
            message = ServerHealthUpdate(cell=cell, lessons=reports, kinds=kinds)
            for peer in self.membership.list_live():
                if self.membership.is_hub(peer.address):
                    self._send(peer, message)

    def _has_list(self, peer):
        sent_incarnation = self._sent_incarnation_by_address.get(peer.address)
        return sent_incarnation == peer.incarnation

    def _has_different_list(self, peer, digest):
        sent_ms = self._list_sent_ms_by_address.get(peer.address, 0.0)
        resend_ms = max(sent_ms, self._changed_ms) + LIST_RESEND_AFTER_MS
        is_due = self.context.now_ms > resend_ms
        return is_due and peer.heartbeat.list_digest != digest

    def _send(self, peer, message):
        self.context.emit(SendToPeer(address=peer.address, message=message))
