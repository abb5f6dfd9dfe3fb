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


class FakeLinks:
    """Carry what cores ask for, with delays, losses and cuts.

    :param world: the :class:`World`.
    """

    def __init__(self, world=None):
        self.world = world
        self._next_offset = {}

    def perform(self, node, action):
        """Perform an action of a node's core."""
        match action:
            case AnswerCaller():
                self.world.answer_entry(node, action)
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
                self.world.oracle.note_event(node, action)
            case Exit():
                pass

    def start_tails(self, node):
        """Let a node read both streams from the beginning."""
        for stream in (CATALOGUE_STREAM, CLAIMS_STREAM):
            self._next_offset[node.id, stream] = 0
            self._tail(node, node.generation, stream)

    def append_directly(self, stream, body):
        """Append a record as the platform does; return its offset."""
        world = self.world
        offset = world.log.append(stream, body, world.clock.now_ms)
        world.full_log.append(stream, body, world.clock.now_ms)
        for node in world.entries:
            if node.is_up:
                delay_ms = self._draw_platform_ms()
                world.clock.schedule(
                    delay_ms, self._read, node, node.generation, stream
                )
        return offset

    def schedule_finish(self, server):
        """Look at a server again when its next attempt ends."""
        due_ms = server.model.find_next_due()
        is_known = server.wake_ms is not None and server.wake_ms <= (due_ms or 0.0)
        if due_ms is None or is_known:
            return
        server.wake_ms = due_ms
        delay_ms = due_ms - self.world.clock.now_ms
        self.world.clock.schedule(
            delay_ms, self._finish_attempts, server, server.generation, due_ms
        )

    def _finish_attempts(self, server, generation, due_ms):
        if server.generation != generation or server.wake_ms != due_ms:
            return
        server.wake_ms = None
        if server.model is None:
            return
        groups = {}
        for attempt in server.model.finish_due(self.world.clock.now_ms):
            groups.setdefault(attempt.connection, []).append(attempt.report)
        for connection, reports in groups.items():
            connection.send(server, server.model.make_report(reports))
        self.schedule_finish(server)

    def _start(self, node, action):
        world = self.world
        server = self._find_server(action.server)
        connection = _Connection(links=self, node=node, server=server, action=action)
        is_reachable = world.can_reach_zone(node.zone, server.zone)
        if not is_reachable and world.random_state.random() < 0.5:
            world.clock.schedule(CALL_TIMEOUT_MS, connection.fail_unsent)
            return
        if is_reachable and server.model is None:
            world.clock.schedule(
                self._draw_link_ms(node, server), connection.fail_unsent
            )
            return
        world.clock.schedule(self._draw_link_ms(node, server), connection.arrive)

    def _call(self, node, action, answer):
        world = self.world
        server = self._find_server(action.server)
        delay_ms = self._draw_link_ms(node, server)
        if not world.can_reach_zone(node.zone, server.zone):
            world.clock.schedule(
                CALL_TIMEOUT_MS, self._fail_call, node, node.generation, action
            )
            return
        world.clock.schedule(
            delay_ms, self._arrive_call, node, node.generation, server, action, answer
        )

    def _arrive_call(self, node, generation, server, action, answer):
        world = self.world
        if server.model is None:
            self._fail_call(node, generation, action)
            return
        event = answer(server, action)
        if not world.can_reach_zone(node.zone, server.zone):
            world.clock.schedule(
                CALL_TIMEOUT_MS, self._fail_call, node, generation, action
            )
            return
        delay_ms = self._draw_link_ms(node, server)
        world.clock.schedule(delay_ms, world.deliver, node, generation, event)

    def _fail_call(self, node, generation, action):
        server_id = action.server.instance_id
        event = QueryFailed(server_id=server_id)
        if isinstance(action, FenceJob):
            event = JobFenced(server_id=server_id, job_id=action.job_id)
        self.world.deliver(node, generation, event)

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
        world = self.world
        peer = next(e for e in world.entries if e.id == action.peer.instance_id)
        generation = node.generation
        if not world.can_reach_zone(node.zone, peer.zone):
            world.clock.schedule(
                CALL_TIMEOUT_MS, self._fail_peer, node, generation, action, True
            )
            return
        delay_ms = self._draw_link_ms(node, peer)
        world.clock.schedule(
            delay_ms, self._arrive_peer, node, generation, peer, action
        )

    def _arrive_peer(self, node, generation, peer, action):
        if not peer.is_up:
            self._fail_peer(node, generation, action, False)
            return
        event = PeerReceived(peer_id=node.id, message=action.message)
        self.world.deliver(peer, peer.generation, event)

    def _fail_peer(self, node, generation, action, may_have_arrived):
        event = PeerSendFailed(
            peer_id=action.peer.instance_id,
            message=action.message,
            may_have_arrived=may_have_arrived,
        )
        self.world.deliver(node, generation, event)

    def _append(self, node, action):
        world = self.world
        conditions = world.conditions
        delay_ms = self._draw_platform_ms()
        is_reachable = world.can_reach_platform(node.zone)
        if conditions.is_log_down or not is_reachable:
            lands_late = world.random_state.random() < 0.2
            if lands_late:
                world.clock.schedule(
                    CALL_TIMEOUT_MS * world.random_state.random() * 4,
                    self.append_directly,
                    action.stream,
                    action.body,
                )
            event = AppendFailed(
                append_id=action.append_id, may_have_been_appended=lands_late
            )
            world.clock.schedule(
                CALL_TIMEOUT_MS, world.deliver, node, node.generation, event
            )
            return
        delay_ms += world.plan.sync_ms + conditions.log_extra_ms
        world.clock.schedule(delay_ms, self._land, node, node.generation, action)

    def _land(self, node, generation, action):
        world = self.world
        offset = self.append_directly(action.stream, action.body)
        if world.random_state.random() < world.conditions.reply_loss:
            event = AppendFailed(
                append_id=action.append_id, may_have_been_appended=True
            )
            delay_ms = CALL_TIMEOUT_MS
        else:
            event = AppendDone(append_id=action.append_id, offset=offset)
            delay_ms = self._draw_platform_ms()
        world.clock.schedule(delay_ms, world.deliver, node, generation, event)

    def _tail(self, node, generation, stream):
        world = self.world
        if node.generation != generation or not node.is_up:
            return
        self._read(node, generation, stream)
        world.clock.schedule(READ_INTERVAL_MS, self._tail, node, generation, stream)

    def _read(self, node, generation, stream):
        world = self.world
        if node.generation != generation or not node.is_up:
            return
        if world.conditions.is_log_down or not world.can_reach_platform(node.zone):
            world.deliver(node, generation, LogReadFailed(stream=stream))
            return
        batch = world.log.read(stream, self._next_offset[node.id, stream])
        self._next_offset[node.id, stream] = batch.next_offset
        world.deliver(node, generation, LogRead(stream=stream, batch=batch))

    def _find_server(self, record):
        return next(s for s in self.world.servers if s.id == record.instance_id)

    def _draw_link_ms(self, node, other):
        plan = self.world.plan
        return self._vary(plan.near_ms if node.zone == other.zone else plan.zone_ms)

    def _draw_platform_ms(self):
        return self._vary(PLATFORM_MS)

    def _vary(self, delay_ms):
        if not self.world.plan.is_jittery:
            return delay_ms
        return delay_ms * (0.5 + self.world.random_state.expovariate(1.0))


