"""Which simulated instances must know of completed tasks, as the oracle sees it."""

import itertools

from ...dispatch import EndKind
from ._notice_watch import is_responsive

SAMPLE_INTERVAL_MS = 200.0
# Time for an instance that loses its receiving instance to drop the job and to share
# what is done of it, and for a sample.
NOTICE_MS = 1_500.0
# Shorter than completions are kept.
MAX_AGE_MS = 50_000.0


class CompletionWatch:
    """Track which instance has acknowledged the completion of each task.

    Another one must know of it while both are running and in contact, which only counts
    as long as it is continuous.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        # Process and time of each acknowledgement.
        self._holders_by_task = {}
        self._broken_ms_by_pair = {}
        self._is_on = False

    def start(self):
        """Begin to sample which instances are in contact; nothing is tracked before."""
        self._is_on = True
        self._sample()

    def record_renewal(self, instance, key, server, command):
        """Record the completions that a lease renewal acknowledges.

        :param instance: the sender.
        :param key: key of the process that sent it.
        :param server: the server that is about to execute it.
        :param command: the :class:`~buckthornshift.dispatch.RenewLease`.
        """
        model = server.model
        if not self._is_on or instance.key != key or command.token < model.token:
            return
        for end in model.ended:
            if end.number <= command.last_acked and end.kind is EndKind.DONE:
                holders = self._holders_by_task.setdefault(end.task, {})
                holders.setdefault(key, self.world.clock.now_ms)

    def find_holder(self, instance, task):
        """Return the name of one that knows that a task is done, if it must be known.

        :param instance: the instance that is to know it.
        :param task: name of the task.
        """
        now_ms = self.world.clock.now_ms
        for key, acked_ms in self._holders_by_task.get(task, {}).items():
            other = self.world.find_instance(key[0])
            if other.key != key or now_ms - acked_ms > MAX_AGE_MS:
                continue
            if not self._are_in_contact(instance, other):
                continue
            pair = _make_pair(instance, other)
            broken_ms = self._broken_ms_by_pair.get(pair, 0.0)
            if now_ms > max(acked_ms, broken_ms) + NOTICE_MS:
                return other.name
        return None

    def _are_in_contact(self, instance, other):
        world = self.world
        if not is_responsive(world, instance) or not is_responsive(world, other):
            return False
        return instance is other or world.network.are_connected(instance, other)

    def _sample(self):
        world = self.world
        pairs = itertools.combinations_with_replacement(world.instances, 2)
        for instance, other in pairs:
            if not self._are_in_contact(instance, other):
                pair = _make_pair(instance, other)
                self._broken_ms_by_pair[pair] = world.clock.now_ms
        world.clock.schedule(SAMPLE_INTERVAL_MS, self._sample)


def _make_pair(instance, other):
    return frozenset((instance.name, other.name))
