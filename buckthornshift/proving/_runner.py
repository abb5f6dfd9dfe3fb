"""Run seeds: each seed decides everything random in its run."""

import random

import attrs

from ..core import Invariant, InvariantError
from ._fake_callers import FakeCallers
from ._fault_injector import FaultInjector
from ._oracle import RunCounts
from ._plan import draw_plan
from ._simulation import Simulation

CHECK_INTERVAL_MS = 50.0


@attrs.frozen(kw_only=True)
class RunResult:
    """Outcome of one run.

    :param seed: its seed.
    :param violation: the invariant that broke, or ``None``.
    :param detail: what was seen.
    :param counts: the :class:`RunCounts`.
    :param fault_kinds: names of its faults.
    """

    seed: int = 0
    violation: Invariant | None = None
    detail: str = ""
    counts: RunCounts = RunCounts()
    fault_kinds: tuple[str, ...] = ()


def run_seed(seed, kinds=None, n_faults=None, core_settings=None):
    """Run one seed and return its result.

    :param seed: the seed.
    :param kinds: fault kinds to draw from; ``None`` for all.
    :param n_faults: number of faults; ``None`` to draw it.
    :param core_settings: settings of the cores; ``None`` for the defaults of runs.
    :returns: a :class:`RunResult`.
    """
    plan = draw_plan(random.Random(seed), seed, kinds, n_faults)
    return run_plan(plan, core_settings)


def run_plan(plan, core_settings=None):
    """Run a plan and return its :class:`RunResult`.

    :param plan: the :class:`RunPlan`.
    :param core_settings: settings of the cores; ``None`` for the defaults of runs.
    """
    simulation = Simulation(plan=plan, core_settings=core_settings)
    violation = None
    detail = ""
    try:
        _run_world(simulation)
    except InvariantError as error:
        violation = error.invariant
        detail = f"at {simulation.clock.now_ms:.1f} ms: {error}"
    return RunResult(
        seed=plan.seed,
        violation=violation,
        detail=detail,
        counts=simulation.oracle.count(len(plan.faults)),
        fault_kinds=tuple(fault.kind.value for fault in plan.faults),
    )


def _run_world(simulation):
    plan = simulation.plan
    callers = FakeCallers(simulation=simulation)
    simulation.start()
    callers.start()
    FaultInjector(simulation=simulation, callers=callers).start()
    simulation.trim_log()
    end_ms = plan.load_phase_ms + plan.settle_ms
    while simulation.clock.now_ms < end_ms:
        simulation.clock.run_until(simulation.clock.now_ms + CHECK_INTERVAL_MS)
        for node in simulation.entries:
            if node.is_up:
                simulation.oracle.check_catalogue_version(node)
        models = [s.model for s in simulation.servers if s.model is not None]
        simulation.oracle.record_owner_limit_excess(models)
    simulation.oracle.check_end(simulation)
