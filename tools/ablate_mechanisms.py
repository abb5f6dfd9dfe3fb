"""Switch off mechanisms of dispatching one by one, in virtual time.

Prints for each load how much credit callers lose without a mechanism, in hundredths: a
job in time counts by its size, a late one a fifth of that. A negative figure is a gain.
Each run replaces methods in a process of its own.
"""

import concurrent.futures
import sys

import attrs

from buckthornshift.dispatch import DispatchSettings
from buckthornshift.dispatch._adaptive_timeout import AdaptiveTimeout
from buckthornshift.dispatch._admission import AdmissionController, ObjectiveOrder
from buckthornshift.dispatch._duration_estimator import DurationEstimator
from buckthornshift.dispatch._load_shedding import LoadShedder
from buckthornshift.dispatch._overload_cost import make_objective_sort_key
from buckthornshift.dispatch._run_adoption import RunAdoption
from buckthornshift.dispatch._runs import RunTracker
from buckthornshift.dispatch._scheduler import TaskScheduler
from buckthornshift.dispatch._server_speeds import ServerSpeeds
from buckthornshift.load.fleet import (
    SITES_BY_NAME,
    FleetLoadPlan,
    FleetLoadSimulation,
    RequestOutcome,
)
from buckthornshift.load.fleet._traffic import QueueBurst
from buckthornshift.proving.fleet import FleetFault, PlannedFault

LATE_CREDIT = 0.2
N_PROCESSES = 3
LENGTH_MS = 9_000.0
FAULT_MS = 2_000.0


def _skip(*args, **kwargs):
    """Do nothing, in place of a mechanism."""


def _order_without_protection(order, job):
    return make_objective_sort_key(job, order.context.now_ms)


# What is replaced without each mechanism; none for those that are settings.
PATCHES = {
    "all on": (),
    "late service": (),
    "check of the queue": ((TaskScheduler, "_refuse_hopeless", _skip),),
    "begun jobs first": ((ObjectiveOrder, "make_sort_key", _order_without_protection),),
    "admission": ((AdmissionController, "check", _skip),),
    "correction of estimates": (
        (DurationEstimator, "get_correction", lambda self, queue_name: 1.0),
    ),
    "server speeds": ((ServerSpeeds, "record_run", _skip),),
    "suspicion": ((RunTracker, "_mark_suspect", _skip),),
    "stall detection": (
        (RunTracker, "_compute_stall_timeout_ms", lambda self, run: float("inf")),
    ),
    "adaptive time-outs": (
        (AdaptiveTimeout, "get_timeout_ms", lambda self: self.max_ms),
    ),
    "shedding by lag": ((LoadShedder, "check", _skip),),
    "adoption": ((RunAdoption, "_adopt", _skip),),
}


def _make_faults(kind, n_targets=1, length_ms=4_000.0):
    return tuple(
        PlannedFault(kind=kind, start_ms=FAULT_MS, length_ms=length_ms, target=index)
        for index in range(n_targets)
    )


def _make_bursts(site_name, factor):
    return tuple(
        QueueBurst(queue=kind.name, factor=factor, at_s=2, for_s=4)
        for kind in SITES_BY_NAME[site_name].kinds
    )


# Site, load, bursts, faults and processor time in ms per event.
LOADS = {
    "burst": ("treasury", 0.7, _make_bursts("treasury", 1.8), (), 0.0),
    "twice": ("treasury", 2.0, (), (), 0.0),
    "lost": ("treasury", 0.8, (), _make_faults(FleetFault.SERVER_CRASH, 8), 0.0),
    "slow": ("treasury", 0.6, (), _make_faults(FleetFault.SERVER_SLOW, 4), 0.0),
    "fails": ("treasury", 0.6, (), _make_faults(FleetFault.SERVER_FAILS, 3), 0.0),
    "hangs": ("treasury", 0.6, (), _make_faults(FleetFault.SERVER_HANGS, 3), 0.0),
    "late": ("treasury", 0.6, (), _make_faults(FleetFault.COMMANDS_LATE), 0.0),
    "stops": ("treasury", 0.6, (), _make_faults(FleetFault.ROLLING_STOP), 0.0),
    "crash": ("treasury", 0.6, (), _make_faults(FleetFault.OWNER_CRASH), 0.0),
    "busy": ("treasury", 1.0, (), (), 0.5),
    "uneven": ("splits-4th", 1.0, (), (), 0.0),
}


def run(load_name, mechanism, seed):
    """Return the credit without a mechanism, as a share of what was asked for."""
    for owner, name, replacement in PATCHES[mechanism]:
        setattr(owner, name, replacement)
    site_name, load, bursts, faults, event_ms = LOADS[load_name]
    max_lateness = 1.0 if mechanism == "late service" else 3.0
    plan = FleetLoadPlan(
        site=attrs.evolve(SITES_BY_NAME[site_name], n_instances=6),
        load=load,
        length_ms=LENGTH_MS,
        seed=seed,
        bursts=bursts,
        faults=faults,
        event_ms=event_ms,
        settings=DispatchSettings(max_lateness=max_lateness),
    )
    records = FleetLoadSimulation(plan=plan).run().records
    credit_by_fate = {RequestOutcome.IN_TIME: 1.0, RequestOutcome.LATE: LATE_CREDIT}
    credit = sum(r.size * credit_by_fate.get(r.fate, 0.0) for r in records)
    return credit / sum(r.size for r in records)


def main(seeds):
    """Print the credit of all mechanisms together, and the loss without each."""
    tasks = [(load, name, seed) for load in LOADS for name in PATCHES for seed in seeds]
    with concurrent.futures.ProcessPoolExecutor(
        N_PROCESSES, max_tasks_per_child=1
    ) as pool:
        credits = list(pool.map(run, *zip(*tasks, strict=True)))
    mean_by_task = {
        tasks[index][:2]: sum(credits[index : index + len(seeds)]) / len(seeds)
        for index in range(0, len(tasks), len(seeds))
    }
    print(f"{'':<26}" + "".join(f"{load:>8}" for load in LOADS))
    base_by_load = {load: mean_by_task[load, "all on"] for load in LOADS}
    print(f"{'credit':<26}" + "".join(f"{base_by_load[k]:>8.3f}" for k in LOADS))
    for name in list(PATCHES)[1:]:
        losses = (100.0 * (base_by_load[k] - mean_by_task[k, name]) for k in LOADS)
        print(f"{name:<26}" + "".join(f"{loss:>8.1f}" for loss in losses))


if __name__ == "__main__":
    main([int(seed) for seed in sys.argv[1:]] or [1, 2, 3])
