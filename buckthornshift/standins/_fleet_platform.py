"""HTTP stand-ins of the platform's store and backend servers, on loopback."""

import asyncio
import random
import time
import urllib.parse

import attrs

from ..dispatch import RenewLease, Resources, ServerRecord, StartRun, StopRun
from ..platform._server_side import (
    decode_append,
    decode_server_request,
    encode_configuration,
    encode_newest,
    encode_server,
    encode_server_response,
    encode_tail,
)
from ..serving._http_server import HttpServer, RequestLimits
from ._task_server import TaskServerModel

HTTP_LIMITS = RequestLimits(max_body_bytes=2_097_152, idle_timeout_s=60.0)
TICK_INTERVAL_S = 0.005
# Range of the delay after which a late command is executed.
LATE_EXECUTION_DELAY_S = (1.0, 4.0)
FULL_CAPACITY = Resources(cpu=16_000, memory_mb=32_768)
SERVERS_TOPIC = "keyed.servers"
CONFIGURATION_TOPIC = "keyed.op"


def read_monotonic_ms():
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000.0


@attrs.define(kw_only=True)
class StoreFaults:
    """Faults of the store.

    :param is_away: whether it responds to every request with 503.
    :param refused_share: fraction of the requests that it refuses with 429.
    :param lost_share: fraction of the reads that get no response.
    """

    is_away: bool = False
    refused_share: float = 0.0
    lost_share: float = 0.0


class StoreStandin:
    """Serve append-only topics of keyed records over HTTP, kept in memory.

    :param host: IP address to listen on.
    :param random_state: a :class:`random.Random` that selects the requests that fail.
    """

    def __init__(self, host="127.0.0.1", random_state=None):
        self.host = host
        self.random_state = random_state or random.Random(0)
        self.port = 0
        self.faults = StoreFaults()
        self._first_offset_by_topic = {}
        self._records_by_topic = {}
        self._waiting_reads = []
        self._server = HttpServer(handler=self._handle, limits=lambda: HTTP_LIMITS)

    async def start(self):
        """Listen on a free port."""
        self.port = await self._server.start(self.host, 0)

    def put(self, topic, key, value):
        """Append a record and respond to the long-polling reads of its topic.

        :param topic: name of the topic.
        :param key: key of the record.
        :param value: body of the record; empty to delete the key.
        """
        self._records_by_topic.setdefault(topic, []).append((key, value))
        waiting, self._waiting_reads = self._waiting_reads, []
        for exchange, waited_topic, offset, timer in waiting:
            if waited_topic == topic:
                timer.cancel()
                self._respond_tail(exchange, topic, offset)
            else:
                self._waiting_reads.append((exchange, waited_topic, offset, timer))

    def forget_history(self):
        """Compact all topics: only the newest record of each key can be read then."""
        for topic, records in self._records_by_topic.items():
            self._first_offset_by_topic[topic] = len(records)

    def close(self):
        """Stop listening."""
        self._server.close()

    def _handle(self, exchange):
        draw = self.random_state.random()
        if self.faults.is_away or draw < self.faults.refused_share:
            exchange.respond(503 if self.faults.is_away else 429)
            return
        self._serve(exchange)

    def _serve(self, exchange):
        request = exchange.request
        query = dict(urllib.parse.parse_qsl(request.query))
        topic = query.get("Topic", "")
        records = self._records_by_topic.setdefault(topic, [])
        match request.path:
            case "/-/log-newest":
                newest = {key: value for key, value in records}
                live = [(key, value) for key, value in newest.items() if value]
                exchange.respond(200, encode_newest(live, len(records)))
            case "/-/log-read":
                self._read(exchange, topic, query)
            case "/-/log-append":
                for key, value in decode_append(request.body):
                    self.put(topic, key, value)
                exchange.respond(200, b"{}")
            case _:
                exchange.respond(404)

    def _read(self, exchange, topic, query):
        offset = int(query["From"])
        first = self._first_offset_by_topic.get(topic, 0)
        if offset < first:
            exchange.respond(410, b'{"First":%d}' % first)
            return
        wait_s = int(query.get("WaitMs", 0)) / 1000.0
        if offset < len(self._records_by_topic[topic]) or not wait_s:
            self._respond_tail(exchange, topic, offset)
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(wait_s, self._respond_tail, exchange, topic, offset)
        self._waiting_reads.append((exchange, topic, offset, timer))

    def _respond_tail(self, exchange, topic, offset):
        if self.random_state.random() < self.faults.lost_share:
            # The connection stays open without a response until the caller times out.
            return
        records = self._records_by_topic[topic]
        exchange.respond(200, encode_tail(records[offset:], len(records)))


