"""A system of stand-ins and entry instances on loopback, inside one event loop."""

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
POLL_INTERVAL_S = 0.05


class NotReadyError(BuckthornshiftError):
    """The system on loopback did not become ready before the timeout."""


@attrs.frozen(kw_only=True)
class SystemShape:
    """Size of a system.

    :param n_zones: number of availability zones.
    :param n_entries: number of entry instances, spread over the zones.
    :param n_servers: number of backend servers, spread over the zones.
    :param slots: number of tasks that a server runs at once.
    :param cores: processor cores of a server.
    :param memory_mb: memory of a server, in megabytes.
    :param zone_delay_ms: one-way delay between zones, in milliseconds.
    :param client_delay_ms: one-way delay between callers and instances, in
        milliseconds.
    :param sync_ms: time that a synced append to the log takes, in milliseconds.
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
    """System of a platform stand-in, backend servers and entry instances.

    :param shape: the :class:`SystemShape`.
    :param core: the :class:`~buckthornshift.core.CoreSettings` of the instances.
    :param random_seed: seed of the first instance; each later one gets the next seed.
    """

    def __init__(self, shape=None, core=None, random_seed=1):
        self.shape = shape or SystemShape()
        self.core = core or CoreSettings()
        self.random_seed = random_seed
        self.platform = None
        self.servers = []
        self.entries = []
        self._removed_cores = []
        self._removed_models = []
        self._n_started_entries = 0
        self._n_started_servers = 0

    async def start(self):
        """Start all parts of the system and wait until it is ready."""
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
        """Start another entry instance and return it."""
        index = self._n_started_entries
        self._n_started_entries += 1
        settings = EntrySettings(
            instance_id=f"entry-{index + 1}",
            zone=self._make_zone_name(index),
            platform=Address(port=self.platform.bound_port),
            random_seed=self.random_seed + index,
            core=self.core,
        )
        entry = EntryProcess(settings=settings)
        await entry.start()
        self.entries.append(entry)
        return entry

    async def add_server(self):
        """Start another backend server and return it."""
        index = self._n_started_servers
        self._n_started_servers += 1
        shape = self.shape
        server = BackendStandin(
            BackendStandinSettings(
                server_id=f"server-{index + 1}",
                zone=self._make_zone_name(index),
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
        """Wait until every instance is ready and sees all other instances and servers.

        :raises NotReadyError: if this takes longer than ``READY_TIMEOUT_S``.
        """
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self._poll_until_ready()
        except TimeoutError as error:
            raise NotReadyError(
                "some instances are not ready or do not see all instances and servers"
            ) from error

    async def apply_catalogue(self, document):
        """Apply a catalogue and wait until it is in effect at every instance.

        :param document: a :class:`~buckthornshift.contracts.CatalogueDocument`.
        :raises NotReadyError: if an instance does not have it in time.
        """
        client = OperatorClient(port=self.platform.bound_port)
        try:
            verdict = await client.apply(flatten_document(document), based_on=-1)
            lagging_instances = await client.wait_until_applied(
                verdict.offset, READY_TIMEOUT_S
            )
        finally:
            client.close()
        if lagging_instances:
            raise NotReadyError(
                f"{len(lagging_instances)} instances have not read the catalogue"
            )

    def list_addresses(self):
        """Return the (host, port) pairs that callers connect to."""
        return [("127.0.0.1", entry.http_port) for entry in self.entries]

    def count_slots(self):
        """Return the total number of slots of all backend servers."""
        return self.shape.n_servers * self.shape.slots

    def remove_entry(self, entry):
        """Remove an instance that is about to stop but keep its counters; return it."""
        self.entries.remove(entry)
        self._removed_cores.append(entry.core)
        return entry

    def remove_server(self, server):
        """Remove a server that is about to stop but keep its counts; return it."""
        self.servers.remove(server)
        self._removed_models.append(server.model)
        return server

    async def collect_counts(self):
        """Return the :class:`SystemCounts` since the start."""
        counts = SystemCounts(n_appends=self.platform.log.n_appends)
        for core in [entry.core for entry in self.entries] + self._removed_cores:
            counts.add_counters(attrs.asdict(core.context.counters))
        for model in [server.model for server in self.servers] + self._removed_models:
            counts.add_starts(model.n_starts_by_task)
        return counts

    async def stop(self):
        """Stop all parts of the system without waiting for running jobs."""
        for entry in self.entries:
            await entry.kill()
        for server in self.servers:
            await server.stop()
        await self.platform.stop()

    async def _poll_until_ready(self):
        while not all(self._is_entry_ready(entry) for entry in self.entries):
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_entry_ready(self, entry):
        context = entry.core.context
        n_servers = sum(1 for _ in context.servers.iter_usable())
        return (
            entry.is_ready()
            and context.claims.is_ready
            and context.peers.n_instances >= len(self.entries)
            and n_servers >= len(self.servers)
        )

    def _make_zone_name(self, index):
        return f"zone-{'abcdefghijklmnopqrstuvwxyz'[index % self.shape.n_zones]}"
