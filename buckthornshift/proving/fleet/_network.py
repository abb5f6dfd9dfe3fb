"""Simulated network: peer links, commands to servers, partitions and message loss."""

import random

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
from ...dispatch._peer_messages import TasksCompleted
from ...platform import decode_server_response
from ...standins import ServerResponse
from ._machines import HeldCommand

LATE_COMMAND_DELAY_MS = (2_000.0, 6_000.0)
CALL_TIMEOUT_MS = 250.0
# Time that each message occupies a full link; an owner sends and receives about 200 a
# second in a run, so that its messages queue up.
FULL_LINK_MESSAGE_MS = 8.0
MAX_LINK_DELAY_MS = 5_000.0
INVALID_STATUS = 400
INTERNAL_ERROR_STATUS = 500
ERROR_PROBABILITY = 0.5
EXECUTED_PROBABILITY = 0.5
# Delay until TCP repeats data for the first time; each further delay is twice as long.
FIRST_REPEAT_MS = 200.0


@attrs.define(kw_only=True)
class NetworkFaults:
    """Network faults that are in effect.

    :param isolated_zones: zones partitioned from all other zones.
    :param isolated_instances: instances partitioned from all other machines.
    :param one_way_cuts: pairs of names; what the first sends never reaches the second.
    :param isolated_servers: servers that no instance can reach.
    :param resetting_servers: those whose partition resets connections and refuses new
        ones, instead of dropping what is sent.
    :param silent_servers: servers that read no command.
    :param rejecting_servers: servers that find every start invalid.
    :param erring_servers: servers that respond to some commands with an internal error.
    :param full_links: instances whose messages wait in the queue of a full link.
    :param late_probability: probability that a command is executed only after its
        sender has timed out.
    :param lost_response_probability: probability that a command is executed and the
        response to it is lost.
    """

    isolated_zones: set = attrs.field(factory=set)
    isolated_instances: set = attrs.field(factory=set)
    one_way_cuts: set = attrs.field(factory=set)
    isolated_servers: set = attrs.field(factory=set)
    resetting_servers: set = attrs.field(factory=set)
    silent_servers: set = attrs.field(factory=set)
    rejecting_servers: set = attrs.field(factory=set)
    erring_servers: set = attrs.field(factory=set)
    full_links: set = attrs.field(factory=set)
    late_probability: float = 0.0
    lost_response_probability: float = 0.0


@attrs.define(kw_only=True)
class PeerLink:
    """A connection over which one process sends messages to another.

    :param source_key: key of the sender's process.
    :param target_key: key of the receiver's process; ``None`` if the link is silent.
    :param number: rises with each link.
    :param held_messages: messages that a partition holds up, oldest first.
    """

    source_key: tuple = ()
    target_key: tuple | None = None
    number: int = 0
    held_messages: list = attrs.field(factory=list)


