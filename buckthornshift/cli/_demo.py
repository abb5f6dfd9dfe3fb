"""The ``demo`` command: jobs on a system that runs inside this process."""

import asyncio
import importlib.resources
import random
import time

import attrs
import click

from ..callers import CallerClient
from ..contracts import JobRequest, TaskSpec, make_job_id
from ..documents import parse_catalogue
from ..load import LocalSystem, SystemShape
from ._output import ExitCode, echo_value, output_option, run_async

RANDOM_SEED = 7
MIN_RUN_MS = 50
MAX_RUN_MS = 1_000
JOB_SIZES = (1, 1, 5, 20, 60, 340)
ENTRY_NAMES = ("balance-check", "same-day-payout", "evening-sweep")


@attrs.frozen(kw_only=True)
class DemoJobResult:
    """Result of one job of the demo.

    :param entry: catalogue entry of the job.
    :param n_tasks: number of tasks of the job.
    :param status: status of the answer.
    :param n_results: number of task results in the answer.
    :param elapsed_ms: time from submission to answer, in milliseconds.
    :param ideal_ms: lower bound of the time, in milliseconds: the run time of the
        longest task or, if longer, the sum of all run times divided by the number of
        slots.
    """

    entry: str = ""
    n_tasks: int = 0
    status: str = ""
    n_results: int = 0
    elapsed_ms: float = 0.0
    ideal_ms: float = 0.0


@click.command()
@click.option("--servers", "n_servers", default=8, show_default=True)
@click.option("--entries", "n_entries", default=3, show_default=True)
@output_option
@run_async
async def demo(n_servers, n_entries, output):
    """Run jobs on a small system inside this process.

    A platform stand-in, backend servers and entry instances listen on loopback. The
    jobs have 1 to 340 tasks of 50 ms to 1 s each and use the example catalogue of a
    charity cash desk.
    """
    shape = SystemShape(n_zones=1, n_entries=n_entries, n_servers=n_servers)
    system = LocalSystem(shape=shape, random_seed=RANDOM_SEED)
    _echo_progress(output, f"starting {n_entries} entry instances, {n_servers} servers")
    await system.start()
    try:
        await system.apply_catalogue(read_example_catalogue("cash-desk.jsonc"))
        job_results = await _run_jobs(system, output)
        all_started_once = _check_single_starts(system)
    finally:
        await system.stop()
    all_complete = all(
        r.status == "complete" and r.n_results == r.n_tasks for r in job_results
    )
    text = _render_results(job_results, all_started_once)
    echo_value([attrs.asdict(job_result) for job_result in job_results], output, text)
    return ExitCode.OK if all_complete and all_started_once else ExitCode.FAILED


def read_example_catalogue(name):
    """Return an example catalogue that ships with the package.

    :param name: name of the file in the folder ``examples``.
    """
    folder = importlib.resources.files("buckthornshift")
    text = folder.joinpath(f"examples/{name}").read_text(encoding="utf-8")
    return parse_catalogue(text, name)


async def _run_jobs(system, output):
    random_state = random.Random(RANDOM_SEED)
    client = CallerClient(addresses=system.list_addresses())
    jobs = [_make_random_job(size, random_state) for size in JOB_SIZES]
    job_results = []
    n_slots = system.shape.n_servers * system.shape.slots
    for pending_result in asyncio.as_completed(
        [_run_job(client, j, n_slots) for j in jobs]
    ):
        job_result = await pending_result
        job_results.append(job_result)
        _echo_progress(
            output,
            f"  {job_result.entry}: {job_result.n_tasks} tasks {job_result.status}",
        )
    client.close()
    return sorted(job_results, key=lambda job_result: job_result.n_tasks)


def _make_random_job(n_tasks, random_state):
    tasks = []
    for index in range(n_tasks):
        run_ms = random_state.randint(MIN_RUN_MS, MAX_RUN_MS)
        payload = {"run_ms": run_ms, "account": f"account-{index}"}
        tasks.append(
            TaskSpec(task_id=f"task-{index}", payload=payload, run_time_ms=run_ms)
        )
    return JobRequest(
        job_id=make_job_id(time.time() * 1000, random_state),
        entry=ENTRY_NAMES[n_tasks % len(ENTRY_NAMES)]
        if n_tasks < 50
        else "evening-sweep",
        tasks=tuple(tasks),
        timeout_ms=30_000,
    )


async def _run_job(client, job, n_slots):
    started_s = time.monotonic()
    answer = await client.submit(job)
    run_times_ms = [task.run_time_ms for task in job.tasks]
    return DemoJobResult(
        entry=job.entry,
        n_tasks=len(job.tasks),
        status=answer.status.value,
        n_results=len(answer.results),
        elapsed_ms=(time.monotonic() - started_s) * 1000.0,
        ideal_ms=max(max(run_times_ms), sum(run_times_ms) / n_slots),
    )


def _check_single_starts(system):
    start_counts = [
        n_starts
        for server in system.servers
        for n_starts in server.model.n_starts_by_task.values()
    ]
    return sum(start_counts) == sum(JOB_SIZES) and max(start_counts) == 1


def _render_results(job_results, all_started_once):
    lines = [f"{'entry':<18}{'tasks':>6}  {'answer':<10}{'ms':>8}{'ideal ms':>10}"]
    for job_result in job_results:
        lines.append(
            f"{job_result.entry:<18}{job_result.n_tasks:>6}  {job_result.status:<10}"
            f"{job_result.elapsed_ms:>8.0f}{job_result.ideal_ms:>10.0f}"
        )
    summary = (
        "every task started exactly once"
        if all_started_once
        else "some tasks did not start exactly once"
    )
    lines.append(summary)
    return "\n".join(lines)


def _echo_progress(output, text):
    click.echo(text, err=output == "json")
