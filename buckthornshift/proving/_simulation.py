"""Simulate several entry instances and backend servers on a virtual clock."""

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

LIST_POLL_INTERVAL_MS = 500.0
RESTART_DELAY_MS = 400.0


def make_core_settings(retention_ms):
    """Return core settings with intervals scaled to the length of a simulation.

    :param retention_ms: how long the simulated log keeps its records.
    """
    return CoreSettings(
        snapshot_interval_ms=min(retention_ms / 4, 60_000.0),
        claims_kept_ms=min(retention_ms, 1_200_000.0),
        drain_accept_ms=1_500.0,
    )


@attrs.define(kw_only=True)
class EntryNode:
    """A simulated entry instance, which accepts jobs from callers.

    :param index: position in ``Simulation.entries``; part of its name.
    :param zone: its availability zone.
    :param core: state machine of the running process; ``None`` while it is down.
    :param record: how the platform's instance list describes it.
    :param is_paused: whether its process is suspended.
    :param held_events: events that arrived while it was suspended, in order.
    :param is_draining: whether it was asked to stop gracefully.
    :param generation: number of processes started so far; an event that is meant for
        an earlier process is dropped.
    :param next_timer_ms: when its next scheduled timer fires; ``None`` if none is
        scheduled.
    """

    index: int = 0
    zone: str = ""
    core: InstanceCore | None = None
    record: InstanceRecord = InstanceRecord()
    is_paused: bool = False
    held_events: list = attrs.field(factory=list)
    is_draining: bool = False
    generation: int = 0
    next_timer_ms: float | None = None

    @property
    def id(self):
        """Name of the instance."""
        return f"entry-{self.index}"

    @property
    def is_up(self):
        """Whether its process exists; a suspended one does."""
        return self.core is not None


@attrs.define(kw_only=True)
class ServerNode:
    """A simulated backend server, which runs tasks.

    :param index: position in ``Simulation.servers``; part of its name.
    :param zone: its availability zone.
    :param model: state of the running process; ``None`` while it is down.
    :param record: how the platform's instance list describes it.
    :param left_ms: when it began to drain; ``None`` if it accepts work.
    :param generation: number of processes started so far; a timer of an earlier
        process is ignored.
    :param next_attempt_end_ms: when the next running attempt ends; ``None`` if no
        check is scheduled.
    """

    index: int = 0
    zone: str = ""
    model: BackendModel | None = None
    record: InstanceRecord = InstanceRecord()
    left_ms: float | None = None
    generation: int = 0
    next_attempt_end_ms: float | None = None

    @property
    def id(self):
        """Name of the server."""
        return f"server-{self.index}"


@attrs.define(kw_only=True)
class ActiveFaults:
    """Faults of the network, the log and the instance list that are in effect now.

    :param is_log_down: whether the log refuses appends and reads.
    :param log_extra_ms: extra latency of each append.
    :param reply_loss: probability that the response to an append is lost.
    :param list_lag_ms: how many milliseconds old the instance list is when read.
    :param partitioned_zones: zones partitioned from all other zones.
    :param zones_without_platform: zones partitioned from the log and the instance list.
    :param connection_loss: probability that the connection of a start request breaks.
    """

    is_log_down: bool = False
    log_extra_ms: float = 0.0
    reply_loss: float = 0.0
    list_lag_ms: float = 0.0
    partitioned_zones: set = attrs.field(factory=set)
    zones_without_platform: set = attrs.field(factory=set)
    connection_loss: float = 0.0