class TaskServerStandin:
    """Serve one :class:`TaskServerModel` over HTTP.

    :param model: the model.
    :param record: its :class:`~buckthornshift.dispatch.ServerRecord`; :meth:`start`
        fills in the port.
    :param random_state: a :class:`random.Random` that selects the late commands.
    """

    def __init__(self, model=None, record=None, random_state=None):
        self.model = model
        self.record = record
        self.random_state = random_state or random.Random(0)
        self.port = 0
        self.is_silent = False
        self.is_killed = False
        self.late_probability = 0.0
        self._waiting_renewals = []
        self._server = HttpServer(handler=self._handle, limits=lambda: HTTP_LIMITS)

    async def start(self):
        """Listen on a free port."""
        self.port = await self._server.start(self.record.host, 0)
        self.record = attrs.evolve(self.record, port=self.port)

    def tick(self):
        """End the runs that are due; respond to the renewals whose wait is over."""
        now_ms = read_monotonic_ms()
        self.model.advance(now_ms)
        waiting, self._waiting_renewals = self._waiting_renewals, []
        for exchange, end_ms in waiting:
            if self.model.ended or now_ms >= end_ms:
                self._respond(exchange, self.model.report_runs(now_ms), True)
            else:
                self._waiting_renewals.append((exchange, end_ms))

    def kill(self):
        """End the process abruptly: its runs are lost, its connections close."""
        self.is_killed = True
        self.model.advance(read_monotonic_ms())
        self.model.abort_all_runs()
        self.close()

    def close(self):
        """Stop listening."""
        self._server.close()

    def _handle(self, exchange):
        if self.is_silent:
            return
        request = exchange.request
        command = decode_server_request(
            request.path, request.body, self.model.server_id
        )
        if self.random_state.random() < self.late_probability:
            # The command gets no response and is executed seconds later.
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.random_state.uniform(*LATE_EXECUTION_DELAY_S),
                self._execute,
                None,
                command,
            )
            return
        self._execute(exchange, command)

    def _execute(self, exchange, command):
        if self.is_killed:
            return
        now_ms = read_monotonic_ms()
        match command:
            case StartRun():
                self._respond(exchange, self.model.start(command, now_ms), False)
            case StopRun():
                self._respond(exchange, self.model.stop(command, now_ms), False)
            case RenewLease():
                response = self.model.renew_lease(command, now_ms)
                if exchange is None:
                    return
                if (
                    command.wait_ms
                    and response.verdict == "done"
                    and not response.ended
                ):
                    self._waiting_renewals.append((exchange, now_ms + command.wait_ms))
                    return
                self._respond(exchange, response, True)
            case _ if exchange is not None:
                exchange.respond(404)

    def _respond(self, exchange, response, is_renewal):
        if exchange is None:
            return
        status, body = encode_server_response(response, is_renewal)
        exchange.respond(status, body)


