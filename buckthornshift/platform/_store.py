"""The platform's store: keyed records and the tail of a topic."""

import base64
import enum
import struct
import urllib.parse

import attrs
import msgspec

from ..contracts import BuckthornshiftError, ConnectionLostError, NotSentError

CONFIGURATION_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
# Own topic, in which instances tell where they are reached.
INSTANCES_TOPIC = "keyed.instances"
CONFIGURATION_KEY = "config"

_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class StoreErrorKind(enum.StrEnum):
    """Why a call to the store brought nothing."""

    NOT_SENT = "not_sent"
    NO_ANSWER = "no_answer"
    RATE_LIMITED = "rate_limited"
    UNAVAILABLE = "unavailable"
    UNREADABLE = "unreadable"
    UNEXPECTED = "unexpected"


class StoreError(BuckthornshiftError):
    """A call to the store brought nothing.

    :param kind: the :class:`StoreErrorKind`.
    :param detail: what was seen.
    """

    def __init__(self, kind=StoreErrorKind.UNEXPECTED, detail=""):
        super().__init__(f"{kind}: {detail}")
        self.kind = kind


class HistoryGoneError(BuckthornshiftError):
    """The records at an offset have expired; read the newest of each key instead."""


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """A record of a keyed topic.

    :param key: its key.
    :param value: its value; empty if the key was dropped.
    """

    key: str = ""
    value: bytes = b""


@attrs.frozen(kw_only=True)
class KeyedBatch:
    """Records of a keyed topic with the offset to go on from.

    :param records: the records, oldest first.
    :param next_offset: offset after the last of them.
    """

    records: tuple[KeyedRecord, ...] = ()
    next_offset: int = 0


class _WireItem(msgspec.Struct, rename="pascal"):
    key: str
    value: str = ""


class _WireNewest(msgspec.Struct):
    items: list[_WireItem] = []
    has_more: bool = msgspec.field(default=False, name="HasMore")
    end: int = msgspec.field(default=0, name="End")


class StoreClient:
    """Calls to the store.

    :param pool: an HTTP pool of the store's address, with
        ``call(method, target, body, timeout_s)``.
    :param timeout_s: longest time for an answer, in seconds.
    """

    def __init__(self, pool=None, timeout_s=1.0):
        self.pool = pool
        self.timeout_s = timeout_s

    async def read_newest(self, topic):
        """Return the newest record of each key.

        The pages that the store sends are no snapshot, so the end that goes with
        the first one is the offset to follow from.

        :param topic: name of the topic.
        :returns: a :class:`KeyedBatch`.
        :raises StoreError: if the store did not answer with it.
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
                page = msgspec.json.decode(body, type=_WireNewest)
            except msgspec.MsgspecError as error:
                raise StoreError(StoreErrorKind.UNREADABLE, str(error)) from error
            if next_offset is None:
                next_offset = page.end
            records += [_decode_item(item) for item in page.items]
            if not page.has_more or not page.items:
                return KeyedBatch(records=tuple(records), next_offset=next_offset)
            after = page.items[-1].key

    async def read_tail(self, topic, offset, wait_ms):
        """Return the records from an offset on, waiting for the first.

        :param topic: name of the topic.
        :param offset: offset of the first record wanted.
        :param wait_ms: longest time that the store waits for a record.
        :returns: a :class:`KeyedBatch`.
        :raises HistoryGoneError: if these records have expired.
        :raises StoreError: if the store did not answer with it.
        """
        query = {"Topic": topic, "part": 0, "From": offset, "WaitMs": wait_ms}
        body = await self._call("GET", "/-/log-read", query, wait_ms / 1000.0)
        return _decode_tail(body, offset)

    async def put(self, topic, key, value):
        """Append a record with a key.

        :param topic: name of a keyed topic.
        :param key: its key.
        :param value: its value, in bytes.
        :raises StoreError: if it is not certain to be appended.
        """
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = _LENGTH.pack(len(content)) + content
        query = {"Topic": topic, "part": 0}
        await self._call("POST", "/-/log-append", query, body=body)

    async def _call(self, method, path, query, extra_s=0.0, body=b""):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            status, answer = await self.pool.call(
                method, target, body, timeout_s=self.timeout_s + extra_s
            )
        except NotSentError as error:
            raise StoreError(StoreErrorKind.NOT_SENT, str(error)) from error
        except ConnectionLostError as error:
            raise StoreError(StoreErrorKind.NO_ANSWER, str(error)) from error
        match status:
            case 200:
                return answer
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
        value = b""
    return KeyedRecord(key=item.key, value=value)


def _decode_tail(body, offset):
    if len(body) < _HEAD.size:
        raise StoreError(StoreErrorKind.UNREADABLE, f"{len(body)} bytes")
    position = _HEAD.size
    records = []
    n_read = 0
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        content = body[position + _LENGTH.size : position + _LENGTH.size + length]
        if len(content) < length:
            break
        position += _LENGTH.size + length
        n_read += 1
        record = _split_content(content)
        if record is not None:
            records.append(record)
    return KeyedBatch(records=tuple(records), next_offset=offset + n_read)


def _split_content(content):
    """Return a keyed record, or ``None`` if its bytes hold no key."""
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    key = content[1:end].decode(errors="replace")
    return KeyedRecord(key=key, value=bytes(content[end:]))
