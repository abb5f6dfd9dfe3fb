"""Faults of a run, brought about at their time."""

from ..standins import BackendFaults
from ._plan import FaultKind


class FaultInjector:
    """Bring about the faults of a plan and end them.

    :param world: the :class:`World`.
    :param callers: the :class:`FakeCallers`.
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

        :param fault: the :class:`Fault`.
        """
        world = self.world
        conditions = world.conditions
        entry = world.entries[fault.target % len(world.entries)]
        server = world.servers[fault.target % len(world.servers)]
        zone = entry.zone
        match fault.kind:
            case FaultKind.ENTRY_DEATH:
                world.kill_entry(entry)
            case FaultKind.ENTRY_PAUSE:
                world.pause_entry(entry, fault.length_ms)
            case FaultKind.ENTRY_DRAIN:
                world.drain_entry(entry)
            case FaultKind.SERVER_DEATH:
                world.kill_server(server)
                self._later(fault, world.start_server, server)
            case FaultKind.SERVER_LEAVE:
                world.leave_server(server)
            case FaultKind.SERVER_FAILS:
                self._set_server_faults(fault, server, fails_everything=True)
            case FaultKind.SERVER_SLOW:
                self._set_server_faults(fault, server, slow_factor=8.0)
            case FaultKind.SERVER_SILENT:
                self._set_server_faults(fault, server, is_silent=True)
            case FaultKind.LOG_OUTAGE:
                conditions.is_log_down = True
                self._later(fault, self._end, "is_log_down", False)
            case FaultKind.LOG_SLOW:
                conditions.log_extra_ms = 400.0
                self._later(fault, self._end, "log_extra_ms", 0.0)
            case FaultKind.LOG_REPLIES_LOST:
                conditions.reply_loss = 0.5
                self._later(fault, self._end, "reply_loss", 0.0)
            case FaultKind.LIST_LAG:
                conditions.list_lag_ms = 2_000.0
                self._later(fault, self._end, "list_lag_ms", 0.0)
            case FaultKind.CONNECTION_LOSS:
                conditions.connection_loss = 0.3
                self._later(fault, self._end, "connection_loss", 0.0)
            case FaultKind.ZONE_CUT:
                conditions.cut_zones.add(zone)
                self._later(fault, conditions.cut_zones.discard, zone)
            case FaultKind.PLATFORM_CUT:
                conditions.platform_cut_zones.add(zone)
                self._later(fault, conditions.platform_cut_zones.discard, zone)
            case FaultKind.OPERATOR_RACE:
                self.callers.race_operators()
            case FaultKind.CANCEL_WAVE:
                self.callers.cancel_some(10)

    def _later(self, fault, function, *args):
        self.world.clock.schedule(fault.length_ms, function, *args)

    def _end(self, name, value):
        setattr(self.world.conditions, name, value)

    def _set_server_faults(self, fault, server, **faults):
        if server.model is None:
            return
        server.model.faults = BackendFaults(**faults)
        self._later(fault, self._end_server_faults, server, server.generation)

    def _end_server_faults(self, server, generation):
        if server.model is not None and server.generation == generation:
            server.model.faults = BackendFaults()
