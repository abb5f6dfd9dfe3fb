"""A whole system on loopback inside one event loop: stand-ins and instances."""

import asyncio

import attrs

from ..callers import OperatorClient
from ..contracts import BuckthornshiftError
from ..core import CoreSettings, flatten_document
from ..instances import Address, EntryProcess, EntrySettings
from ..standins import (
    BackendStandin,
    BackendStandinSettings,
    PlatformStandin,
    PlatformStandinSettings,
)
from ._recorder import SystemCounts

READY_TIMEOUT_S = 10.0
POLL_S = 0.05


class NotReadyError(BuckthornshiftError):
    """The system on loopback did not become ready in time."""


@attrs.frozen(kw_only=True)
class SystemShape:
    """Size of a system.

    :param n_zones: availability zones.
    :param n_entries: entry instances, spread over the zones.
    :param n_servers: backend servers, spread over the zones.
    :param slots: tasks that a server runs at once.
    :param cores: processor cores of a server.
    :param memory_mb: memory of a server, in megabytes.
    :param zone_delay_ms: one-way delay between zones.
    :param client_delay_ms: one-way delay between callers and instances.
    :param sync_ms: time that a synced append takes.
    """

    n_zones: int = 1
    n_entries: int = 2
    n_servers: int = 4
    slots: int = 8
    cores: float = 16.0
    memory_mb: int = 32_768
    zone_delay_ms: float = 0.0
    client_delay_ms: float = 0.0
    sync_ms: float = 4.0


class LocalSystem:
    """Start and stop a platform, backend servers and entry instances.

    :param shape: the :class:`SystemShape`.
    :param core: the :class:`~buckthornshift.core.CoreSettings` of the instances.
    :param random_seed: seed of the first instance; others count up.
    """

    def __init__(self, shape=None, core=None, random_seed=1):
        self.shape = shape or SystemShape()
        self.core = core or CoreSettings()
        self.random_seed = random_seed
        self.platform = None
        self.servers = []
        self.entries = []
        self._ended_cores = []
        self._ended_models = []
        self._n_started_entries = 0
        self._n_started_servers = 0

    async def start(self):
        """Start everything and wait until it is ready."""
        self.platform = PlatformStandin(
            PlatformStandinSettings(sync_ms=self.shape.sync_ms)
        )
        await self.platform.start()
        for _ in range(self.shape.n_servers):
            await self.add_server()
        for _ in range(self.shape.n_entries):
            await self.add_entry()
        await self.wait_until_ready()

    async def add_entry(self):
        """Start one more entry instance; return it."""
        index = self._n_started_entries
        self._n_started_entries += 1
        settings = EntrySettings(
            instance_id=f"entry-{index + 1}",
            zone=self._name_zone(index),
            platform=Address(port=self.platform.bound_port),
            random_seed=self.random_seed + index,
            core=self.core,
        )
        entry = EntryProcess(settings=settings)
        await entry.start()
        self.entries.append(entry)
        return entry

    async def add_server(self):
        """Start one more backend server; return it."""
        index = self._n_started_servers
        self._n_started_servers += 1
        shape = self.shape
        server = BackendStandin(
            BackendStandinSettings(
                server_id=f"server-{index + 1}",
                zone=self._name_zone(index),
                slots=shape.slots,
                cores=shape.cores,
                memory_mb=shape.memory_mb,
                zone_delay_ms=shape.zone_delay_ms,
            ),
            platform_port=self.platform.bound_port,
        )
        await server.start()
        self.servers.append(server)
        return server

    async def wait_until_ready(self):
        """Wait until every instance knows the catalogue and the others.

        :raises NotReadyError: if that takes too long.
        """
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self._wait_ready()
        except TimeoutError as error:
            raise NotReadyError("instances do not see the whole system") from error

    async def apply_catalogue(self, document):
        """Bring a catalogue into force at every instance.

        :param document: a :class:`~buckthornshift.contracts.CatalogueDocument`.
        """
        client = OperatorClient(port=self.platform.bound_port)
        try:
            verdict = await client.apply(flatten_document(document), based_on=-1)
            lagging = await client.wait_until_applied(verdict.offset, READY_TIMEOUT_S)
        finally:
            client.close()
        if lagging:
            raise NotReadyError(f"{len(lagging)} instances lack the catalogue")

    def list_addresses(self):
        """Return the (host, port) pairs of the instances for callers."""
        return [("127.0.0.1", entry.http_port) for entry in self.entries]

    def count_slots(self):
        """Return the slots of all backend servers."""
        return self.shape.n_servers * self.shape.slots

    def remove_entry(self, entry):
        """Stop counting on an instance that is about to end; return it."""
        self.entries.remove(entry)
        self._ended_cores.append(entry.core)
        return entry

    def remove_server(self, server):
        """Stop counting on a server that is about to end; return it."""
        self.servers.remove(server)
        self._ended_models.append(server.model)
        return server

    async def collect_counts(self):
        """Return the :class:`SystemCounts` since the start."""
        counts = SystemCounts(n_appends=self.platform.log.n_appends)
        for core in [entry.core for entry in self.entries] + self._ended_cores:
            counts.add_counters(attrs.asdict(core.context.counters))
        for model in [server.model for server in self.servers] + self._ended_models:
            counts.add_starts(model.n_starts_by_task)
        return counts

    async def stop(self):
        """Stop everything at once."""
        for entry in self.entries:
            await entry.kill()
        for server in self.servers:
            await server.stop()
        await self.platform.stop()

    async def _wait_ready(self):
        while not all(self._is_entry_ready(entry) for entry in self.entries):
            await asyncio.sleep(POLL_S)

    def _is_entry_ready(self, entry):
        context = entry.core.context
        n_servers = sum(1 for _ in context.servers.iter_usable())
        return (
            entry.is_ready()
            and context.claims.is_ready
            and context.peers.n_instances >= len(self.entries)
            and n_servers >= len(self.servers)
        )

    def _name_zone(self, index):
        return f"zone-{'abcdefghijklmnopqrstuvwxyz'[index % self.shape.n_zones]}"
