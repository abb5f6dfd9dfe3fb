"""What the owner tells of the servers: the list once, then changes."""

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
    ServersRead,
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
    """An owner with instances in contact, which have its list."""

    def __init__(self, n_peers=1):
        self.peer_digest = None
        self.addresses = [f"p:{i}" for i in range(n_peers)]
        super().__init__(servers=SERVERS)

    def advance_time(self, ms):
        """Let time pass; every instance confirms the owner's beats all along."""
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            super().advance_time(min(50.0, end_ms - self.now_ms))
            for address in self.addresses:
                self.hear(self.make_beat(), address)

    def make_beat(self):
        digest = self.peer_digest
        if digest is None:
            digest = self.core.fleet.digest()
        return Heartbeat(sent_ms=self.now_ms, echo_ms=self.now_ms, list_digest=digest)

    def hear(self, message, address="p:0"):
        self.feed(PeerMessageReceived(address=address, incarnation=2, message=message))

    def pop_lists(self):
        sent = self.pop(SendToPeer)
        return [
            (a.address, m) for a in sent if isinstance(m := a.message, ServerListUpdate)
        ]


def test_the_list_is_told_once():
    """Every 2 s 1 MB of lists went out before the orders to servers."""
    owner = Owner()
    owner.advance_time(200.0)
    ((address, message),) = owner.pop_lists()
    assert address == "p:0"
    assert message == ServerListUpdate(servers=SERVERS, is_whole=True)
    owner.advance_time(10_000.0)
    assert owner.pop_lists() == []


def test_an_instance_whose_list_stays_different_gets_it_again():
    """It had taken the owner for a rival's, and kept a server that was gone."""
    owner = Owner()
    owner.advance_time(200.0)
    owner.pop_lists()
    owner.peer_digest = 1
    owner.advance_time(2.5 * LIST_RESEND_AFTER_MS)
    told = owner.pop_lists()
    assert [message.is_whole for _, message in told] == [True, True]


def test_only_what_changed_is_told():
    owner = Owner()
    owner.advance_time(200.0)
    owner.pop_lists()
    leaving = attrs.evolve(SERVERS[0], is_draining=True)
    owner.feed(ServersRead(servers=(leaving, *SERVERS[1:])))
    ((_, message),) = owner.pop_lists()
    assert message == ServerListUpdate(servers=(leaving,))


def test_a_new_connection_gets_the_list_again():
    owner = Owner()
    owner.advance_time(200.0)
    owner.pop_lists()
    owner.feed(PeerConnected(address="p:0"))
    owner.advance_time(200.0)
    ((_, message),) = owner.pop_lists()
    assert message.is_whole


def test_lists_to_many_do_not_go_out_at_once():
    owner = Owner(n_peers=10)
    owner.advance_time(1_000.0)
    owner.pop_lists()
    for address in owner.addresses:
        owner.feed(PeerConnected(address=address))
    told = []
    for _ in range(8):
        owner.advance_time(100.0)
        lists = owner.pop_lists()
        assert len(lists) <= MAX_LISTS_PER_HEARTBEAT
        told += [address for address, _ in lists]
    assert sorted(told) == sorted(owner.addresses)


def test_an_instance_follows_the_changes_that_it_is_told():
    other = Owner()
    other.core.cells.get(0).term = 0
    other.hear(ServerListUpdate(servers=SERVERS, is_whole=True))
    added = attrs.evolve(SERVERS[0], server_id="new")
    other.hear(ServerListUpdate(servers=(added,), gone_ids=("s1",)))
    assert {r.server_id for r in other.core.fleet.records} == {"s0", "s2", "new"}


def test_lessons_are_told_to_others_and_taken_by_them():
    owner, other = Owner(), Owner()
    owner.core.fleet.by_id["s1"].slowness = 4.0
    owner.advance_time(2_100.0)
    (message,) = [
        a.message
        for a in owner.pop(SendToPeer)
        if isinstance(a.message, ServerHealthUpdate)
    ]
    other.core.cells.get(0).term = 0
    other.hear(message)
    assert other.core.fleet.by_id["s1"].slowness == 4.0
