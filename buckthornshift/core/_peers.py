"""Peers: the other entry instances, as this instance sees them."""

import attrs

from ..contracts import InstanceRecord
from ._hashing import rank_members

# Time in which a new process is assumed to appear in the instance list.
MAX_LIST_LAG_MS = 10_000.0
MAX_SEEN_INCARNATIONS = 5_000


@attrs.define(kw_only=True)
class Peer:
    """Another entry instance.

    :param record: the platform's record of it.
    :param is_reachable: whether the last exchange with it succeeded.
    :param last_failure_ms: when an exchange with it last failed.
    """

    record: InstanceRecord = InstanceRecord()
    is_reachable: bool = True
    last_failure_ms: float = 0.0


class PeerTable:
    """Table of the other entry instances by name, leaving ones included.

    :param identity: the :class:`EntryIdentity` of this instance.
    """

    def __init__(self, identity=None):
        self.identity = identity
        self.by_id = {}
        self._seen_incarnations = {}

    @property
    def n_instances(self):
        """Number of live entry instances, this one included."""
        return 1 + sum(not p.record.is_leaving for p in self.by_id.values())

    def apply_list(self, records):
        """Update the table from a new instance list.

        :param records: records of kind ``entry``.
        """
        by_id = {}
        for record in records:
            if record.instance_id == self.identity.instance_id:
                continue
            peer = self.by_id.get(record.instance_id)
            if peer is None or peer.record.incarnation != record.incarnation:
                peer = Peer(record=record)
            peer.record = record
            by_id[record.instance_id] = peer
            self._remember_incarnation(record.incarnation)
        self.by_id = by_id

    def is_listed(self, instance_id, incarnation):
        """Return whether the list has this incarnation of an instance."""
        peer = self.by_id.get(instance_id)
        return peer is not None and peer.record.incarnation == incarnation

    def is_gone(self, instance_id, incarnation, known_for_ms):
        """Return whether a process is certainly no longer listed.

        As the list lags, a process missing from it may be too new to be listed. It
        is gone if the list showed it before, or has had enough time to show it.

        :param instance_id: name of the instance.
        :param incarnation: identifier of its process.
        :param known_for_ms: time since this instance first heard of the process.
        """
        if self.is_listed(instance_id, incarnation):
            return False
        was_seen = incarnation in self._seen_incarnations
        return was_seen or known_for_ms > MAX_LIST_LAG_MS

    def _remember_incarnation(self, incarnation):
        self._seen_incarnations[incarnation] = True
        if len(self._seen_incarnations) > MAX_SEEN_INCARNATIONS:
            self._seen_incarnations.pop(next(iter(self._seen_incarnations)))

    def mark_unreachable(self, peer_id, now_ms):
        """Mark a peer unreachable; return whether it was reachable before."""
        peer = self.by_id.get(peer_id)
        if peer is None:
            return False
        was_reachable = peer.is_reachable
        peer.is_reachable = False
        peer.last_failure_ms = now_ms
        return was_reachable

    def mark_reachable(self, peer_id):
        """Mark a peer reachable; return whether it was unreachable before."""
        peer = self.by_id.get(peer_id)
        if peer is None or peer.is_reachable:
            return False
        peer.is_reachable = True
        return True

    def group_ids_by_zone(self):
        """Return names of live entry instances by zone, this one included."""
        ids_by_zone = {self.identity.zone: [self.identity.instance_id]}
        for peer_id, peer in self.by_id.items():
            if not peer.record.is_leaving:
                ids_by_zone.setdefault(peer.record.zone, []).append(peer_id)
        return ids_by_zone

    def rank_zone_instances(self, job_id):
        """Return the entry instances of this zone in rendezvous order for a job.

        Leaving and unreachable instances are left out; this one is always included.

        :param job_id: the job.
        """
        members = [self.identity.instance_id]
        for peer_id, peer in self.by_id.items():
            is_in_zone = peer.record.zone == self.identity.zone
            if is_in_zone and peer.is_reachable and not peer.record.is_leaving:
                members.append(peer_id)
        return rank_members(job_id, members)

    def find_forward_target(self, key):
        """Return the name of a peer to forward to, or ``None``.

        The peer is reachable, not leaving and in the own zone if possible.

        :param key: hashed to spread the load over the peers.
        """
        available = [
            peer_id
            for peer_id, peer in self.by_id.items()
            if peer.is_reachable and not peer.record.is_leaving
        ]
        zone = self.identity.zone
        in_zone = [
            peer_id for peer_id in available if self.by_id[peer_id].record.zone == zone
        ]
        ranked = rank_members(key, in_zone or available)
        return ranked[0] if ranked else None
