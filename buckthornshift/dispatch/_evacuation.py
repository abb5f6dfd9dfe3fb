"""Evacuation of availability zones: which set is in force, and who is told of it."""

import attrs

from ._actions import LogCode, SendToPeer
from ._admission import INFEASIBLE_RETRY_MS
from ._declarations import Evacuations
from ._events import EvacuationsRead
from ._internal_messages import ServersChanged
from ._peer_messages import EndReason, EvacuationUpdate

# Delay before the same set is sent again to an instance that still reports a lower
# version, as the message may have been lost.
EVACUATION_RESEND_MS = 1_000.0


class EvacuationTracker:
    """Keep the newest set of evacuated zones, and send it to instances without it.

    A version is the offset of the operators' topic at which a set was read. Of two
    sets, the one with the higher version is newer. Reading further without a change
    leaves the version as it is, but a set that is older than what was read is ignored.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param jobs: the :class:`OwnerJobs`.
    """

    def __init__(
        self, context=None, fleet=None, membership=None, cells=None, jobs=None
    ):
        self.context = context
        self.fleet = fleet
        self.membership = membership
        self.cells = cells
        self.jobs = jobs
        self.evacuations = Evacuations()
        self._has_read = False
        self._read_version = 0
        membership.get_evacuation_version = lambda: self.evacuations.version
        membership.send_evacuations = self.send_if_behind
        cells.knows_evacuations = self.is_known

    def subscribe(self):
        """Return handlers by message class."""
        return {EvacuationsRead: self.on_read}

    def on_read(self, event):
        """Apply a set that was read from the store."""
        self._has_read = True
        if event.version <= self._read_version:
            return
        self._read_version = event.version
        if set(event.zones) != set(self.evacuations.zones):
            self._replace(event.version, event.zones, "store")

    def on_update(self, update, address):
        """Apply a set that another instance sent.

        :param update: the :class:`EvacuationUpdate`.
        :param address: address of its sender.
        """
        if update.version <= self._read_version:
            return
        self._has_read = True
        self._read_version = update.version
        self._replace(update.version, update.zones, address)

    def send_if_behind(self, peer):
        """Send the set to an instance that reports a lower version.

        The version rises to what was read from the store once another instance reports
        one in between, which may stand for an older set.

        :param peer: the :class:`Peer` whose heartbeat was received.
        """
        peer_version = peer.heartbeat.evacuation_version
        if self.evacuations.version < peer_version <= self._read_version:
            self.evacuations = attrs.evolve(
                self.evacuations, version=self._read_version
            )
        if peer_version < self.evacuations.version:
            self._send(peer)

    def is_known(self):
        """Return whether a set was read, or no instance in contact reports one.

        The configuration comes from the same place as the set: the store, where both
        are read together, or an instance that reports its version of the set.
        """
        return self._has_read or not any(
            peer.heartbeat.evacuation_version for peer in self.membership.list_live()
        )

    def _send(self, peer):
        context = self.context
        version = self.evacuations.version
        is_repeat = peer.evacuations_sent_version == version
        age_ms = context.now_ms - peer.evacuations_sent_ms
        if is_repeat and age_ms < EVACUATION_RESEND_MS:
            return
        peer.evacuations_sent_version = version
        peer.evacuations_sent_ms = context.now_ms
        update = EvacuationUpdate(version=version, zones=self.evacuations.zones)
        context.emit(SendToPeer(address=peer.address, message=update))

    def _replace(self, version, zones, source):
        context = self.context
        former = self.evacuations
        self.evacuations = Evacuations(version=version, zones=tuple(sorted(zones)))
        if self.evacuations.zones == former.zones:
            return
        context.log(
            LogCode.EVACUATION_CHANGED,
            f"version {version}",
            zones=self.evacuations.zones,
            former=former.zones,
            source=source,
        )
        self.fleet.evacuate_zones(zones)
        if set(zones) - set(former.zones):
            self._end_infeasible_jobs()
        context.post(ServersChanged())

    def _end_infeasible_jobs(self):
        """Refuse the jobs that have not begun and that no server can run any longer.

        A job that has begun keeps its runs, and its other tasks wait until its deadline
        for the evacuation to end.
        """
        for job in self.jobs.list_open():
            if job.may_have_run or not self.cells.is_owner_of(job.cell):
                continue
            if not self._can_run(job, job.cell):
                self._refuse_or_pass_on(job)

    def _refuse_or_pass_on(self, job):
        cell = self.cells.find_cell_with_capacity(
            job.cell, can_run=lambda cell: self._can_run(job, cell)
        )
        if cell is None:
            self.jobs.end_early(job, EndReason.INFEASIBLE, INFEASIBLE_RETRY_MS)
        else:
            self.jobs.pass_on(job, cell)

    def _can_run(self, job, cell):
        return all(
            self.fleet.can_ever_run(job.queue.service, step, cell)
            for step in job.spec.steps
        )
