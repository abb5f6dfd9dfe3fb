"""Distribution of the server list: once in full, then only changes."""

import attrs
from owner_harness import OwnerHarness

from buckthornshift.dispatch import (
    Heartbeat,
    PeerConnected,
    PeerMessageReceived,
    Resources,
    SendToPeer,
    ServerHealthUpdate,
    ServerListUpdate,
    ServerRecord,
    ServersConfirmed,
    ServersRead,
    TimeAdvanced,
)
from buckthornshift.dispatch._list_publisher import (
    LIST_RESEND_AFTER_MS,
    MAX_LISTS_PER_HEARTBEAT,
)

SERVERS = tuple(
    ServerRecord(server_id=f"s{i}", service="s", capacity=Resources(cpu=1_000))
    for i in range(3)
)


class Owner(OwnerHarness):
    """An owner with simulated instances in contact, whose list equals its own."""

    def __init__(self, n_peers=1):
        self.peer_digest = None
        self.list_times_ms = []
        self.addresses = [f"p:{i}" for i in range(n_peers)]
        super().__init__(servers=SERVERS)

    def advance_time(self, ms):
        """Let time pass, while every instance confirms the owner's heartbeats."""
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            super().advance_time(min(50.0, end_ms - self.now_ms))
            for address in self.addresses:
                self.receive(self.make_heartbeat(), address)

    def collect_actions(self, actions):
        """Collect actions, and when lists are sent."""
        for action in actions:
            if isinstance(getattr(action, "message", None), ServerListUpdate):
                self.list_times_ms.append(self.now_ms)
        super().collect_actions(actions)

    def make_heartbeat(self):
        digest = self.peer_digest
        if digest is None:
            digest = self.core.fleet.digest()
        return Heartbeat(sent_ms=self.now_ms, echo_ms=self.now_ms, list_digest=digest)

    def receive(self, message, address="p:0", connection=1):
        self.feed(
            PeerMessageReceived(
                address=address, incarnation=2, connection=connection, message=message
            )
        )

    def pop_lists(self):
        sent = self.pop(SendToPeer)
        return [
            (a.address, m) for a in sent if isinstance(m := a.message, ServerListUpdate)
        ]


def test_list_is_sent_once():
    """Repeated lists (1 MB every 2 s) delayed the commands to servers."""
    owner = Owner()
    owner.advance_time(200.0)
    ((address, message),) = owner.pop_lists()
    assert address == "p:0"
    # The list was read at time 0.
    (sent_ms,) = owner.list_times_ms
    assert message == ServerListUpdate(servers=SERVERS, is_whole=True, age_ms=sent_ms)
    owner.advance_time(10_000.0)
    assert owner.pop_lists() == []


def test_list_is_sent_again_to_instance_with_different_list():
    """An instance that took the list for that of a rival kept removed servers."""
    owner = Owner()
    owner.advance_time(200.0)
    owner.pop_lists()
    owner.peer_digest = 1
    owner.advance_time(2.5 * LIST_RESEND_AFTER_MS)
    sent = owner.pop_lists()
    assert [message.is_whole for _, message in sent] == [True, True]


def test_only_changed_servers_are_sent():
    owner = Owner()
    owner.advance_time(200.0)
    owner.pop_lists()
    draining = attrs.evolve(SERVERS[0], is_draining=True)
    owner.feed(ServersRead(servers=(draining, *SERVERS[1:]), age_ms=20.0))
    ((_, message),) = owner.pop_lists()
    assert message == ServerListUpdate(servers=(draining,), age_ms=20.0)


def test_confirmed_list_is_as_old_as_its_last_read():
    owner = Owner()
    owner.advance_time(200.0)
    owner.pop_lists()
    owner.feed(ServersConfirmed(age_ms=30.0))
    draining = attrs.evolve(SERVERS[0], is_draining=True)
    owner.core.fleet.update_list((draining, *SERVERS[1:]))
    owner.core.list_publisher.publish()
    owner.feed(TimeAdvanced())
    ((_, message),) = owner.pop_lists()
    assert message.age_ms == 30.0


def test_list_is_sent_again_over_new_connection():
    owner = Owner()
    owner.advance_time(200.0)
    owner.pop_lists()
    owner.feed(PeerConnected(address="p:0"))
    owner.advance_time(200.0)
    ((_, message),) = owner.pop_lists()
    assert message.is_whole


def test_number_of_lists_per_heartbeat_is_limited():
    owner = Owner(n_peers=10)
    owner.advance_time(1_000.0)
    owner.pop_lists()
    for address in owner.addresses:
        owner.feed(PeerConnected(address=address))
    sent = []
    for _ in range(8):
        owner.advance_time(100.0)
        lists = owner.pop_lists()
        assert len(lists) <= MAX_LISTS_PER_HEARTBEAT
        sent += [address for address, _ in lists]
    assert sorted(sent) == sorted(owner.addresses)


def test_received_changes_are_applied_to_list():
    other = Owner()
    other.core.cells.get(0).term = 0
    other.receive(ServerListUpdate(servers=SERVERS, is_whole=True))
    added = attrs.evolve(SERVERS[0], server_id="new")
    other.receive(ServerListUpdate(servers=(added,), gone_ids=("s1",)))
    assert {r.server_id for r in other.core.fleet.records} == {"s0", "s2", "new"}


def test_list_over_a_replaced_connection_is_ignored():
    """Guards against starts on a draining server, by a list that was held up."""
    other = Owner()
    other.core.cells.get(0).term = 0
    draining = attrs.evolve(SERVERS[0], is_draining=True)
    newer = (draining, *SERVERS[1:])
    other.receive(ServerListUpdate(servers=newer, is_whole=True), connection=2)
    other.receive(ServerListUpdate(servers=SERVERS, is_whole=True), connection=1)
    assert other.core.fleet.by_id["s0"].record.is_draining


def test_health_reports_are_sent_and_applied():
    owner, other = Owner(), Owner()
    owner.core.fleet.by_id["s1"].slowness = 4.0
    owner.advance_time(2_100.0)
    (message,) = [
        a.message
        for a in owner.pop(SendToPeer)
        if isinstance(a.message, ServerHealthUpdate)
    ]
    other.core.cells.get(0).term = 0
    other.receive(message)
    assert other.core.fleet.by_id["s1"].slowness == 4.0
