"""Messages that the components of an instance exchange, timer messages included.

A job is coordinated by one instance: the one whose claim on the job won in the
shared log. Other instances that receive the job attach to that coordinator.
"""

import attrs

from ..contracts import Claim, JobAnswer, JobRequest
from ._claims import ClaimState
from ._jobs import Attempt, CallerWaiter, Job, PeerWaiter

Waiter = CallerWaiter | PeerWaiter


@attrs.frozen(kw_only=True)
class SubmissionReceived:
    """A job was submitted by a caller or forwarded by a peer.

    :param waiter: who gets the answer.
    :param job: the job as submitted.
    :param is_resubmission: whether the caller says it sent the job before.
    :param is_forwarded: whether a peer forwarded it here to be run.
    """

    waiter: Waiter = CallerWaiter()
    job: JobRequest = JobRequest()
    is_resubmission: bool = False
    is_forwarded: bool = False


@attrs.frozen(kw_only=True)
class AnswerReady:
    """An answer for one waiter that is not attached to a job of this instance.

    :param waiter: who gets the answer.
    :param answer: the answer.
    """

    waiter: Waiter = CallerWaiter()
    answer: JobAnswer = JobAnswer()


@attrs.frozen(kw_only=True)
class ClaimRequested:
    """An accepted job needs a claim in the shared log before it may start.

    :param job: the accepted job.
    """

    job: Job = None


@attrs.frozen(kw_only=True)
class JobReady:
    """A job may start: its claim won, or it runs unclaimed during a log outage.

    :param job: the job to start.
    """

    job: Job = None


@attrs.frozen(kw_only=True)
class ClaimLost:
    """Another instance's claim on a job won.

    :param job: the job that this instance wanted to coordinate.
    :param claim: the winning claim.
    """

    job: Job = None
    claim: Claim = Claim()


@attrs.frozen(kw_only=True)
class JobFinished:
    """A job has its final answer.

    :param job: the job.
    :param answer: the final answer; ignored if the job has one already.
    """

    job: Job = None
    answer: JobAnswer = JobAnswer()


@attrs.frozen(kw_only=True)
class JobWithdrawn:
    """A job is given up before its claim was decided; none of it has started.

    :param job: the job.
    :param answer: the answer with status "not run".
    """

    job: Job = None
    answer: JobAnswer = JobAnswer()


@attrs.frozen(kw_only=True)
class RemoteAnswerRequested:
    """Another instance is to be asked for the answer of a waiter's job.

    :param waiter: who gets the answer.
    :param job: the job as submitted.
    :param coordinator_id: the instance to ask.
    :param claim: the claim of that instance, or ``None`` if the job is forwarded
        to it without one.
    :param is_resubmission: whether the caller says it sent the job before.
    """

    waiter: Waiter = CallerWaiter()
    job: JobRequest = JobRequest()
    coordinator_id: str = ""
    claim: Claim | None = None
    is_resubmission: bool = False


@attrs.frozen(kw_only=True)
class RemoteCancelRequested:
    """Another instance is to be asked to cancel a job that it coordinates.

    :param waiter: who gets the answer.
    :param job_id: the job to cancel.
    :param coordinator_id: the instance to ask.
    """

    waiter: Waiter = CallerWaiter()
    job_id: str = ""
    coordinator_id: str = ""


@attrs.frozen(kw_only=True)
class CoordinatorLost:
    """The process that coordinated a waiter's job no longer exists.

    :param waiter: who gets the answer.
    :param job: the job as submitted.
    :param state: the job's claim and outcome in the shared log.
    """

    waiter: Waiter = CallerWaiter()
    job: JobRequest = JobRequest()
    state: ClaimState = None


@attrs.frozen(kw_only=True)
class RecoveryRequested:
    """The backend servers are to be asked what ran of a lost coordinator's job.

    :param job: the job as built at this instance.
    """

    job: Job = None


@attrs.frozen(kw_only=True)
class JobClosed:
    """A job has its answer, so its unfinished tasks are no longer needed.

    :param job: the answered job.
    :param was_queued: whether its waiting tasks are in the queue.
    """

    job: Job = None
    was_queued: bool = False


