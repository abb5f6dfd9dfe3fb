"""Commands for callers and for looking at instances."""

import random
import time

import click
import msgspec

from ..callers import CallerClient
from ..contracts import (
    InvalidInputError,
    JobRequest,
    JobStatus,
    Refusal,
    TaskSpec,
    make_job_id,
    parse_job,
)
from ..documents import read_text
from ..links import HttpPool, send_request
from ._output import (
    AddressType,
    ExitCode,
    echo_json,
    echo_value,
    output_option,
    run_async,
)

_CODE_BY_STATUS = {
    JobStatus.COMPLETE: ExitCode.OK,
    JobStatus.FAILED: ExitCode.FAILED,
    JobStatus.NOT_RUN: ExitCode.NOT_RUN,
}
to_option = click.option(
    "--to",
    "addresses",
    type=AddressType(),
    multiple=True,
    required=True,
    envvar="BUCKTHORNSHIFT_TO",
    help="Address of an entry instance, IP:PORT; give several to fail over.",
)


@click.command()
@to_option
@click.option("--entry", help="Catalogue entry.")
@click.option("--file", "job_file", help="JSON file with entry, tasks, timeout_ms.")
@click.option("--tasks", "n_tasks", default=1, show_default=True, help="Tasks.")
@click.option("--payload", default="null", help="JSON payload of each task.")
@click.option("--timeout-ms", default=10_000, show_default=True)
@click.option("--job-id", help="UUID version 7; repeat it to resubmit.")
@output_option
@run_async
async def submit(
    addresses, entry, job_file, n_tasks, payload, timeout_ms, job_id, output
):
    """Submit a job and print its one answer.

    A lost connection is resumed under the same id. Exit code 0: complete, 1: failed,
    3: not run, 4: no instance reachable, 6: no answer.
    """
    job_id = job_id or make_job_id(time.time() * 1000, random.SystemRandom())
    job = _make_job(job_id, entry, job_file, n_tasks, payload, timeout_ms)
    client = CallerClient(addresses=addresses)
    return await _show_answer(client, client.submit(job), output)


@click.command()
@to_option
@click.argument("job_id")
@output_option
@run_async
async def cancel(addresses, job_id, output):
    """Cancel the job JOB_ID and print what became of it."""
    client = CallerClient(addresses=addresses)
    return await _show_answer(client, client.cancel(job_id), output)


@click.command()
@to_option
@click.option("--job", "job_id", help="Show one job instead of the whole state.")
@run_async
async def state(addresses, job_id):
    """Print the full state of an entry instance as JSON."""
    host, port = addresses[0]
    pool = HttpPool(host=host, port=port)
    path = f"/v1/jobs/{job_id}" if job_id else "/state"
    try:
        body = await send_request(pool, "GET", path)
    finally:
        pool.close()
    echo_json(msgspec.json.decode(body))
    return ExitCode.OK


async def _show_answer(client, answering, output):
    try:
        answer = await answering
    finally:
        client.close()
    echo_value(answer, output, _render_answer(answer))
    return _CODE_BY_STATUS[answer.status]


def _make_job(job_id, entry, job_file, n_tasks, payload, timeout_ms):
    if job_file:
        job = parse_job(job_id, read_text(job_file).encode())
        if isinstance(job, Refusal):
            raise InvalidInputError(
                where=job_file, got=job.detail, expected="a valid job"
            )
        return job
    if not entry:
        raise click.UsageError("give --entry or --file")
    try:
        value = msgspec.json.decode(payload)
    except msgspec.DecodeError as error:
        raise InvalidInputError(
            where="--payload", got=str(error), expected="JSON"
        ) from error
    tasks = tuple(
        TaskSpec(task_id=f"task-{index}", payload=value) for index in range(n_tasks)
    )
    return JobRequest(job_id=job_id, entry=entry, tasks=tasks, timeout_ms=timeout_ms)


def _render_answer(answer):
    lines = [f"{answer.job_id}: {answer.status.value}"]
    if answer.reason is not None:
        lines.append(f"  reason: {answer.reason.value}: {answer.detail}")
        lines.append(f"  may have run: {'yes' if answer.may_have_run else 'no'}")
    if answer.retry_after_ms:
        lines.append(f"  come back in {answer.retry_after_ms} ms")
    for result in answer.results:
        output = msgspec.json.encode(result.output).decode()
        lines.append(f"  {result.task_id}: {output}")
    return "\n".join(lines)
