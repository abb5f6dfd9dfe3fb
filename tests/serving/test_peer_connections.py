"""Messages between instances over real sockets; bad frames end their connection."""

import asyncio
import struct
from types import SimpleNamespace

import pytest

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


async def exchange(messages):
    events, unreadable = [], []
    server = PeerListener(
        post=events.append, on_bad_frame=lambda *args: unreadable.append(args)
    )
    port = await server.start("127.0.0.1", 0)
    identity = DispatchIdentity(address="127.0.0.1:9", incarnation=7)
    links = PeerConnections(identity=identity, post=events.append)
    links.dial(f"127.0.0.1:{port}")
    await asyncio.sleep(0.05)
    for message in messages:
        links.send(f"127.0.0.1:{port}", message)
    await asyncio.sleep(0.05)
    links.close()
    server.close()
    return events, unreadable


def test_messages_arrive_in_order_with_their_sender():
    events, unreadable = asyncio.run(
        exchange([Heartbeat(sent_ms=1.0, held_ids=("s",)), DropJob(key=3)])
    )
    assert isinstance(events[0], PeerConnected)
    assert events[1:] == [
        PeerMessageReceived(
            address="127.0.0.1:9",
            incarnation=7,
            message=Heartbeat(sent_ms=1.0, held_ids=("s",)),
        ),
        PeerMessageReceived(
            address="127.0.0.1:9", incarnation=7, message=DropJob(key=3)
        ),
    ]
    assert not unreadable


def make_frame(body):
    return struct.pack(">I", len(body)) + body


GREETING = make_frame(struct.pack(">QH", 1, 3) + b"a:1")


@pytest.mark.parametrize(
    "data",
    [
        b"\xff" * 64,
        make_frame(b"short"),
        make_frame(struct.pack(">QH", 1, 3) + b"\xff\xff\xff"),
        GREETING + make_frame(b"\xc1 not msgpack"),
        GREETING + make_frame(b"\x92\xa4Beat\xa3abc"),
    ],
    ids=["endless", "no greeting", "no address", "not msgpack", "wrong type"],
)
def test_bad_frames_end_their_connection(data):
    async def run():
        events, unreadable = [], []
        server = PeerListener(
            post=events.append, on_bad_frame=lambda *args: unreadable.append(args)
        )
        port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        try:
            rest = await asyncio.wait_for(reader.read(), 1.0)
        except ConnectionError:
            rest = b""
        writer.close()
        server.close()
        return events, unreadable, rest

    events, unreadable, rest = asyncio.run(run())
    assert not events
    assert len(unreadable) == 1
    assert rest == b""


def test_an_unknown_kind_of_message_is_skipped():
    async def run():
        events = []
        server = PeerListener(post=events.append, on_bad_frame=pytest.fail)
        port = await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GREETING + make_frame(b"\x92\xa6Future\x80"))
        writer.write(make_frame(b"\x92\xa7DropJob\x81\xa3key\x05"))
        await asyncio.sleep(0.05)
        writer.close()
        server.close()
        return events

    events = asyncio.run(run())
    assert [event.message for event in events] == [DropJob(key=5)]


def test_a_message_to_everybody_is_encoded_once(monkeypatch):
    """An owner tells its list of servers to every other instance at once."""
    encoded = []
    monkeypatch.setattr(CODEC, "encode", lambda m: encoded.append(m) or b"frame")
    links = PeerConnections(identity=DispatchIdentity(address="127.0.0.1:9"))
    sent = []
    for index in range(3):
        sender = SimpleNamespace(send=sent.append)
        links._sender_by_address[f"peer-{index}:1"] = sender
    first, second = DropJob(key=1), DropJob(key=2)
    for message in (first, first, first, second):
        for index in range(3):
            links.send(f"peer-{index}:1", message)
    assert encoded == [first, second]
    assert len(sent) == 12
