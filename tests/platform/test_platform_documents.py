"""Documents of the platform are decoded completely or rejected with an error."""

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


def test_a_server_entry_is_decoded():
    server = decode_server("i-1", encode(SERVER))
    assert (server.host, server.port, server.is_draining) == ("10.0.0.9", 8080, False)
    assert server.capacity == Resources(cpu=16000, memory_mb=32768)
    assert decode_server("i", encode(SERVER | {"State": "draining"})).is_draining
    assert server.started_ms == 0
    restarted = decode_server("i-1", encode(SERVER | {"born": 1_800_000_000_123}))
    assert restarted.started_ms == 1_800_000_000_123
    assert server.cold_left_ms == 0.0
    assert decode_server("i", encode(SERVER | {"ColdLeftMs": 900})).cold_left_ms == 900


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
        encode(SERVER | {"Address": "10.0.0.9:\u00b2"}),
        encode(SERVER | {"Address": "10.0.0.9:70000"}),
        encode(SERVER | {"Address": "10.0.0.9\r\nX: y:80"}),
        encode(SERVER | {"Capacity": {"Cpu": -1, "MemMb": 1}}),
        encode(SERVER | {"born": "yesterday"}),
        encode(SERVER | {"born": -5}),
        encode(SERVER | {"Capacity": None}),
        encode({k: v for k, v in SERVER.items() if k != "Capacity"}),
    ],
)
def test_an_invalid_server_entry_is_rejected(body):
    with pytest.raises(UnreadableError):
        decode_server("i", body)


def with_raw(name, value):
    """Return an entry in which a field has a value in raw JSON."""
    body = encode(SERVER | {name: "RAW"})
    return body.replace(b'"RAW"', value)


NESTED = b"[" * 50_000 + b"]" * 50_000
HUGE = b"1" + b"0" * 400


@pytest.mark.parametrize(
    "body",
    [
        with_raw("Unknown", NESTED),
        with_raw("Capacity", NESTED),
        with_raw("Labels", b"[" + NESTED + b"]"),
        b'{"Capacity":' * 50_000 + b"1" + b"}" * 50_000,
        encode(SERVER | {"Capacity": {"Cpu": 2**31, "MemMb": 1}}),
        encode(SERVER | {"Capacity": {"Cpu": 2**64, "MemMb": 1}}),
        encode(SERVER | {"Capacity": {"Cpu": 1, "MemMb": 2**64}}),
        encode(SERVER | {"Capacity": {"Cpu": 1, "MemMb": 1, "Gpu": 2**64}}),
        with_raw("Capacity", b'{"MemMb":1,"Cpu":' + HUGE + b"}"),
        with_raw("born", HUGE),
        encode(SERVER | {"born": 2**64}),
        with_raw("ColdLeftMs", HUGE),
        with_raw("ColdLeftMs", b"1e999"),
        encode(SERVER | {"ColdLeftMs": 1e300}),
        encode(SERVER | {"Address": "10.0.0.9:0"}),
        encode(SERVER | {"Address": "10.0.0.9:-1"}),
        encode(SERVER | {"Address": "10.0.0.9:65536"}),
        encode(SERVER | {"Address": f"10.0.0.9:{2**64}"}),
        encode(SERVER | {"Address": "10.0.0.999:80"}),
        encode(SERVER | {"Address": "server..example:80"}),
        encode(SERVER | {"Address": "a" * 300 + ":80"}),
        encode(SERVER | {"Zone": "z" * 100_000}),
        encode(SERVER | {"Labels": ["x"] * 1_000}),
        with_raw("Zone", b'"\\ud800"'),
    ],
)
def test_an_odd_server_entry_is_rejected(body):
    """Entries of other programs ended the readers of the list, or stopped them."""
    with pytest.raises(UnreadableError):
        decode_server("i", body)


@pytest.mark.parametrize("name", ["Service", "Address", "Zone", "State"])
def test_error_of_an_odd_server_entry_is_short(name):
    """It is logged each time that its writer renews the entry."""
    with pytest.raises(UnreadableError) as raised:
        decode_server("i", encode(SERVER | {name: "x" * 200_000}))
    assert len(str(raised.value)) < 1_000


@pytest.mark.parametrize(
    "change",
    [
        {"Cpu": 2**64},
        {"MemMb": 2**64},
        {"Gpu": -1},
        {"EstimateMs": 1e300},
        {"AntiAffinity": 2**64},
    ],
)
def test_a_job_with_odd_numbers_is_rejected(change):
    """Its submission could not be sent to the owner."""
    with pytest.raises(UnreadableError):
        decode_job(JOB_ID, encode({"Steps": [STEP | change], "BestEffort": True}))


def test_a_server_id_that_does_not_fit_in_a_header_is_rejected():
    with pytest.raises(UnreadableError):
        decode_server("i\r\nHost: x", encode(SERVER))


def test_a_configuration_is_decoded():
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
def test_an_invalid_configuration_is_rejected(body):
    with pytest.raises(UnreadableError):
        decode_configuration(body)


def test_a_best_effort_job_is_decoded():
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
    ids=["stored", "repeats", "long-running", "gang", "fills", "may miss"],
)
def test_an_unsupported_feature_is_reported(extra, step):
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
def test_an_invalid_job_is_rejected(job_id, value):
    with pytest.raises(UnreadableError):
        decode_job(job_id, encode(value))


# Guards against a job that takes the memory of each owner it is sent to in turn.
@pytest.mark.parametrize("steps", [[{"TaskCount": 10**9}], [{"TaskCount": 300}] * 20])
def test_job_with_too_many_tasks_is_rejected_on_arrival(steps):
    body = json.dumps({"BestEffort": True, "Steps": steps}).encode()
    with pytest.raises(UnreadableError, match="expected at most 4096 in a job"):
        decode_job(JOB_ID, body)


def test_largest_job_of_the_users_is_accepted():
    body = json.dumps({"BestEffort": True, "Steps": [{"TaskCount": 340}]}).encode()
    assert decode_job(JOB_ID, body).job.steps[0].n_tasks == 340
