"""Which other instances live, from beats that each side confirms.

An instance counts as lost by the age of the last own beat that it confirmed. So the
sender knows for certain that the other side heard it at that time or later, in a
silence of either direction.
"""

import attrs

from ._actions import DialPeer, ForgetPeer, LogCode, SendPeer
from ._events import InstancesFound, PeerLinkOpened, PeerReceived
from ._internal import BeatDue, PeerLost
from ._peer_messages import Beat, ConfigurationShared

FORGET_AFTER_MS = 10_000.0
SHARE_AGAIN_MS = 1_000.0
# Doublings of the pause before one that was never heard is dialled again, up to
# 1.6 s: many instances that start on few cores else keep each other from answering.
MAX_DIAL_DOUBLINGS = 3
# A beat of an idle pair is confirmed by the other side's next one, and a newer one by
# the one after that.
IDLE_BEATS_TO_CONFIRM = 2.0


@attrs.define(kw_only=True)
class Peer:
    """Another instance.

    :param address: where it is reached.
    :param incarnation: its process; 0 before it was heard.
    :param beat: the last beat received.
    :param heard_ms: when that came.
    :param confirmed_ms: latest own beat that it confirmed, by when that was sent.
    :param progressed_ms: when the last confirmation of a newer beat came.
    :param beaten_ms: when the last own beat was sent.
    :param dialled_ms: when the connection was last asked for.
    :param n_unheard_dials: dials since it was last heard or found.
    :param found_ms: when its address became known.
    :param shared_ms: when the configuration was last given to it.
    :param n_told: number of addresses that it was last told.
    :param is_live: whether it is in contact.
    """

    address: str = ""
    incarnation: int = 0
    beat: Beat = Beat()
    heard_ms: float | None = None
    confirmed_ms: float | None = None
    progressed_ms: float = -1e9
    beaten_ms: float = -1e9
    dialled_ms: float = -1e9
    n_unheard_dials: int = 0
    found_ms: float = 0.0
    shared_ms: float = -1e9
    n_told: int = -1
    is_live: bool = False

    @property
    def rank(self):
        """Order in which instances are preferred as owner.

        Among equals the youngest comes first: in a series of restarts it is the
        least likely to be next.
        """
        return (self.beat.power, self.beat.born_ms, self.incarnation)


