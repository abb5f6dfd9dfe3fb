"""Which simulated instances must know that a server drains, as the oracle sees it."""

from ._evacuation_watch import is_responsive

# Time from the acknowledgement of a drain by the store until no instance that reads
# the store starts a task there.
DRAIN_NOTICE_MS = 2_000.0
SAMPLE_INTERVAL_MS = 100.0


class DrainWatch:
    """Track draining servers, and since when each instance can read the store.

    An instance that can read the store must know, whichever instance reads the list for
    it.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        self._since_ms_by_server = {}
        self._cut_off_ms_by_process = {}

    def record_drain(self, server_id):
        """Record that the store has accepted that a server drains."""
        now_ms = self.world.clock.now_ms
        if not self._since_ms_by_server:
            self._sample()
        self._since_ms_by_server.setdefault(server_id, now_ms)

    def must_know(self, instance, server_id):
        """Return whether an instance must know by now that a server drains."""
        since_ms = self._since_ms_by_server.get(server_id)
        if since_ms is None:
            return False
        cut_off_ms = self._cut_off_ms_by_process.get(instance.key, since_ms)
        known_ms = max(since_ms, cut_off_ms) + DRAIN_NOTICE_MS
        return self.world.clock.now_ms > known_ms

    def _sample(self):
        world = self.world
        for instance in world.instances:
            can_read = world.store.can_read(instance) and is_responsive(world, instance)
            if instance.core is not None and not can_read:
                self._cut_off_ms_by_process[instance.key] = world.clock.now_ms
        world.clock.schedule(SAMPLE_INTERVAL_MS, self._sample)
