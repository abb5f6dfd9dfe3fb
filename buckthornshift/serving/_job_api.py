"""Callers' requests over HTTP: submissions, questions, cancellations."""

from ..dispatch import CallerDisconnected, JobArrived
from ..platform import (
    DEADLINE_HEADER,
    UnreadableError,
    decode_job,
    encode_error,
    encode_outcome,
    encode_queue_length,
    encode_state,
)
from ._http_server import HttpServer, RequestLimits


class JobApi:
    """Pass callers' jobs to the core, and its answers to them.

    :param core: the :class:`~buckthornshift.dispatch.DispatchCore`.
    :param post: called with each event.
    """

    def __init__(self, core=None, post=None):
        self.core = core
        self.post = post
        self.server = HttpServer(handler=self.handle, limits=self._read_limits)
        self._exchange_by_ref = {}
        self._refs_by_job = {}
        self._job_by_ref = {}
        self._next_ref = 0

    def handle(self, exchange):
        """Take one request."""
        request = exchange.request
        context = self.core.context
        if context.configuration.version == 0:
            exchange.respond(503, encode_error("no_configuration"))
            return
        host = request.header_by_name.get("host", "").partition(":")[0]
        queue = context.configuration.find_queue(host, request.path)
        if queue is None:
            exchange.respond(404, encode_error("unknown_queue"))
            return
        job_id = request.path.removeprefix(queue.path_prefix)
        match request.method, bool(job_id):
            case "POST", True:
                self._submit(exchange, queue, job_id)
            case "GET", False:
                exchange.respond(200, encode_queue_length(self._count_waiting(queue)))
            case "GET", True:
                self._tell_state(exchange, job_id)
            case "DELETE", True:
                self._cancel(exchange, job_id)
            case _:
                exchange.respond(405, encode_error("method_not_allowed"))

    def answer(self, action):
        """Answer a caller.

        :param action: an :class:`~buckthornshift.dispatch.AnswerCaller`.
        """
        exchange = self._exchange_by_ref.pop(action.caller_ref, None)
        if exchange is None:
            return
        self._forget_job(action.caller_ref)
        status, body, headers = encode_outcome(action)
        exchange.respond(status, body, headers)

    def _read_limits(self):
        limits = self.core.context.configuration.limits
        return RequestLimits(
            max_head_bytes=limits.max_head_bytes,
            max_body_bytes=limits.max_body_bytes,
            head_timeout_s=limits.head_timeout_ms / 1000.0,
            idle_timeout_s=limits.idle_timeout_ms / 1000.0,
        )

    def _submit(self, exchange, queue, job_id):
        request = exchange.request
        try:
            submission = decode_job(job_id, request.body)
        except UnreadableError as error:
            exchange.respond(400, encode_error("unreadable", str(error)))
            return
        unsupported = submission.unsupported
        if queue.needs_advice:
            unsupported = (*unsupported, "queues with advice")
        if unsupported:
            detail = ", ".join(unsupported)
            exchange.respond(503, encode_error("unsupported", detail))
            return
        self._next_ref += 1
        ref = self._next_ref
        self._exchange_by_ref[ref] = exchange
        self._refs_by_job.setdefault(job_id, set()).add(ref)
        self._job_by_ref[ref] = job_id
        exchange.on_disconnect = lambda: self._lose_caller(ref)
        self.post(
            JobArrived(
                caller_ref=ref,
                job=submission.job,
                queue=queue,
                timeout_ms=_read_timeout_ms(request, queue),
            )
        )

    def _lose_caller(self, ref):
        if self._exchange_by_ref.pop(ref, None) is not None:
            self._forget_job(ref)
            self.post(CallerDisconnected(caller_ref=ref))

    def _tell_state(self, exchange, job_id):
        # The answer to a submission is the job's end; nothing is kept beyond it.
        if job_id in self._refs_by_job:
            exchange.respond(200, encode_state("running"))
            return
        exchange.respond(410, encode_error("unknown_job"))

    def _cancel(self, exchange, job_id):
        refs = sorted(self._refs_by_job.get(job_id, ()))
        if not refs:
            exchange.respond(410, encode_error("unknown_job"))
            return
        # Repeats of the job over other connections keep it running as well.
        for ref in refs:
            submitted = self._exchange_by_ref.pop(ref)
            self._forget_job(ref)
            self.post(CallerDisconnected(caller_ref=ref))
            submitted.respond(200, encode_state("cancelled"))
        exchange.respond(200, encode_state("cancelled"))

    def _forget_job(self, ref):
        job_id = self._job_by_ref.pop(ref, None)
        refs = self._refs_by_job.get(job_id, set())
        refs.discard(ref)
        if not refs:
            self._refs_by_job.pop(job_id, None)

    def _count_waiting(self, queue):
        # Jobs that need not be stored are not accepted before they end.
        return 0


def _read_timeout_ms(request, queue):
    text = request.header_by_name.get(DEADLINE_HEADER, "")
    try:
        asked_ms = float(text) if text else queue.timeout_ms
    except ValueError:
        asked_ms = queue.timeout_ms
    return max(1.0, asked_ms)
