"""The ``fuzz`` command: randomised simulations checked by a test oracle."""

import time

import attrs
import click

from ..proving import FaultKind, run_seed
from ..proving.fleet import (
    FleetFault,
    run_busy_fleet_seed,
    run_cells_seed,
    run_cut_servers_seed,
    run_fleet_seed,
    run_held_cells_seed,
    run_series_seed,
)
from ._output import ExitCode, echo_json, output_option

# Counts whose total over all runs is the maximum; the others are summed.
COUNTS_MERGED_BY_MAX = ("max_over_limit",)


@attrs.frozen(kw_only=True)
class FuzzTarget:
    """A simulated system that ``fuzz`` can run.

    :param run: called with a seed, fault kinds and a number of faults; runs the
        simulation and returns its result.
    :param fault_kinds: enumeration of the faults that the simulation can inject.
    """

    run: object = None
    fault_kinds: object = None


FUZZ_TARGETS = {
    "claims": FuzzTarget(run=run_seed, fault_kinds=FaultKind),
    "fleet": FuzzTarget(run=run_fleet_seed, fault_kinds=FleetFault),
    "cells": FuzzTarget(run=run_cells_seed, fault_kinds=FleetFault),
    "held-cells": FuzzTarget(run=run_held_cells_seed, fault_kinds=FleetFault),
    "cut-servers": FuzzTarget(run=run_cut_servers_seed, fault_kinds=FleetFault),
    "series": FuzzTarget(run=run_series_seed, fault_kinds=FleetFault),
    "busy-fleet": FuzzTarget(run=run_busy_fleet_seed, fault_kinds=FleetFault),
}


@click.command()
@click.option(
    "--on",
    "world_name",
    type=click.Choice(list(FUZZ_TARGETS)),
    default="claims",
    show_default=True,
    help=(
        "System to simulate. claims: entry instances that claim jobs in the log; "
        "fleet: dispatching instances that own servers; "
        "cells: fleet with the servers divided into cells; "
        "held-cells: cells, where what a partition holds up arrives after it; "
        "cut-servers: fleet whose servers are cut off again and again; "
        "series: fleet with a series of faults of one kind, such as planned exits; "
        "busy-fleet: fleet where every event takes processor time."
    ),
)
@click.option("--start", default=0, show_default=True, help="First seed.")
@click.option(
    "--seeds", "n_seeds", default=100, show_default=True, help="Number of seeds."
)
@click.option(
    "--minutes", type=float, help="Run for this many minutes, ignoring --seeds."
)
@click.option(
    "--fault",
    "faults",
    multiple=True,
    help="Inject only faults of this kind; may be repeated.",
)
@click.option("--n-faults", type=int, help="Faults per run; default: random.")
@output_option
def fuzz(world_name, start, n_seeds, minutes, faults, n_faults, output):
    """Simulate random faults under a virtual clock and check every invariant.

    The seed of a failed run is printed; `fuzz --start SEED --seeds 1` with the same
    options replays it exactly. Exit code 7 if an invariant was violated.
    """
    target = FUZZ_TARGETS[world_name]
    kinds = _parse_faults(target, faults)
    total_counts = {}
    failures = []
    n_seeds_run = 0
    end_s = None if minutes is None else time.monotonic() + 60.0 * minutes
    seed = start
    while _has_next_seed(seed, start, n_seeds, end_s):
        result = target.run(seed, kinds, n_faults)
        n_seeds_run += 1
        _merge_counts(total_counts, attrs.asdict(result.counts))
        if result.violation is not None:
            failures.append(result)
            click.echo(
                f"seed {seed}: {result.violation.value}: {result.detail}", err=True
            )
        seed += 1
    if output == "json":
        echo_json(
            {
                "n_seeds": n_seeds_run,
                "counts": total_counts,
                "failed": [r.seed for r in failures],
            }
        )
    else:
        counts = ", ".join(
            f"{name.removeprefix('n_')} {count}" for name, count in total_counts.items()
        )
        click.echo(f"{n_seeds_run} seeds, {len(failures)} violations; {counts}")
    raise SystemExit(int(ExitCode.VIOLATION if failures else ExitCode.OK))


def _parse_faults(target, names):
    known_names = [kind.value for kind in target.fault_kinds]
    for name in names:
        if name not in known_names:
            raise click.BadParameter(
                f"got {name!r}, expected one of {', '.join(known_names)}",
                param_hint="--fault",
            )
    return [target.fault_kinds(name) for name in names] or None


def _has_next_seed(seed, start, n_seeds, end_s):
    if end_s is None:
        return seed < start + n_seeds
    return time.monotonic() < end_s


def _merge_counts(total_counts, counts):
    for name, value in counts.items():
        if name in COUNTS_MERGED_BY_MAX:
            total_counts[name] = max(total_counts.get(name, 0), value)
        else:
            total_counts[name] = total_counts.get(name, 0) + value
