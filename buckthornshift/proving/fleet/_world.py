"""Simulation of dispatching instances, servers and a store on a virtual clock."""

import random

import attrs

from ...dispatch import (
    AnswerCaller,
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
    StartRun,
    StopRequested,
    StopRun,
    TimeAdvanced,
    Verdict,
    WatchServerList,
)
from ...standins import TaskServerModel
from .._clock import VirtualClock
from ._completion_watch import CompletionWatch
from ._machines import SimulatedInstance, SimulatedServer
from ._network import FleetNetwork
from ._notice_watch import DrainWatch, EvacuationWatch
from ._oracle import FleetOracle
from ._server_restarts import ServerRestarts
from ._store import SimulatedStore

PROBE_INTERVAL_MS = 50.0
INCARNATION_BITS = 48
RESTART_DELAY_MS = 400.0
DRAIN_DURATION_MS = 3_000.0
CRASHED_SERVER_RESTART_MS = 3_000.0
MAX_ENTRY_REMOVAL_MS = 3_000.0


class FleetWorld:
    """Simulate one run: the instances and the backend servers, with a store.

    Callers set the callbacks ``on_answer``, ``on_lost_request``, ``plan_run`` and
    ``crashes_server`` before :meth:`start`. Everything random comes from the seed of
    the plan, so that a run can be repeated exactly.

    :param plan: the :class:`FleetPlan`.
    :param settings: the :class:`~buckthornshift.dispatch.DispatchSettings` of every
        instance; ``None`` for the defaults.
    """

    def __init__(self, plan=None, settings=None):
        self.plan = plan
        self.settings = settings
        self.clock = VirtualClock()
        self.random_state = random.Random(plan.seed)
        self.network = FleetNetwork(world=self)
        self.oracle = FleetOracle(world=self)
        self.observer = self.oracle
        self.evacuation_watch = EvacuationWatch(world=self)
        self.drain_watch = DrainWatch(world=self)
        self.completion_watch = CompletionWatch(world=self)
        self.instances = [
            SimulatedInstance(name=f"n{i}:1", zone=self._get_zone(i))
            for i in range(plan.n_instances)
        ]
        self.servers_by_id = {}
        self.restarts = ServerRestarts(world=self)
        self.store = SimulatedStore(world=self)
        self.last_outage_end_ms = 0.0
        self.clock_step_ms_by_instance = {}
        self.on_answer = None
        self.on_lost_request = None
        self.on_log = None
        self.plan_run = None
        self.crashes_server = None

    def start(self):
        """Start every server and instance."""
        for index in range(self.plan.n_servers):
            self.add_server(self._get_zone(index), index)
        interval_ms = self.plan.start_interval_ms
        for index, instance in enumerate(self.instances):
            if interval_ms:
                self.clock.schedule(index * interval_ms, self.start_instance, instance)
            else:
                self.start_instance(instance)

    def add_server(self, zone, index):
        """Start a backend server and register it in the store.

        :param zone: availability zone.
        :param index: selects its service, kind and rack.
        """
        shape = self.plan.shape
        kind = self.get_kind(index)
        name = f"s{len(self.servers_by_id)}"
        capacity = Resources(cpu=kind.cpu, memory_mb=shape.memory_mb)
        record = ServerRecord(
            server_id=name,
            service=shape.services[index % len(shape.services)],
            host="10.0.0.1",
            port=index + 1,
            zone=zone,
            capacity=capacity,
            labels=(kind.label, f"r-{index // shape.servers_per_rack}"),
        )
        server = SimulatedServer(name=name, zone=zone, index=index)
        if self.restarts.is_planned:
            server.started_ms = int(self.clock.wall_ms)
        server.record = attrs.evolve(record, started_ms=server.started_ms)
        self.start_server(server)
        self.servers_by_id[name] = server
        return server

    def get_kind(self, index):
        """Return the kind of the servers with an index."""
        kinds = self.plan.shape.server_kinds
        return kinds[index % len(kinds)]

    def start_server(self, server):
        """Let the process of a server serve requests."""
        kind = self.get_kind(server.index)
        server.refuses_connections = False
        server.wake_up_ms = None
        server.model = TaskServerModel(
            server_id=server.name,
            capacity=Resources(cpu=kind.cpu, memory_mb=self.plan.shape.memory_mb),
            speed=kind.speed,
            clock_rate=self.random_state.choice((1.0, 0.99, 0.98)),
            clock_start_ms=self.random_state.uniform(0.0, 1e6),
            plan_run=lambda task: self._plan_run(server.name, task),
            observer=self.observer,
            started_ms=server.started_ms,
        )

    def terminate_server(self, server, verdict=Verdict.CLOSED, is_planned=False):
        """End the process of a server abruptly.

        :param server: the server.
        :param verdict: what instances learn whose renewals wait at it.
        :param is_planned: whether it has announced that.
        :returns: whether an instance learns it.
        """
        server.model.advance(self.clock.now_ms)
        # The runs that are due have ended, and are reported before the process ends.
        self.network.respond_to_waiting_renewals(server)
        if is_planned:
            self.oracle.record_planned_exit(server.model)
        server.model.abort_all_runs()
        server.model = None
        return self.network.close_connections(server, verdict)

    def kill_server(self, server, verdict=Verdict.NO_ANSWER):
        """Kill a server abruptly; its entry leaves the store 3 s later.

        :param server: the server.
        :param verdict: what instances learn whose renewals wait at it; by default that
            of a machine which is gone.
        :returns: whether an instance learns it.
        """
        if server.model is None:
            return False
        is_noticed = self.terminate_server(server, verdict)
        self.clock.schedule(3_000.0, self._deregister, server)
        return is_noticed

    def crash_server(self, server):
        """Crash the process of a server; a new one starts some seconds later.

        Until then its machine refuses connections.
        """
        if server.model is None:
            return
        self.oracle.record_crash(server.model)
        if self.restarts.is_planned:
            self.restarts.restart(server)
            return
        tasks = tuple(server.model.run_by_task)
        is_noticed = self.kill_server(server, Verdict.CLOSED)
        server.refuses_connections = True
        if is_noticed:
            self.oracle.record_noticed_crash(tasks)
        self.clock.schedule(
            CRASHED_SERVER_RESTART_MS, self.add_server, server.zone, server.index
        )

    def drain_server(self, server):
        """Mark a server as draining; it exits after ``DRAIN_DURATION_MS``."""
        if server.model is None or server.record.is_draining:
            return
        server.record = attrs.evolve(server.record, is_draining=True)
        self.clock.schedule(DRAIN_DURATION_MS, self._finish_drain, server)

    def let_server_leave(self, server, drain_ms):
        """Let a server drain and exit as planned; its entry is removed late.

        Another one is added afterwards.

        :param server: the server.
        :param drain_ms: time until it exits, whether or not its runs have ended.
        """
        if server.model is None or server.record.is_draining:
            return
        server.record = attrs.evolve(server.record, is_draining=True)
        self.clock.schedule(drain_ms, self._leave, server)

    def _leave(self, server):
        if server.model is None:
            return
        self.terminate_server(server, is_planned=True)
        server.refuses_connections = True
        delay_ms = self.random_state.uniform(0.0, MAX_ENTRY_REMOVAL_MS)
        self.clock.schedule(delay_ms, self._deregister, server)
        delay_ms = CRASHED_SERVER_RESTART_MS
        self.clock.schedule(delay_ms, self.add_server, server.zone, server.index)

    def shrink_server(self, server):
        """Halve the capacity that a server declares; its runs go on."""
        full = server.model.capacity if server.model is not None else None
        if full is None or server.record.capacity != full:
            return
        capacity = attrs.evolve(full, cpu=full.cpu // 2, memory_mb=full.memory_mb // 2)
        server.record = attrs.evolve(server.record, capacity=capacity)
        self.oracle.record_reduced_capacity(server.name, capacity)

    def restore_server(self, server):
        """Restore the full capacity of a server."""
        if server.model is not None:
            full = server.model.capacity
            server.record = attrs.evolve(server.record, capacity=full)
            self.oracle.record_reduced_capacity(server.name, None)

    def start_instance(self, instance):
        """Start a new process of an instance that is down."""
        if instance.core is not None:
            return
        instance.incarnation = self.random_state.getrandbits(INCARNATION_BITS)
        instance.is_frozen = instance.is_stopping = instance.is_watching_servers = False
        instance.evacuation_version = 0
        (
            instance.deferred_events,
            instance.callers,
            instance.wake_up_ms,
            instance.event_delay_ms,
        ) = [], {}, None, 0.0
        instance.inbox.clear()
        identity = DispatchIdentity(
            address=instance.name,
            incarnation=instance.incarnation,
            name=instance.name,
            zone=instance.zone,
            born_ms=int(self._read_wall_clock_ms(instance)),
        )
        instance.core = DispatchCore(
            identity=identity,
            settings=self.settings,
            random_state=random.Random(self.random_state.random()),
        )
        actions = instance.core.start(
            self.clock.now_ms, self._read_wall_clock_ms(instance)
        )
        self._execute_actions(instance, actions)
        seeds = tuple(other.name for other in self.instances[:3])
        self.deliver(instance, instance.key, InstancesFound(addresses=seeds))
        if self.plan.lists_instances:
            self.store.read_instances(instance, instance.key)
        self.store.poll(instance, instance.key)
        if self.plan.event_ms:
            self._deliver_probe(instance, instance.key)

    def kill_instance(self, instance, restart_ms=RESTART_DELAY_MS):
        """Kill the process of an instance abruptly and start a new one later.

        :param instance: the instance.
        :param restart_ms: delay until the new process starts.
        """
        if instance.core is None:
            return
        self._terminate_process(instance)
        self.clock.schedule(restart_ms, self.start_instance, instance)

    def stop_instance(self, instance):
        """Ask a process to stop gracefully; a new one starts after it exits."""
        if instance.core is not None and not instance.is_stopping:
            instance.is_stopping = True
            self.deliver(instance, instance.key, StopRequested())

    def freeze_instance(self, instance, length_ms):
        """Suspend a process; events that arrive meanwhile are deferred.

        :param instance: the instance.
        :param length_ms: how long it is suspended.
        """
        if instance.core is None or instance.is_frozen:
            return
        instance.is_frozen = True
        self.clock.schedule(length_ms, self._unfreeze, instance, instance.key)

    def deliver(self, instance, key, event):
        """Deliver an event to a process; drop it if that process has ended.

        :param instance: the instance.
        :param key: key of the process that the event is meant for.
        :param event: the event.
        """
        if instance.core is None or instance.key != key:
            return
        if instance.is_frozen:
            instance.deferred_events.append(event)
            return
        if instance.event_delay_ms and not isinstance(event, TimeAdvanced):
            self.clock.schedule(
                instance.event_delay_ms, self._enqueue_event, instance, key, event
            )
            return
        self._enqueue_event(instance, key, event)

    def find_instance(self, address):
        """Return the instance with an address, or ``None``."""
        return next(
            (instance for instance in self.instances if instance.name == address), None
        )

    def find_owner(self):
        """Return the first running instance that owns a cell, or ``None``."""
        for instance in self.instances:
            if instance.core is not None and instance.core.cells.is_owner:
                return instance
        return None

    def find_server(self, server_id):
        """Return a server by its id, or ``None``."""
        return self.servers_by_id.get(server_id)

    def find_record(self, server_id):
        """Return the :class:`~buckthornshift.dispatch.ServerRecord` of a server."""
        return self.servers_by_id[server_id].record

    def schedule_server_events(self, server):
        """Schedule the time at which the next run on a server ends."""
        if server.model is None:
            return
        due_ms = server.model.find_next_due()
        is_scheduled = server.wake_up_ms is not None and server.wake_up_ms <= (
            due_ms or 0.0
        )
        if due_ms is None or due_ms == float("inf") or is_scheduled:
            return
        server.wake_up_ms = due_ms
        delay_ms = due_ms - self.clock.now_ms
        self.clock.schedule(delay_ms, self._advance_server, server, due_ms)

    def _plan_run(self, server_id, task):
        if self.crashes_server is not None and self.crashes_server(task):
            server = self.servers_by_id[server_id]
            delay_ms = self.plan.crash_delay_ms
            self.clock.schedule(delay_ms, self.crash_server, server)
        return self.plan_run(task)

    def _advance_server(self, server, due_ms):
        if server.wake_up_ms != due_ms:
            return
        server.wake_up_ms = None
        if server.model is None:
            return
        server.model.advance(self.clock.now_ms)
        self.network.respond_to_waiting_renewals(server)
        self.schedule_server_events(server)

    def _enqueue_event(self, instance, key, event):
        """Queue an event until the processor is free.

        Without a processing time in the plan, the event is handled at once.
        """
        if not self.plan.event_ms:
            self._handle_event(instance, key, event)
            return
        if instance.core is None or instance.key != key:
            return
        is_timer = isinstance(event, TimeAdvanced)
        if is_timer and any(
            isinstance(other, TimeAdvanced) for other in instance.inbox
        ):
            return
        instance.inbox.append(event)
        if len(instance.inbox) == 1:
            self.clock.schedule(
                self.plan.event_ms, self._process_next_event, instance, key
            )

    def _process_next_event(self, instance, key):
        if instance.core is None or instance.key != key or not instance.inbox:
            return
        self._handle_event(instance, key, instance.inbox[0])
        if instance.core is None or instance.key != key or not instance.inbox:
            return
        instance.inbox.popleft()
        if instance.inbox:
            self.clock.schedule(
                self.plan.event_ms, self._process_next_event, instance, key
            )

    def _handle_event(self, instance, key, event):
        if instance.core is None or instance.key != key:
            return
        if instance.is_frozen:
            instance.deferred_events.append(event)
            return
        actions = instance.core.handle(
            event, self.clock.now_ms, self._read_wall_clock_ms(instance)
        )
        self._execute_actions(instance, actions)

    def _execute_actions(self, instance, actions):
        for action in actions:
            self._execute_action(instance, action)
        if instance.core is not None:
            self._schedule_wake_up(instance)

    def _execute_action(self, instance, action):
        match action:
            case SendToPeer():
                self.network.send(instance, action)
            case ReconnectPeer(address=address):
                self.network.dial(instance, address)
            case StartRun() | StopRun() | RenewLease():
                if isinstance(action, StartRun):
                    self.oracle.check_start_command(instance, action)
                self.network.send_command(instance, action)
            case AnswerCaller():
                self.on_answer(instance, action)
            case WatchServerList(is_on=is_on):
                instance.is_watching_servers = is_on
            case Exit():
                self.oracle.check_graceful_stop(instance)
                self._terminate_process(instance)
                self.clock.schedule(RESTART_DELAY_MS, self.start_instance, instance)
            case _:
                if self.on_log is not None:
                    self.on_log(instance, action)

    def _terminate_process(self, instance):
        instance.core = None
        instance.deferred_events = []
        callers, instance.callers = instance.callers, {}
        for request in callers.values():
            self.on_lost_request(request)

    def _unfreeze(self, instance, key):
        if instance.core is None or instance.key != key:
            return
        instance.is_frozen = False
        deferred_events, instance.deferred_events = instance.deferred_events, []
        for event in deferred_events:
            self.deliver(instance, key, event)
        self.deliver(instance, key, TimeAdvanced())

    def _schedule_wake_up(self, instance):
        due_ms = instance.core.find_next_due()
        is_scheduled = instance.wake_up_ms is not None and instance.wake_up_ms <= (
            due_ms or 0.0
        )
        if due_ms is None or (is_scheduled and instance.wake_up_ms > self.clock.now_ms):
            return
        instance.wake_up_ms = due_ms
        delay_ms = max(0.01, due_ms - self.clock.now_ms)
        self.clock.schedule(delay_ms, self._wake_up, instance, instance.key, due_ms)

    def _wake_up(self, instance, key, due_ms):
        if instance.key != key:
            return
        if instance.wake_up_ms == due_ms:
            instance.wake_up_ms = None
        self.deliver(instance, key, TimeAdvanced())

    def _deliver_probe(self, instance, key):
        if instance.core is not None and instance.key == key:
            self.deliver(instance, key, LagProbeDue(due_ms=self.clock.now_ms))
            self.clock.schedule(PROBE_INTERVAL_MS, self._deliver_probe, instance, key)

    def _deregister(self, server):
        server.is_listed = False

    def _finish_drain(self, server):
        self._deregister(server)
        if server.model is not None:
            self.terminate_server(server, is_planned=True)

    def _read_wall_clock_ms(self, instance):
        return self.clock.wall_ms + self.clock_step_ms_by_instance.get(
            instance.name, 0.0
        )

    def _get_zone(self, index):
        return f"zone-{index % self.plan.n_zones}"
