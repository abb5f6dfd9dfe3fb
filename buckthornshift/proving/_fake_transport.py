"""Fake transport between entry instances, backend servers and the log."""

from ..contracts import CATALOGUE_STREAM, CLAIMS_STREAM
from ..core import (
    AnswerCaller,
    AppendDone,
    AppendFailed,
    AppendRecord,
    CancelAttempts,
    Exit,
    FenceJob,
    JobFenced,
    LogRead,
    LogReadFailed,
    PeerReceived,
    PeerSendFailed,
    QueryAttempts,
    QueryFailed,
    SendPeer,
    ServerReported,
    StartAttempts,
    StartLost,
    StartNotSent,
    WriteLogEvent,
)

PLATFORM_DELAY_MS = 0.8
CALL_TIMEOUT_MS = 1_000.0
READ_INTERVAL_MS = 500.0
RESPONSE_HEADER_TIMEOUT_MS = 250.0


class FakeTransport:
    """Perform the actions of cores, subject to latency, loss and partitions.

    :param simulation: the :class:`Simulation`.
    """

    def __init__(self, simulation=None):
        self.simulation = simulation
        self._next_offset_by_stream = {}

    def perform(self, node, action):
        """Perform an action that the core of an entry instance returned.

        :param node: the :class:`EntryNode`.
        :param action: one of the actions of :mod:`buckthornshift.core`.
        """
        match action:
            case AnswerCaller():
                self.simulation.on_answer(node, action)
            case StartAttempts():
                self._send_start(node, action)
            case QueryAttempts():
                self._call_server(node, action, self._handle_query)
            case CancelAttempts():
                self._call_server(node, action, self._handle_cancel)
            case FenceJob():
                self._call_server(node, action, self._handle_fence)
            case SendPeer():
                self._send_peer(node, action)
            case AppendRecord():
                self._append_record(node, action)
            case WriteLogEvent():
                self.simulation.oracle.record_event(node, action)
            case Exit():
                pass

    def start_log_tailing(self, node):
        """Let an entry instance tail the catalogue and claims streams from offset 0."""
        for stream in (CATALOGUE_STREAM, CLAIMS_STREAM):
            self._next_offset_by_stream[node.id, stream] = 0
            self._tail_stream(node, node.generation, stream)

    def append_directly(self, stream, body):
        """Append a record at once and notify every running entry instance.

        :returns: the offset of the record.
        """
        simulation = self.simulation
        offset = simulation.log.append(stream, body, simulation.clock.now_ms)
        simulation.untrimmed_log.append(stream, body, simulation.clock.now_ms)
        for node in simulation.entries:
            if node.is_up:
                delay_ms = self._draw_platform_delay_ms()
                simulation.clock.schedule(
                    delay_ms, self._read_stream, node, node.generation, stream
                )
        return offset

    def schedule_next_attempt_end(self, server):
        """Schedule the report for when the next running attempt of a server ends."""
        due_ms = server.model.find_next_due()
        is_scheduled = (
            server.next_attempt_end_ms is not None
            and server.next_attempt_end_ms <= (due_ms or 0.0)
        )
        if due_ms is None or is_scheduled:
            return
        server.next_attempt_end_ms = due_ms
        delay_ms = due_ms - self.simulation.clock.now_ms
        self.simulation.clock.schedule(
            delay_ms, self._end_due_attempts, server, server.generation, due_ms
        )

    def _end_due_attempts(self, server, generation, due_ms):
        if server.generation != generation or server.next_attempt_end_ms != due_ms:
            return
        server.next_attempt_end_ms = None
        if server.model is None:
            return
        reports_by_connection = {}
        for attempt in server.model.finish_due(self.simulation.clock.now_ms):
            reports_by_connection.setdefault(attempt.connection, []).append(
                attempt.report
            )
        for connection, reports in reports_by_connection.items():
            connection.send_report(server, server.model.make_report(reports))
        self.schedule_next_attempt_end(server)

    def _send_start(self, node, action):
        simulation = self.simulation
        server = self._find_server(action.server)
        connection = _Connection(
            transport=self, node=node, server=server, action=action
        )
        is_reachable = simulation.can_reach_zone(node.zone, server.zone)
        if not is_reachable and simulation.random_state.random() < 0.5:
            simulation.clock.schedule(CALL_TIMEOUT_MS, connection.report_not_sent)
            return
        if is_reachable and server.model is None:
            simulation.clock.schedule(
                self._draw_link_delay_ms(node, server), connection.report_not_sent
            )
            return
        simulation.clock.schedule(
            self._draw_link_delay_ms(node, server), connection.deliver_start
        )

    def _call_server(self, node, action, handle):
        simulation = self.simulation
        server = self._find_server(action.server)
        delay_ms = self._draw_link_delay_ms(node, server)
        if not simulation.can_reach_zone(node.zone, server.zone):
            simulation.clock.schedule(
                CALL_TIMEOUT_MS, self._report_failed_call, node, node.generation, action
            )
            return
        simulation.clock.schedule(
            delay_ms, self._handle_call, node, node.generation, server, action, handle
        )

    def _handle_call(self, node, generation, server, action, handle):
        simulation = self.simulation
        if server.model is None:
            self._report_failed_call(node, generation, action)
            return
        event = handle(server, action)
        if not simulation.can_reach_zone(node.zone, server.zone):
            simulation.clock.schedule(
                CALL_TIMEOUT_MS, self._report_failed_call, node, generation, action
            )
            return
        delay_ms = self._draw_link_delay_ms(node, server)
        simulation.clock.schedule(delay_ms, simulation.deliver, node, generation, event)

    def _report_failed_call(self, node, generation, action):
        server_id = action.server.instance_id
        event = QueryFailed(server_id=server_id)
        if isinstance(action, FenceJob):
            event = JobFenced(server_id=server_id, job_id=action.job_id)
        self.simulation.deliver(node, generation, event)

    def _handle_query(self, server, action):
        report = server.model.make_report(server.model.query(action.attempt_ids))
        return ServerReported(server_id=server.id, report=report)

    def _handle_cancel(self, server, action):
        report = server.model.make_report(server.model.cancel(action.attempt_ids))
        return ServerReported(server_id=server.id, report=report)

    def _handle_fence(self, server, action):
        reports = server.model.fence(action.job_id, action.term)
        report = server.model.make_report(reports)
        return JobFenced(server_id=server.id, job_id=action.job_id, report=report)

    def _send_peer(self, node, action):
        simulation = self.simulation
        peer = next(e for e in simulation.entries if e.id == action.peer.instance_id)
        generation = node.generation
        if not simulation.can_reach_zone(node.zone, peer.zone):
            simulation.clock.schedule(
                CALL_TIMEOUT_MS,
                self._report_failed_peer_send,
                node,
                generation,
                action,
                True,
            )
            return
        delay_ms = self._draw_link_delay_ms(node, peer)
        simulation.clock.schedule(
            delay_ms, self._deliver_to_peer, node, generation, peer, action
        )

    def _deliver_to_peer(self, node, generation, peer, action):
        if not peer.is_up:
            self._report_failed_peer_send(node, generation, action, False)
            return
        event = PeerReceived(peer_id=node.id, message=action.message)
        self.simulation.deliver(peer, peer.generation, event)

    def _report_failed_peer_send(self, node, generation, action, may_have_arrived):
        event = PeerSendFailed(
            peer_id=action.peer.instance_id,
            message=action.message,
            may_have_arrived=may_have_arrived,
        )
        self.simulation.deliver(node, generation, event)

    def _append_record(self, node, action):
        simulation = self.simulation
        active_faults = simulation.active_faults
        delay_ms = self._draw_platform_delay_ms()
        is_reachable = simulation.can_reach_platform(node.zone)
        if active_faults.is_log_down or not is_reachable:
            is_committed_late = simulation.random_state.random() < 0.2
            if is_committed_late:
                simulation.clock.schedule(
                    CALL_TIMEOUT_MS * simulation.random_state.random() * 4,
                    self.append_directly,
                    action.stream,
                    action.body,
                )
            event = AppendFailed(
                append_id=action.append_id, may_have_been_appended=is_committed_late
            )
            simulation.clock.schedule(
                CALL_TIMEOUT_MS, simulation.deliver, node, node.generation, event
            )
            return
        delay_ms += simulation.plan.sync_ms + active_faults.log_extra_ms
        simulation.clock.schedule(
            delay_ms, self._commit_append, node, node.generation, action
        )

    def _commit_append(self, node, generation, action):
        simulation = self.simulation
        offset = self.append_directly(action.stream, action.body)
        if simulation.random_state.random() < simulation.active_faults.reply_loss:
            event = AppendFailed(
                append_id=action.append_id, may_have_been_appended=True
            )
            delay_ms = CALL_TIMEOUT_MS
        else:
            event = AppendDone(append_id=action.append_id, offset=offset)
            delay_ms = self._draw_platform_delay_ms()
        simulation.clock.schedule(delay_ms, simulation.deliver, node, generation, event)

    def _tail_stream(self, node, generation, stream):
        simulation = self.simulation
        if node.generation != generation or not node.is_up:
            return
        self._read_stream(node, generation, stream)
        simulation.clock.schedule(
            READ_INTERVAL_MS, self._tail_stream, node, generation, stream
        )

    def _read_stream(self, node, generation, stream):
        simulation = self.simulation
        if node.generation != generation or not node.is_up:
            return
        if simulation.active_faults.is_log_down or not simulation.can_reach_platform(
            node.zone
        ):
            simulation.deliver(node, generation, LogReadFailed(stream=stream))
            return
        batch = simulation.log.read(
            stream, self._next_offset_by_stream[node.id, stream]
        )
        self._next_offset_by_stream[node.id, stream] = batch.next_offset
        simulation.deliver(node, generation, LogRead(stream=stream, batch=batch))

    def _find_server(self, record):
        return next(s for s in self.simulation.servers if s.id == record.instance_id)

    def _draw_link_delay_ms(self, node, other):
        plan = self.simulation.plan
        return self._add_jitter(
            plan.same_zone_delay_ms
            if node.zone == other.zone
            else plan.cross_zone_delay_ms
        )

    def _draw_platform_delay_ms(self):
        return self._add_jitter(PLATFORM_DELAY_MS)

    def _add_jitter(self, delay_ms):
        if not self.simulation.plan.has_jitter:
            return delay_ms
        return delay_ms * (0.5 + self.simulation.random_state.expovariate(1.0))