@attrs.frozen(kw_only=True)
class TaskRequeued:
    """A task is to be queued again after an attempt without a result.

    :param task: the task.
    :param delay_ms: time to wait first, in milliseconds.
    """

    task: object = None
    delay_ms: float = 0.0


@attrs.frozen(kw_only=True)
class AttemptAdopted:
    """A running attempt that a former coordinator started is to be tracked.

    :param task: the task.
    :param server: the backend server that runs it.
    :param attempt_id: identifier that the former coordinator gave it.
    """

    task: object = None
    server: object = None
    attempt_id: str = ""


@attrs.frozen(kw_only=True)
class AttemptsLost:
    """The outcome of some attempts can no longer be found out.

    :param attempts: the attempts.
    """

    attempts: tuple[Attempt, ...] = ()


@attrs.frozen(kw_only=True)
class AttemptQueryRequested:
    """Backend servers are to be asked for the state of attempts.

    :param attempts: the attempts, possibly on several servers.
    """

    attempts: tuple[Attempt, ...] = ()


@attrs.frozen(kw_only=True)
class AttemptCancelRequested:
    """A backend server is to stop an attempt and refuse any later start of it.

    :param attempt: the attempt to cancel.
    """

    attempt: Attempt = None


@attrs.frozen(kw_only=True)
class ServerUnreachable:
    """A connection to a backend server could not be opened.

    :param server_id: the server.
    :param detail: the failure, for the structured log.
    """

    server_id: str = ""
    detail: str = ""


@attrs.frozen(kw_only=True)
class ServerProcessGone:
    """A process of a backend server no longer exists.

    :param server_id: the server.
    :param incarnation: the process that is gone; the server may have a new one.
    """

    server_id: str = ""
    incarnation: str = ""


@attrs.frozen(kw_only=True)
class LogOutageBegan:
    """The shared log can no longer be reached."""


@attrs.frozen(kw_only=True)
class DeadlineReached:
    """Timer: the deadline of a job has passed.

    :param job: the job.
    """

    job: Job = None


@attrs.frozen(kw_only=True)
class AttemptsOverdue:
    """Timer: attempts that were started together should have ended.

    :param attempts: the attempts.
    :param interval_ms: time that was waited; the next wait doubles, up to a maximum.
    """

    attempts: tuple[Attempt, ...] = ()
    interval_ms: float = 0.0


@attrs.frozen(kw_only=True)
class HedgeDue:
    """Timer: a repeatable task runs so long that a hedge may be started.

    :param attempt: the slow attempt.
    """

    attempt: Attempt = None


@attrs.frozen(kw_only=True)
class JobEscalationDue:
    """Timer: a large job has used much of its timeout and gains priority.

    :param job: the job.
    """

    job: Job = None


@attrs.frozen(kw_only=True)
class RetryDue:
    """Timer: the retry delay of a task is over.

    :param task: the delayed task.
    """

    task: object = None


@attrs.frozen(kw_only=True)
class SchedulingDue:
    """Timer: look again for free slots for queued tasks."""


@attrs.frozen(kw_only=True)
class CancelFlushDue:
    """Timer: send the cancellations collected for each server."""


@attrs.frozen(kw_only=True)
class ProbeDue:
    """Timer: probe a suspected server.

    :param server: the suspected server.
    """

    server: object = None


@attrs.frozen(kw_only=True)
class PeerRequestDue:
    """Timer: retry a request that a peer has not answered, or give it up.

    :param request_id: identifier of the request.
    """

    request_id: int = 0


@attrs.frozen(kw_only=True)
class FenceTimedOut:
    """Timer: stop waiting for servers that have not responded to a fence.

    :param job_id: the job in recovery.
    """

    job_id: str = ""


@attrs.frozen(kw_only=True)
class HousekeepingDue:
    """Timer: snapshots, demand exchange, eviction and catalogue requests."""


@attrs.frozen(kw_only=True)
class DrainCheckDue:
    """Timer: check whether the drain is finished."""
