"""Injection of the planned faults into a simulated run."""

import attrs

from ...dispatch import Verdict
from ...standins import TaskServerFaults
from ._plan import FleetFault

ROLLING_STOP_INTERVAL_MS = 1_200.0
LATE_PROBABILITY = 0.05
LOST_RESPONSE_PROBABILITY = 0.05
BURST_FACTOR = 4.0
LAPSE_PROBABILITY = 0.4
MAX_LAPSE_MS = 2_000.0
ENTRY_RETRY_MS = 100.0
DISCONNECT_PROBABILITY = 0.4
CRASH_PROBABILITY = 0.1
SILENT_CRASH_PROBABILITY = 0.7
CUT_AFTER_CLOSE_MS = 2_500.0
# Well above the time after which a reduced capacity must be respected.
SHRINK_DURATION_MS = 8_000.0
CLOCK_STEP_MS = 3_000.0
RIVAL_PARTITION_MS = 3_500.0
MAX_RIVAL_LIFE_MS = 250.0
MAX_PARTITION_DELAY_MS = 1_000.0
WATCH_INTERVAL_MS = 5.0
# Faults that keep an instance from running, or from reading the store, for a while.
INSTANCE_OUTAGES = (
    FleetFault.INSTANCE_FREEZE,
    FleetFault.OWNER_FREEZE,
    FleetFault.INSTANCE_SLOW,
    FleetFault.INSTANCE_PARTITION,
    FleetFault.STORE_OUTAGE,
    FleetFault.STORE_PARTITION,
)


