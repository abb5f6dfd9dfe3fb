"""The ``fuzz`` command: randomised runs with an oracle."""

import time

import attrs
import click

from ..proving import FaultKind, RunCounts, run_seed
from ._output import ExitCode, echo_json, output_option


@click.command()
@click.option("--start", default=0, show_default=True, help="First seed.")
@click.option("--seeds", "n_seeds", default=100, show_default=True, help="Seeds.")
@click.option("--minutes", type=float, help="Run for this long instead.")
@click.option(
    "--fault",
    "faults",
    type=click.Choice([kind.value for kind in FaultKind]),
    multiple=True,
    help="Draw only these faults.",
)
@click.option("--n-faults", type=int, help="Faults a run; default: drawn.")
@output_option
def fuzz(start, n_seeds, minutes, faults, n_faults, output):
    """Run seeds of mixed faults under a virtual clock and check every promise.

    A failure prints its seed; `fuzz --start SEED --seeds 1` with the same options
    replays it exactly. Exit code 7 if a promise was broken.
    """
    kinds = [FaultKind(name) for name in faults] or None
    total = RunCounts()
    failures = []
    n_run = 0
    end_s = None if minutes is None else time.monotonic() + 60.0 * minutes
    seed = start
    while _is_going_on(seed, start, n_seeds, end_s):
        result = run_seed(seed, kinds, n_faults)
        n_run += 1
        total = _add_counts(total, result.counts)
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
            f"{name.removeprefix('n_')} {count}"
            for name, count in attrs.asdict(total).items()
        )
        click.echo(f"{n_run} seeds, {len(failures)} violations; {counts}")
    raise SystemExit(int(ExitCode.VIOLATION if failures else ExitCode.OK))


def _is_going_on(seed, start, n_seeds, end_s):
    if end_s is None:
        return seed < start + n_seeds
    return time.monotonic() < end_s


def _add_counts(first, second):
    summed = {
        name: value + getattr(second, name)
        for name, value in attrs.asdict(first).items()
    }
    summed["max_over_limit"] = max(first.max_over_limit, second.max_over_limit)
    return RunCounts(**summed)
