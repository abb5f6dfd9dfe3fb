"""HTTP clients for the platform: its log and its instance list."""

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
READ_LONG_POLL_MS = 2_000
LIST_LONG_POLL_MS = 2_000
READ_RETRY_DELAY_S = 0.2
REQUEST_TIMEOUT_S = 2.0
LONG_POLL_TIMEOUT_S = 4.0


class LogLink(BackgroundTasks):
    """Read one stream of the platform's log as it grows, and append records to it.

    :param stream: name of the stream.
    :param host: IP address of the platform.
    :param port: TCP port of the platform.
    :param post_event: callable that passes an event to the core.
    """

    def __init__(self, stream="", host="127.0.0.1", port=0, post_event=None):
        super().__init__()
        self.stream = stream
        self.host = host
        self.port = port
        self.post_event = post_event
        self._pool = HttpPool(host=host, port=port)
        self._next_offset = 0
        # The first read, and the first after a failure, does not wait for new records,
        # so that the current head of the stream is known at once.
        self._wait_ms = 0

    def start(self):
        """Start to read the stream from its beginning."""
        self.spawn(self._read_forever())

    def append(self, append_id, body):
        """Append a record in the background; the outcome is posted as an event.

        :param append_id: identifier of the append, repeated in the event.
        :param body: the encoded record.
        """
        self.spawn(self._append(append_id, body))

    def close(self):
        """Stop reading, cancel pending appends and close idle connections."""
        self.cancel_tasks()
        self._pool.close()

    async def _read_forever(self):
        while True:
            try:
                batch = await self._read_batch()
            except LINK_ERRORS:
                self._wait_ms = 0
                self.post_event(LogReadFailed(stream=self.stream))
                await asyncio.sleep(READ_RETRY_DELAY_S)
                continue
            self._wait_ms = READ_LONG_POLL_MS
            self._next_offset = batch.next_offset
            self.post_event(LogRead(stream=self.stream, batch=batch))

    async def _read_batch(self):
        path = (
            f"/v1/streams/{self.stream}/records"
            f"?from={self._next_offset}&wait_ms={self._wait_ms}"
        )
        body = await send_request(
            self._pool, "GET", path, timeout_s=LONG_POLL_TIMEOUT_S
        )
        return msgspec.msgpack.decode(body, type=LogBatch)

    async def _append(self, append_id, body):
        path = f"/v1/streams/{self.stream}/records"
        headers = (("content-type", "application/octet-stream"),)
        try:
            response = await send_request(
                self._pool, "POST", path, body, headers, timeout_s=REQUEST_TIMEOUT_S
            )
            offset = msgspec.json.decode(response, type=AppendResponse).offset
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


class AppendResponse(msgspec.Struct):
    """Response of the platform to an append.

    :param offset: offset of the appended record.
    """

    offset: int = 0


class InstanceListLink:
    """Follow the platform's instance list and register this instance in it.

    :param host: IP address of the platform.
    :param port: TCP port of the platform.
    :param post_event: callable that passes an event to the core.
    """

    def __init__(self, host="127.0.0.1", port=0, post_event=None):
        self.host = host
        self.port = port
        self.post_event = post_event
        self._pool = HttpPool(host=host, port=port)
        self._task = None
        self._registered_record = None

    def start(self):
        """Start to follow the list with long polling."""
        self._task = asyncio.ensure_future(self._follow_list())

    async def register(self, record):
        """Register this instance, now and whenever the list no longer contains it.

        :param record: :class:`~buckthornshift.contracts.InstanceRecord` of this
            instance.
        :returns: whether the platform accepted the registration now.
        """
        self._registered_record = record
        return await self._put_record(record)

    async def deregister(self):
        """Remove this instance from the list; return whether the platform did so."""
        record = self._registered_record
        self._registered_record = None
        if record is None:
            return True
        path = f"/v1/instances/{record.instance_id}"
        return await self._try_request("DELETE", path)

    def close(self):
        """Stop following the list and close idle connections."""
        if self._task is not None:
            self._task.cancel()
        self._pool.close()

    async def _follow_list(self):
        last_version = -1
        while True:
            try:
                listed = await self._read_list(last_version)
            except LINK_ERRORS:
                await asyncio.sleep(READ_RETRY_DELAY_S)
                continue
            if listed.is_unchanged:
                continue
            last_version = listed.version
            self.post_event(InstancesListed(instances=listed))
            await self._register_if_missing(listed)

    async def _read_list(self, known_version):
        path = f"/v1/instances?known={known_version}&wait_ms={LIST_LONG_POLL_MS}"
        body = await send_request(
            self._pool, "GET", path, timeout_s=LONG_POLL_TIMEOUT_S
        )
        return msgspec.json.decode(body, type=InstanceList)

    async def _register_if_missing(self, listed):
        record = self._registered_record
        if record is not None and record not in listed.instances:
            await self._put_record(record)

    async def _put_record(self, record):
        body = msgspec.json.encode(record)
        return await self._try_request(
            "PUT", f"/v1/instances/{record.instance_id}", body
        )

    async def _try_request(self, method, path, body=b""):
        headers = (("content-type", "application/json"),)
        try:
            await send_request(
                self._pool, method, path, body, headers, timeout_s=REQUEST_TIMEOUT_S
            )
        except LINK_ERRORS:
            return False
        return True
