"""State of the simulated instances and backend servers."""

import collections

import attrs

from ...dispatch import DispatchCore, ServerRecord
from ...standins import TaskServerModel


@attrs.define(kw_only=True, eq=False)
class SimulatedInstance:
    """A simulated dispatching instance; its process can end and start again.

    :param name: name and address.
    :param zone: availability zone.
    :param core: the dispatch core of its process; ``None`` while it is down.
    :param incarnation: random number that identifies the process.
    :param is_frozen: whether the process is suspended.
    :param deferred_events: events that arrived while the process was suspended.
    :param inbox: events that wait for the processor, oldest first.
    :param is_stopping: whether the process was asked to stop.
    :param event_delay_ms: delay of each event except timers, on a slow machine.
    :param is_watching_servers: whether it polls the list of servers in the store.
    :param evacuation_version: version of the evacuations that its process last read.
    :param wake_up_ms: when its next timer is due; ``None`` if none is set.
    :param callers: pending requests by caller reference.
    """

    name: str = ""
    zone: str = ""
    core: DispatchCore | None = None
    incarnation: int = 0
    is_frozen: bool = False
    deferred_events: list = attrs.field(factory=list)
    inbox: collections.deque = attrs.field(factory=collections.deque)
    is_stopping: bool = False
    event_delay_ms: float = 0.0
    is_watching_servers: bool = False
    evacuation_version: int = 0
    wake_up_ms: float | None = None
    callers: dict = attrs.field(factory=dict)

    @property
    def key(self):
        """Address and incarnation, which identify one process."""
        return (self.name, self.incarnation)


@attrs.define(kw_only=True, eq=False)
class HeldCommand:
    """A command that a server has received and not responded to.

    :param instance: the sender.
    :param key: key of the sender's process.
    :param command: the command.
    :param is_executed: whether the server has carried it out.
    :param has_timed_out: whether the sender no longer waits for the response.
    """

    instance: SimulatedInstance | None = None
    key: tuple = ()
    command: object = None
    is_executed: bool = False
    has_timed_out: bool = False


@attrs.define(kw_only=True, eq=False)
class SimulatedServer:
    """A simulated backend server.

    :param name: id of the server.
    :param zone: availability zone.
    :param model: model of the running server; ``None`` once it is down.
    :param index: selects its service and kind.
    :param record: its entry in the store.
    :param is_listed: whether the store lists the entry.
    :param refuses_connections: whether its machine runs on without the process.
    :param waiting_renewals: long-polling lease renewals that wait until a run ends.
    :param held_commands: a :class:`HeldCommand` of each command that it has received
        while it responds to nothing.
    :param wake_up_ms: when the next run ends; ``None`` if nothing is scheduled.
    :param started_ms: when its latest process started, in milliseconds since the epoch.
    """

    name: str = ""
    zone: str = ""
    model: TaskServerModel | None = None
    index: int = 0
    record: ServerRecord = ServerRecord()
    is_listed: bool = True
    refuses_connections: bool = False
    waiting_renewals: list = attrs.field(factory=list)
    held_commands: list = attrs.field(factory=list)
    wake_up_ms: float | None = None
    started_ms: int = 0
