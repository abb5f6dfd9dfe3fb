"""Which simulated instances must know of a change by now, as the oracle sees it."""

import abc

SAMPLE_INTERVAL_MS = 100.0
# An instance whose unread events take longer than this counts as out of contact.
MAX_LAG_MS = 100.0


def is_responsive(world, instance):
    """Return whether an instance handles what arrives at it in time.

    :param world: the :class:`FleetWorld`.
    :param instance: the instance.
    """
    lag_ms = len(instance.inbox) * world.plan.event_ms
    is_running = instance.core is not None and not instance.is_frozen
    return is_running and lag_ms <= MAX_LAG_MS


class NoticeWatch(abc.ABC):
    """Track changes in the store, and since when each instance can know of them.

    Only continuous knowledge counts.

    :param world: the :class:`FleetWorld`.
    """

    # Time from the acknowledgement of a change until those that can know of it must.
    notice_ms = 0.0

    def __init__(self, world=None):
        self.world = world
        self._since_ms_by_name = {}
        self._uninformed_ms_by_process = {}
        self._is_sampling = False

    def record(self, names):
        """Record what is in force from now on.

        :param names: all of what is in force, such as the evacuated zones.
        """
        now_ms = self.world.clock.now_ms
        former = self._since_ms_by_name
        self._since_ms_by_name = {name: former.get(name, now_ms) for name in names}
        if not self._is_sampling:
            self._is_sampling = True
            self._sample()

    def must_know(self, instance, name):
        """Return whether an instance must know by now that a change is in force.

        :param instance: the instance.
        :param name: what changed, as it was recorded.
        """
        since_ms = self._since_ms_by_name.get(name)
        if since_ms is None:
            return False
        uninformed_ms = self._uninformed_ms_by_process.get(instance.key, since_ms)
        known_ms = max(since_ms, uninformed_ms) + self.notice_ms
        return self.world.clock.now_ms > known_ms

    @abc.abstractmethod
    def _can_know(self, instance):
        """Return whether an instance can learn of changes now."""

    def _is_responsive(self, instance):
        return is_responsive(self.world, instance)

    def _can_read(self, instance):
        """Return whether an instance handles what arrives, and can read the store."""
        return self._is_responsive(instance) and self.world.store.can_read(instance)

    def _sample(self):
        world = self.world
        for instance in world.instances:
            if instance.core is not None and not self._can_know(instance):
                self._uninformed_ms_by_process[instance.key] = world.clock.now_ms
        world.clock.schedule(SAMPLE_INTERVAL_MS, self._sample)


class EvacuationWatch(NoticeWatch):
    """Track evacuated zones.

    An instance can know of them if it reads the store, or is connected to an instance
    that does.
    """

    # Operators allow 5 s.
    notice_ms = 1_500.0

    def _can_know(self, instance):
        if not self._is_responsive(instance):
            return False
        return self.world.store.can_read(instance) or any(
            other is not instance
            and self._can_read(other)
            and self.world.network.are_connected(instance, other)
            for other in self.world.instances
        )


class DrainWatch(NoticeWatch):
    """Track draining servers.

    An instance that can read the store must know of them, whichever instance reads the
    list for it.
    """

    notice_ms = 2_000.0

    def __init__(self, world=None):
        super().__init__(world=world)
        self._server_ids = set()

    def record_drain(self, server_id):
        """Record that the store has accepted that a server drains."""
        self._server_ids.add(server_id)
        self.record(self._server_ids)

    def forget_drain(self, server_id):
        """Record that a server has returned, and no longer drains."""
        self._server_ids.discard(server_id)
        self.record(self._server_ids)

    def _can_know(self, instance):
        return self._can_read(instance)