class _Connection:
    """Connection that carries one start request and the results of its attempts."""

    def __init__(self, transport=None, node=None, server=None, action=None):
        self.transport = transport
        self.simulation = transport.simulation
        self.node = node
        self.generation = node.generation
        self.server = server
        self.action = action
        self.open_attempt_ids = [spec.attempt_id for spec in action.request.attempts]
        self.is_broken = False

    def report_not_sent(self):
        event = StartNotSent(
            server_id=self.server.id, attempt_ids=tuple(self.open_attempt_ids)
        )
        self.simulation.deliver(self.node, self.generation, event)

    def deliver_start(self):
        simulation = self.simulation
        if not simulation.can_reach_zone(self.node.zone, self.server.zone):
            # TCP retransmits: the start arrives once the partition has healed.
            simulation.clock.schedule(300.0, self.deliver_start)
            return
        model = self.server.model
        if model is None:
            self._break_connection()
            return
        is_lost = (
            simulation.random_state.random() < simulation.active_faults.connection_loss
        )
        if is_lost and not self.is_broken:
            # The server never gets the start, gets it late, or gets it at once while
            # only the results are lost.
            simulation.clock.schedule(20.0, self._break_connection)
            draw = simulation.random_state.random()
            if draw < 0.3:
                return
            if draw < 0.6:
                late_ms = simulation.random_state.uniform(20.0, 600.0)
                simulation.clock.schedule(late_ms, self.start_attempts)
                return
        self.start_attempts()

    def start_attempts(self):
        simulation = self.simulation
        model = self.server.model
        if model is None:
            return
        simulation.oracle.check_start_arrival(self.server)
        if model.faults.is_silent:
            simulation.clock.schedule(
                RESPONSE_HEADER_TIMEOUT_MS, self._report_response_timeout
            )
        refused = model.start(self.action.request, self, simulation.clock.now_ms)
        self.transport.schedule_next_attempt_end(self.server)
        if refused:
            self.send_report(self.server, model.make_report(refused))

    def send_report(self, server, report):
        is_silent = server.model is not None and server.model.faults.is_silent
        if self.is_broken or is_silent:
            return
        delay_ms = self.transport._draw_link_delay_ms(self.node, server)
        self.simulation.clock.schedule(delay_ms, self._deliver_report, report)

    def _deliver_report(self, report):
        if not self.simulation.can_reach_zone(self.node.zone, self.server.zone):
            self.simulation.clock.schedule(300.0, self._deliver_report, report)
            return
        for attempt_report in report.reports:
            if attempt_report.attempt_id in self.open_attempt_ids:
                self.open_attempt_ids.remove(attempt_report.attempt_id)
        event = ServerReported(server_id=self.server.id, report=report)
        self.simulation.deliver(self.node, self.generation, event)

    def _report_response_timeout(self):
        event = StartLost(
            server_id=self.server.id, attempt_ids=tuple(self.open_attempt_ids)
        )
        self.simulation.deliver(self.node, self.generation, event)

    def _break_connection(self):
        self.is_broken = True
        event = StartLost(
            server_id=self.server.id, attempt_ids=tuple(self.open_attempt_ids)
        )
        self.simulation.deliver(self.node, self.generation, event)
