"""Failure detection between instances, by heartbeats that the receiver confirms.

Each heartbeat echoes the send time of the last one received. An instance counts as lost
when the newest own heartbeat that it has echoed is too old. This detects a loss of
messages in either direction. It also shows that the other side received a heartbeat of
this instance at that send time or later.

Heartbeats are frequent between an owner and every other instance. Other pairs exchange
them frequently only while there are few instances. Among many, the instances of the
highest rank are hubs, which stay in close contact and from which the next owners come.
"""

import heapq

import attrs

from ._actions import DisconnectPeer, LogCode, ReconnectPeer, SendToPeer
from ._events import InstancesFound, PeerConnected, PeerMessageReceived
from ._internal_messages import (
    ContactBroken,
    HeartbeatDue,
    PeerLost,
    RivalClaimEnded,
)
from ._peer_messages import ConfigurationUpdate, Heartbeat

PEER_RETENTION_MS = 10_000.0
CONFIGURATION_RESEND_MS = 1_000.0
# How often the delay is doubled before an instance that has confirmed no heartbeat yet
# is dialled again; the delay grows to 1.6 s. Without the backoff, many instances that
# start on few cores keep each other too busy to respond.
MAX_DIAL_DOUBLINGS = 3
# Intervals of an idle pair until a newer heartbeat is confirmed: the other side's next
# heartbeat confirms the previous one, and the one after that confirms the newer one.
IDLE_HEARTBEATS_TO_CONFIRM = 2.0
# With many instances, the interval of idle heartbeats grows with their number, so that
# each instance sends at most 80 a second.
IDLE_INTERVAL_PER_PEER_MS = 12.5
# 64 addresses take 1.3 KB.
MAX_ADDRESSES_PER_HEARTBEAT = 64
# Only the uptime of processes that have just started matters.
MAX_SENT_UPTIME_MS = 5_000.0
# Fields of a heartbeat that change only when the settings are reloaded.
CONSTANT_FIELDS = ("born_ms", "power", "name", "zone")


@attrs.define(kw_only=True)
class Peer:
    """Another instance, and the state of the contact with it.

    :param address: ``host:port`` at which it is reached.
    :param incarnation: random number of its process; 0 before its first message.
    :param connection: highest number of the connections over which it has sent.
    :param replaced_ms_by_incarnation: when its former processes were replaced.
    :param heartbeat: the last :class:`Heartbeat` received.
    :param last_heard_ms: when that was received, or ``None``.
    :param confirmed_sent_ms: send time of the newest own heartbeat that it has
        confirmed, or ``None``.
    :param last_confirmation_ms: when that confirmation was received.
    :param last_sent_ms: when the last own heartbeat was sent.
    :param last_dial_ms: when a connection was last requested.
    :param n_unanswered_dials: dials since its last heartbeat, or since it was found.
    :param found_ms: when its address became known.
    :param config_sent_ms: when the configuration was last sent to it.
    :param evacuations_sent_ms: when the evacuated zones were last sent to it.
    :param evacuations_sent_version: the version that was sent then.
    :param is_live: whether it is in contact, as it confirmed a heartbeat recently.
    :param n_losses: how often contact with it was lost.
    :param n_own_losses: how often it has lost contact with this instance, from its last
        heartbeat; ``None`` before its first one.
    :param contact_number: sequence number of its last start of contact, among all
        instances.
    :param introduced_ms: when the first heartbeat with the constant fields was sent to
        its process, or ``None``.
    :param sent_contact_number: highest contact number of the addresses sent to it.
    :param servers_digest_by_cell: checksum of the servers in its last claim of a cell,
        by number of cells and cell.
    """

    address: str = ""
    incarnation: int = 0
    connection: int = 0
    replaced_ms_by_incarnation: dict = attrs.field(factory=dict)
    heartbeat: Heartbeat = Heartbeat()
    last_heard_ms: float | None = None
    confirmed_sent_ms: float | None = None
    last_confirmation_ms: float = -1e9
    last_sent_ms: float = -1e9
    last_dial_ms: float = -1e9
    n_unanswered_dials: int = 0
    found_ms: float = 0.0
    config_sent_ms: float = -1e9
    evacuations_sent_ms: float = -1e9
    evacuations_sent_version: int = 0
    is_live: bool = False
    n_losses: int = 0
    n_own_losses: int | None = None
    contact_number: int = 0
    introduced_ms: float | None = None
    sent_contact_number: int = 0
    servers_digest_by_cell: dict = attrs.field(factory=dict)

    def find_servers_digest(self, n_cells, cell):
        """Return the checksum of its last claim of a cell, or ``None``.

        :param n_cells: number of cells.
        :param cell: number of the cell.
        """
        return self.servers_digest_by_cell.get((n_cells, cell))

    def get_uptime_ms(self, now_ms):
        """Return the time since its process started; infinite once it is long.

        :param now_ms: the current time.
        """
        uptime_ms = self.heartbeat.uptime_ms
        if uptime_ms < 0 or self.last_heard_ms is None:
            return float("inf")
        return uptime_ms + now_ms - self.last_heard_ms

    @property
    def rank(self):
        """Order in which instances are preferred; see :attr:`DispatchIdentity.rank`."""
        return (self.heartbeat.power, self.heartbeat.born_ms, self.incarnation)


