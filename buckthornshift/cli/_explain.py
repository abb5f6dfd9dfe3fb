"""The ``explain`` command: where a job would be placed now, without submitting it."""

import urllib.parse

import click
import msgspec

from ..contracts import InvalidInputError
from ..documents import read_text
from ..links import LINK_ERRORS, HttpPool, HttpStatusError, send_request
from ._output import AddressType, ExitCode, echo_json, report_error, run_async

_EXIT_CODE_BY_VERDICT = {
    "accepted": ExitCode.OK,
    "passed_on": ExitCode.OK,
    "refused": ExitCode.NOT_RUN,
    "unknown": ExitCode.FAILED,
}
# An invalid job, an unknown queue.
_INPUT_STATUSES = (400, 404)


@click.command()
@click.argument("file")
@click.option(
    "--instance",
    "addresses",
    type=AddressType(),
    multiple=True,
    required=True,
    envvar="BUCKTHORNSHIFT_INSTANCE",
    help="Metrics address of a dispatching instance, IP:PORT; may be repeated.",
)
@click.option("--queue", help="Name of the queue; not needed if there is only one.")
@click.option("--job-id", help="Id of the job, which determines its cell.")
@click.option("--timeout-ms", type=float, help="How long the caller would wait.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@run_async
async def explain(file, addresses, queue, job_id, timeout_ms, as_json):
    """Show where the job in FILE would be placed now, and why; submit nothing.

    FILE contains the body of a submission as JSON. The instance that owns the job's
    cell decides. If the one asked does not own it, the owner is asked among the other
    addresses given, and at the owner's host with the port of the one asked.

    \b
    Example:
      buckthornshift explain job.json --instance 10.1.0.26:7734 --queue pay

    Exit code 0: would be accepted, 3: would be refused, 1: the owner could not be
    asked, 2: invalid job or unknown queue, 4: no instance reachable.
    """
    body = read_text(file).encode()
    options = {"queue": queue, "job_id": job_id, "timeout_ms": timeout_ms}
    query = urllib.parse.urlencode({k: v for k, v in options.items() if v is not None})
    path = f"/explain?{query}"
    report, asked = await _ask_first(addresses, path, body, file)
    if not report["is_owner"] and report["owner"]:
        host = report["owner"].rpartition(":")[0]
        others = [a for a in (*addresses, (host, asked[1])) if a != asked]
        owner_report = await _ask_owner(report["owner"], others, path, body)
        report = owner_report or report
    if as_json:
        echo_json(report)
    else:
        click.echo(render_report(report))
    return _EXIT_CODE_BY_VERDICT[report["verdict"]]


async def _ask_first(addresses, path, body, file):
    """Return the report of the first instance that answers, and its address."""
    for address in addresses:
        try:
            return await _ask(address, path, body), address
        except HttpStatusError as error:
            if error.status not in _INPUT_STATUSES:
                raise
            raise InvalidInputError(
                where=file, got=error.body.decode(), expected="a job, a known queue"
            ) from error
        except LINK_ERRORS as error:
            last_error = error
    raise last_error


async def _ask_owner(owner, addresses, path, body):
    """Return the report of the owner, or ``None`` if no address is the owner's."""
    for address in dict.fromkeys(addresses):
        try:
            report = await _ask(address, path, body)
        except LINK_ERRORS as error:
            report_error(error)
            continue
        if report["instance"] == owner:
            return report
    return None


async def _ask(address, path, body):
    host, port = address
    pool = HttpPool(host=host, port=port)
    try:
        return msgspec.json.decode(await send_request(pool, "POST", path, body))
    finally:
        pool.close()


def render_report(report):
    """Return a placement report as lines of text.

    :param report: the decoded JSON of a report.
    """
    return "\n".join(
        (*_render_decision(report), *_render_figures(report), *_render_servers(report))
    )


def _render_decision(report):
    verdict = report["verdict"].replace("_", " ")
    if report["other_cell"] is not None:
        verdict += f" to cell {report['other_cell']}"
    yield f"verdict: {verdict}"
    if report["reason"]:
        yield f"  reason: {report['reason']}: {report['detail'] or 'no figures'}"
    if report["retry_after_ms"]:
        yield f"  retry after {report['retry_after_ms']:.0f} ms"
    owner = report["owner"] or "none known"
    yield f"cell {report['cell']} of {report['n_cells']}, owner {owner}"
    yield f"view of {report['instance']}, configuration {report['config_version']}"
    if not report["is_owner"]:
        yield (
            "  the owner was not reached: capacity and waiting tasks below are those "
            "that this instance knows"
        )


def _render_figures(report):
    yield (
        f"admission: {report['n_free_slots']} slots free, "
        f"{report['n_tasks_ahead']} waiting tasks ahead"
    )
    yield (
        f"  expected wait {report['expected_wait_ms']:.0f} ms, "
        f"slack {report['slack_ms']:.0f} ms, "
        f"critical path {report['critical_path_ms']:.0f} ms"
    )
    n_placed = len(report["server_ids"])
    yield (
        f"placement: {n_placed} of {report['n_tasks_tried']} tasks start now "
        f"({report['n_first_tasks']} may start first)"
    )
    if n_placed:
        yield f"  on {', '.join(dict.fromkeys(report['server_ids']))}"


def _render_servers(report):
    yield f"servers: {report['n_usable']} of {report['n_servers']} could take a task"
    for reason, n_servers in report["n_passed_over"].items():
        yield f"  {reason.replace('_', ' ')}: {n_servers}"
    for server in report["best_servers"]:
        labels = ",".join(server["labels"]) or "-"
        flags = [n for n in ("suspect", "remote") if server[f"is_{n}"]]
        yield (
            f"  {server['server_id']}  zone {server['zone']}  labels {labels}  "
            f"free {server['free_cpu'] / 1000:.1f} cores  {server['n_runs']} runs  "
            f"slowness {server['slowness']:.2f}  {' '.join(flags)}"
        ).rstrip()
