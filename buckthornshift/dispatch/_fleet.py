"""The backend servers: their list, their cells, and which may take tasks."""

import attrs

from ._hashing import HASH_BITS, hash_name
from ._peer_messages import ServerHealthReport
from ._server import Ownership, Server

# If a larger fraction of an availability zone's servers is suspected, none of them
# counts as suspect: a fault that affects most of a zone is not one of its servers.
MAX_SUSPECT_SHARE = 0.5
# Servers of different hardware differ in slowness by less than half, so a larger value
# is worth reporting to the other instances.
MIN_REPORTED_SLOWNESS = 1.5


class Fleet:
    """The listed servers, and unlisted ones on which tasks may still run.

    :param context: the shared :class:`DispatchContext`.
    """

    def __init__(self, context=None):
        self.context = context
        self.by_id = {}
        self.records = ()
        self._digest = None
        self._evacuated_zones = frozenset()
        self._by_id_by_cell = [{}]
        self._services = None
        self._services_version = 0

    def assign_cells(self, n_cells):
        """Assign each server to one of a number of cells."""
        self._by_id_by_cell = [{} for _ in range(n_cells)]
        for server in self.by_id.values():
            self._add_to_cell(server)

    def list_servers(self, cell):
        """Return the servers of a cell."""
        return self._by_id_by_cell[cell].values()

    def remove(self, server):
        """Remove a server from the fleet and its cell."""
        self._digest = None
        self.by_id.pop(server.id, None)
        self._by_id_by_cell[server.cell].pop(server.id, None)

    def is_in_use(self, server):
        """Return whether a queue names the service of a server.

        Without a configuration, every server may be in use.
        """
        services = self._find_services()
        return services is None or server.record.service in services

    def count_in_use(self):
        """Return how many listed servers have a service that a queue names."""
        services = self._find_services()
        if services is None:
            return len(self.records)
        return sum(record.service in services for record in self.records)

    def update_list(self, records, unreadable_ids=()):
        """Replace the list of servers.

        An entry of a former incarnation of a server doesn't replace a newer one.

        :param records: the :class:`ServerRecord` of every listed server.
        :param unreadable_ids: ids of unlisted servers whose entries can't be read; they
            get no new tasks.
        :returns: lists of added, changed and newly unlisted servers.
        """
        added, changed, unlisted = [], [], []
        self._digest = None
        record_by_id = {record.server_id: record for record in records}
        self.records = tuple(records)
        for server_id, record in record_by_id.items():
            server = self.by_id.get(server_id)
            if server is None:
                server = self._add(record)
                server.speed.note_cold(record.cold_left_ms, self.context.now_ms)
                added.append(server)
                continue
            if server.is_former(record.started_ms):
                record = server.record
            elif server.is_newer(record.started_ms):
                server.begin_incarnation(record.started_ms, self.context.now_ms)
            else:
                server.started_ms = max(server.started_ms, record.started_ms)
            if server.record != record or server.unlisted_since_ms is not None:
                was_cold = server.record.cold_left_ms > 0.0
                server.update_record(record)
                server.is_evacuated = record.zone in self._evacuated_zones
                if was_cold or record.cold_left_ms:
                    server.speed.note_cold(record.cold_left_ms, self.context.now_ms)
                server.unlisted_since_ms = None
                changed.append(server)
        for server in self.by_id.values():
            if server.id not in record_by_id and server.unlisted_since_ms is None:
                server.unlisted_since_ms = self.context.now_ms
                unlisted.append(server)
            if server.id in unreadable_ids and not server.record.is_draining:
                server.update_record(attrs.evolve(server.record, is_draining=True))
        return added, changed, unlisted

    def evacuate_zones(self, zones):
        """Set the zones in which no server gets a new task.

        :param zones: all evacuated zones.
        """
        self._evacuated_zones = frozenset(zones)
        for server in self.by_id.values():
            server.is_evacuated = server.record.zone in self._evacuated_zones

    def digest(self):
        """Return a checksum of the list, to compare it with that of other instances."""
        if self._digest is None:
            self._digest = sum(
                server.hash
                + server.record.is_draining
                + server.record.capacity.cpu
                + server.record.started_ms
                for server in self.by_id.values()
                if server.unlisted_since_ms is None
            ) % (2**HASH_BITS)
        return self._digest

    def compute_cell_digest(self, cell):
        """Return a checksum of the servers of a cell on which tasks may run.

        :param cell: number of the cell.
        """
        return sum(
            server.hash
            for server in self.list_servers(cell)
            if server.unlisted_since_ms is None or not server.is_idle
        ) % (2**HASH_BITS)

    def is_schedulable(self, server):
        """Return whether a server may get a new task, if its resources suffice."""
        return (
            server.ownership is Ownership.OWNED
            and server.is_reachable
            and not server.record.is_draining
            and not server.is_evacuated
            and server.n_unsized_runs == 0
            and server.n_isolated_runs == 0
            # A start would extend the lease of the run that is being stopped.
            and not server.has_unacked_stop
            and server.has_current_record
            and self.context.now_ms >= server.usable_after_ms
            and self._is_listed(server)
        )

    def list_health_reports(self, cell):
        """Return a :class:`ServerHealthReport` of each degraded server of a cell."""
        now_ms = self.context.now_ms
        reports = []
        for server in self.list_servers(cell):
            left_ms = max(0.0, server.suspect_until_ms - now_ms)
            is_degraded = (
                left_ms
                or server.n_failures
                or server.slowness > MIN_REPORTED_SLOWNESS
                or server.speed.is_notable(now_ms)
            )
            if is_degraded:
                reports.append(
                    ServerHealthReport(
                        server_id=server.id,
                        suspect_left_ms=round(left_ms),
                        n_failures=server.n_failures,
                        slowness=round(server.slowness, 2),
                        kind_ratio=server.speed.get_kind_ratio(),
                        cold_left_ms=round(server.speed.get_cold_left_ms(now_ms)),
                    )
                )
        return tuple(reports)

    def apply_health_reports(self, reports, cell):
        """Set the health of a cell's servers to what its owner reports.

        Servers without a report are healthy.

        :param reports: a :class:`ServerHealthReport` of each degraded server.
        :param cell: number of the cell.
        """
        report_by_id = {report.server_id: report for report in reports}
        for server in self.list_servers(cell):
            report = report_by_id.get(server.id, ServerHealthReport())
            server.suspect_until_ms = self.context.now_ms + report.suspect_left_ms
            server.n_failures = report.n_failures
            server.slowness = report.slowness
            server.speed.apply_report(report, self.context.now_ms)

    def find_suspect_ids(self, servers):
        """Return the ids of suspected servers, unless most of their zone is suspected.

        The only suspect of a zone always counts, however few servers the zone has.

        :param servers: servers of one service.
        """
        now_ms = self.context.now_ms
        n_servers_by_zone, suspects_by_zone = {}, {}
        for server in servers:
            zone = server.record.zone
            n_servers_by_zone[zone] = n_servers_by_zone.get(zone, 0) + 1
            if server.suspect_until_ms > now_ms:
                suspects_by_zone.setdefault(zone, set()).add(server.id)
        return {
            server_id
            for zone, ids in suspects_by_zone.items()
            if len(ids) <= max(1, MAX_SUSPECT_SHARE * n_servers_by_zone[zone])
            for server_id in ids
        }

    def iter_schedulable(self, service, cell):
        """Yield the servers of a service in a cell that may get a new task now."""
        for server in self.list_servers(cell):
            if server.record.service == service and self.is_schedulable(server):
                yield server

    def count_slots(self, service, need_cpu):
        """Return how many tasks of a size the servers of a service can run at once.

        Servers that are still being claimed count, because they accept tasks soon.

        :param service: name of the service.
        :param need_cpu: CPU need of one task, in thousandths of a core.
        """
        return sum(
            server.record.capacity.cpu // need_cpu
            for server in self.by_id.values()
            if server.record.service == service
            and server.is_reachable
            and server.unlisted_since_ms is None
            and not server.record.is_draining
            and not server.is_evacuated
        )

    def count_free_slots(self, service, need_cpu, cell):
        """Return how many more tasks of a size fit on the servers of a cell now.

        Servers that are being claimed count, because they accept tasks within one round
        trip; the tasks that may run there are not known yet.

        :param service: name of the service.
        :param need_cpu: CPU need of one task, in thousandths of a core.
        :param cell: number of the cell.
        """
        return sum(
            server.free_cpu // need_cpu
            for server in self.list_servers(cell)
            if server.record.service == service
            and (self.is_schedulable(server) or self._is_being_claimed(server))
        )

    def count_cell_slots(self, service, need_cpu, cell):
        """Return how many tasks of a size the servers of a cell can run at once.

        :param service: name of the service.
        :param need_cpu: CPU need of one task, in thousandths of a core.
        :param cell: number of the cell.
        """
        return sum(
            server.record.capacity.cpu // need_cpu
            for server in self.list_servers(cell)
            if server.record.service == service
            and (server.ownership is Ownership.OWNED or self._is_being_claimed(server))
            and server.is_reachable
            and not server.record.is_draining
            and not server.is_evacuated
        )

    def count_free_cpu(self, cell):
        """Return the free CPU of the schedulable servers, in thousandths of a core."""
        return sum(
            s.free_cpu for s in self.list_servers(cell) if self.is_schedulable(s)
        )

    def count_owned(self, cell=None):
        """Return how many servers this instance owns, in one cell or in all.

        Those that it can't reach don't count: a rival may have taken them.
        """
        servers = self.by_id.values() if cell is None else self.list_servers(cell)
        return sum(s.ownership is Ownership.OWNED and s.is_reachable for s in servers)

    def can_ever_run(self, service, step, cell):
        """Return whether some server of a cell is large enough for a step's tasks.

        The server must also have the required label. Servers that are draining, or
        that have been unlisted for longer than the grace time, don't count; neither do
        those of evacuated zones.
        """
        return any(
            server.record.service == service
            and not server.record.is_draining
            and not server.is_evacuated
            and not server.is_replaced
            and self._is_listed(server)
            and server.record.capacity.covers(step.need)
            and (not step.required_label or step.required_label in server.record.labels)
            for server in self.list_servers(cell)
        )

    def _find_services(self):
        """Return the services that queues name; ``None`` without a configuration."""
        configuration = self.context.configuration
        if configuration.version != self._services_version:
            self._services_version = configuration.version
            self._services = {queue.service for queue in configuration.queues}
        return self._services

    def _is_being_claimed(self, server):
        return (
            server.ownership is Ownership.CLAIMING
            and server.is_reachable
            and not server.record.is_draining
            and not server.is_evacuated
            and server.unlisted_since_ms is None
        )

    def _is_listed(self, server):
        """Return whether a server is listed, or was within the grace time."""
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
            started_ms=record.started_ms,
            last_response_ms=self.context.now_ms,
            is_evacuated=record.zone in self._evacuated_zones,
        )
        self.by_id[server.id] = server
        self._add_to_cell(server)
        return server

    def _add_to_cell(self, server):
        server.cell = server.hash % len(self._by_id_by_cell)
        self._by_id_by_cell[server.cell][server.id] = server