class Membership:
    """Exchange heartbeats, detect lost instances and spread addresses.

    :param context: the shared :class:`DispatchContext`.
    """

    def __init__(self, context=None):
        self.context = context
        self.by_address = {}
        self.has_instance_list = False
        self.describe_claims = lambda: {}
        self.holds_servers = lambda: False
        self.has_all_owners = lambda: False
        self.get_lag_ms = lambda: 0.0
        self.get_evacuation_version = lambda: 0
        self.get_list_age_ms = lambda: -1.0
        self.list_ended_keys = lambda peer: ()
        self.send_evacuations = lambda peer: None
        self._all_cells_owned = False
        self._hubs = None
        self._n_contacts = 0

    def subscribe(self):
        """Return handlers by message class."""
        return {
            HeartbeatDue: self.on_heartbeat_due,
            PeerMessageReceived: self.on_received,
            PeerConnected: self.on_peer_connected,
            InstancesFound: self.on_instances_found,
        }

    def list_live(self):
        """Return the instances in contact."""
        return [peer for peer in self.by_address.values() if peer.is_live]

    def has_lost_instances(self):
        """Return whether an instance that was in contact may still be running."""
        return any(
            not peer.is_live and peer.confirmed_sent_ms is not None
            for peer in self.by_address.values()
        )

    def is_live(self, address, incarnation=None):
        """Return whether an instance is in contact, or is this one.

        :param address: address of the instance.
        :param incarnation: the process that is meant; ``None`` for any.
        """
        identity = self.context.identity
        if address == identity.address:
            return incarnation in (None, identity.incarnation)
        peer = self.by_address.get(address)
        if peer is None or not peer.is_live:
            return False
        return incarnation in (None, peer.incarnation)

    def is_hub(self, address):
        """Return whether an instance is a hub; all are while they are few."""
        return self._hubs is None or address in self._hubs

    @property
    def is_self_hub(self):
        """Whether this instance is a hub."""
        return self.is_hub(self.context.identity.address)

    def on_instances_found(self, event):
        """Add and dial instances that are not known yet."""
        self.has_instance_list = self.has_instance_list or event.is_complete
        for address in event.addresses:
            self._add(address)

    def on_peer_connected(self, event):
        """Send a heartbeat at once on a new connection, so that contact begins."""
        peer = self.by_address.get(event.address)
        if peer is not None:
            self.context.log(LogCode.PEER_CONNECTED, peer.address, is_live=peer.is_live)
            # Messages sent before may have been lost with the former connection.
            peer.sent_contact_number = 0
            peer.config_sent_ms = peer.evacuations_sent_ms = -1e9
            self._send_heartbeat(peer)

    def on_received(self, event):
        """Add an unknown sender; read its heartbeat."""
        peer = self._add(event.address)
        if peer is None:
            return
        if event.incarnation != peer.incarnation:
            self._reset_for_incarnation(peer, event)
        peer.connection = max(peer.connection, event.connection)
        if isinstance(event.message, Heartbeat):
            self._read_heartbeat(peer, event.message)

    def on_heartbeat_due(self, message):
        """Send due heartbeats, detect lost instances and redial silent ones."""
        context = self.context
        context.start_timer(context.settings.beat_ms, HeartbeatDue())
        claims = self.describe_claims()
        self._all_cells_owned = self.has_all_owners()
        self._hubs = self._find_hubs()
        for peer in list(self.by_address.values()):
            self._update_liveness(peer)
            self._redial_if_silent(peer)
            interval_ms = (
                self._choose_heartbeat_interval(peer) - context.settings.beat_ms / 2
            )
            if context.now_ms - peer.last_sent_ms >= interval_ms:
                self._send_heartbeat(peer, claims)

    def broadcast_heartbeat(self):
        """Send a heartbeat at once to every instance, as they wait for its content."""
        claims = self.describe_claims()
        for peer in self.by_address.values():
            self._send_heartbeat(peer, claims)

    def introduce_again(self):
        """Send every instance the constant fields again, as one of them changed."""
        for peer in self.by_address.values():
            peer.introduced_ms = None

    def _add(self, address):
        context = self.context
        if address == context.identity.address:
            return None
        peer = self.by_address.get(address)
        if peer is None:
            peer = Peer(address=address, found_ms=context.now_ms)
            self.by_address[address] = peer
            self._dial(peer)
            context.log(LogCode.PEER_FOUND, address)
        return peer

    def _dial(self, peer):
        peer.last_dial_ms = self.context.now_ms
        peer.n_unanswered_dials += 1
        self.context.emit(ReconnectPeer(address=peer.address))

    def _reset_for_incarnation(self, peer, event):
        context = self.context
        if peer.incarnation:
            context.log(LogCode.PEER_RESTARTED, peer.address, former=peer.incarnation)
            self._mark_lost(peer)
            self._dial(peer)
            peer.replaced_ms_by_incarnation[peer.incarnation] = context.now_ms
            peer.replaced_ms_by_incarnation.pop(event.incarnation, None)
        peer.incarnation = event.incarnation
        peer.connection = 0
        peer.n_own_losses = None
        peer.heartbeat = Heartbeat()
        peer.servers_digest_by_cell.clear()
        peer.confirmed_sent_ms = peer.introduced_ms = None

    def _read_heartbeat(self, peer, heartbeat):
        context = self.context
        if heartbeat.sent_ms < peer.heartbeat.sent_ms:
            return
        if heartbeat.is_brief:
            heartbeat = _add_constant_fields(heartbeat, peer.heartbeat)
        former_cells = {claim.cell for claim in peer.heartbeat.claims}
        peer.heartbeat = heartbeat
        for claim in heartbeat.claims:
            key = (heartbeat.n_cells, claim.cell)
            peer.servers_digest_by_cell[key] = claim.servers_digest
        for cell in former_cells - {claim.cell for claim in heartbeat.claims}:
            context.post(RivalClaimEnded(cell=cell))
        peer.last_heard_ms = context.now_ms
        peer.n_unanswered_dials = 0
        if heartbeat.echo_ms >= 0:
            confirmed_sent_ms = peer.confirmed_sent_ms
            is_newer = (
                confirmed_sent_ms is None or heartbeat.echo_ms > confirmed_sent_ms
            )
            if is_newer and heartbeat.echo_ms <= context.now_ms:
                peer.confirmed_sent_ms = heartbeat.echo_ms
                peer.last_confirmation_ms = context.now_ms
        for address in heartbeat.addresses:
            self._add(address)
        # An instance that gets its configuration here must know the evacuations then.
        self.send_evacuations(peer)
        self._send_configuration(peer)
        self._update_liveness(peer)
        self._check_own_losses(peer)

    def _check_own_losses(self, peer):
        """Announce that another instance has lost contact with this one.

        This instance may not have noticed: it measures contact by other heartbeats.
        """
        former, peer.n_own_losses = peer.n_own_losses, peer.heartbeat.n_losses
        if former in (None, peer.n_own_losses):
            return
        message = ContactBroken(address=peer.address, incarnation=peer.incarnation)
        self.context.post(message)
        # It regains contact with this heartbeat, and can repeat its submissions.
        self._send_heartbeat(peer)

    def _send_configuration(self, peer):
        context = self.context
        is_behind = peer.heartbeat.config_version < context.configuration.version
        if (
            not is_behind
            or context.now_ms - peer.config_sent_ms < CONFIGURATION_RESEND_MS
        ):
            return
        peer.config_sent_ms = context.now_ms
        message = ConfigurationUpdate(configuration=context.configuration)
        context.emit(SendToPeer(address=peer.address, message=message))

    def _update_liveness(self, peer):
        context = self.context
        if peer.confirmed_sent_ms is None:
            self._forget_if_never_heard(peer)
            return
        age_ms = context.now_ms - peer.confirmed_sent_ms
        is_live = age_ms <= self._choose_loss_timeout(peer)
        if is_live and not peer.is_live:
            peer.is_live = True
            self._n_contacts += 1
            peer.contact_number = self._n_contacts
            self._send_heartbeat(peer)
        elif peer.is_live and not is_live:
            context.log(LogCode.PEER_LOST, peer.address, confirmed_age_ms=round(age_ms))
            peer.n_losses += 1
            self._mark_lost(peer)
        elif age_ms > PEER_RETENTION_MS + self._choose_loss_timeout(peer):
            self._forget(peer)

    def _mark_lost(self, peer):
        peer.is_live = False
        self.context.post(PeerLost(address=peer.address, incarnation=peer.incarnation))

    def _forget_if_never_heard(self, peer):
        if self.context.now_ms - peer.found_ms > PEER_RETENTION_MS:
            self._forget(peer)

    def _forget(self, peer):
        self.by_address.pop(peer.address, None)
        self.context.emit(DisconnectPeer(address=peer.address))

    def _redial_if_silent(self, peer):
        # A connection that still delivers confirmations is at worst slow, so only the
        # time since the last confirmation counts, not the age of what it confirms.
        context = self.context
        last_activity_ms = max(peer.last_dial_ms, peer.last_confirmation_ms)
        max_silence_ms = context.settings.redial_after_ms
        if peer.confirmed_sent_ms is None:
            # It may not have been listening yet at the first dial.
            n_doublings = min(max(0, peer.n_unanswered_dials - 1), MAX_DIAL_DOUBLINGS)
            max_silence_ms = 2.0 * context.settings.beat_ms * 2**n_doublings
        interval_ms = self._choose_heartbeat_interval(peer)
        if interval_ms > context.settings.beat_ms:
            max_silence_ms += IDLE_HEARTBEATS_TO_CONFIRM * interval_ms
        if context.now_ms - last_activity_ms > max_silence_ms:
            self._dial(peer)

    def _find_hubs(self):
        """Return the addresses of the hubs, or ``None`` if all instances are hubs."""
        live = self.list_live()
        if len(live) < self.context.settings.few_instances:
            return None
        identity = self.context.identity
        ranks = [(peer.rank, peer.address) for peer in live]
        ranks.append((identity.rank, identity.address))
        return {
            address
            for _, address in heapq.nlargest(self.context.settings.n_hubs, ranks)
        }

    def _choose_heartbeat_interval(self, peer):
        settings = self.context.settings
        holds_servers = self.holds_servers() or peer.heartbeat.holds_servers
        if holds_servers or not peer.is_live:
            return settings.beat_ms
        if self._hubs is None:
            is_idle = self._all_cells_owned
            return settings.idle_beat_ms if is_idle else settings.beat_ms
        n_hubs = self._count_hubs(peer)
        if n_hubs == 2 or (n_hubs and not self._all_cells_owned):
            return settings.beat_ms
        n_peers = len(self.by_address)
        return max(settings.idle_beat_ms, n_peers * IDLE_INTERVAL_PER_PEER_MS)

    def _count_hubs(self, peer):
        return self.is_hub(peer.address) + self.is_self_hub

    def _choose_loss_timeout(self, peer):
        settings = self.context.settings
        if self.holds_servers() or peer.heartbeat.holds_servers:
            return settings.lost_after_ms
        if self._hubs is not None and self._count_hubs(peer) < 2:
            n_peers = len(self.by_address)
            idle_ms = max(settings.idle_beat_ms, n_peers * IDLE_INTERVAL_PER_PEER_MS)
            return settings.lost_after_ms + IDLE_HEARTBEATS_TO_CONFIRM * idle_ms
        # Without an owner all heartbeats are frequent, but not every instance learns
        # of that at the same time.
        n_intervals = IDLE_HEARTBEATS_TO_CONFIRM if self._all_cells_owned else 1.0
        return settings.lost_after_ms + n_intervals * settings.idle_beat_ms

    def _choose_addresses(self, peer):
        """Return addresses of instances in contact that were not sent to a peer yet."""
        is_up_to_date = peer.sent_contact_number >= self._n_contacts
        if is_up_to_date or not (self.is_hub(peer.address) or self.is_self_hub):
            return ()
        unsent = [
            p for p in self.list_live() if p.contact_number > peer.sent_contact_number
        ]
        unsent.sort(key=lambda other: other.contact_number)
        batch = unsent[:MAX_ADDRESSES_PER_HEARTBEAT]
        if peer.is_live:
            is_last_batch = len(batch) == len(unsent)
            peer.sent_contact_number = (
                self._n_contacts if is_last_batch else batch[-1].contact_number
            )
        return tuple(other.address for other in batch)

    def _get_own_uptime_ms(self):
        uptime_ms = round(self.context.now_ms - self.context.started_ms)
        return uptime_ms if uptime_ms < MAX_SENT_UPTIME_MS else -1

    def _has_confirmed_introduction(self, peer):
        return (
            peer.introduced_ms is not None
            and peer.confirmed_sent_ms is not None
            and peer.confirmed_sent_ms >= peer.introduced_ms
        )

    def _send_heartbeat(self, peer, claims=None):
        context = self.context
        identity = context.identity
        peer.last_sent_ms = context.now_ms
        constant_fields = {"is_brief": True}
        if not self._has_confirmed_introduction(peer):
            if peer.introduced_ms is None:
                peer.introduced_ms = context.now_ms
            constant_fields = {
                name: getattr(identity, name) for name in CONSTANT_FIELDS
            }
        heartbeat = Heartbeat(
            sent_ms=context.now_ms,
            echo_ms=peer.heartbeat.sent_ms if peer.last_heard_ms is not None else -1.0,
            uptime_ms=self._get_own_uptime_ms(),
            **constant_fields,
            config_version=context.configuration.version,
            is_leaving=context.is_stopping,
            lag_ms=round(self.get_lag_ms(), 1),
            addresses=self._choose_addresses(peer),
            evacuation_version=self.get_evacuation_version(),
            n_losses=peer.n_losses,
            list_age_ms=self.get_list_age_ms(),
            ended_keys=self.list_ended_keys(peer),
            **(claims or self.describe_claims()),
        )
        context.emit(SendToPeer(address=peer.address, message=heartbeat))


def _add_constant_fields(heartbeat, previous):
    constant_fields = {name: getattr(previous, name) for name in CONSTANT_FIELDS}
    return attrs.evolve(heartbeat, is_brief=False, **constant_fields)
