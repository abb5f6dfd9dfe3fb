"""Several cores joined by fake links under a virtual clock."""

import random

import attrs

from ..contracts import InstanceKind, InstanceRecord
from ..core import (
    CoreSettings,
    DrainRequested,
    EntryIdentity,
    InstanceCore,
    InstancesListed,
    TimeAdvanced,
)
from ..standins import BackendModel, ListModel, LogModel
from ._clock import VirtualClock
from ._fake_transport import FakeTransport
from ._oracle import Oracle

LIST_POLL_MS = 500.0
RESTART_MS = 400.0


def make_core_settings(retention_ms):
    """Return settings of the decisions scaled to short runs.

    :param retention_ms: retention of the run's log.
    """
    return CoreSettings(
        snapshot_interval_ms=min(retention_ms / 4, 60_000.0),
        claims_kept_ms=min(retention_ms, 1_200_000.0),
        drain_accept_ms=1_500.0,
    )


@attrs.define(kw_only=True)
class EntryNode:
    """One entry instance of a run.

    :param index: its number.
    :param zone: availability zone.
    :param core: the core, or ``None`` while it is down.
    :param is_paused: whether its process stands still.
    :param held_events: events that arrived during a pause.
    :param is_draining: whether it was asked to stop.
    :param generation: counts its processes.
    :param wake_ms: when its next timer is due.
    """

    index: int = 0
    zone: str = ""
    core: InstanceCore | None = None
    record: InstanceRecord = InstanceRecord()
    is_paused: bool = False
    held_events: list = attrs.field(factory=list)
    is_draining: bool = False
    generation: int = 0
    wake_ms: float | None = None

    @property
    def id(self):
        """Name of the instance."""
        return f"entry-{self.index}"

    @property
    def is_up(self):
        """Whether its process exists."""
        return self.core is not None


@attrs.define(kw_only=True)
class ServerNode:
    """One backend server of a run.

    :param index: its number.
    :param zone: availability zone.
    :param model: the model, or ``None`` while it is down.
    :param left_ms: when it began to leave.
    :param generation: counts its processes.
    :param wake_ms: when its next attempt ends.
    """

    index: int = 0
    zone: str = ""
    model: BackendModel | None = None
    record: InstanceRecord = InstanceRecord()
    left_ms: float | None = None
    generation: int = 0
    wake_ms: float | None = None

    @property
    def id(self):
        """Name of the server."""
        return f"server-{self.index}"


@attrs.define(kw_only=True)
class ActiveFaults:
    """What is wrong with the surroundings at the moment.

    :param is_log_down: whether the log refuses.
    :param log_extra_ms: added to each append.
    :param reply_loss: probability that a reply of the log is lost.
    :param list_lag_ms: how far the list lags.
    :param cut_zones: zones cut off from the others.
    :param platform_cut_zones: zones cut off from the platform.
    :param connection_loss: probability that a start's connection breaks.
    """

    is_log_down: bool = False
    log_extra_ms: float = 0.0
    reply_loss: float = 0.0
    list_lag_ms: float = 0.0
    cut_zones: set = attrs.field(factory=set)
    platform_cut_zones: set = attrs.field(factory=set)
    connection_loss: float = 0.0


