"""Load while a partition of the zones heals, and both sides have an owner.

The sides reach each other's servers and instances again in any order. Guards against
owners that take the servers from each other in turn while the load goes on.
"""

import attrs
import pytest

from buckthornshift.dispatch import LogCode
from buckthornshift.dispatch._cells import Cells
from buckthornshift.dispatch._membership import Membership
from buckthornshift.proving.fleet import FleetPlan, FleetWorld
from buckthornshift.proving.fleet._callers import FleetCallers

CUT_MS = 4_000.0
HEAL_MS = 9_000.0
# Runs of the sides that give up go on; the longest takes some 2.5 s.
SETTLED_MS = 3_000.0
# What the second of the two, servers and instances, takes longer to be reached.
LAG_MS = 350.0
# Longest time without a start on the largest side, at some 50 starts a second.
MAX_GAP_MS = 150.0


@attrs.frozen(kw_only=True)
class Sides:
    """Sides of a partition.

    :param n_zones: number of zones, each with the same number of servers.
    :param n_isolated: number of zones that are cut off from all others.
    :param has_owner: whether the owner of all servers is in an isolated zone.
    """

    n_zones: int = 3
    n_isolated: int = 1
    has_owner: bool = True


class HealingFleet:
    """A fleet of 24 servers whose zones were partitioned for 5 s.

    :param sides: the :class:`Sides`.
    :param heals_first: "servers" or "instances", which the others reach first again;
        "both" for the same time; "one_way" if isolated zones hear the others first;
        "owner" if of the isolated instances only the owner hears the others at first.
    :param seed: seed of the run.
    """

    def __init__(self, sides, heals_first, seed=1):
        plan = FleetPlan(
            seed=seed,
            n_zones=sides.n_zones,
            n_instances=6,
            n_servers=24,
            jobs_per_s=60.0,
            busy_ms=20_000.0,
        )
        self.world = FleetWorld(plan=plan)
        self.logs = []
        self.world.on_log = self.record_log
        callers = FleetCallers(world=self.world)
        self.world.start()
        callers.start()
        self.world.clock.run_until(CUT_MS)
        self.isolate_zones(sides)
        self.world.clock.run_until(0.5 * (CUT_MS + HEAL_MS))
        if heals_first == "owner":
            # An instance that started later is preferred as owner.
            for instance in self.world.instances:
                if instance.zone in self.zones and not instance.core.cells.is_owner:
                    self.world.kill_instance(instance)
        self.world.clock.run_until(HEAL_MS)
        self.owners = [i for i in self.world.instances if i.core.cells.is_owner]
        self.n_stopped = self.world.oracle.counts.n_stopped
        self.n_lapsed = self.world.oracle.counts.n_lapsed
        self.heal(heals_first)
        self.world.clock.run_until(HEAL_MS + LAG_MS + SETTLED_MS)

    def isolate_zones(self, sides):
        names = sorted({instance.zone for instance in self.world.instances})
        owner_zone = self.world.find_owner().zone
        names.remove(owner_zone)
        names = [owner_zone, *names] if sides.has_owner else [*names, owner_zone]
        self.zones = set(names[: sides.n_isolated])
        self.world.network.faults.isolated_zones |= self.zones

    def heal(self, heals_first):
        world = self.world
        faults = world.network.faults
        faults.isolated_zones.clear()
        isolated = [i for i in world.instances if i.zone in self.zones]
        sources = {
            "owner": [i for i in isolated if i not in self.owners],
        }.get(heals_first, world.instances)
        targets = {
            "owner": world.instances,
            "servers": world.instances,
            "one_way": [i for i in world.instances if i.zone not in self.zones],
            "instances": list(world.servers_by_id.values()),
            "both": [],
        }[heals_first]
        pairs = {
            (instance.name, target.name)
            for instance in sources
            for target in targets
            if self.find_side(instance) != self.find_side(target)
        }
        faults.one_way_cuts |= pairs
        # A third instance would claim some 300 ms after the owner has given up.
        lag_ms = 3.0 * LAG_MS if heals_first == "owner" else LAG_MS
        world.clock.run_until(HEAL_MS + lag_ms * bool(pairs))
        faults.one_way_cuts -= pairs

    def find_side(self, machine):
        return machine.zone if machine.zone in self.zones else "rest"

    def record_log(self, instance, action):
        self.logs.append((self.world.clock.now_ms, instance, action))

    def list_after_heal(self, code, instance=None):
        """Return when events of a kind were logged after the heal."""
        return [
            now_ms - HEAL_MS
            for now_ms, source, action in self.logs
            if now_ms > HEAL_MS
            and getattr(action, "code", None) is code
            and instance in (None, source)
        ]

    def find_largest_gap(self, instance):
        """Return the longest time without a start of an instance after the heal."""
        starts = [0.0, *self.list_after_heal(LogCode.TASK_STARTED, instance)]
        ends = [*starts[1:], LAG_MS + SETTLED_MS]
        return max(end - start for start, end in zip(starts, ends, strict=True))


