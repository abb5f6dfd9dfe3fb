"""Events that the process passes to the dispatch core."""

import enum

import attrs

from ._declarations import Configuration, JobSpec, Queue, ServerRecord


@attrs.frozen(kw_only=True)
class JobArrived:
    """A caller's request with a job was read completely.

    :param caller_ref: identifies the request; returned in :class:`AnswerCaller`.
    :param job: the job.
    :param queue: the queue that it was submitted to.
    :param timeout_ms: how long the caller waits for the answer.
    """

    caller_ref: int = 0
    job: JobSpec = JobSpec()
    queue: Queue = Queue()
    timeout_ms: float = 0.0


@attrs.frozen(kw_only=True)
class CallerDisconnected:
    """A caller closed its connection before its request was answered.

    :param caller_ref: identifies the request.
    """

    caller_ref: int = 0


@attrs.frozen(kw_only=True)
class PeerMessageReceived:
    """A message from another instance was received.

    :param address: address of the sender.
    :param incarnation: incarnation of the sender.
    :param connection: number of the connection that it came over; the sender numbers
        its connections in the order in which it opens them. 0 if it sends no number.
    :param message: the message.
    """

    address: str = ""
    incarnation: int = 0
    connection: int = 0
    message: object = None


@attrs.frozen(kw_only=True)
class PeerConnected:
    """A connection to another instance was opened; earlier messages may be lost.

    :param address: address of the other instance.
    """

    address: str = ""


@attrs.frozen(kw_only=True)
class ConfigurationRead:
    """A configuration was read from the store.

    :param configuration: the configuration.
    """

    configuration: Configuration = Configuration()


@attrs.frozen(kw_only=True)
class EvacuationsRead:
    """The set of evacuated zones was read from the store.

    It is posted before the configuration of the same read.

    :param version: offset of the operators' topic at which the set was read.
    :param zones: all evacuated zones.
    """

    version: int = 0
    zones: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ServersRead:
    """The list of backend servers was read from the store.

    :param servers: the complete list.
    :param unreadable_ids: ids of the servers whose entries can't be read.
    :param age_ms: time since the read was sent.
    """

    servers: tuple[ServerRecord, ...] = ()
    unreadable_ids: tuple[str, ...] = ()
    age_ms: float = 0.0


@attrs.frozen(kw_only=True)
class ServersConfirmed:
    """The list of backend servers was read from the store and has not changed.

    :param age_ms: time since the read was sent.
    """

    age_ms: float = 0.0


@attrs.frozen(kw_only=True)
class ResourcesChanged:
    """The operators gave this instance other resources.

    :param power: number of CPU cores that it may use.
    :param link_mbps: bandwidth of its network link, in Mbit/s; 0 if unknown.
    """

    power: float = 1.0
    link_mbps: float = 0.0


@attrs.frozen(kw_only=True)
class InstancesFound:
    """Addresses of other instances were read from the store or the settings.

    :param addresses: the addresses.
    :param is_complete: whether these are all instances that the store knows.
    """

    addresses: tuple[str, ...] = ()
    is_complete: bool = False


class Verdict(enum.StrEnum):
    """Result of a command to a backend server, or why there is none.

    ``NOT_SENT`` and ``REFUSED`` mean that it was not sent: no connection came about in
    time, or it was refused, as where no process listens. ``NO_ANSWER`` and ``CLOSED``
    mean that it may have been carried out: no response came in time, or the server
    closed the connection in order, as at the end of its process.
    """

    DONE = "done"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    LATE = "late"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"
    CLOSED = "closed"


@attrs.frozen(kw_only=True)
class StartAnswered:
    """A start command was answered, or has failed.

    :param server_id: id of the server.
    :param task: name of the task.
    :param run: number of the run.
    :param verdict: result of the command.
    :param clock_ms: the server's clock; ``None`` if the response has none.
    """

    server_id: str = ""
    task: str = ""
    run: int = 0
    verdict: Verdict = Verdict.DONE
    clock_ms: int | None = None


@attrs.frozen(kw_only=True)
class StopAnswered:
    """A stop command was answered, or has failed.

    :param server_id: id of the server.
    :param task: name of the task.
    :param run: number of the run.
    :param verdict: result of the command.
    :param clock_ms: the server's clock; ``None`` if the response has none.
    """

    server_id: str = ""
    task: str = ""
    run: int = 0
    verdict: Verdict = Verdict.DONE
    clock_ms: int | None = None


@attrs.frozen(kw_only=True)
class RunningTask:
    """A run that a server reports as running.

    :param task: name of the task.
    :param run: number of the run.
    :param percent: progress in percent.
    """

    task: str = ""
    run: int = 0
    percent: float = 0.0


class EndKind(enum.StrEnum):
    """How a run ended; ``lapsed`` means that its lease expired."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"


@attrs.frozen(kw_only=True)
class EndedTask:
    """A run that a server reports as ended.

    :param number: sequence number of this report, by which it is acknowledged.
    :param task: name of the task.
    :param run: number of the run.
    :param kind: how it ended.
    """

    number: int = 0
    task: str = ""
    run: int = 0
    kind: EndKind = EndKind.DONE


@attrs.frozen(kw_only=True)
class RenewalAnswered:
    """A lease renewal was answered, or has failed.

    :param server_id: id of the server.
    :param token: fencing token of the renewal.
    :param sent_ms: when the renewal was sent.
    :param verdict: result of the renewal.
    :param clock_ms: the server's clock; ``None`` if the response has none.
    :param running: the runs that the server reports as running.
    :param ended: the ended runs that are not acknowledged yet, oldest first.
    :param started_ms: when the process that responds started, in milliseconds since
        the epoch; 0 if unknown.
    """

    server_id: str = ""
    token: int = 0
    sent_ms: float = 0.0
    verdict: Verdict = Verdict.DONE
    clock_ms: int | None = None
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
    started_ms: int = 0


@attrs.frozen(kw_only=True)
class StopRequested:
    """The instance was asked to shut down gracefully."""


@attrs.frozen(kw_only=True)
class LagProbeDue:
    """A timer that measures the lag of the event loop has fired.

    It is handled after everything that arrived before it, so that its delay shows how
    long messages wait.

    :param due_ms: when it was due.
    """

    due_ms: float = 0.0


@attrs.frozen(kw_only=True)
class TimeAdvanced:
    """Time has passed; everything that arrived before was passed to the core."""
