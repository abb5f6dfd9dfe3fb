"""Which simulated instances must know of an evacuation, as the oracle sees it."""

# Time from the store's acknowledgement of an evacuation until no instance that can know
# of it starts a task in the zone; operators allow 5 s.
EVACUATION_NOTICE_MS = 1_500.0
SAMPLE_INTERVAL_MS = 100.0
# An instance whose unread events take longer than this counts as out of contact.
MAX_LAG_MS = 100.0


class EvacuationWatch:
    """Track evacuations in the store, and which instances can know of them.

    An instance can know if it reads the store, or is connected to an instance that
    does. Only continuous knowledge counts.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        self._since_ms_by_zone = {}
        self._uninformed_ms_by_process = {}
        self._is_sampling = False

    def record_change(self, zones):
        """Record which zones are evacuated from now on.

        :param zones: the zones.
        """
        now_ms = self.world.clock.now_ms
        former = self._since_ms_by_zone
        self._since_ms_by_zone = {zone: former.get(zone, now_ms) for zone in zones}
        if not self._is_sampling:
            self._is_sampling = True
            self._sample()

    def must_know(self, instance, zone):
        """Return whether an instance must know by now that a zone is evacuated."""
        since_ms = self._since_ms_by_zone.get(zone)
        if since_ms is None:
            return False
        uninformed_ms = self._uninformed_ms_by_process.get(instance.key, since_ms)
        known_ms = max(since_ms, uninformed_ms) + EVACUATION_NOTICE_MS
        return self.world.clock.now_ms > known_ms

    def _sample(self):
        world = self.world
        for instance in world.instances:
            if instance.core is not None and not self._can_know(instance):
                self._uninformed_ms_by_process[instance.key] = world.clock.now_ms
        world.clock.schedule(SAMPLE_INTERVAL_MS, self._sample)

    def _can_know(self, instance):
        if not is_responsive(self.world, instance):
            return False
        return self.world.store.can_read(instance) or any(
            other is not instance
            and is_responsive(self.world, other)
            and self.world.store.can_read(other)
            and self.world.network.are_connected(instance, other)
            for other in self.world.instances
        )


def is_responsive(world, instance):
    """Return whether the process of an instance runs and reads what has arrived."""
    lag_ms = len(instance.inbox) * world.plan.event_ms
    is_running = instance.core is not None and not instance.is_frozen
    return is_running and lag_ms <= MAX_LAG_MS
