"""Watch the platform's store: what operators declare, servers, other instances."""

import asyncio
import contextlib

from ..dispatch import (
    ConfigurationRead,
    EvacuationsRead,
    InstancesFound,
    LogCode,
    LogLine,
    ServersConfirmed,
    ServersRead,
)
from ..platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    INSTANCES_TOPIC,
    SERVERS_TOPIC,
    EvacuatedZones,
    HistoryGoneError,
    StoreError,
    UnreadableError,
    decode_configuration,
    decode_server,
)
from ._settings import read_monotonic_ms

# Long-poll wait. A configuration must be in force 2 s after the store acknowledged it,
# even if the connection has gone silent, so this wait and the timeout of one call
# together must stay below 2 s. Evacuations are read with it; they must be in force
# after 5 s.
CONFIGURATION_WAIT_MS = 1_000
# Polling interval of the server list. A server that leaves must get no more work 2 s
# after the store recorded it.
SERVERS_INTERVAL_S = 0.3
RETRY_INTERVAL_S = 0.15


class StoreWatcher:
    """Read the records of operators, servers and instances and post them as events.

    :param client: a :class:`~buckthornshift.platform.StoreClient`.
    :param address: ``host:port`` at which other instances reach this one.
    :param post: called with each event.
    :param log: called with each :class:`~buckthornshift.dispatch.LogLine`.
    """

    def __init__(self, client=None, address="", post=None, log=None):
        self.client = client
        self.address = address
        self.post = post
        self.log = log
        self._tasks = []
        self._servers_task = None
        self._error_kind_by_topic = {}

    def start(self):
        """Watch the configuration and announce this instance to the others."""
        self._tasks = [
            asyncio.ensure_future(self._keep_running(watch))
            for watch in (
                self._watch_configuration,
                self._announce_and_find_instances,
                self._wait_for_servers,
            )
        ]

    def watch_servers(self, is_on):
        """Start or stop polling the list of backend servers.

        :param is_on: whether to poll it.
        """
        if self._servers_task is not None:
            self._servers_task.cancel()
            self._servers_task = None
        if is_on:
            self._servers_task = asyncio.ensure_future(
                self._keep_running(self._watch_servers)
            )

    def close(self):
        """Cancel every task of the watcher."""
        self.watch_servers(False)
        for task in self._tasks:
            task.cancel()

    async def _keep_running(self, watch):
        """Run a watch, and start it again after an unexpected error.

        An instance that stopped watching would use what it has read without an end.

        :param watch: coroutine function that reads the store.
        """
        while True:
            try:
                await watch()
                return
            except Exception as error:
                fields = {"detail": repr(error)}
                self.log(
                    LogLine(
                        code=LogCode.EVENT_FAILED, subject=watch.__name__, fields=fields
                    )
                )
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _watch_configuration(self):
        while True:
            with contextlib.suppress(HistoryGoneError):
                zones = EvacuatedZones()
                offset = await self._read_latest_configuration(zones)
                await self._tail_configuration(zones, offset)

    async def _read_latest_configuration(self, zones):
        batch = await self._retry(CONFIGURATION_TOPIC, self._read_newest)
        zones.apply(batch)
        # An instance that has a configuration may own servers, so it must know the
        # evacuated zones before.
        self._post_evacuations(zones, batch)
        self._post_configuration(batch)
        return batch.next_offset

    async def _tail_configuration(self, zones, offset):
        async def read(topic):
            return await self.client.read_tail(topic, offset, CONFIGURATION_WAIT_MS)

        while True:
            batch = await self._retry(CONFIGURATION_TOPIC, read)
            if zones.apply(batch):
                self._post_evacuations(zones, batch)
            self._post_configuration(batch)
            offset = batch.next_offset

    async def _announce_and_find_instances(self):
        async def announce(topic):
            await self.client.put(topic, self.address, self.address.encode())

        await self._retry(INSTANCES_TOPIC, announce)
        batch = await self._retry(INSTANCES_TOPIC, self._read_newest)
        addresses = tuple(r.key for r in batch.records if ":" in r.key)
        self.post(InstancesFound(addresses=addresses, is_complete=True))

    async def _wait_for_servers(self):
        """Read the list until it names a server.

        Only an owner polls the list, and an instance must know a server before it can
        become the first owner.
        """
        servers = _ServerList(log=self.log)
        while not servers.list():
            await self._read_all_servers(servers)
            await asyncio.sleep(SERVERS_INTERVAL_S)

    async def _watch_servers(self):
        while True:
            servers = _ServerList(log=self.log)
            offset = await self._read_all_servers(servers)
            with contextlib.suppress(HistoryGoneError):
                await self._tail_servers(servers, offset)

    async def _read_all_servers(self, servers):
        """Read and post the whole list; return the offset to read on from."""
        batch, sent_ms = await self._retry_timed(SERVERS_TOPIC, self._read_newest)
        servers.apply(batch)
        self.post(servers.make_event(age_ms=read_monotonic_ms() - sent_ms))
        return batch.next_offset

    async def _tail_servers(self, servers, offset):
        async def read(topic):
            return await self.client.read_tail(topic, offset, 0)

        while True:
            await asyncio.sleep(SERVERS_INTERVAL_S)
            batch, sent_ms = await self._retry_timed(SERVERS_TOPIC, read)
            offset = batch.next_offset
            age_ms = read_monotonic_ms() - sent_ms
            if servers.apply(batch):
                self.post(servers.make_event(age_ms=age_ms))
            else:
                self.post(ServersConfirmed(age_ms=age_ms))

    async def _retry_timed(self, topic, call):
        """Repeat a call until it succeeds; return when that one was sent as well."""

        async def call_timed(topic):
            sent_ms = read_monotonic_ms()
            return await call(topic), sent_ms

        return await self._retry(topic, call_timed)

    async def _read_newest(self, topic):
        return await self.client.read_newest(topic)

    async def _retry(self, topic, call):
        """Repeat a call until it succeeds; log the first failure and the recovery."""
        while True:
            try:
                result = await call(topic)
            except StoreError as error:
                self._log_failure(topic, error)
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._log_recovery(topic)
            return result

    def _log_failure(self, topic, error):
        if topic not in self._error_kind_by_topic:
            fields = {"trouble": error.kind, "detail": str(error)}
            self.log(LogLine(code=LogCode.STORE_LOST, subject=topic, fields=fields))
        self._error_kind_by_topic[topic] = error.kind

    def _log_recovery(self, topic):
        kind = self._error_kind_by_topic.pop(topic, None)
        if kind is not None:
            fields = {"after": kind}
            self.log(LogLine(code=LogCode.STORE_BACK, subject=topic, fields=fields))

    def _post_evacuations(self, zones, batch):
        self.post(EvacuationsRead(version=batch.next_offset, zones=zones.list()))

    def _post_configuration(self, batch):
        for record in batch.records:
            if record.key != CONFIGURATION_KEY or not record.value:
                continue
            try:
                configuration = decode_configuration(record.value)
            except UnreadableError as error:
                _log_ignored_record(self.log, CONFIGURATION_TOPIC, record.key, error)
                continue
            self.post(ConfigurationRead(configuration=configuration))


