"""Actions that the dispatch core asks its process to perform, and its log events."""

import enum

import attrs

from ._declarations import ServerRecord
from ._peer_messages import EndReason, Outcome


@attrs.frozen(kw_only=True)
class AnswerCaller:
    """Answer a caller's request.

    :param caller_ref: identifies the request, from :class:`JobArrived`.
    :param outcome: how the job ended.
    :param reason: why it did not complete.
    :param may_have_run: whether a task of the job may have begun.
    :param retry_after_ms: time after which a retry may succeed; 0 to omit it.
    """

    caller_ref: int = 0
    outcome: Outcome = Outcome.COMPLETED
    reason: EndReason = EndReason.NONE
    may_have_run: bool = False
    retry_after_ms: float = 0.0


@attrs.frozen(kw_only=True)
class SendToPeer:
    """Send a message to another instance; it may be lost.

    :param address: address of the receiving instance.
    :param message: one of ``PEER_MESSAGES``.
    """

    address: str = ""
    message: object = None


@attrs.frozen(kw_only=True)
class ReconnectPeer:
    """Open a new connection to another instance, replacing one that may be dead.

    :param address: address of the other instance.
    """

    address: str = ""


@attrs.frozen(kw_only=True)
class DisconnectPeer:
    """Close the connection to an instance that is gone.

    :param address: address of that instance.
    """

    address: str = ""


@attrs.frozen(kw_only=True)
class WatchServerList:
    """Start or stop watching the list of backend servers for changes.

    :param is_on: whether to watch it.
    """

    is_on: bool = False


@attrs.frozen(kw_only=True)
class StartRun:
    """Send a command to a server to start a task.

    :param server: the server.
    :param token: fencing token of the owner's claim.
    :param task: name of the task.
    :param run: number of the run.
    :param payload: payload of the job, passed to every task of it.
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
    """Tell a server to stop a run, and to reject its start if that arrives later.

    :param server: the server.
    :param token: fencing token of the owner's claim.
    :param task: name of the task.
    :param run: number of the run.
    """

    server: ServerRecord = ServerRecord()
    token: int = 0
    task: str = ""
    run: int = 0


@attrs.frozen(kw_only=True)
class RenewLease:
    """Renew the lease on a server, and ask for its running and ended tasks.

    :param server: the server.
    :param token: fencing token of the owner's claim.
    :param lease_end_ms: end of the lease on the server's clock; ``None`` to leave the
        lease as it is.
    :param sent_ms: when it was sent; returned in :class:`RenewalAnswered`.
    :param last_acked: number of the last ended task that this acknowledges.
    :param wait_ms: how long the server may delay its response until a task ends.
    """

    server: ServerRecord = ServerRecord()
    token: int = 0
    lease_end_ms: int | None = None
    sent_ms: float = 0.0
    last_acked: int = 0
    wait_ms: int = 0


@attrs.frozen(kw_only=True)
class DisconnectServer:
    """Close the connections to a backend server that is gone.

    :param server_id: id of the server.
    """

    server_id: str = ""


@attrs.frozen(kw_only=True)
class Exit:
    """End the process; the graceful shutdown is complete."""


class LogCode(enum.IntEnum):
    """Log event codes of the dispatch core; the documentation lists them."""

    STARTED = 6001
    STOPPING = 6002
    STOPPED = 6003
    SETTINGS_RELOADED = 6004
    SETTINGS_REJECTED = 6005
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
    JOB_FAILED_CAUSE = 6117
    SUBMISSION_DROPPED = 6118
    TASK_STARTED = 6121
    START_REJECTED = 6122
    START_UNANSWERED = 6123
    TASK_ENDED = 6124
    TASK_STOPPED = 6125
    TASK_STALLED = 6126
    RUN_RESOLVED = 6127
    RUN_LOST = 6128
    TASK_GIVEN_UP = 6129
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
    FOUND_RUNS_LEASED = 6216
    SERVER_LISTED = 6221
    SERVER_DRAINING = 6222
    SERVER_UNLISTED = 6223
    LIST_OUTDATED = 6224
    LIST_CURRENT = 6225
    SERVER_RESTARTED = 6231
    STALE_RESPONSE = 6232
    LOSS_RECORDED = 6233
    LOSS_FORGOTTEN = 6235
    SERVER_COLD = 6241
    PEER_FOUND = 6301
    PEER_LOST = 6302
    PEER_RESTARTED = 6303
    PEER_CONNECTED = 6304
    MESSAGE_OUTDATED = 6305
    CONFIGURATION_CHANGED = 6401
    STORE_LOST = 6402
    STORE_BACK = 6403
    RECORD_IGNORED = 6404
    EVACUATION_CHANGED = 6411
    LINES_DROPPED = 6501
    EVENT_FAILED = 6502


@attrs.frozen(kw_only=True)
class LogLine:
    """Write an event to the structured log.

    :param code: the :class:`LogCode` of the event.
    :param subject: job, task, server or instance that the event is about.
    :param fields: inputs of the decision with their age or version, and its outcome.
    """

    code: LogCode = LogCode.STARTED
    subject: str = ""
    fields: dict = attrs.field(factory=dict)
