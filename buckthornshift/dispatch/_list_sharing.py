"""What owners tell the others of the servers: the list once, then changes.

The owner of the first cell follows the list, and tells it to the other owners, too.
"""

from ._actions import SendToPeer
from ._events import PeerConnected
from ._internal import BeatDue, ClaimBegun, ClaimEnded, PeerLost
from ._peer_messages import LessonsShared, ServersShared

# Instances that get the whole list in one beat: it is long (26 KB for 175 servers), and
# orders to servers wait behind it on the owner's link.
LISTS_A_BEAT = 4
# The cell whose owner follows the list of servers for all.
LIST_CELL = 0
LESSONS_MS = 2_000.0
# What was told shows in the beats by then, ten beats later.
RETELL_MS = 1_000.0


class ListSharing:
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
        self._told_record_by_id = {}
        self._told_incarnation_by_address = {}
        self._told_ms_by_address = {}
        self._changed_ms = 0.0
        self._lessons_by_cell = {}
        self._lessons_ms = -LESSONS_MS

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ClaimBegun: self.on_due,
            ClaimEnded: self.on_claim_ended,
            PeerConnected: self.on_gap,
            PeerLost: self.on_gap,
            BeatDue: self.on_due,
        }

    def on_claim_ended(self, message):
        """Begin anew with the next claim: others have another owner's list then."""
        if message.cell == LIST_CELL:
            self._told_incarnation_by_address.clear()

    def on_gap(self, message):
        """Tell an instance the list again that may have missed something."""
        self._told_incarnation_by_address.pop(message.address, None)

    def on_due(self, message):
        """Tell what others lack."""
        self.share()

    def share(self):
        """Tell changes to those that have the list, and the list to some others."""
        if self.cells.is_owner_of(LIST_CELL):
            self._tell_changes()
            self._tell_lists()
        if self.cells.is_owner:
            self._tell_lessons()

    def _tell_changes(self):
        record_by_id = {
            server.id: server.record
            for server in self.fleet.by_id.values()
            if server.unlisted_ms is None
        }
        told_by_id = self._told_record_by_id
        if record_by_id == told_by_id:
            return
        changed = tuple(r for i, r in record_by_id.items() if told_by_id.get(i) != r)
        gone_ids = tuple(i for i in told_by_id if i not in record_by_id)
        self._told_record_by_id = record_by_id
        self._changed_ms = self.context.now_ms
        message = ServersShared(servers=changed, gone_ids=gone_ids)
        for peer in self.membership.list_live():
            if self._has_list(peer):
                self._send(peer, message)

    def _tell_lists(self):
        lacking = []
        digest = self.fleet.digest()
        for peer in self.membership.list_live():
            if not (peer.beat.claims or self.membership.is_hub(peer.address)):
                self._told_incarnation_by_address.pop(peer.address, None)
            elif not self._has_list(peer) or self._is_different(peer, digest):
                lacking.append(peer)
        # A rival is to know first what may run where.
        lacking.sort(key=lambda peer: not peer.beat.claims)
        # Those whose entry vanished are told as well: something may run there.
        servers = self.fleet.by_id.values()
        message = ServersShared(
            servers=tuple(server.record for server in servers),
            gone_ids=tuple(s.id for s in servers if s.unlisted_ms is not None),
            is_whole=True,
        )
        for peer in lacking[:LISTS_A_BEAT]:
            self._told_incarnation_by_address[peer.address] = peer.incarnation
            self._told_ms_by_address[peer.address] = self.context.now_ms
            self._send(peer, message)

    def _tell_lessons(self):
        now_ms = self.context.now_ms
        if now_ms - self._lessons_ms < LESSONS_MS:
            return
        self._lessons_ms = now_ms
        for cell in self.cells.list_owned():
            former = self._lessons_by_cell.get(cell, ())
            lessons = self.fleet.list_lessons(cell)
            self._lessons_by_cell[cell] = lessons
            if not lessons and not former:
                continue
            message = LessonsShared(cell=cell, lessons=lessons)
            for peer in self.membership.list_live():
                if self.membership.is_hub(peer.address):
                    self._send(peer, message)

    def _has_list(self, peer):
        told = self._told_incarnation_by_address.get(peer.address)
        return told == peer.incarnation

    def _is_different(self, peer, digest):
        told_ms = self._told_ms_by_address.get(peer.address, 0.0)
        settled_ms = max(told_ms, self._changed_ms) + RETELL_MS
        is_settled = self.context.now_ms > settled_ms
        return is_settled and peer.beat.list_digest != digest

    def _send(self, peer, message):
        self.context.emit(SendToPeer(address=peer.address, message=message))
