"""Measure what dispatching costs an instance and write it into docs/slopes.json.

Cores run under the virtual clock; what is measured is the processor time inside them,
by role, and the memory that their state takes.
"""

import gc
import json
import pathlib
import time
import tracemalloc

from buckthornshift.proving.fleet import FleetPlan, FleetWorld
from buckthornshift.proving.fleet._callers import FleetCallers

SLOPES = pathlib.Path(__file__).parent.parent / "docs" / "slopes.json"
SETTLED_MS = 2_000.0
MEASURED_MS = 3_000.0
# Load that leaves room: half of the slots of three tasks a server, 250 ms each.
JOBS_PER_SERVER_S = 0.6


class Meter:
    """Processor time inside the cores of a world, by instance.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        self.ns_by_name = {}
        for instance in world.instances:
            instance.core.handle = self._wrap(instance.name, instance.core.handle)

    def _wrap(self, name, handle):
        def timed(*args):
            start_ns = time.thread_time_ns()
            try:
                return handle(*args)
            finally:
                spent_ns = time.thread_time_ns() - start_ns
                self.ns_by_name[name] = self.ns_by_name.get(name, 0) + spent_ns

        return timed

    def read_core(self, names):
        """Return the mean part of a core that some instances use."""
        total_ns = sum(self.ns_by_name.get(name, 0) for name in names)
        return total_ns / len(names) / (MEASURED_MS * 1e6)


def measure(n_instances, n_servers, jobs_per_s):
    """Return the costs of one size."""
    plan = FleetPlan(
        seed=1,
        n_instances=n_instances,
        n_servers=n_servers,
        jobs_per_s=max(0.001, jobs_per_s),
        busy_ms=SETTLED_MS + MEASURED_MS,
        inter_zone_delay_ms=0.5,
    )
    world = FleetWorld(plan=plan)
    callers = FleetCallers(world=world)
    world.start()
    if jobs_per_s:
        callers.start()
    world.clock.run_until(SETTLED_MS)
    owners = [n for n in world.instances if n.core.cells.is_owner]
    n_starts = count_starts(owners)
    meter = Meter(world=world)
    world.clock.run_until(SETTLED_MS + MEASURED_MS)
    others = [instance.name for instance in world.instances if instance not in owners]
    starts_per_s = (count_starts(owners) - n_starts) * 1e3 / MEASURED_MS
    return {
        "cells": owners[0].core.cells.n_cells,
        "owner_core": round(meter.read_core([instance.name for instance in owners]), 5),
        "other_core": round(meter.read_core(others), 5),
        "starts_per_s": round(starts_per_s, 1),
    }


def count_starts(owners):
    """Return how many starts some instances have ordered."""
    return sum(instance.core.context.counters.n_starts for instance in owners)


def measure_state(n_instances, n_servers):
    """Return the bytes that the state of one idle instance takes."""
    tracemalloc.start()
    plan = FleetPlan(seed=1, n_instances=n_instances, n_servers=n_servers)
    world = FleetWorld(plan=plan)
    FleetCallers(world=world)
    world.start()
    world.clock.run_until(SETTLED_MS)
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    world.instances[-1].core = None
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return before - after


def main():
    """Measure every size and write the points."""
    points = json.loads(SLOPES.read_text())
    points["dispatch_peers"] = [
        {"size": n, **measure(n, 24, 0.0), "state_bytes": measure_state(n, 24)}
        for n in (9, 23, 46, 92, 184)
    ]
    points["dispatch_servers"] = [
        {"size": n, **measure(5, n, 0.0), "state_bytes": measure_state(5, n)}
        for n in (24, 96, 192)
    ]
    points["dispatch_starts"] = [
        {"servers": n, **measure(6, n, JOBS_PER_SERVER_S * n)}
        for n in (24, 96, 192, 384, 768)
    ]
    for point in points["dispatch_starts"]:
        point["size"] = point["starts_per_s"]
    SLOPES.write_text(json.dumps(points, indent=1) + "\n")
    print(json.dumps({k: v for k, v in points.items() if k.startswith("dispatch")}))


if __name__ == "__main__":
    main()
