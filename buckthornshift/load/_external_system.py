"""A system of separate processes, found on the platform's list."""

import asyncio

import msgspec

from ..callers import OperatorClient
from ..contracts import InstanceKind
from ..core import diff_items, flatten_document
from ..links import LINK_ERRORS, HttpPool, send_request
from ._recorder import SystemCounts

READY_TIMEOUT_S = 10.0


class ExternalSystem:
    """Run loads on processes that somebody else started.

    It has the verbs of :class:`LocalSystem` that a load without faults needs.

    :param platform: (host, port) of the platform stand-in.
    """

    def __init__(self, platform=("127.0.0.1", 0)):
        self.platform_address = platform
        self.entries = []
        self.servers = []
        self._before = None

    async def start(self):
        """Find the instances and note their counts so far."""
        client = self._make_client()
        listed = await client.list_instances()
        client.close()
        records = listed.instances
        self.entries = [r for r in records if r.kind is InstanceKind.ENTRY]
        self.servers = [r for r in records if r.kind is InstanceKind.BACKEND]

    async def apply_catalogue(self, document):
        """Bring a catalogue into force at every instance."""
        client = self._make_client()
        try:
            current = await client.read_catalogue()
            items = diff_items(current.items_by_key, flatten_document(document))
            if items:
                verdict = await client.apply(items, based_on=current.version)
                await client.wait_until_applied(verdict.offset, READY_TIMEOUT_S)
        finally:
            client.close()
        self._before = await self._read_counts()

    def list_addresses(self):
        """Return the (host, port) pairs of the instances for callers."""
        return [(record.host, record.http_port) for record in self.entries]

    def count_slots(self):
        """Return the slots of all backend servers."""
        return sum(record.slots for record in self.servers)

    async def collect_counts(self):
        """Return the :class:`SystemCounts` since the catalogue was applied."""
        return (await self._read_counts()).subtract(self._before)

    async def stop(self):
        """Leave the processes as they are."""

    def _make_client(self):
        host, port = self.platform_address
        return OperatorClient(host=host, port=port)

    async def _read_counts(self):
        states = await asyncio.gather(
            *(_get(r.host, r.http_port, "/state") for r in self.entries)
        )
        servers = await asyncio.gather(
            *(_get(r.host, r.port, "/v1/counts") for r in self.servers)
        )
        platform = await _get(*self.platform_address, "/v1/counts")
        counts = SystemCounts(
            n_appends=0 if platform is None else platform["n_appends"],
            is_partial=None in (*states, *servers, platform),
        )
        for state in states:
            if state is not None:
                counts.add_counters(state["counters"])
        for server in servers:
            if server is not None:
                counts.add_starts(server["starts_by_task"])
        return counts


async def _get(host, port, path):
    """Return what a process answers, or ``None`` if it has ended."""
    pool = HttpPool(host=host, port=port)
    try:
        return msgspec.json.decode(
            await send_request(pool, "GET", path, timeout_s=10.0)
        )
    except LINK_ERRORS:
        return None
    finally:
        pool.close()
