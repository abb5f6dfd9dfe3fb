"""Limits held across instances: shares that follow demand, without a message a job."""

import attrs

from ._hashing import rank_members

BURST_WINDOW_S = 1.0


@attrs.define(kw_only=True)
class _PeerDemand:
    incarnation: str = ""
    sequence: int = -1
    n_tasks_by_key: dict = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class _Bucket:
    tokens: float = 0.0
    read_ms: float = 0.0


@attrs.define(kw_only=True)
class _Grant:
    share: int = 0
    pending_share: int = 0
    pending_since_ms: float = 0.0


def split_limit(key, limit, demand_by_member):
    """Split a limit among instances.

    Every instance computes the same split from the same demands. While the demands
    fit, each gets its own and an equal part of what is left, so that an instance
    that has told nothing can start at once. When they don't, the split is max-min
    fair. Units left over by rounding go by rendezvous order.

    :param key: limited item.
    :param limit: units to split.
    :param demand_by_member: demand by instance name.
    :returns: units by instance name; they add up to the limit.
    """
    members = rank_members(key, demand_by_member)
    units = dict.fromkeys(members, 0)
    total = sum(demand_by_member.values())
    if total <= limit:
        units.update(demand_by_member)
        _share_out(units, members, limit - total)
        return units
    left = limit
    unsatisfied = sorted(members, key=lambda member: demand_by_member[member])
    while demand_by_member[unsatisfied[0]] <= left // len(unsatisfied):
        member = unsatisfied.pop(0)
        units[member] = demand_by_member[member]
        left -= units[member]
    _share_out(units, [m for m in members if m in unsatisfied], left)
    return units


def _share_out(units, members, n_units):
    each, rest = divmod(n_units, len(members))
    for index, member in enumerate(members):
        units[member] += each + (index < rest)


