"""Machines of a run: dispatching instances and backend servers."""

import collections

import attrs

from ...dispatch import DispatchCore, ServerRecord
from ...standins import TaskServerModel


@attrs.define(kw_only=True, eq=False)
class SimulatedInstance:
    """A dispatching instance of a run.

    :param name: its name, and its address.
    :param zone: availability zone.
    :param core: the core, or ``None`` while it is down.
    :param incarnation: number of its process, random like a real one.
    :param is_frozen: whether it stands still.
    :param deferred_events: events that came while it stood still.
    :param inbox: events that wait for the processor, in order.
    :param is_stopping: whether it was asked to stop.
    :param event_delay_ms: delay of each event on a slow machine.
    :param is_following: whether it follows the list of servers.
    :param wake_up_ms: when its next timer is due.
    :param callers: open requests by reference.
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
    is_following: bool = False
    wake_up_ms: float | None = None
    callers: dict = attrs.field(factory=dict)

    @property
    def key(self):
        """Address and process."""
        return (self.name, self.incarnation)


@attrs.define(kw_only=True, eq=False)
class SimulatedServer:
    """A backend server of a run.

    :param name: its id.
    :param zone: availability zone.
    :param model: the model, or ``None`` once it is down.
    :param index: decides its service and kind.
    :param record: its entry.
    :param is_listed: whether the store has the entry.
    :param waiting_renewals: renewals that wait for an end.
    :param wake_up_ms: when something ends next.
    """

    name: str = ""
    zone: str = ""
    model: TaskServerModel | None = None
    index: int = 0
    record: ServerRecord = ServerRecord()
    is_listed: bool = True
    waiting_renewals: list = attrs.field(factory=list)
    wake_up_ms: float | None = None
