"""Commands that run loads and report on them."""

import attrs
import click

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
    run_async,
)
from ._result_commands import add_result_commands


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


def _load_draw():
    from ..load._plot import plot_results

    return plot_results


add_result_commands(
    load,
    read=read_results,
    render=render_results,
    render_pair=render_comparison,
    load_draw=_load_draw,
)
