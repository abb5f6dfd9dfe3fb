"""Messages between the parts of the core, timer messages included."""

import attrs

from ..contracts import Claim, JobAnswer, JobRequest
from ._claims import ClaimState
from ._jobs import Attempt, CallerWaiter, Job, PeerWaiter

Waiter = CallerWaiter | PeerWaiter


@attrs.frozen(kw_only=True)
class SubmissionReceived:
    """A job came from a caller or a peer.

    :param waiter: who gets the answer.
    :param job: the job.
    :param is_resubmission: whether the caller says it sent the job before.
    :param is_forwarded: whether a peer sent it here to be run.
    """

    waiter: Waiter = CallerWaiter()
    job: JobRequest = JobRequest()
    is_resubmission: bool = False
    is_forwarded: bool = False


@attrs.frozen(kw_only=True)
class ReplyReady:
    """A waiter is to get an answer that belongs to no job of this instance.

    :param waiter: who gets it.
    :param answer: the answer.
    """

    waiter: Waiter = CallerWaiter()
    answer: JobAnswer = JobAnswer()


@attrs.frozen(kw_only=True)
class ClaimRequested:
    """A job is accepted and needs its claim.

    :param job: the job.
    """

    job: Job = None


@attrs.frozen(kw_only=True)
class JobReady:
    """A job's claim is won, or it runs in an outage: it may start.

    :param job: the job.
    """

    job: Job = None


@attrs.frozen(kw_only=True)
class ClaimLost:
    """A job's claim went to another instance.

    :param job: the job.
    :param claim: the winning claim.
    """

    job: Job = None
    claim: Claim = Claim()


@attrs.frozen(kw_only=True)
class JobFinished:
    """A job has its answer.

    :param job: the job.
    :param answer: the answer.
    """

    job: Job = None
    answer: JobAnswer = JobAnswer()


@attrs.frozen(kw_only=True)
class JobWithdrawn:
    """A job that never started is given up before its claim was settled.

    :param job: the job.
    :param answer: the "not run" answer.
    """

    job: Job = None
    answer: JobAnswer = JobAnswer()


@attrs.frozen(kw_only=True)
class RemoteAnswerRequested:
    """A waiter's job belongs to another instance, which is to be asked.

    :param waiter: who gets the answer.
    :param job: the job.
    :param coordinator_id: the instance to ask.
    :param claim: the claim of that instance, or ``None`` for a forwarded job.
    :param is_resubmission: whether the caller says it sent the job before.
    """

    waiter: Waiter = CallerWaiter()
    job: JobRequest = JobRequest()
    coordinator_id: str = ""
    claim: Claim | None = None
    is_resubmission: bool = False


@attrs.frozen(kw_only=True)
class RemoteCancelRequested:
    """A job to be cancelled belongs to another instance.

    :param waiter: who gets the answer.
    :param job_id: the job.
    :param coordinator_id: the instance to ask.
    """

    waiter: Waiter = CallerWaiter()
    job_id: str = ""
    coordinator_id: str = ""


@attrs.frozen(kw_only=True)
class CoordinatorLost:
    """The home of a waiter's job no longer exists.

    :param waiter: who gets the answer.
    :param job: the job.
    :param state: what the log says of the job.
    """

    waiter: Waiter = CallerWaiter()
    job: JobRequest = JobRequest()
    state: ClaimState = None


@attrs.frozen(kw_only=True)
class RecoveryRequested:
    """A job of a lost home is to be recovered from the backend servers.

    :param job: the job, at this instance.
    """

    job: Job = None


@attrs.frozen(kw_only=True)
class JobClosed:
    """A job has its answer; what is left of its tasks is not wanted any more.

    :param job: the job.
    :param was_queued: whether its waiting tasks are on the queue.
    """

    job: Job = None
    was_queued: bool = False


@attrs.frozen(kw_only=True)
class TaskRequeued:
    """A task is to be queued again.

    :param task: the task.
    :param delay_ms: time to wait first.
    """

    task: object = None
    delay_ms: float = 0.0


@attrs.frozen(kw_only=True)
class AttemptAdopted:
    """An attempt that a former home had started is to be followed.

    :param task: the task.
    :param server: the server that runs it.
    :param attempt_id: its identifier.
    """

    task: object = None
    server: object = None
    attempt_id: str = ""


@attrs.frozen(kw_only=True)
class AttemptsLost:
    """Nobody can tell about some attempts.

    :param attempts: the attempts.
    """

    attempts: tuple[Attempt, ...] = ()


@attrs.frozen(kw_only=True)
class AttemptQueryRequested:
    """Servers are to be asked about attempts.

    :param attempts: the attempts.
    """

    attempts: tuple[Attempt, ...] = ()


@attrs.frozen(kw_only=True)
class AttemptCancelRequested:
    """A server is to stop an attempt and to refuse it from now on.

    :param attempt: the attempt.
    """

    attempt: Attempt = None


@attrs.frozen(kw_only=True)
class ServerUnreachable:
    """A server took no connection.

    :param server_id: the server.
    :param detail: what was seen.
    """

    server_id: str = ""
    detail: str = ""


@attrs.frozen(kw_only=True)
class ServerProcessGone:
    """A process of a backend server no longer exists.

    :param server_id: the server.
    :param incarnation: its process.
    """

    server_id: str = ""
    incarnation: str = ""


@attrs.frozen(kw_only=True)
class LogOutageBegan:
    """The log went out of reach."""


@attrs.frozen(kw_only=True)
class DeadlineReached:
    """Timer: a job's deadline.

    :param job: the job.
    """

    job: Job = None


@attrs.frozen(kw_only=True)
class AttemptsOverdue:
    """Timer: attempts of one start should have ended.

    :param attempts: the attempts.
    :param interval_ms: time to the next look.
    """

    attempts: tuple[Attempt, ...] = ()
    interval_ms: float = 0.0


@attrs.frozen(kw_only=True)
class HedgeDue:
    """Timer: a repeatable task runs longer than expected.

    :param attempt: its attempt.
    """

    attempt: Attempt = None


@attrs.frozen(kw_only=True)
class JobEscalationDue:
    """Timer: a large job has used up much of its time.

    :param job: the job.
    """

    job: Job = None


@attrs.frozen(kw_only=True)
class RetryDue:
    """Timer: a delayed task may go back to the queue.

    :param task: the task.
    """

    task: object = None


@attrs.frozen(kw_only=True)
class SchedulingDue:
    """Timer: look for slots again."""


@attrs.frozen(kw_only=True)
class CancelFlushDue:
    """Timer: send the gathered cancellations."""


@attrs.frozen(kw_only=True)
class ProbeDue:
    """Timer: probe a suspected server.

    :param server: the server.
    """

    server: object = None


@attrs.frozen(kw_only=True)
class PeerRequestDue:
    """Timer: look again at a question that another home has not answered.

    :param request_id: the question.
    """

    request_id: int = 0


@attrs.frozen(kw_only=True)
class FenceTimedOut:
    """Timer: stop waiting for backend servers that do not tell.

    :param job_id: the job in recovery.
    """

    job_id: str = ""


@attrs.frozen(kw_only=True)
class HousekeepingDue:
    """Timer: snapshots, demand, eviction and requests to peers."""


@attrs.frozen(kw_only=True)
class DrainCheckDue:
    """Timer: look whether the drain is done."""