class Simulation:
    """A run: instances, servers, log and list, and what happens to them.

    :param plan: the :class:`RunPlan`.
    :param core_settings: settings of the cores; ``None`` for the defaults of runs.
    """

    def __init__(self, plan=None, core_settings=None):
        self.plan = plan
        self.clock = VirtualClock()
        self.random_state = random.Random(plan.seed)
        self.core_settings = core_settings or make_core_settings(plan.retention_ms)
        self.active_faults = ActiveFaults()
        self.log = LogModel(retention_ms=plan.retention_ms)
        self.untrimmed_log = LogModel()
        self.list = ListModel()
        self.oracle = Oracle(clock=self.clock)
        self.transport = FakeTransport(simulation=self)
        self.entries = [
            EntryNode(index=i, zone=self._name_zone(i)) for i in range(plan.n_entries)
        ]
        self.servers = [
            ServerNode(index=i, zone=self._name_zone(i)) for i in range(plan.n_servers)
        ]
        self.cores = []
        self.on_answer = None

    def start(self):
        """Start every server and instance."""
        for server in self.servers:
            self.start_server(server)
        for node in self.entries:
            self.start_entry(node)

    def start_entry(self, node):
        """Start a process of an entry instance."""
        if node.is_up:
            return
        node.generation += 1
        node.is_paused = False
        node.is_draining = False
        node.held_events = []
        node.wake_ms = None
        identity = EntryIdentity(
            instance_id=node.id,
            incarnation=f"e{node.index}.{node.generation}",
            zone=node.zone,
        )
        node.core = InstanceCore(
            identity=identity,
            settings=self.core_settings,
            random_state=random.Random(self.random_state.random()),
        )
        self.cores.append(node.core)
        node.record = InstanceRecord(
            instance_id=node.id,
            kind=InstanceKind.ENTRY,
            incarnation=identity.incarnation,
            zone=node.zone,
        )
        self.list.put(node.record, self.clock.now_ms)
        self.oracle.record_entry_started(node)
        actions = node.core.start(self.clock.now_ms, self.clock.wall_ms)
        self._perform(node, actions)
        self.transport.start_log_tailing(node)
        self._poll_list(node, node.generation)

    def kill_entry(self, node):
        """End a process of an entry instance without warning."""
        if not node.is_up:
            return
        node.core = None
        node.held_events = []
        self.oracle.record_entry_ended(node)
        self.clock.schedule(
            RESTART_MS + self.active_faults.list_lag_ms, self._forget_entry, node
        )

    def drain_entry(self, node):
        """Stop an entry instance gracefully."""
        if not node.is_up or node.is_draining:
            return
        node.is_draining = True
        node.record = attrs.evolve(node.record, is_leaving=True)
        self.list.put(node.record, self.clock.now_ms)
        self.deliver(node, node.generation, DrainRequested())

    def pause_entry(self, node, length_ms):
        """Let a process stand still for a time."""
        if not node.is_up or node.is_paused:
            return
        node.is_paused = True
        self.clock.schedule(length_ms, self._resume, node, node.generation)

    def deliver(self, node, generation, event):
        """Hand an event to a process, or to none if it no longer exists."""
        if not node.is_up or node.generation != generation:
            return
        if node.is_paused:
            node.held_events.append(event)
            return
        actions = node.core.handle(event, self.clock.now_ms, self.clock.wall_ms)
        self._perform(node, actions)
        if node.is_up and node.core.context.has_exited:
            self._finish_drain(node)

    def start_server(self, server):
        """Start a process of a backend server."""
        if server.model is not None:
            return
        server.generation += 1
        server.left_ms = None
        server.wake_ms = None
        server.model = BackendModel(
            server_id=server.id,
            incarnation=f"s{server.index}.{server.generation}",
            slots=self.plan.slots,
        )
        server.model.on_start = lambda model, spec: self.oracle.record_starts(
            server, [spec]
        )
        self._list_server(server)

    def kill_server(self, server):
        """End a process of a backend server without warning."""
        if server.model is None:
            return
        server.model = None
        self.list.remove(server.id, self.clock.now_ms)

    def drain_server(self, server):
        """Let a backend server finish its work and stop."""
        if server.model is None or server.model.is_leaving:
            return
        server.model.is_leaving = True
        server.left_ms = self.clock.now_ms
        self._list_server(server)
        self.clock.schedule(200.0, self._stop_when_idle, server, server.generation)

    def can_reach_platform(self, zone):
        """Return whether a zone reaches the platform."""
        return zone not in self.active_faults.platform_cut_zones

    def can_reach_zone(self, zone, other):
        """Return whether two zones reach each other."""
        if zone == other:
            return True
        cut = self.active_faults.cut_zones
        return zone not in cut and other not in cut

    def trim_log(self):
        """Trim the log again and again."""
        self.log.trim(self.clock.now_ms)
        self.clock.schedule(500.0, self.trim_log)

    def _perform(self, node, actions):
        for action in actions:
            self.transport.perform(node, action)
        self._schedule_wake(node)

    def _schedule_wake(self, node):
        if not node.is_up:
            return
        due_ms = node.core.find_next_due()
        is_known = node.wake_ms is not None and node.wake_ms <= (due_ms or 0)
        if due_ms is None or (is_known and node.wake_ms > self.clock.now_ms):
            return
        node.wake_ms = due_ms
        delay_ms = max(0.01, due_ms - self.clock.now_ms)
        self.clock.schedule(delay_ms, self._wake, node, node.generation, due_ms)

    def _wake(self, node, generation, due_ms):
        if node.generation != generation:
            return
        if node.wake_ms == due_ms:
            node.wake_ms = None
        self.deliver(node, generation, TimeAdvanced())

    def _resume(self, node, generation):
        if node.generation != generation or not node.is_up:
            return
        node.is_paused = False
        held_events, node.held_events = node.held_events, []
        for event in held_events:
            self.deliver(node, generation, event)
        self.deliver(node, generation, TimeAdvanced())

    def _finish_drain(self, node):
        self.oracle.check_drained(node)
        node.core = None
        self.oracle.record_entry_ended(node)
        self.list.remove(node.id, self.clock.now_ms)
        self.clock.schedule(RESTART_MS, self.start_entry, node)

    def _forget_entry(self, node):
        if node.is_up:
            return
        self.list.remove(node.id, self.clock.now_ms)
        self.clock.schedule(RESTART_MS, self.start_entry, node)

    def _list_server(self, server):
        server.record = InstanceRecord(
            instance_id=server.id,
            incarnation=server.model.incarnation,
            zone=server.zone,
            slots=self.plan.slots,
            is_leaving=server.model.is_leaving,
        )
        self.list.put(server.record, self.clock.now_ms)

    def _stop_when_idle(self, server, generation):
        if server.generation != generation or server.model is None:
            return
        is_early = self.clock.now_ms - server.left_ms < 2_500.0
        if server.model.running_ids or is_early:
            self.clock.schedule(200.0, self._stop_when_idle, server, generation)
            return
        self.kill_server(server)
        self.clock.schedule(RESTART_MS, self.start_server, server)

    def _poll_list(self, node, generation):
        if node.generation != generation or not node.is_up:
            return
        if self.can_reach_platform(node.zone):
            listed = self.list.read(self.clock.now_ms, self.active_faults.list_lag_ms)
            self.deliver(node, generation, InstancesListed(instances=listed))
        self.clock.schedule(LIST_POLL_MS, self._poll_list, node, generation)

    def _name_zone(self, index):
        return f"zone-{index % self.plan.n_zones}"
