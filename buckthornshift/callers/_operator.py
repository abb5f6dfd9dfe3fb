"""Client for operators: the catalogue on the platform's log, states of instances."""

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
    """The platform's log or list does not answer."""


class CatalogueIncompleteError(BuckthornshiftError):
    """Records of the catalogue were trimmed and no snapshot covers them."""


class VerdictUnknownError(BuckthornshiftError):
    """A change was sent, and it could not be learnt whether it is in the log."""


@attrs.frozen(kw_only=True)
class InstanceCataloguePosition:
    """Catalogue position of one entry instance.

    :param instance_id: the instance.
    :param covers: offset up to which it has read; -1 if it does not answer.
    """

    instance_id: str = ""
    covers: int = -1


class OperatorClient:
    """Read and change the catalogue; ask instances for their state.

    :param host: IP address of the platform.
    :param port: its TCP port.
    """

    def __init__(self, host="127.0.0.1", port=0):
        self.host = host
        self.port = port
        self._pool = HttpPool(host=host, port=port)

    async def read_catalogue(self):
        """Return the :class:`~buckthornshift.core.Catalogue` that the log holds.

        :raises PlatformUnreachableError: if the log does not answer.
        :raises CatalogueIncompleteError: if the log has lost a part of it.
        """
        catalogue = Catalogue()
        await self._read_on(catalogue, 0)
        return catalogue

    async def apply(self, items, based_on, author=""):
        """Append a change and return its verdict from the log.

        A lost reply is neither success nor failure: the log is read on until the
        change is found.

        :param items: changed items by key.
        :param based_on: version that the change is based on.
        :param author: who makes the change.
        :returns: a :class:`~buckthornshift.core.ChangeResult`.
        :raises VerdictUnknownError: if the change was not found in time.
        """
        catalogue = await self.read_catalogue()
        change = CatalogueChange(
            change_id=str(uuid.uuid4()), based_on=based_on, author=author, items=items
        )
        path = f"/v1/streams/{CATALOGUE_STREAM}/records"
        try:
            await self._call("POST", path, encode_message(change))
        except ConnectionLostError:
            pass
        except LINK_ERRORS as error:
            raise PlatformUnreachableError(str(error)) from error
        return await self._find_verdict(catalogue, change.change_id)

    async def list_instances(self):
        """Return the platform's list of instances."""
        try:
            body = await self._call("GET", "/v1/instances")
            return msgspec.json.decode(body, type=InstanceList)
        except LINK_ERRORS as error:
            raise PlatformUnreachableError(str(error)) from error

    async def read_catalogue_positions(self):
        """Return the catalogue position of every listed entry instance."""
        listed = await self.list_instances()
        entries = [r for r in listed.instances if r.kind is InstanceKind.ENTRY]
        return await asyncio.gather(*(self._read_version(r) for r in entries))

    async def wait_until_applied(self, offset, timeout_s):
        """Wait until every listed entry instance has read past an offset.

        :param offset: offset of the change.
        :param timeout_s: longest wait, in seconds.
        :returns: the instances that lag, empty on success.
        """
        give_up_s = time.monotonic() + timeout_s
        while True:
            versions = await self.read_catalogue_positions()
            lagging = [v for v in versions if v.covers <= offset]
            if not lagging or time.monotonic() >= give_up_s:
                return lagging
            await asyncio.sleep(POLL_INTERVAL_S)

    def close(self):
        """Close the connections."""
        self._pool.close()

    async def _call(self, method, path, body=b""):
        return await send_request(self._pool, method, path, body, timeout_s=5.0)

    async def _read_on(self, catalogue, offset):
        while True:
            path = f"/v1/streams/{CATALOGUE_STREAM}/records?from={offset}"
            try:
                body = await self._call("GET", path)
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
            raise CatalogueIncompleteError(f"log kept from offset {batch.earliest}")
        return offset

    async def _find_verdict(self, catalogue, change_id):
        give_up_s = time.monotonic() + VERDICT_TIMEOUT_S
        offset = catalogue.covers
        while time.monotonic() < give_up_s:
            offset = await self._read_on(catalogue, offset)
            verdict = catalogue.results_by_change.get(change_id)
            if verdict is not None:
                return verdict
            await asyncio.sleep(POLL_INTERVAL_S)
        raise VerdictUnknownError(change_id)

    async def _read_version(self, record):
        pool = HttpPool(host=record.host, port=record.http_port)
        try:
            body = await send_request(pool, "GET", "/v1/catalogue", timeout_s=1.0)
            covers = msgspec.json.decode(body)["covers"]
        except LINK_ERRORS:
            covers = -1
        finally:
            pool.close()
        return InstanceCataloguePosition(instance_id=record.instance_id, covers=covers)
