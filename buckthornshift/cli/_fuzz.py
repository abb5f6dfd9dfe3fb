"""The ``fuzz`` command: randomised runs with an oracle."""

import time

import attrs
import click

from ..proving import FaultKind, run_seed
from ..proving.fleet import (
    FleetFault,
    run_busy_fleet_seed,
    run_cells_seed,
    run_fleet_seed,
)
from ._output import ExitCode, echo_json, output_option

# Counts that are maxima over the runs, not sums.
MAXIMA = ("max_over_limit",)


@attrs.frozen(kw_only=True)
class World:
    """What can be run at random.

    :param run: runs a seed.
    :param fault_kinds: the faults that it knows.
    """

    run: object = None
    fault_kinds: object = None


WORLDS = {
    "claims": World(run=run_seed, fault_kinds=FaultKind),
    "fleet": World(run=run_fleet_seed, fault_kinds=FleetFault),
    "cells": World(run=run_cells_seed, fault_kinds=FleetFault),
    "busy-fleet": World(run=run_busy_fleet_seed, fault_kinds=FleetFault),
}


@click.command()
@click.option(
    "--on",
    "world_name",
    type=click.Choice(list(WORLDS)),
    default="claims",
    show_default=True,
    help=(
        "claims: entry instances with claims; fleet: dispatch to owned servers; "
        "cells: the same with servers divided into cells; "
        "busy-fleet: the same where every event takes processor time."
    ),
)
@click.option("--start", default=0, show_default=True, help="First seed.")
@click.option("--seeds", "n_seeds", default=100, show_default=True, help="Seeds.")
@click.option("--minutes", type=float, help="Run for this long instead.")
@click.option("--fault", "faults", multiple=True, help="Draw only these faults.")
@click.option("--n-faults", type=int, help="Faults a run; default: drawn.")
@output_option
def fuzz(world_name, start, n_seeds, minutes, faults, n_faults, output):
    """Run seeds of mixed faults under a virtual clock and check every promise.

    A failure prints its seed; `fuzz --start SEED --seeds 1` with the same options
    replays it exactly. Exit code 7 if a promise was broken.
    """
    world = WORLDS[world_name]
    kinds = _parse_faults(world, faults)
    total = {}
    failures = []
    n_run = 0
    end_s = None if minutes is None else time.monotonic() + 60.0 * minutes
    seed = start
    while _is_going_on(seed, start, n_seeds, end_s):
        result = world.run(seed, kinds, n_faults)
        n_run += 1
        _add_counts(total, attrs.asdict(result.counts))
        if result.violation is not None:
            failures.append(result)
            click.echo(
                f"seed {seed}: {result.violation.value}: {result.detail}", err=True
            )
        seed += 1
    if output == "json":
        echo_json(
            {"n_seeds": n_run, "counts": total, "failed": [r.seed for r in failures]}
        )
    else:
        counts = ", ".join(
            f"{name.removeprefix('n_')} {count}" for name, count in total.items()
        )
        click.echo(f"{n_run} seeds, {len(failures)} violations; {counts}")
    raise SystemExit(int(ExitCode.VIOLATION if failures else ExitCode.OK))


def _parse_faults(world, names):
    known = [kind.value for kind in world.fault_kinds]
    for name in names:
        if name not in known:
            raise click.BadParameter(
                f"got {name!r}, expected one of {', '.join(known)}",
                param_hint="--fault",
            )
    return [world.fault_kinds(name) for name in names] or None


def _is_going_on(seed, start, n_seeds, end_s):
    if end_s is None:
        return seed < start + n_seeds
    return time.monotonic() < end_s


def _add_counts(total, counts):
    for name, value in counts.items():
        if name in MAXIMA:
            total[name] = max(total.get(name, 0), value)
        else:
            total[name] = total.get(name, 0) + value