class _ServerList:
    """The list of backend servers, built from the records of its topic."""

    def __init__(self, log=None):
        self.log = log
        self._server_by_id = {}
        self._unreadable_ids = set()

    def apply(self, batch):
        """Apply records, oldest first, and return whether the list has changed.

        :param batch: a :class:`~buckthornshift.platform.KeyedBatch`.
        """
        is_changed = False
        for record in batch.records:
            is_changed = self._apply_record(record) or is_changed
        return is_changed

    def list(self):
        """Return a :class:`~buckthornshift.dispatch.ServerRecord` for each server."""
        return tuple(self._server_by_id.values())

    def make_event(self, age_ms=0.0):
        """Return a :class:`~buckthornshift.dispatch.ServersRead` with the list.

        :param age_ms: time since the read was sent.
        """
        return ServersRead(
            servers=self.list(),
            unreadable_ids=tuple(sorted(self._unreadable_ids)),
            age_ms=age_ms,
        )

    def _apply_record(self, record):
        previous = self._server_by_id.get(record.key)
        self._unreadable_ids.discard(record.key)
        if not record.value:
            self._server_by_id.pop(record.key, None)
            return previous is not None
        try:
            server = decode_server(record.key, record.value)
        except Exception as error:
            # Other programs write entries as well, so that any error is one of this
            # entry alone. The former entry of the server may no longer be true.
            self._server_by_id.pop(record.key, None)
            self._unreadable_ids.add(record.key)
            _log_ignored_record(self.log, SERVERS_TOPIC, record.key, error)
            return previous is not None
        self._server_by_id[record.key] = server
        return server != previous


def _log_ignored_record(log, topic, key, error):
    fields = {"topic": topic, "detail": str(error)}
    log(LogLine(code=LogCode.RECORD_IGNORED, subject=key, fields=fields))
