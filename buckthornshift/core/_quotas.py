"""Quotas over all entry instances, split by demand without a message per job."""

import attrs

from ._hashing import rank_members

BURST_WINDOW_S = 1.0


@attrs.define(kw_only=True)
class _PeerDemand:
    incarnation: str = ""
    sequence: int = -1
    n_tasks_by_key: dict = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class _TokenBucket:
    tokens: float = 0.0
    filled_ms: float = 0.0


@attrs.define(kw_only=True)
class _Grant:
    share: int = 0
    pending_share: int = 0
    pending_since_ms: float = 0.0


def split_limit(key, limit, demand_by_member):
    """Split a limit among instances.

    Every instance computes the same split from the same demands. If the limit
    covers the total demand, each instance gets its demand and an equal part of what
    is left, so that an instance that has announced no demand can start tasks at
    once. Otherwise the split is max-min fair. Units left over by rounding go to
    instances in rendezvous order.

    :param key: catalogue item that has the limit.
    :param limit: units to split.
    :param demand_by_member: demand by instance name.
    :returns: units by instance name; they add up to the limit.
    """
    members = rank_members(key, demand_by_member)
    units = dict.fromkeys(members, 0)
    total = sum(demand_by_member.values())
    if total <= limit:
        units.update(demand_by_member)
        _add_evenly(units, members, limit - total)
        return units
    left = limit
    unsatisfied = sorted(members, key=lambda member: demand_by_member[member])
    while demand_by_member[unsatisfied[0]] <= left // len(unsatisfied):
        member = unsatisfied.pop(0)
        units[member] = demand_by_member[member]
        left -= units[member]
    _add_evenly(units, [m for m in members if m in unsatisfied], left)
    return units


def _add_evenly(units, members, n_units):
    quotient, remainder = divmod(n_units, len(members))
    for index, member in enumerate(members):
        units[member] += quotient + (index < remainder)


class QuotaAllocator:
    """Allocate this instance's shares of the quotas of owners and entries.

    Each instance announces its demand (running and queued tasks) for limited items
    to its peers, and all compute the same split. A lower share takes effect at
    once, a higher one after a settling time in which the others lower theirs. A
    peer that cannot be reached keeps the demand it last sent, so that a partition
    cannot push the sum of the shares over the limit it had before.

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
        self._sent_by_key = {}

    def set_members(self, peer_ids):
        """Set the live peers; the demand of all others is forgotten.

        :param peer_ids: names of the other live entry instances.
        """
        known_by_id = self._peers_by_id
        self._peers_by_id = {p: known_by_id.get(p, _PeerDemand()) for p in peer_ids}

    def apply_demand(self, peer_id, message):
        """Store a peer's demand unless a newer one is known.

        :param peer_id: the sender.
        :param message: its :class:`~buckthornshift.contracts.OwnerDemand`.
        """
        peer = self._peers_by_id.get(peer_id)
        if peer is None:
            return
        # A restarted peer numbers its messages from the beginning again.
        is_restarted = message.incarnation != peer.incarnation
        if is_restarted or message.sequence > peer.sequence:
            peer.incarnation = message.incarnation
            peer.sequence = message.sequence
            peer.n_tasks_by_key = message.n_tasks_by_key

    def change_queued(self, keys, n_tasks):
        """Change the number of queued tasks of limited items by ``n_tasks``."""
        _add_counts(self.queued_by_key, keys, n_tasks)

    def change_running(self, keys, n_tasks):
        """Change the number of running tasks of limited items by ``n_tasks``."""
        _add_counts(self.running_by_key, keys, n_tasks)

    def compute_share(self, key, limit, now_ms):
        """Return this instance's share of a limit, in tasks running at once.

        :param key: limited item.
        :param limit: the limit over all instances.
        :param now_ms: the current time.
        """
        target = self._compute_target(key, limit)
        grant = self._grants_by_key.get(key)
        if grant is None:
            is_only_instance = not self._peers_by_id
            initial = (
                target if is_only_instance else self._compute_idle_share(key, limit)
            )
            grant = _Grant(share=min(initial, target), pending_since_ms=now_ms)
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
        """Return whether this instance may run one more task of a limited item.

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
        """Take one start from this instance's share of a rate limit.

        :param key: limited item.
        :param rate_per_s: the limit over all instances, in starts a second; 0 for
            none.
        :param now_ms: the current time.
        :returns: whether a start was left.
        """
        if rate_per_s <= 0:
            return True
        share_per_s = rate_per_s * self._compute_fraction(key)
        burst = max(1.0, share_per_s * BURST_WINDOW_S)
        bucket = self._buckets_by_key.get(key)
        if bucket is None:
            bucket = _TokenBucket(tokens=burst, filled_ms=now_ms)
            self._buckets_by_key[key] = bucket
        elapsed_s = (now_ms - bucket.filled_ms) / 1000.0
        bucket.tokens = min(burst, bucket.tokens + elapsed_s * share_per_s)
        bucket.filled_ms = now_ms
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def estimate_wait_ms(self, key, limit, rate_per_s, run_ms, now_ms):
        """Return how long the limits of an item would delay a new task.

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
        """Return the demand to send to the peers, if it has changed by much.

        :returns: a mapping of running plus queued tasks by key, or ``None``.
        """
        now_by_key = self._sum_own_tasks()
        if not _has_changed_much(now_by_key, self._sent_by_key):
            return None
        self._sent_by_key = now_by_key
        self._sequence += 1
        return now_by_key

    @property
    def sequence(self):
        """Sequence number of the last demand that was sent."""
        return self._sequence

    def _sum_own_tasks(self):
        keys = set(self.running_by_key) | set(self.queued_by_key)
        return {
            key: self.running_by_key.get(key, 0) + self.queued_by_key.get(key, 0)
            for key in keys
        }

    def _collect_demand(self, key):
        demand = {p: d.n_tasks_by_key.get(key, 0) for p, d in self._peers_by_id.items()}
        demand[self.identity.instance_id] = self._sent_by_key.get(key, 0)
        return demand

    def _compute_target(self, key, limit):
        return split_limit(key, limit, self._collect_demand(key))[
            self.identity.instance_id
        ]

    def _compute_idle_share(self, key, limit):
        idle_demand = dict.fromkeys(self._collect_demand(key), 0)
        return split_limit(key, limit, idle_demand)[self.identity.instance_id]

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


def _has_changed_much(now_by_key, sent_by_key):
    for key in set(now_by_key) | set(sent_by_key):
        now = now_by_key.get(key, 0)
        sent = sent_by_key.get(key, 0)
        if (now == 0) != (sent == 0):
            return True
        if abs(now - sent) > max(1, 0.25 * sent):
            return True
    return False
