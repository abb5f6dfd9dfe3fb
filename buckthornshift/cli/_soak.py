"""The ``soak`` command: fault injection into real processes under load."""

import asyncio
import signal

import attrs
import click

from ..proving.soak import SoakTest, render_soak_table
from ._output import ExitCode, echo_json, output_option


@click.command()
@click.option("--seed", "first_seed", default=0, show_default=True, help="First seed.")
@click.option(
    "--seeds", "n_seeds", default=1, show_default=True, help="Number of seeds."
)
@click.option("--seconds", default=10.0, show_default=True, help="Length of a run.")
@click.option("--instances", default=3, show_default=True)
@click.option("--servers", default=6, show_default=True)
@click.option("--jobs-per-s", default=15.0, show_default=True)
@click.option(
    "--cell-servers",
    default=256,
    show_default=True,
    help="Maximum number of servers per owner.",
)
@output_option
def soak(
    first_seed, n_seeds, seconds, instances, servers, jobs_per_s, cell_servers, output
):
    """Run processes on loopback, kill, stop and pause them, and check invariants.

    The seed determines the jobs and the faults; process timing still varies between
    runs. The folder of the logs is printed; each violation is written there to
    violations.json. Exit code 7 if an invariant was violated.
    """
    reports = []
    for seed in range(first_seed, first_seed + n_seeds):
        run = SoakTest(
            seed=seed,
            seconds=seconds,
            n_instances=instances,
            n_servers=servers,
            jobs_per_s=jobs_per_s,
            cell_servers=cell_servers,
        )
        try:
            report = asyncio.run(_run_until_sigterm(run))
        except asyncio.CancelledError:
            raise click.Abort() from None
        reports.append(report)
        if output == "json":
            echo_json(attrs.asdict(report))
            continue
        click.echo(
            f"seed {seed}: {report.n_jobs} jobs, answers {report.n_by_status}, "
            f"faults {report.n_by_fault}, {len(report.violations)} violations, "
            f"logs in {report.folder}"
        )
        for violation in report.violations:
            click.echo(f"  {violation}", err=True)
    if output != "json":
        click.echo(render_soak_table(reports))
    has_violations = any(report.violations for report in reports)
    raise SystemExit(int(ExitCode.VIOLATION if has_violations else ExitCode.OK))


async def _run_until_sigterm(run):
    """Run a soak test; SIGTERM cancels it so that it ends its processes first."""
    task = asyncio.ensure_future(run.run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
