"""A dispatching process over real sockets, with messages that it can't handle."""

import asyncio
import random
import socket
import struct
from types import SimpleNamespace

import attrs
import pytest
from waiting import TIMEOUT_S, wait_until

from buckthornshift.dispatch import (
    CellClaim,
    DispatchIdentity,
    DropJob,
    EvacuationsRead,
    Heartbeat,
    JobEnded,
    JobSpec,
    LogCode,
    LogLine,
    Queue,
    SendToPeer,
    ServerListUpdate,
    ServerRecord,
    StepSpec,
    SubmitJob,
)
from buckthornshift.proving.soak._ports import find_free_ports
from buckthornshift.serving._peer_connections import PeerConnections
from buckthornshift.serving._process import DispatcherProcess
from buckthornshift.serving._settings import ServingSettings, parse_serving_settings

NOISE = random.Random(1).randbytes(65_536)
SENDER = DispatchIdentity(address="127.0.0.1:9", incarnation=7)


async def start_process():
    """Start a process without a store or other instances; return it and its log."""
    names = ("callers", "readiness", "peers", "store", "metrics")
    ports = find_free_ports(len(names))
    addresses = [f"127.0.0.1:{port}" for port in ports]
    settings = ServingSettings(**dict(zip(names, addresses, strict=True)))
    process = DispatcherProcess(settings=settings, random_state=random.Random(1))
    lines = []
    write_log = process.write_log

    def record_and_write(line):
        lines.append(line)
        write_log(line)

    process.write_log = record_and_write
    await process.start()
    return process, lines


async def send_bytes(address, data):
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    return writer


async def get_status(address, path):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    status_line = await asyncio.wait_for(reader.readline(), TIMEOUT_S)
    writer.close()
    return int(status_line.split()[1])


async def check_serves(process):
    """Check that a process still handles events and answers operators."""
    settings = process.settings
    assert await get_status(settings.readiness, "/-/ready") == 503
    assert await get_status(settings.metrics, "/state") == 200
    before_ms = process.core.context.now_ms
    await wait_until(lambda: process.core.context.now_ms > before_ms)


