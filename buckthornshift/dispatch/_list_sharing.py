"""What the owner tells the others of the servers: the list once, then changes."""

from ._actions import SendPeer
from ._events import PeerLinkOpened
from ._internal import BeatDue, ClaimBegun, ClaimEnded, PeerLost
from ._peer_messages import LessonsShared, ServersShared

# Instances that get the whole list in one beat: it is long (26 KB for 175 servers), and
# orders to servers wait behind it on the owner's link.
LISTS_A_BEAT = 4
LESSONS_MS = 2_000.0


class ListSharing:
    """Keep the other instances' lists of servers like the owner's.

    A message may be lost with its connection, so the list is told again after a loss of
    contact and over a new connection.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param membership: the :class:`Membership`.
    :param election: the :class:`Election`.
    """

    def __init__(self, context=None, fleet=None, membership=None, election=None):
        self.context = context
        self.fleet = fleet
        self.membership = membership
        self.election = election
        self._told_record_by_id = {}
        self._told_incarnation_by_address = {}
        self._lessons = ()
        self._lessons_ms = -LESSONS_MS

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ClaimBegun: self.on_due,
            ClaimEnded: self.on_claim_ended,
            PeerLinkOpened: self.on_gap,
            PeerLost: self.on_gap,
            BeatDue: self.on_due,
        }

    def on_claim_ended(self, message):
        """Begin anew with the next claim: others have another owner's list then."""
        self._told_incarnation_by_address.clear()

    def on_gap(self, message):
        """Tell an instance the list again that may have missed something."""
        self._told_incarnation_by_address.pop(message.address, None)

    def on_due(self, message):
        """Tell what others lack."""
        self.share()

    def share(self):
        """Tell changes to those that have the list, and the list to some others."""
        if not self.election.is_owner:
            return
        self._tell_changes()
        self._tell_lists()
        self._tell_lessons()

    def _tell_changes(self):
        # Those whose entry vanished are told as well: something may run there.
        record_by_id = {s.id: s.record for s in self.fleet.by_id.values()}
        told_by_id = self._told_record_by_id
        if record_by_id == told_by_id:
            return
        changed = tuple(r for i, r in record_by_id.items() if told_by_id.get(i) != r)
        gone_ids = tuple(i for i in told_by_id if i not in record_by_id)
        self._told_record_by_id = record_by_id
        message = ServersShared(servers=changed, gone_ids=gone_ids)
        for peer in self.membership.list_live():
            if self._has_list(peer):
                self._send(peer, message)

    def _tell_lists(self):
        lacking = [p for p in self.membership.list_live() if not self._has_list(p)]
        # A rival is to know first what may run where.
        lacking.sort(key=lambda peer: not peer.beat.claim_term)
        servers = tuple(self._told_record_by_id.values())
        message = ServersShared(servers=servers, is_whole=True)
        for peer in lacking[:LISTS_A_BEAT]:
            self._told_incarnation_by_address[peer.address] = peer.incarnation
            self._send(peer, message)

    def _tell_lessons(self):
        now_ms = self.context.now_ms
        if now_ms - self._lessons_ms < LESSONS_MS:
            return
        self._lessons_ms = now_ms
        former, self._lessons = self._lessons, self.fleet.list_lessons()
        if not self._lessons and not former:
            return
        message = LessonsShared(lessons=self._lessons)
        for peer in self.membership.list_live():
            self._send(peer, message)

    def _has_list(self, peer):
        told = self._told_incarnation_by_address.get(peer.address)
        return told == peer.incarnation

    def _send(self, peer, message):
        self.context.emit(SendPeer(address=peer.address, message=message))
