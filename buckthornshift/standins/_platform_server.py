"""Platform stand-in over HTTP: log and instance list."""

import asyncio
import time

import attrs
import msgspec
from blacksheep import Content, Response

from ..contracts import InstanceList, InstanceRecord
from ..links import WebServer, make_app
from ._platform_model import ListModel, LogModel, PlatformFaults

MAX_WAIT_MS = 10_000
TRIM_INTERVAL_APPENDS = 100
LIST_POLL_INTERVAL_MS = 50.0


@attrs.frozen(kw_only=True)
class PlatformStandinSettings:
    """Settings of the platform stand-in.

    :param host: IP address to listen on.
    :param port: TCP port; 0 for any.
    :param sync_ms: time that a synced append takes.
    :param retention_ms: time for which records are kept.
    """

    host: str = "127.0.0.1"
    port: int = 0
    sync_ms: float = 4.0
    retention_ms: float = 3_600_000.0


class PlatformStandin:
    """Serve the log and the list by the platform protocol.

    :param settings: the :class:`PlatformStandinSettings`.
    """

    def __init__(self, settings=None):
        self.settings = settings or PlatformStandinSettings()
        self.log = LogModel(retention_ms=self.settings.retention_ms)
        self.list = ListModel()
        self.faults = PlatformFaults()
        self._grown = asyncio.Event()
        self._sync_lock = asyncio.Lock()
        self._is_stopping = False
        self._web = WebServer(
            app=self._make_app(), host=self.settings.host, port=self.settings.port
        )

    @property
    def bound_port(self):
        """Port that is listened on."""
        return self._web.bound_port

    async def start(self):
        """Begin to serve."""
        await self._web.start()

    async def stop(self):
        """Stop serving."""
        self._is_stopping = True
        self._grown.set()
        await self._web.stop()

    def _make_app(self):
        return make_app(
            (
                ("POST", "/v1/streams/{name}/records", self._append),
                ("GET", "/v1/streams/{name}/records", self._read),
                ("GET", "/v1/instances", self._list),
                ("PUT", "/v1/instances/{instance_id}", self._put),
                ("DELETE", "/v1/instances/{instance_id}", self._remove),
                ("GET", "/v1/counts", self._counts),
                ("POST", "/v1/faults", self._set_faults),
            )
        )

    async def _append(self, request):
        if self.faults.is_log_down:
            return Response(503)
        body = await request.read()
        async with self._sync_lock:
            sync_ms = self.settings.sync_ms + self.faults.extra_sync_ms
            await asyncio.sleep(sync_ms / 1000.0)
            now_ms = _read_now_ms()
            name = request.route_values["name"]
            offset = self.log.append(name, bytes(body or b""), now_ms)
        if offset % TRIM_INTERVAL_APPENDS == 0:
            self.log.trim(now_ms)
        self._grown.set()
        self._grown = asyncio.Event()
        if self.faults.n_lose_replies > 0:
            self.faults.n_lose_replies -= 1
            await asyncio.sleep(MAX_WAIT_MS / 1000.0)
        return _respond_json({"offset": offset})

    async def _read(self, request):
        name = request.route_values["name"]
        offset = int(request.query["from"][0])
        wait_ms = min(MAX_WAIT_MS, int(request.query.get("wait_ms", ["0"])[0]))
        deadline = _read_now_ms() + wait_ms
        while True:
            if self.faults.is_log_down:
                return Response(503)
            self.log.trim(_read_now_ms())
            batch = self.log.read(name, offset)
            left_ms = deadline - _read_now_ms()
            is_due = left_ms <= 0 or self._is_stopping
            if batch.records or is_due or offset < batch.earliest:
                break
            await _wait_for(self._grown, left_ms)
        content = Content(b"application/x-msgpack", msgspec.msgpack.encode(batch))
        return Response(200, content=content)

    async def _list(self, request):
        known = int(request.query.get("known", ["-1"])[0])
        wait_ms = min(MAX_WAIT_MS, int(request.query.get("wait_ms", ["0"])[0]))
        deadline = _read_now_ms() + wait_ms
        while True:
            if self.faults.is_list_down:
                return Response(503)
            listed = self.list.read(_read_now_ms(), self.faults.list_lag_ms)
            left_ms = deadline - _read_now_ms()
            if listed.version != known or left_ms <= 0 or self._is_stopping:
                break
            await asyncio.sleep(min(LIST_POLL_INTERVAL_MS, left_ms) / 1000.0)
        if listed.version == known:
            listed = InstanceList(version=known, is_unchanged=True)
        return _respond_json(listed)

    async def _put(self, request):
        record = msgspec.json.decode(await request.read(), type=InstanceRecord)
        self.list.put(record, _read_now_ms())
        return Response(204)

    async def _remove(self, request):
        self.list.remove(request.route_values["instance_id"], _read_now_ms())
        return Response(204)

    async def _counts(self, request):
        return _respond_json(
            {"n_appends": self.log.n_appends, "n_bytes": self.log.n_bytes}
        )

    async def _set_faults(self, request):
        self.faults = msgspec.json.decode(await request.read(), type=PlatformFaults)
        return Response(204)


async def _wait_for(grown, left_ms):
    try:
        async with asyncio.timeout(left_ms / 1000.0):
            await grown.wait()
    except TimeoutError:
        return


def _respond_json(value):
    content = Content(b"application/json", msgspec.json.encode(value))
    return Response(200, content=content)


def _read_now_ms():
    return time.monotonic() * 1000.0