class QuotaAllocator:
    """Shares of the limits of owners and entries.

    Each instance tells its peers its demand (running and queued tasks) for limited
    items; all compute the same split. A lower share holds at once, a higher one
    after a settling time in which the others have lowered theirs. A peer that
    cannot be reached keeps the demand it last told, so that a partition cannot
    push the sum of the shares over the limit it had before.

    :param settings: the :class:`CoreSettings`.
    :param identity: the :class:`EntryIdentity`.
    """

    def __init__(self, settings=None, identity=None):
        self.settings = settings
        self.identity = identity
        self.running_by_key = {}
        self.queued_by_key = {}
        self._peers_by_id = {}
        self._grants_by_key = {}
        self._buckets_by_key = {}
        self._sequence = 0
        self._told_by_key = {}

    def set_members(self, peer_ids):
        """Take over the live instances; demand of others is forgotten.

        :param peer_ids: names of the other live entry instances.
        """
        known = self._peers_by_id
        self._peers_by_id = {p: known.get(p, _PeerDemand()) for p in peer_ids}

    def apply_demand(self, peer_id, message):
        """Take over a peer's demand unless it is older than what is known.

        :param peer_id: the sender.
        :param message: its :class:`~buckthornshift.contracts.OwnerDemand`.
        """
        peer = self._peers_by_id.get(peer_id)
        if peer is None:
            return
        # A restarted peer numbers its messages from the beginning.
        is_restarted = message.incarnation != peer.incarnation
        if is_restarted or message.sequence > peer.sequence:
            peer.incarnation = message.incarnation
            peer.sequence = message.sequence
            peer.n_tasks_by_key = message.n_tasks_by_key

    def change_queued(self, keys, n_tasks):
        """Add to the queued tasks of limited items (negative to take away)."""
        _add_counts(self.queued_by_key, keys, n_tasks)

    def change_running(self, keys, n_tasks):
        """Add to the running tasks of limited items (negative to take away)."""
        _add_counts(self.running_by_key, keys, n_tasks)

    def compute_share(self, key, limit, now_ms):
        """Return this instance's share of a limit in units.

        :param key: limited item.
        :param limit: the limit.
        :param now_ms: the current time.
        """
        target = self._compute_target(key, limit)
        grant = self._grants_by_key.get(key)
        if grant is None:
            is_alone = not self._peers_by_id
            start = target if is_alone else self._compute_resting_share(key, limit)
            grant = _Grant(share=min(start, target), pending_since_ms=now_ms)
            grant.pending_share = grant.share
            self._grants_by_key[key] = grant
        if target <= grant.share:
            grant.share = grant.pending_share = target
            return grant.share
        if target != grant.pending_share:
            grant.pending_share = target
            grant.pending_since_ms = now_ms
        elif now_ms - grant.pending_since_ms >= self.settings.demand_settle_ms:
            grant.share = target
        return grant.share

    def is_below_limit(self, key, limit, now_ms, n_planned=0):
        """Return whether one more task of a limited item may run here.

        :param key: limited item.
        :param limit: the limit over all instances; 0 for none.
        :param now_ms: the current time.
        :param n_planned: tasks that are about to start.
        """
        if limit <= 0:
            return True
        n_running = self.running_by_key.get(key, 0) + n_planned
        return n_running < self.compute_share(key, limit, now_ms)

    def take_token(self, key, rate_per_s, now_ms):
        """Take one start from a rate limit's share; return whether there was one.

        :param key: limited item.
        :param rate_per_s: the limit over all instances, in starts a second; 0 for
            none.
        :param now_ms: the current time.
        """
        if rate_per_s <= 0:
            return True
        share_per_s = rate_per_s * self._compute_fraction(key)
        burst = max(1.0, share_per_s * BURST_WINDOW_S)
        bucket = self._buckets_by_key.get(key)
        if bucket is None:
            bucket = _Bucket(tokens=burst, read_ms=now_ms)
            self._buckets_by_key[key] = bucket
        elapsed_s = (now_ms - bucket.read_ms) / 1000.0
        bucket.tokens = min(burst, bucket.tokens + elapsed_s * share_per_s)
        bucket.read_ms = now_ms
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def estimate_wait_ms(self, key, limit, rate_per_s, run_ms, now_ms):
        """Return how long a new task of a limited item would wait for the limit.

        :param key: limited item.
        :param limit: tasks running at once over all instances; 0 for no limit.
        :param rate_per_s: starts a second over all instances; 0 for no limit.
        :param run_ms: expected run time of its tasks.
        :param now_ms: the current time.
        """
        n_queued = self.queued_by_key.get(key, 0)
        wait_ms = 0.0
        if limit > 0 and n_queued:
            share = max(1, self.compute_share(key, limit, now_ms))
            wait_ms = n_queued * run_ms / share
        if rate_per_s > 0:
            share_per_s = rate_per_s * self._compute_fraction(key)
            wait_ms = max(wait_ms, 1000.0 * n_queued / share_per_s)
        return wait_ms

    def make_demand_update(self):
        """Return the demand to tell peers if it changed by much, else ``None``.

        :returns: a mapping of running and queued tasks by key, or ``None``.
        """
        now_by_key = self._sum_own_demand()
        if not _is_much_different(now_by_key, self._told_by_key):
            return None
        self._told_by_key = now_by_key
        self._sequence += 1
        return now_by_key

    @property
    def sequence(self):
        """Number of the last told demand."""
        return self._sequence

    def _sum_own_demand(self):
        keys = set(self.running_by_key) | set(self.queued_by_key)
        return {
            key: self.running_by_key.get(key, 0) + self.queued_by_key.get(key, 0)
            for key in keys
        }

    def _collect_demand(self, key):
        demand = {p: d.n_tasks_by_key.get(key, 0) for p, d in self._peers_by_id.items()}
        demand[self.identity.instance_id] = self._told_by_key.get(key, 0)
        return demand

    def _compute_target(self, key, limit):
        return split_limit(key, limit, self._collect_demand(key))[
            self.identity.instance_id
        ]

    def _compute_resting_share(self, key, limit):
        resting = dict.fromkeys(self._collect_demand(key), 0)
        return split_limit(key, limit, resting)[self.identity.instance_id]

    def _compute_fraction(self, key):
        demand = self._collect_demand(key)
        own = demand[self.identity.instance_id]
        total = sum(demand.values())
        n_members = len(demand)
        return (own + 1.0 / n_members) / (total + 1.0)


def _add_counts(counts_by_key, keys, n_tasks):
    for key in keys:
        count = counts_by_key.get(key, 0) + n_tasks
        if count:
            counts_by_key[key] = count
        else:
            counts_by_key.pop(key, None)


def _is_much_different(now_by_key, told_by_key):
    for key in set(now_by_key) | set(told_by_key):
        now = now_by_key.get(key, 0)
        told = told_by_key.get(key, 0)
        if (now == 0) != (told == 0):
            return True
        if abs(now - told) > max(1, 0.25 * told):
            return True
    return False
