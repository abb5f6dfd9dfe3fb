"""Entries of servers with the largest numbers and longest texts that are accepted."""

import json

import msgspec
import pytest
from owner_harness import OwnerHarness

from buckthornshift.dispatch import (
    Heartbeat,
    JobArrived,
    JobSpec,
    PeerMessageReceived,
    Queue,
    Resources,
    SendToPeer,
    ServerListUpdate,
    ServerRecord,
    StepSpec,
)
from buckthornshift.platform import decode_server
from buckthornshift.platform._server_side import encode_server
from buckthornshift.serving._peer_connections import CODEC, MAX_FRAME_BYTES

SERVER = ServerRecord(
    service="cash",
    host="10.0.0.9",
    port=8080,
    capacity=Resources(cpu=16_000, memory_mb=32_768),
)
ENTRY = json.loads(encode_server(SERVER))
QUEUE = Queue(name="q", service="cash", max_attempts=3, stretch=2.0, target_ms=60.0)
STEP = StepSpec(n_tasks=2, need=Resources(cpu=5_000, memory_mb=1), estimate_ms=50.0)
LARGEST = {
    "Capacity": {"Cpu": 2**31 - 1, "MemMb": 2**31 - 1, "Gpu": 2**31 - 1},
    "born": 2**53 - 1,
    "ColdLeftMs": 86_400_000,
    "Labels": ["x" * 255] * 64,
}


class RecordingOwner(OwnerHarness):
    """An owner of one server and those that an entry names, with another instance."""

    def __init__(self, servers):
        super().__init__(queues=(QUEUE,), servers=servers)
        for number in range(60):
            self.now_ms += 50.0
            heartbeat = Heartbeat(sent_ms=self.now_ms, echo_ms=self.now_ms)
            self.feed(
                PeerMessageReceived(address="p:1", incarnation=2, message=heartbeat)
            )
            if number % 10 == 5:
                job = JobSpec(job_id=f"{number:016x}", payload="p", steps=(STEP,))
                self.feed(
                    JobArrived(caller_ref=number, job=job, queue=QUEUE, timeout_ms=1e3)
                )


@pytest.mark.parametrize("name", [None, *LARGEST])
def test_entries_at_the_limits_can_be_used_and_sent_to_other_instances(name):
    """No instance got the list any longer, and jobs failed on arrival."""
    odd = json.dumps(ENTRY | ({name: LARGEST[name]} if name else LARGEST)).encode()
    servers = [decode_server("a", json.dumps(ENTRY).encode())]
    servers += [decode_server(f"i{number}", odd) for number in range(20)]
    owner = RecordingOwner(servers)
    messages = [action.message for action in owner.pop(SendToPeer)]
    assert any(isinstance(message, ServerListUpdate) for message in messages)
    for message in messages:
        assert len(CODEC.encode(message)) < MAX_FRAME_BYTES
    assert msgspec.json.encode(owner.core.dump(), enc_hook=str)
