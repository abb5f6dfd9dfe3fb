"""Compare orders of jobs under overload by what callers lose, in virtual time.

Prints, for each load and order, the share of the documented cost that is lost, the
service of the worst queue, that of the worst size class relative to its queue, and the
share of jobs that began and then failed.
"""

import concurrent.futures
import sys

import attrs

from buckthornshift.dispatch import DispatchSettings
from buckthornshift.dispatch import _queue_shares as queue_shares
from buckthornshift.dispatch._overload_cost import (
    LATE_LOSS,
    CostOrder,
    compute_loss_cost,
    compute_urgency,
)
from buckthornshift.load.fleet import (
    SITES_BY_NAME,
    FleetLoadPlan,
    FleetLoadSimulation,
    RequestOutcome,
    summarize,
)
from buckthornshift.load.fleet._records import group_records, make_size_classifier
from buckthornshift.load.fleet._traffic import QueueBurst

LENGTH_MS = 9_000.0
N_PROCESSES = 2
# Slack in which the order by deadline and density prefers the higher density.
CONFLICT_SLACK_MS = 20.0


def order_by_priority(order, job):
    """Order by priority, then by arrival."""
    return (job.queue.priority, job.arrived_ms)


def order_by_wspt(order, job):
    """Order by urgency alone (Smith's rule)."""
    return (-compute_urgency(job, order.context.now_ms), job.arrived_ms)


def order_by_deadline_and_density(order, job):
    """Order by latest start, and by urgency where jobs must start now."""
    now_ms = order.context.now_ms
    slack_ms = job.latest_start_ms - now_ms
    if slack_ms > CONFLICT_SLACK_MS:
        return (1, slack_ms)
    return (0 if slack_ms >= 0 else 2, -compute_urgency(job, now_ms))


def order_by_reservation(order, job):
    """Order by latest start within the usual share of each class."""
    return (not order.shares.is_below_guarantee(job), job.latest_start_ms)


# Function that makes the sort key, and the guaranteed part of the usual arrivals.
ORDERS = {
    "objective": None,
    "strict priority": (order_by_priority, 0.0),
    "priority over remaining work": (order_by_wspt, 0.0),
    "deadline, then density": (order_by_deadline_and_density, 0.0),
    "reservation of 0.9": (order_by_reservation, 0.9),
    "cost": (CostOrder.make_sort_key, queue_shares.GUARANTEED_FRACTION),
}
LOADS = {
    "burst of standard": ("skips-4th", 1.15, "standard"),
    "burst of long": ("skips-4th", 1.3, "long"),
    "burst of urgent": ("skips-4th", 1.4, "urgent"),
    "splits, burst of long": ("splits-4th", 1.8, "long"),
}


def run(load_name, order_name, seed):
    """Return the four figures of one order under one load."""
    site_name, load, burst_queue = LOADS[load_name]
    bursts = (QueueBurst(queue=burst_queue, factor=2.5, at_s=2.0, for_s=6.0),)
    settings = DispatchSettings()
    if ORDERS[order_name] is not None:
        CostOrder.make_sort_key, queue_shares.GUARANTEED_FRACTION = ORDERS[order_name]
        settings = attrs.evolve(settings, overload_order="cost")
    plan = FleetLoadPlan(
        site=SITES_BY_NAME[site_name],
        load=load,
        length_ms=LENGTH_MS,
        seed=seed,
        bursts=bursts if burst_queue else (),
        settings=settings,
    )
    return measure(plan.site, FleetLoadSimulation(plan=plan).run().records)


def measure(site, records):
    """Return lost share, worst queue, worst size class, and share of failed jobs."""
    priority_by_queue = {kind.name: kind.priority for kind in site.kinds}
    lost = total = 0.0
    for record in records:
        cost = compute_loss_cost(priority_by_queue[record.kind], record.size)
        total += cost
        if record.fate is RequestOutcome.LATE:
            lost += LATE_LOSS * cost
        elif record.fate is not RequestOutcome.IN_TIME:
            lost += cost
    classify = make_size_classifier(records)
    queue_shares_in_time, class_ratios = [], []
    for queue_records in group_records(records, lambda r: r.kind).values():
        share = summarize(queue_records).by_fate["in_time"]
        queue_shares_in_time.append(share)
        class_ratios.extend(
            summarize(group).by_fate["in_time"] / max(share, 1e-9)
            for group in group_records(queue_records, classify).values()
        )
    n_failed = sum(record.fate is RequestOutcome.FAILED for record in records)
    return (
        lost / total,
        min(queue_shares_in_time),
        min(class_ratios),
        n_failed / len(records),
    )


def main(seeds):
    """Run all orders under all loads, and print the means over some seeds."""
    tasks = [
        (load, order, seed) for load in LOADS for order in ORDERS for seed in seeds
    ]
    print(f"{'':<54}{'lost':>8}{'queue':>8}{'size':>8}{'failed':>8}")
    # Each run gets a process of its own, as it replaces the order in the class.
    with concurrent.futures.ProcessPoolExecutor(
        N_PROCESSES, max_tasks_per_child=1
    ) as pool:
        figures_of_task = list(pool.map(run, *zip(*tasks, strict=True)))
    for index in range(0, len(tasks), len(seeds)):
        load_name, order_name, _ = tasks[index]
        columns = zip(*figures_of_task[index : index + len(seeds)], strict=True)
        means = "".join(f"{sum(column) / len(seeds):>8.3f}" for column in columns)
        print(f"{load_name:<24}{order_name:<30}{means}")


if __name__ == "__main__":
    main([int(seed) for seed in sys.argv[1:]] or [1, 2])
