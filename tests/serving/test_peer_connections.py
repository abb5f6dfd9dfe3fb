"""Messages between instances over real sockets; a bad frame closes its connection."""

import asyncio
import struct
from types import SimpleNamespace

import pytest
from waiting import TIMEOUT_S, wait_until

from buckthornshift.dispatch import (
    DispatchIdentity,
    DropJob,
    Heartbeat,
    PeerConnected,
    PeerMessageReceived,
)
from buckthornshift.serving._peer_connections import (
    CODEC,
    PeerConnections,
    PeerListener,
)


async def send_messages(messages):
    events, bad_frames = [], []
    server = PeerListener(
        post=events.append, on_bad_frame=lambda *args: bad_frames.append(args)
    )
    port = await server.start("127.0.0.1", 0)
    identity = DispatchIdentity(address="127.0.0.1:9", incarnation=7)
    connections = PeerConnections(identity=identity, post=events.append)
    connections.dial(f"127.0.0.1:{port}")
    await wait_until(lambda: events)
    for message in messages:
        connections.send(f"127.0.0.1:{port}", message)
    await wait_until(lambda: len(events) > len(messages))
    connections.close()
    server.close()
    return events, bad_frames


def test_messages_arrive_in_order_with_their_sender():
    events, bad_frames = asyncio.run(
        send_messages([Heartbeat(sent_ms=1.0, held_ids=("s",)), DropJob(key=3)])
    )
    assert isinstance(events[0], PeerConnected)
    assert events[1:] == [
        PeerMessageReceived(
            address="127.0.0.1:9",
            incarnation=7,
            connection=1,
            message=Heartbeat(sent_ms=1.0, held_ids=("s",)),
        ),
        PeerMessageReceived(
            address="127.0.0.1:9", incarnation=7, connection=1, message=DropJob(key=3)
        ),
    ]
    assert not bad_frames


def test_connections_of_a_process_are_numbered_in_order():
    """A receiver tells what came over a replaced connection from what is current."""

    async def run():
        events = []
        server = PeerListener(post=events.append, on_bad_frame=pytest.fail)
        port = await server.start("127.0.0.1", 0)
        address = f"127.0.0.1:{port}"
        identity = DispatchIdentity(address="127.0.0.1:9", incarnation=7)
        connections = PeerConnections(identity=identity, post=lambda event: None)
        for number in (1, 2):
            connections.dial(address)
            await wait_until(lambda: address in connections._connection_by_address)
            connections.send(address, DropJob(key=number))
            await wait_until(lambda n=number: len(events) == n)
        connections.close()
        server.close()
        return events

    events = asyncio.run(run())
    assert [(e.message.key, e.connection) for e in events] == [(1, 1), (2, 2)]


def make_frame(body):
    return struct.pack(">I", len(body)) + body


HANDSHAKE = make_frame(struct.pack(">QH", 1, 3) + b"a:1")


@pytest.mark.parametrize(
    "data",
    [
        b"\xff" * 64,
        make_frame(b"short"),
        make_frame(struct.pack(">QH", 1, 3) + b"\xff\xff\xff"),
        HANDSHAKE + make_frame(b"\xc1 not msgpack"),
        HANDSHAKE + make_frame(b"\x92\xa4Beat\xa3abc"),
    ],
    ids=[
        "frame too long",
        "handshake too short",
        "no address",
        "not msgpack",
        "wrong type",
    ],
)
def test_a_bad_frame_closes_its_connection(data):
    async def run():
        events, bad_frames = [], []
        server = PeerListener(
            post=events.append, on_bad_frame=lambda *args: bad_frames.append(args)
        )
        port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        try:
            received = await asyncio.wait_for(reader.read(), TIMEOUT_S)
        except ConnectionError:
            received = b""
        writer.close()
        server.close()
        return events, bad_frames, received

    events, bad_frames, received = asyncio.run(run())
    assert not events
    assert len(bad_frames) == 1
    assert received == b""


def test_a_message_of_an_unknown_class_is_skipped():
    async def run():
        events = []
        server = PeerListener(post=events.append, on_bad_frame=pytest.fail)
        port = await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(HANDSHAKE + make_frame(b"\x92\xa6Future\x80"))
        writer.write(make_frame(b"\x92\xa7DropJob\x81\xa3key\x05"))
        await wait_until(lambda: events)
        writer.close()
        server.close()
        return events

    events = asyncio.run(run())
    assert [event.message for event in events] == [DropJob(key=5)]


def test_a_broadcast_message_is_encoded_once(monkeypatch):
    """An owner sends its list of servers to every other instance at the same time."""
    encoded = []
    monkeypatch.setattr(CODEC, "encode", lambda m: encoded.append(m) or b"frame")
    connections = PeerConnections(identity=DispatchIdentity(address="127.0.0.1:9"))
    sent = []
    for index in range(3):
        connection = SimpleNamespace(send=sent.append)
        connections._connection_by_address[f"peer-{index}:1"] = connection
    first, second = DropJob(key=1), DropJob(key=2)
    for message in (first, first, first, second):
        for index in range(3):
            connections.send(f"peer-{index}:1", message)
    assert encoded == [first, second]
    assert len(sent) == 12
