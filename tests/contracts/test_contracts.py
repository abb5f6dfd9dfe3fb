"""Validation of jobs, encoding of messages, digests and job ids."""

import contextlib
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornshift.contracts import (
    AwaitJob,
    DecodeError,
    JobAnswered,
    JobRequest,
    Refusal,
    TaskSpec,
    UnknownMessage,
    compute_job_digest,
    decode_message,
    encode_message,
    make_job_id,
    parse_job,
    parse_job_id_timestamp_ms,
)


def parse_job_value(value):
    return parse_job("id", msgspec.json.encode(value))


@pytest.mark.parametrize(
    ("value", "expected_text"),
    [
        ({"tasks": [{"task_id": "a"}]}, "entry"),
        ({"entry": 3, "tasks": []}, "body.entry: got `int`, expected `str`"),
        ({"entry": "x", "tasks": [{"task_id": "a", "size": 1}]}, "tasks[0].size"),
        ({"entry": "x", "tasks": [{"task_id": "a"}, {"task_id": "a"}]}, "second time"),
        ({"entry": "x", "tasks": [{"task_id": ""}]}, "0 characters"),
        ({"entry": "x", "tasks": [{"task_id": "a", "cores": -1}]}, "expected 0 to"),
        ({"entry": "x", "tasks": [{"task_id": "a", "payload": "x" * 70_000}]}, "bytes"),
        ([], "body"),
    ],
)
def test_invalid_job_is_refused_with_an_explanation(value, expected_text):
    refusal = parse_job_value(value)
    assert isinstance(refusal, Refusal)
    assert expected_text in refusal.detail


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(
    st.binary(max_size=200)
    | st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=8),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(
                st.sampled_from(["entry", "tasks", "task_id", "payload", "timeout_ms"]),
                inner,
                max_size=5,
            )
        ),
        max_leaves=12,
    ).map(lambda value: msgspec.json.encode(value))
)
def test_any_body_is_parsed_or_refused(body):
    assert isinstance(parse_job("id", body), JobRequest | Refusal)


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.binary(max_size=60))
def test_any_bytes_are_decoded_or_raise_decode_error(body):
    with contextlib.suppress(DecodeError):
        decode_message(body)


def test_unknown_fields_and_message_kinds_are_ignored():
    newer_message = msgspec.msgpack.encode(
        ("JobAnswered", {"request_id": 4, "answer": {"job_id": "x"}, "colour": 1})
    )
    assert decode_message(newer_message).answer.job_id == "x"
    unknown_message = msgspec.msgpack.encode(("Novelty", {}))
    assert decode_message(unknown_message) == UnknownMessage(tag="Novelty")
    message = AwaitJob(request_id=1, job=JobRequest(tasks=(TaskSpec(task_id="a"),)))
    assert decode_message(encode_message(message)) == message
    assert decode_message(encode_message(JobAnswered())) == JobAnswered()


def test_job_digest_ignores_only_the_order_of_keys():
    job = JobRequest(tasks=(TaskSpec(payload={"a": 1, "b": 2}),))
    reordered_job = JobRequest(tasks=(TaskSpec(payload={"b": 2, "a": 1}),))
    different_job = JobRequest(tasks=(TaskSpec(payload={"a": 1, "b": 3}),))
    assert compute_job_digest(job) == compute_job_digest(reordered_job)
    assert compute_job_digest(job) != compute_job_digest(different_job)


def test_job_id_contains_its_creation_time():
    job_id = make_job_id(1_700_000_000_123, random.Random(1))
    assert parse_job_id_timestamp_ms(job_id) == 1_700_000_000_123
    for invalid_id in (
        "",
        "x",
        job_id.upper(),
        "00000000-0000-4000-8000-000000000000",
        None,
    ):
        assert parse_job_id_timestamp_ms(invalid_id) is None


def test_deeply_nested_json_is_refused():
    """100,000 nested brackets overflow the stack of the JSON decoder.

    The decoder raises RecursionError, which must not reach the caller.
    """
    assert isinstance(parse_job("id", b"[" * 100_000), Refusal)
