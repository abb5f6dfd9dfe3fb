"""Following the platform's store: configuration, servers, other instances."""

import asyncio
import contextlib

from ..dispatch import (
    ConfigurationRead,
    InstancesFound,
    LogCode,
    LogLine,
    ServersRead,
)
from ..platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    INSTANCES_TOPIC,
    SERVERS_TOPIC,
    HistoryGoneError,
    StoreError,
    UnreadableError,
    decode_configuration,
    decode_server,
)

# A configuration must be in force 2 s after its acknowledgement, also when the
# connection went silent: this wait and one call's time-out stay below.
CONFIGURATION_WAIT_MS = 1_000
# A leaving server must get no work 2 s after the store took note of it.
SERVERS_INTERVAL_S = 0.3
RETRY_S = 0.15


class StoreWatcher:
    """Read what the operators and the servers write, and pass it on as events.

    :param client: a :class:`~buckthornshift.platform.StoreClient`.
    :param address: ``host:port`` of this instance for the others.
    :param post: called with each event.
    :param log: called with each :class:`~buckthornshift.dispatch.LogLine`.
    """

    def __init__(self, client=None, address="", post=None, log=None):
        self.client = client
        self.address = address
        self.post = post
        self.log = log
        self._tasks = []
        self._server_task = None
        self._trouble_by_topic = {}

    def start(self):
        """Begin to follow the configuration; tell the others where we are."""
        self._tasks = [
            asyncio.ensure_future(self._follow_configuration()),
            asyncio.ensure_future(self._meet_instances()),
            asyncio.ensure_future(self._read_first_servers()),
        ]

    def watch_servers(self, is_on):
        """Begin or end to follow the list of servers closely.

        :param is_on: whether to follow it.
        """
        if self._server_task is not None:
            self._server_task.cancel()
            self._server_task = None
        if is_on:
            self._server_task = asyncio.ensure_future(self._watch_servers())

    def close(self):
        """Stop following."""
        self.watch_servers(False)
        for task in self._tasks:
            task.cancel()

    async def _follow_configuration(self):
        while True:
            with contextlib.suppress(HistoryGoneError):
                offset = await self._read_configuration()
                await self._tail_configuration(offset)

    async def _read_configuration(self):
        batch = await self._insist(CONFIGURATION_TOPIC, self._newest)
        self._take_configuration(batch)
        return batch.next_offset

    async def _tail_configuration(self, offset):
        async def read(topic):
            return await self.client.read_tail(topic, offset, CONFIGURATION_WAIT_MS)

        while True:
            batch = await self._insist(CONFIGURATION_TOPIC, read)
            self._take_configuration(batch)
            offset = batch.next_offset

    async def _meet_instances(self):
        async def announce(topic):
            await self.client.put(topic, self.address, self.address.encode())

        await self._insist(INSTANCES_TOPIC, announce)
        batch = await self._insist(INSTANCES_TOPIC, self._newest)
        addresses = tuple(r.key for r in batch.records if ":" in r.key)
        self.post(InstancesFound(addresses=addresses))

    async def _read_first_servers(self):
        """Read the list until it names a server: somebody has to be the first owner."""
        entries = _ServerEntries(log=self.log)
        while not entries.list():
            batch = await self._insist(SERVERS_TOPIC, self._newest)
            entries.read(batch)
            self.post(ServersRead(servers=entries.list()))
            await asyncio.sleep(SERVERS_INTERVAL_S)

    async def _watch_servers(self):
        while True:
            batch = await self._insist(SERVERS_TOPIC, self._newest)
            entries = _ServerEntries(log=self.log)
            entries.read(batch)
            self.post(ServersRead(servers=entries.list()))
            with contextlib.suppress(HistoryGoneError):
                await self._tail_servers(entries, batch.next_offset)

    async def _tail_servers(self, entries, offset):
        async def read(topic):
            return await self.client.read_tail(topic, offset, 0)

        while True:
            await asyncio.sleep(SERVERS_INTERVAL_S)
            batch = await self._insist(SERVERS_TOPIC, read)
            offset = batch.next_offset
            if entries.read(batch):
                self.post(ServersRead(servers=entries.list()))

    async def _newest(self, topic):
        return await self.client.read_newest(topic)

    async def _insist(self, topic, call):
        """Call until the store answers; log its loss and its return once."""
        while True:
            try:
                result = await call(topic)
            except StoreError as error:
                self._note_trouble(topic, error)
                await asyncio.sleep(RETRY_S)
                continue
            self._note_success(topic)
            return result

    def _note_trouble(self, topic, error):
        if topic not in self._trouble_by_topic:
            fields = {"trouble": error.kind, "detail": str(error)}
            self.log(LogLine(code=LogCode.STORE_LOST, subject=topic, fields=fields))
        self._trouble_by_topic[topic] = error.kind

    def _note_success(self, topic):
        kind = self._trouble_by_topic.pop(topic, None)
        if kind is not None:
            fields = {"after": kind}
            self.log(LogLine(code=LogCode.STORE_BACK, subject=topic, fields=fields))

    def _take_configuration(self, batch):
        for record in batch.records:
            if record.key != CONFIGURATION_KEY or not record.value:
                continue
            try:
                configuration = decode_configuration(record.value)
            except UnreadableError as error:
                _log_ignored(self.log, CONFIGURATION_TOPIC, record.key, error)
                continue
            self.post(ConfigurationRead(configuration=configuration))


class _ServerEntries:
    """The list of servers as the records tell it."""

    def __init__(self, log=None):
        self.log = log
        self._record_by_id = {}
        self._value_by_id = {}

    def read(self, batch):
        """Take records; return whether the list has changed."""
        is_changed = False
        for record in batch.records:
            is_changed = self._read_record(record) or is_changed
        return is_changed

    def list(self):
        """Return the list."""
        return tuple(self._record_by_id.values())

    def _read_record(self, record):
        known = self._record_by_id.get(record.key)
        if not record.value:
            self._record_by_id.pop(record.key, None)
            return known is not None
        try:
            server = decode_server(record.key, record.value)
        except UnreadableError as error:
            _log_ignored(self.log, SERVERS_TOPIC, record.key, error)
            return False
        self._record_by_id[record.key] = server
        return server != known


def _log_ignored(log, topic, key, error):
    fields = {"topic": topic, "detail": str(error)}
    log(LogLine(code=LogCode.RECORD_IGNORED, subject=key, fields=fields))
