"""Restarts of simulated backend servers under their ids."""

import attrs

from ...dispatch import Resources
from ._plan import FleetFault

# Range of the time from the end of a process to the start of the next one.
DOWN_MS = (20.0, 3_000.0)
# Range of the time from the first response of a restarted server to its entry.
ENTRY_DELAY_MS = (-300.0, 900.0)
REFUSE_PROBABILITY = 0.5
SHRINK_PROBABILITY = 0.3


class ServerRestarts:
    """Restart servers; the new process runs nothing and has another clock.

    Instances may read its entry before they reach it or after.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        # Servers report their start only in these runs.
        self.is_planned = any(
            fault.kind is FleetFault.SERVER_RESTARTS for fault in world.plan.faults
        )

    def restart(self, server):
        """Restart a server under its id, unless it is down or draining."""
        world = self.world
        if server.model is None or server.record.is_draining:
            return
        world.terminate_server(server)
        server.refuses_connections = world.random_state.random() < REFUSE_PROBABILITY
        down_ms = world.random_state.uniform(*DOWN_MS)
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
        server.is_listed = True
        reduced = capacity if is_smaller else None
        world.oracle.record_reduced_capacity(server.name, reduced)
