"""HTTP API of an entry instance for callers and operators."""

import asyncio
import importlib.resources
import math

import msgspec
from blacksheep import Content, Response

from ..contracts import (
    JobStatus,
    Reason,
    Refusal,
    make_refusal_answer,
    parse_job,
)
from ..core import JobCancelRequested, JobSubmitted
from ._web_server import WebServer, make_app

MAX_BODY_BYTES = 24_000_000
RESUBMISSION_HEADER = b"resubmission"
_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_ENTRY: 404,
    Reason.UNKNOWN_JOB: 404,
    Reason.ID_CONFLICT: 409,
    Reason.CANCELLED: 409,
    Reason.ALREADY_STARTED: 409,
    Reason.ID_TOO_OLD: 410,
    Reason.ANSWER_NOT_KEPT: 410,
    Reason.TOO_MANY_TASKS: 422,
    Reason.TIMEOUT_TOO_LONG: 422,
    Reason.INFEASIBLE: 422,
    Reason.ID_IN_FUTURE: 422,
    Reason.OVER_LIMIT: 429,
    Reason.TASK_FAILED: 502,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.OVERLOADED: 503,
    Reason.DRAINING: 503,
    Reason.LOG_UNREACHABLE: 503,
    Reason.CATALOGUE_NOT_READY: 503,
    Reason.HOME_UNREACHABLE: 503,
    Reason.DEADLINE_PAST: 504,
    Reason.DEADLINE_EXCEEDED: 504,
}


class CallerServer:
    """Turn HTTP requests into events for the core, and its answers into responses.

    :param host: IP address to listen on.
    :param port: TCP port; 0 for any free port.
    :param post_event: callable that passes an event to the core.
    :param state_provider: object that answers operators' requests with its methods
        ``dump``, ``describe_job``, ``describe_catalogue``, ``render_metrics`` and
        ``is_ready``.
    """

    def __init__(self, host="127.0.0.1", port=0, post_event=None, state_provider=None):
        self.post_event = post_event
        self.state_provider = state_provider
        self._futures_by_ref = {}
        self._next_ref = 0
        self._is_refusing = False
        self._web = WebServer(app=self._make_app(), host=host, port=port)

    @property
    def bound_port(self):
        """TCP port that the server listens on."""
        return self._web.bound_port

    async def start(self):
        """Start to listen.

        :raises PortInUseError: if the address cannot be bound.
        """
        await self._web.start()

    def refuse_new_requests(self):
        """Refuse new jobs and cancellations, as the core no longer answers them."""
        self._is_refusing = True

    async def stop(self):
        """Stop listening; requests in flight get up to 5 s to be answered."""
        await self._web.stop()

    async def abort(self):
        """Stop at once without answering the requests in flight."""
        for future in self._futures_by_ref.values():
            future.cancel()
        await self._web.abort()

    def answer(self, caller_ref, answer):
        """Send the answer to a request that waits for it.

        :param caller_ref: identifier of the request, as posted in its event.
        :param answer: the :class:`~buckthornshift.contracts.JobAnswer`.
        """
        future = self._futures_by_ref.pop(caller_ref, None)
        if future is not None and not future.done():
            future.set_result(answer)

    def _make_app(self):
        return make_app(
            (
                ("PUT", "/v1/jobs/{job_id}", self._submit_job),
                ("DELETE", "/v1/jobs/{job_id}", self._cancel_job),
                ("GET", "/v1/jobs/{job_id}", self._show_job),
                ("GET", "/v1/catalogue", self._show_catalogue),
                ("GET", "/state", self._show_state),
                ("GET", "/metrics", self._show_metrics),
                ("GET", "/healthz", self._show_health),
                ("GET", "/openapi.json", self._show_openapi),
            )
        )

    async def _submit_job(self, request):
        job_id = request.route_values["job_id"]
        length = request.get_first_header(b"content-length")
        if length is not None and int(length) > MAX_BODY_BYTES:
            detail = f"body: got {int(length)} bytes, expected at most {MAX_BODY_BYTES}"
            return _respond(make_refusal_answer(job_id, Refusal(detail=detail)))
        body = await request.read()
        job = parse_job(job_id, body or b"")
        if isinstance(job, Refusal):
            return _respond(make_refusal_answer(job_id, job))
        if self._is_refusing:
            return _respond(_make_stopping_answer(job_id))
        is_resubmission = request.get_first_header(RESUBMISSION_HEADER) is not None
        caller_ref, future = self._make_answer_future()
        self.post_event(
            JobSubmitted(
                caller_ref=caller_ref, job=job, is_resubmission=is_resubmission
            )
        )
        return _respond(await future)

    async def _cancel_job(self, request):
        job_id = request.route_values["job_id"]
        if self._is_refusing:
            return _respond(_make_stopping_answer(job_id))
        caller_ref, future = self._make_answer_future()
        self.post_event(JobCancelRequested(caller_ref=caller_ref, job_id=job_id))
        return _respond(await future)

    async def _show_job(self, request):
        description = self.state_provider.describe_job(request.route_values["job_id"])
        return _respond_json(404 if description is None else 200, description)

    async def _show_catalogue(self, request):
        return _respond_json(200, self.state_provider.describe_catalogue())

    async def _show_state(self, request):
        return _respond_json(200, self.state_provider.dump())

    async def _show_metrics(self, request):
        content = Content(
            b"text/plain; version=0.0.4", self.state_provider.render_metrics()
        )
        return Response(200, content=content)

    async def _show_health(self, request):
        is_ready = self.state_provider.is_ready()
        return _respond_json(200 if is_ready else 503, {"is_ready": is_ready})

    async def _show_openapi(self, request):
        folder = importlib.resources.files("buckthornshift")
        body = folder.joinpath("data/openapi.json").read_bytes()
        return Response(200, content=Content(b"application/json", body))

    def _make_answer_future(self):
        self._next_ref += 1
        future = asyncio.get_running_loop().create_future()
        self._futures_by_ref[self._next_ref] = future
        return self._next_ref, future


def get_http_status(answer):
    """Return the HTTP status code that goes with an answer.

    :param answer: a :class:`~buckthornshift.contracts.JobAnswer`.
    """
    if answer.status is JobStatus.COMPLETE:
        return 200
    return _STATUS_BY_REASON.get(answer.reason, 500)


def _make_stopping_answer(job_id):
    refusal = Refusal(
        reason=Reason.DRAINING, detail="the instance is stopping", retry_after_ms=500
    )
    return make_refusal_answer(job_id, refusal)


def _respond(answer):
    headers = []
    if answer.retry_after_ms > 0:
        seconds = math.ceil(answer.retry_after_ms / 1000)
        headers.append((b"retry-after", str(seconds).encode()))
    content = Content(b"application/json", msgspec.json.encode(answer))
    return Response(get_http_status(answer), headers, content)


def _respond_json(status, value):
    return Response(status, content=Content(b"application/json", encode_json(value)))


def encode_json(value):
    """Return the JSON bytes of a value.

    :param value: builtin containers and scalars, or attrs objects.
    """
    return msgspec.json.encode(value)
