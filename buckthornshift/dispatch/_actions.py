"""Actions that the dispatch core asks the shell to perform, and its log events."""

import enum

import attrs

from ._declarations import ServerRecord
from ._peer_messages import EndReason, Outcome


@attrs.frozen(kw_only=True)
class AnswerCaller:
    """Answer a caller's request.

    :param caller_ref: identifies the request.
    :param outcome: how the job ended.
    :param reason: why it did not complete.
    :param may_have_run: whether a task may have begun.
    :param retry_after_ms: when the caller may come back; 0 to say nothing.
    """

    caller_ref: int = 0
    outcome: Outcome = Outcome.COMPLETED
    reason: EndReason = EndReason.NONE
    may_have_run: bool = False
    retry_after_ms: float = 0.0


@attrs.frozen(kw_only=True)
class SendToPeer:
    """Send a message to another instance, without a guarantee.

    :param address: the addressee.
    :param message: the message.
    """

    address: str = ""
    message: object = None


@attrs.frozen(kw_only=True)
class ReconnectPeer:
    """Open a connection to another instance, in place of one that may be dead.

    :param address: the other instance.
    """

    address: str = ""


@attrs.frozen(kw_only=True)
class DisconnectPeer:
    """Close the connection to an instance that is gone.

    :param address: the other instance.
    """

    address: str = ""


@attrs.frozen(kw_only=True)
class WatchServerList:
    """Begin or end to follow the list of backend servers closely.

    :param is_on: whether to follow it.
    """

    is_on: bool = False


@attrs.frozen(kw_only=True)
class StartRun:
    """Order a server to start a task.

    :param server: the server.
    :param token: fencing token.
    :param task: name of the task.
    :param run: number of the run.
    :param payload: text of the job.
    :param lease_end_ms: end of the lease on the server's clock.
    """

    server: ServerRecord = ServerRecord()
    token: int = 0
    task: str = ""
    run: int = 0
    payload: str = ""
    lease_end_ms: int = 0


@attrs.frozen(kw_only=True)
class StopRun:
    """Order a server to stop a run, and never to start it.

    :param server: the server.
    :param token: fencing token.
    :param task: name of the task.
    :param run: number of the run.
    """

    server: ServerRecord = ServerRecord()
    token: int = 0
    task: str = ""
    run: int = 0


@attrs.frozen(kw_only=True)
class RenewLease:
    """Renew the lease of what runs on a server and read what runs and ended.

    :param server: the server.
    :param token: fencing token.
    :param lease_end_ms: end of the lease on the server's clock, or ``None``.
    :param sent_ms: when it was sent; comes back in :class:`RenewalAnswered`.
    :param last_acked: number of the last end taken note of.
    :param wait_ms: how long the server may wait for an end.
    """

    server: ServerRecord = ServerRecord()
    token: int = 0
    lease_end_ms: int | None = None
    sent_ms: float = 0.0
    last_acked: int = 0
    wait_ms: int = 0


@attrs.frozen(kw_only=True)
class DisconnectServer:
    """Close the connections to a server that is gone.

    :param server_id: the server.
    """

    server_id: str = ""


@attrs.frozen(kw_only=True)
class Exit:
    """Nothing is left to do; the process may end."""


class LogCode(enum.IntEnum):
    """Numbers of the events of the dispatch core; catalogued in the docs."""

    STARTED = 6001
    STOPPING = 6002
    STOPPED = 6003
    SETTINGS_RELOADED = 6004
    JOB_ARRIVED = 6101
    JOB_SENT = 6102
    JOB_ANSWERED = 6103
    CALLER_LEFT = 6104
    JOB_QUEUED = 6111
    JOB_REFUSED = 6112
    JOB_ENDED = 6113
    JOB_ADOPTED = 6114
    HOME_LOST = 6115
    JOB_PASSED_ON = 6116
    TASK_STARTED = 6121
    START_REJECTED = 6122
    START_UNANSWERED = 6123
    TASK_ENDED = 6124
    TASK_STOPPED = 6125
    TASK_STALLED = 6126
    RUN_RESOLVED = 6127
    OWNER_CLAIMED = 6201
    OWNER_CHANGED = 6202
    OWNER_YIELDED = 6203
    PAUSE_NOTICED = 6204
    CELLS_DIVIDED = 6205
    SERVER_TAKEN = 6211
    SERVER_FENCED = 6212
    SERVER_UNREACHABLE = 6213
    SERVER_RELEASED = 6214
    SERVER_SUSPECTED = 6215
    SERVER_LISTED = 6221
    SERVER_DRAINING = 6222
    SERVER_UNLISTED = 6223
    PEER_FOUND = 6301
    PEER_LOST = 6302
    PEER_RESTARTED = 6303
    CONFIGURATION_CHANGED = 6401
    STORE_LOST = 6402
    STORE_BACK = 6403
    RECORD_IGNORED = 6404
    LINES_DROPPED = 6501


@attrs.frozen(kw_only=True)
class LogLine:
    """A numbered event of the structured log.

    :param code: the event.
    :param subject: job, task, server or instance that it is about.
    :param fields: inputs of the decision with their age or version, and its outcome.
    """

    code: LogCode = LogCode.STARTED
    subject: str = ""
    fields: dict = attrs.field(factory=dict)
