"""Other entry instances as one instance sees them."""

import attrs

from ..contracts import InstanceRecord
from ._hashing import rank_members

MAX_LIST_LAG_MS = 10_000.0
MAX_SEEN_INCARNATIONS = 5_000


@attrs.define(kw_only=True)
class Peer:
    """Another entry instance.

    :param record: the platform's record of it.
    :param is_reachable: whether the last exchange with it went well.
    :param failed_ms: when it last failed to answer.
    """

    record: InstanceRecord = InstanceRecord()
    is_reachable: bool = True
    failed_ms: float = 0.0


class PeerTable:
    """Live and leaving entry instances by name, without this one.

    :param identity: the :class:`EntryIdentity` of this instance.
    """

    def __init__(self, identity=None):
        self.identity = identity
        self.by_id = {}
        self._seen_incarnations = {}

    @property
    def n_instances(self):
        """Live entry instances, this one included."""
        return 1 + sum(not p.record.is_leaving for p in self.by_id.values())

    def apply_list(self, records):
        """Take over the entry instances of a new list.

        :param records: records of kind ``entry``.
        """
        by_id = {}
        for record in records:
            if record.instance_id == self.identity.instance_id:
                continue
            known = self.by_id.get(record.instance_id)
            if known is None or known.record.incarnation != record.incarnation:
                known = Peer(record=record)
            known.record = record
            by_id[record.instance_id] = known
            self._remember(record.incarnation)
        self.by_id = by_id

    def is_listed(self, instance_id, incarnation):
        """Return whether the list has a given incarnation of an instance."""
        peer = self.by_id.get(instance_id)
        return peer is not None and peer.record.incarnation == incarnation

    def is_gone(self, instance_id, incarnation, known_for_ms):
        """Return whether a process certainly left the list.

        The list lags: a process that it does not show yet is not gone. It counts as
        gone if the list showed it before, or has had ample time to show it.

        :param instance_id: name of the instance.
        :param incarnation: its process.
        :param known_for_ms: time since this instance first heard of the process.
        """
        if self.is_listed(instance_id, incarnation):
            return False
        was_seen = incarnation in self._seen_incarnations
        return was_seen or known_for_ms > MAX_LIST_LAG_MS

    def _remember(self, incarnation):
        self._seen_incarnations[incarnation] = True
        if len(self._seen_incarnations) > MAX_SEEN_INCARNATIONS:
            self._seen_incarnations.pop(next(iter(self._seen_incarnations)))

    def note_failure(self, peer_id, now_ms):
        """Record a failed exchange; return whether the peer was reachable before."""
        peer = self.by_id.get(peer_id)
        if peer is None:
            return False
        was_reachable = peer.is_reachable
        peer.is_reachable = False
        peer.failed_ms = now_ms
        return was_reachable

    def note_contact(self, peer_id):
        """Record that a peer was heard; return whether it was unreachable before."""
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
        """Return instances of this zone for a job, best first.

        Leaving and unreachable instances are left out.

        :param job_id: the job.
        """
        members = [self.identity.instance_id]
        for peer_id, peer in self.by_id.items():
            is_here = peer.record.zone == self.identity.zone
            if is_here and peer.is_reachable and not peer.record.is_leaving:
                members.append(peer_id)
        return rank_members(job_id, members)

    def find_forward_target(self, key):
        """Return a reachable peer that is not leaving, own zone first, or ``None``.

        :param key: what is forwarded; spreads the load.
        """
        live = [
            peer_id
            for peer_id, peer in self.by_id.items()
            if peer.is_reachable and not peer.record.is_leaving
        ]
        zone = self.identity.zone
        near = [peer_id for peer_id in live if self.by_id[peer_id].record.zone == zone]
        ranked = rank_members(key, near or live)
        return ranked[0] if ranked else None