class FleetNetwork:
    """Deliver peer messages and server commands, with delays and faults.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        self.faults = NetworkFaults()
        # The open links, by the sender's process and the receiver's address.
        self._link_by_pair = {}
        self._n_links = 0
        self._link_free_ms_by_direction = {}
        # The seeds that show faults keep their course beside these messages.
        self._completions_random_state = random.Random(world.plan.seed)
        # Commands sent over a full link, whose responses may come after the timeout,
        # with whether the timeout has fired.
        self._watched_by_id = {}

    def can_reach(self, source, target):
        """Return whether what one machine sends reaches another.

        :param source: an instance or server, with ``name`` and ``zone``.
        :param target: another instance or server.
        """
        faults = self.faults
        if (source.name, target.name) in faults.one_way_cuts:
            return False
        names = {source.name, target.name}
        if names & faults.isolated_instances or names & faults.isolated_servers:
            return False
        if source.zone == target.zone:
            return True
        return not {source.zone, target.zone} & faults.isolated_zones

    def are_connected(self, instance, other):
        """Return whether open links carry messages between two instances both ways."""
        return all(
            self._is_link_open(source, target)
            and self.can_reach(source, target)
            and source.name not in self.faults.full_links
            for source, target in ((instance, other), (other, instance))
        )

    def silence_links(self, share):
        """Make open peer links drop every message from now on, without closing them.

        :param share: probability for each link.
        """
        for link in self._link_by_pair.values():
            if self.world.random_state.random() < share:
                link.target_key = None

    def reset_link(self, instance, target):
        """Reset the link from one instance to another, which neither of them notices.

        What is sent is lost until the sender replaces the link.
        """
        self._link_by_pair.pop((instance.key, target.name), None)

    def dial(self, instance, address):
        """Open a link from one instance to another; takes one round trip."""
        world = self.world
        target = world.find_instance(address)
        self._link_by_pair.pop((instance.key, address), None)
        if target is None or target.core is None:
            return
        delay_ms = 2.0 * self._draw_delay(instance, target)
        world.clock.schedule(
            delay_ms, self._complete_dial, instance, instance.key, address
        )

    def send(self, instance, action):
        """Send a message to a peer; drop it if no link to its process is open."""
        world = self.world
        link = self._link_by_pair.get((instance.key, action.address))
        target = world.find_instance(action.address)
        if link is None or target is None or target.key != link.target_key:
            return
        if link.held_messages:
            link.held_messages.append(action.message)
            return
        random_state = world.random_state
        if isinstance(action.message, TasksCompleted):
            random_state = self._completions_random_state
        delay_ms = self._draw_delay(instance, target, random_state)
        world.clock.schedule(
            delay_ms, self._deliver_message, instance, link, action.message
        )

    def send_command(self, instance, command):
        """Send a command to a server and deliver its result to the instance.

        :param instance: the sender.
        :param command: the command: start a run, stop it, or renew a lease.
        """
        world = self.world
        server = world.find_server(command.server.server_id)
        random_state = world.random_state
        if server is None or server.model is None:
            is_refused = server is not None and self._is_refused(instance, server)
            verdict = Verdict.REFUSED if is_refused else Verdict.NOT_SENT
            self._schedule_result(instance, command, verdict, 1.0)
            return
        if not self.can_reach(instance, server):
            if self._is_reset(server):
                self._schedule_result(instance, command, Verdict.REFUSED, 1.0)
                return
            verdict = random_state.choice((Verdict.NOT_SENT, Verdict.NO_ANSWER))
            self._schedule_result(
                instance, command, verdict, self._get_timeout_ms(command)
            )
            return
        draw = random_state.random()
        if instance.name in self.faults.full_links:
            self._watch_timeout(instance, command)
        delay_ms = self._draw_delay(instance, server)
        if draw < self.faults.late_probability:
            late_ms = random_state.uniform(*LATE_COMMAND_DELAY_MS)
            world.clock.schedule(
                late_ms, self._execute_late, server, server.model, command
            )
            timeout_ms = self._get_timeout_ms(command)
            self._schedule_result(instance, command, Verdict.NO_ANSWER, timeout_ms)
            return
        is_lost = (
            draw < self.faults.late_probability + self.faults.lost_response_probability
        )
        world.clock.schedule(
            delay_ms,
            self._deliver_command,
            instance,
            instance.key,
            server,
            command,
            is_lost,
        )

    def _complete_dial(self, instance, key, address):
        target = self.world.find_instance(address)
        is_up = instance.key == key and target is not None and target.core is not None
        if not is_up or not self.can_reach(instance, target):
            return
        if not self.can_reach(target, instance):
            return
        self._n_links += 1
        self._link_by_pair[key, address] = PeerLink(
            source_key=key, target_key=target.key, number=self._n_links
        )
        self.world.deliver(instance, key, PeerConnected(address=address))

    def _is_link_open(self, source, target):
        link = self._link_by_pair.get((source.key, target.name))
        return link is not None and link.target_key == target.key

    def _deliver_message(self, instance, link, message):
        target = self._find_target(link)
        if target is None:
            return
        if link.held_messages:
            link.held_messages.append(message)
        elif self.can_reach(instance, target):
            self._pass_to_target(link, target, message)
        elif self.world.plan.holds_cut_messages:
            link.held_messages.append(message)
            self._schedule_repeat(instance, link, FIRST_REPEAT_MS)

    def _schedule_repeat(self, instance, link, delay_ms):
        self.world.clock.schedule(
            delay_ms, self._repeat_held, instance, link, 2.0 * delay_ms
        )

    def _repeat_held(self, instance, link, next_delay_ms):
        """Deliver the messages that a partition held up, in order, once it is over.

        Also those of a link that was replaced meanwhile, or whose sender has ended.
        """
        target = self._find_target(link)
        if target is None:
            return
        if not self.can_reach(instance, target):
            self._schedule_repeat(instance, link, next_delay_ms)
            return
        messages, link.held_messages = link.held_messages, []
        for message in messages:
            self._pass_to_target(link, target, message)

    def _find_target(self, link):
        """Return the instance at the end of a link, if its process has not ended."""
        if link.target_key is None:
            return None
        target = self.world.find_instance(link.target_key[0])
        return target if target is not None and target.key == link.target_key else None

    def _pass_to_target(self, link, target, message):
        address, incarnation = link.source_key
        event = PeerMessageReceived(
            address=address,
            incarnation=incarnation,
            connection=link.number,
            message=message,
        )
        self.world.deliver(target, link.target_key, event)

    def _deliver_command(self, instance, key, server, command, is_lost):
        world = self.world
        is_reachable = self.can_reach(instance, server)
        if server.model is None and self._is_refused(instance, server):
            # It was sent over a connection that was open, and is closed now.
            is_reset = self._is_reset(server)
            verdict = Verdict.NO_ANSWER if is_reset else Verdict.CLOSED
            self._schedule_result(instance, command, verdict, 1.0, key)
            return
        if server.model is None or not is_reachable:
            if isinstance(command, StartRun):
                world.oracle.record_lost_start(command)
            self._schedule_result(
                instance, command, Verdict.NO_ANSWER, CALL_TIMEOUT_MS, key
            )
            return
        if server.name in self.faults.silent_servers:
            self._hold_command(instance, key, server, command)
            return
        if self._has_internal_error(server):
            self._execute_with_error(instance, key, server, command)
            return
        if isinstance(command, RenewLease):
            world.completion_watch.record_renewal(instance, key, server, command)
        response = self._execute_command(server, command)
        if self._ends_before_response(command, response):
            self._hold_command(instance, key, server, command, is_executed=True)
            return
        if is_lost:
            self._schedule_result(
                instance, command, Verdict.NO_ANSWER, CALL_TIMEOUT_MS, key
            )
            return
        is_waiting = isinstance(command, RenewLease) and command.wait_ms > 0
        if is_waiting and response.verdict is Verdict.DONE and not response.ended:
            end_ms = world.clock.now_ms + command.wait_ms
            server.waiting_renewals.append((instance, key, command, end_ms))
            world.clock.schedule(
                command.wait_ms, self.respond_to_waiting_renewals, server
            )
            return
        self._send_response(instance, key, server, command, response)

    def close_connections(self, server, verdict):
        """End the lease renewals that wait at a server, without a response.

        :param server: the server, whose process or connections have ended.
        :param verdict: what the instances learn: ``CLOSED`` if the process has ended in
            reach of them, ``NO_ANSWER`` if its machine is gone, or if the connections
            were reset. Those that are cut off from it time out.
        :returns: whether an instance learns it.
        """
        is_noticed = self._close_held_commands(server, verdict)
        waiting_renewals, server.waiting_renewals = server.waiting_renewals, []
        for instance, key, command, end_ms in waiting_renewals:
            if self.can_reach(server, instance) or self._is_reset(server):
                self._schedule_result(instance, command, verdict, 1.0, key)
                is_noticed = True
                continue
            left_ms = end_ms - self.world.clock.now_ms
            self._schedule_result(
                instance, command, Verdict.NO_ANSWER, left_ms + CALL_TIMEOUT_MS, key
            )
        return is_noticed

    def silence_server(self, server):
        """Let a server read no command from now on, while its runs go on."""
        self.faults.silent_servers.add(server.name)
        waiting_renewals, server.waiting_renewals = server.waiting_renewals, []
        for instance, key, command, _ in waiting_renewals:
            self._hold_command(instance, key, server, command)

    def end_silence(self, server):
        """Let a server read the commands that it has received meanwhile."""
        self.faults.silent_servers.discard(server.name)
        held_commands, server.held_commands = server.held_commands, []
        for held in held_commands:
            response = self._execute_command(server, held.command)
            if response is not None and not held.has_timed_out:
                self._send_response(
                    held.instance, held.key, server, held.command, response
                )
                held.has_timed_out = True

    def _hold_command(self, instance, key, server, command, is_executed=False):
        held = HeldCommand(
            instance=instance, key=key, command=command, is_executed=is_executed
        )
        server.held_commands.append(held)
        timeout_ms = self._get_timeout_ms(command)
        self.world.clock.schedule(timeout_ms, self._time_out_held, held)

    def _time_out_held(self, held):
        if not held.has_timed_out:
            held.has_timed_out = True
            self._schedule_result(
                held.instance, held.command, Verdict.NO_ANSWER, 0.0, held.key
            )

    def _close_held_commands(self, server, verdict):
        is_noticed = False
        self.faults.silent_servers.discard(server.name)
        held_commands, server.held_commands = server.held_commands, []
        for held in held_commands:
            if isinstance(held.command, StartRun) and not held.is_executed:
                self.world.oracle.record_lost_start(held.command)
            if not held.has_timed_out and self.can_reach(server, held.instance):
                held.has_timed_out = is_noticed = True
                self._schedule_result(
                    held.instance, held.command, verdict, 1.0, held.key
                )
        return is_noticed

    def _ends_before_response(self, command, response):
        return (
            self.world.plan.crash_delay_ms == 0.0
            and isinstance(command, StartRun)
            and response is not None
            and response.verdict is Verdict.DONE
            and self.world.crashes_server(command.task)
        )

    def _has_internal_error(self, server):
        return (
            server.name in self.faults.erring_servers
            and self.world.random_state.random() < ERROR_PROBABILITY
        )

    def _execute_with_error(self, instance, key, server, command):
        """Execute a command or not; the server responds with an internal error."""
        if self.world.random_state.random() < EXECUTED_PROBABILITY:
            self._execute_command(server, command)
        elif isinstance(command, StartRun):
            self.world.oracle.record_lost_start(command)
        verdict = decode_server_response(INTERNAL_ERROR_STATUS, b"")[0]
        delay_ms = self._draw_delay(server, instance)
        self._schedule_result(instance, command, verdict, delay_ms, key)

    def _is_refused(self, instance, server):
        """Return whether new connections to a server without process are refused."""
        if self._is_reset(server):
            return True
        return server.refuses_connections and self.can_reach(instance, server)

    def _is_reset(self, server):
        return server.name in self.faults.resetting_servers

    def respond_to_waiting_renewals(self, server):
        """Respond to the lease renewals of a server whose wait is over."""
        world = self.world
        waiting_renewals, server.waiting_renewals = server.waiting_renewals, []
        for instance, key, command, end_ms in waiting_renewals:
            response = server.model.report_runs(world.clock.now_ms)
            if response.ended or world.clock.now_ms >= end_ms - 0.01:
                self._send_response(instance, key, server, command, response)
            else:
                server.waiting_renewals.append((instance, key, command, end_ms))

    def _execute_late(self, server, model, command):
        """Execute a command that has waited in a process, unless that has ended."""
        if server.model is model:
            self._execute_command(server, command)
        elif server.model is not None and isinstance(command, StartRun):
            self.world.oracle.record_lost_start(command)

    def _execute_command(self, server, command):
        if server.model is None or server.model.server_id != command.server.server_id:
            return None
        now_ms = self.world.clock.now_ms
        match command:
            case StartRun() if server.name in self.faults.rejecting_servers:
                verdict = decode_server_response(INVALID_STATUS, b"")[0]
                clock_ms = int(server.model.read_clock(now_ms))
                return ServerResponse(verdict=verdict, clock_ms=clock_ms)
            case StartRun():
                response = server.model.start(command, now_ms)
            case StopRun():
                response = server.model.stop(command, now_ms)
            case RenewLease():
                response = server.model.renew_lease(command, now_ms)
        self.world.schedule_server_events(server)
        return response

    def _send_response(self, instance, key, server, command, response):
        if not self.can_reach(server, instance):
            self._schedule_result(
                instance, command, Verdict.NO_ANSWER, CALL_TIMEOUT_MS, key
            )
            return
        delay_ms = self._draw_delay(server, instance)
        event = _make_result_event(command, response.verdict, response)
        self.world.clock.schedule(
            delay_ms, self._deliver_result, instance, key, command, event
        )

    def _schedule_result(self, instance, command, verdict, delay_ms, key=None):
        event = _make_result_event(command, verdict, None)
        self.world.clock.schedule(
            delay_ms,
            self._deliver_result,
            instance,
            key or instance.key,
            command,
            event,
        )

    def _deliver_result(self, instance, key, command, event):
        _, has_timed_out = self._watched_by_id.pop(id(command), (None, False))
        if not has_timed_out:
            self.world.deliver(instance, key, event)

    def _watch_timeout(self, instance, command):
        self._watched_by_id[id(command)] = (command, False)
        timeout_ms = self._get_timeout_ms(command)
        self.world.clock.schedule(
            timeout_ms, self._time_out, instance, instance.key, command
        )

    def _time_out(self, instance, key, command):
        watched, _ = self._watched_by_id.get(id(command), (None, False))
        if watched is not command:
            return
        self._watched_by_id[id(command)] = (command, True)
        event = _make_result_event(command, Verdict.NO_ANSWER, None)
        self.world.deliver(instance, key, event)

    def _get_timeout_ms(self, command):
        return CALL_TIMEOUT_MS + getattr(command, "wait_ms", 0)

    def _draw_delay(self, source, target, random_state=None):
        plan = self.world.plan
        base_ms = (
            plan.intra_zone_delay_ms
            if source.zone == target.zone
            else plan.inter_zone_delay_ms
        )
        random_state = random_state or self.world.random_state
        delay_ms = base_ms * (0.5 + random_state.expovariate(1.0))
        for name, direction in ((source.name, "out"), (target.name, "in")):
            if name in self.faults.full_links:
                delay_ms += self._queue_on_link(name, direction)
        return delay_ms

    def _queue_on_link(self, name, direction):
        """Return the delay of a message that joins the queue of a full link."""
        now_ms = self.world.clock.now_ms
        link = (name, direction)
        free_ms = max(now_ms, self._link_free_ms_by_direction.get(link, 0.0))
        free_ms = min(free_ms + FULL_LINK_MESSAGE_MS, now_ms + MAX_LINK_DELAY_MS)
        self._link_free_ms_by_direction[link] = free_ms
        return free_ms - now_ms


def _make_result_event(command, verdict, response):
    clock_ms = None if response is None else response.clock_ms
    match command:
        case StartRun() | StopRun():
            cls = StartAnswered if isinstance(command, StartRun) else StopAnswered
            return cls(
                server_id=command.server.server_id,
                task=command.task,
                run=command.run,
                verdict=verdict,
                clock_ms=clock_ms,
            )
        case RenewLease():
            return RenewalAnswered(
                server_id=command.server.server_id,
                token=command.token,
                sent_ms=command.sent_ms,
                verdict=verdict,
                clock_ms=clock_ms,
                running=() if response is None else response.running,
                ended=() if response is None else response.ended,
                started_ms=0 if response is None else response.started_ms,
            )
