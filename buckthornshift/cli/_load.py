"""Commands that run loads and report on them."""

import attrs
import click

from ..contracts import BuckthornshiftError
from ..documents import read_text
from ..load import (
    ExternalSystem,
    make_runs,
    parse_experiment,
    read_results,
    render_comparison,
    render_results,
    write_result_file,
)
from ._load_site import site
from ._output import (
    AddressType,
    ExitCode,
    echo_json,
    output_option,
    report_error,
    run_async,
)


@click.group()
def load():
    """Run declared loads on a system over loopback or a virtual clock."""


load.add_command(site)


@load.command()
@click.argument("files", nargs=-1, required=True)
@click.option("--out", help="Write the results to this JSON file.")
@click.option("--seed", type=int, help="Use this seed instead of the declared one.")
@click.option("--clock", type=click.Choice(["virtual", "real"]), help="Override.")
@click.option(
    "--platform",
    type=AddressType(),
    help="Run on the separate processes that this platform lists.",
)
@output_option
@run_async
async def run(files, out, seed, clock, platform, output):
    """Run the experiments declared in FILES.

    Exit code 7 if an answer was not whole, own and single.
    """
    results = []
    for path in files:
        experiment = parse_experiment(read_text(path), path)
        if seed is not None:
            experiment = attrs.evolve(experiment, seed=seed)
        if clock is not None:
            experiment = attrs.evolve(experiment, clock=clock)
        if platform is not None:
            experiment = attrs.evolve(experiment, clock="real", policies=("default",))
        for load_run in make_runs(experiment):
            if platform is not None:
                load_run.system = ExternalSystem(platform=platform)
            results.append(await _run_one(load_run))
    if out:
        write_result_file(out, results)
    if output == "json":
        echo_json(results)
    else:
        click.echo(render_results(results))
    is_clean = not any(result.n_violations for result in results)
    return ExitCode.OK if is_clean else ExitCode.VIOLATION


@load.command()
@click.argument("before")
@click.argument("after")
def compare(before, after):
    """Set two result files side by side, run by run."""
    try:
        pairs = list(zip(read_results(before), read_results(after), strict=False))
    except BuckthornshiftError as error:
        _exit_with(error)
    for first, second in pairs:
        click.echo(render_comparison(first, second))


@load.command()
@click.argument("results_file")
@click.option("--out", "folder", default="results", show_default=True)
@click.option("--format", "file_format", type=click.Choice(["png", "svg"]))
def report(results_file, folder, file_format):
    """Draw the results in RESULTS_FILE as pictures into a folder."""
    from ..load._plot import draw_results

    try:
        results = read_results(results_file)
    except BuckthornshiftError as error:
        _exit_with(error)
    click.echo(render_results(results))
    for path in draw_results(results, folder, file_format or "png"):
        click.echo(str(path))


async def _run_one(load_run):
    if not hasattr(load_run, "run_async"):
        return load_run.run()
    length = load_run.load_plan.length_ms
    label = f"{load_run.load_plan.name}, {length / 1000:.0f} s"
    with click.progressbar(length=int(length), label=label, file=_stderr()) as bar:
        load_run.on_progress = lambda n_jobs: bar.update(0, n_jobs)
        result = await load_run.run_async()
        bar.update(int(length))
    return result


def _stderr():
    return click.get_text_stream("stderr")


def _exit_with(error):
    raise SystemExit(int(report_error(error)))
