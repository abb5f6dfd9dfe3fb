"""Fakes at the interfaces of a core: servers, peers, log."""

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

PLATFORM_MS = 0.8
CALL_TIMEOUT_MS = 1_000.0
READ_INTERVAL_MS = 500.0
ACCEPT_TIMEOUT_MS = 250.0


class FakeTransport:
    """Carry what cores ask for, with delays, losses and cuts.

    :param simulation: the :class:`Simulation`.
    """

    def __init__(self, simulation=None):
        self.simulation = simulation
        self._next_offset = {}

    def perform(self, node, action):
        """Perform an action of a node's core."""
        match action:
            case AnswerCaller():
                self.simulation.on_answer(node, action)
            case StartAttempts():
                self._start(node, action)
            case QueryAttempts():
                self._call(node, action, self._query)
            case CancelAttempts():
                self._call(node, action, self._cancel)
            case FenceJob():
                self._call(node, action, self._fence)
            case SendPeer():
                self._send_peer(node, action)
            case AppendRecord():
                self._append(node, action)
            case WriteLogEvent():
                self.simulation.oracle.record_event(node, action)
            case Exit():
                pass

    def start_log_tailing(self, node):
        """Let a node read both streams from the beginning."""
        for stream in (CATALOGUE_STREAM, CLAIMS_STREAM):
            self._next_offset[node.id, stream] = 0
            self._tail(node, node.generation, stream)

    def append_directly(self, stream, body):
        """Append a record as the platform does; return its offset."""
        simulation = self.simulation
        offset = simulation.log.append(stream, body, simulation.clock.now_ms)
        simulation.untrimmed_log.append(stream, body, simulation.clock.now_ms)
        for node in simulation.entries:
            if node.is_up:
                delay_ms = self._draw_platform_ms()
                simulation.clock.schedule(
                    delay_ms, self._read, node, node.generation, stream
                )
        return offset

    def schedule_next_attempt_end(self, server):
        """Look at a server again when its next attempt ends."""
        due_ms = server.model.find_next_due()
        is_known = server.wake_ms is not None and server.wake_ms <= (due_ms or 0.0)
        if due_ms is None or is_known:
            return
        server.wake_ms = due_ms
        delay_ms = due_ms - self.simulation.clock.now_ms
        self.simulation.clock.schedule(
            delay_ms, self._finish_attempts, server, server.generation, due_ms
        )

    def _finish_attempts(self, server, generation, due_ms):
        if server.generation != generation or server.wake_ms != due_ms:
            return
        server.wake_ms = None
        if server.model is None:
            return
        groups = {}
        for attempt in server.model.finish_due(self.simulation.clock.now_ms):
            groups.setdefault(attempt.connection, []).append(attempt.report)
        for connection, reports in groups.items():
            connection.send(server, server.model.make_report(reports))
        self.schedule_next_attempt_end(server)

    def _start(self, node, action):
        simulation = self.simulation
        server = self._find_server(action.server)
        connection = _Connection(
            transport=self, node=node, server=server, action=action
        )
        is_reachable = simulation.can_reach_zone(node.zone, server.zone)
        if not is_reachable and simulation.random_state.random() < 0.5:
            simulation.clock.schedule(CALL_TIMEOUT_MS, connection.fail_unsent)
            return
        if is_reachable and server.model is None:
            simulation.clock.schedule(
                self._draw_link_ms(node, server), connection.fail_unsent
            )
            return
        simulation.clock.schedule(self._draw_link_ms(node, server), connection.arrive)

    def _call(self, node, action, answer):
        simulation = self.simulation
        server = self._find_server(action.server)
        delay_ms = self._draw_link_ms(node, server)
        if not simulation.can_reach_zone(node.zone, server.zone):
            simulation.clock.schedule(
                CALL_TIMEOUT_MS, self._fail_call, node, node.generation, action
            )
            return
        simulation.clock.schedule(
            delay_ms, self._arrive_call, node, node.generation, server, action, answer
        )

    def _arrive_call(self, node, generation, server, action, answer):
        simulation = self.simulation
        if server.model is None:
            self._fail_call(node, generation, action)
            return
        event = answer(server, action)
        if not simulation.can_reach_zone(node.zone, server.zone):
            simulation.clock.schedule(
                CALL_TIMEOUT_MS, self._fail_call, node, generation, action
            )
            return
        delay_ms = self._draw_link_ms(node, server)
        simulation.clock.schedule(delay_ms, simulation.deliver, node, generation, event)

    def _fail_call(self, node, generation, action):
        server_id = action.server.instance_id
        event = QueryFailed(server_id=server_id)
        if isinstance(action, FenceJob):
            event = JobFenced(server_id=server_id, job_id=action.job_id)
        self.simulation.deliver(node, generation, event)

    def _query(self, server, action):
        report = server.model.make_report(server.model.query(action.attempt_ids))
        return ServerReported(server_id=server.id, report=report)

    def _cancel(self, server, action):
        report = server.model.make_report(server.model.cancel(action.attempt_ids))
        return ServerReported(server_id=server.id, report=report)

    def _fence(self, server, action):
        reports = server.model.fence(action.job_id, action.term)
        report = server.model.make_report(reports)
        return JobFenced(server_id=server.id, job_id=action.job_id, report=report)

    def _send_peer(self, node, action):
        simulation = self.simulation
        peer = next(e for e in simulation.entries if e.id == action.peer.instance_id)
        generation = node.generation
        if not simulation.can_reach_zone(node.zone, peer.zone):
            simulation.clock.schedule(
                CALL_TIMEOUT_MS, self._fail_peer, node, generation, action, True
            )
            return
        delay_ms = self._draw_link_ms(node, peer)
        simulation.clock.schedule(
            delay_ms, self._arrive_peer, node, generation, peer, action
        )

    def _arrive_peer(self, node, generation, peer, action):
        if not peer.is_up:
            self._fail_peer(node, generation, action, False)
            return
        event = PeerReceived(peer_id=node.id, message=action.message)
        self.simulation.deliver(peer, peer.generation, event)

    def _fail_peer(self, node, generation, action, may_have_arrived):
        event = PeerSendFailed(
            peer_id=action.peer.instance_id,
            message=action.message,
            may_have_arrived=may_have_arrived,
        )
        self.simulation.deliver(node, generation, event)

    def _append(self, node, action):
        simulation = self.simulation
        active_faults = simulation.active_faults
        delay_ms = self._draw_platform_ms()
        is_reachable = simulation.can_reach_platform(node.zone)
        if active_faults.is_log_down or not is_reachable:
            lands_late = simulation.random_state.random() < 0.2
            if lands_late:
                simulation.clock.schedule(
                    CALL_TIMEOUT_MS * simulation.random_state.random() * 4,
                    self.append_directly,
                    action.stream,
                    action.body,
                )
            event = AppendFailed(
                append_id=action.append_id, may_have_been_appended=lands_late
            )
            simulation.clock.schedule(
                CALL_TIMEOUT_MS, simulation.deliver, node, node.generation, event
            )
            return
        delay_ms += simulation.plan.sync_ms + active_faults.log_extra_ms
        simulation.clock.schedule(delay_ms, self._land, node, node.generation, action)

    def _land(self, node, generation, action):
        simulation = self.simulation
        offset = self.append_directly(action.stream, action.body)
        if simulation.random_state.random() < simulation.active_faults.reply_loss:
            event = AppendFailed(
                append_id=action.append_id, may_have_been_appended=True
            )
            delay_ms = CALL_TIMEOUT_MS
        else:
            event = AppendDone(append_id=action.append_id, offset=offset)
            delay_ms = self._draw_platform_ms()
        simulation.clock.schedule(delay_ms, simulation.deliver, node, generation, event)

    def _tail(self, node, generation, stream):
        simulation = self.simulation
        if node.generation != generation or not node.is_up:
            return
        self._read(node, generation, stream)
        simulation.clock.schedule(
            READ_INTERVAL_MS, self._tail, node, generation, stream
        )

    def _read(self, node, generation, stream):
        simulation = self.simulation
        if node.generation != generation or not node.is_up:
            return
        if simulation.active_faults.is_log_down or not simulation.can_reach_platform(
            node.zone
        ):
            simulation.deliver(node, generation, LogReadFailed(stream=stream))
            return
        batch = simulation.log.read(stream, self._next_offset[node.id, stream])
        self._next_offset[node.id, stream] = batch.next_offset
        simulation.deliver(node, generation, LogRead(stream=stream, batch=batch))

    def _find_server(self, record):
        return next(s for s in self.simulation.servers if s.id == record.instance_id)

    def _draw_link_ms(self, node, other):
        plan = self.simulation.plan
        return self._vary(
            plan.same_zone_delay_ms
            if node.zone == other.zone
            else plan.cross_zone_delay_ms
        )

    def _draw_platform_ms(self):
        return self._vary(PLATFORM_MS)

    def _vary(self, delay_ms):
        if not self.simulation.plan.has_jitter:
            return delay_ms
        return delay_ms * (0.5 + self.simulation.random_state.expovariate(1.0))


