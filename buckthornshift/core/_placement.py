"""Choice of backend servers for tasks."""

from ._settings import LeastLoaded, RandomServer, RoundRobin

OWN_FIRST = 0
SAME_ZONE = 1
OTHER_ZONE = 2


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

    def list_candidates(self, now_ms):
        """Return servers that may get work now, best first.

        :param now_ms: the current time.
        """
        servers = list(self.servers.iter_open(now_ms))
        match self.settings.policy:
            case LeastLoaded():
                return self._rank_by_load(servers, now_ms)
            case RandomServer():
                self.random_state.shuffle(servers)
                return servers
            case RoundRobin():
                return self._rotate(servers)

    def count_room(self, server, now_ms):
        """Return how many tasks a server may get now.

        :param server: the server.
        :param now_ms: the current time.
        """
        if server.health == "ejected":
            return 1
        own_free = server.record.slots - len(server.attempt_ids)
        match self.settings.policy:
            case LeastLoaded():
                memory_ms = self.settings.load_memory_ms
                return min(own_free, server.estimate_free_slots(now_ms, memory_ms))
            case RandomServer() | RoundRobin():
                return min(own_free, 1)

    def _rank_by_load(self, servers, now_ms):
        memory_ms = self.settings.load_memory_ms
        free_by_id = {s.id: s.estimate_free_slots(now_ms, memory_ms) for s in servers}
        servers = [server for server in servers if free_by_id[server.id] > 0]
        servers.sort(
            key=lambda s: (
                self._rank_distance(s),
                s.n_failures > 1,
                -free_by_id[s.id],
                -s.rank_weight,
            )
        )
        return servers

    def _rank_distance(self, server):
        if server.is_own:
            return OWN_FIRST
        if server.record.zone == self.identity.zone:
            return SAME_ZONE
        return OTHER_ZONE

    def _rotate(self, servers):
        if not servers:
            return servers
        self._turn = (self._turn + 1) % len(servers)
        return servers[self._turn :] + servers[: self._turn]
