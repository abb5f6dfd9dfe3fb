"""Membership: which servers and peers exist, and the exchange of demand."""

from ..contracts import InstanceKind, OwnerDemand
from ._actions import EventCode, QueryAttempts, SendPeer
from ._events import InstancesListed, PeerReceived, PeerSendFailed
from ._messages import HousekeepingDue, ServerProcessGone

HOUSEKEEPING_INTERVAL_MS = 200.0
MIN_DEMAND_INTERVAL_MS = 100.0


class Membership:
    """Apply new instance lists and exchange demand with the peers.

    :param context: the shared :class:`Context`.
    """

    def __init__(self, context=None):
        self.context = context
        self.list_version = -1
        self._demand_sent_ms = 0.0

    def subscribe(self):
        """Return handlers by message class."""
        return {
            InstancesListed: self.on_listed,
            PeerReceived: self.on_peer,
            PeerSendFailed: self.on_send_failed,
            HousekeepingDue: self.on_housekeeping,
        }

    def on_listed(self, event):
        """Apply an instance list unless it is older than the last one."""
        context = self.context
        if event.instances.version < self.list_version:
            return
        self.list_version = event.instances.version
        entries = []
        backends = []
        for record in event.instances.instances:
            is_entry = record.kind is InstanceKind.ENTRY
            (entries if is_entry else backends).append(record)
        context.peers.apply_list(entries)
        context.quotas.set_members(
            [p for p, peer in context.peers.by_id.items() if not peer.record.is_leaving]
        )
        ids_by_zone = context.peers.group_ids_by_zone()
        for change in context.servers.apply_list(backends, ids_by_zone):
            self._handle_server_change(change)

    def on_peer(self, event):
        """Mark a peer reachable, and store the demand if the message holds it."""
        context = self.context
        if context.peers.mark_reachable(event.peer_id):
            context.log(EventCode.PEER_REACHABLE, event.peer_id)
        if isinstance(event.message, OwnerDemand):
            context.quotas.apply_demand(event.peer_id, event.message)

    def on_send_failed(self, event):
        """Mark a peer unreachable after a failed send."""
        context = self.context
        if context.peers.mark_unreachable(event.peer_id, context.now_ms):
            context.log(EventCode.PEER_UNREACHABLE, event.peer_id)

    def on_housekeeping(self, message):
        """Remove gone servers, send demand, and schedule the next housekeeping."""
        context = self.context
        context.servers.remove_idle_unlisted()
        self.broadcast_demand()
        context.start_timer(HOUSEKEEPING_INTERVAL_MS, HousekeepingDue())

    def broadcast_demand(self):
        """Send this instance's demand to all peers if it has changed by much."""
        context = self.context
        if context.now_ms - self._demand_sent_ms < MIN_DEMAND_INTERVAL_MS:
            return
        demand = context.quotas.make_demand_update()
        if demand is None:
            return
        self._demand_sent_ms = context.now_ms
        message = OwnerDemand(
            incarnation=context.identity.incarnation,
            sequence=context.quotas.sequence,
            n_tasks_by_key=demand,
        )
        for peer in context.peers.by_id.values():
            context.counters.n_peer_messages += 1
            context.emit(SendPeer(peer=peer.record, message=message))

    def _handle_server_change(self, change):
        context = self.context
        server = change.server
        if change.is_leaving:
            context.log(
                EventCode.SERVER_LEAVING, server.id, "marked in the instance list"
            )
            return
        context.log(EventCode.SERVER_GONE, server.id)
        current = context.servers.by_id.get(server.id)
        if current is not server:
            context.post(
                ServerProcessGone(server_id=server.id, incarnation=server.incarnation)
            )
            return
        if server.attempt_ids:
            context.emit(
                QueryAttempts(
                    server=server.record, attempt_ids=tuple(server.attempt_ids)
                )
            )
