"""Backend servers: what runs on each, what it has room for, who owns it."""

import enum

import attrs

from ._declarations import Resources, ServerRecord
from ._hashing import HASH_BITS, hash_name
from ._peer_messages import ServerHealthReport

# Part of an availability zone's servers of which more are not called suspect at once:
# what most of a zone seems to suffer from is not the fault of its servers.
MAX_SUSPECT_SHARE = 0.5
# Slowness from which a server is worth telling the next owner of; kinds of servers
# differ by less than half.
MIN_REPORTED_SLOWNESS = 1.5


class Ownership(enum.StrEnum):
    """Whether this instance owns a server."""

    NONE = "none"
    CLAIMING = "claiming"
    OWNED = "owned"
    FENCED = "fenced"
    YIELDING = "yielding"


@attrs.define(kw_only=True, eq=False)
class Server:
    """A backend server.

    :param record: what the platform lists.
    :param hash: number that decides its cell.
    :param cell: its cell.
    :param ownership: whether this instance owns it.
    :param token: fencing token of this instance's orders.
    :param refused_term: term of the last token that the server refused.
    :param run_by_name: runs by name of the task.
    :param free: what is free, runs of unknown size aside.
    :param n_unsized_runs: runs of unknown size, found at a takeover.
    :param last_acked: number of the last end taken note of.
    :param last_acked_sent: the number that the server was last told.
    :param clock_offset_ms: the server's clock less ours, or ``None``.
    :param clock_read_ms: when that was read.
    :param lease_expiry_ms: when the last lease given has lapsed for certain.
    :param renewal_sent_ms: when the renewal in flight was sent, or ``None``.
    :param poll_sent_ms: when a look beside that was sent, or ``None``.
    :param newest_answer_sent_ms: when the youngest listing that was read had been asked for.
    :param last_response_ms: when the server last answered.
    :param is_reachable: whether it answers.
    :param unlisted_since_ms: when its entry vanished, or ``None``.
    :param suspect_until_ms: until when it is used last.
    :param n_failures: failures in a row.
    :param slowness: mean of real over estimated run times.
    """

    record: ServerRecord = ServerRecord()
    hash: int = 0
    cell: int = 0
    ownership: Ownership = Ownership.NONE
    token: int = 0
    refused_term: int = 0
    run_by_name: dict = attrs.field(factory=dict)
    free: Resources = Resources()
    n_unsized_runs: int = 0
    last_acked: int = 0
    last_acked_sent: int = 0
    clock_offset_ms: float | None = None
    clock_read_ms: float = 0.0
    lease_expiry_ms: float = 0.0
    renewal_sent_ms: float | None = None
    poll_sent_ms: float | None = None
    newest_answer_sent_ms: float = -1.0
    last_response_ms: float = 0.0
    is_reachable: bool = True
    unlisted_since_ms: float | None = None
    suspect_until_ms: float = 0.0
    n_failures: int = 0
    slowness: float = 1.0

    @property
    def id(self):
        """Id of this life of the server."""
        return self.record.server_id

    @property
    def is_idle(self):
        """Whether nothing runs on it."""
        return not self.run_by_name

    def update_record(self, record):
        """Take over what the platform lists now; its capacity may have changed."""
        used = self.record.capacity.minus(self.free)
        self.record = record
        self.free = record.capacity.minus(used)

    def add_run(self, run):
        """Reserve a run's room."""
        self.run_by_name[run.name] = run
        if run.need is None:
            self.n_unsized_runs += 1
        else:
            self.free = self.free.minus(run.need)

    def remove_run(self, run):
        """Free a run's room."""
        if self.run_by_name.get(run.name) is not run:
            return
        del self.run_by_name[run.name]
        if run.need is None:
            self.n_unsized_runs -= 1
        else:
            self.free = self.free.plus(run.need)

    def set_run_need(self, run, need):
        """Take over the size of a run that was not known."""
        self.remove_run(run)
        run.need = need
        self.add_run(run)

    def update_clock_offset(self, clock_ms, now_ms):
        """Take note of the server's clock.

        The offset lags by the time of the answer's way: leases come out shorter.
        """
        self.clock_offset_ms = clock_ms - now_ms
        self.clock_read_ms = now_ms


