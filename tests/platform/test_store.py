"""The store's client: each way to get nothing has its own type."""

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
    """Answer calls from a list; remember what was asked."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    async def call(self, method, target, body=b"", timeout_s=0.0):
        self.asked.append((method, target, body))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def make_record(key, value):
    content = bytes([len(key)]) + key + value
    return struct.pack(">I", len(content)) + content


def read_tail(*answers):
    client = StoreClient(pool=FakePool(*answers))
    return asyncio.run(client.read_tail("t", 5, 100))


def make_tail(*records):
    return struct.pack(">QQ", 9, 0) + b"".join(records)


def test_tail():
    body = make_tail(make_record(b"a", b"1"), make_record(b"b", b""))
    batch = read_tail((200, body))
    assert batch.next_offset == 7
    assert batch.records == (
        KeyedRecord(key="a", value=b"1"),
        KeyedRecord(key="b", value=b""),
    )


def test_a_record_without_a_key_is_stepped_over():
    broken = struct.pack(">I", 2) + b"\x09a"
    batch = read_tail((200, make_tail(broken, make_record(b"b", b"2"))))
    assert batch.next_offset == 7
    assert [record.key for record in batch.records] == ["b"]


def test_a_record_cut_off_is_read_again():
    whole = make_record(b"a", b"1")
    batch = read_tail((200, make_tail(whole, make_record(b"b", b"22")[:-1])))
    assert batch.next_offset == 6


@pytest.mark.parametrize(
    ("answer", "trouble"),
    [
        (NotSentError(), StoreErrorKind.NOT_SENT),
        (ConnectionLostError(), StoreErrorKind.NO_ANSWER),
        ((429, b""), StoreErrorKind.RATE_LIMITED),
        ((503, b""), StoreErrorKind.UNAVAILABLE),
        ((200, b"short"), StoreErrorKind.UNREADABLE),
        ((500, b""), StoreErrorKind.UNEXPECTED),
    ],
)
def test_troubles(answer, kind):
    with pytest.raises(StoreError) as error:
        read_tail(answer)
    assert error.value.kind is kind


def test_expired_records():
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


def test_newest_reads_every_page_and_follows_from_the_first():
    pool = FakePool(make_page(["a", "b"], True, 10), make_page(["c"], False, 12))
    batch = asyncio.run(StoreClient(pool=pool).read_newest("t"))
    assert [record.key for record in batch.records] == ["a", "b", "c"]
    assert batch.next_offset == 10
    assert "After=b" in pool.asked[1][1]


def test_put_frames_key_and_value():
    pool = FakePool((200, b"{}"))
    asyncio.run(StoreClient(pool=pool).put("t", "key", b"value"))
    assert pool.asked[0][2] == make_record(b"key", b"value")
