"""Health of backend servers: queries, probes, cancellations and reported load."""

import attrs

from ._actions import CancelAttempts, EventCode, QueryAttempts
from ._events import QueryFailed, ServerReported
from ._messages import (
    AttemptCancelRequested,
    AttemptQueryRequested,
    AttemptsLost,
    CancelFlushDue,
    ProbeDue,
    ServerProcessGone,
    ServerUnreachable,
)
from ._servers import Server, ServerHealth


@attrs.define(kw_only=True)
class _Batch:
    server: Server = None
    attempt_ids: list = attrs.field(factory=list)


class ServerMonitor:
    """Query servers about attempts, and track the health of each server.

    :param context: the shared :class:`Context`.
    :param attempts: the :class:`AttemptTable`.
    """

    def __init__(self, context=None, attempts=None):
        self.context = context
        self.attempts = attempts
        self._cancels_by_server = {}
        self._cancel_timer = None

    def subscribe(self):
        """Return handlers by message class."""
        return {
            ServerReported: self.on_report,
            QueryFailed: self.on_query_failed,
            ServerUnreachable: self.on_unreachable,
            AttemptQueryRequested: self.on_query_requested,
            AttemptCancelRequested: self.on_cancel_requested,
            CancelFlushDue: self.on_cancels_due,
            ProbeDue: self.on_probe_due,
        }

    def on_report(self, event):
        """Update the load of a server that reported; a suspect one recovers."""
        context = self.context
        server = context.servers.by_id.get(event.server_id)
        if server is None or server.incarnation != event.report.incarnation:
            return
        was_suspect = server.health is ServerHealth.SUSPECT
        if context.servers.apply_report(server, event.report, context.now_ms):
            context.log(EventCode.SERVER_LEAVING, server.id, "reported by the server")
        if was_suspect and server.health is ServerHealth.OK:
            context.log(EventCode.SERVER_RECOVERED, server.id)

    def on_query_failed(self, event):
        """Suspect a server that did not respond, and after several queries give it up.

        While the platform still lists the server, only attempts of repeatable work
        are given up; the others still wait for its response.
        """
        context = self.context
        server = context.servers.by_id.get(event.server_id)
        if server is None:
            return
        self._suspect(server, "no response")
        if server.n_unanswered < context.settings.n_lost_queries:
            return
        if server.is_listed:
            self._give_up_repeatable_attempts(server)
            return
        context.post(
            ServerProcessGone(server_id=server.id, incarnation=server.incarnation)
        )

    def on_unreachable(self, message):
        """Suspect a server that accepted no connection."""
        server = self.context.servers.by_id.get(message.server_id)
        if server is not None:
            self._suspect(server, message.detail)

    def on_query_requested(self, message):
        """Query attempts, with one message per server."""
        batches_by_server = {}
        for attempt in message.attempts:
            batch = batches_by_server.setdefault(
                id(attempt.server), _Batch(server=attempt.server)
            )
            batch.attempt_ids.append(attempt.attempt_id)
        for batch in batches_by_server.values():
            self._query(batch.server, tuple(batch.attempt_ids))

    def on_cancel_requested(self, message):
        """Collect cancellations for a short time, to send many in one message."""
        context = self.context
        attempt = message.attempt
        batch = self._cancels_by_server.setdefault(
            id(attempt.server), _Batch(server=attempt.server)
        )
        batch.attempt_ids.append(attempt.attempt_id)
        if self._cancel_timer is None:
            self._cancel_timer = context.start_timer(
                context.settings.cancel_window_ms, CancelFlushDue()
            )

    def on_cancels_due(self, message):
        """Send the collected cancellations, with one message per server."""
        context = self.context
        self._cancel_timer = None
        batches, self._cancels_by_server = self._cancels_by_server, {}
        for batch in batches.values():
            unique_ids = dict.fromkeys(batch.attempt_ids)
            open_ids = tuple(a for a in unique_ids if a in self.attempts.by_id)
            if open_ids:
                context.counters.n_cancels += 1
                context.emit(
                    CancelAttempts(server=batch.server.record, attempt_ids=open_ids)
                )

    def on_probe_due(self, message):
        """Probe a suspect server again, until it responds or is gone."""
        context = self.context
        server = message.server
        is_current = context.servers.by_id.get(server.id) is server
        if not is_current or server.health is not ServerHealth.SUSPECT:
            return
        self._query(server, tuple(server.attempt_ids))
        self._schedule_probe(server)

    def _query(self, server, attempt_ids):
        self.context.counters.n_queries += 1
        self.context.emit(QueryAttempts(server=server.record, attempt_ids=attempt_ids))

    def _suspect(self, server, detail):
        if self.context.servers.record_unreachable(server):
            self.context.log(EventCode.SERVER_SUSPECTED, server.id, detail)
            self._schedule_probe(server)

    def _schedule_probe(self, server):
        delay_ms = self.context.settings.probe_interval_ms
        self.context.start_timer(delay_ms, ProbeDue(server=server))

    def _give_up_repeatable_attempts(self, server):
        lost = [
            attempt
            for attempt in self.attempts.list_known(tuple(server.attempt_ids))
            if attempt.task.job.entry.is_repeatable
        ]
        if lost:
            self.context.post(AttemptsLost(attempts=tuple(lost)))