class Fleet:
    """The listed servers.

    :param context: the shared :class:`DispatchContext`.
    """

    def __init__(self, context=None):
        self.context = context
        self.by_id = {}
        self.records = ()
        self._by_id_by_cell = [{}]

    def assign_cells(self, n_cells):
        """Put the servers into a number of cells."""
        self._by_id_by_cell = [{} for _ in range(n_cells)]
        for server in self.by_id.values():
            self._put_into_cell(server)

    def list_servers(self, cell):
        """Return the servers of a cell."""
        return self._by_id_by_cell[cell].values()

    def remove(self, server):
        """Forget a server."""
        self.by_id.pop(server.id, None)
        self._by_id_by_cell[server.cell].pop(server.id, None)

    def update_list(self, records):
        """Take over a new list.

        :param records: the :class:`ServerRecord` of every listed server.
        :returns: lists of added, changed and vanished servers.
        """
        added, changed, vanished = [], [], []
        listed_by_id = {record.server_id: record for record in records}
        self.records = tuple(records)
        for server_id, record in listed_by_id.items():
            server = self.by_id.get(server_id)
            if server is None:
                server = self._add(record)
                added.append(server)
                continue
            if server.record != record or server.unlisted_since_ms is not None:
                server.update_record(record)
                server.unlisted_since_ms = None
                changed.append(server)
        for server in self.by_id.values():
            if server.id not in listed_by_id and server.unlisted_since_ms is None:
                server.unlisted_since_ms = self.context.now_ms
                vanished.append(server)
        return added, changed, vanished

    def digest(self):
        """Return a number that differs for different lists."""
        return sum(
            server.hash + server.record.is_draining
            for server in self.by_id.values()
            if server.unlisted_since_ms is None
        ) % (2**HASH_BITS)

    def is_schedulable(self, server):
        """Return whether a server may get a new task now."""
        return (
            server.ownership is Ownership.OWNED
            and server.is_reachable
            and not server.record.is_draining
            and server.n_unsized_runs == 0
            and self._is_listed(server)
        )

    def list_health_reports(self, cell):
        """Return a :class:`ServerHealthReport` of each server that is worse than others."""
        now_ms = self.context.now_ms
        lessons = []
        for server in self.list_servers(cell):
            left_ms = max(0.0, server.suspect_until_ms - now_ms)
            if left_ms or server.n_failures or server.slowness > MIN_REPORTED_SLOWNESS:
                lessons.append(
                    ServerHealthReport(
                        server_id=server.id,
                        suspect_left_ms=round(left_ms),
                        n_failures=server.n_failures,
                        slowness=round(server.slowness, 2),
                    )
                )
        return tuple(lessons)

    def apply_health_reports(self, lessons, cell):
        """Take over what an owner has learned; forget what it no longer says.

        :param lessons: its :class:`ServerHealthReport` of each server that is worse.
        :param cell: its cell.
        """
        told_by_id = {lesson.server_id: lesson for lesson in lessons}
        for server in self.list_servers(cell):
            lesson = told_by_id.get(server.id, ServerHealthReport())
            server.suspect_until_ms = self.context.now_ms + lesson.suspect_left_ms
            server.n_failures = lesson.n_failures
            server.slowness = lesson.slowness

    def find_suspect_ids(self, servers):
        """Return the suspected among some servers, zones aside that mostly are.

        :param servers: the servers of a service.
        """
        now_ms = self.context.now_ms
        n_by_zone, suspects_by_zone = {}, {}
        for server in servers:
            zone = server.record.zone
            n_by_zone[zone] = n_by_zone.get(zone, 0) + 1
            if server.suspect_until_ms > now_ms:
                suspects_by_zone.setdefault(zone, set()).add(server.id)
        return {
            server_id
            for zone, ids in suspects_by_zone.items()
            if len(ids) <= max(1, MAX_SUSPECT_SHARE * n_by_zone[zone])
            for server_id in ids
        }

    def iter_schedulable(self, service, cell):
        """Yield the servers of a service and cell that may get a new task now."""
        for server in self.list_servers(cell):
            if server.record.service == service and self.is_schedulable(server):
                yield server

    def count_slots(self, service, need_cpu):
        """Return how many tasks of a size the servers of a service hold.

        Servers that are still being taken over count: they are open in a moment.

        :param service: the service.
        :param need_cpu: what one task needs, in thousandths of a core.
        """
        return sum(
            server.record.capacity.cpu // need_cpu
            for server in self.by_id.values()
            if server.record.service == service
            and server.is_reachable
            and server.unlisted_since_ms is None
            and not server.record.is_draining
        )

    def count_free_slots(self, service, need_cpu, cell):
        """Return how many tasks of a size the open servers have room for now.

        :param service: the service.
        :param need_cpu: what one task needs, in thousandths of a core.
        :param cell: the cell.
        """
        servers = self.iter_schedulable(service, cell)
        return sum(server.free.cpu // need_cpu for server in servers)

    def count_free_cpu(self, cell):
        """Return what is free on the open servers, in thousandths of a core."""
        return sum(
            s.free.cpu for s in self.list_servers(cell) if self.is_schedulable(s)
        )

    def count_owned(self, cell=None):
        """Return how many servers this instance owns, of one cell or of all."""
        servers = self.by_id.values() if cell is None else self.list_servers(cell)
        return sum(s.ownership is Ownership.OWNED for s in servers)

    def can_ever_run(self, service, step, cell):
        """Return whether some server that stays is large enough for a step's task."""
        return any(
            server.record.service == service
            and not server.record.is_draining
            and self._is_listed(server)
            and server.record.capacity.covers(step.need)
            and (not step.required_label or step.required_label in server.record.labels)
            for server in self.list_servers(cell)
        )

    def _is_listed(self, server):
        """Return whether a server is listed, or may be again in a moment."""
        grace_ms = self.context.settings.unlisted_grace_ms
        return (
            server.unlisted_since_ms is None
            or self.context.now_ms - server.unlisted_since_ms < grace_ms
        )

    def _add(self, record):
        server = Server(
            record=record,
            hash=hash_name(record.server_id),
            free=record.capacity,
            last_response_ms=self.context.now_ms,
        )
        self.by_id[server.id] = server
        self._put_into_cell(server)
        return server

    def _put_into_cell(self, server):
        server.cell = server.hash % len(self._by_id_by_cell)
        self._by_id_by_cell[server.cell][server.id] = server
