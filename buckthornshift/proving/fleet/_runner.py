"""Run simulations from seeds; a seed determines everything that happens in its run."""

import random

import attrs

from ...dispatch import DispatchSettings
from ._callers import FleetCallers
from ._faults import FleetFaultInjector
from ._oracle import FleetCounts, FleetRule, FleetRuleError
from ._plan import (
    FleetFault,
    PlannedFault,
    add_sequences,
    draw_cut_servers_plan,
    draw_fleet_plan,
    draw_series_plan,
)
from ._world import FleetWorld

CHECK_INTERVAL_MS = 100.0
# Former seeds keep their course.
FIRST_SEED_WITH_SEQUENCES = 10_000_000


@attrs.frozen(kw_only=True)
class FleetResult:
    """Result of one run.

    :param seed: seed of the run.
    :param violation: the violated :class:`FleetRule`, or ``None``.
    :param detail: when it was violated and what was observed.
    :param counts: the :class:`FleetCounts`.
    :param fault_kinds: names of the faults in the plan.
    """

    seed: int = 0
    violation: FleetRule | None = None
    detail: str = ""
    counts: FleetCounts = FleetCounts()
    fault_kinds: tuple[str, ...] = ()


# Processor time per event, from negligible to more than an owner can keep up with.
EVENT_DURATIONS_MS = (0.5, 1.0, 2.0, 4.0)


def run_busy_fleet_seed(seed, kinds=None, n_faults=None):
    """Run one seed on instances that need processor time for every event.

    :param seed: the seed; it also selects the processor time.
    :param kinds: fault kinds to draw from; ``None`` for all.
    :param n_faults: number of faults; ``None`` to draw it.
    """
    plan = draw_fleet_plan(random.Random(seed), seed, kinds, n_faults)
    event_ms = random.Random(seed + 1).choice(EVENT_DURATIONS_MS)
    return run_fleet_plan(attrs.evolve(plan, event_ms=event_ms))


# Thresholds low enough that a dozen instances and two dozen servers count as many.
CELL_SERVERS = (2, 3, 6)
FEW_INSTANCES = (2, 4, 40)
N_HUBS = (2, 3)
GROW_AFTER_MS = (100.0, 1_000.0)
MAX_ADDED_SERVERS = 4


def run_held_cells_seed(seed, kinds=None, n_faults=None):
    """Run one seed on cells, with partitions that hold messages up, as TCP does.

    :param seed: the seed; it also selects the settings of the cells.
    :param kinds: fault kinds to draw from; ``None`` for all.
    :param n_faults: number of faults; ``None`` to draw it.
    """
    return run_cells_seed(seed, kinds, n_faults, holds_cut_messages=True)


def run_cells_seed(seed, kinds=None, n_faults=None, holds_cut_messages=False):
    """Run one seed on servers that are divided into cells.

    :param seed: the seed; it also selects the settings of the cells.
    :param kinds: fault kinds to draw from; ``None`` for all.
    :param n_faults: number of faults; ``None`` to draw it.
    :param holds_cut_messages: whether partitions hold messages between instances up.
    """
    plan = draw_fleet_plan(random.Random(seed), seed, kinds, n_faults)
    random_state = random.Random(seed + 1)
    settings = DispatchSettings(
        cell_servers=random_state.choice(CELL_SERVERS),
        few_instances=random_state.choice(FEW_INSTANCES),
        n_hubs=random_state.choice(N_HUBS),
        grow_after_ms=random_state.choice(GROW_AFTER_MS),
    )
    n_instances = plan.n_instances + random_state.randint(0, 5)
    n_servers = plan.n_servers + random_state.randint(0, 12)
    added_servers = [
        PlannedFault(
            kind=FleetFault.SERVER_ADDED,
            start_ms=random_state.uniform(0.0, plan.busy_ms),
        )
        for _ in range(random_state.randint(0, MAX_ADDED_SERVERS))
    ]
    plan = attrs.evolve(
        plan,
        n_instances=n_instances,
        n_servers=n_servers,
        faults=(*plan.faults, *added_servers),
        holds_cut_messages=holds_cut_messages,
    )
    return run_fleet_plan(plan, settings)


def run_cut_servers_seed(seed, kinds=None, n_faults=None):
    """Run one seed in which servers are cut off again and again.

    :param seed: the seed.
    :param kinds: kinds of further faults to draw from; ``None`` for all.
    :param n_faults: number of further faults; ``None`` to draw it.
    """
    plan = draw_cut_servers_plan(random.Random(seed), seed, kinds, n_faults)
    return run_fleet_plan(plan)


def run_series_seed(seed, kinds=None, n_faults=None):
    """Run one seed with a series of faults of one kind, under long jobs.

    :param seed: the seed.
    :param kinds: kinds to draw that of the series from; ``None`` for all.
    :param n_faults: number of faults in the series; ``None`` to draw it.
    """
    return run_fleet_plan(draw_series_plan(random.Random(seed), seed, kinds, n_faults))


def run_fleet_seed(seed, kinds=None, n_faults=None, settings=None, on_log=None):
    """Run one seed and return its :class:`FleetResult`.

    :param seed: the seed.
    :param kinds: fault kinds to draw from; ``None`` for all.
    :param n_faults: number of faults; ``None`` to draw it.
    :param settings: the :class:`~buckthornshift.dispatch.DispatchSettings`.
    :param on_log: called with the instance and each action that is a log line; may be
        ``None``.
    """
    random_state = random.Random(seed)
    plan = draw_fleet_plan(random_state, seed, kinds, n_faults)
    if kinds is None and n_faults is None and seed >= FIRST_SEED_WITH_SEQUENCES:
        plan = add_sequences(plan, random_state)
    return run_fleet_plan(plan, settings, on_log)


def run_fleet_plan(plan, settings=None, on_log=None):
    """Run a plan and return its :class:`FleetResult`.

    :param plan: the :class:`FleetPlan`.
    :param settings: the :class:`~buckthornshift.dispatch.DispatchSettings`.
    :param on_log: called with the instance and each action that is a log line; may be
        ``None``.
    """
    world = FleetWorld(plan=plan, settings=settings)
    world.on_log = on_log
    violation = None
    detail = ""
    try:
        _run_world(world)
    except FleetRuleError as error:
        violation = error.rule
        detail = f"at {world.clock.now_ms:.1f} ms: {error}"
    return FleetResult(
        seed=plan.seed,
        violation=violation,
        detail=detail,
        counts=world.oracle.counts,
        fault_kinds=tuple(fault.kind.value for fault in plan.faults),
    )


def _run_world(world):
    plan = world.plan
    callers = FleetCallers(world=world)
    world.start()
    world.completion_watch.start()
    callers.start()
    FleetFaultInjector(world=world, callers=callers).start()
    end_ms = plan.busy_ms + plan.settle_ms
    while world.clock.now_ms < end_ms:
        world.clock.run_until(world.clock.now_ms + CHECK_INTERVAL_MS)
        for instance in world.instances:
            if instance.core is not None:
                version = instance.core.context.configuration.version
                world.oracle.record_configuration_version(instance.key, version)
    world.oracle.check_final_state()