MESSAGES = [
    SubmitJob(job=JobSpec(steps=()), queue=Queue(name="q")),
    SubmitJob(job=JobSpec(job_id="x", steps=(StepSpec(after=(9,)),)), cell=10**6),
    JobEnded(key=-1, cell=-5),
    Heartbeat(sent_ms=float("nan"), echo_ms=float("inf"), n_cells=0),
    Heartbeat(sent_ms=1.0, n_cells=1, claims=(CellClaim(cell=-1, term=-1),)),
    Heartbeat(sent_ms=2.0, n_cells=3, claims=(CellClaim(cell=10**9),)),
    Heartbeat(
        sent_ms=3.0,
        addresses=("nowhere", "", "a:b:c", "127.0.0.1:x", "127.0.0.1:99999"),
    ),
    ServerListUpdate(servers=(ServerRecord(),), gone_ids=("?",), is_whole=True),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_a_message_with_impossible_values_does_not_end_the_process(message):
    async def run():
        process, _ = await start_process()
        events = []
        connections = PeerConnections(identity=SENDER, post=events.append)
        connections.dial(process.settings.peers)
        await wait_until(lambda: events)
        connections.send(process.settings.peers, Heartbeat(sent_ms=0.5, echo_ms=0.0))
        connections.send(process.settings.peers, message)
        await asyncio.sleep(0.15)
        await check_serves(process)
        connections.close()
        process._stopped.set()
        await process.wait()

    asyncio.run(run())


@pytest.mark.parametrize("port", ["peers", "callers", "readiness", "metrics"])
@pytest.mark.parametrize(
    "data",
    [
        NOISE,
        b"\x00\x00\x10\x00" + b"\x01",
        struct.pack(">I", 12) + b"\x00" * 8 + b"\x00\x02" + b"a:",
        b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n{" + b"[" * 9_000,
        struct.pack(">I", 9_000) + b"\x91" * 9_000,
    ],
    ids=["noise", "partial", "handshake", "nested", "nested_frame"],
)
def test_malformed_bytes_do_not_end_the_process(port, data):
    async def run():
        process, _ = await start_process()
        writer = await send_bytes(getattr(process.settings, port), data)
        await asyncio.sleep(0.05)
        await check_serves(process)
        writer.close()
        process._stopped.set()
        await process.wait()

    asyncio.run(run())


def test_an_unexpected_error_is_logged_and_the_next_event_is_handled():
    """The queue of events must not stay blocked, and the timer must be set again."""

    async def run():
        process, lines = await start_process()
        handle = process.core.handle

        def fail_once(event, now_ms, wall_ms):
            process.core.handle = handle
            raise KeyError("unexpected")

        process.core.handle = fail_once
        process.post(Heartbeat())
        await check_serves(process)
        process._stopped.set()
        await process.wait()
        return lines

    lines = asyncio.run(run())
    (failure,) = [line for line in lines if line.code is LogCode.EVENT_FAILED]
    assert failure.subject == "Heartbeat"
    assert "KeyError" in failure.fields["detail"]


def test_an_action_that_fails_does_not_stop_the_actions_behind_it():
    """The core has recorded them as performed, such as the start of a task."""

    async def run():
        process, lines = await start_process()
        actions = [
            SendToPeer(address="127.0.0.1:9", message=DropJob(key=2**64)),
            LogLine(code=LogCode.STARTED, subject="behind it"),
        ]
        connection = SimpleNamespace(send=print, close=lambda: None)
        process._peer_connections._connection_by_address["127.0.0.1:9"] = connection
        process._perform_all(actions)
        await check_serves(process)
        process._stopped.set()
        await process.wait()
        return lines

    lines = asyncio.run(run())
    assert any(line.subject == "behind it" for line in lines)
    (failure,) = [line for line in lines if line.code is LogCode.EVENT_FAILED]
    assert failure.subject == "SendToPeer"


def test_a_request_that_waits_in_its_socket_at_the_exit_is_answered():
    """Closing a connection with unread data resets it without an answer."""

    async def run():
        process, _ = await start_process()
        host, _, port = process.settings.callers.rpartition(":")
        with socket.create_connection((host, int(port))) as sock:
            await wait_until(lambda: process._job_api.server.connections)
            sock.sendall(b"POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
            process._stopped.set()
            await process.wait()
            sock.settimeout(2.0)
            return sock.recv(1_000)

    assert asyncio.run(run()).startswith(b"HTTP/1.1 503 ")


async def get_body(address, path):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encode()
    )
    body = await asyncio.wait_for(reader.read(), 2.0)
    writer.close()
    return body


def test_evacuated_zones_are_in_the_metrics_and_the_state():
    """Operators compare them between instances before they empty a zone."""

    async def run():
        process, lines = await start_process()
        process.post(EvacuationsRead(version=7, zones=("hall-2", "hall-1")))
        metrics = await get_body(process.settings.metrics, "/metrics")
        state = await get_body(process.settings.metrics, "/state")
        process._stopped.set()
        await process.wait()
        return metrics, state, [line.code for line in lines]

    metrics, state, codes = asyncio.run(run())
    assert b"\nbuckthornshift_evacuated_zones 2.0\n" in metrics
    assert b'"evacuations":{"version":7,"zones":["hall-1","hall-2"]}' in state
    assert LogCode.EVACUATION_CHANGED in codes


def reload(process, **changes):
    process.reload(lambda: attrs.evolve(process.settings, **changes))


def test_reload_applies_what_may_change_and_names_what_needs_a_restart():
    async def run():
        process, lines = await start_process()
        reload(process, cores=4.0, link_mbps=50.0, zone="other", log_lines_per_s=7.0)
        await check_serves(process)
        process._stopped.set()
        await process.wait()
        return process, lines

    process, lines = asyncio.run(run())
    (line,) = [line for line in lines if line.code is LogCode.SETTINGS_RELOADED]
    assert set(line.fields["changed"]) == {"cores", "link_mbps", "log_lines_per_s"}
    assert line.fields["needs_restart"] == ("zone",)
    assert process.core.context.identity.power == 4.0
    assert process.core.context.identity.link_mbps == 50.0
    assert process.settings.zone == ServingSettings().zone
    assert process.log.lines_per_s == 7.0


def test_invalid_settings_file_changes_nothing():
    async def run():
        process, lines = await start_process()
        before = process.settings
        process.reload(lambda: parse_serving_settings('{"cores": "many"}'))
        await check_serves(process)
        process._stopped.set()
        await process.wait()
        return before, process.settings, lines

    before, after, lines = asyncio.run(run())
    assert after is before
    (line,) = [line for line in lines if line.code is LogCode.SETTINGS_REJECTED]
    assert "cores" in line.fields["detail"]