class Simulation:
    """Run entry instances and backend servers against a simulated platform.

    The platform consists of a log and an instance list. A callable in ``on_answer``
    gets each answer that an instance sends to a caller.

    :param plan: the :class:`RunPlan`.
    :param core_settings: settings of the cores; ``None`` for
        :func:`make_core_settings`.
    """

    def __init__(self, plan=None, core_settings=None):
        self.plan = plan
        self.clock = VirtualClock()
        self.random_state = random.Random(plan.seed)
        self.core_settings = core_settings or make_core_settings(plan.retention_ms)
        self.active_faults = ActiveFaults()
        self.log = LogModel(retention_ms=plan.retention_ms)
        self.untrimmed_log = LogModel()
        self.instance_list = ListModel()
        self.oracle = Oracle(clock=self.clock)
        self.transport = FakeTransport(simulation=self)
        self.entries = [
            EntryNode(index=i, zone=self._make_zone_name(i))
            for i in range(plan.n_entries)
        ]
        self.servers = [
            ServerNode(index=i, zone=self._make_zone_name(i))
            for i in range(plan.n_servers)
        ]
        self.cores = []
        self.on_answer = None

    def start(self):
        """Start every backend server and entry instance."""
        for server in self.servers:
            self.start_server(server)
        for node in self.entries:
            self.start_entry(node)

    def start_entry(self, node):
        """Start a new process of an entry instance that is down."""
        if node.is_up:
            return
        node.generation += 1
        node.is_paused = False
        node.is_draining = False
        node.held_events = []
        node.next_timer_ms = None
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
        self.instance_list.put(node.record, self.clock.now_ms)
        self.oracle.record_entry_started(node)
        actions = node.core.start(self.clock.now_ms, self.clock.wall_ms)
        self._perform_actions(node, actions)
        self.transport.start_log_tailing(node)
        self._poll_instance_list(node, node.generation)

    def kill_entry(self, node):
        """Kill the process of an entry instance; a new one is started later."""
        if not node.is_up:
            return
        node.core = None
        node.held_events = []
        self.oracle.record_entry_ended(node)
        self.clock.schedule(
            RESTART_DELAY_MS + self.active_faults.list_lag_ms, self._restart_entry, node
        )

    def drain_entry(self, node):
        """Ask an entry instance to stop gracefully."""
        if not node.is_up or node.is_draining:
            return
        node.is_draining = True
        node.record = attrs.evolve(node.record, is_leaving=True)
        self.instance_list.put(node.record, self.clock.now_ms)
        self.deliver(node, node.generation, DrainRequested())

    def pause_entry(self, node, length_ms):
        """Suspend the process of an entry instance for a while."""
        if not node.is_up or node.is_paused:
            return
        node.is_paused = True
        self.clock.schedule(length_ms, self._resume_entry, node, node.generation)

    def deliver(self, node, generation, event):
        """Deliver an event to a process; drop it if that process has ended."""
        if not node.is_up or node.generation != generation:
            return
        if node.is_paused:
            node.held_events.append(event)
            return
        actions = node.core.handle(event, self.clock.now_ms, self.clock.wall_ms)
        self._perform_actions(node, actions)
        if node.is_up and node.core.context.has_exited:
            self._finish_drain(node)

    def start_server(self, server):
        """Start a new process of a backend server that is down."""
        if server.model is not None:
            return
        server.generation += 1
        server.left_ms = None
        server.next_attempt_end_ms = None
        server.model = BackendModel(
            server_id=server.id,
            incarnation=f"s{server.index}.{server.generation}",
            slots=self.plan.slots,
        )
        server.model.on_start = lambda model, spec: self.oracle.record_starts(
            server, [spec]
        )
        self._publish_server(server)

    def kill_server(self, server):
        """Kill the process of a backend server."""
        if server.model is None:
            return
        server.model = None
        self.instance_list.remove(server.id, self.clock.now_ms)

    def drain_server(self, server):
        """Let a backend server finish its running tasks, then restart it."""
        if server.model is None or server.model.is_leaving:
            return
        server.model.is_leaving = True
        server.left_ms = self.clock.now_ms
        self._publish_server(server)
        self.clock.schedule(200.0, self._restart_when_idle, server, server.generation)

    def can_reach_platform(self, zone):
        """Return whether a zone can reach the log and the instance list."""
        return zone not in self.active_faults.zones_without_platform

    def can_reach_zone(self, zone, other):
        """Return whether there is no partition between two zones."""
        if zone == other:
            return True
        partitioned = self.active_faults.partitioned_zones
        return zone not in partitioned and other not in partitioned

    def trim_log(self):
        """Remove expired records from the log, now and periodically."""
        self.log.trim(self.clock.now_ms)
        self.clock.schedule(500.0, self.trim_log)

    def _perform_actions(self, node, actions):
        for action in actions:
            self.transport.perform(node, action)
        self._schedule_timer(node)

    def _schedule_timer(self, node):
        if not node.is_up:
            return
        due_ms = node.core.find_next_due()
        is_scheduled = node.next_timer_ms is not None and node.next_timer_ms <= (
            due_ms or 0
        )
        if due_ms is None or (is_scheduled and node.next_timer_ms > self.clock.now_ms):
            return
        node.next_timer_ms = due_ms
        delay_ms = max(0.01, due_ms - self.clock.now_ms)
        self.clock.schedule(delay_ms, self._fire_timer, node, node.generation, due_ms)

    def _fire_timer(self, node, generation, due_ms):
        if node.generation != generation:
            return
        if node.next_timer_ms == due_ms:
            node.next_timer_ms = None
        self.deliver(node, generation, TimeAdvanced())

    def _resume_entry(self, node, generation):
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
        self.instance_list.remove(node.id, self.clock.now_ms)
        self.clock.schedule(RESTART_DELAY_MS, self.start_entry, node)

    def _restart_entry(self, node):
        if node.is_up:
            return
        self.instance_list.remove(node.id, self.clock.now_ms)
        self.clock.schedule(RESTART_DELAY_MS, self.start_entry, node)

    def _publish_server(self, server):
        server.record = InstanceRecord(
            instance_id=server.id,
            incarnation=server.model.incarnation,
            zone=server.zone,
            slots=self.plan.slots,
            is_leaving=server.model.is_leaving,
        )
        self.instance_list.put(server.record, self.clock.now_ms)

    def _restart_when_idle(self, server, generation):
        if server.generation != generation or server.model is None:
            return
        is_in_grace_period = self.clock.now_ms - server.left_ms < 2_500.0
        if server.model.running_ids or is_in_grace_period:
            self.clock.schedule(200.0, self._restart_when_idle, server, generation)
            return
        self.kill_server(server)
        self.clock.schedule(RESTART_DELAY_MS, self.start_server, server)

    def _poll_instance_list(self, node, generation):
        if node.generation != generation or not node.is_up:
            return
        if self.can_reach_platform(node.zone):
            listed = self.instance_list.read(
                self.clock.now_ms, self.active_faults.list_lag_ms
            )
            self.deliver(node, generation, InstancesListed(instances=listed))
        self.clock.schedule(
            LIST_POLL_INTERVAL_MS, self._poll_instance_list, node, generation
        )

    def _make_zone_name(self, index):
        return f"zone-{index % self.plan.n_zones}"
