"""A dispatching instance as a process: the core and the tasks that own sockets."""

import asyncio
import random

import attrs
import msgspec

from ..dispatch import (
    AnswerCaller,
    DisconnectPeer,
    DisconnectServer,
    DispatchCore,
    Exit,
    InstancesFound,
    LagProbeDue,
    LogCode,
    LogLine,
    ReconnectPeer,
    RenewLease,
    SendToPeer,
    StartRun,
    StopRequested,
    StopRun,
    TimeAdvanced,
    WatchServerList,
)
from ..platform import StoreClient
from ._http_client import HttpConnectionPool
from ._http_server import HttpServer
from ._job_api import JobApi
from ._logs import RateLimitedLog
from ._metrics import ServingMetrics
from ._peer_connections import PeerConnections, PeerListener
from ._server_client import ServerClient
from ._settings import make_identity, read_monotonic_ms, read_wall_ms, split_address
from ._store_watcher import StoreWatcher

STORE_TIMEOUT_S = 0.7
LOG_FLUSH_S = 0.1
# Often enough to follow a burst, rare enough to cost nothing.
PROBE_S = 0.05
# Time for the last answers to reach their callers before the sockets close.
CLOSE_GRACE_S = 0.1


class DispatcherProcess:
    """One dispatching instance.

    :param settings: the :class:`ServingSettings`.
    :param random_state: a :class:`random.Random`; ``None`` for the system's.
    """

    def __init__(self, settings=None, random_state=None):
        self.settings = settings
        self.random_state = random_state
        self._timer = None
        self._timer_due_ms = None
        self._is_handling = False
        self._backlog = []
        self._done = asyncio.Event()

    async def start(self):
        """Open every socket and begin."""
        settings = self.settings
        self.identity = make_identity(settings, self.random_state)
        self.log = RateLimitedLog(
            lines_per_s=settings.log_lines_per_s,
            read_monotonic_ms=read_monotonic_ms,
            instance_name=settings.name,
        )
        self.log.open()
        self.metrics = ServingMetrics()
        self.core = DispatchCore(
            identity=self.identity,
            settings=settings.dispatch,
            random_state=self.random_state or random.SystemRandom(),
        )
        self._make_links()
        await self._listen()
        self._perform_all(self.core.start(read_monotonic_ms(), read_wall_ms()))
        self.post(InstancesFound(addresses=tuple(settings.seeds)))
        self._store_watcher.start()
        self._flush_log()
        self._start_probe()

    def post(self, event):
        """Hand an event to the core and perform what it asks for."""
        self._backlog.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._backlog:
                actions = self.core.handle(
                    self._backlog.pop(0), read_monotonic_ms(), read_wall_ms()
                )
                self._perform_all(actions)
        finally:
            self._is_handling = False

    def stop(self):
        """Begin a graceful stop; :meth:`wait` returns when it is done."""
        self._job_api.server.begin_graceful_close()
        self.post(StopRequested())

    def on_reload_signal(self):
        """Take note that the settings file has changed.

        Addresses and limits of a process are fixed at its start; what changes while
        it runs comes from the store.
        """
        self.write_log(LogLine(code=LogCode.SETTINGS_RELOADED))

    async def wait(self):
        """Wait until the instance has stopped, then close everything."""
        await self._done.wait()
        self._job_api.server.close()
        await asyncio.sleep(CLOSE_GRACE_S)
        self._readiness.close()
        self._metrics_server.close()
        self._store_watcher.close()
        self._server_client.close()
        self._peer_connections.close()
        self._peer_listener.close()
        self.log.flush()

    def write_log(self, line):
        """Write a numbered event and count it."""
        self.metrics.record_event(line)
        self.log.write(line)

    def _make_links(self):
        settings = self.settings
        self._job_api = JobApi(core=self.core, post=self.post)
        self._readiness = HttpServer(handler=self._answer_operator)
        self._metrics_server = HttpServer(handler=self._answer_operator)
        self._peer_listener = PeerListener(
            post=self.post, on_bad_frame=self._log_bad_frame
        )
        self._peer_connections = PeerConnections(identity=self.identity, post=self.post)
        self._server_client = ServerClient(
            post=self.post, timeout_s=settings.dispatch.call_timeout_ms / 1000.0
        )
        host, port = split_address(settings.store)
        self._store_watcher = StoreWatcher(
            client=StoreClient(
                pool=HttpConnectionPool(host=host, port=port), timeout_s=STORE_TIMEOUT_S
            ),
            address=settings.peers,
            post=self.post,
            log=self.write_log,
        )

    async def _listen(self):
        settings = self.settings
        listen_peers = settings.listen_peers or settings.peers
        await self._peer_listener.start(*split_address(listen_peers))
        await self._job_api.server.start(*split_address(settings.callers))
        await self._readiness.start(*split_address(settings.readiness))
        if settings.metrics:
            await self._metrics_server.start(*split_address(settings.metrics))

    def _answer_operator(self, exchange):
        match exchange.request.path:
            case "/-/ready":
                exchange.respond(200 if self.core.is_ready() else 503)
            case "/metrics":
                exchange.respond(
                    200, self.metrics.render(self.core, self.log.n_dropped)
                )
            case "/state":
                exchange.respond(200, self._render_state())
            case _:
                exchange.respond(404)

    def _render_state(self):
        state = self.core.dump() | {"settings": attrs.asdict(self.settings)}
        return msgspec.json.encode(state, enc_hook=str)

    def _log_bad_frame(self, address, error):
        self.write_log(
            LogLine(
                code=LogCode.RECORD_IGNORED,
                subject=address or "unknown instance",
                fields={"detail": str(error)},
            )
        )

    def _perform_all(self, actions):
        for action in actions:
            self._perform(action)
        self._set_timer()

    def _perform(self, action):
        match action:
            case SendToPeer(address=address, message=message):
                self._peer_connections.send(address, message)
            case LogLine():
                self.write_log(action)
            case StartRun() | StopRun() | RenewLease():
                self._server_client.perform(action)
            case AnswerCaller():
                self._job_api.answer(action)
            case ReconnectPeer(address=address):
                self._peer_connections.dial(address)
            case DisconnectPeer(address=address):
                self._peer_connections.disconnect(address)
            case DisconnectServer(server_id=server_id):
                self._server_client.disconnect(server_id)
            case WatchServerList(is_on=is_on):
                self._store_watcher.watch_servers(is_on)
            case Exit():
                self._done.set()

    def _set_timer(self):
        due_ms = self.core.find_next_due()
        if due_ms is None or due_ms == self._timer_due_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_ms = due_ms
        delay_s = max(0.0, (due_ms - read_monotonic_ms()) / 1000.0)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._wake)

    def _wake(self):
        self._timer = None
        self._timer_due_ms = None
        self.post(TimeAdvanced())

    def _start_probe(self):
        due_ms = read_monotonic_ms() + PROBE_S * 1000.0
        asyncio.get_running_loop().call_later(PROBE_S, self._probe, due_ms)

    def _probe(self, due_ms):
        self.post(LagProbeDue(due_ms=due_ms))
        self._start_probe()

    def _flush_log(self):
        self.log.flush()
        asyncio.get_running_loop().call_later(LOG_FLUSH_S, self._flush_log)
