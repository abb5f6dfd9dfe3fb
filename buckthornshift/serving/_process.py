"""Run a dispatching instance: the dispatch core, its sockets and its timers."""

import asyncio
import random
import traceback

import attrs
import msgspec

from ..contracts import InvalidInputError
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
    PlacementReporter,
    ReconnectPeer,
    RenewLease,
    ResourcesChanged,
    SendToPeer,
    StartRun,
    StopRequested,
    StopRun,
    TimeAdvanced,
    WatchServerList,
)
from ..platform import StoreClient
from ._explain_api import explain
from ._http_client import HttpConnectionPool
from ._http_server import HttpServer
from ._job_api import JobApi
from ._logs import RateLimitedLog
from ._metrics import ServingMetrics
from ._peer_connections import PeerConnections, PeerListener
from ._reload import plan_reload
from ._server_client import ServerClient
from ._settings import (
    compute_power,
    make_identity,
    read_monotonic_ms,
    read_wall_ms,
    split_address,
)
from ._store_watcher import StoreWatcher

STORE_TIMEOUT_S = 0.7
LOG_FLUSH_INTERVAL_S = 0.1
# Interval of the event loop lag probe: short enough to follow a burst of load, long
# enough to cost hardly any processor time.
LAG_PROBE_INTERVAL_S = 0.05
# Time after the core has stopped in which requests that wait in sockets are still read
# and refused: a busy process may read them only then.
FINAL_READ_S = 0.1
# Delay before the sockets close, so that the last responses reach their callers.
CLOSE_GRACE_S = 0.1


class DispatcherProcess:
    """One dispatching instance in its own process.

    Sockets and timers pass events to the dispatch core, which does no I/O; this class
    performs the actions that the core returns.

    :param settings: the :class:`ServingSettings`.
    :param random_state: a :class:`random.Random`; ``None`` for
        :class:`random.SystemRandom`.
    """

    def __init__(self, settings=None, random_state=None):
        self.settings = settings
        self.random_state = random_state
        self._timer = None
        self._timer_due_ms = None
        self._is_handling = False
        self._pending_events = []
        self._stopped = asyncio.Event()

    async def start(self):
        """Open the listening sockets, start the core and watch the store."""
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
        self._placement_reporter = PlacementReporter(
            core=self.core, random_state=random.Random()
        )
        self._make_servers_and_clients()
        await self._listen()
        self._perform_all(self.core.start(read_monotonic_ms(), read_wall_ms()))
        self.post(InstancesFound(addresses=tuple(settings.seeds)))
        self._store_watcher.start()
        self._flush_log()
        self._schedule_lag_probe()

    def post(self, event):
        """Pass an event to the core and perform the actions that it returns.

        Events that are posted while another one is handled are queued and handled
        after it, in order.

        :param event: an event of :mod:`buckthornshift.dispatch`.
        """
        self._pending_events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._pending_events:
                self._handle(self._pending_events.pop(0))
        finally:
            self._is_handling = False

    def _handle(self, event):
        try:
            actions = self.core.handle(event, read_monotonic_ms(), read_wall_ms())
            self._perform_all(actions)
        except Exception as error:
            # One event that can't be handled must not end the process, or stop the
            # events behind it.
            self._log_unexpected_error(event, error)
            self._set_timer()

    def _log_unexpected_error(self, cause, error):
        """Log an error that no part of the program expects.

        :param cause: the event or the action that could not be handled.
        :param error: the exception.
        """
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.write_log(
            LogLine(
                code=LogCode.EVENT_FAILED,
                subject=type(cause).__name__,
                fields={
                    "detail": repr(error),
                    "raised_in": f"{frame.name}:{frame.lineno}",
                },
            )
        )

    def stop(self):
        """Begin a graceful shutdown; :meth:`wait` returns once it is complete."""
        self._job_api.server.begin_graceful_close()
        self.post(StopRequested())

    def reload(self, read_settings):
        """Put those settings in force that may change while the process runs.

        No request is interrupted. An invalid file changes nothing.

        :param read_settings: returns the :class:`ServingSettings` in the file, or
            raises :class:`~buckthornshift.contracts.InvalidInputError`.
        """
        try:
            reload = plan_reload(self.settings, read_settings())
        except InvalidInputError as error:
            self.write_log(
                LogLine(code=LogCode.SETTINGS_REJECTED, fields={"detail": str(error)})
            )
            return
        self.settings = reload.settings
        self.log.lines_per_s = self.settings.log_lines_per_s
        self.post(
            ResourcesChanged(
                power=compute_power(self.settings), link_mbps=self.settings.link_mbps
            )
        )
        self.post(InstancesFound(addresses=tuple(self.settings.seeds)))
        self.write_log(
            LogLine(
                code=LogCode.SETTINGS_RELOADED,
                fields={
                    "changed": reload.changed_names,
                    "needs_restart": reload.restart_names,
                },
            )
        )

    async def wait(self):
        """Wait until the core has stopped, then close every socket."""
        await self._stopped.wait()
        await asyncio.sleep(FINAL_READ_S)
        self._job_api.server.close()
        await asyncio.sleep(CLOSE_GRACE_S)
        self._readiness_server.close()
        self._metrics_server.close()
        self._store_watcher.close()
        self._server_client.close()
        self._peer_connections.close()
        self._peer_listener.close()
        self.log.flush()

    def write_log(self, line):
        """Write an event to the log and count it in the metrics.

        :param line: a :class:`~buckthornshift.dispatch.LogLine`.
        """
        self.metrics.record_event(line)
        self.log.write(line)

    def _make_servers_and_clients(self):
        settings = self.settings
        self._job_api = JobApi(core=self.core, post=self.post)
        self._readiness_server = HttpServer(handler=self._handle_operator_request)
        self._metrics_server = HttpServer(handler=self._handle_operator_request)
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
        await self._readiness_server.start(*split_address(settings.readiness))
        if settings.metrics:
            await self._metrics_server.start(*split_address(settings.metrics))

    def _handle_operator_request(self, exchange):
        match exchange.request.path:
            case "/-/ready":
                exchange.respond(200 if self.core.is_ready() else 503)
            case "/metrics":
                exchange.respond(
                    200, self.metrics.render(self.core, self.log.n_dropped)
                )
            case "/state":
                exchange.respond(200, self._render_state())
            case "/explain":
                explain(exchange, self._placement_reporter, read_monotonic_ms())
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
            try:
                self._perform(action)
            except Exception as error:
                # The core has recorded the actions behind it as performed.
                self._log_unexpected_error(action, error)
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
                self._stopped.set()

    def _set_timer(self):
        due_ms = self.core.find_next_due()
        if due_ms is None or due_ms == self._timer_due_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_ms = due_ms
        delay_s = max(0.0, (due_ms - read_monotonic_ms()) / 1000.0)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self):
        self._timer = None
        self._timer_due_ms = None
        self.post(TimeAdvanced())

    def _schedule_lag_probe(self):
        due_ms = read_monotonic_ms() + LAG_PROBE_INTERVAL_S * 1000.0
        asyncio.get_running_loop().call_later(
            LAG_PROBE_INTERVAL_S, self._post_lag_probe, due_ms
        )

    def _post_lag_probe(self, due_ms):
        self.post(LagProbeDue(due_ms=due_ms))
        self._schedule_lag_probe()

    def _flush_log(self):
        self.log.flush()
        asyncio.get_running_loop().call_later(LOG_FLUSH_INTERVAL_S, self._flush_log)
