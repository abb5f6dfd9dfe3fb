"""The ``load`` commands: run load experiments and report their results."""

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
    """Run load experiments in real time over loopback or in virtual time."""


load.add_command(site)


@load.command()
@click.argument("files", nargs=-1, required=True)
@click.option("--out", help="Write the results to this JSON file.")
@click.option("--seed", type=int, help="Override the seed of the experiment.")
@click.option(
    "--clock",
    type=click.Choice(["virtual", "real"]),
    help="Override the clock of the experiment.",
)
@click.option(
    "--platform",
    type=AddressType(),
    help="Run on the processes that this platform lists, in real time.",
)
@output_option
@run_async
async def run(files, out, seed, clock, platform, output):
    """Run the experiments declared in FILES.

    Exit code 7 if a violation was found: a missing or incomplete answer, the answer
    of another job, or more task starts than the instances counted.
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
            results.append(await _run_with_progress(load_run))
    if out:
        write_result_file(out, results)
    if output == "json":
        echo_json(results)
    else:
        click.echo(render_results(results))
    has_no_violations = not any(result.n_violations for result in results)
    return ExitCode.OK if has_no_violations else ExitCode.VIOLATION


async def _run_with_progress(load_run):
    if not hasattr(load_run, "run_async"):
        return load_run.run()
    length = load_run.load_plan.length_ms
    label = f"{load_run.load_plan.name}, {length / 1000:.0f} s"
    with click.progressbar(
        length=int(length), label=label, file=_get_stderr()
    ) as progress_bar:
        load_run.on_progress = lambda n_jobs: progress_bar.update(0, n_jobs)
        result = await load_run.run_async()
        progress_bar.update(int(length))
    return result


def _get_stderr():
    return click.get_text_stream("stderr")


def _import_plot_function():
    from ..load._plot import plot_results

    return plot_results


add_result_commands(
    load,
    read_results=read_results,
    render_results=render_results,
    render_comparison=render_comparison,
    import_plot_function=_import_plot_function,
)
