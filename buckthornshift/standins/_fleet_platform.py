"""The platform as HTTP servers on loopback: its store and its backend servers."""

import asyncio
import time
import urllib.parse

from ..dispatch import HoldServer, Resources, ServerRecord, StartRun, StopRun
from ..platform._server_side import (
    decode_append,
    decode_order,
    encode_answer,
    encode_configuration,
    encode_newest,
    encode_server,
    encode_tail,
)
from ..serving._http_server import HttpServer, ServerLimits
from ._task_server import TaskServerModel

LIMITS = ServerLimits(max_body_bytes=2_097_152, idle_timeout_s=60.0)
TICK_S = 0.005
SERVERS_TOPIC = "keyed.servers"
CONFIGURATION_TOPIC = "keyed.op"


def read_clock_ms():
    """Return a steady time in milliseconds."""
    return time.monotonic() * 1000.0


class StoreStandin:
    """Keyed topics over HTTP.

    :param host: IP address.
    """

    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.port = 0
        self.is_away = False
        self._records_by_topic = {}
        self._waiting = []
        self._server = HttpServer(handler=self._handle, limits=lambda: LIMITS)

    async def start(self):
        """Listen on a free port."""
        self.port = await self._server.start(self.host, 0)

    def put(self, topic, key, value):
        """Append a record, and answer the reads that wait for one."""
        self._records_by_topic.setdefault(topic, []).append((key, value))
        waiting, self._waiting = self._waiting, []
        for exchange, waited_topic, offset, timer in waiting:
            if waited_topic == topic:
                timer.cancel()
                self._answer_tail(exchange, topic, offset)
            else:
                self._waiting.append((exchange, waited_topic, offset, timer))

    def close(self):
        """Stop listening."""
        self._server.close()

    def _handle(self, exchange):
        if self.is_away:
            exchange.respond(503)
            return
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
        wait_s = int(query.get("WaitMs", 0)) / 1000.0
        if offset < len(self._records_by_topic[topic]) or not wait_s:
            self._answer_tail(exchange, topic, offset)
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(wait_s, self._answer_tail, exchange, topic, offset)
        self._waiting.append((exchange, topic, offset, timer))

    def _answer_tail(self, exchange, topic, offset):
        records = self._records_by_topic[topic]
        exchange.respond(200, encode_tail(records[offset:], len(records)))


class TaskServerStandin:
    """One backend server over HTTP.

    :param model: the :class:`TaskServerModel`.
    :param record: its entry; the port is filled in at the start.
    """

    def __init__(self, model=None, record=None):
        self.model = model
        self.record = record
        self.is_silent = False
        self._waiting = []
        self._server = HttpServer(handler=self._handle, limits=lambda: LIMITS)

    async def start(self):
        """Listen on a free port."""
        port = await self._server.start(self.record.host, 0)
        self.record = ServerRecord(
            server_id=self.record.server_id,
            service=self.record.service,
            host=self.record.host,
            port=port,
            zone=self.record.zone,
            capacity=self.record.capacity,
            labels=self.record.labels,
        )

    def tick(self):
        """End what is due, and answer renewals that wait for it."""
        now_ms = read_clock_ms()
        self.model.advance(now_ms)
        waiting, self._waiting = self._waiting, []
        for exchange, end_ms in waiting:
            if self.model.ended or now_ms >= end_ms:
                self._respond(exchange, self.model.look(now_ms), True)
            else:
                self._waiting.append((exchange, end_ms))

    def close(self):
        """Stop listening."""
        self._server.close()

    def _handle(self, exchange):
        if self.is_silent:
            return
        request = exchange.request
        order = decode_order(request.path, request.body, self.model.server_id)
        now_ms = read_clock_ms()
        match order:
            case StartRun():
                self._respond(exchange, self.model.start(order, now_ms), False)
            case StopRun():
                self._respond(exchange, self.model.stop(order, now_ms), False)
            case HoldServer():
                answer = self.model.hold(order, now_ms)
                if order.wait_ms and answer.verdict == "done" and not answer.ended:
                    self._waiting.append((exchange, now_ms + order.wait_ms))
                    return
                self._respond(exchange, answer, True)
            case _:
                exchange.respond(404)

    def _respond(self, exchange, answer, is_hold):
        status, body = encode_answer(answer, is_hold)
        exchange.respond(status, body)


class FleetPlatform:
    """A store with a configuration, and backend servers that are listed in it.

    :param configuration: the :class:`~buckthornshift.dispatch.Configuration`.
    :param service: name of the servers' service.
    :param n_servers: number of servers.
    :param plan_run: called with a task's name; returns its duration in ms and
        whether it fails.
    :param observer: told of each begin and end of a run.
    """

    def __init__(
        self,
        configuration=None,
        service="cash",
        n_servers=6,
        plan_run=None,
        observer=None,
    ):
        self.configuration = configuration
        self.service = service
        self.n_servers = n_servers
        self.plan_run = plan_run
        self.observer = observer
        self.store = StoreStandin()
        self.servers_by_id = {}
        self._ticker = None

    async def start(self):
        """Start the store and the servers, and list them."""
        await self.store.start()
        self.publish(self.configuration)
        for index in range(self.n_servers):
            await self.add_server(index)
        self._ticker = asyncio.ensure_future(self._tick())

    def publish(self, configuration):
        """Publish a configuration as an operator does."""
        self.configuration = configuration
        body = encode_configuration(configuration)
        self.store.put(CONFIGURATION_TOPIC, "config", body)

    async def add_server(self, index):
        """Start a server and list it."""
        server_id = f"i-{len(self.servers_by_id):04d}"
        capacity = Resources(cpu=16_000, memory_mb=32_768)
        model = TaskServerModel(
            server_id=server_id,
            capacity=capacity,
            clock_rate=1.0 - 0.01 * (index % 3),
            clock_start_ms=1_000.0 * index,
            plan_run=self.plan_run,
            observer=self.observer,
        )
        record = ServerRecord(
            server_id=server_id,
            service=self.service,
            host="127.0.0.1",
            zone="zone-a",
            capacity=capacity,
            labels=("a",),
        )
        server = TaskServerStandin(model=model, record=record)
        await server.start()
        self.servers_by_id[server_id] = server
        self.store.put(SERVERS_TOPIC, server_id, encode_server(server.record))

    def close(self):
        """Stop everything."""
        if self._ticker is not None:
            self._ticker.cancel()
        self.store.close()
        for server in self.servers_by_id.values():
            server.close()

    async def _tick(self):
        while True:
            for server in self.servers_by_id.values():
                server.tick()
            await asyncio.sleep(TICK_S)
