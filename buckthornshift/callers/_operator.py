"""Client for operators: the catalogue in the platform's log, state of instances."""

import asyncio
import time
import uuid

import attrs
import msgspec

from ..contracts import (
    CATALOGUE_STREAM,
    BuckthornshiftError,
    CatalogueChange,
    InstanceKind,
    InstanceList,
    LogBatch,
    decode_message,
    encode_message,
)
from ..core import Catalogue
from ..links import (
    LINK_ERRORS,
    ConnectionLostError,
    HttpPool,
    send_request,
)

VERDICT_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.1


class PlatformUnreachableError(BuckthornshiftError):
    """The platform's log or instance list cannot be reached."""


class CatalogueIncompleteError(BuckthornshiftError):
    """The log has trimmed records of the catalogue that no snapshot covers."""


class VerdictUnknownError(BuckthornshiftError):
    """A change was sent, but it is unknown whether the log contains it."""


@attrs.frozen(kw_only=True)
class InstanceCataloguePosition:
    """Position of one entry instance in the catalogue stream.

    :param instance_id: name of the instance.
    :param covers: offset up to which the instance has read the stream; -1 if it does
        not answer.
    """

    instance_id: str = ""
    covers: int = -1


class OperatorClient:
    """Read and change the catalogue, and query the state of instances.

    :param host: IP address of the platform.
    :param port: TCP port of the platform.
    """

    def __init__(self, host="127.0.0.1", port=0):
        self.host = host
        self.port = port
        self._pool = HttpPool(host=host, port=port)

    async def read_catalogue(self):
        """Return the :class:`~buckthornshift.core.Catalogue` from the log.

        :raises PlatformUnreachableError: if the log cannot be reached.
        :raises CatalogueIncompleteError: if the log has trimmed a part of it.
        """
        catalogue = Catalogue()
        await self._read_to_head(catalogue, 0)
        return catalogue

    async def apply(self, items, based_on, author=""):
        """Append a change to the log and return whether it was accepted.

        If the response to the append is lost, the outcome is unknown, so the log is
        read until the change is found.

        :param items: changed items by key.
        :param based_on: catalogue version that the change is based on.
        :param author: who makes the change.
        :returns: a :class:`~buckthornshift.core.ChangeResult`.
        :raises VerdictUnknownError: if the change is not found in the log in time.
        :raises PlatformUnreachableError: if the log cannot be reached.
        :raises CatalogueIncompleteError: if the log has trimmed a part of the
            catalogue.
        """
        catalogue = await self.read_catalogue()
        change = CatalogueChange(
            change_id=str(uuid.uuid4()), based_on=based_on, author=author, items=items
        )
        path = f"/v1/streams/{CATALOGUE_STREAM}/records"
        try:
            await self._send_request("POST", path, encode_message(change))
        except ConnectionLostError:
            pass
        except LINK_ERRORS as error:
            raise PlatformUnreachableError(str(error)) from error
        return await self._find_verdict(catalogue, change.change_id)

    async def list_instances(self):
        """Return the platform's list of instances.

        :raises PlatformUnreachableError: if the platform cannot be reached.
        """
        try:
            body = await self._send_request("GET", "/v1/instances")
            return msgspec.json.decode(body, type=InstanceList)
        except LINK_ERRORS as error:
            raise PlatformUnreachableError(str(error)) from error

    async def read_catalogue_positions(self):
        """Return the catalogue positions of all listed entry instances."""
        listed = await self.list_instances()
        entries = [r for r in listed.instances if r.kind is InstanceKind.ENTRY]
        return await asyncio.gather(
            *(self._read_catalogue_position(r) for r in entries)
        )

    async def wait_until_applied(self, offset, timeout_s):
        """Wait until all listed entry instances have read a change from the log.

        :param offset: log offset of the change.
        :param timeout_s: maximum wait, in seconds.
        :returns: positions of the instances that have not read it; empty on success.
        """
        deadline_s = time.monotonic() + timeout_s
        while True:
            positions = await self.read_catalogue_positions()
            lagging = [p for p in positions if p.covers <= offset]
            if not lagging or time.monotonic() >= deadline_s:
                return lagging
            await asyncio.sleep(POLL_INTERVAL_S)

    def close(self):
        """Close the idle connections to the platform."""
        self._pool.close()

    async def _send_request(self, method, path, body=b""):
        return await send_request(self._pool, method, path, body, timeout_s=5.0)

    async def _read_to_head(self, catalogue, offset):
        while True:
            path = f"/v1/streams/{CATALOGUE_STREAM}/records?from={offset}"
            try:
                body = await self._send_request("GET", path)
                batch = msgspec.msgpack.decode(body, type=LogBatch)
            except LINK_ERRORS as error:
                raise PlatformUnreachableError(str(error)) from error
            for record in batch.records:
                catalogue.consume_record(record.offset, decode_message(record.body))
            catalogue.finish_read(batch)
            offset = batch.next_offset
            if offset >= batch.head:
                break
        if not catalogue.is_ready:
            raise CatalogueIncompleteError(f"the log starts at offset {batch.earliest}")
        return offset

    async def _find_verdict(self, catalogue, change_id):
        deadline_s = time.monotonic() + VERDICT_TIMEOUT_S
        offset = catalogue.covers
        while time.monotonic() < deadline_s:
            offset = await self._read_to_head(catalogue, offset)
            verdict = catalogue.results_by_change.get(change_id)
            if verdict is not None:
                return verdict
            await asyncio.sleep(POLL_INTERVAL_S)
        raise VerdictUnknownError(change_id)

    async def _read_catalogue_position(self, record):
        pool = HttpPool(host=record.host, port=record.http_port)
        try:
            body = await send_request(pool, "GET", "/v1/catalogue", timeout_s=1.0)
            covers = msgspec.json.decode(body)["covers"]
        except LINK_ERRORS:
            covers = -1
        finally:
            pool.close()
        return InstanceCataloguePosition(instance_id=record.instance_id, covers=covers)
