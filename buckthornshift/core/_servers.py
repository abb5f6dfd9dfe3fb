"""Backend servers as one entry instance sees them: list, own evidence, load."""

import enum
import math

import attrs

from ..contracts import AttemptState, InstanceRecord
from ._hashing import compute_weight

ROUNDING_OFFSET = 0.51
ENDED_STATES = frozenset(AttemptState) - {AttemptState.RUNNING}
FLEET_SMOOTHING_FACTOR = 0.05


@attrs.define(kw_only=True)
class FleetLoad:
    """Load of the fleet as seen in the reports of its servers.

    Without reports the load is taken to fade: an instance that sends nothing hears
    nothing, and would wait for ever on servers that it last knew as busy.

    :param busy_fraction: mean part of the slots in use, at the last report.
    :param updated_ms: time of the last report.
    :param memory_ms: time constant with which a server's report loses its worth.
    :param silence_ms: time constant with which the mean fades without reports.
    """

    busy_fraction: float = 0.0
    updated_ms: float = 0.0
    memory_ms: float = 500.0
    silence_ms: float = 1_000.0

    def note(self, n_running, n_slots, now_ms):
        """Take one report into the mean."""
        busy = min(1.0, n_running / max(1, n_slots))
        self.busy_fraction += FLEET_SMOOTHING_FACTOR * (busy - self.busy_fraction)
        self.updated_ms = now_ms

    def estimate_busy_fraction(self, now_ms):
        """Return the part of the slots that is thought to be in use."""
        age_ms = now_ms - self.updated_ms
        return self.busy_fraction * math.exp(-age_ms / self.silence_ms)


@attrs.define(kw_only=True)
class FreeSlotEstimate:
    """Slots that a server is thought to have free.

    :param free: expected free slots.
    :param error: standard deviation of that.
    """

    free: float = 0.0
    error: float = 0.0

    def count(self, n_reserved=0, caution=0.0):
        """Return how many tasks may be sent.

        :param n_reserved: slots to leave free.
        :param caution: standard deviations to stay clear of.
        """
        return math.floor(
            self.free - n_reserved - caution * self.error + ROUNDING_OFFSET
        )


class ServerHealth(enum.StrEnum):
    """Verdict of an instance on a backend server, from its own evidence."""

    OK = "ok"
    SUSPECT = "suspect"
    EJECTED = "ejected"


@attrs.define(kw_only=True)
class Server:
    """One backend server process.

    :param record: the platform's record of it.
    :param is_listed: whether the platform lists it now.
    :param is_leaving: whether list or server said that it leaves.
    :param health: own verdict.
    :param attempt_ids: own attempts on it without a final result.
    :param n_others_running: tasks of other instances at the last report.
    :param others_reported_ms: when that was reported.
    :param busy_until_ms: no starts before this time after a busy refusal.
    :param n_busy: refusals as busy in a row.
    :param n_failures: failed attempts in a row.
    :param n_unanswered: queries without an answer in a row.
    :param n_ejections: ejections in a row.
    :param ejected_until_ms: when an ejected server gets a trial task.
    :param has_trial_task: whether a trial task is out.
    :param rendezvous_weight: rendezvous weight for this instance.
    :param is_preferred: whether this instance has the first call on its slots.
    """

    record: InstanceRecord = InstanceRecord()
    is_listed: bool = True
    is_leaving: bool = False
    health: ServerHealth = ServerHealth.OK
    attempt_ids: set = attrs.field(factory=set)
    n_others_running: int = 0
    others_reported_ms: float = -math.inf
    busy_until_ms: float = 0.0
    n_busy: int = 0
    n_failures: int = 0
    n_unanswered: int = 0
    n_ejections: int = 0
    ejected_until_ms: float = 0.0
    has_trial_task: bool = False
    rendezvous_weight: int = 0
    is_preferred: bool = False

    @property
    def id(self):
        """Name of the server's instance."""
        return self.record.instance_id

    @property
    def incarnation(self):
        """Incarnation of the server's process."""
        return self.record.incarnation

    @property
    def is_usable(self):
        """Whether the server may get work, now or after a pause."""
        return self.is_listed and not self.is_leaving

    def estimate_free_slots(self, now_ms, fleet_load):
        """Return the estimated free slots and how far off they may be.

        What other instances run there drifts from the last report towards the mean
        of the fleet; the older the report, the larger the possible error.

        :param now_ms: the current time.
        :param fleet_load: the :class:`FleetLoad`.
        :returns: a :class:`FreeSlotEstimate`.
        """
        mean = fleet_load.estimate_busy_fraction(now_ms) * self.record.slots
        trust = math.exp(-(now_ms - self.others_reported_ms) / fleet_load.memory_ms)
        own = len(self.attempt_ids)
        others = trust * self.n_others_running + (1.0 - trust) * max(0.0, mean - own)
        return FreeSlotEstimate(
            free=self.record.slots - own - others,
            error=math.sqrt(mean * (1.0 - trust * trust)),
        )

    def can_fit(self, task):
        """Return whether the server is large enough for a task."""
        spec = task.spec
        return (
            spec.cores <= self.record.cores and spec.memory_mb <= self.record.memory_mb
        )


