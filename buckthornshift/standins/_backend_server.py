"""Backend server stand-in over HTTP, on the model of a backend server."""

import asyncio
import time
import uuid

import attrs
import msgspec
from blacksheep import Content, Response, StreamedContent

from ..contracts import (
    AttemptQuery,
    InstanceKind,
    InstanceRecord,
    JobFence,
    StartRequest,
)
from ..links import InstanceListLink, WebServer, make_app
from ._backend_model import BackendFaults, BackendModel

SILENCE_DURATION_S = 3_600.0


@attrs.frozen(kw_only=True)
class BackendStandinSettings:
    """Settings of a backend server stand-in.

    :param server_id: name of the server.
    :param zone: availability zone.
    :param host: IP address to listen on.
    :param port: TCP port; 0 for any.
    :param slots: tasks that run at once.
    :param cores: processor cores that it declares.
    :param memory_mb: memory that it declares, in megabytes.
    :param default_run_ms: run time of a task whose payload names none.
    :param zone_delay_ms: one-way delay to other availability zones.
    """

    server_id: str = "server-1"
    zone: str = "zone-a"
    host: str = "127.0.0.1"
    port: int = 0
    slots: int = 8
    cores: float = 16.0
    memory_mb: int = 32_768
    default_run_ms: float = 50.0
    zone_delay_ms: float = 0.0


class BackendStandin:
    """Run tasks of given lengths and answer as the backend protocol asks.

    :param settings: the :class:`BackendStandinSettings`.
    :param platform_host: IP address of the platform.
    :param platform_port: its TCP port; 0 to stay off the list.
    """

    def __init__(self, settings=None, platform_host="127.0.0.1", platform_port=0):
        self.settings = settings
        self.model = BackendModel(
            server_id=settings.server_id,
            incarnation=uuid.uuid4().hex[:12],
            slots=settings.slots,
            default_run_ms=settings.default_run_ms,
        )
        self.n_messages_by_kind = {}
        self._web = WebServer(
            app=self._make_app(), host=settings.host, port=settings.port
        )
        self._list_link = None
        if platform_port:
            self._list_link = InstanceListLink(
                host=platform_host, port=platform_port, post_event=lambda event: None
            )
        self._timer = None

    @property
    def bound_port(self):
        """Port that is listened on."""
        return self._web.bound_port

    async def start(self):
        """Begin to serve and announce the server on the platform's list."""
        await self._web.start()
        if self._list_link is not None:
            self._list_link.start()
            await self._list_link.register(self._make_record())

    async def leave(self):
        """Take no new work, finish what runs, then stop."""
        self.model.is_leaving = True
        if self._list_link is not None:
            await self._list_link.register(self._make_record())
        while self.model.running_ids:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)
        await self.stop()

    async def stop(self):
        """Stop and go off the list."""
        if self._list_link is not None:
            await self._list_link.deregister()
            self._list_link.close()
        await self._web.stop()

    def _make_record(self):
        settings = self.settings
        return InstanceRecord(
            instance_id=settings.server_id,
            kind=InstanceKind.BACKEND,
            incarnation=self.model.incarnation,
            zone=settings.zone,
            host=settings.host,
            port=self.bound_port,
            slots=settings.slots,
            cores=settings.cores,
            memory_mb=settings.memory_mb,
            is_leaving=self.model.is_leaving,
        )

    def _make_app(self):
        return make_app(
            (
                ("POST", "/v1/attempts", self._start),
                ("POST", "/v1/attempts/query", self._query),
                ("POST", "/v1/attempts/cancel", self._cancel),
                ("POST", "/v1/jobs/fence", self._fence),
                ("GET", "/v1/health", self._health),
                ("GET", "/v1/counts", self._counts),
                ("POST", "/v1/faults", self._set_faults),
            )
        )

    async def _start(self, request):
        self._count("start")
        delay_s = self._find_delay_s(request)
        is_silent = self.model.faults.is_silent
        body = await request.read()
        await asyncio.sleep(delay_s)
        await self._block_if_down()
        start = msgspec.json.decode(body, type=StartRequest)
        results = asyncio.Queue()
        refused = self.model.start(start, results, _read_now_ms())
        self._set_timer()
        n_open = len(start.attempts) - len(refused)
        if is_silent:
            await asyncio.sleep(SILENCE_DURATION_S)

        async def iter_lines():
            waiting = n_open
            if refused:
                yield self._encode_line(refused)
            while waiting:
                ended = [await results.get()]
                while not results.empty():
                    ended.append(results.get_nowait())
                waiting -= len(ended)
                if self.model.faults.is_silent:
                    await asyncio.sleep(SILENCE_DURATION_S)
                await asyncio.sleep(delay_s)
                yield self._encode_line(ended)

        return Response(
            200, content=StreamedContent(b"application/x-ndjson", iter_lines)
        )

    async def _query(self, request):
        self._count("query")
        await self._block_if_down()
        query = msgspec.json.decode(await request.read(), type=AttemptQuery)
        return self._respond(self.model.query(query.attempt_ids))

    async def _cancel(self, request):
        self._count("cancel")
        await self._block_if_down()
        query = msgspec.json.decode(await request.read(), type=AttemptQuery)
        reports = self.model.cancel(query.attempt_ids)
        self._finish()
        return self._respond(reports)

    async def _fence(self, request):
        self._count("fence")
        await self._block_if_down()
        fence = msgspec.json.decode(await request.read(), type=JobFence)
        return self._respond(self.model.fence(fence.job_id, fence.term))

    async def _health(self, request):
        await self._block_if_down()
        return self._respond(())

    async def _counts(self, request):
        counts = {
            "server_id": self.settings.server_id,
            "messages": self.n_messages_by_kind,
            "n_refused": self.model.n_refused,
            "starts_by_task": self.model.n_starts_by_task,
        }
        return Response(
            200, content=Content(b"application/json", msgspec.json.encode(counts))
        )

    async def _set_faults(self, request):
        body = await request.read()
        self.model.faults = msgspec.json.decode(body, type=BackendFaults)
        return Response(204)

    async def _block_if_down(self):
        while self.model.faults.is_down:
            await asyncio.sleep(0.05)

    def _find_delay_s(self, request):
        zone = (request.get_first_header(b"x-zone") or b"").decode()
        is_far = zone not in ("", self.settings.zone)
        return self.settings.zone_delay_ms / 1000.0 if is_far else 0.0

    def _respond(self, reports):
        content = Content(b"application/json", self._encode_line(reports))
        return Response(200, content=content)

    def _encode_line(self, reports):
        return msgspec.json.encode(self.model.make_report(reports)) + b"\n"

    def _count(self, kind):
        self.n_messages_by_kind[kind] = self.n_messages_by_kind.get(kind, 0) + 1

    def _set_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_ms = self.model.find_next_due()
        if due_ms is not None:
            delay_s = max(0.0, (due_ms - _read_now_ms()) / 1000.0)
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._finish)

    def _finish(self):
        self._timer = None
        ended = self.model.finish_due(_read_now_ms())
        for attempt in (*ended, *self.model.take_cancelled()):
            attempt.connection.put_nowait(attempt.report)
        self._set_timer()


def _read_now_ms():
    return time.monotonic() * 1000.0
