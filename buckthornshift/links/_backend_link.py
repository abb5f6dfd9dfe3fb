"""Link to one backend server: starts, queries, cancellations and fences."""

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
    """Own the sockets to one backend server process.

    :param record: the platform's record of the server.
    :param zone: availability zone of this instance, told to the server.
    :param post_event: takes the events that arise.
    :param query_timeout_s: longest time for a query, in seconds.
    :param response_header_timeout_s: time in which a server sends the head of its answer to a
        start; a connection that carries nothing for longer is taken for lost.
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
        """Perform an action for this server in a task of its own.

        :param action: an action of the core.
        """
        match action:
            case StartAttempts(request=request):
                self.spawn(self._start(request))
            case QueryAttempts(attempt_ids=attempt_ids):
                self.spawn(self._ask("query", attempt_ids))
            case CancelAttempts(attempt_ids=attempt_ids):
                self.spawn(self._ask("cancel", attempt_ids))
            case FenceJob(job_id=job_id, term=term):
                self.spawn(self._fence(job_id, term))

    def close(self):
        """Drop all connections."""
        self.cancel_tasks()
        self._pool.close()

    async def _start(self, request):
        open_ids = {spec.attempt_id for spec in request.attempts}
        try:
            connection = await self._pool.acquire()
        except NotSentError:
            self._post_not_sent(open_ids)
            return
        try:
            await self._exchange_start(connection, request, open_ids)
        except ConnectionLostError:
            connection.close()
        except asyncio.CancelledError:
            connection.close()
            raise
        if open_ids:
            self._post_lost(open_ids)

    async def _exchange_start(self, connection, request, open_ids):
        body = msgspec.json.encode(request)
        headers = (*JSON_HEADERS, ("x-zone", self.zone))
        await connection.send("POST", "/v1/attempts", body, headers)
        status = await self._read_status(connection, open_ids)
        pending = b""
        async for chunk in connection.iter_body():
            *lines, pending = (pending + chunk).split(b"\n")
            for line in lines:
                if line and status < 400:
                    self._take_line(line, open_ids)
        self._pool.release(connection)

    async def _read_status(self, connection, open_ids):
        reading = asyncio.ensure_future(connection.read_status())
        try:
            async with asyncio.timeout(self.response_header_timeout_s):
                return await asyncio.shield(reading)
        except TimeoutError:
            # The results may still come; the core asks on a new connection meanwhile.
            self._post_lost(open_ids)
        except asyncio.CancelledError:
            reading.cancel()
            raise
        return await reading

    def _take_line(self, line, open_ids):
        try:
            report = _REPORT_DECODER.decode(line)
        except msgspec.DecodeError as error:
            raise ConnectionLostError(str(error)) from error
        open_ids.difference_update(item.attempt_id for item in report.reports)
        self._post_report(report)

    async def _ask(self, verb, attempt_ids):
        body = msgspec.json.encode(AttemptQuery(attempt_ids=attempt_ids))
        try:
            answer = await self._call(f"/v1/attempts/{verb}", body)
            report = _REPORT_DECODER.decode(answer)
        except (
            NotSentError,
            ConnectionLostError,
            HttpStatusError,
            msgspec.DecodeError,
        ):
            self.post_event(QueryFailed(server_id=self.record.instance_id))
            return
        self._post_report(report)

    async def _fence(self, job_id, term):
        body = msgspec.json.encode(JobFence(job_id=job_id, term=term))
        report = None
        try:
            answer = await self._call("/v1/jobs/fence", body)
            report = _REPORT_DECODER.decode(answer)
        except (NotSentError, ConnectionLostError, HttpStatusError):
            pass
        except msgspec.DecodeError:
            pass
        self.post_event(
            JobFenced(server_id=self.record.instance_id, job_id=job_id, report=report)
        )

    async def _call(self, path, body):
        return await send_request(
            self._pool,
            "POST",
            path,
            body,
            JSON_HEADERS,
            timeout_s=self.query_timeout_s,
            is_new=True,
        )

    def _post_report(self, report):
        self.post_event(
            ServerReported(server_id=self.record.instance_id, report=report)
        )

    def _post_lost(self, open_ids):
        self.post_event(
            StartLost(server_id=self.record.instance_id, attempt_ids=tuple(open_ids))
        )

    def _post_not_sent(self, open_ids):
        self.post_event(
            StartNotSent(server_id=self.record.instance_id, attempt_ids=tuple(open_ids))
        )
