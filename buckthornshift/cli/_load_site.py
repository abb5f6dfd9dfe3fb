"""The ``load site`` commands: loads of a user's site on dispatching instances."""

import attrs
import click

from ..contracts import BuckthornshiftError
from ..documents import read_text
from ..load import write_result_file
from ..load.fleet import (
    parse_fleet_experiment,
    read_fleet_results,
    render_fleet_comparison,
    render_fleet_results,
    run_other_version,
)
from ._output import ExitCode, report_error
from ._result_commands import add_result_commands


@click.group()
def site():
    """Run the load of a user's site on dispatching instances, in virtual time."""


@site.command()
@click.argument("files", nargs=-1, required=True)
@click.option("--out", help="Write the results to this JSON file.")
@click.option("--seed", type=int, help="Override the seed of the experiment.")
@click.option("--against", help="Checkout of another version to compare with.")
@click.option(
    "--bound",
    is_flag=True,
    help="Compute the highest result that any dispatcher could reach.",
)
def run(files, out, seed, against, bound):
    """Run the experiments declared in FILES and compare their policies.

    Exit code 7 if an invariant was violated.
    """
    results = []
    try:
        for path in files:
            file_results = _run_file(path, seed, against, bound)
            click.echo(render_fleet_results(file_results))
            for result in file_results[1:]:
                click.echo("\n" + render_fleet_comparison(file_results[0], result))
            results.extend(file_results)
    except BuckthornshiftError as error:
        raise SystemExit(int(report_error(error))) from error
    if out:
        write_result_file(out, results)
    has_no_violations = not any(result.violation for result in results)
    raise SystemExit(int(ExitCode.OK if has_no_violations else ExitCode.VIOLATION))


def _run_file(path, seed, against, needs_bound):
    text = read_text(path)
    experiment = parse_fleet_experiment(text, path)
    if seed is not None:
        experiment = attrs.evolve(experiment, seed=seed)
    results = []
    if against is not None:
        results.extend(run_other_version(against, text, path, seed))
    results.extend(
        experiment.run(on_progress=lambda name: click.echo(f"running {name}", err=True))
    )
    if not needs_bound:
        return results
    from ..load.fleet._upper_bound import compute_upper_bound

    bound = compute_upper_bound(experiment.make_plans()[0])
    return [attrs.evolve(result, bound=bound) for result in results]


def _import_plot_function():
    from ..load.fleet._fleet_plot import draw_fleet_results

    return draw_fleet_results


add_result_commands(
    site,
    read_results=read_fleet_results,
    render_results=render_fleet_results,
    render_comparison=render_fleet_comparison,
    import_plot_function=_import_plot_function,
)