ONE_ZONE = Sides()
CASES = [
    (sides, heals_first)
    for sides in (
        ONE_ZONE,
        Sides(has_owner=False),
        Sides(n_zones=2),
        Sides(n_zones=2, has_owner=False),
        Sides(n_isolated=2),
    )
    for heals_first in ("both", "servers", "instances", "one_way", "owner")
]


@pytest.mark.parametrize(("sides", "heals_first"), CASES)
def test_servers_have_one_owner_again_without_a_fight(sides, heals_first):
    """Owners took servers from each other; others claimed them meanwhile."""
    fleet = HealingFleet(sides, heals_first)
    world = fleet.world
    owners = [i for i in world.instances if i.core.cells.is_owner]
    assert len(owners) == 1
    assert owners[0] in fleet.owners
    assert owners[0].core.fleet.count_owned() == len(world.servers_by_id)
    # The remaining owner may renew its claim once, for servers that refuse it.
    assert len(fleet.list_after_heal(LogCode.OWNER_CLAIMED)) <= 1
    assert world.oracle.counts.n_lapsed == fleet.n_lapsed


@pytest.mark.parametrize("heals_first", ["both", "servers", "instances", "one_way"])
@pytest.mark.parametrize("has_owner", [True, False])
def test_larger_side_starts_tasks_without_a_gap(has_owner, heals_first):
    """The owner of two thirds of the servers lost them, and others claimed."""
    fleet = HealingFleet(Sides(has_owner=has_owner), heals_first)
    (larger,) = [i for i in fleet.owners if i.zone not in fleet.zones]
    assert larger.core.cells.is_owner
    assert fleet.find_largest_gap(larger) <= MAX_GAP_MS
    assert fleet.list_after_heal(LogCode.OWNER_YIELDED, larger) == []


@pytest.mark.parametrize("sides", [ONE_ZONE, Sides(n_isolated=2)])
def test_claiming_regained_servers_at_once_is_detected(monkeypatch, sides):
    """Mutation: servers are claimed before the instances on their side are heard.

    With one isolated zone, contact that one side reports as lost is regained before the
    claims, so that the reaction to it is off there.
    """
    monkeypatch.setattr(Membership, "has_lost_instances", lambda self: False)
    if sides == ONE_ZONE:
        monkeypatch.setattr(Membership, "_check_own_losses", lambda self, peer: None)
    fleet = HealingFleet(sides, "servers")
    assert len(fleet.list_after_heal(LogCode.OWNER_CLAIMED)) > 1


def test_a_third_claim_is_detected(monkeypatch):
    """Mutation: instances claim a cell that another one has just given up."""
    monkeypatch.setattr(Cells, "has_unheard_owner", lambda self, cell: False)
    fleet = HealingFleet(ONE_ZONE, "owner")
    assert len(fleet.list_after_heal(LogCode.OWNER_CLAIMED)) > 1
