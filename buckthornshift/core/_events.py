"""Events that the shell passes to the decision core."""

import attrs

from ..contracts import (
    InstanceList,
    JobRequest,
    LogBatch,
    PeerMessage,
    ServerReport,
)


@attrs.frozen(kw_only=True)
class JobSubmitted:
    """A caller submitted a job and is waiting for its answer.

    :param caller_ref: identifies the waiting request.
    :param job: the job.
    :param is_resubmission: whether the caller marked it as sent before.
    """

    caller_ref: int = 0
    job: JobRequest = JobRequest()
    is_resubmission: bool = False


@attrs.frozen(kw_only=True)
class JobCancelRequested:
    """A caller asked to cancel a job.

    :param caller_ref: identifies the waiting request.
    :param job_id: the job.
    """

    caller_ref: int = 0
    job_id: str = ""


@attrs.frozen(kw_only=True)
class LogRead:
    """Records were read from a stream of the log.

    :param stream: name of the stream.
    :param batch: the records.
    """

    stream: str = ""
    batch: LogBatch = LogBatch()


@attrs.frozen(kw_only=True)
class LogReadFailed:
    """A read of the log failed.

    :param stream: name of the stream.
    """

    stream: str = ""


@attrs.frozen(kw_only=True)
class AppendDone:
    """An append was acknowledged.

    :param append_id: identifier given in the action.
    :param offset: offset of the record.
    """

    append_id: int = 0
    offset: int = 0


@attrs.frozen(kw_only=True)
class AppendFailed:
    """An append was refused or its response was lost.

    :param append_id: identifier given in the action.
    :param may_have_been_appended: whether the record may be in the log nevertheless.
    """

    append_id: int = 0
    may_have_been_appended: bool = True


@attrs.frozen(kw_only=True)
class InstancesListed:
    """The platform's instance list was read.

    :param instances: the list.
    """

    instances: InstanceList = InstanceList()


@attrs.frozen(kw_only=True)
class ServerReported:
    """A backend server reported the states of attempts and its load.

    :param server_id: the server.
    :param report: its report.
    """

    server_id: str = ""
    report: ServerReport = ServerReport()


@attrs.frozen(kw_only=True)
class StartNotSent:
    """No byte of a start reached its server.

    :param server_id: the server.
    :param attempt_ids: the attempts.
    """

    server_id: str = ""
    attempt_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class StartLost:
    """A connection ended while attempts on it had no result.

    :param server_id: the server.
    :param attempt_ids: the attempts.
    """

    server_id: str = ""
    attempt_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class QueryFailed:
    """A query, cancellation or probe of a backend server got no response.

    :param server_id: the server.
    """

    server_id: str = ""


@attrs.frozen(kw_only=True)
class JobFenced:
    """A request to fence a job on a backend server ended.

    :param server_id: the server.
    :param job_id: the job.
    :param report: the server's report, or ``None`` if it did not respond.
    """

    server_id: str = ""
    job_id: str = ""
    report: ServerReport | None = None


@attrs.frozen(kw_only=True)
class PeerReceived:
    """Another entry instance sent a message.

    :param peer_id: the sender.
    :param message: the message.
    """

    peer_id: str = ""
    message: PeerMessage = None


@attrs.frozen(kw_only=True)
class PeerSendFailed:
    """A message to another entry instance was not acknowledged.

    :param peer_id: the receiver.
    :param message: the message.
    :param may_have_arrived: whether the receiver may have got it nevertheless.
    """

    peer_id: str = ""
    message: PeerMessage = None
    may_have_arrived: bool = True


@attrs.frozen(kw_only=True)
class DrainRequested:
    """The instance was asked to stop gracefully."""


@attrs.frozen(kw_only=True)
class TimeAdvanced:
    """Time has passed, and due timers are to fire."""
