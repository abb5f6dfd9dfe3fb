"""Commands that run the load of a user's site on dispatching instances."""

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


@click.group()
def site():
    """Run the load of a user's site on dispatching instances, in virtual time."""


@site.command()
@click.argument("files", nargs=-1, required=True)
@click.option("--out", help="Write the results to this JSON file.")
@click.option("--seed", type=int, help="Use this seed instead of the declared one.")
@click.option("--against", help="Folder of another version: run it beside this one.")
@click.option("--bound", is_flag=True, help="Compute what no dispatcher can exceed.")
def run(files, out, seed, against, bound):
    """Run the experiments declared in FILES, and compare their policies.

    Exit code 7 if a promise was broken.
    """
    results = []
    try:
        for path in files:
            of_file = _run_file(path, seed, against, bound)
            click.echo(render_fleet_results(of_file))
            for result in of_file[1:]:
                click.echo("\n" + render_fleet_comparison(of_file[0], result))
            results.extend(of_file)
    except BuckthornshiftError as error:
        raise SystemExit(int(report_error(error))) from error
    if out:
        write_result_file(out, results)
    is_clean = not any(result.violation for result in results)
    raise SystemExit(int(ExitCode.OK if is_clean else ExitCode.VIOLATION))


@site.command()
@click.argument("before")
@click.argument("after")
def compare(before, after):
    """Set two result files side by side, run by run."""
    try:
        pairs = zip(read_fleet_results(before), read_fleet_results(after), strict=False)
    except BuckthornshiftError as error:
        raise SystemExit(int(report_error(error))) from error
    for first, second in pairs:
        click.echo(render_fleet_comparison(first, second))


@site.command()
@click.argument("results_file")
@click.option("--out", "folder", default="results", show_default=True)
@click.option("--format", "file_format", type=click.Choice(["png", "svg"]))
def report(results_file, folder, file_format):
    """Draw the results in RESULTS_FILE as pictures into a folder."""
    from ..load.fleet._fleet_plot import draw_fleet_results

    try:
        results = read_fleet_results(results_file)
    except BuckthornshiftError as error:
        raise SystemExit(int(report_error(error))) from error
    click.echo(render_fleet_results(results))
    for path in draw_fleet_results(results, folder, file_format or "png"):
        click.echo(str(path))


def _run_file(path, seed, against, is_bounded):
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
    if not is_bounded:
        return results
    from ..load.fleet._bound import compute_bound

    bound = compute_bound(experiment.make_plans()[0])
    return [attrs.evolve(result, bound=bound) for result in results]
