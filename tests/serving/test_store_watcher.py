"""The watcher follows the operators' topic and the list of servers."""

import asyncio
import json
import random

import pytest

from buckthornshift.dispatch import (
    Configuration,
    ConfigurationRead,
    DispatchCore,
    DispatchIdentity,
    EvacuationsRead,
    Heartbeat,
    PeerMessageReceived,
    Resources,
    SendToPeer,
    ServerListUpdate,
    ServerRecord,
    ServersConfirmed,
    ServersRead,
    TimeAdvanced,
)
from buckthornshift.platform import CONFIGURATION_TOPIC, SERVERS_TOPIC, StoreClient
from buckthornshift.platform._server_side import encode_configuration, encode_server
from buckthornshift.serving import _store_watcher
from buckthornshift.serving._http_client import HttpConnectionPool
from buckthornshift.serving._peer_connections import CODEC
from buckthornshift.serving._store_watcher import StoreWatcher
from buckthornshift.standins._fleet_platform import StoreStandin

MAX_WAIT_S = 2.0
WALL_MS = 1.8e12


class WatchedStore:
    """A store on loopback and a watcher of it, whose events are recorded."""

    def __init__(self):
        self.store = StoreStandin()
        self.events = []

    async def start(self):
        await self.store.start()
        self.put_configuration(1)
        self.put("evacuate/z0")
        self.pool = HttpConnectionPool(port=self.store.port)
        self.watcher = StoreWatcher(
            client=StoreClient(pool=self.pool, timeout_s=0.3),
            address="127.0.0.1:9",
            post=self.events.append,
            log=lambda line: None,
        )
        self.watcher.start()

    def put(self, key, value=b"{}"):
        self.store.put(CONFIGURATION_TOPIC, key, value)

    def put_configuration(self, version):
        body = encode_configuration(Configuration(version=version))
        self.put("config", body)

    def list_evacuations(self):
        return [e for e in self.events if isinstance(e, EvacuationsRead)]

    def list_reads(self):
        return [e for e in self.events if isinstance(e, ServersRead)]

    async def wait_for_capacity(self, cpu):
        async with asyncio.timeout(MAX_WAIT_S):
            while not any(
                server.capacity.cpu == cpu
                for event in self.list_reads()[-1:]
                for server in event.servers
            ):
                await asyncio.sleep(0.01)

    def list_confirmations(self):
        return [e for e in self.events if isinstance(e, ServersConfirmed)]

    async def wait_for_zones(self, *zones):
        async with asyncio.timeout(MAX_WAIT_S):
            while [e.zones for e in self.list_evacuations()][-1:] != [zones]:
                await asyncio.sleep(0.01)

    async def wait_for_configuration(self, version):
        event = ConfigurationRead(configuration=Configuration(version=version))
        async with asyncio.timeout(MAX_WAIT_S):
            while event not in self.events:
                await asyncio.sleep(0.01)

    def close(self):
        self.watcher.close()
        self.pool.close()
        self.store.close()


def run_with_store(use):
    async def run():
        watched = WatchedStore()
        await watched.start()
        try:
            await watched.wait_for_zones("z0")
            await use(watched)
        finally:
            watched.close()
        return watched

    return asyncio.run(run())


def test_evacuations_are_known_before_the_configuration():
    """An instance with a configuration may own servers and start tasks."""

    async def use(watched):
        await watched.wait_for_configuration(1)

    watched = run_with_store(use)
    classes = [type(event) for event in watched.events]
    assert classes.index(EvacuationsRead) < classes.index(ConfigurationRead)


def test_changes_are_read_and_only_they_raise_the_version():
    async def use(watched):
        watched.put_configuration(2)
        await watched.wait_for_configuration(2)
        watched.put("evacuate/z1", b"not JSON")
        await watched.wait_for_zones("z0", "z1")
        watched.put("evacuate/z0", b"")
        await watched.wait_for_zones("z1")

    versions = [event.version for event in run_with_store(use).list_evacuations()]
    assert versions == [2, 4, 5]


def test_zone_that_is_evacuated_and_released_twice_ends_released():
    async def use(watched):
        for _ in range(2):
            watched.put("evacuate/z1")
            await asyncio.sleep(0.02)
            watched.put("evacuate/z1", b"")
            await asyncio.sleep(0.02)
        watched.put_configuration(2)
        await watched.wait_for_configuration(2)
        await watched.wait_for_zones("z0")

    events = run_with_store(use).list_evacuations()
    assert [e.version for e in events] == sorted({e.version for e in events})


