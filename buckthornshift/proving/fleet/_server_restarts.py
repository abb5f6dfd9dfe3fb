"""Restarts of simulated backend servers under their ids."""

import attrs

from ...dispatch import Resources
from ._plan import FleetFault

# Range of the time from the end of a process to the start of the next one.
DOWN_MS = (20.0, 3_000.0)
# The same after a planned exit.
DRAINED_DOWN_MS = (20.0, 300.0)
# Range of the time from the first response of a restarted server to its entry.
ENTRY_DELAY_MS = (-300.0, 900.0)
REFUSE_PROBABILITY = 0.5
SHRINK_PROBABILITY = 0.3
RESTART_FAULTS = (FleetFault.SERVER_RESTARTS, FleetFault.SERVER_DRAIN_RESTARTS)


class ServerRestarts:
    """Restart servers; the new process runs nothing and has another clock.

    Instances may read its entry before they reach it or after.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        # Servers report their start only in these runs.
        self.is_planned = any(
            fault.kind in RESTART_FAULTS for fault in world.plan.faults
        )
        self._drained_servers = set()

    def restart(self, server):
        """Restart a server under its id, unless it is down or draining."""
        world = self.world
        if server.model is None or server.record.is_draining:
            return
        world.terminate_server(server)
        server.refuses_connections = world.random_state.random() < REFUSE_PROBABILITY
        down_ms = world.random_state.uniform(*DOWN_MS)
        world.clock.schedule(down_ms, self._begin, server)

    def drain_and_restart(self, server, drain_ms):
        """Let a server drain, exit as planned and start again under its id.

        :param server: the server.
        :param drain_ms: time until it exits, whether or not its runs have ended.
        """
        if server.model is None or server.record.is_draining:
            return
        server.record = attrs.evolve(server.record, is_draining=True)
        self._drained_servers.add(server.name)
        self.world.clock.schedule(drain_ms, self._restart_drained, server)

    def _restart_drained(self, server):
        world = self.world
        if server.model is None:
            return
        world.terminate_server(server, is_planned=True)
        server.refuses_connections = world.random_state.random() < REFUSE_PROBABILITY
        down_ms = world.random_state.uniform(*DRAINED_DOWN_MS)
        world.clock.schedule(down_ms, self._begin, server)

    def _begin(self, server):
        world = self.world
        server.started_ms = max(server.started_ms + 1, int(world.clock.wall_ms))
        delay_ms = world.random_state.uniform(*ENTRY_DELAY_MS)
        world.clock.schedule(max(0.0, -delay_ms), world.start_server, server)
        world.clock.schedule(
            max(0.0, delay_ms), self._register, server, server.started_ms
        )

    def _register(self, server, started_ms):
        """Write the entry of a restarted server, which may have less capacity."""
        world = self.world
        if server.started_ms != started_ms:
            return
        cpu = world.get_kind(server.index).cpu
        memory_mb = world.plan.shape.memory_mb
        is_smaller = world.random_state.random() < SHRINK_PROBABILITY
        if is_smaller:
            cpu, memory_mb = cpu // 2, memory_mb // 2
        capacity = Resources(cpu=cpu, memory_mb=memory_mb)
        server.record = attrs.evolve(
            server.record, capacity=capacity, started_ms=started_ms
        )
        if server.name in self._drained_servers:
            self._drained_servers.discard(server.name)
            server.record = attrs.evolve(server.record, is_draining=False)
            world.oracle.drain_start_ms_by_server.pop(server.name, None)
            world.drain_watch.forget_drain(server.name)
        server.is_listed = True
        reduced = capacity if is_smaller else None
        world.oracle.record_reduced_capacity(server.name, reduced)
