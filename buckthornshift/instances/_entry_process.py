"""An entry instance: the core with its clock, sockets, logs and metrics."""

import asyncio
import random
import time
import uuid

import attrs
import eliot

from ..contracts import (
    CATALOGUE_STREAM,
    CLAIMS_STREAM,
    InstanceKind,
    InstanceRecord,
)
from ..core import (
    AnswerCaller,
    AppendRecord,
    CancelAttempts,
    DrainRequested,
    EntryIdentity,
    EventCode,
    Exit,
    FenceJob,
    InstanceCore,
    InstancesListed,
    QueryAttempts,
    SendPeer,
    StartAttempts,
    TimeAdvanced,
    WriteLogEvent,
    build_document,
)
from ..links import (
    BackendLink,
    CallerServer,
    InstanceListLink,
    LogLink,
    PeerLink,
    PeerServer,
)
from ._metrics import InstanceMetrics

MAX_DEREGISTER_ATTEMPTS = 3


class EntryProcess:
    """Run one entry instance inside an event loop.

    One task owns the core: events reach it through a queue, actions leave it to the
    links, each of which owns its sockets.

    :param settings: the :class:`EntrySettings`.
    """

    def __init__(self, settings=None):
        self.settings = settings
        self.core = None
        self.identity = None
        self._events = asyncio.Queue()
        self._timer = None
        self._timer_due_ms = None
        self._links_by_server = {}
        self._links_by_peer = {}
        self._log_by_stream = {}
        self._list_link = None
        self._callers = None
        self._peer_server = None
        self._task = None
        self._metrics = InstanceMetrics()

    @property
    def http_port(self):
        """Port for callers."""
        return self._callers.bound_port

    async def start(self):
        """Begin to serve."""
        self._make_core()
        post_event = self._events.put_nowait
        settings = self.settings
        self._callers = CallerServer(
            host=settings.callers.host,
            port=settings.callers.port,
            post_event=post_event,
            state_provider=self,
        )
        self._peer_server = PeerServer(
            host=settings.peers.host, port=settings.peers.port, post_event=post_event
        )
        platform = settings.platform
        for stream in (CATALOGUE_STREAM, CLAIMS_STREAM):
            self._log_by_stream[stream] = LogLink(
                stream=stream,
                host=platform.host,
                port=platform.port,
                post_event=post_event,
            )
        self._list_link = InstanceListLink(
            host=platform.host, port=platform.port, post_event=post_event
        )
        await self._callers.start()
        await self._peer_server.start()
        self._task = asyncio.ensure_future(self._run())
        for link in self._log_by_stream.values():
            link.start()
        self._list_link.start()
        await self._list_link.register(self._make_record())
        started = WriteLogEvent(
            code=EventCode.INSTANCE_STARTED,
            subject=self.identity.instance_id,
            detail=self.identity.incarnation,
        )
        _log_event(started)

    async def drain(self):
        """Ask for a graceful stop; :meth:`wait` returns when it is done."""
        await self._list_link.register(self._make_record(is_leaving=True))
        self._events.put_nowait(DrainRequested())

    async def wait(self):
        """Wait until the instance has drained, then close everything."""
        await self._task
        self._callers.refuse_new_requests()
        await self._close()
        stopped = WriteLogEvent(
            code=EventCode.INSTANCE_STOPPED, subject=self.identity.instance_id
        )
        _log_event(stopped)

    async def kill(self):
        """Stop at once, as a crash would; for tests and the demo."""
        self._task.cancel()
        await self._callers.abort()
        await self._list_link.deregister()
        await self._close_links()

    def dump(self):
        """Return the full state for operators."""
        return self.core.dump() | {"settings": attrs.asdict(self.settings)}

    def describe_job(self, job_id):
        """Return the state of a job, or ``None`` if it is not known here."""
        job = self.core.find_job(job_id)
        if job is None:
            return None
        return {
            "job_id": job_id,
            "phase": job.phase.value,
            "n_tasks": len(job.tasks),
            "n_open_tasks": job.n_open_tasks,
            "answer": job.answer,
        }

    def describe_catalogue(self):
        """Return the catalogue in force with its version."""
        catalogue = self.core.context.catalogue
        return {
            "is_ready": catalogue.is_ready,
            "version": catalogue.version,
            "covers": catalogue.covers,
            "document": build_document(catalogue.items_by_key),
        }

    def render_metrics(self):
        """Return the metrics in the text format of Prometheus."""
        return self._metrics.render(self.core)

    def is_ready(self):
        """Return whether the instance can serve."""
        return self.core.context.catalogue.is_ready

    def _make_core(self):
        seed = self.settings.random_seed
        random_state = random.Random(None if seed < 0 else seed)
        self.identity = EntryIdentity(
            instance_id=self.settings.instance_id,
            incarnation=uuid.uuid4().hex[:12],
            zone=self.settings.zone,
        )
        self.core = InstanceCore(
            identity=self.identity,
            settings=self.settings.core,
            random_state=random_state,
        )

    def _make_record(self, is_leaving=False):
        return InstanceRecord(
            instance_id=self.identity.instance_id,
            kind=InstanceKind.ENTRY,
            incarnation=self.identity.incarnation,
            zone=self.identity.zone,
            host=self.settings.peers.host,
            port=self._peer_server.bound_port,
            http_port=self._callers.bound_port,
            slots=0,
            is_leaving=is_leaving,
        )

    async def _run(self):
        self._perform_all(self.core.start(_read_now_ms(), _read_wall_ms()))
        while not self.core.context.has_exited:
            event = await self._events.get()
            posted_ms = _read_now_ms()
            actions = self.core.handle(event, posted_ms, _read_wall_ms())
            if isinstance(event, InstancesListed):
                self._close_old_links(event.instances)
            self._perform_all(actions)

    def _perform_all(self, actions):
        for action in actions:
            self._perform(action)
        self._set_timer()

    def _perform(self, action):
        match action:
            case AnswerCaller(caller_ref=caller_ref, answer=answer):
                self._callers.answer(caller_ref, answer)
            case (
                StartAttempts(server=server)
                | QueryAttempts(server=server)
                | CancelAttempts(server=server)
                | FenceJob(server=server)
            ):
                self._find_server_link(server).perform(action)
            case AppendRecord(append_id=append_id, stream=stream, body=body):
                self._log_by_stream[stream].append(append_id, body)
            case SendPeer(peer=peer, message=message):
                self._find_peer_link(peer).send(message)
            case WriteLogEvent():
                self._metrics.count_event(action.code)
                _log_event(action)
            case Exit():
                self._events.put_nowait(TimeAdvanced())

    def _set_timer(self):
        due_ms = self.core.find_next_due()
        if due_ms is None or due_ms == self._timer_due_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer_due_ms = due_ms
        delay_s = max(0.0, (due_ms - _read_now_ms()) / 1000.0)
        self._timer = loop.call_later(delay_s, self._wake)

    def _wake(self):
        self._timer_due_ms = None
        self._timer = None
        self._events.put_nowait(TimeAdvanced())

    def _find_server_link(self, record):
        key = (record.instance_id, record.incarnation)
        link = self._links_by_server.get(key)
        if link is None:
            link = BackendLink(
                record=record,
                zone=self.identity.zone,
                post_event=self._events.put_nowait,
            )
            self._links_by_server[key] = link
        return link

    def _find_peer_link(self, record):
        key = (record.instance_id, record.incarnation)
        link = self._links_by_peer.get(key)
        if link is None:
            link = PeerLink(
                sender_id=self.identity.instance_id,
                record=record,
                post_event=self._events.put_nowait,
            )
            self._links_by_peer[key] = link
        return link

    def _close_old_links(self, listed):
        current = {(r.instance_id, r.incarnation) for r in listed.instances}
        held = {
            (server.id, server.incarnation)
            for server in self.core.context.servers.by_id.values()
        }
        for key in [k for k in self._links_by_server if k not in current | held]:
            self._links_by_server.pop(key).close()
        for key in [k for k in self._links_by_peer if k not in current]:
            link = self._links_by_peer.pop(key)
            asyncio.ensure_future(link.close())

    async def _close(self):
        for _ in range(MAX_DEREGISTER_ATTEMPTS):
            if await self._list_link.deregister():
                break
        await self._callers.stop()
        await self._close_links()

    async def _close_links(self):
        if self._timer is not None:
            self._timer.cancel()
        self._list_link.close()
        await self._peer_server.stop()
        for link in self._log_by_stream.values():
            link.close()
        for link in self._links_by_server.values():
            link.close()
        for link in self._links_by_peer.values():
            await link.close()


def _read_now_ms():
    return time.monotonic() * 1000.0


def _read_wall_ms():
    return time.time() * 1000.0


def _log_event(action):
    eliot.log_message(
        message_type="event",
        code=int(action.code),
        name=action.code.name,
        subject=action.subject,
        detail=action.detail,
    )
