"""Backend servers as one entry instance sees them: listing, health and load."""

import enum
import math

import attrs

from ..contracts import AttemptState, InstanceRecord
from ._hashing import compute_weight

# Added before rounding down, to round to the nearest integer. It is slightly over
# 0.5, so that a value just below a half still rounds up.
ROUNDING_OFFSET = 0.51
ENDED_STATES = frozenset(AttemptState) - {AttemptState.RUNNING}
FLEET_SMOOTHING_FACTOR = 0.05


@attrs.define(kw_only=True)
class FleetLoad:
    """Load of all backend servers, as a moving average over their reports.

    Without reports the average decays. Otherwise an instance that sends no work,
    and so gets no reports, would wait for ever for servers last reported as busy.

    :param busy_fraction: moving average of the fraction of slots in use, at the
        last report.
    :param updated_ms: time of the last report.
    :param report_decay_ms: time constant with which the weight of one server's
        report decays.
    :param silence_decay_ms: time constant with which the average decays while no
        report comes.
    """

    busy_fraction: float = 0.0
    updated_ms: float = 0.0
    report_decay_ms: float = 500.0
    silence_decay_ms: float = 1_000.0

    def add_report(self, n_running, n_slots, now_ms):
        """Add one report to the moving average."""
        busy = min(1.0, n_running / max(1, n_slots))
        self.busy_fraction += FLEET_SMOOTHING_FACTOR * (busy - self.busy_fraction)
        self.updated_ms = now_ms

    def estimate_busy_fraction(self, now_ms):
        """Return the estimated fraction of the fleet's slots in use now."""
        age_ms = now_ms - self.updated_ms
        return self.busy_fraction * math.exp(-age_ms / self.silence_decay_ms)


@attrs.define(kw_only=True)
class FreeSlotEstimate:
    """Estimate of the free slots of a server.

    :param expected: expected number of free slots.
    :param std_dev: standard deviation of the estimate, in slots.
    """

    expected: float = 0.0
    std_dev: float = 0.0

    def count_startable(self, n_reserved=0, n_std_devs=0.0):
        """Return how many tasks may be started, rounded to the nearest integer.

        :param n_reserved: slots to leave free.
        :param n_std_devs: safety margin in standard deviations.
        """
        return math.floor(
            self.expected - n_reserved - n_std_devs * self.std_dev + ROUNDING_OFFSET
        )


class ServerHealth(enum.StrEnum):
    """Health of a backend server, judged by the exchanges of this instance alone."""

    OK = "ok"
    SUSPECT = "suspect"
    EJECTED = "ejected"