@attrs.frozen(kw_only=True)
class ServerChange:
    """A change that the list made known.

    :param server: the server.
    :param is_gone: whether the server's process is no longer listed.
    :param is_leaving: whether it newly leaves.
    """

    server: Server = None
    is_gone: bool = False
    is_leaving: bool = False


class ServerTable:
    """Backend servers by name.

    The list decides who exists; own evidence decides who gets work. A server that
    said itself that it leaves stays so until a new incarnation is listed, whatever
    a lagging list says.

    :param settings: the :class:`CoreSettings`.
    :param identity: the :class:`EntryIdentity` of this instance.
    """

    def __init__(self, settings=None, identity=None):
        self.settings = settings
        self.identity = identity
        self.by_id = {}
        self.same_zone = []
        self.other_zones = []
        self.n_slots = 0
        self.fleet_load = FleetLoad(
            memory_ms=settings.load_memory_ms, silence_ms=settings.fleet_silence_ms
        )

    def apply_list(self, records, entry_ids_by_zone):
        """Take over the backend servers of a new list.

        :param records: records of kind ``backend``.
        :param entry_ids_by_zone: names of live entry instances by zone.
        :returns: a list of :class:`ServerChange`.
        """
        changes = []
        listed_by_id = {record.instance_id: record for record in records}
        for server_id in list(self.by_id):
            record = listed_by_id.get(server_id)
            changes += self._update_known(self.by_id[server_id], record)
        for server_id, record in listed_by_id.items():
            if server_id not in self.by_id:
                self.by_id[server_id] = self._make_server(record)
        self._assign_own(entry_ids_by_zone)
        self._sort_by_distance()
        self.n_slots = sum(s.record.slots for s in self.iter_usable())
        return changes

    def iter_usable(self):
        """Yield servers that may get work now or after a pause."""
        for server in self.by_id.values():
            if server.is_usable:
                yield server

    def iter_available(self, servers, now_ms):
        """Yield those servers that may get work now.

        :param servers: servers to look at, :attr:`same_zone` or :attr:`other_zones`.
        :param now_ms: the current time.
        """
        for server in servers:
            if not server.is_usable or server.busy_until_ms > now_ms:
                continue
            if server.health is ServerHealth.OK or self._is_trial_due(server, now_ms):
                yield server

    def can_any_fit(self, task):
        """Return whether some usable server is large enough for a task."""
        return any(server.can_fit(task) for server in self.iter_usable())

    def note_report(self, server, report, now_ms):
        """Take over the load that a server reported.

        :param server: the server.
        :param report: its :class:`~buckthornshift.contracts.ServerReport`.
        :param now_ms: the current time.
        :returns: whether the server newly said that it leaves.
        """
        server.n_unanswered = 0
        if server.health is ServerHealth.SUSPECT:
            server.health = ServerHealth.OK
        is_new = report.is_leaving and not server.is_leaving
        server.is_leaving = server.is_leaving or report.is_leaving
        ended = {r.attempt_id for r in report.reports if r.state in ENDED_STATES}
        n_own = len(server.attempt_ids - ended)
        server.n_others_running = max(0, report.n_running - n_own)
        server.others_reported_ms = now_ms
        self.fleet_load.note(report.n_running, server.record.slots, now_ms)
        return is_new

    def note_busy(self, server, now_ms):
        """Pause a server that refused work as busy.

        :param server: the server.
        :param now_ms: the current time.
        :returns: until when, in milliseconds.
        """
        settings = self.settings
        base_ms = (
            settings.busy_base_ms / 2 if server.is_preferred else settings.busy_base_ms
        )
        pause_ms = min(settings.busy_max_ms, base_ms * 2**server.n_busy)
        server.n_busy = min(server.n_busy + 1, 16)
        server.busy_until_ms = now_ms + pause_ms
        return server.busy_until_ms

    def note_success(self, server):
        """Record a task that ended well; return whether an ejection ended."""
        server.n_failures = 0
        server.n_busy = 0
        server.n_ejections = 0
        server.has_trial_task = False
        was_ejected = server.health is ServerHealth.EJECTED
        if was_ejected:
            server.health = ServerHealth.OK
        return was_ejected

    def note_failure(self, server, now_ms):
        """Record a task that the server failed; eject it after several in a row.

        :param server: the server.
        :param now_ms: the current time.
        :returns: whether the server was ejected.
        """
        server.n_failures += 1
        if server.has_trial_task:
            return self._eject(server, now_ms)
        if server.n_failures < self.settings.eject_after_failures:
            return False
        if server.health is ServerHealth.EJECTED or not self._may_eject_more():
            return False
        return self._eject(server, now_ms)

    def note_unreachable(self, server):
        """Record that a server could not be reached; return whether newly so."""
        server.n_unanswered += 1
        if server.health is not ServerHealth.OK:
            return False
        server.health = ServerHealth.SUSPECT
        return True

    def remove_idle_unlisted(self):
        """Drop servers that are no longer listed and hold no attempts."""
        for server_id, server in list(self.by_id.items()):
            if not server.is_listed and not server.attempt_ids:
                del self.by_id[server_id]

    def _make_server(self, record):
        return Server(
            record=record,
            is_leaving=record.is_leaving,
            rendezvous_weight=compute_weight(
                record.instance_id, self.identity.instance_id
            ),
        )

    def _update_known(self, server, record):
        if record is None:
            was_listed = server.is_listed
            server.is_listed = False
            return [ServerChange(server=server, is_gone=True)] if was_listed else []
        if record.incarnation != server.incarnation:
            self.by_id[server.id] = self._make_server(record)
            server.is_listed = False
            return [ServerChange(server=server, is_gone=True)]
        was_leaving = server.is_leaving
        server.record = record
        server.is_listed = True
        server.is_leaving = was_leaving or record.is_leaving
        if server.is_leaving and not was_leaving:
            return [ServerChange(server=server, is_leaving=True)]
        return []

    def _assign_own(self, entry_ids_by_zone):
        own_id = self.identity.instance_id
        for server in self.by_id.values():
            rivals = entry_ids_by_zone.get(server.record.zone, ())
            server.is_preferred = server.record.zone == self.identity.zone and all(
                compute_weight(server.id, rival) <= server.rendezvous_weight
                for rival in rivals
                if rival != own_id
            )

    def _sort_by_distance(self):
        zone = self.identity.zone
        servers = self.by_id.values()
        self.same_zone = [server for server in servers if server.record.zone == zone]
        self.other_zones = [server for server in servers if server.record.zone != zone]

    def _is_trial_due(self, server, now_ms):
        if server.health is not ServerHealth.EJECTED:
            return False
        return not server.has_trial_task and now_ms >= server.ejected_until_ms

    def _may_eject_more(self):
        usable = list(self.iter_usable())
        n_ejected = sum(s.health is not ServerHealth.OK for s in usable)
        return n_ejected + 1 <= self.settings.max_ejected_fraction * len(usable)

    def _eject(self, server, now_ms):
        settings = self.settings
        pause_ms = min(
            settings.eject_max_ms, settings.eject_base_ms * 2**server.n_ejections
        )
        server.n_ejections = min(server.n_ejections + 1, 16)
        server.health = ServerHealth.EJECTED
        server.has_trial_task = False
        server.ejected_until_ms = now_ms + pause_ms
        return True