class Membership:
    """Send beats, judge who is in contact, and spread addresses.

    :param context: the shared :class:`DispatchContext`.
    """

    def __init__(self, context=None):
        self.context = context
        self.by_address = {}
        self.describe_claim = lambda: {}
        self.is_owner = lambda: False
        self.read_lag = lambda: 0.0
        self._has_owner = False

    def subscribe(self):
        """Return handlers by message class."""
        return {
            BeatDue: self.on_beat_due,
            PeerReceived: self.on_received,
            PeerLinkOpened: self.on_link_opened,
            InstancesFound: self.on_found,
        }

    def list_live(self):
        """Return the instances in contact."""
        return [peer for peer in self.by_address.values() if peer.is_live]

    def is_live(self, address, incarnation=None):
        """Return whether an instance is in contact, this one included."""
        identity = self.context.identity
        if address == identity.address:
            return incarnation in (None, identity.incarnation)
        peer = self.by_address.get(address)
        if peer is None or not peer.is_live:
            return False
        return incarnation in (None, peer.incarnation)

    def on_found(self, event):
        """Dial instances that are not known yet."""
        for address in event.addresses:
            self._add(address)

    def on_link_opened(self, event):
        """Beat at once on a new connection, so that contact begins."""
        peer = self.by_address.get(event.address)
        if peer is not None:
            peer.n_told = -1
            self._beat(peer)

    def on_received(self, event):
        """Take note of the sender, and of its beat."""
        peer = self._add(event.address)
        if peer is None:
            return
        if event.incarnation != peer.incarnation:
            self._take_incarnation(peer, event)
        if isinstance(event.message, Beat):
            self._read_beat(peer, event.message)

    def on_beat_due(self, message):
        """Beat to those that are due, and judge who is lost."""
        context = self.context
        context.start_timer(context.settings.beat_ms, BeatDue())
        claim = self.describe_claim()
        self._has_owner = any(p.beat.claim_term for p in self.list_live())
        for peer in list(self.by_address.values()):
            self._judge(peer)
            self._redial_if_silent(peer)
            interval_ms = self._choose_interval(peer) - context.settings.beat_ms / 2
            if context.now_ms - peer.beaten_ms >= interval_ms:
                self._beat(peer, claim)

    def beat_now(self):
        """Beat to everyone at once, for news that others wait for."""
        claim = self.describe_claim()
        for peer in self.by_address.values():
            self._beat(peer, claim)

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
        peer.dialled_ms = self.context.now_ms
        peer.n_unheard_dials += 1
        self.context.emit(DialPeer(address=peer.address))

    def _take_incarnation(self, peer, event):
        context = self.context
        if peer.incarnation:
            context.log(LogCode.PEER_RESTARTED, peer.address, former=peer.incarnation)
            self._lose(peer)
            self._dial(peer)
        peer.incarnation = event.incarnation
        peer.beat = Beat()
        peer.confirmed_ms = None

    def _read_beat(self, peer, beat):
        context = self.context
        if beat.sent_ms < peer.beat.sent_ms:
            return
        peer.beat = beat
        peer.heard_ms = context.now_ms
        peer.n_unheard_dials = 0
        if beat.echo_ms >= 0:
            confirmed_ms = peer.confirmed_ms
            is_newer = confirmed_ms is None or beat.echo_ms > confirmed_ms
            if is_newer and beat.echo_ms <= context.now_ms:
                peer.confirmed_ms = beat.echo_ms
                peer.progressed_ms = context.now_ms
        for address in beat.addresses:
            self._add(address)
        self._share_configuration(peer)
        self._judge(peer)

    def _share_configuration(self, peer):
        context = self.context
        is_behind = peer.beat.config_version < context.configuration.version
        if not is_behind or context.now_ms - peer.shared_ms < SHARE_AGAIN_MS:
            return
        peer.shared_ms = context.now_ms
        message = ConfigurationShared(configuration=context.configuration)
        context.emit(SendPeer(address=peer.address, message=message))

    def _judge(self, peer):
        context = self.context
        if peer.confirmed_ms is None:
            self._forget_if_never_heard(peer)
            return
        age_ms = context.now_ms - peer.confirmed_ms
        is_live = age_ms <= self._choose_patience(peer)
        if is_live and not peer.is_live:
            peer.is_live = True
            self._beat(peer)
        elif peer.is_live and not is_live:
            context.log(LogCode.PEER_LOST, peer.address, confirmed_age_ms=round(age_ms))
            self._lose(peer)
        elif age_ms > FORGET_AFTER_MS:
            self._forget(peer)

    def _lose(self, peer):
        peer.is_live = False
        self.context.post(PeerLost(address=peer.address, incarnation=peer.incarnation))

    def _forget_if_never_heard(self, peer):
        if self.context.now_ms - peer.found_ms > FORGET_AFTER_MS:
            self._forget(peer)

    def _forget(self, peer):
        self.by_address.pop(peer.address, None)
        self.context.emit(ForgetPeer(address=peer.address))

    def _redial_if_silent(self, peer):
        # A link on which confirmations come is slow at worst, however old they are.
        context = self.context
        seen_ms = max(peer.dialled_ms, peer.progressed_ms)
        patience_ms = context.settings.redial_after_ms
        if peer.confirmed_ms is None:
            # It may not have listened yet when it was dialled first.
            n_doublings = min(max(0, peer.n_unheard_dials - 1), MAX_DIAL_DOUBLINGS)
            patience_ms = 2.0 * context.settings.beat_ms * 2**n_doublings
        if self._choose_interval(peer) > context.settings.beat_ms:
            patience_ms += IDLE_BEATS_TO_CONFIRM * context.settings.idle_beat_ms
        if context.now_ms - seen_ms > patience_ms:
            self._dial(peer)

    def _choose_interval(self, peer):
        settings = self.context.settings
        is_close = (
            self.is_owner()
            or peer.beat.claim_term
            or not self._has_owner
            or not peer.is_live
        )
        return settings.beat_ms if is_close else settings.idle_beat_ms

    def _choose_patience(self, peer):
        settings = self.context.settings
        if peer.beat.claim_term or self.is_owner():
            return settings.lost_after_ms
        # Without an owner everybody beats often, but some learn of it later.
        n_beats = IDLE_BEATS_TO_CONFIRM if self._has_owner else 1.0
        return settings.lost_after_ms + n_beats * settings.idle_beat_ms

    def _beat(self, peer, claim=None):
        context = self.context
        identity = context.identity
        peer.beaten_ms = context.now_ms
        addresses = ()
        live = self.list_live()
        if len(live) != peer.n_told or not peer.is_live:
            peer.n_told = len(live)
            addresses = tuple(p.address for p in live)
        beat = Beat(
            sent_ms=context.now_ms,
            echo_ms=peer.beat.sent_ms if peer.heard_ms is not None else -1.0,
            born_ms=identity.born_ms,
            power=identity.power,
            name=identity.name,
            zone=identity.zone,
            config_version=context.configuration.version,
            is_leaving=context.is_stopping,
            lag_ms=round(self.read_lag(), 1),
            addresses=addresses,
            **(claim or self.describe_claim()),
        )
        context.emit(SendPeer(address=peer.address, message=beat))
