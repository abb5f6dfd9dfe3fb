"""Links to the platform: its log and its instance list."""

import asyncio

import msgspec

from ..contracts import InstanceList, LogBatch
from ..core import (
    AppendDone,
    AppendFailed,
    InstancesListed,
    LogRead,
    LogReadFailed,
)
from ._background_tasks import BackgroundTasks
from ._http_connection import (
    ConnectionLostError,
    HttpPool,
    HttpStatusError,
    NotSentError,
    send_request,
)

LINK_ERRORS = (
    NotSentError,
    ConnectionLostError,
    HttpStatusError,
    msgspec.DecodeError,
)
READ_WAIT_MS = 2_000
LIST_WAIT_MS = 2_000
READ_RETRY_S = 0.2
CALL_TIMEOUT_S = 2.0
WAIT_TIMEOUT_S = 4.0


class LogLink(BackgroundTasks):
    """Tail one stream and append to it.

    :param stream: name of the stream.
    :param host: IP address of the platform.
    :param port: its TCP port.
    :param post_event: takes the events that arise.
    """

    def __init__(self, stream="", host="127.0.0.1", port=0, post_event=None):
        super().__init__()
        self.stream = stream
        self.host = host
        self.port = port
        self.post_event = post_event
        self._pool = HttpPool(host=host, port=port)
        self._next_offset = 0
        # The first read, also after a failure, returns at once to tell the position.
        self._wait_ms = 0

    def start(self):
        """Begin to tail the stream."""
        self.spawn(self._tail())

    def append(self, append_id, body):
        """Append a record; the outcome is posted as an event.

        :param append_id: identifies the append.
        :param body: the record.
        """
        self.spawn(self._append(append_id, body))

    def close(self):
        """Stop tailing and drop all connections."""
        self.cancel_tasks()
        self._pool.close()

    async def _tail(self):
        while True:
            try:
                batch = await self._read()
            except LINK_ERRORS:
                self._wait_ms = 0
                self.post_event(LogReadFailed(stream=self.stream))
                await asyncio.sleep(READ_RETRY_S)
                continue
            self._wait_ms = READ_WAIT_MS
            self._next_offset = batch.next_offset
            self.post_event(LogRead(stream=self.stream, batch=batch))

    async def _read(self):
        path = (
            f"/v1/streams/{self.stream}/records"
            f"?from={self._next_offset}&wait_ms={self._wait_ms}"
        )
        body = await send_request(self._pool, "GET", path, timeout_s=WAIT_TIMEOUT_S)
        return msgspec.msgpack.decode(body, type=LogBatch)

    async def _append(self, append_id, body):
        path = f"/v1/streams/{self.stream}/records"
        headers = (("content-type", "application/octet-stream"),)
        try:
            answer = await send_request(
                self._pool, "POST", path, body, headers, timeout_s=CALL_TIMEOUT_S
            )
            offset = msgspec.json.decode(answer, type=AppendReply).offset
        except NotSentError:
            self.post_event(
                AppendFailed(append_id=append_id, may_have_been_appended=False)
            )
            return
        except LINK_ERRORS:
            self.post_event(
                AppendFailed(append_id=append_id, may_have_been_appended=True)
            )
            return
        self.post_event(AppendDone(append_id=append_id, offset=offset))


class AppendReply(msgspec.Struct):
    """Answer of the platform to an append.

    :param offset: offset of the record.
    """

    offset: int = 0


class InstanceListLink:
    """Read the instance list and announce the own instance.

    :param host: IP address of the platform.
    :param port: its TCP port.
    :param post_event: takes the events that arise.
    """

    def __init__(self, host="127.0.0.1", port=0, post_event=None):
        self.host = host
        self.port = port
        self.post_event = post_event
        self._pool = HttpPool(host=host, port=port)
        self._task = None
        self._announced = None

    def start(self):
        """Begin to follow the list."""
        self._task = asyncio.ensure_future(self._follow())

    async def register(self, record):
        """Put the own instance on the list, again and again if need be.

        :param record: the own :class:`~buckthornshift.contracts.InstanceRecord`.
        :returns: whether the platform took it.
        """
        self._announced = record
        return await self._put(record)

    async def deregister(self):
        """Take the own instance off the list; return whether that worked."""
        record = self._announced
        self._announced = None
        if record is None:
            return True
        path = f"/v1/instances/{record.instance_id}"
        return await self._try_call("DELETE", path)

    def close(self):
        """Stop following the list."""
        if self._task is not None:
            self._task.cancel()
        self._pool.close()

    async def _follow(self):
        last_version = -1
        while True:
            try:
                listed = await self._read(last_version)
            except LINK_ERRORS:
                await asyncio.sleep(READ_RETRY_S)
                continue
            if listed.is_unchanged:
                continue
            last_version = listed.version
            self.post_event(InstancesListed(instances=listed))
            await self._announce_if_missing(listed)

    async def _read(self, known_version):
        path = f"/v1/instances?known={known_version}&wait_ms={LIST_WAIT_MS}"
        body = await send_request(self._pool, "GET", path, timeout_s=WAIT_TIMEOUT_S)
        return msgspec.json.decode(body, type=InstanceList)

    async def _announce_if_missing(self, listed):
        record = self._announced
        if record is not None and record not in listed.instances:
            await self._put(record)

    async def _put(self, record):
        body = msgspec.json.encode(record)
        return await self._try_call("PUT", f"/v1/instances/{record.instance_id}", body)

    async def _try_call(self, method, path, body=b""):
        headers = (("content-type", "application/json"),)
        try:
            await send_request(
                self._pool, method, path, body, headers, timeout_s=CALL_TIMEOUT_S
            )
        except LINK_ERRORS:
            return False
        return True
