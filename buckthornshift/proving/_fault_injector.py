"""Faults of a run, brought about at their time."""

from ..standins import BackendFaults
from ._plan import FaultKind


class FaultInjector:
    """Bring about the faults of a plan and end them.

    :param simulation: the :class:`Simulation`.
    :param callers: the :class:`FakeCallers`.
    """

    def __init__(self, simulation=None, callers=None):
        self.simulation = simulation
        self.callers = callers

    def start(self):
        """Schedule every fault of the plan."""
        for fault in self.simulation.plan.faults:
            self.simulation.clock.schedule(fault.start_ms, self.inject, fault)

    def inject(self, fault):
        """Bring about a fault now, and end it in its time.

        :param fault: the :class:`Fault`.
        """
        simulation = self.simulation
        active_faults = simulation.active_faults
        entry = simulation.entries[fault.target % len(simulation.entries)]
        server = simulation.servers[fault.target % len(simulation.servers)]
        zone = entry.zone
        match fault.kind:
            case FaultKind.ENTRY_DEATH:
                simulation.kill_entry(entry)
            case FaultKind.ENTRY_PAUSE:
                simulation.pause_entry(entry, fault.length_ms)
            case FaultKind.ENTRY_DRAIN:
                simulation.drain_entry(entry)
            case FaultKind.SERVER_DEATH:
                simulation.kill_server(server)
                self._later(fault, simulation.start_server, server)
            case FaultKind.SERVER_LEAVE:
                simulation.drain_server(server)
            case FaultKind.SERVER_FAILS:
                self._set_server_faults(fault, server, fails_everything=True)
            case FaultKind.SERVER_SLOW:
                self._set_server_faults(fault, server, slow_factor=8.0)
            case FaultKind.SERVER_SILENT:
                self._set_server_faults(fault, server, is_silent=True)
            case FaultKind.LOG_OUTAGE:
                active_faults.is_log_down = True
                self._later(fault, self._end, "is_log_down", False)
            case FaultKind.LOG_SLOW:
                active_faults.log_extra_ms = 400.0
                self._later(fault, self._end, "log_extra_ms", 0.0)
            case FaultKind.LOG_REPLIES_LOST:
                active_faults.reply_loss = 0.5
                self._later(fault, self._end, "reply_loss", 0.0)
            case FaultKind.LIST_LAG:
                active_faults.list_lag_ms = 2_000.0
                self._later(fault, self._end, "list_lag_ms", 0.0)
            case FaultKind.CONNECTION_LOSS:
                active_faults.connection_loss = 0.3
                self._later(fault, self._end, "connection_loss", 0.0)
            case FaultKind.ZONE_CUT:
                active_faults.cut_zones.add(zone)
                self._later(fault, active_faults.cut_zones.discard, zone)
            case FaultKind.PLATFORM_CUT:
                active_faults.platform_cut_zones.add(zone)
                self._later(fault, active_faults.platform_cut_zones.discard, zone)
            case FaultKind.OPERATOR_RACE:
                self.callers.publish_conflicting_changes()
            case FaultKind.CANCEL_WAVE:
                self.callers.cancel_recent_jobs(10)

    def _later(self, fault, function, *args):
        self.simulation.clock.schedule(fault.length_ms, function, *args)

    def _end(self, name, value):
        setattr(self.simulation.active_faults, name, value)

    def _set_server_faults(self, fault, server, **faults):
        if server.model is None:
            return
        server.model.faults = BackendFaults(**faults)
        self._later(fault, self._end_server_faults, server, server.generation)

    def _end_server_faults(self, server, generation):
        if server.model is not None and server.generation == generation:
            server.model.faults = BackendFaults()
