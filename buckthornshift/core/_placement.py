"""Placement: the choice of a backend server for each task."""

import attrs

from ._servers import FreeSlotEstimate, Server, ServerHealth
from ._settings import LeastLoaded, RandomServer, RoundRobin


@attrs.define(kw_only=True)
class Candidate:
    """A server that may get work at once.

    :param server: the server.
    :param free_slots: estimate of its free slots, less the tasks assigned to it
        since then.
    """

    server: Server = None
    free_slots: FreeSlotEstimate = None


class CandidateSearch:
    """Search for servers for several tasks at one time, in the own zone first.

    Servers of other zones are considered only for a task that fits nowhere in the
    own zone. The usual cost of a search thus depends on the size of one zone and
    not on the number of all servers.

    :param placement: the :class:`Placement`.
    :param now_ms: the current time.
    """

    def __init__(self, placement=None, now_ms=0.0):
        self.placement = placement
        self.now_ms = now_ms
        self._candidates_by_group = []

    def find(self, task):
        """Return the first candidate that a task may be sent to, or ``None``.

        :param task: the task.
        """
        for index, group in enumerate(self._list_server_groups()):
            if index == len(self._candidates_by_group):
                self._candidates_by_group.append(
                    self.placement.list_candidates(group, self.now_ms)
                )
            candidate = self.placement.find_fitting(
                self._candidates_by_group[index], task
            )
            if candidate is not None:
                return candidate
        return None

    def _list_server_groups(self):
        servers = self.placement.servers
        if isinstance(self.placement.settings.policy, LeastLoaded):
            return (servers.same_zone, servers.other_zones)
        return (servers.same_zone + servers.other_zones,)


class Placement:
    """Choose a server for a task by the configured policy.

    Preferred servers come first, then the others of the zone, then those of other
    zones. An instance prefers the servers of its zone for which it has the highest
    rendezvous weight among the zone's entry instances, so that two instances rarely
    send tasks to the same slot while others are free.

    :param settings: the :class:`CoreSettings`.
    :param identity: the :class:`EntryIdentity`.
    :param servers: the :class:`ServerTable`.
    :param random_state: used by the random policy.
    """

    def __init__(self, settings=None, identity=None, servers=None, random_state=None):
        self.settings = settings
        self.identity = identity
        self.servers = servers
        self.random_state = random_state
        self._next_index = 0

    def start_search(self, now_ms):
        """Return a :class:`CandidateSearch` over the current state of the servers.

        :param now_ms: the current time.
        """
        return CandidateSearch(placement=self, now_ms=now_ms)

    def list_candidates(self, servers, now_ms):
        """Return the servers that may get work at once, best first.

        :param servers: servers to look at.
        :param now_ms: the current time.
        :returns: list of :class:`Candidate`.
        """
        candidates = [
            Candidate(
                server=server, free_slots=self._estimate_free_slots(server, now_ms)
            )
            for server in self.servers.iter_available(servers, now_ms)
        ]
        match self.settings.policy:
            case LeastLoaded():
                return self._rank_by_load(candidates)
            case RandomServer():
                self.random_state.shuffle(candidates)
                return candidates
            case RoundRobin():
                return self._rotate(candidates)

    def find_fitting(self, candidates, task):
        """Return the first candidate that a task may be sent to, or ``None``.

        :param candidates: what :meth:`list_candidates` returned.
        :param task: the task.
        """
        for candidate in candidates:
            if self._count_startable(candidate, task) < 1:
                continue
            if _is_suitable(candidate.server, task, len(candidates)):
                return candidate
        return None

    def _count_startable(self, candidate, task):
        has_load_estimate = isinstance(self.settings.policy, LeastLoaded)
        if not task.is_large or not has_load_estimate:
            return candidate.free_slots.count_startable()
        # With one slot reserved for small jobs, a server with a single slot would get
        # no task of a large job at all.
        n_reserved = min(
            self.settings.n_reserved_slots, candidate.server.record.slots - 1
        )
        return candidate.free_slots.count_startable(
            n_reserved=n_reserved,
            n_std_devs=self.settings.load_caution,
        )

    def _estimate_free_slots(self, server, now_ms):
        own_free = server.record.slots - len(server.attempt_ids)
        if server.health is ServerHealth.EJECTED:
            return FreeSlotEstimate(expected=min(1, own_free))
        match self.settings.policy:
            case LeastLoaded():
                return server.estimate_free_slots(now_ms, self.servers.fleet_load)
            case RandomServer() | RoundRobin():
                return FreeSlotEstimate(expected=min(1, own_free))

    def _rank_by_load(self, candidates):
        candidates.sort(
            key=lambda c: (
                not c.server.is_preferred,
                c.server.n_failures > 1,
                -c.free_slots.count_startable(),
                -c.server.rendezvous_weight,
            )
        )
        return candidates

    def _rotate(self, candidates):
        if not candidates:
            return candidates
        self._next_index = (self._next_index + 1) % len(candidates)
        return candidates[self._next_index :] + candidates[: self._next_index]


def _is_suitable(server, task, n_candidates):
    is_unreliable = server.health is ServerHealth.EJECTED or server.n_failures > 1
    if is_unreliable and not task.job.entry.is_repeatable and n_candidates > 1:
        return False
    return server.can_fit(task)