class _Connection:
    """One start's connection from a node to a server process."""

    def __init__(self, links=None, node=None, server=None, action=None):
        self.links = links
        self.world = links.world
        self.node = node
        self.generation = node.generation
        self.server = server
        self.action = action
        self.open_ids = [spec.attempt_id for spec in action.request.attempts]
        self.is_broken = False

    def fail_unsent(self):
        event = StartNotSent(server_id=self.server.id, attempt_ids=tuple(self.open_ids))
        self.world.deliver(self.node, self.generation, event)

    def arrive(self):
        world = self.world
        if not world.can_reach_zone(self.node.zone, self.server.zone):
            # TCP retransmits: the start arrives once the cut is healed.
            world.clock.schedule(300.0, self.arrive)
            return
        model = self.server.model
        if model is None:
            self._break()
            return
        is_lost = world.random_state.random() < world.conditions.connection_loss
        if is_lost and not self.is_broken:
            # The start is lost, or only its results are, or it arrives late.
            world.clock.schedule(20.0, self._break)
            fate = world.random_state.random()
            if fate < 0.3:
                return
            if fate < 0.6:
                late_ms = world.random_state.uniform(20.0, 600.0)
                world.clock.schedule(late_ms, self.arrive_late)
                return
        self.arrive_late()

    def arrive_late(self):
        world = self.world
        model = self.server.model
        if model is None:
            return
        world.oracle.note_arrival(self.server)
        if model.faults.is_silent:
            world.clock.schedule(ACCEPT_TIMEOUT_MS, self._miss_head)
        refused = model.start(self.action.request, self, world.clock.now_ms)
        self.links.schedule_finish(self.server)
        if refused:
            self.send(self.server, model.make_report(refused))

    def send(self, server, report):
        is_silent = server.model is not None and server.model.faults.is_silent
        if self.is_broken or is_silent:
            return
        delay_ms = self.links._draw_link_ms(self.node, server)
        self.world.clock.schedule(delay_ms, self._arrive_report, report)

    def _arrive_report(self, report):
        if not self.world.can_reach_zone(self.node.zone, self.server.zone):
            self.world.clock.schedule(300.0, self._arrive_report, report)
            return
        for item in report.reports:
            if item.attempt_id in self.open_ids:
                self.open_ids.remove(item.attempt_id)
        event = ServerReported(server_id=self.server.id, report=report)
        self.world.deliver(self.node, self.generation, event)

    def _miss_head(self):
        event = StartLost(server_id=self.server.id, attempt_ids=tuple(self.open_ids))
        self.world.deliver(self.node, self.generation, event)

    def _break(self):
        self.is_broken = True
        event = StartLost(server_id=self.server.id, attempt_ids=tuple(self.open_ids))
        self.world.deliver(self.node, self.generation, event)
