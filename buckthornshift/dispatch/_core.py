"""Deterministic core of one instance, which maps events to actions."""

import attrs

from ._actions import LogCode
from ._admission import AdmissionController, ObjectiveOrder
from ._cancellations import Cancellations
from ._cells import Cells
from ._claim_coverage import ClaimCoverage
from ._completions import CompletionHistory
from ._context import DispatchContext
from ._crash_history import CrashHistory
from ._declarations import Configuration
from ._duration_estimator import DurationEstimator
from ._evacuation import EvacuationTracker
from ._events import (
    ConfigurationRead,
    PeerMessageReceived,
    ResourcesChanged,
    StopRequested,
    TimeAdvanced,
)
from ._fleet import Fleet
from ._internal_messages import (
    HeartbeatDue,
    HousekeepingDue,
    InputDrained,
    PauseDetected,
    RunReleased,
    ServersChanged,
)
from ._late_service import LateService
from ._leases import LeaseManager
from ._list_follower import ListFollower
from ._list_publisher import ListPublisher
from ._list_reader import ListReader
from ._load_shedding import LoadShedder
from ._membership import Membership
from ._message_order import MessageOrder
from ._overload_cost import CostOrder
from ._owner_jobs import OwnerJobs
from ._peer_messages import ConfigurationUpdate, EvacuationUpdate
from ._queue_shares import QueueShares
from ._request_router import RequestRouter
from ._runs import RunTracker
from ._scheduler import TaskScheduler
from ._server_claims import ServerClaims
from ._server_incarnations import ServerIncarnations
from ._server_speeds import ServerSpeeds
from ._settings import DispatchIdentity, DispatchSettings
from ._shutdown import GracefulShutdown

HOUSEKEEPING_INTERVAL_MS = 100.0


