"""The list of servers while the instance that reads it can't, and around elections."""

import attrs
import pytest

from buckthornshift.dispatch import (
    DispatchSettings,
    PeerMessageReceived,
    ServerListUpdate,
)
from buckthornshift.dispatch._list_follower import MAX_LIST_WAIT_MS
from buckthornshift.dispatch._list_publisher import LIST_CELL
from buckthornshift.dispatch._list_reader import MAX_LIST_AGE_MS, ListReader
from buckthornshift.proving.fleet import (
    FleetPlan,
    FleetRule,
    FleetRuleError,
    FleetWorld,
)
from buckthornshift.proving.fleet._callers import FleetCallers

SETTLED_MS = 4_000.0
# A server that leaves must get no more tasks after this time.
DRAIN_NOTICE_MS = 2_000.0
CUT_MS = 5_500.0


class Fleet:
    """Simulated instances with two cells of twelve servers, without load at first.

    The owner of the first cell is the publisher of the list; ``other`` owns the second.
    """

    def __init__(self, seed=1, jobs_per_s=0.001):
        plan = FleetPlan(
            seed=seed, n_instances=4, n_servers=24, jobs_per_s=jobs_per_s, busy_ms=2e4
        )
        self.world = FleetWorld(plan=plan, settings=DispatchSettings(cell_servers=12))
        FleetCallers(world=self.world).start()
        self.world.start()
        self.world.clock.run_until(SETTLED_MS)
        (self.publisher,) = self.list_owners(LIST_CELL)
        (self.other,) = self.list_owners(1)
        assert self.publisher is not self.other

    def list_owners(self, cell):
        running = [i for i in self.world.instances if i.core is not None]
        return [i for i in running if i.core.cells.is_owner_of(cell)]

    def advance_time(self, ms):
        self.world.clock.run_until(self.world.clock.now_ms + ms)

    def cut_off(self, *instances):
        """Cut instances off from the store, and no others."""
        self.world.store.cut_off_instances = {i.name for i in instances}

    def drain(self, cell):
        """Let a server of a cell report that it drains; return its id."""
        server = next(iter(self.publisher.core.fleet.list_servers(cell)))
        self.world.drain_server(self.world.find_server(server.id))
        self.world.drain_watch.record_drain(server.id)
        return server.id

    def knows_drain(self, instance, server_id):
        return instance.core.fleet.by_id[server_id].record.is_draining

    def list_readers(self):
        return [i.name for i in self.world.instances if i.is_watching_servers]


def test_only_the_publisher_reads_the_store_without_a_fault():
    """Each further reader costs in proportion to all servers."""
    fleet = Fleet()
    for _ in range(100):
        fleet.advance_time(50.0)
        assert fleet.list_readers() == [fleet.publisher.name]


def test_owner_reads_the_store_while_the_publisher_cannot():
    """An owner that could read the store started tasks on draining servers for 5 s."""
    fleet = Fleet()
    fleet.cut_off(fleet.publisher)
    server_id = fleet.drain(cell=1)
    fleet.advance_time(DRAIN_NOTICE_MS - 500.0)
    assert fleet.knows_drain(fleet.other, server_id)
    fleet.cut_off()
    fleet.advance_time(1_500.0)
    assert fleet.list_readers() == [fleet.publisher.name]


def test_publisher_learns_what_another_owner_reads():
    """Servers of its own cell leave as well; their tasks would be lost with them."""
    fleet = Fleet()
    fleet.cut_off(fleet.publisher)
    server_id = fleet.drain(cell=LIST_CELL)
    fleet.advance_time(DRAIN_NOTICE_MS)
    assert fleet.knows_drain(fleet.publisher, server_id)


def test_reader_that_is_cut_off_follows_the_publisher_again():
    """The owner went on ignoring the publisher, which reads the store again."""
    fleet = Fleet()
    fleet.cut_off(fleet.publisher)
    fleet.advance_time(1_500.0)
    assert fleet.other.is_watching_servers
    fleet.cut_off(fleet.other)
    server_id = fleet.drain(cell=1)
    fleet.advance_time(DRAIN_NOTICE_MS)
    assert fleet.knows_drain(fleet.other, server_id)


def test_list_of_a_new_publisher_does_not_replace_a_newer_one():
    """It was cut off from the store, and told others that no server drains."""
    fleet = Fleet()
    server_id = fleet.drain(cell=1)
    fleet.advance_time(500.0)
    other = fleet.other
    assert fleet.knows_drain(other, server_id)
    records = tuple(
        attrs.evolve(record, is_draining=False) for record in other.core.fleet.records
    )
    publisher = fleet.publisher
    event = PeerMessageReceived(
        address=publisher.name,
        incarnation=publisher.incarnation,
        connection=10**6,
        message=ServerListUpdate(servers=records, is_whole=True, age_ms=3_000.0),
    )
    fleet.world.deliver(other, other.key, event)
    assert fleet.knows_drain(other, server_id)


@pytest.mark.parametrize("can_read", [True, False])
def test_new_publisher_with_an_old_list_reads_it_before_it_starts_tasks(can_read):
    """Its list names servers that have begun to leave since the former one was cut off.

    Without the store it uses the list that it has.
    """
    fleet = Fleet()
    fleet.cut_off(*fleet.world.instances)
    fleet.advance_time(2.0 * MAX_LIST_AGE_MS)
    server_id = fleet.drain(cell=LIST_CELL)
    fleet.advance_time(500.0)
    fleet.world.kill_instance(fleet.publisher, restart_ms=1e6)
    while not (claimants := fleet.list_owners(LIST_CELL)):
        fleet.advance_time(1.0)
    assert all(i.core.list_follower.is_awaiting_list(LIST_CELL) for i in claimants)
    if can_read:
        fleet.cut_off()
    fleet.advance_time(3.0 * MAX_LIST_WAIT_MS)
    (owner,) = fleet.list_owners(LIST_CELL)
    assert not owner.core.list_follower.is_awaiting_list(LIST_CELL)
    assert fleet.knows_drain(owner, server_id) is can_read


def run_with_cut_publisher(seed):
    """Drain servers under load while the publisher is cut off; the oracle checks."""
    fleet = Fleet(seed=seed, jobs_per_s=60.0)
    fleet.cut_off(fleet.publisher)
    for _ in range(3):
        fleet.advance_time(300.0)
        fleet.drain(cell=1)
    fleet.advance_time(CUT_MS)


def test_no_task_starts_on_a_draining_server_while_the_publisher_is_cut_off():
    run_with_cut_publisher(seed=1)


def test_an_owner_that_relies_on_the_publisher_is_detected(monkeypatch):
    """Mutation: no owner reads the store in place of the publisher."""
    monkeypatch.setattr(ListReader, "_update_reading", lambda self: None)
    with pytest.raises(FleetRuleError, match=FleetRule.DRAINING):
        run_with_cut_publisher(seed=1)