class FleetFaultInjector:
    """Start the faults of a plan and end each after its duration.

    :param world: the :class:`FleetWorld`.
    :param callers: the :class:`FleetCallers`.
    """

    def __init__(self, world=None, callers=None):
        self.world = world
        self.callers = callers

    def start(self):
        """Schedule every fault of the plan."""
        for fault in self.world.plan.faults:
            self.world.clock.schedule(fault.start_ms, self.inject, fault)

    def inject(self, fault):
        """Start a fault now and schedule its end.

        :param fault: the :class:`PlannedFault`.
        """
        world = self.world
        if fault.kind in INSTANCE_OUTAGES:
            end_ms = world.clock.now_ms + fault.length_ms
            world.last_outage_end_ms = max(world.last_outage_end_ms, end_ms)
        instance = world.instances[fault.target % len(world.instances)]
        owner = world.find_owner() or instance
        if fault.kind.value.startswith("server"):
            self._inject_server_fault(fault)
            return
        match fault.kind:
            case FleetFault.INSTANCE_CRASH:
                world.kill_instance(instance)
            case FleetFault.OWNER_CRASH:
                world.kill_instance(owner)
            case FleetFault.INSTANCE_FREEZE:
                world.freeze_instance(instance, fault.length_ms)
            case FleetFault.OWNER_FREEZE:
                world.freeze_instance(owner, fault.length_ms)
            case FleetFault.INSTANCE_SLOW:
                instance.event_delay_ms = 30.0
                self._schedule_end(fault, self._end_slowness, instance)
            case FleetFault.INSTANCE_STOP:
                world.stop_instance(instance)
            case FleetFault.ROLLING_STOP:
                for index, other in enumerate(world.instances):
                    world.clock.schedule(
                        index * ROLLING_STOP_INTERVAL_MS, world.stop_instance, other
                    )
            case FleetFault.RIVAL_CRASH:
                self._crash_rivals(fault, instance, owner)
            case FleetFault.RESET_THEN_PARTITION:
                self._reset_then_partition(fault, owner)
            case FleetFault.ALL_INSTANCES_CRASH:
                for other in world.instances:
                    world.kill_instance(other)
            case _:
                self._inject_environment_fault(fault, instance, owner)

    def _crash_rivals(self, fault, instance, owner):
        """Partition a zone without the owner, and lose the instances that claim there.

        They are killed or suspended until the partition has ended.
        """
        world = self.world
        if instance.zone == owner.zone:
            return
        # Longer than an instance there takes to claim the servers.
        end_ms = world.clock.now_ms + RIVAL_PARTITION_MS
        faults = world.network.faults
        faults.isolated_zones.add(instance.zone)
        world.clock.schedule(
            RIVAL_PARTITION_MS, faults.isolated_zones.discard, instance.zone
        )
        self._watch_rivals(fault, instance.zone, end_ms, set())

    def _watch_rivals(self, fault, zone, end_ms, claimant_keys):
        world = self.world
        if world.clock.now_ms >= end_ms:
            return
        for instance in world.instances:
            has_claimed = instance.core is not None and instance.core.cells.is_owner
            is_new = has_claimed and instance.key not in claimant_keys
            if instance.zone == zone and is_new:
                claimant_keys.add(instance.key)
                # Not before the servers have responded to the claim.
                delay_ms = fault.length_ms % MAX_RIVAL_LIFE_MS
                world.clock.schedule(
                    delay_ms, self._lose_rival, fault, instance, end_ms
                )
        world.clock.schedule(
            WATCH_INTERVAL_MS, self._watch_rivals, fault, zone, end_ms, claimant_keys
        )

    def _lose_rival(self, fault, instance, end_ms):
        left_ms = max(1.0, end_ms - self.world.clock.now_ms)
        if fault.target % 2:
            self.world.freeze_instance(instance, left_ms)
        else:
            self.world.kill_instance(instance, restart_ms=left_ms)

    def _reset_then_partition(self, fault, owner):
        """Reset connections of an instance beside the owner, then partition their zone.

        The callers whose connections were reset submit their jobs again, to any zone.
        """
        world = self.world
        neighbours = [
            other
            for other in world.instances
            if other.zone == owner.zone and other is not owner and other.core
        ]
        if not neighbours:
            return
        instance = neighbours[fault.target % len(neighbours)]
        world.network.reset_link(instance, owner)
        self.callers.reset_connections(instance)
        delay_ms = fault.length_ms % MAX_PARTITION_DELAY_MS
        faults = world.network.faults
        world.clock.schedule(delay_ms, faults.isolated_zones.add, owner.zone)
        delay_ms += RIVAL_PARTITION_MS
        world.clock.schedule(delay_ms, faults.isolated_zones.discard, owner.zone)

    def _inject_environment_fault(self, fault, instance, owner):
        world = self.world
        network_faults = world.network.faults
        match fault.kind:
            case FleetFault.INSTANCE_PARTITION:
                self._add_for_duration(
                    fault, network_faults.isolated_instances, instance.name
                )
            case FleetFault.ZONE_PARTITION:
                self._add_for_duration(
                    fault, network_faults.isolated_zones, instance.zone
                )
            case FleetFault.ONE_WAY_PARTITION:
                self._add_for_duration(
                    fault, network_faults.one_way_cuts, (owner.name, instance.name)
                )
            case FleetFault.SILENT_LINKS:
                world.network.silence_links(0.5)
            case FleetFault.LINK_FULL:
                self._add_for_duration(fault, network_faults.full_links, owner.name)
            case FleetFault.STORE_OUTAGE:
                world.store.is_down = True
                self._schedule_end(fault, setattr, world.store, "is_down", False)
            case FleetFault.ENTRIES_LAPSE:
                self._lapse_entries(fault)
            case FleetFault.STORE_PARTITION:
                self._add_for_duration(
                    fault, world.store.cut_off_instances, instance.name
                )
            case FleetFault.COMMANDS_LATE:
                network_faults.late_probability = LATE_PROBABILITY
                self._schedule_end(
                    fault, setattr, network_faults, "late_probability", 0.0
                )
            case FleetFault.RESPONSES_LOST:
                network_faults.lost_response_probability = LOST_RESPONSE_PROBABILITY
                self._schedule_end(
                    fault, setattr, network_faults, "lost_response_probability", 0.0
                )
            case FleetFault.CALLERS_DISCONNECT:
                self.callers.disconnect_probability = DISCONNECT_PROBABILITY
                self._schedule_end(
                    fault, setattr, self.callers, "disconnect_probability", 0.0
                )
            case FleetFault.BURST:
                self.callers.rate_factor = BURST_FACTOR
                self._schedule_end(fault, setattr, self.callers, "rate_factor", 1.0)
            case FleetFault.TASKS_CRASH_SERVERS:
                self.callers.crash_probability = CRASH_PROBABILITY
                self._schedule_end(fault, setattr, self.callers, "crash_probability", 0)
            case FleetFault.CONFIG_CHANGE:
                world.store.change_configuration()
            case FleetFault.EVACUATION:
                # The last number is that of a zone without servers.
                zone = f"zone-{fault.target % (world.plan.n_zones + 1)}"
                world.store.evacuate(zone)
                self._schedule_end(fault, world.store.evacuate, zone, False)
            case FleetFault.CLOCK_STEP:
                world.clock_step_ms_by_instance[instance.name] = -CLOCK_STEP_MS
                self._schedule_end(
                    fault, world.clock_step_ms_by_instance.pop, instance.name, None
                )

    def _inject_server_fault(self, fault):
        world = self.world
        servers = list(world.servers_by_id.values())
        server = servers[fault.target % len(servers)]
        match fault.kind:
            case FleetFault.SERVER_CRASH:
                world.kill_server(server)
                self._schedule_end(fault, world.add_server, server.zone, server.index)
            case FleetFault.SERVER_DRAIN:
                world.drain_server(server)
                self._record_drain(server)
                self._schedule_end(fault, world.add_server, server.zone, server.index)
            case FleetFault.SERVER_ADDED:
                world.add_server(server.zone, fault.target)
            case FleetFault.SERVER_SLOW:
                self._set_server_faults(
                    fault, server, TaskServerFaults(slow_factor=6.0)
                )
            case FleetFault.SERVER_SHRINKS:
                world.shrink_server(server)
                world.clock.schedule(SHRINK_DURATION_MS, world.restore_server, server)
            case FleetFault.SERVER_RESTARTS:
                world.restarts.restart(server)
            case FleetFault.SERVER_FAILS:
                self._set_server_faults(fault, server, TaskServerFaults(fails=True))
            case FleetFault.SERVER_HANGS:
                self._set_server_faults(fault, server, TaskServerFaults(hangs=True))
            case FleetFault.SERVER_PARTITION:
                self._isolate_server(fault, server)
            case _:
                self._inject_series_fault(fault, self._find_target(server, servers))

    def _find_target(self, server, servers):
        """Return a server with a task that has lost one, or else the planned target."""
        has_lost = self.world.oracle.has_lost_server
        for other in servers:
            if other.model is None or other.record.is_draining:
                continue
            if any(has_lost(task) for task in other.model.run_by_task):
                return other
        return server

    def _inject_series_fault(self, fault, server):
        world = self.world
        network = world.network
        match fault.kind:
            case FleetFault.SERVER_LEAVES:
                world.let_server_leave(server, fault.length_ms)
                self._record_drain(server)
            case FleetFault.SERVER_DRAIN_RESTARTS:
                world.restarts.drain_and_restart(server, fault.length_ms)
                self._record_drain(server)
            case FleetFault.SERVER_SILENT if server.model is not None:
                network.silence_server(server)
                self._schedule_end(fault, self._end_silence, server, server.model)
            case FleetFault.SERVER_CLOSES if server.model is not None:
                network.close_connections(server, Verdict.CLOSED)
                cut = attrs.evolve(fault, length_ms=CUT_AFTER_CLOSE_MS)
                self._schedule_end(fault, self._isolate_server, cut, server)
            case FleetFault.SERVER_REJECTS:
                self._add_for_duration(
                    fault, network.faults.rejecting_servers, server.name
                )
            case FleetFault.SERVER_ERRORS:
                self._add_for_duration(
                    fault, network.faults.erring_servers, server.name
                )

    def _end_silence(self, server, model):
        """Let a silent server crash, or respond again."""
        if server.model is not model:
            return
        if self.world.random_state.random() < SILENT_CRASH_PROBABILITY:
            self.world.crash_server(server)
        else:
            self.world.network.end_silence(server)

    def _record_drain(self, server):
        """Record that the store has accepted that a server drains, if it does."""
        # A server that is down may come back and not be draining.
        if not server.record.is_draining:
            return
        world = self.world
        drain_start_ms = world.oracle.drain_start_ms_by_server
        drain_start_ms.setdefault(server.name, world.clock.now_ms)
        world.drain_watch.record_drain(server.name)

    def _isolate_server(self, fault, server):
        network = self.world.network
        self._add_for_duration(fault, network.faults.isolated_servers, server.name)
        if fault.resets:
            self._add_for_duration(fault, network.faults.resetting_servers, server.name)
            network.close_connections(server, Verdict.NO_ANSWER)

    def _lapse_entries(self, fault):
        """Drop entries from the list of servers, as an outage of the store does.

        They return after the duration of the fault, at most ``MAX_LAPSE_MS``, or when a
        server that is cut off can write its entry again.
        """
        world = self.world
        for server in list(world.servers_by_id.values()):
            if world.random_state.random() < LAPSE_PROBABILITY and server.is_listed:
                server.is_listed = False
                delay_ms = min(fault.length_ms, MAX_LAPSE_MS)
                world.clock.schedule(delay_ms, self._register_again, server)

    def _register_again(self, server):
        world = self.world
        if server.name in world.network.faults.isolated_servers:
            world.clock.schedule(ENTRY_RETRY_MS, self._register_again, server)
            return
        server.is_listed = server.model is not None

    def _add_for_duration(self, fault, names, name):
        names.add(name)
        self._schedule_end(fault, names.discard, name)

    def _set_server_faults(self, fault, server, faults):
        if server.model is None:
            return
        server.model.faults = faults
        self._schedule_end(fault, setattr, server.model, "faults", TaskServerFaults())

    def _end_slowness(self, instance):
        instance.event_delay_ms = 0.0

    def _schedule_end(self, fault, function, *args):
        self.world.clock.schedule(fault.length_ms, function, *args)
