"""Messages between entry instances over gRPC."""

import asyncio

from buckthornshift.contracts import (
    AwaitJob,
    InstanceKind,
    InstanceRecord,
    JobRequest,
)
from buckthornshift.core import PeerReceived, PeerSendFailed
from buckthornshift.links import PeerLink, PeerServer

MESSAGE = AwaitJob(request_id=7, job=JobRequest(job_id="j"))


def make_link(port, post_event):
    record = InstanceRecord(instance_id="b", kind=InstanceKind.ENTRY, port=port)
    return PeerLink(sender_id="a", record=record, post_event=post_event)


def test_message_arrives_with_its_sender():
    async def run():
        received = asyncio.Queue()
        server = PeerServer(post_event=received.put_nowait)
        await server.start()
        link = make_link(server.bound_port, post_event=None)
        link.send(MESSAGE)
        event = await asyncio.wait_for(received.get(), 10.0)
        await link.close()
        await server.stop()
        assert event == PeerReceived(peer_id="a", message=MESSAGE)

    asyncio.run(run())


def test_closed_port_proves_that_nothing_arrived():
    async def run():
        failed = asyncio.Queue()
        server = PeerServer(post_event=None)
        await server.start()
        port = server.bound_port
        await server.stop()
        link = make_link(port, post_event=failed.put_nowait)
        link.send(MESSAGE)
        event = await asyncio.wait_for(failed.get(), 10.0)
        await link.close()
        assert event == PeerSendFailed(
            peer_id="b", message=MESSAGE, may_have_arrived=False
        )

    asyncio.run(run())
