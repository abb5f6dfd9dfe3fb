"""Compare multiples of the objective up to which jobs are served late.

Prints, for each load in virtual time, the shares of jobs that were served in time,
late, refused and failed, and the credit: a late job counts a fifth.
"""

import concurrent.futures
import sys

import attrs

from buckthornshift.dispatch import DispatchSettings
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
SITE = attrs.evolve(SITES_BY_NAME["treasury"], n_instances=6)
ALL_QUEUES = tuple(kind.name for kind in SITE.kinds)


def _burst(factor, at_s, for_s, queues=ALL_QUEUES):
    return tuple(
        QueueBurst(queue=queue, factor=factor, at_s=at_s, for_s=for_s)
        for queue in queues
    )


# Load, bursts, faults and length in ms.
LOADS = {
    "usual": (0.6, (), (), 12_000.0),
    "burst of 1.8 for 4 s": (0.7, _burst(1.8, 3, 4), (), 12_000.0),
    "burst of long jobs": (0.7, _burst(2.5, 3, 6, ALL_QUEUES[1:2]), (), 14_000.0),
    "a third of servers lost": (
        0.8,
        (),
        tuple(
            PlannedFault(
                kind=FleetFault.SERVER_CRASH,
                start_ms=3_000.0,
                length_ms=2_000.0,
                target=index,
            )
            for index in range(8)
        ),
        12_000.0,
    ),
    "1.2 times the room": (1.2, (), (), 20_000.0),
    "twice the room": (2.0, (), (), 20_000.0),
}
MAX_LATENESSES = (1.0, 2.0, 3.0, 6.0)


def run(load_name, max_lateness, seed):
    """Return the shares in time, late, refused and failed, and the credit."""
    load, bursts, faults, length_ms = LOADS[load_name]
    plan = FleetLoadPlan(
        site=SITE,
        load=load,
        length_ms=length_ms,
        seed=seed,
        bursts=bursts,
        faults=faults,
        settings=DispatchSettings(max_lateness=max_lateness),
    )
    records = FleetLoadSimulation(plan=plan).run().records
    share_by_fate = {
        fate: sum(r.fate is fate for r in records) / len(records)
        for fate in RequestOutcome
    }
    weight = sum(r.size for r in records)
    credit = sum(
        r.size
        * {RequestOutcome.IN_TIME: 1.0, RequestOutcome.LATE: LATE_CREDIT}.get(r.fate, 0)
        for r in records
    )
    return (
        share_by_fate[RequestOutcome.IN_TIME],
        share_by_fate[RequestOutcome.LATE],
        share_by_fate[RequestOutcome.REFUSED],
        share_by_fate[RequestOutcome.FAILED],
        credit / weight,
    )


def main(seeds):
    """Run all multiples under all loads, and print the means over some seeds."""
    tasks = [
        (load, lateness, seed)
        for load in LOADS
        for lateness in MAX_LATENESSES
        for seed in seeds
    ]
    print(f"{'':<32}{'in time':>9}{'late':>9}{'refused':>9}{'failed':>9}{'credit':>9}")
    with concurrent.futures.ProcessPoolExecutor(
        N_PROCESSES, max_tasks_per_child=1
    ) as pool:
        figures_of_task = list(pool.map(run, *zip(*tasks, strict=True)))
    for index in range(0, len(tasks), len(seeds)):
        load_name, max_lateness, _ = tasks[index]
        columns = zip(*figures_of_task[index : index + len(seeds)], strict=True)
        means = "".join(f"{sum(column) / len(seeds):>9.3f}" for column in columns)
        print(f"{load_name:<26}{max_lateness:<6}{means}")


if __name__ == "__main__":
    main([int(seed) for seed in sys.argv[1:]] or [1, 2])
