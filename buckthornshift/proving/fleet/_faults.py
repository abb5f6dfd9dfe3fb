"""Faults of a run, brought about at their time."""

from ...standins import TaskServerFaults
from ._plan import FleetFault

ROLL_GAP_MS = 1_200.0
LATE_SHARE = 0.05
LOST_SHARE = 0.05
BURST_FACTOR = 4.0
LAPSED_SHARE = 0.4
LAPSED_MS = 2_000.0
LEAVING_SHARE = 0.4
CLOCK_STEP_MS = 3_000.0
# Faults in which an instance does not run or does not read the store.
TROUBLES = (
    FleetFault.NODE_FREEZE,
    FleetFault.OWNER_FREEZE,
    FleetFault.NODE_SLOW,
    FleetFault.NODE_CUT,
    FleetFault.STORE_AWAY,
    FleetFault.STORE_CUT,
)


class FleetFaultInjector:
    """Bring about the faults of a plan and end them.

    :param world: the :class:`FleetWorld`.
    :param callers: the :class:`FleetCallers`.
    """

    def __init__(self, world=None, callers=None):
        self.world = world
        self.callers = callers

    def start(self):
        """Schedule every fault of the plan."""
        for fault in self.world.plan.faults:
            self.world.clock.schedule(fault.start_ms, self.strike, fault)

    def strike(self, fault):
        """Bring about a fault now, and end it in its time.

        :param fault: the :class:`PlannedFault`.
        """
        world = self.world
        if fault.kind in TROUBLES:
            end_ms = world.clock.now_ms + fault.length_ms
            world.last_trouble_ms = max(world.last_trouble_ms, end_ms)
        node = world.nodes[fault.target % len(world.nodes)]
        owner = world.find_owner() or node
        if fault.kind.value.startswith("server"):
            self._strike_server(fault)
            return
        match fault.kind:
            case FleetFault.NODE_DEATH:
                world.kill_node(node)
            case FleetFault.OWNER_DEATH:
                world.kill_node(owner)
            case FleetFault.NODE_FREEZE:
                world.freeze_node(node, fault.length_ms)
            case FleetFault.OWNER_FREEZE:
                world.freeze_node(owner, fault.length_ms)
            case FleetFault.NODE_SLOW:
                node.slow_ms = 30.0
                self._later(fault, self._speed_up, node)
            case FleetFault.NODE_STOP:
                world.stop_node(node)
            case FleetFault.ROLLING_STOP:
                for index, other in enumerate(world.nodes):
                    world.clock.schedule(index * ROLL_GAP_MS, world.stop_node, other)
            case FleetFault.ALL_DIE:
                for other in world.nodes:
                    world.kill_node(other)
            case _:
                self._strike_surroundings(fault, node, owner)

    def _strike_surroundings(self, fault, node, owner):
        world = self.world
        troubles = world.network.troubles
        match fault.kind:
            case FleetFault.NODE_CUT:
                self._hold_in(fault, troubles.cut_nodes, node.name)
            case FleetFault.ZONE_CUT:
                self._hold_in(fault, troubles.cut_zones, node.zone)
            case FleetFault.ONE_WAY_CUT:
                self._hold_in(fault, troubles.one_way, (owner.name, node.name))
            case FleetFault.SILENT_LINKS:
                world.network.silence_links(0.5)
            case FleetFault.STORE_AWAY:
                world.is_store_away = True
                self._later(fault, setattr, world, "is_store_away", False)
            case FleetFault.ENTRIES_LAPSE:
                self._lapse_entries(fault)
            case FleetFault.STORE_CUT:
                self._hold_in(fault, world.store_cut_nodes, node.name)
            case FleetFault.ORDERS_LATE:
                troubles.late_share = LATE_SHARE
                self._later(fault, setattr, troubles, "late_share", 0.0)
            case FleetFault.ANSWERS_LOST:
                troubles.lost_share = LOST_SHARE
                self._later(fault, setattr, troubles, "lost_share", 0.0)
            case FleetFault.CALLERS_LEAVE:
                self.callers.leaving_share = LEAVING_SHARE
                self._later(fault, setattr, self.callers, "leaving_share", 0.0)
            case FleetFault.BURST:
                self.callers.rate_factor = BURST_FACTOR
                self._later(fault, setattr, self.callers, "rate_factor", 1.0)
            case FleetFault.CONFIG_CHANGE:
                world.change_configuration()
            case FleetFault.CLOCK_STEP:
                world.clock_step_by_node[node.name] = -CLOCK_STEP_MS
                self._later(fault, world.clock_step_by_node.pop, node.name, None)

    def _strike_server(self, fault):
        world = self.world
        servers = list(world.servers_by_id.values())
        server = servers[fault.target % len(servers)]
        match fault.kind:
            case FleetFault.SERVER_DEATH:
                world.kill_server(server)
                self._later(fault, world.add_server, server.zone, server.index)
            case FleetFault.SERVER_DRAIN:
                world.drain_server(server)
                known = world.oracle.drain_known_ms_by_server
                known.setdefault(server.name, world.clock.now_ms)
                self._later(fault, world.add_server, server.zone, server.index)
            case FleetFault.SERVER_ADDED:
                world.add_server(server.zone, fault.target)
            case FleetFault.SERVER_SLOW:
                self._spoil(fault, server, TaskServerFaults(slow_factor=6.0))
            case FleetFault.SERVER_FAILS:
                self._spoil(fault, server, TaskServerFaults(fails=True))
            case FleetFault.SERVER_HANGS:
                self._spoil(fault, server, TaskServerFaults(hangs=True))
            case FleetFault.SERVER_CUT:
                self._hold_in(fault, world.network.troubles.cut_servers, server.name)

    def _lapse_entries(self, fault):
        """Let entries vanish, as in an outage; they are back within two seconds."""
        world = self.world
        for server in list(world.servers_by_id.values()):
            if world.random_state.random() < LAPSED_SHARE and server.is_listed:
                server.is_listed = False
                delay_ms = min(fault.length_ms, LAPSED_MS)
                world.clock.schedule(delay_ms, self._list_again, server)

    def _list_again(self, server):
        server.is_listed = server.model is not None

    def _hold_in(self, fault, names, name):
        names.add(name)
        self._later(fault, names.discard, name)

    def _spoil(self, fault, server, faults):
        if server.model is None:
            return
        server.model.faults = faults
        self._later(fault, setattr, server.model, "faults", TaskServerFaults())

    def _speed_up(self, node):
        node.slow_ms = 0.0

    def _later(self, fault, function, *args):
        self.world.clock.schedule(fault.length_ms, function, *args)