@attrs.define(kw_only=True)
class Server:
    """One backend server process.

    :param record: the platform's record of it.
    :param is_listed: whether the platform lists it now.
    :param is_leaving: whether the list or the server itself said that it leaves.
    :param health: health as judged by this instance.
    :param attempt_ids: this instance's attempts on it without a final result.
    :param n_others_running: tasks of other instances at the last report.
    :param others_reported_ms: time of that report.
    :param busy_until_ms: time before which nothing is started on it, after it
        refused work as busy.
    :param n_busy: consecutive refusals as busy.
    :param n_failures: consecutive failed attempts.
    :param n_unanswered: consecutive failures to reach it.
    :param n_ejections: consecutive ejections.
    :param ejected_until_ms: time from which an ejected server may get a trial task.
    :param has_trial_task: whether a trial task was sent and has not ended.
    :param rendezvous_weight: rendezvous weight of this instance for the server.
    :param is_preferred: whether this instance has the highest rendezvous weight for
        the server among the entry instances of its zone.
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
        """Instance name, the same across restarts."""
        return self.record.instance_id

    @property
    def incarnation(self):
        """Identifier of the process, new at each restart."""
        return self.record.incarnation

    @property
    def is_usable(self):
        """Whether the server may get work, at once or after a pause or ejection."""
        return self.is_listed and not self.is_leaving

    def estimate_free_slots(self, now_ms, fleet_load):
        """Return an estimate of the free slots with its uncertainty.

        The load from other instances is interpolated between the server's last
        report and the fleet's average. The older the report, the less it weighs
        and the larger the standard deviation.

        :param now_ms: the current time.
        :param fleet_load: the :class:`FleetLoad`.
        :returns: a :class:`FreeSlotEstimate`.
        """
        fleet_mean = fleet_load.estimate_busy_fraction(now_ms) * self.record.slots
        report_weight = math.exp(
            -(now_ms - self.others_reported_ms) / fleet_load.report_decay_ms
        )
        own = len(self.attempt_ids)
        others = report_weight * self.n_others_running + (1.0 - report_weight) * max(
            0.0, fleet_mean - own
        )
        return FreeSlotEstimate(
            expected=self.record.slots - own - others,
            std_dev=math.sqrt(fleet_mean * (1.0 - report_weight * report_weight)),
        )

    def can_fit(self, task):
        """Return whether the server has the cores and memory that a task needs."""
        spec = task.spec
        return (
            spec.cores <= self.record.cores and spec.memory_mb <= self.record.memory_mb
        )


@attrs.frozen(kw_only=True)
class ServerChange:
    """A change of a server that a new instance list shows.

    :param server: the server.
    :param is_gone: whether the server's process is no longer listed.
    :param is_leaving: whether the server began to leave.
    """

    server: Server = None
    is_gone: bool = False
    is_leaving: bool = False


class ServerTable:
    """Table of the backend servers by name.

    The instance list decides which servers exist; the instance's own exchanges
    with them decide which get work. A server that reported that it leaves counts
    as leaving until a new incarnation is listed, even if a lagging list differs.

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
            report_decay_ms=settings.load_memory_ms,
            silence_decay_ms=settings.fleet_silence_ms,
        )

    def apply_list(self, records, entry_ids_by_zone):
        """Update the table from a new instance list.

        :param records: records of kind ``backend``.
        :param entry_ids_by_zone: names of live entry instances by zone.
        :returns: a list of :class:`ServerChange`.
        """
        changes = []
        listed_by_id = {record.instance_id: record for record in records}
        for server_id in list(self.by_id):
            record = listed_by_id.get(server_id)
            changes += self._update_server(self.by_id[server_id], record)
        for server_id, record in listed_by_id.items():
            if server_id not in self.by_id:
                self.by_id[server_id] = self._make_server(record)
        self._mark_preferred(entry_ids_by_zone)
        self._group_by_zone()
        self.n_slots = sum(s.record.slots for s in self.iter_usable())
        return changes

    def iter_usable(self):
        """Yield servers that may get work, at once or after a pause or ejection."""
        for server in self.by_id.values():
            if server.is_usable:
                yield server

    def iter_available(self, servers, now_ms):
        """Yield those servers that may get work at once.

        :param servers: servers to look at, :attr:`same_zone` or :attr:`other_zones`.
        :param now_ms: the current time.
        """
        for server in servers:
            if not server.is_usable or server.busy_until_ms > now_ms:
                continue
            if server.health is ServerHealth.OK or self._is_trial_due(server, now_ms):
                yield server

    def can_any_fit(self, task):
        """Return whether some usable server has the resources that a task needs."""
        return any(server.can_fit(task) for server in self.iter_usable())

    def apply_report(self, server, report, now_ms):
        """Update a server's load and health from its report.

        :param server: the server.
        :param report: its :class:`~buckthornshift.contracts.ServerReport`.
        :param now_ms: the current time.
        :returns: whether the report is the first sign that the server leaves.
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
        self.fleet_load.add_report(report.n_running, server.record.slots, now_ms)
        return is_new

    def record_busy_refusal(self, server, now_ms):
        """Pause a server that refused work as busy, with exponential backoff.

        Preferred servers get half the pause.

        :param server: the server.
        :param now_ms: the current time.
        :returns: the end of the pause, in milliseconds.
        """
        settings = self.settings
        base_ms = (
            settings.busy_base_ms / 2 if server.is_preferred else settings.busy_base_ms
        )
        pause_ms = min(settings.busy_max_ms, base_ms * 2**server.n_busy)
        server.n_busy = min(server.n_busy + 1, 16)
        server.busy_until_ms = now_ms + pause_ms
        # The trial of an ejected server that is busy has not begun.
        server.has_trial_task = False
        return server.busy_until_ms

    def record_success(self, server):
        """Record a successful task; return whether this ended an ejection."""
        server.n_failures = 0
        server.n_busy = 0
        server.n_ejections = 0
        server.has_trial_task = False
        was_ejected = server.health is ServerHealth.EJECTED
        if was_ejected:
            server.health = ServerHealth.OK
        return was_ejected

    def record_failure(self, server, now_ms):
        """Record a failed task; eject the server after several in a row.

        A failed trial task renews the ejection at once.

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

    def record_unreachable(self, server):
        """Record a failure to reach a server; return whether it is newly suspect."""
        server.n_unanswered += 1
        if server.health is not ServerHealth.OK:
            return False
        server.health = ServerHealth.SUSPECT
        return True

    def remove_idle_unlisted(self):
        """Remove servers that are no longer listed and have no open attempts."""
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

    def _update_server(self, server, record):
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

    def _mark_preferred(self, entry_ids_by_zone):
        own_id = self.identity.instance_id
        for server in self.by_id.values():
            entry_ids = entry_ids_by_zone.get(server.record.zone, ())
            server.is_preferred = server.record.zone == self.identity.zone and all(
                compute_weight(server.id, entry_id) <= server.rendezvous_weight
                for entry_id in entry_ids
                if entry_id != own_id
            )

    def _group_by_zone(self):
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
