"""Dispatching instances, servers and a store under a virtual clock."""

import random

import attrs

from ...dispatch import (
    AnswerCaller,
    Configuration,
    ConfigurationRead,
    DispatchCore,
    DispatchIdentity,
    Exit,
    InstancesFound,
    LagProbeDue,
    ReconnectPeer,
    RenewLease,
    Resources,
    SendToPeer,
    ServerRecord,
    ServersRead,
    StartRun,
    StopRequested,
    StopRun,
    TimeAdvanced,
    WatchServerList,
)
from ...standins import TaskServerModel
from .._clock import VirtualClock
from ._machines import Node, ServerNode
from ._network import FleetNetwork
from ._oracle import FleetOracle

LIST_POLL_MS = 300.0
PROBE_MS = 50.0
INCARNATION_BITS = 48
STORE_MS = 4.0
RESTART_MS = 400.0
DRAINED_EXIT_MS = 3_000.0


class FleetWorld:
    """A run: instances, servers, store, and what happens to them.

    :param plan: the :class:`FleetPlan`.
    :param settings: the :class:`~buckthornshift.dispatch.DispatchSettings`.
    """

    def __init__(self, plan=None, settings=None):
        self.plan = plan
        self.settings = settings
        self.clock = VirtualClock()
        self.random_state = random.Random(plan.seed)
        self.network = FleetNetwork(world=self)
        self.oracle = FleetOracle(world=self)
        self.observer = self.oracle
        self.nodes = [
            Node(name=f"n{i}:1", zone=self._name_zone(i)) for i in range(plan.n_nodes)
        ]
        self.servers_by_id = {}
        self.configuration = self._make_configuration(1)
        self.is_store_away = False
        self.last_trouble_ms = 0.0
        self.store_cut_nodes = set()
        self.clock_step_by_node = {}
        self.on_answer = None
        self.on_lost_request = None
        self.on_log = None
        self.plan_run = None

    def start(self):
        """Start every server and instance."""
        for index in range(self.plan.n_servers):
            self.add_server(self._name_zone(index), index)
        for node in self.nodes:
            self.start_node(node)

    def add_server(self, zone, index):
        """Start a server and list it."""
        shape = self.plan.shape
        kind = shape.server_kinds[index % len(shape.server_kinds)]
        name = f"s{len(self.servers_by_id)}"
        capacity = Resources(cpu=kind.cpu, memory_mb=shape.memory_mb)
        record = ServerRecord(
            server_id=name,
            service=shape.services[index % len(shape.services)],
            host="10.0.0.1",
            port=index + 1,
            zone=zone,
            capacity=capacity,
            labels=(kind.label, f"r-{index // shape.n_per_rack}"),
        )
        model = TaskServerModel(
            server_id=name,
            capacity=capacity,
            speed=kind.speed,
            clock_rate=self.random_state.choice((1.0, 0.99, 0.98)),
            clock_start_ms=self.random_state.uniform(0.0, 1e6),
            plan_run=lambda task: self.plan_run(task),
            observer=self.observer,
        )
        server = ServerNode(
            name=name, zone=zone, model=model, index=index, record=record
        )
        self.servers_by_id[name] = server
        return server

    def kill_server(self, server):
        """End a server without warning; its entry vanishes after a while."""
        if server.model is None:
            return
        server.model.advance(self.clock.now_ms)
        server.model.end_all()
        server.model = None
        self.network.serve_waiting(server)
        self.clock.schedule(3_000.0, self._unlist, server)

    def drain_server(self, server):
        """Let a server announce that it leaves, and then leave."""
        if server.model is None or server.record.is_draining:
            return
        server.record = attrs.evolve(server.record, is_draining=True)
        self.clock.schedule(DRAINED_EXIT_MS, self._leave, server)

    def start_node(self, node):
        """Start a process of an instance."""
        if node.core is not None:
            return
        node.incarnation = self.random_state.getrandbits(INCARNATION_BITS)
        node.is_frozen = node.is_stopping = node.is_following = False
        node.held, node.callers, node.wake_ms, node.slow_ms = [], {}, None, 0.0
        node.inbox.clear()
        identity = DispatchIdentity(
            address=node.name,
            incarnation=node.incarnation,
            name=node.name,
            zone=node.zone,
            born_ms=int(self._read_wall(node)),
        )
        node.core = DispatchCore(
            identity=identity,
            settings=self.settings,
            random_state=random.Random(self.random_state.random()),
        )
        actions = node.core.start(self.clock.now_ms, self._read_wall(node))
        self._perform_all(node, actions)
        seeds = tuple(other.name for other in self.nodes[:3])
        self.deliver(node, node.key, InstancesFound(addresses=seeds))
        self._poll_store(node, node.key)
        if self.plan.event_ms:
            self._probe(node, node.key)

    def kill_node(self, node, restart_ms=RESTART_MS):
        """End a process without warning and start it again later."""
        if node.core is None:
            return
        self._end_node(node)
        self.clock.schedule(restart_ms, self.start_node, node)

    def stop_node(self, node):
        """Ask a process to stop gracefully; it starts again afterwards."""
        if node.core is not None and not node.is_stopping:
            node.is_stopping = True
            self.deliver(node, node.key, StopRequested())

    def freeze_node(self, node, length_ms):
        """Let a process stand still for a time."""
        if node.core is None or node.is_frozen:
            return
        node.is_frozen = True
        self.clock.schedule(length_ms, self._thaw, node, node.key)

    def deliver(self, node, key, event):
        """Hand an event to a process, or to none if it no longer exists."""
        if node.core is None or node.key != key:
            return
        if node.is_frozen:
            node.held.append(event)
            return
        if node.slow_ms and not isinstance(event, TimeAdvanced):
            self.clock.schedule(node.slow_ms, self._accept, node, key, event)
            return
        self._accept(node, key, event)

    def find_node(self, address):
        """Return the instance at an address, or ``None``."""
        return next((node for node in self.nodes if node.name == address), None)

    def find_owner(self):
        """Return an instance that owns the servers, or ``None``."""
        for node in self.nodes:
            if node.core is not None and node.core.cells.is_owner:
                return node
        return None

    def find_server(self, server_id):
        """Return a server by its id, or ``None``."""
        return self.servers_by_id.get(server_id)

    def find_record(self, server_id):
        """Return the entry of a server."""
        return self.servers_by_id[server_id].record

    def change_configuration(self):
        """Let an operator publish the next version."""
        self.configuration = self._make_configuration(self.configuration.version + 3)

    def schedule_server(self, server):
        """Look at a server again when something ends on it."""
        if server.model is None:
            return
        due_ms = server.model.find_next_due()
        is_known = server.wake_ms is not None and server.wake_ms <= (due_ms or 0.0)
        if due_ms is None or due_ms == float("inf") or is_known:
            return
        server.wake_ms = due_ms
        delay_ms = due_ms - self.clock.now_ms
        self.clock.schedule(delay_ms, self._advance_server, server, due_ms)

    def _advance_server(self, server, due_ms):
        if server.wake_ms != due_ms:
            return
        server.wake_ms = None
        if server.model is None:
            return
        server.model.advance(self.clock.now_ms)
        self.network.serve_waiting(server)
        self.schedule_server(server)

    def _accept(self, node, key, event):
        """Let an event wait for the processor, if handling it takes time."""
        if not self.plan.event_ms:
            self._handle(node, key, event)
            return
        if node.core is None or node.key != key:
            return
        is_timer = isinstance(event, TimeAdvanced)
        if is_timer and any(isinstance(other, TimeAdvanced) for other in node.inbox):
            return
        node.inbox.append(event)
        if len(node.inbox) == 1:
            self.clock.schedule(self.plan.event_ms, self._work_off, node, key)

    def _work_off(self, node, key):
        if node.core is None or node.key != key or not node.inbox:
            return
        self._handle(node, key, node.inbox[0])
        if node.core is None or node.key != key or not node.inbox:
            return
        node.inbox.popleft()
        if node.inbox:
            self.clock.schedule(self.plan.event_ms, self._work_off, node, key)

    def _handle(self, node, key, event):
        if node.core is None or node.key != key:
            return
        if node.is_frozen:
            node.held.append(event)
            return
        actions = node.core.handle(event, self.clock.now_ms, self._read_wall(node))
        self._perform_all(node, actions)

    def _perform_all(self, node, actions):
        for action in actions:
            self._perform(node, action)
        if node.core is not None:
            self._schedule_wake(node)

    def _perform(self, node, action):
        match action:
            case SendToPeer():
                self.network.send(node, action)
            case ReconnectPeer(address=address):
                self.network.dial(node, address)
            case StartRun() | StopRun() | RenewLease():
                self.network.order(node, action)
            case AnswerCaller():
                self.on_answer(node, action)
            case WatchServerList(is_on=is_on):
                node.is_following = is_on
            case Exit():
                self.oracle.note_stopped(node)
                self._end_node(node)
                self.clock.schedule(RESTART_MS, self.start_node, node)
            case _:
                if self.on_log is not None:
                    self.on_log(node, action)

    def _end_node(self, node):
        node.core = None
        node.held = []
        callers, node.callers = node.callers, {}
        for request in callers.values():
            self.on_lost_request(request)

    def _thaw(self, node, key):
        if node.core is None or node.key != key:
            return
        node.is_frozen = False
        held, node.held = node.held, []
        for event in held:
            self.deliver(node, key, event)
        self.deliver(node, key, TimeAdvanced())

    def _schedule_wake(self, node):
        due_ms = node.core.find_next_due()
        is_known = node.wake_ms is not None and node.wake_ms <= (due_ms or 0.0)
        if due_ms is None or (is_known and node.wake_ms > self.clock.now_ms):
            return
        node.wake_ms = due_ms
        delay_ms = max(0.01, due_ms - self.clock.now_ms)
        self.clock.schedule(delay_ms, self._wake, node, node.key, due_ms)

    def _wake(self, node, key, due_ms):
        if node.key != key:
            return
        if node.wake_ms == due_ms:
            node.wake_ms = None
        self.deliver(node, key, TimeAdvanced())

    def _probe(self, node, key):
        if node.core is not None and node.key == key:
            self.deliver(node, key, LagProbeDue(due_ms=self.clock.now_ms))
            self.clock.schedule(PROBE_MS, self._probe, node, key)

    def _poll_store(self, node, key):
        if node.core is None or node.key != key:
            return
        if self._can_read_store(node):
            event = ConfigurationRead(configuration=self.configuration)
            self.clock.schedule(STORE_MS, self.deliver, node, key, event)
            if node.is_following or not node.core.fleet.by_id:
                event = ServersRead(servers=self._list_servers())
                self.clock.schedule(STORE_MS, self.deliver, node, key, event)
        self.clock.schedule(LIST_POLL_MS, self._poll_store, node, key)

    def _can_read_store(self, node):
        is_cut = node.name in self.store_cut_nodes
        return not (self.is_store_away or is_cut or node.is_frozen)

    def _list_servers(self):
        return tuple(s.record for s in self.servers_by_id.values() if s.is_listed)

    def _unlist(self, server):
        server.is_listed = False

    def _leave(self, server):
        self._unlist(server)
        if server.model is not None:
            server.model.advance(self.clock.now_ms)
            server.model.end_all()
            server.model = None
            self.network.serve_waiting(server)

    def _read_wall(self, node):
        return self.clock.wall_ms + self.clock_step_by_node.get(node.name, 0.0)

    def _name_zone(self, index):
        return f"zone-{index % self.plan.n_zones}"

    def _make_configuration(self, version):
        return Configuration(version=version, queues=self.plan.shape.queues)
