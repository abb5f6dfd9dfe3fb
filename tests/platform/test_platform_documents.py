"""The platform's documents: decoded whole, or refused with a reason."""

import json

import pytest

from buckthornshift.dispatch import Resources
from buckthornshift.platform import (
    UnreadableError,
    decode_configuration,
    decode_job,
    decode_server,
)

JOB_ID = "5c0e7a21d94b36f8"
SERVER = {
    "Service": "cash",
    "Address": "10.0.0.9:8080",
    "Zone": "z",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0},
    "Labels": ["a", "r1-3"],
    "Sequence": 4,
}
ROUTE = {
    "Name": "r",
    "Host": "h.example",
    "PathPrefix": "/p/",
    "TimeoutMs": 1500,
    "TargetCompletionMs": 60,
    "Priority": 2,
    "Service": "cash",
    "MaxAttempts": 3,
    "Stretch": 1.6,
}
STEP = {"TaskCount": 4, "Cpu": 500, "MemMb": 256, "EstimateMs": 900}


def encode(value):
    return json.dumps(value).encode()


def test_server():
    server = decode_server("i-1", encode(SERVER))
    assert (server.host, server.port, server.is_draining) == ("10.0.0.9", 8080, False)
    assert server.capacity == Resources(cpu=16000, memory_mb=32768)
    assert decode_server("i", encode(SERVER | {"State": "draining"})).is_draining


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\x00",
        b"[" * 100_000,
        encode([1, 2]),
        encode({"Service": "cash"}),
        encode(SERVER | {"State": "lost"}),
        encode(SERVER | {"Address": "nowhere"}),
        encode(SERVER | {"Address": 5}),
        encode(SERVER | {"Capacity": None}),
        encode({k: v for k, v in SERVER.items() if k != "Capacity"}),
    ],
)
def test_an_entry_that_names_no_server(body):
    with pytest.raises(UnreadableError):
        decode_server("i", body)


def test_configuration():
    body = encode(
        {
            "Version": 7,
            "Routes": [ROUTE, ROUTE | {"Name": "long", "PathPrefix": "/p/q/"}],
            "Services": [{"Name": "cash"}],
            "Limits": {"MaxBodyBytes": 99},
            "Later": True,
        }
    )
    configuration = decode_configuration(body)
    assert configuration.version == 7
    assert configuration.limits.max_body_bytes == 99
    assert configuration.find_queue("h.example", "/p/q/1").name == "long"
    assert configuration.find_queue("h.example", "/p/1").target_ms == 60
    assert configuration.find_queue("other", "/p/1") is None


@pytest.mark.parametrize("body", [b"{}", b"nope", encode({"Version": "7"})])
def test_unreadable_configuration(body):
    with pytest.raises(UnreadableError):
        decode_configuration(body)


def test_best_effort_job():
    body = encode({"Spec": "text", "Steps": [STEP], "BestEffort": True})
    submission = decode_job(JOB_ID, body)
    assert submission.unsupported == ()
    assert submission.job.steps[0].need.memory_mb == 256
    assert submission.job.make_task_name(0, 3) == f"{JOB_ID}.0.0.3"


@pytest.mark.parametrize(
    ("extra", "step"),
    [
        ({}, {}),
        ({"BestEffort": True, "Repeats": 3}, {}),
        ({"BestEffort": True, "LongRunning": True}, {}),
        ({"BestEffort": True}, {"Gang": True}),
        ({"BestEffort": True}, {"Fills": True}),
        ({"BestEffort": True}, {"MayMiss": 1}),
    ],
    ids=["stored", "repeats", "lasting", "gang", "fills", "may miss"],
)
def test_what_is_not_built_is_named(extra, step):
    submission = decode_job(JOB_ID, encode({"Steps": [STEP | step], **extra}))
    assert submission.unsupported


@pytest.mark.parametrize(
    ("job_id", "value"),
    [
        ("short", {"Steps": [STEP]}),
        (JOB_ID, {}),
        (JOB_ID, {"Steps": []}),
        (JOB_ID, {"Steps": [STEP | {"TaskCount": 0}]}),
        (JOB_ID, {"Steps": [STEP | {"Cpu": -1}]}),
        (JOB_ID, {"Steps": [STEP | {"After": [0]}]}),
        (JOB_ID, {"Steps": [STEP], "Spec": "a" * 4_001}),
        (JOB_ID, {"Steps": "all"}),
    ],
)
def test_unreadable_job(job_id, value):
    with pytest.raises(UnreadableError):
        decode_job(job_id, encode(value))
