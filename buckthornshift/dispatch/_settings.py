"""Identity and settings of an instance."""

import attrs

# Longest time that a server takes to stop a run.
MAX_STOP_DURATION_MS = 50.0
OVERLOAD_ORDERS = ("objective", "cost")


@attrs.frozen(kw_only=True)
class DispatchIdentity:
    """Identity of an instance.

    :param address: ``host:port`` at which other instances reach it.
    :param incarnation: random number that is different for every process.
    :param name: human-readable name.
    :param zone: availability zone.
    :param born_ms: wall-clock time of its start, in milliseconds since the epoch.
    :param power: number of CPU cores that it may use.
    :param link_mbps: bandwidth of its network link, in Mbit/s; 0 if unknown.
    """

    address: str = ""
    incarnation: int = 0
    name: str = ""
    zone: str = ""
    born_ms: int = 0
    power: float = 1.0
    link_mbps: float = 0.0

    @property
    def rank(self):
        """Sort key by which the highest-ranked instance is preferred as owner.

        More cores rank higher, then a later start: in a rolling restart, the instance
        that started last is the least likely to be restarted next.
        """
        return (self.power, self.born_ms, self.incarnation)


@attrs.frozen(kw_only=True)
class DispatchSettings:
    """Settings of the dispatch core; times are in milliseconds.

    docs/design/16-owned-servers.md derives the values and the inequalities that they
    must satisfy.

    :param beat_ms: interval of heartbeats between the owner and every other instance.
        Four fit into ``lost_after_ms``, so that one late heartbeat is no loss.
    :param idle_beat_ms: interval of heartbeats between two instances that own nothing.
    :param lost_after_ms: age of the last confirmed heartbeat at which an instance
        counts as lost. Well above a scheduling pause of 100 ms.
    :param redial_after_ms: time without a confirmation of a newer heartbeat after which
        a connection is replaced; idle pairs wait longer.
    :param settle_ms: time after the start in which an instance claims no servers, so
        that it hears of an existing owner first.
    :param election_wait_ms: time without an owner before the candidate claims the
        servers.
    :param lease_ms: length of the lease that a renewal gives to the runs on a server.
        Shorter than the platform's longest lease, and longer than two renewals and one
        lost response take.
    :param hold_wait_ms: longest time that a server delays its response to a renewal
        until a run ends.
    :param clock_drift: largest fraction by which a server's clock may run slow.
    :param clock_refresh_ms: age at which the reading of a server's clock is renewed.
    :param call_timeout_ms: timeout of a start or stop command; that of a renewal is
        longer by the time that it may wait at the server.
    :param retry_ms: delay before a request that got no response is repeated.
    :param silent_after_ms: time without a response after which a server counts as
        unreachable.
    :param regain_ms: time after which a server is claimed that could be reached again,
        or that refused the token, while instances are out of contact. Those that can be
        reached are heard by then: twice ``redial_after_ms``, and a heartbeat.
    :param adopt_ms: time for which runs found at a takeover wait for their job to be
        resubmitted.
    :param ended_kept_ms: time for which the outcomes of jobs are kept to answer
        repeated submissions.
    :param unlisted_grace_ms: time for which a reachable server is still used after its
        entry vanished; entries that expired in an outage are back within 2 s.
    :param stalled_after_ms: time without progress after which a run counts as stalled.
    :param suspect_ms: time for which a server on which runs failed or stalled is used
        last.
    :param answer_margin_ms: how long before a caller's deadline a job is ended, so that
        the answer arrives in time.
    :param stop_min_ms: shortest time from the stop request to the exit, in which the
        load balancer learns that the instance accepts no new connections.
    :param stop_max_ms: longest time from the stop request to the exit; the platform
        kills the process after 6 s.
    :param min_retry_after_ms: shortest retry-after time sent to a refused caller.
    :param max_lateness: multiple of its latency objective up to which the answer to a
        job is of use to its caller; 1 to refuse every job that would be late.
    :param overload_order: which jobs start first when there is not enough capacity:
        "objective" for those that can meet their objective, by priority, or "cost" for
        those whose loss costs callers most for the work that they need.
    :param few_instances: up to this number, every instance sends heartbeats to every
        other one at the same interval: 128 heartbeats per second. Well above the users'
        42 instances.
    :param n_hubs: with more instances, how many of them stay in close contact with each
        other. As many owners can be lost at once with a successor ready for each.
    :param cell_servers: largest number of servers of one owner.
    :param cell_servers_per_core: largest number of servers of one owner per core that
        it may use. An owner needs a core for about 350 servers with nine starts per
        second each; the rest is for bursts.
    :param cell_servers_per_mbps: largest number of servers of one owner per Mbit/s of
        its link.
    :param grow_after_ms: time for which more servers than that must be listed before
        they are divided into more cells. When all servers are replaced at once, their
        old entries stay listed for three of their heartbeats.
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
    regain_ms: float = 700.0
    adopt_ms: float = 200.0
    ended_kept_ms: float = 3_000.0
    unlisted_grace_ms: float = 2_500.0
    stalled_after_ms: float = 600.0
    suspect_ms: float = 4_000.0
    answer_margin_ms: float = 30.0
    stop_min_ms: float = 3_000.0
    stop_max_ms: float = 5_500.0
    min_retry_after_ms: float = 200.0
    max_lateness: float = 1.0
    overload_order: str = attrs.field(
        default="objective", validator=attrs.validators.in_(OVERLOAD_ORDERS)
    )
    few_instances: int = 64
    n_hubs: int = 8
    cell_servers: int = 256
    cell_servers_per_core: float = 140.0
    cell_servers_per_mbps: float = 8.0
    grow_after_ms: float = 10_000.0

    @property
    def max_lease_duration_ms(self):
        """Longest time from sending a renewal until its lease has expired."""
        stale_ms = self.lease_ms + self.clock_refresh_ms
        return self.lease_ms + self.clock_drift * stale_ms

    @property
    def rival_takeover_ms(self):
        """Time from a server's last response until a rival has stopped its runs.

        A rival that lost contact with the owner may still reach a server that the owner
        can't. It claims the server, and stops the runs whose jobs it doesn't get. A
        rival of an earlier version renews their leases until then.
        """
        detection_ms = self.hold_wait_ms + self.lost_after_ms + self.beat_ms
        claim_ms = self.election_wait_ms + self.beat_ms
        return detection_ms + claim_ms + self.adopt_ms + MAX_STOP_DURATION_MS

    @property
    def resubmit_after_ms(self):
        """Time from the last message of an owner until none of its runs can be left.

        An owner stops the jobs of an instance that it has lost contact with after
        ``lost_after_ms``. Where it can't reach the server, the lease expires.
        """
        return self.lost_after_ms + self.max_lease_duration_ms + self.call_timeout_ms
