"""The HTTP API for callers: submit a job, query its state, cancel it."""

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
    """Pass the requests of callers to the core, and respond with its answers.

    A submission stays open until its job has ended; its response is the outcome.

    :param core: the :class:`~buckthornshift.dispatch.DispatchCore`.
    :param post: called with each event.
    """

    def __init__(self, core=None, post=None):
        self.core = core
        self.post = post
        self.server = HttpServer(handler=self.handle, limits=self._read_limits)
        self._exchange_by_caller_ref = {}
        self._caller_refs_by_job_id = {}
        self._job_id_by_caller_ref = {}
        self._last_caller_ref = 0

    def handle(self, exchange):
        """Route one request by queue and method.

        :param exchange: the :class:`~buckthornshift.serving._http_server.Exchange`.
        """
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
                self._send_state(exchange, job_id)
            case "DELETE", True:
                self._cancel(exchange, job_id)
            case _:
                exchange.respond(405, encode_error("method_not_allowed"))

    def answer(self, action):
        """Respond to a submission with the outcome of its job.

        :param action: an :class:`~buckthornshift.dispatch.AnswerCaller`.
        """
        exchange = self._exchange_by_caller_ref.pop(action.caller_ref, None)
        if exchange is None:
            return
        self._remove_submission(action.caller_ref)
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
        self._last_caller_ref += 1
        caller_ref = self._last_caller_ref
        self._exchange_by_caller_ref[caller_ref] = exchange
        self._caller_refs_by_job_id.setdefault(job_id, set()).add(caller_ref)
        self._job_id_by_caller_ref[caller_ref] = job_id
        exchange.on_disconnect = lambda: self._on_caller_disconnect(caller_ref)
        self.post(
            JobArrived(
                caller_ref=caller_ref,
                job=submission.job,
                queue=queue,
                timeout_ms=_read_timeout_ms(request, queue),
            )
        )

    def _on_caller_disconnect(self, caller_ref):
        if self._exchange_by_caller_ref.pop(caller_ref, None) is not None:
            self._remove_submission(caller_ref)
            self.post(CallerDisconnected(caller_ref=caller_ref))

    def _send_state(self, exchange, job_id):
        # The outcome is sent in the response to the submission and not kept after it.
        if job_id in self._caller_refs_by_job_id:
            exchange.respond(200, encode_state("running"))
            return
        exchange.respond(410, encode_error("unknown_job"))

    def _cancel(self, exchange, job_id):
        caller_refs = sorted(self._caller_refs_by_job_id.get(job_id, ()))
        if not caller_refs:
            exchange.respond(410, encode_error("unknown_job"))
            return
        # Submissions of the same job over other connections would keep it running, so
        # all of them are cancelled.
        for caller_ref in caller_refs:
            submission_exchange = self._exchange_by_caller_ref.pop(caller_ref)
            self._remove_submission(caller_ref)
            self.post(CallerDisconnected(caller_ref=caller_ref))
            submission_exchange.respond(200, encode_state("cancelled"))
        exchange.respond(200, encode_state("cancelled"))

    def _remove_submission(self, caller_ref):
        job_id = self._job_id_by_caller_ref.pop(caller_ref, None)
        caller_refs = self._caller_refs_by_job_id.get(job_id, set())
        caller_refs.discard(caller_ref)
        if not caller_refs:
            self._caller_refs_by_job_id.pop(job_id, None)

    def _count_waiting(self, queue):
        # Only best-effort jobs are supported. They are not stored, and their submission
        # is answered only once they have ended, so none counts as accepted and waiting.
        return 0


def _read_timeout_ms(request, queue):
    text = request.header_by_name.get(DEADLINE_HEADER, "")
    try:
        timeout_ms = float(text) if text else queue.timeout_ms
    except ValueError:
        timeout_ms = queue.timeout_ms
    return max(1.0, timeout_ms)