class DispatchCore:
    """Make every decision of an instance that dispatches to owned servers.

    The core does no I/O and reads no clock. Time and the random generator are passed
    in, so that a run can be repeated exactly.

    :param identity: the :class:`DispatchIdentity`.
    :param settings: the :class:`DispatchSettings`.
    :param random_state: a :class:`random.Random`.
    """

    def __init__(self, identity=None, settings=None, random_state=None):
        self.context = DispatchContext(
            identity=identity or DispatchIdentity(),
            settings=settings or DispatchSettings(),
            random_state=random_state,
        )
        self._build_components()
        self._handlers_by_class = {}
        for component in self._components:
            for message_class, handler in component.subscribe().items():
                self._handlers_by_class.setdefault(message_class, []).append(handler)
        for message_class, handler in self._subscribe().items():
            self._handlers_by_class.setdefault(message_class, []).insert(0, handler)

    def start(self, now_ms, wall_ms):
        """Start at a given time; return a list of actions.

        :param now_ms: monotonic time in milliseconds.
        :param wall_ms: milliseconds since the epoch.
        """
        context = self.context
        self._set_time(now_ms, wall_ms)
        context.started_ms = now_ms
        context.started_wall_ms = wall_ms
        context.log(
            LogCode.STARTED, context.identity.address, **_describe_identity(context)
        )
        context.post(HeartbeatDue())
        context.post(HousekeepingDue())
        return self._process_messages()

    def handle(self, event, now_ms, wall_ms):
        """Handle one event; return a list of actions.

        The caller feeds :class:`TimeAdvanced` after all input that has arrived, as
        timeouts are checked and tasks are placed at that event. So a busy process
        reads pending answers before it counts them as missing, and places tasks once
        per batch of input.

        :param event: an event of this package.
        :param now_ms: monotonic time in milliseconds.
        :param wall_ms: milliseconds since the epoch.
        """
        self._set_time(now_ms, wall_ms)
        self._fire_timers()
        is_drained = isinstance(event, TimeAdvanced)
        if not self._is_superseded(event):
            self.context.post(InputDrained() if is_drained else event)
        return self._process_messages(is_drained)

    def find_next_due(self):
        """Return when :class:`TimeAdvanced` is next needed, or ``None``."""
        if self.scheduler.is_pass_requested or self.runs.has_overdue_starts:
            return self.context.now_ms
        return self.context.timers.find_next_due()

    def is_ready(self):
        """Return whether this instance can take requests of callers."""
        context = self.context
        return (
            not context.is_stopping
            and context.configuration.version > 0
            and self.cells.has_any_owner()
        )

    def dump(self):
        """Return the state as plain values for operators."""
        context = self.context
        return {
            "identity": attrs.asdict(context.identity),
            "is_stopping": context.is_stopping,
            "is_ready": self.is_ready(),
            "config_version": context.configuration.version,
            "evacuations": attrs.asdict(self.evacuation_tracker.evacuations),
            "cells": [_dump_cell(e) for e in self.cells.elections],
            "n_requests": len(self.request_router.by_key),
            "n_jobs": len(self.jobs.by_id),
            "n_runs": self.runs.n_open,
            "queue_shares": self.queue_shares.dump(),
            "lag_ms": round(self.load_shedder.lag_ms, 1),
            "peers": [_dump_peer(p) for p in self.membership.by_address.values()],
            "servers": [_dump_server(s) for s in self.fleet.by_id.values()],
            "counters": attrs.asdict(context.counters),
        }

    def _is_superseded(self, event):
        is_message = isinstance(event, PeerMessageReceived)
        return is_message and self.message_order.is_superseded(event)

    def _build_components(self):
        context = self.context
        self.membership = Membership(context=context)
        self.message_order = MessageOrder(context=context, membership=self.membership)
        self.fleet = Fleet(context=context)
        self.cells = Cells(
            context=context, membership=self.membership, fleet=self.fleet
        )
        self.duration_estimator = DurationEstimator()
        self.server_speeds = ServerSpeeds(
            context=context,
            fleet=self.fleet,
            duration_estimator=self.duration_estimator,
        )
        self.queue_shares = QueueShares(context=context)
        self.job_order = self._make_job_order()
        self.late_service = LateService(context=context)
        self.admission = AdmissionController(
            context=context,
            fleet=self.fleet,
            duration_estimator=self.duration_estimator,
            job_order=self.job_order,
            late_service=self.late_service,
        )
        self.jobs = OwnerJobs(
            context=context,
            fleet=self.fleet,
            membership=self.membership,
            cells=self.cells,
            admission=self.admission,
            duration_estimator=self.duration_estimator,
            server_speeds=self.server_speeds,
        )
        self.evacuation_tracker = EvacuationTracker(
            context=context,
            fleet=self.fleet,
            membership=self.membership,
            cells=self.cells,
            jobs=self.jobs,
        )
        self.crash_history = CrashHistory(
            context=context,
            fleet=self.fleet,
            membership=self.membership,
            cells=self.cells,
        )
        self.completions = CompletionHistory(
            context=context,
            membership=self.membership,
            jobs=self.jobs,
            crash_history=self.crash_history,
        )
        self.jobs.completions = self.completions
        self.runs = RunTracker(
            context=context,
            fleet=self.fleet,
            jobs=self.jobs,
            crash_history=self.crash_history,
            server_speeds=self.server_speeds,
            completions=self.completions,
        )
        self.incarnations = ServerIncarnations(
            context=context,
            crash_history=self.crash_history,
            jobs=self.jobs,
            runs=self.runs,
        )
        self.runs.incarnations = self.incarnations
        self.list_publisher = ListPublisher(
            context=context,
            fleet=self.fleet,
            membership=self.membership,
            cells=self.cells,
            server_speeds=self.server_speeds,
        )
        self.list_reader = ListReader(
            context=context,
            fleet=self.fleet,
            membership=self.membership,
            cells=self.cells,
            list_publisher=self.list_publisher,
        )
        self.incarnations.list_reader = self.list_reader
        self.list_follower = ListFollower(
            context=context,
            fleet=self.fleet,
            membership=self.membership,
            cells=self.cells,
            list_publisher=self.list_publisher,
            list_reader=self.list_reader,
            server_speeds=self.server_speeds,
        )
        self.claim_coverage = ClaimCoverage(
            context=context,
            fleet=self.fleet,
            cells=self.cells,
            list_follower=self.list_follower,
        )
        self.server_claims = ServerClaims(
            context=context,
            fleet=self.fleet,
            membership=self.membership,
            cells=self.cells,
        )
        self.lease_manager = LeaseManager(
            context=context,
            fleet=self.fleet,
            membership=self.membership,
            cells=self.cells,
            claims=self.server_claims,
            runs=self.runs,
            incarnations=self.incarnations,
            claim_coverage=self.claim_coverage,
        )
        self.runs.lease_manager = self.incarnations.lease_manager = self.lease_manager
        self.load_shedder = LoadShedder(context=context, membership=self.membership)
        self.cancellations = Cancellations(context=context, membership=self.membership)
        self.request_router = RequestRouter(
            context=context,
            membership=self.membership,
            cells=self.cells,
            load_shedder=self.load_shedder,
            completions=self.completions,
            cancellations=self.cancellations,
        )
        self.scheduler = TaskScheduler(
            context=context,
            fleet=self.fleet,
            jobs=self.jobs,
            runs=self.runs,
            cells=self.cells,
            server_speeds=self.server_speeds,
            job_order=self.job_order,
            late_service=self.late_service,
            admission=self.admission,
            list_follower=self.list_follower,
        )
        self.cells.count_waiting_cpu = self.scheduler.count_waiting_cpu
        self.shutdown = GracefulShutdown(
            context=context,
            request_router=self.request_router,
            lease_manager=self.lease_manager,
        )
        self._components = (
            self.membership,
            self.cells,
            self.evacuation_tracker,
            self.list_reader,
            self.list_follower,
            self.lease_manager,
            self.incarnations,
            self.list_publisher,
            self.crash_history,
            self.completions,
            self.runs,
            self.jobs,
            self.load_shedder,
            self.cancellations,
            self.request_router,
            self.shutdown,
        )

    def _make_job_order(self):
        if self.context.settings.overload_order == "objective":
            return ObjectiveOrder(context=self.context)
        return CostOrder(
            context=self.context,
            shares=self.queue_shares,
            duration_estimator=self.duration_estimator,
        )

    def _subscribe(self):
        return {
            ConfigurationRead: self._on_configuration_read,
            ResourcesChanged: self._on_resources_changed,
            PeerMessageReceived: self._on_peer_message,
            StopRequested: self._on_stop,
            HousekeepingDue: self._on_housekeeping,
            ServersChanged: self.scheduler.request_pass,
            RunReleased: self.scheduler.request_pass,
        }

    def _on_configuration_read(self, event):
        self._apply_configuration(event.configuration, "store")

    def _on_resources_changed(self, event):
        context = self.context
        context.identity = attrs.evolve(
            context.identity, power=event.power, link_mbps=event.link_mbps
        )
        self.membership.introduce_again()

    def _on_peer_message(self, event):
        match event.message:
            case ConfigurationUpdate(configuration=configuration):
                self._apply_configuration(configuration, event.address)
            case EvacuationUpdate():
                self.evacuation_tracker.on_update(event.message, event.address)

    def _on_stop(self, event):
        self.context.is_stopping = True

    def _on_housekeeping(self, message):
        self.context.start_timer(HOUSEKEEPING_INTERVAL_MS, HousekeepingDue())
        self.scheduler.request_pass(message)

    def _apply_configuration(self, configuration: Configuration, source):
        context = self.context
        if configuration.version <= context.configuration.version:
            return
        context.log(
            LogCode.CONFIGURATION_CHANGED,
            f"version {configuration.version}",
            former=context.configuration.version,
            n_queues=len(configuration.queues),
            source=source,
        )
        context.configuration = configuration

    def _set_time(self, now_ms, wall_ms):
        self.context.now_ms = max(self.context.now_ms, now_ms)
        self.context.wall_ms = wall_ms

    def _fire_timers(self):
        context = self.context
        self._detect_pause()
        message = context.timers.pop_due(context.now_ms)
        while message is not None:
            self._deliver(message)
            self._deliver_posted()
            message = context.timers.pop_due(context.now_ms)

    def _detect_pause(self):
        """Deliver :class:`PauseDetected` before any input that arrived in the pause."""
        context = self.context
        due_ms = context.timers.find_next_due()
        late_ms = 0.0 if due_ms is None else context.now_ms - due_ms
        if late_ms > context.settings.lost_after_ms:
            self._deliver(PauseDetected(late_ms=late_ms))
            self._deliver_posted()

    def _process_messages(self, is_drained=False):
        """Deliver the posted messages, start tasks if due, and return the actions."""
        context = self.context
        self._deliver_posted()
        while is_drained and self.scheduler.is_pass_requested:
            self.scheduler.schedule()
            self._deliver_posted()
        actions = context.actions
        context.actions = []
        return actions

    def _deliver_posted(self):
        inbox = self.context.inbox
        while inbox:
            self._deliver(inbox.popleft())

    def _deliver(self, message):
        for handler in self._handlers_by_class.get(type(message), ()):
            handler(message)


def _describe_identity(context):
    identity = context.identity
    return {
        "name": identity.name,
        "zone": identity.zone,
        "incarnation": identity.incarnation,
    }


def _dump_peer(peer):
    return {
        "address": peer.address,
        "name": peer.heartbeat.name,
        "zone": peer.heartbeat.zone,
        "is_live": peer.is_live,
        "claims": [attrs.asdict(claim) for claim in peer.heartbeat.claims],
        "config_version": peer.heartbeat.config_version,
    }


def _dump_cell(election):
    return {
        "cell": election.cell,
        "owner": election.owner,
        "term": election.term,
    }


def _dump_server(server):
    return {
        "id": server.id,
        "cell": server.cell,
        "zone": server.record.zone,
        "ownership": server.ownership.value,
        "is_reachable": server.is_reachable,
        "is_draining": server.record.is_draining,
        "n_runs": len(server.run_by_name),
        "free_cpu": server.free.cpu,
        "slowness": round(server.slowness, 2),
        "relative_slowness": round(server.relative_slowness, 2),
        "kind_ratio": server.speed.get_kind_ratio(),
    }
