"""A system of separate processes, discovered through the platform's instance list."""

import asyncio

import msgspec

from ..callers import OperatorClient
from ..contracts import InstanceKind
from ..core import diff_items, flatten_document
from ..links import LINK_ERRORS, HttpPool, send_request
from ._recorder import SystemCounts

READY_TIMEOUT_S = 10.0


class ExternalSystem:
    """System of processes that were started outside this process.

    It has the methods of :class:`LocalSystem` that a load without faults needs.

    :param platform: (host, port) of the platform stand-in.
    """

    def __init__(self, platform=("127.0.0.1", 0)):
        self.platform_address = platform
        self.entries = []
        self.servers = []
        self._baseline_counts = None

    async def start(self):
        """Read the entry instances and backend servers from the platform's list."""
        client = self._make_client()
        listed = await client.list_instances()
        client.close()
        records = listed.instances
        self.entries = [r for r in records if r.kind is InstanceKind.ENTRY]
        self.servers = [r for r in records if r.kind is InstanceKind.BACKEND]

    async def apply_catalogue(self, document):
        """Apply a catalogue at every instance, then record the counts as the baseline.

        :param document: a :class:`~buckthornshift.contracts.CatalogueDocument`.
        """
        client = self._make_client()
        try:
            current = await client.read_catalogue()
            items = diff_items(current.items_by_key, flatten_document(document))
            if items:
                verdict = await client.apply(items, based_on=current.version)
                await client.wait_until_applied(verdict.offset, READY_TIMEOUT_S)
        finally:
            client.close()
        self._baseline_counts = await self._read_counts()

    def list_addresses(self):
        """Return the (host, port) pairs that callers connect to."""
        return [(record.host, record.http_port) for record in self.entries]

    def count_slots(self):
        """Return the total number of slots of all backend servers."""
        return sum(record.slots for record in self.servers)

    async def collect_counts(self):
        """Return the :class:`SystemCounts` since the catalogue was applied."""
        return (await self._read_counts()).subtract(self._baseline_counts)

    async def stop(self):
        """Do nothing, as the processes belong to somebody else."""

    def _make_client(self):
        host, port = self.platform_address
        return OperatorClient(host=host, port=port)

    async def _read_counts(self):
        entry_states = await asyncio.gather(
            *(_get_json(r.host, r.http_port, "/state") for r in self.entries)
        )
        server_counts = await asyncio.gather(
            *(_get_json(r.host, r.port, "/v1/counts") for r in self.servers)
        )
        platform_counts = await _get_json(*self.platform_address, "/v1/counts")
        counts = SystemCounts(
            n_appends=0 if platform_counts is None else platform_counts["n_appends"],
            is_partial=None in (*entry_states, *server_counts, platform_counts),
        )
        for state in entry_states:
            if state is not None:
                counts.add_counters(state["counters"])
        for server_count in server_counts:
            if server_count is not None:
                counts.add_starts(server_count["starts_by_task"])
        return counts


async def _get_json(host, port, path):
    """Return the decoded JSON that a process answers, or ``None`` if it has ended."""
    pool = HttpPool(host=host, port=port)
    try:
        return msgspec.json.decode(
            await send_request(pool, "GET", path, timeout_s=10.0)
        )
    except LINK_ERRORS:
        return None
    finally:
        pool.close()