class FleetPlatform:
    """Run a store with a configuration, and backend servers registered in it.

    :param configuration: the first :class:`~buckthornshift.dispatch.Configuration`.
    :param service: service of all servers.
    :param n_servers: number of servers at the start.
    :param plan_run: called with a task's name; returns its duration in ms and
        whether it fails.
    :param observer: has ``on_run_started``, called for every run, and then
        ``on_run_ended``, or ``on_run_aborted`` if the process ends before the run.
    :param open_proxy: coroutine function, called with the port of a server; returns the
        port to register instead. ``None`` to register the port of the server.
    :param random_state: a :class:`random.Random` for the faults.
    """

    def __init__(
        self,
        configuration=None,
        service="cash",
        n_servers=6,
        plan_run=None,
        observer=None,
        open_proxy=None,
        random_state=None,
    ):
        self.configuration = configuration
        self.service = service
        self.n_servers = n_servers
        self.plan_run = plan_run
        self.observer = observer
        self.open_proxy = open_proxy
        self.random_state = random_state or random.Random(0)
        self.store = StoreStandin(random_state=self.random_state)
        self.servers_by_id = {}
        self.record_by_id = {}
        self._n_servers_started = 0
        self._ticker = None

    async def start(self):
        """Start the store and the servers, and register the servers."""
        await self.store.start()
        self.publish(self.configuration)
        for index in range(self.n_servers):
            await self.add_server(index)
        self._ticker = asyncio.ensure_future(self._tick())

    def publish(self, configuration):
        """Write a configuration to the store, as an operator does."""
        self.configuration = configuration
        body = encode_configuration(configuration)
        self.store.put(CONFIGURATION_TOPIC, "config", body)

    async def add_server(self, index):
        """Start a server and register it in the store.

        :param index: selects the rate and the start of its clock.
        """
        self._n_servers_started += 1
        await self._start_server(f"i-{self._n_servers_started:04d}", index)

    async def restart_server(self, server, capacity=FULL_CAPACITY):
        """Kill a server and start one with its id, on another port.

        :param server: the :class:`TaskServerStandin`.
        :param capacity: the :class:`~buckthornshift.dispatch.Resources` that the new
            one declares.
        """
        server.kill()
        server_id = server.record.server_id
        # Later than the former start, also if both are in the same millisecond.
        started_ms = max(int(time.time() * 1000.0), server.model.started_ms + 1)
        await self._start_server(
            server_id, self._n_servers_started, started_ms, capacity
        )

    async def _start_server(
        self, server_id, index, started_ms=0, capacity=FULL_CAPACITY
    ):
        model = TaskServerModel(
            server_id=server_id,
            capacity=capacity,
            clock_rate=1.0 - 0.01 * (index % 3),
            clock_start_ms=1_000.0 * index,
            plan_run=self.plan_run,
            observer=self.observer,
            started_ms=started_ms or int(time.time() * 1000.0),
        )
        record = ServerRecord(
            server_id=server_id,
            service=self.service,
            host="127.0.0.1",
            zone="zone-a",
            capacity=capacity,
            labels=("a",),
            started_ms=model.started_ms,
        )
        server = TaskServerStandin(
            model=model, record=record, random_state=self.random_state
        )
        await server.start()
        if self.open_proxy is not None:
            port = await self.open_proxy(server.port)
            server.record = attrs.evolve(server.record, port=port)
        self.servers_by_id[server_id] = server
        self.register_server(server)

    def register_server(self, server):
        """Write the entry of a server to the store."""
        record = server.record
        self.record_by_id[record.server_id] = record
        self.store.put(SERVERS_TOPIC, record.server_id, encode_server(record))

    def kill_server(self, server):
        """Kill a server abruptly and delete its entry from the store."""
        self.servers_by_id.pop(server.record.server_id, None)
        server.kill()
        self.store.put(SERVERS_TOPIC, server.record.server_id, b"")

    def close(self):
        """Stop the store and all servers."""
        if self._ticker is not None:
            self._ticker.cancel()
        self.store.close()
        for server in self.servers_by_id.values():
            server.close()

    async def _tick(self):
        while True:
            for server in list(self.servers_by_id.values()):
                server.tick()
            await asyncio.sleep(TICK_INTERVAL_S)
