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
from ._result_commands import add_result_commands


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
    from ..load.fleet._upper_bound import compute_upper_bound

    bound = compute_upper_bound(experiment.make_plans()[0])
    return [attrs.evolve(result, bound=bound) for result in results]


def _load_draw():
    from ..load.fleet._fleet_plot import draw_fleet_results

    return draw_fleet_results


add_result_commands(
    site,
    read=read_fleet_results,
    render=render_fleet_results,
    render_pair=render_fleet_comparison,
    load_draw=_load_draw,
)
