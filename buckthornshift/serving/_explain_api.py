"""The HTTP request that asks where a job would be placed, on the metrics address."""

import urllib.parse

import attrs
import msgspec

from ..dispatch import PlacementVerdict
from ..platform import UnreadableError, decode_job, encode_error

# The cell of a job depends on its id; with one cell any id will do.
DEFAULT_JOB_ID = "0" * 16


def explain(exchange, reporter, now_ms):
    """Respond with the placement report of the job in a request's body.

    The query may contain ``queue``, ``job_id`` and ``timeout_ms``.

    :param exchange: the :class:`~buckthornshift.serving._http_server.Exchange`.
    :param reporter: the :class:`~buckthornshift.dispatch.PlacementReporter`.
    :param now_ms: monotonic time in milliseconds.
    """
    if exchange.request.method != "POST":
        exchange.respond(405, encode_error("method_not_allowed"))
        return
    configuration = reporter.core.context.configuration
    if configuration.version == 0:
        exchange.respond(503, encode_error("no_configuration"))
        return
    options = dict(urllib.parse.parse_qsl(exchange.request.query))
    queue = _find_queue(configuration, options.get("queue", ""))
    if queue is None:
        names = ", ".join(queue.name for queue in configuration.queues)
        exchange.respond(404, encode_error("unknown_queue", f"queues: {names}"))
        return
    try:
        job_id = options.get("job_id", DEFAULT_JOB_ID)
        submission = decode_job(job_id, exchange.request.body)
        timeout_ms = max(1.0, float(options.get("timeout_ms", queue.timeout_ms)))
    except (UnreadableError, ValueError) as error:
        exchange.respond(400, encode_error("unreadable", str(error)))
        return
    report = reporter.report(submission.job, queue, timeout_ms, now_ms)
    unsupported = submission.unsupported
    if queue.needs_advice:
        unsupported = (*unsupported, "queues with advice")
    if unsupported:
        report = attrs.evolve(
            report,
            verdict=PlacementVerdict.REFUSED,
            reason="unsupported",
            detail=", ".join(unsupported),
            retry_after_ms=0.0,
        )
    exchange.respond(200, msgspec.json.encode(attrs.asdict(report)))


def _find_queue(configuration, name):
    """Return a queue by name, or the only one if no name is given."""
    queues = [q for q in configuration.queues if name in ("", q.name)]
    return queues[0] if len(queues) == 1 else None
