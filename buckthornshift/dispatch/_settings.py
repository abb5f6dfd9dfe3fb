"""Parameters of the decisions; every time has its unit and its origin."""

import attrs


@attrs.frozen(kw_only=True)
class DispatchIdentity:
    """Who an instance is.

    :param address: ``host:port`` at which other instances reach it.
    :param incarnation: random number of this process.
    :param name: name for people.
    :param zone: availability zone.
    :param born_ms: time of day at its start, in milliseconds since the epoch.
    :param power: cores that it may use.
    """

    address: str = ""
    incarnation: int = 0
    name: str = ""
    zone: str = ""
    born_ms: int = 0
    power: float = 1.0

    @property
    def rank(self):
        """Order in which instances are preferred as owner.

        Among equals the youngest comes first: in a series of restarts it is the
        least likely to be next.
        """
        return (self.power, self.born_ms, self.incarnation)


@attrs.frozen(kw_only=True)
class DispatchSettings:
    """Parameters of the decisions; times in milliseconds.

    docs/design/16-owned-servers.md derives them and the inequalities between them.

    :param beat_ms: interval of beats between the owner and every other instance.
        Four fit into ``lost_after_ms``, so that one late beat is no loss.
    :param idle_beat_ms: interval between two instances that are not owner.
    :param lost_after_ms: age of the last confirmed beat at which an instance counts
        as lost. Well above a scheduling pause of 100 ms.
    :param redial_after_ms: age at which a silent connection is replaced.
    :param settle_ms: time after the start in which no instance claims the servers,
        so that an existing owner is heard first.
    :param election_wait_ms: time without an owner before the candidate claims.
    :param lease_ms: lease that a renewal gives to what runs on a server. Under the
        platform's longest lease, and above two renewals and a lost reply.
    :param hold_wait_ms: time that a renewal waits at the server for an end.
    :param clock_drift: largest part by which a server's clock runs slow.
    :param clock_refresh_ms: age at which a server's clock is read again.
    :param call_timeout_ms: time for a start, a stop or a hold's own answer.
    :param retry_ms: pause before a server that did not answer is asked again.
    :param silent_after_ms: time without an answer after which a server counts as
        unreachable.
    :param adopt_ms: time for which runs found at a takeover wait for their job.
    :param ended_kept_ms: time for which ended jobs are remembered, for repeats.
    :param unlisted_grace_ms: time for which a reachable server is still used after
        its entry vanished; entries that lapsed in an outage are back within 2 s.
    :param stalled_after_ms: time without progress after which a task counts as hung.
    :param suspect_ms: time for which a server that failed or stalled a task is used
        last.
    :param answer_margin_ms: time kept for the way back before a caller's deadline.
    :param stop_min_ms: shortest time from the request to stop to the end, in which
        the balancer learns that the instance takes no new connections.
    :param stop_max_ms: longest such time; the platform kills after 6 s.
    :param min_retry_after_ms: shortest time told to a refused caller.
    :param few_instances: up to this number every instance beats to every other one
        alike: 128 beats a second then. Well above the users' 42.
    :param n_hubs: instances in close contact with each other among more; as many
        owners can be lost at once with a successor each at hand.
    :param cell_servers: most servers of one owner. An owner of 175 servers with 1,500
        starts a second uses 40% of a core.
    :param grow_after_ms: time for which the list has to be too long for that before the
        servers are divided: entries of servers that were all replaced at once stay for
        three of their heartbeats.
    """

    beat_ms: float = 100.0
    idle_beat_ms: float = 500.0
    lost_after_ms: float = 450.0
    redial_after_ms: float = 300.0
    settle_ms: float = 400.0
    election_wait_ms: float = 100.0
    lease_ms: float = 700.0
    hold_wait_ms: float = 250.0
    clock_drift: float = 0.02
    clock_refresh_ms: float = 5_000.0
    call_timeout_ms: float = 250.0
    retry_ms: float = 100.0
    silent_after_ms: float = 500.0
    adopt_ms: float = 200.0
    ended_kept_ms: float = 3_000.0
    unlisted_grace_ms: float = 2_500.0
    stalled_after_ms: float = 600.0
    suspect_ms: float = 4_000.0
    answer_margin_ms: float = 30.0
    stop_min_ms: float = 3_000.0
    stop_max_ms: float = 5_500.0
    min_retry_after_ms: float = 200.0
    few_instances: int = 64
    n_hubs: int = 8
    cell_servers: int = 256
    grow_after_ms: float = 10_000.0

    @property
    def max_lease_duration_ms(self):
        """Longest time from sending a renewal until its lease has lapsed."""
        stale_ms = self.lease_ms + self.clock_refresh_ms
        return self.lease_ms + self.clock_drift * stale_ms

    @property
    def resubmit_after_ms(self):
        """Time after which nothing of an owner that was last heard then can run.

        It stops a lost caller's work after ``lost_after_ms``; where it cannot reach
        the server, the lease lapses.
        """
        return self.lost_after_ms + self.max_lease_duration_ms + self.call_timeout_ms
