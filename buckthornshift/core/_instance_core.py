"""Core of an instance: it turns events into actions and does no I/O itself."""

import attrs

from ._answer_delivery import AnswerDelivery
from ._attempt_outcomes import AttemptOutcomeHandler
from ._attempts import AttemptTable
from ._context import Context
from ._drain import Drain
from ._events import TimeAdvanced
from ._log_processor import LogProcessor
from ._membership import Membership
from ._messages import HousekeepingDue
from ._peer_requests import PeerRequestTracker
from ._recovery import JobRecovery
from ._server_monitor import ServerMonitor
from ._settings import CoreSettings, EntryIdentity
from ._submission import SubmissionHandler
from ._task_scheduler import TaskScheduler


class InstanceCore:
    """Deterministic core of an instance.

    It reads no clock, opens no socket and has no random source of its own: time,
    randomness and identity are passed in, so that the same code runs in production
    and in the simulator with a virtual clock. Its components exchange messages,
    which are delivered in the order in which they were posted.

    :param identity: the :class:`EntryIdentity`.
    :param settings: the :class:`CoreSettings`.
    :param random_state: a :class:`random.Random`.
    """

    def __init__(self, identity=None, settings=None, random_state=None):
        self.context = Context(
            identity=identity or EntryIdentity(),
            settings=settings or CoreSettings(),
            random_state=random_state,
        )
        self.attempts = AttemptTable(context=self.context)
        self.scheduler = TaskScheduler(context=self.context, attempts=self.attempts)
        self.peer_requests = PeerRequestTracker(context=self.context)
        self.drain = Drain(context=self.context, peer_requests=self.peer_requests)
        self.membership = Membership(context=self.context)
        self._handlers_by_class = {}
        components = (
            self.membership,
            SubmissionHandler(context=self.context),
            LogProcessor(context=self.context),
            self.scheduler,
            AttemptOutcomeHandler(context=self.context, attempts=self.attempts),
            ServerMonitor(context=self.context, attempts=self.attempts),
            AnswerDelivery(context=self.context),
            self.peer_requests,
            JobRecovery(context=self.context),
            self.drain,
        )
        for component in components:
            for message_class, handler in component.subscribe().items():
                self._handlers_by_class.setdefault(message_class, []).append(handler)

    def start(self, now_ms, wall_ms):
        """Start the instance at a given time.

        :param now_ms: monotonic time in milliseconds.
        :param wall_ms: milliseconds since the epoch.
        :returns: list of actions for the caller to perform.
        """
        self._set_time(now_ms, wall_ms)
        self.context.log_health.last_success_ms = now_ms
        self.context.post(HousekeepingDue())
        return self._process_messages()

    def handle(self, event, now_ms, wall_ms):
        """Handle one event, after the timers that are due.

        :param event: one of the event classes of this package.
        :param now_ms: monotonic time in milliseconds.
        :param wall_ms: milliseconds since the epoch.
        :returns: list of actions for the caller to perform.
        """
        self._set_time(now_ms, wall_ms)
        self._fire_timers()
        if not isinstance(event, TimeAdvanced):
            self.context.post(event)
        return self._process_messages()

    def find_next_due(self):
        """Return when the next timer is due, or ``None`` if there is none."""
        return self.context.timers.find_next_due()

    def find_job(self, job_id):
        """Return a job that this instance coordinates, or ``None``."""
        return self.context.jobs.find(job_id)

    def dump(self):
        """Return the state as plain values, for operators to inspect."""
        context = self.context
        return {
            "identity": attrs.asdict(context.identity),
            "is_draining": context.is_draining,
            "catalogue": self._dump_catalogue(),
            "log": self._dump_log(),
            "jobs": self._dump_jobs(),
            "servers": [_dump_server(s) for s in context.servers.by_id.values()],
            "peers": [_dump_peer(p) for p in context.peers.by_id.values()],
            "counters": attrs.asdict(context.counters),
        }

    def _set_time(self, now_ms, wall_ms):
        self.context.now_ms = max(self.context.now_ms, now_ms)
        self.context.wall_ms = wall_ms

    def _fire_timers(self):
        context = self.context
        message = context.timers.pop_due(context.now_ms)
        while message is not None:
            self._deliver(message)
            self._deliver_messages()
            message = context.timers.pop_due(context.now_ms)

    def _process_messages(self):
        context = self.context
        self._deliver_messages()
        self.scheduler.start_waiting_tasks()
        self.membership.broadcast_demand()
        self._deliver_messages()
        actions = context.actions
        context.actions = []
        return actions

    def _deliver_messages(self):
        inbox = self.context.inbox
        while inbox:
            self._deliver(inbox.popleft())

    def _deliver(self, message):
        for handler in self._handlers_by_class.get(type(message), ()):
            handler(message)

    def _dump_catalogue(self):
        catalogue = self.context.catalogue
        return {
            "is_ready": catalogue.is_ready,
            "version": catalogue.version,
            "covers": catalogue.covers,
            "n_items": len(catalogue.items_by_key),
        }

    def _dump_log(self):
        context = self.context
        return {
            "is_out_of_reach": context.log_health.is_unreachable,
            "claims_ready": context.claims.is_ready,
            "claims_covers": context.claims.covers,
            "claims_floor_ms": context.claims.floor_ms,
            "n_claims": len(context.claims.by_job),
            "n_pending_claims": len(context.writer.claims_by_job),
            "n_pending_outcomes": len(context.writer.outcomes_by_job),
            "n_appends": context.writer.n_appends,
        }

    def _dump_jobs(self):
        context = self.context
        return {
            "n_open": context.jobs.n_open,
            "n_queued_tasks": context.queue.n_tasks,
            "n_open_attempts": len(self.attempts.by_id),
            "n_kept_answers": len(context.jobs.answered_by_id),
            "kept_answer_bytes": context.jobs.n_answer_bytes,
            "n_open_questions": len(self.peer_requests.by_request_id),
            "work_in_flight_ms": context.work_in_flight_ms,
        }


def _dump_server(server):
    return {
        "id": server.id,
        "zone": server.record.zone,
        "incarnation": server.incarnation,
        "health": server.health.value,
        "is_listed": server.is_listed,
        "is_leaving": server.is_leaving,
        "is_own": server.is_preferred,
        "n_own_running": len(server.attempt_ids),
        "n_others_running": server.n_others_running,
        "n_failures": server.n_failures,
    }


def _dump_peer(peer):
    return {
        "id": peer.record.instance_id,
        "zone": peer.record.zone,
        "incarnation": peer.record.incarnation,
        "is_leaving": peer.record.is_leaving,
        "is_reachable": peer.is_reachable,
    }
