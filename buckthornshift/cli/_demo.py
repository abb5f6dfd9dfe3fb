"""The ``demo`` command: the main job on an embedded default."""

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
ENTRIES = ("balance-check", "same-day-payout", "evening-sweep")


@attrs.frozen(kw_only=True)
class DemoRow:
    """One job of the demo.

    :param entry: its catalogue entry.
    :param n_tasks: its tasks.
    :param status: status of its answer.
    :param n_results: results in its answer.
    :param elapsed_ms: time from submission to answer.
    :param ideal_ms: run time of its longest task, or of all its tasks spread over
        every slot if that is longer.
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
    """Run real jobs on a small system inside this process.

    A platform stand-in, backend servers and entry instances run on loopback; jobs of
    1 to 340 tasks of 50 ms to 1 s go through them with the example catalogue of a
    charity cash desk.
    """
    shape = SystemShape(n_zones=1, n_entries=n_entries, n_servers=n_servers)
    system = LocalSystem(shape=shape, random_seed=RANDOM_SEED)
    _tell(output, f"starting {n_entries} entry instances, {n_servers} servers")
    await system.start()
    try:
        await system.apply_catalogue(read_example_catalogue("cash-desk.jsonc"))
        rows = await _run_jobs(system, output)
        is_single = _check_starts(system)
    finally:
        await system.stop()
    is_whole = all(r.status == "complete" and r.n_results == r.n_tasks for r in rows)
    text = _render_rows(rows, is_single)
    echo_value([attrs.asdict(row) for row in rows], output, text)
    return ExitCode.OK if is_whole and is_single else ExitCode.FAILED


def read_example_catalogue(name):
    """Return an example catalogue that ships with the package.

    :param name: name of the file.
    """
    folder = importlib.resources.files("buckthornshift")
    text = folder.joinpath(f"examples/{name}").read_text(encoding="utf-8")
    return parse_catalogue(text, name)


async def _run_jobs(system, output):
    random_state = random.Random(RANDOM_SEED)
    client = CallerClient(addresses=system.list_addresses())
    jobs = [_make_job(size, random_state) for size in JOB_SIZES]
    rows = []
    n_slots = system.shape.n_servers * system.shape.slots
    for done in asyncio.as_completed([_run_job(client, j, n_slots) for j in jobs]):
        row = await done
        rows.append(row)
        _tell(output, f"  {row.entry}: {row.n_tasks} tasks {row.status}")
    client.close()
    return sorted(rows, key=lambda row: row.n_tasks)


def _make_job(n_tasks, random_state):
    tasks = []
    for index in range(n_tasks):
        run_ms = random_state.randint(MIN_RUN_MS, MAX_RUN_MS)
        payload = {"run_ms": run_ms, "account": f"account-{index}"}
        tasks.append(
            TaskSpec(task_id=f"task-{index}", payload=payload, run_time_ms=run_ms)
        )
    return JobRequest(
        job_id=make_job_id(time.time() * 1000, random_state),
        entry=ENTRIES[n_tasks % len(ENTRIES)] if n_tasks < 50 else "evening-sweep",
        tasks=tuple(tasks),
        timeout_ms=30_000,
    )


async def _run_job(client, job, n_slots):
    started_s = time.monotonic()
    answer = await client.submit(job)
    run_times_ms = [task.run_time_ms for task in job.tasks]
    return DemoRow(
        entry=job.entry,
        n_tasks=len(job.tasks),
        status=answer.status.value,
        n_results=len(answer.results),
        elapsed_ms=(time.monotonic() - started_s) * 1000.0,
        ideal_ms=max(max(run_times_ms), sum(run_times_ms) / n_slots),
    )


def _check_starts(system):
    starts = [
        n_starts
        for server in system.servers
        for n_starts in server.model.n_starts_by_task.values()
    ]
    return sum(starts) == sum(JOB_SIZES) and max(starts) == 1


def _render_rows(rows, is_single):
    lines = [f"{'entry':<18}{'tasks':>6}  {'answer':<10}{'ms':>8}{'ideal ms':>10}"]
    for row in rows:
        lines.append(
            f"{row.entry:<18}{row.n_tasks:>6}  {row.status:<10}"
            f"{row.elapsed_ms:>8.0f}{row.ideal_ms:>10.0f}"
        )
    verdict = "every task started exactly once" if is_single else "starts differ"
    lines.append(verdict)
    return "\n".join(lines)


def _tell(output, text):
    click.echo(text, err=output == "json")
