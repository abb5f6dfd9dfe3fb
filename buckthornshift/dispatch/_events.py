"""Events that the shell feeds to the dispatch core."""

import enum

import attrs

from ._declarations import Configuration, JobSpec, Queue, ServerRecord


@attrs.frozen(kw_only=True)
class JobArrived:
    """A caller's job was read whole.

    :param caller_ref: identifies the waiting request.
    :param job: the job.
    :param queue: the queue that it was submitted to.
    :param timeout_ms: how long the caller waits.
    """

    caller_ref: int = 0
    job: JobSpec = JobSpec()
    queue: Queue = Queue()
    timeout_ms: float = 0.0


@attrs.frozen(kw_only=True)
class CallerDisconnected:
    """A caller closed its connection before its answer.

    :param caller_ref: identifies the request.
    """

    caller_ref: int = 0


@attrs.frozen(kw_only=True)
class PeerMessageReceived:
    """A message came from another instance.

    :param address: the sender.
    :param incarnation: its process.
    :param message: the message.
    """

    address: str = ""
    incarnation: int = 0
    message: object = None


@attrs.frozen(kw_only=True)
class PeerConnected:
    """The connection to another instance was opened; earlier messages may be lost.

    :param address: the other instance.
    """

    address: str = ""


@attrs.frozen(kw_only=True)
class ConfigurationRead:
    """A configuration was read from the store.

    :param configuration: the configuration.
    """

    configuration: Configuration = Configuration()


@attrs.frozen(kw_only=True)
class ServersRead:
    """The list of backend servers was read from the store.

    :param servers: the whole list.
    """

    servers: tuple[ServerRecord, ...] = ()


@attrs.frozen(kw_only=True)
class InstancesFound:
    """Addresses of other instances were read from the store or the settings.

    :param addresses: the addresses.
    """

    addresses: tuple[str, ...] = ()


class Verdict(enum.StrEnum):
    """What a backend server said to an order."""

    DONE = "done"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    LATE = "late"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    NO_ANSWER = "no_answer"


@attrs.frozen(kw_only=True)
class StartAnswered:
    """A start order came back.

    :param server_id: the server.
    :param task: name of the task.
    :param run: number of the run.
    :param verdict: what the server said.
    :param clock_ms: the server's clock, or ``None``.
    """

    server_id: str = ""
    task: str = ""
    run: int = 0
    verdict: Verdict = Verdict.DONE
    clock_ms: int | None = None


@attrs.frozen(kw_only=True)
class StopAnswered:
    """A stop order came back.

    :param server_id: the server.
    :param task: name of the task.
    :param run: number of the run.
    :param verdict: what the server said.
    :param clock_ms: the server's clock, or ``None``.
    """

    server_id: str = ""
    task: str = ""
    run: int = 0
    verdict: Verdict = Verdict.DONE
    clock_ms: int | None = None


@attrs.frozen(kw_only=True)
class RunningTask:
    """A run that a server lists as running.

    :param task: name of the task.
    :param run: number of the run.
    :param percent: progress.
    """

    task: str = ""
    run: int = 0
    percent: float = 0.0


class EndKind(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"


@attrs.frozen(kw_only=True)
class EndedTask:
    """A run that a server lists as ended.

    :param number: position in the server's list of ends.
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
    """A renewal came back with what runs and what ended on a server.

    :param server_id: the server.
    :param token: fencing token of the renewal.
    :param sent_ms: when it was sent.
    :param verdict: what the server said.
    :param clock_ms: the server's clock, or ``None``.
    :param running: what runs.
    :param ended: ends that are not acknowledged, oldest first.
    """

    server_id: str = ""
    token: int = 0
    sent_ms: float = 0.0
    verdict: Verdict = Verdict.DONE
    clock_ms: int | None = None
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()


@attrs.frozen(kw_only=True)
class StopRequested:
    """The instance was asked to stop gracefully."""


@attrs.frozen(kw_only=True)
class LagProbeDue:
    """A call that the process had set for a time runs now, after what came before.

    :param due_ms: the time that it was set for.
    """

    due_ms: float = 0.0


@attrs.frozen(kw_only=True)
class TimeAdvanced:
    """Time passed; due timers run."""