class _Connection:
    """One start's connection from a node to a server process."""

    def __init__(self, transport=None, node=None, server=None, action=None):
        self.transport = transport
        self.simulation = transport.simulation
        self.node = node
        self.generation = node.generation
        self.server = server
        self.action = action
        self.open_ids = [spec.attempt_id for spec in action.request.attempts]
        self.is_broken = False

    def fail_unsent(self):
        event = StartNotSent(server_id=self.server.id, attempt_ids=tuple(self.open_ids))
        self.simulation.deliver(self.node, self.generation, event)

    def arrive(self):
        simulation = self.simulation
        if not simulation.can_reach_zone(self.node.zone, self.server.zone):
            # TCP retransmits: the start arrives once the cut is healed.
            simulation.clock.schedule(300.0, self.arrive)
            return
        model = self.server.model
        if model is None:
            self._break()
            return
        is_lost = (
            simulation.random_state.random() < simulation.active_faults.connection_loss
        )
        if is_lost and not self.is_broken:
            # The start is lost, or only its results are, or it arrives late.
            simulation.clock.schedule(20.0, self._break)
            fate = simulation.random_state.random()
            if fate < 0.3:
                return
            if fate < 0.6:
                late_ms = simulation.random_state.uniform(20.0, 600.0)
                simulation.clock.schedule(late_ms, self.arrive_late)
                return
        self.arrive_late()

    def arrive_late(self):
        simulation = self.simulation
        model = self.server.model
        if model is None:
            return
        simulation.oracle.check_start_arrival(self.server)
        if model.faults.is_silent:
            simulation.clock.schedule(ACCEPT_TIMEOUT_MS, self._miss_head)
        refused = model.start(self.action.request, self, simulation.clock.now_ms)
        self.transport.schedule_next_attempt_end(self.server)
        if refused:
            self.send(self.server, model.make_report(refused))

    def send(self, server, report):
        is_silent = server.model is not None and server.model.faults.is_silent
        if self.is_broken or is_silent:
            return
        delay_ms = self.transport._draw_link_ms(self.node, server)
        self.simulation.clock.schedule(delay_ms, self._arrive_report, report)

    def _arrive_report(self, report):
        if not self.simulation.can_reach_zone(self.node.zone, self.server.zone):
            self.simulation.clock.schedule(300.0, self._arrive_report, report)
            return
        for item in report.reports:
            if item.attempt_id in self.open_ids:
                self.open_ids.remove(item.attempt_id)
        event = ServerReported(server_id=self.server.id, report=report)
        self.simulation.deliver(self.node, self.generation, event)

    def _miss_head(self):
        event = StartLost(server_id=self.server.id, attempt_ids=tuple(self.open_ids))
        self.simulation.deliver(self.node, self.generation, event)

    def _break(self):
        self.is_broken = True
        event = StartLost(server_id=self.server.id, attempt_ids=tuple(self.open_ids))
        self.simulation.deliver(self.node, self.generation, event)
