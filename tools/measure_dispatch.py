"""Measure the cost of dispatching for an instance and write it to docs/slopes.json.

The dispatch cores run under a virtual clock. Measured are the real processor time that
owners and other instances spend inside their cores, and the memory of their state.
"""

import gc
import json
import pathlib
import time
import tracemalloc

from buckthornshift.proving.fleet import FleetPlan, FleetWorld
from buckthornshift.proving.fleet._callers import FleetCallers

POINTS_FILE = pathlib.Path(__file__).parent.parent / "docs" / "slopes.json"
WARM_UP_MS = 2_000.0
MEASURED_MS = 3_000.0
# Leaves spare capacity: about half of the slots are busy, as three tasks of 250 ms
# each fit on a server.
JOBS_PER_S_PER_SERVER = 0.6


class CpuTimer:
    """Measure the processor time inside the dispatch core of each instance.

    It wraps the event handler of each core.

    :param world: the :class:`~buckthornshift.proving.fleet.FleetWorld`, started.
    """

    def __init__(self, world=None):
        self.world = world
        self.cpu_ns_by_name = {}
        for instance in world.instances:
            instance.core.handle = self._time_handler(
                instance.name, instance.core.handle
            )

    def _time_handler(self, name, handle):
        def handle_timed(*args):
            start_ns = time.thread_time_ns()
            try:
                return handle(*args)
            finally:
                spent_ns = time.thread_time_ns() - start_ns
                self.cpu_ns_by_name[name] = self.cpu_ns_by_name.get(name, 0) + spent_ns

        return handle_timed

    def compute_core_share(self, names):
        """Return the mean share of a processor core that some instances used."""
        total_ns = sum(self.cpu_ns_by_name.get(name, 0) for name in names)
        return total_ns / len(names) / (MEASURED_MS * 1e6)


def measure(n_instances, n_servers, jobs_per_s):
    """Return the costs of one number of instances and servers, at one load."""
    plan = FleetPlan(
        seed=1,
        n_instances=n_instances,
        n_servers=n_servers,
        jobs_per_s=max(0.001, jobs_per_s),
        busy_ms=WARM_UP_MS + MEASURED_MS,
        inter_zone_delay_ms=0.5,
    )
    world = FleetWorld(plan=plan)
    callers = FleetCallers(world=world)
    world.start()
    if jobs_per_s:
        callers.start()
    world.clock.run_until(WARM_UP_MS)
    owners = [instance for instance in world.instances if instance.core.cells.is_owner]
    n_starts_before = count_starts(owners)
    timer = CpuTimer(world=world)
    world.clock.run_until(WARM_UP_MS + MEASURED_MS)
    others = [instance.name for instance in world.instances if instance not in owners]
    starts_per_s = (count_starts(owners) - n_starts_before) * 1e3 / MEASURED_MS
    return {
        "cells": owners[0].core.cells.n_cells,
        "owner_core": round(
            timer.compute_core_share([instance.name for instance in owners]), 5
        ),
        "other_core": round(timer.compute_core_share(others), 5),
        "starts_per_s": round(starts_per_s, 1),
    }


def count_starts(owners):
    """Return how many tasks some owners have dispatched to servers."""
    return sum(instance.core.context.counters.n_starts for instance in owners)


def measure_state(n_instances, n_servers):
    """Return the memory that the state of one idle instance takes, in bytes."""
    tracemalloc.start()
    plan = FleetPlan(seed=1, n_instances=n_instances, n_servers=n_servers)
    world = FleetWorld(plan=plan)
    FleetCallers(world=world)
    world.start()
    world.clock.run_until(WARM_UP_MS)
    gc.collect()
    bytes_before = tracemalloc.get_traced_memory()[0]
    world.instances[-1].core = None
    gc.collect()
    bytes_after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return bytes_before - bytes_after


def main():
    """Measure every size and add the points to those of the other tools."""
    points = json.loads(POINTS_FILE.read_text())
    points["dispatch_peers"] = [
        {"size": n, **measure(n, 24, 0.0), "state_bytes": measure_state(n, 24)}
        for n in (9, 23, 46, 92, 184)
    ]
    points["dispatch_servers"] = [
        {"size": n, **measure(5, n, 0.0), "state_bytes": measure_state(5, n)}
        for n in (24, 96, 192)
    ]
    points["dispatch_starts"] = [
        {"servers": n, **measure(6, n, JOBS_PER_S_PER_SERVER * n)}
        for n in (24, 96, 192, 384, 768)
    ]
    for point in points["dispatch_starts"]:
        point["size"] = point["starts_per_s"]
    POINTS_FILE.write_text(json.dumps(points, indent=1) + "\n")
    print(json.dumps({k: v for k, v in points.items() if k.startswith("dispatch")}))


if __name__ == "__main__":
    main()