def test_whole_set_is_read_again_after_history_was_lost():
    """The record that ended an evacuation may be gone when the store is back."""

    async def use(watched):
        await watched.wait_for_configuration(1)
        # The waiting read gets this record alone; the next one is too late.
        watched.put_configuration(2)
        watched.put("evacuate/z0", b"")
        watched.put("evacuate/z1")
        watched.store.forget_history()
        await watched.wait_for_zones("z1")

    events = run_with_store(use).list_evacuations()
    assert [event.version for event in events] == [2, 5]


def test_list_that_has_not_changed_is_confirmed():
    """The age of the list tells the other owners whether they can rely on it."""

    async def use(watched):
        watched.watcher.watch_servers(True)
        async with asyncio.timeout(MAX_WAIT_S):
            while len(watched.list_confirmations()) < 2:
                await asyncio.sleep(0.01)

    watched = run_with_store(use)
    for event in watched.list_confirmations():
        assert 0.0 <= event.age_ms < 300.0


def test_list_is_not_confirmed_while_the_store_does_not_answer():
    async def use(watched):
        watched.watcher.watch_servers(True)
        async with asyncio.timeout(MAX_WAIT_S):
            while not watched.list_confirmations():
                await asyncio.sleep(0.01)
        watched.store.faults.is_away = True
        await asyncio.sleep(0.1)
        n_before = len(watched.list_confirmations())
        await asyncio.sleep(0.8)
        assert len(watched.list_confirmations()) == n_before

    run_with_store(use)


def test_watch_goes_on_after_an_error_that_nobody_expects(monkeypatch):
    """An instance that stopped watching would use an old configuration for ever."""
    decode = _store_watcher.decode_configuration
    failures = []

    def fail_once(body):
        if not failures:
            failures.append(body)
            raise KeyError("unexpected")
        return decode(body)

    async def use(watched):
        await watched.wait_for_configuration(1)
        monkeypatch.setattr(_store_watcher, "decode_configuration", fail_once)
        watched.put_configuration(2)
        await watched.wait_for_configuration(2)

    run_with_store(use)
    assert failures


def send_to_instance(events):
    """Return the messages that an owner sends another instance as it reads the list."""
    core = DispatchCore(
        identity=DispatchIdentity(address="o:1", incarnation=1),
        random_state=random.Random(1),
    )
    now_ms = 0.0
    actions = core.start(now_ms, WALL_MS)
    configuration = ConfigurationRead(configuration=Configuration(version=1))
    for event in (configuration, *events):
        actions += core.handle(event, now_ms, WALL_MS + now_ms)
        for _ in range(20):
            now_ms += 50.0
            heartbeat = Heartbeat(sent_ms=now_ms, echo_ms=now_ms)
            received = PeerMessageReceived(
                address="p:1", incarnation=2, message=heartbeat
            )
            for other in (received, TimeAdvanced()):
                actions += core.handle(other, now_ms, WALL_MS + now_ms)
    return [action.message for action in actions if isinstance(action, SendToPeer)]


def make_entry(**fields):
    capacity = Resources(cpu=16_000, memory_mb=32_768)
    server = ServerRecord(host="10.0.0.9", port=8080, capacity=capacity)
    return json.dumps(json.loads(encode_server(server)) | fields).encode()


ODD_ENTRIES = {
    "nested": make_entry()[:-1] + b',"Odd":' + b"[" * 50_000 + b"]" * 50_000 + b"}",
    "number": make_entry(Capacity={"Cpu": 2**64, "MemMb": 1}),
    "digits": make_entry(Capacity={"Cpu": 10**400, "MemMb": 1}),
    "port": make_entry(Address="10.0.0.9:65536"),
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_stops_neither_the_reader_nor_reaches_other_instances(name):
    """Operators saw instances that ended again and again, or stopped following."""

    async def use(watched):
        watched.store.put(SERVERS_TOPIC, "good", make_entry())
        watched.store.put(SERVERS_TOPIC, "odd", ODD_ENTRIES[name])
        watched.watcher.watch_servers(True)
        await watched.wait_for_capacity(16_000)
        # It is written again and again, as an entry of a server is.
        watched.store.put(SERVERS_TOPIC, "odd", ODD_ENTRIES[name])
        shrunk = make_entry(Capacity={"Cpu": 8_000, "MemMb": 1})
        watched.store.put(SERVERS_TOPIC, "good", shrunk)
        await watched.wait_for_capacity(8_000)

    events = run_with_store(use).list_reads()
    assert {s.server_id for e in events for s in e.servers} == {"good"}
    messages = send_to_instance(events)
    lists = [m for m in messages if isinstance(m, ServerListUpdate)]
    assert {r.server_id for m in lists for r in m.servers} == {"good"}
    assert lists[-1].servers[0].capacity.cpu == 8_000
    for message in messages:
        assert b"odd" not in CODEC.encode(message)
