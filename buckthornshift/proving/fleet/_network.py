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

LATE_COMMAND_DELAY_MS = (2_000.0, 6_000.0)
CONNECT_TIMEOUT_MS = 300.0


@attrs.define(kw_only=True)
class NetworkFaults:
    """What is wrong with the network at the moment.

    :param isolated_zones: zones cut off from the others.
    :param isolated_instances: instances cut off from all other machines.
    :param one_way_cuts: pairs of sites of which the first is not heard by the second.
    :param isolated_servers: servers that nobody reaches.
    :param late_probability: share of orders without an answer that are carried out late.
    :param lost_share: share of orders that are carried out without an answer.
    """

    isolated_zones: set = attrs.field(factory=set)
    isolated_instances: set = attrs.field(factory=set)
    one_way_cuts: set = attrs.field(factory=set)
    isolated_servers: set = attrs.field(factory=set)
    late_probability: float = 0.0
    lost_share: float = 0.0


class FleetNetwork:
    """Carry messages and orders with delays and troubles.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        self.network_faults = NetworkFaults()
        self._link_by_pair = {}

    def can_reach(self, source, target):
        """Return whether bytes of one site arrive at another.

        :param source: a node or server with ``name`` and ``zone``.
        :param target: another.
        """
        network_faults = self.network_faults
        if (source.name, target.name) in network_faults.one_way_cuts:
            return False
        names = {source.name, target.name}
        if (
            names & network_faults.isolated_instances
            or names & network_faults.isolated_servers
        ):
            return False
        if source.zone == target.zone:
            return True
        return not {source.zone, target.zone} & network_faults.isolated_zones

    def silence_links(self, share):
        """Let a share of the open links between instances carry nothing more."""
        for pair in list(self._link_by_pair):
            if self.world.random_state.random() < share:
                self._link_by_pair[pair] = None

    def dial(self, instance, address):
        """Open a link from an instance to another."""
        world = self.world
        target = world.find_instance(address)
        self._link_by_pair.pop((instance.key, address), None)
        if target is None or target.core is None:
            return
        delay_ms = 2.0 * self._draw_delay(instance, target)
        world.clock.schedule(delay_ms, self._open, instance, instance.key, address)

    def send(self, instance, action):
        """Send a message over an open link, if it is one."""
        world = self.world
        pair = (instance.key, action.address)
        target_key = self._link_by_pair.get(pair)
        target = world.find_instance(action.address)
        if target_key is None or target is None or target.key != target_key:
            return
        delay_ms = self._draw_delay(instance, target)
        world.clock.schedule(
            delay_ms, self._arrive, instance, instance.key, target_key, action
        )

    def order(self, instance, action):
        """Carry an order to a server and its answer back."""
        world = self.world
        server = world.find_server(action.server.server_id)
        random_state = world.random_state
        if server is None or server.model is None:
            self._answer_later(instance, action, Verdict.NOT_SENT, 1.0)
            return
        if not self.can_reach(instance, server):
            verdict = random_state.choice((Verdict.NOT_SENT, Verdict.NO_ANSWER))
            self._answer_later(instance, action, verdict, self._read_timeout(action))
            return
        fate = random_state.random()
        delay_ms = self._draw_delay(instance, server)
        if fate < self.network_faults.late_probability:
            late_ms = random_state.uniform(*LATE_COMMAND_DELAY_MS)
            world.clock.schedule(late_ms, self._execute, server, action)
            timeout_ms = self._read_timeout(action)
            self._answer_later(instance, action, Verdict.NO_ANSWER, timeout_ms)
            return
        is_lost = (
            fate < self.network_faults.late_probability + self.network_faults.lost_share
        )
        world.clock.schedule(
            delay_ms,
            self._arrive_order,
            instance,
            instance.key,
            server,
            action,
            is_lost,
        )

    def _open(self, instance, key, address):
        target = self.world.find_instance(address)
        is_there = (
            instance.key == key and target is not None and target.core is not None
        )
        if not is_there or not self.can_reach(instance, target):
            return
        if not self.can_reach(target, instance):
            return
        self._link_by_pair[key, address] = target.key
        self.world.deliver(instance, key, PeerConnected(address=address))

    def _arrive(self, instance, instance_key, target_key, action):
        target = self.world.find_instance(action.address)
        is_same = target is not None and target.key == target_key
        if not is_same or not self.can_reach(instance, target):
            return
        event = PeerMessageReceived(
            address=instance_key[0], incarnation=instance_key[1], message=action.message
        )
        self.world.deliver(target, target_key, event)

    def _arrive_order(self, instance, key, server, action, is_lost):
        world = self.world
        if server.model is None or not self.can_reach(instance, server):
            self._answer_later(instance, action, Verdict.NO_ANSWER, 250.0, key)
            return
        answer = self._execute(server, action)
        if is_lost:
            self._answer_later(instance, action, Verdict.NO_ANSWER, 250.0, key)
            return
        is_waiting = isinstance(action, RenewLease) and action.wait_ms > 0
        if is_waiting and answer.verdict is Verdict.DONE and not answer.ended:
            end_ms = world.clock.now_ms + action.wait_ms
            server.waiting_renewals.append((instance, key, action, end_ms))
            world.clock.schedule(action.wait_ms, self.answer_waiting_renewals, server)
            return
        self._return(instance, key, server, action, answer)

    def answer_waiting_renewals(self, server):
        """Answer the renewals that wait at a server, if it is time."""
        world = self.world
        waiting_renewals, server.waiting_renewals = server.waiting_renewals, []
        for instance, key, action, end_ms in waiting_renewals:
            if server.model is None:
                self._answer_later(instance, action, Verdict.NO_ANSWER, 1.0, key)
                continue
            answer = server.model.report_runs(world.clock.now_ms)
            if answer.ended or world.clock.now_ms >= end_ms - 0.01:
                self._return(instance, key, server, action, answer)
            else:
                server.waiting_renewals.append((instance, key, action, end_ms))

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
                answer = server.model.renew_lease(action, now_ms)
        self.world.schedule_server_events(server)
        return answer

    def _return(self, instance, key, server, action, answer):
        if not self.can_reach(server, instance):
            self._answer_later(instance, action, Verdict.NO_ANSWER, 250.0, key)
            return
        delay_ms = self._draw_delay(server, instance)
        event = _make_event(action, answer.verdict, answer)
        self.world.clock.schedule(delay_ms, self.world.deliver, instance, key, event)

    def _answer_later(self, instance, action, verdict, delay_ms, key=None):
        event = _make_event(action, verdict, None)
        self.world.clock.schedule(
            delay_ms, self.world.deliver, instance, key or instance.key, event
        )

    def _read_timeout(self, action):
        return 250.0 + getattr(action, "wait_ms", 0)

    def _draw_delay(self, source, target):
        plan = self.world.plan
        base_ms = (
            plan.intra_zone_delay_ms
            if source.zone == target.zone
            else plan.inter_zone_delay_ms
        )
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
