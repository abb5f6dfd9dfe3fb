"""Links of a run: between instances, to servers; cuts, silence, late orders."""

import attrs

from ...dispatch import (
    PeerConnected,
    PeerMessageReceived,
    RenewalAnswered,
    RenewLease,
    StartAnswered,
    StartRun,
    StopAnswered,
    StopRun,
    Verdict,
)

LATE_ORDER_MS = (2_000.0, 6_000.0)
CONNECT_TIMEOUT_MS = 300.0


@attrs.define(kw_only=True)
class Troubles:
    """What is wrong with the network at the moment.

    :param cut_zones: zones cut off from the others.
    :param cut_nodes: instances cut off from all other machines.
    :param one_way: pairs of sites of which the first is not heard by the second.
    :param cut_servers: servers that nobody reaches.
    :param late_share: share of orders without an answer that are carried out late.
    :param lost_share: share of orders that are carried out without an answer.
    """

    cut_zones: set = attrs.field(factory=set)
    cut_nodes: set = attrs.field(factory=set)
    one_way: set = attrs.field(factory=set)
    cut_servers: set = attrs.field(factory=set)
    late_share: float = 0.0
    lost_share: float = 0.0


class FleetNetwork:
    """Carry messages and orders with delays and troubles.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        self.troubles = Troubles()
        self._link_by_pair = {}

    def can_reach(self, source, target):
        """Return whether bytes of one site arrive at another.

        :param source: a node or server with ``name`` and ``zone``.
        :param target: another.
        """
        troubles = self.troubles
        if (source.name, target.name) in troubles.one_way:
            return False
        names = {source.name, target.name}
        if names & troubles.cut_nodes or names & troubles.cut_servers:
            return False
        if source.zone == target.zone:
            return True
        return not {source.zone, target.zone} & troubles.cut_zones

    def silence_links(self, share):
        """Let a share of the open links between instances carry nothing more."""
        for pair in list(self._link_by_pair):
            if self.world.random_state.random() < share:
                self._link_by_pair[pair] = None

    def dial(self, node, address):
        """Open a link from an instance to another."""
        world = self.world
        target = world.find_node(address)
        self._link_by_pair.pop((node.key, address), None)
        if target is None or target.core is None:
            return
        delay_ms = 2.0 * self._draw_delay(node, target)
        world.clock.schedule(delay_ms, self._open, node, node.key, address)

    def send(self, node, action):
        """Send a message over an open link, if it is one."""
        world = self.world
        pair = (node.key, action.address)
        target_key = self._link_by_pair.get(pair)
        target = world.find_node(action.address)
        if target_key is None or target is None or target.key != target_key:
            return
        delay_ms = self._draw_delay(node, target)
        world.clock.schedule(delay_ms, self._arrive, node, node.key, target_key, action)

    def order(self, node, action):
        """Carry an order to a server and its answer back."""
        world = self.world
        server = world.find_server(action.server.server_id)
        random_state = world.random_state
        if server is None or server.model is None:
            self._answer_later(node, action, Verdict.NOT_SENT, 1.0)
            return
        if not self.can_reach(node, server):
            verdict = random_state.choice((Verdict.NOT_SENT, Verdict.NO_ANSWER))
            self._answer_later(node, action, verdict, self._read_timeout(action))
            return
        fate = random_state.random()
        delay_ms = self._draw_delay(node, server)
        if fate < self.troubles.late_share:
            late_ms = random_state.uniform(*LATE_ORDER_MS)
            world.clock.schedule(late_ms, self._execute, server, action)
            timeout_ms = self._read_timeout(action)
            self._answer_later(node, action, Verdict.NO_ANSWER, timeout_ms)
            return
        is_lost = fate < self.troubles.late_share + self.troubles.lost_share
        world.clock.schedule(
            delay_ms, self._arrive_order, node, node.key, server, action, is_lost
        )

    def _open(self, node, key, address):
        target = self.world.find_node(address)
        is_there = node.key == key and target is not None and target.core is not None
        if not is_there or not self.can_reach(node, target):
            return
        if not self.can_reach(target, node):
            return
        self._link_by_pair[key, address] = target.key
        self.world.deliver(node, key, PeerConnected(address=address))

    def _arrive(self, node, node_key, target_key, action):
        target = self.world.find_node(action.address)
        is_same = target is not None and target.key == target_key
        if not is_same or not self.can_reach(node, target):
            return
        event = PeerMessageReceived(
            address=node_key[0], incarnation=node_key[1], message=action.message
        )
        self.world.deliver(target, target_key, event)

    def _arrive_order(self, node, key, server, action, is_lost):
        world = self.world
        if server.model is None or not self.can_reach(node, server):
            self._answer_later(node, action, Verdict.NO_ANSWER, 250.0, key)
            return
        answer = self._execute(server, action)
        if is_lost:
            self._answer_later(node, action, Verdict.NO_ANSWER, 250.0, key)
            return
        is_waiting = isinstance(action, RenewLease) and action.wait_ms > 0
        if is_waiting and answer.verdict is Verdict.DONE and not answer.ended:
            end_ms = world.clock.now_ms + action.wait_ms
            server.waiting.append((node, key, action, end_ms))
            world.clock.schedule(action.wait_ms, self.serve_waiting, server)
            return
        self._return(node, key, server, action, answer)

    def serve_waiting(self, server):
        """Answer the renewals that wait at a server, if it is time."""
        world = self.world
        waiting, server.waiting = server.waiting, []
        for node, key, action, end_ms in waiting:
            if server.model is None:
                self._answer_later(node, action, Verdict.NO_ANSWER, 1.0, key)
                continue
            answer = server.model.look(world.clock.now_ms)
            if answer.ended or world.clock.now_ms >= end_ms - 0.01:
                self._return(node, key, server, action, answer)
            else:
                server.waiting.append((node, key, action, end_ms))

    def _execute(self, server, action):
        if server.model is None or server.model.server_id != action.server.server_id:
            return None
        now_ms = self.world.clock.now_ms
        match action:
            case StartRun():
                answer = server.model.start(action, now_ms)
            case StopRun():
                answer = server.model.stop(action, now_ms)
            case RenewLease():
                answer = server.model.hold(action, now_ms)
        self.world.schedule_server(server)
        return answer

    def _return(self, node, key, server, action, answer):
        if not self.can_reach(server, node):
            self._answer_later(node, action, Verdict.NO_ANSWER, 250.0, key)
            return
        delay_ms = self._draw_delay(server, node)
        event = _make_event(action, answer.verdict, answer)
        self.world.clock.schedule(delay_ms, self.world.deliver, node, key, event)

    def _answer_later(self, node, action, verdict, delay_ms, key=None):
        event = _make_event(action, verdict, None)
        self.world.clock.schedule(
            delay_ms, self.world.deliver, node, key or node.key, event
        )

    def _read_timeout(self, action):
        return 250.0 + getattr(action, "wait_ms", 0)

    def _draw_delay(self, source, target):
        plan = self.world.plan
        base_ms = plan.near_ms if source.zone == target.zone else plan.zone_ms
        return base_ms * (0.5 + self.world.random_state.expovariate(1.0))


def _make_event(action, verdict, answer):
    clock_ms = None if answer is None else answer.clock_ms
    match action:
        case StartRun() | StopRun():
            cls = StartAnswered if isinstance(action, StartRun) else StopAnswered
            return cls(
                server_id=action.server.server_id,
                task=action.task,
                run=action.run,
                verdict=verdict,
                clock_ms=clock_ms,
            )
        case RenewLease():
            return RenewalAnswered(
                server_id=action.server.server_id,
                token=action.token,
                sent_ms=action.sent_ms,
                verdict=verdict,
                clock_ms=clock_ms,
                running=() if answer is None else answer.running,
                ended=() if answer is None else answer.ended,
            )
