"""Choice of backend servers for tasks."""

import attrs

from ._servers import FreeSlotEstimate, Server, ServerHealth
from ._settings import LeastLoaded, RandomServer, RoundRobin


@attrs.define(kw_only=True)
class Candidate:
    """A server that may get work now.

    :param server: the server.
    :param room: its estimated room, less what was planned for it meanwhile.
    """

    server: Server = None
    room: FreeSlotEstimate = None


class CandidateSearch:
    """Servers for the tasks of one moment: the zone's first, others if need be.

    Other zones are looked at only once the own zone has no room, so that the usual
    cost follows the size of a zone and not of the fleet.

    :param placement: the :class:`Placement`.
    :param now_ms: the current time.
    """

    def __init__(self, placement=None, now_ms=0.0):
        self.placement = placement
        self.now_ms = now_ms
        self._tiers = []

    def find(self, task):
        """Return the first candidate that a task may be sent to, or ``None``.

        :param task: the task.
        """
        for index, tier in enumerate(self._list_server_tiers()):
            if index == len(self._tiers):
                self._tiers.append(self.placement.list_candidates(tier, self.now_ms))
            candidate = self.placement.find_fitting(self._tiers[index], task)
            if candidate is not None:
                return candidate
        return None

    def _list_server_tiers(self):
        servers = self.placement.servers
        if isinstance(self.placement.settings.policy, LeastLoaded):
            return (servers.same_zone, servers.other_zones)
        return (servers.same_zone + servers.other_zones,)


class Placement:
    """Choose a server for a task by the configured policy.

    Servers of the own share come first, then the zone's, then other zones'. The
    own share is the set of servers in the zone for which this instance has the
    highest rendezvous weight, so that dispatchers rarely meet on a slot while
    there is room.

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
        self._turn = 0

    def start_search(self, now_ms):
        """Return a :class:`CandidateSearch` among the servers as they stand now.

        :param now_ms: the current time.
        """
        return CandidateSearch(placement=self, now_ms=now_ms)

    def list_candidates(self, servers, now_ms):
        """Return those servers that may get work now with their room, best first.

        :param servers: servers to look at.
        :param now_ms: the current time.
        :returns: list of :class:`Candidate`.
        """
        candidates = [
            Candidate(server=server, room=self._estimate(server, now_ms))
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
            if self._count_room(candidate, task) < 1:
                continue
            if _may_run_on(candidate.server, task, len(candidates)):
                return candidate
        return None

    def _count_room(self, candidate, task):
        is_estimated = isinstance(self.settings.policy, LeastLoaded)
        if not task.is_large or not is_estimated:
            return candidate.room.count()
        # A server with a single slot has none to spare for small jobs.
        n_reserved = min(
            self.settings.n_reserved_slots, candidate.server.record.slots - 1
        )
        return candidate.room.count(
            n_reserved=n_reserved,
            caution=self.settings.load_caution,
        )

    def _estimate(self, server, now_ms):
        own_free = server.record.slots - len(server.attempt_ids)
        if server.health is ServerHealth.EJECTED:
            return FreeSlotEstimate(free=min(1, own_free))
        match self.settings.policy:
            case LeastLoaded():
                return server.estimate_free_slots(now_ms, self.servers.fleet_load)
            case RandomServer() | RoundRobin():
                return FreeSlotEstimate(free=min(1, own_free))

    def _rank_by_load(self, candidates):
        candidates.sort(
            key=lambda c: (
                not c.server.is_preferred,
                c.server.n_failures > 1,
                -c.room.count(),
                -c.server.rendezvous_weight,
            )
        )
        return candidates

    def _rotate(self, candidates):
        if not candidates:
            return candidates
        self._turn = (self._turn + 1) % len(candidates)
        return candidates[self._turn :] + candidates[: self._turn]


def _may_run_on(server, task, n_candidates):
    is_risky = server.health is ServerHealth.EJECTED or server.n_failures > 1
    if is_risky and not task.job.entry.is_repeatable and n_candidates > 1:
        return False
    return server.can_fit(task)
