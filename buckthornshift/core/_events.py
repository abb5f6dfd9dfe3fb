"""Events that the shell feeds to the decision core."""

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
    """A caller submitted a job and waits for its answer.

    :param caller_ref: identifies the waiting request.
    :param job: the job.
    :param is_resubmission: whether the caller says it sent this job before.
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

    :param append_id: identifier from the action.
    :param offset: offset of the record.
    """

    append_id: int = 0
    offset: int = 0


@attrs.frozen(kw_only=True)
class AppendFailed:
    """An append was refused or its reply was lost.

    :param append_id: identifier from the action.
    :param may_have_been_appended: whether the record may be in the log all the same.
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
    """A backend server reported on attempts.

    :param server_id: the server.
    :param report: what it said.
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
    """A query, cancellation or probe of a backend server got no answer.

    :param server_id: the server.
    """

    server_id: str = ""


@attrs.frozen(kw_only=True)
class JobFenced:
    """A backend server answered a fence.

    :param server_id: the server.
    :param job_id: the job.
    :param report: what the server knows, or ``None`` if it did not answer.
    """

    server_id: str = ""
    job_id: str = ""
    report: ServerReport | None = None


@attrs.frozen(kw_only=True)
class PeerReceived:
    """A message came from another entry instance.

    :param peer_id: the sender.
    :param message: the message.
    """

    peer_id: str = ""
    message: PeerMessage = None


@attrs.frozen(kw_only=True)
class PeerSendFailed:
    """A message to another entry instance was not acknowledged.

    :param peer_id: the addressee.
    :param message: the message.
    :param may_have_arrived: whether the addressee may have got it all the same.
    """

    peer_id: str = ""
    message: PeerMessage = None
    may_have_arrived: bool = True


@attrs.frozen(kw_only=True)
class DrainRequested:
    """The instance was asked to stop gracefully."""


@attrs.frozen(kw_only=True)
class TimeAdvanced:
    """Time passed; due timers run."""
