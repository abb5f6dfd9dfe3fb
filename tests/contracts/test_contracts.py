"""Checks of input: what was got and what was expected."""

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


def parse(value):
    return parse_job("id", msgspec.json.encode(value))


@pytest.mark.parametrize(
    ("value", "part"),
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
def test_bad_jobs_are_refused_with_got_and_expected(value, part):
    refusal = parse(value)
    assert isinstance(refusal, Refusal)
    assert part in refusal.detail


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
def test_any_body_gives_a_job_or_a_refusal(body):
    assert isinstance(parse_job("id", body), JobRequest | Refusal)


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.binary(max_size=60))
def test_any_bytes_decode_or_raise_a_typed_error(body):
    with contextlib.suppress(DecodeError):
        decode_message(body)


def test_messages_tolerate_unknown_fields_and_kinds():
    newer = msgspec.msgpack.encode(
        ("JobAnswered", {"request_id": 4, "answer": {"job_id": "x"}, "colour": 1})
    )
    assert decode_message(newer).answer.job_id == "x"
    unknown = msgspec.msgpack.encode(("Novelty", {}))
    assert decode_message(unknown) == UnknownMessage(tag="Novelty")
    message = AwaitJob(request_id=1, job=JobRequest(tasks=(TaskSpec(task_id="a"),)))
    assert decode_message(encode_message(message)) == message
    assert decode_message(encode_message(JobAnswered())) == JobAnswered()


def test_digest_ignores_the_order_of_keys_only():
    first = JobRequest(tasks=(TaskSpec(payload={"a": 1, "b": 2}),))
    second = JobRequest(tasks=(TaskSpec(payload={"b": 2, "a": 1}),))
    third = JobRequest(tasks=(TaskSpec(payload={"a": 1, "b": 3}),))
    assert compute_job_digest(first) == compute_job_digest(second)
    assert compute_job_digest(first) != compute_job_digest(third)


def test_job_ids_carry_their_time():
    job_id = make_job_id(1_700_000_000_123, random.Random(1))
    assert parse_job_id_timestamp_ms(job_id) == 1_700_000_000_123
    for bad in ("", "x", job_id.upper(), "00000000-0000-4000-8000-000000000000", None):
        assert parse_job_id_timestamp_ms(bad) is None


def test_deep_nesting_is_refused():
    """100,000 nested brackets overflowed the decoder's stack."""
    assert isinstance(parse_job("id", b"[" * 100_000), Refusal)
