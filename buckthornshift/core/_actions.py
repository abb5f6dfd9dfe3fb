"""Actions that the decision core asks the shell to perform."""

import enum

import attrs

from ..contracts import InstanceRecord, JobAnswer, PeerMessage, StartRequest


@attrs.frozen(kw_only=True)
class AnswerCaller:
    """Send a job's answer to a waiting caller.

    :param caller_ref: identifies the waiting request.
    :param answer: the answer.
    """

    caller_ref: int = 0
    answer: JobAnswer = JobAnswer()


@attrs.frozen(kw_only=True)
class StartAttempts:
    """Send a start to a backend server, once.

    :param server: the platform's record of the server.
    :param request: the start.
    """

    server: InstanceRecord = InstanceRecord()
    request: StartRequest = StartRequest()


@attrs.frozen(kw_only=True)
class QueryAttempts:
    """Ask a backend server about attempts, on a new connection.

    :param server: the platform's record of the server.
    :param attempt_ids: the attempts; empty for a plain probe.
    """

    server: InstanceRecord = InstanceRecord()
    attempt_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class CancelAttempts:
    """Ask a backend server to stop attempts and to refuse them from now on.

    :param server: the platform's record of the server.
    :param attempt_ids: the attempts.
    """

    server: InstanceRecord = InstanceRecord()
    attempt_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class FenceJob:
    """Ask a backend server to fence a job and to tell what it knows of it.

    :param server: the platform's record of the server.
    :param job_id: the job.
    :param term: lowest term still accepted.
    """

    server: InstanceRecord = InstanceRecord()
    job_id: str = ""
    term: int = 0


@attrs.frozen(kw_only=True)
class AppendRecord:
    """Append a record to the log.

    :param append_id: identifies the append in the reply.
    :param stream: name of the stream.
    :param body: encoded record.
    """

    append_id: int = 0
    stream: str = ""
    body: bytes = b""


@attrs.frozen(kw_only=True)
class SendPeer:
    """Send a message to another entry instance.

    :param peer: the platform's record of the addressee.
    :param message: the message.
    """

    peer: InstanceRecord = InstanceRecord()
    message: PeerMessage = None


class EventCode(enum.IntEnum):
    """Numbers of the events in the structured log; catalogued in the docs."""

    INSTANCE_STARTED = 1001
    INSTANCE_STOPPED = 1002
    DRAIN_STARTED = 1003
    DRAIN_FINISHED = 1004
    JOB_ACCEPTED = 2001
    JOB_REFUSED = 2002
    JOB_ANSWERED = 2003
    JOB_ATTACHED = 2004
    JOB_CANCELLED = 2005
    JOB_TAKEN_OVER = 2006
    JOB_RUN_IN_OUTAGE = 2007
    ATTEMPT_RETRIED = 3001
    ATTEMPT_HEDGED = 3002
    ATTEMPT_LOST = 3003
    SERVER_SUSPECTED = 4001
    SERVER_RECOVERED = 4002
    SERVER_EJECTED = 4003
    SERVER_LEAVING = 4004
    SERVER_GONE = 4005
    PEER_UNREACHABLE = 4101
    PEER_REACHABLE = 4102
    LOG_OUT_OF_REACH = 5001
    LOG_BACK = 5002
    CATALOGUE_CHANGED = 5101
    CATALOGUE_CHANGE_REJECTED = 5102
    SNAPSHOT_APPENDED = 5103
    CLAIMS_FLOOR_RAISED = 5104
    RECORD_IGNORED = 5105


@attrs.frozen(kw_only=True)
class WriteLogEvent:
    """Write a numbered event to the structured log.

    :param code: the event's number.
    :param subject: job, server, peer or stream that the event is about.
    :param detail: further explanation.
    """

    code: EventCode = EventCode.INSTANCE_STARTED
    subject: str = ""
    detail: str = ""


@attrs.frozen(kw_only=True)
class Exit:
    """The drain is done; the process may end."""
