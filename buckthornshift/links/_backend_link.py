"""HTTP client for one backend server: starts, queries, cancellations, fencing."""

import asyncio

import msgspec

from ..contracts import AttemptQuery, JobFence, ServerReport
from ..core import (
    CancelAttempts,
    FenceJob,
    JobFenced,
    QueryAttempts,
    QueryFailed,
    ServerReported,
    StartAttempts,
    StartLost,
    StartNotSent,
)
from ._background_tasks import BackgroundTasks
from ._http_connection import (
    ConnectionLostError,
    HttpPool,
    HttpStatusError,
    NotSentError,
    send_request,
)

JSON_HEADERS = (("content-type", "application/json"),)
_REPORT_DECODER = msgspec.json.Decoder(ServerReport)


class BackendLink(BackgroundTasks):
    """Send requests to one backend server process and post the results as events.

    :param record: the server's :class:`~buckthornshift.contracts.InstanceRecord`.
    :param zone: availability zone of this instance, sent in the ``x-zone`` header.
    :param post_event: callable that passes an event to the core.
    :param query_timeout_s: timeout of a query, cancellation or fencing request, in
        seconds.
    :param response_header_timeout_s: longest wait for the response header of a start
        request, in seconds; after that the connection counts as lost.
    """

    def __init__(
        self,
        record=None,
        zone="",
        post_event=None,
        query_timeout_s=1.0,
        response_header_timeout_s=0.25,
    ):
        super().__init__()
        self.record = record
        self.zone = zone
        self.post_event = post_event
        self.query_timeout_s = query_timeout_s
        self.response_header_timeout_s = response_header_timeout_s
        self._pool = HttpPool(host=record.host, port=record.port)

    def perform(self, action):
        """Perform an action of the core for this server in a new asyncio task.

        :param action: a ``StartAttempts``, ``QueryAttempts``, ``CancelAttempts`` or
            ``FenceJob``.
        """
        match action:
            case StartAttempts(request=request):
                self.spawn(self._start_attempts(request))
            case QueryAttempts(attempt_ids=attempt_ids):
                self.spawn(self._request_report("query", attempt_ids))
            case CancelAttempts(attempt_ids=attempt_ids):
                self.spawn(self._request_report("cancel", attempt_ids))
            case FenceJob(job_id=job_id, term=term):
                self.spawn(self._fence_job(job_id, term))

    def close(self):
        """Cancel all requests and close all connections."""
        self.cancel_tasks()
        self._pool.close()

    async def _start_attempts(self, request):
        unreported_ids = {spec.attempt_id for spec in request.attempts}
        try:
            connection = await self._pool.acquire()
        except NotSentError:
            self._post_not_sent(unreported_ids)
            return
        try:
            await self._stream_start_results(connection, request, unreported_ids)
        except ConnectionLostError:
            connection.close()
        except asyncio.CancelledError:
            connection.close()
            raise
        if unreported_ids:
            self._post_lost(unreported_ids)

    async def _stream_start_results(self, connection, request, unreported_ids):
        body = msgspec.json.encode(request)
        headers = (*JSON_HEADERS, ("x-zone", self.zone))
        await connection.send("POST", "/v1/attempts", body, headers)
        status = await self._wait_for_status(connection, unreported_ids)
        partial_line = b""
        async for chunk in connection.iter_body():
            *lines, partial_line = (partial_line + chunk).split(b"\n")
            for line in lines:
                if line and status < 400:
                    self._handle_report_line(line, unreported_ids)
        self._pool.release(connection)

    async def _wait_for_status(self, connection, unreported_ids):
        read_task = asyncio.ensure_future(connection.read_status())
        try:
            async with asyncio.timeout(self.response_header_timeout_s):
                return await asyncio.shield(read_task)
        except TimeoutError:
            # The results may still arrive on this connection. Until then the core
            # queries the attempts over a new one.
            self._post_lost(unreported_ids)
        except asyncio.CancelledError:
            read_task.cancel()
            raise
        return await read_task

    def _handle_report_line(self, line, unreported_ids):
        try:
            report = _REPORT_DECODER.decode(line)
        except msgspec.DecodeError as error:
            raise ConnectionLostError(str(error)) from error
        unreported_ids.difference_update(item.attempt_id for item in report.reports)
        self._post_report(report)

    async def _request_report(self, verb, attempt_ids):
        body = msgspec.json.encode(AttemptQuery(attempt_ids=attempt_ids))
        try:
            response = await self._send_post_request(f"/v1/attempts/{verb}", body)
            report = _REPORT_DECODER.decode(response)
        except (
            NotSentError,
            ConnectionLostError,
            HttpStatusError,
            msgspec.DecodeError,
        ):
            self.post_event(QueryFailed(server_id=self.record.instance_id))
            return
        self._post_report(report)

    async def _fence_job(self, job_id, term):
        body = msgspec.json.encode(JobFence(job_id=job_id, term=term))
        report = None
        try:
            response = await self._send_post_request("/v1/jobs/fence", body)
            report = _REPORT_DECODER.decode(response)
        except (NotSentError, ConnectionLostError, HttpStatusError):
            pass
        except msgspec.DecodeError:
            pass
        self.post_event(
            JobFenced(server_id=self.record.instance_id, job_id=job_id, report=report)
        )

    async def _send_post_request(self, path, body):
        return await send_request(
            self._pool,
            "POST",
            path,
            body,
            JSON_HEADERS,
            timeout_s=self.query_timeout_s,
            use_new_connection=True,
        )

    def _post_report(self, report):
        self.post_event(
            ServerReported(server_id=self.record.instance_id, report=report)
        )

    def _post_lost(self, unreported_ids):
        self.post_event(
            StartLost(
                server_id=self.record.instance_id, attempt_ids=tuple(unreported_ids)
            )
        )

    def _post_not_sent(self, unreported_ids):
        self.post_event(
            StartNotSent(
                server_id=self.record.instance_id, attempt_ids=tuple(unreported_ids)
            )
        )
