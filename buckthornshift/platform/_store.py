"""Client of the platform's store, which holds topics of keyed records.

A topic is an append-only log. A newer record replaces the older ones of its key, and
the store drops replaced records after a time.
"""

import base64
import enum
import struct
import urllib.parse

import attrs
import msgspec

from ..contracts import BuckthornshiftError, ConnectionLostError, NotSentError

CONFIGURATION_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
# Topic of this project, in which each instance publishes its address.
INSTANCES_TOPIC = "keyed.instances"
CONFIGURATION_KEY = "config"
MAX_KEY_BYTES = 255

_TAIL_HEADER = struct.Struct(">QQ")
_LENGTH_PREFIX = struct.Struct(">I")


class StoreErrorKind(enum.StrEnum):
    """Why a call to the store failed."""

    NOT_SENT = "not_sent"
    NO_ANSWER = "no_answer"
    RATE_LIMITED = "rate_limited"
    UNAVAILABLE = "unavailable"
    UNREADABLE = "unreadable"
    UNEXPECTED = "unexpected"


class StoreError(BuckthornshiftError):
    """A call to the store failed.

    :param kind: the :class:`StoreErrorKind`.
    :param detail: description of the failure.
    """

    def __init__(self, kind=StoreErrorKind.UNEXPECTED, detail=""):
        super().__init__(f"{kind}: {detail}")
        self.kind = kind


class HistoryGoneError(BuckthornshiftError):
    """The records at an offset have expired.

    Read the newest record of each key instead, and continue from there.
    """


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """A record of a keyed topic.

    :param key: key.
    :param value: value; empty if the key was deleted.
    """

    key: str = ""
    value: bytes = b""


@attrs.frozen(kw_only=True)
class KeyedBatch:
    """Records of a keyed topic and the offset to read on from.

    :param records: the records, oldest first.
    :param next_offset: offset of the next record to read.
    """

    records: tuple[KeyedRecord, ...] = ()
    next_offset: int = 0


class _WireItem(msgspec.Struct, rename="pascal"):
    key: str
    value: str = ""


class _WirePage(msgspec.Struct):
    items: list[_WireItem] = []
    has_more: bool = msgspec.field(default=False, name="HasMore")
    end: int = msgspec.field(default=0, name="End")


class StoreClient:
    """Asynchronous client of the store. It does not retry.

    :param pool: an HTTP connection pool for the address of the store, with
        ``call(method, target, body, timeout_s)``.
    :param timeout_s: timeout of a response, in seconds.
    """

    def __init__(self, pool=None, timeout_s=1.0):
        self.pool = pool
        self.timeout_s = timeout_s

    async def read_newest(self, topic):
        """Return the newest record of each key.

        The records are read in pages, which are not a consistent snapshot: records may
        be appended between two pages. Reading therefore continues from the end offset
        that came with the first page.

        :param topic: name of the topic.
        :returns: a :class:`KeyedBatch`.
        :raises StoreError: if the call failed.
        """
        records = []
        next_offset = None
        after = None
        while True:
            query = {"Topic": topic, "part": 0}
            if after is not None:
                query["After"] = after
            body = await self._call("GET", "/-/log-newest", query)
            try:
                page = msgspec.json.decode(body, type=_WirePage)
            except msgspec.MsgspecError as error:
                raise StoreError(StoreErrorKind.UNREADABLE, str(error)) from error
            if next_offset is None:
                next_offset = page.end
            records += [_decode_item(item) for item in page.items]
            if not page.has_more or not page.items:
                return KeyedBatch(records=tuple(records), next_offset=next_offset)
            after = page.items[-1].key

    async def read_tail(self, topic, offset, wait_ms):
        """Return the records from an offset on, with a long poll if there are none.

        :param topic: name of the topic.
        :param offset: offset of the first record to return.
        :param wait_ms: longest time that the store waits for a record, in ms.
        :returns: a :class:`KeyedBatch`.
        :raises HistoryGoneError: if the records at the offset have expired.
        :raises StoreError: if the call failed.
        """
        query = {"Topic": topic, "part": 0, "From": offset, "WaitMs": wait_ms}
        body = await self._call("GET", "/-/log-read", query, wait_ms / 1000.0)
        return _decode_tail(body, offset)

    async def put(self, topic, key, value):
        """Append a record with a key.

        :param topic: name of the topic.
        :param key: key, at most ``MAX_KEY_BYTES`` in UTF-8.
        :param value: value, in bytes.
        :raises StoreError: if the call failed; the record may have been appended
            nevertheless.
        """
        key_bytes = key.encode()
        frame = bytes([len(key_bytes)]) + key_bytes + value
        body = _LENGTH_PREFIX.pack(len(frame)) + frame
        query = {"Topic": topic, "part": 0}
        await self._call("POST", "/-/log-append", query, body=body)

    async def _call(self, method, path, query, extra_timeout_s=0.0, body=b""):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            status, response_body = await self.pool.call(
                method, target, body, timeout_s=self.timeout_s + extra_timeout_s
            )
        except NotSentError as error:
            raise StoreError(StoreErrorKind.NOT_SENT, str(error)) from error
        except ConnectionLostError as error:
            raise StoreError(StoreErrorKind.NO_ANSWER, str(error)) from error
        match status:
            case 200:
                return response_body
            case 410:
                raise HistoryGoneError(target)
            case 429:
                raise StoreError(StoreErrorKind.RATE_LIMITED, target)
            case 503:
                raise StoreError(StoreErrorKind.UNAVAILABLE, target)
            case _:
                raise StoreError(StoreErrorKind.UNEXPECTED, f"{status} {target}")


def _decode_item(item):
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # An empty value would stand for a deleted key.
        value = item.value.encode()
    return KeyedRecord(key=item.key, value=value)


def _decode_tail(body, offset):
    if len(body) < _TAIL_HEADER.size:
        raise StoreError(StoreErrorKind.UNREADABLE, f"{len(body)} bytes")
    position = _TAIL_HEADER.size
    records = []
    n_frames = 0
    while position + _LENGTH_PREFIX.size <= len(body):
        (length,) = _LENGTH_PREFIX.unpack_from(body, position)
        frame = body[
            position + _LENGTH_PREFIX.size : position + _LENGTH_PREFIX.size + length
        ]
        if len(frame) < length:
            break
        position += _LENGTH_PREFIX.size + length
        n_frames += 1
        record = _decode_record(frame)
        if record is not None:
            records.append(record)
    return KeyedBatch(records=tuple(records), next_offset=offset + n_frames)


def _decode_record(frame):
    """Return the keyed record of a frame, or ``None`` if the frame holds no key."""
    if not frame or len(frame) < 1 + frame[0]:
        return None
    end = 1 + frame[0]
    key = frame[1:end].decode(errors="replace")
    return KeyedRecord(key=key, value=bytes(frame[end:]))
