"""The client of the store: decoding, and one error kind for each failure."""

import asyncio
import base64
import struct

import pytest

from buckthornshift.contracts import ConnectionLostError, NotSentError
from buckthornshift.platform import (
    HistoryGoneError,
    KeyedRecord,
    StoreClient,
    StoreError,
    StoreErrorKind,
)


class FakePool:
    """Return prepared responses in order, and record the calls."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.calls = []

    async def call(self, method, target, body=b"", timeout_s=0.0):
        self.calls.append((method, target, body))
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


def make_record(key, value):
    frame = bytes([len(key)]) + key + value
    return struct.pack(">I", len(frame)) + frame


def read_tail(*responses):
    client = StoreClient(pool=FakePool(*responses))
    return asyncio.run(client.read_tail("t", 5, 100))


def make_tail(*records):
    return struct.pack(">QQ", 9, 0) + b"".join(records)


def test_a_tail_is_decoded():
    body = make_tail(make_record(b"a", b"1"), make_record(b"b", b""))
    batch = read_tail((200, body))
    assert batch.next_offset == 7
    assert batch.records == (
        KeyedRecord(key="a", value=b"1"),
        KeyedRecord(key="b", value=b""),
    )


def test_a_record_without_a_key_is_skipped():
    without_key = struct.pack(">I", 2) + b"\x09a"
    batch = read_tail((200, make_tail(without_key, make_record(b"b", b"2"))))
    assert batch.next_offset == 7
    assert [record.key for record in batch.records] == ["b"]


def test_a_truncated_record_is_left_for_the_next_read():
    complete = make_record(b"a", b"1")
    batch = read_tail((200, make_tail(complete, make_record(b"b", b"22")[:-1])))
    assert batch.next_offset == 6


@pytest.mark.parametrize(
    ("response", "kind"),
    [
        (NotSentError(), StoreErrorKind.NOT_SENT),
        (ConnectionLostError(), StoreErrorKind.NO_ANSWER),
        ((429, b""), StoreErrorKind.RATE_LIMITED),
        ((503, b""), StoreErrorKind.UNAVAILABLE),
        ((200, b"short"), StoreErrorKind.UNREADABLE),
        ((500, b""), StoreErrorKind.UNEXPECTED),
    ],
)
def test_a_failure_raises_an_error_of_its_kind(response, kind):
    with pytest.raises(StoreError) as error:
        read_tail(response)
    assert error.value.kind is kind


def test_expired_records_raise_history_gone():
    with pytest.raises(HistoryGoneError):
        read_tail((410, b"{}"))


def make_page(keys, has_more, end):
    items = [
        {"Key": key, "Value": base64.b64encode(key.encode()).decode(), "Offset": 1}
        for key in keys
    ]
    more = "true" if has_more else "false"
    text = str(items).replace("'", '"')
    return (200, f'{{"items":{text},"HasMore":{more},"End":{end}}}'.encode())


def test_read_newest_reads_every_page_and_returns_the_end_of_the_first():
    pool = FakePool(make_page(["a", "b"], True, 10), make_page(["c"], False, 12))
    batch = asyncio.run(StoreClient(pool=pool).read_newest("t"))
    assert [record.key for record in batch.records] == ["a", "b", "c"]
    assert batch.next_offset == 10
    assert "After=b" in pool.calls[1][1]


def test_put_encodes_key_and_value():
    pool = FakePool((200, b"{}"))
    asyncio.run(StoreClient(pool=pool).put("t", "key", b"value"))
    assert pool.calls[0][2] == make_record(b"key", b"value")


def test_value_that_is_not_base64_does_not_count_as_deleted():
    """A zone would be used again although the key that evacuates it exists."""
    page = (200, b'{"items":[{"Key":"evacuate/z","Value":"{}"}],"End":3}')
    batch = asyncio.run(StoreClient(pool=FakePool(page)).read_newest("t"))
    assert batch.records[0].value
