"""Messages between entry instances and backend servers."""

import enum
from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class AttemptSpec:
    """One attempt to run one task.

    :param attempt_id: unique identifier of the attempt.
    :param job_id: identifier of the job.
    :param task_id: identifier of the task inside the job.
    :param term: term of the claim under which the attempt is started. A backend server
        that was told to fence the job rejects terms below that of the fence.
    :param payload: JSON value handed to the task.
    :param timeout_ms: time left until the job's deadline, in milliseconds.
    :param cores: processor cores that the task needs.
    :param memory_mb: memory that the task needs, in megabytes.
    """

    attempt_id: str = ""
    job_id: str = ""
    task_id: str = ""
    term: int = 0
    payload: Any = None
    timeout_ms: int = 0
    cores: float = 1.0
    memory_mb: int = 0


@attrs.frozen(kw_only=True)
class StartRequest:
    """Request to start several attempts on one backend server.

    :param incarnation: incarnation of the server process that the request is for;
        any other process rejects it.
    :param attempts: the attempts to start.
    """

    incarnation: str = ""
    attempts: tuple[AttemptSpec, ...] = ()


class AttemptState(enum.StrEnum):
    """State of an attempt on a backend server."""

    OK = "ok"
    FAILED = "failed"
    BUSY = "busy"
    LEAVING = "leaving"
    WRONG_INCARNATION = "wrong_incarnation"
    FENCED = "fenced"
    NEVER_STARTED = "never_started"
    RUNNING = "running"
    STOPPED = "stopped"
    UNKNOWN = "unknown"


# States in which the task has certainly not been started by this attempt.
NOT_STARTED_STATES = frozenset(
    {
        AttemptState.BUSY,
        AttemptState.LEAVING,
        AttemptState.WRONG_INCARNATION,
        AttemptState.FENCED,
        AttemptState.NEVER_STARTED,
    }
)


@attrs.frozen(kw_only=True)
class AttemptReport:
    """State of one attempt as reported by its backend server.

    :param attempt_id: identifier of the attempt.
    :param task_id: identifier of the task; set in responses to :class:`JobFence`.
    :param state: state of the attempt.
    :param output: JSON value returned by the task if it succeeded.
    :param detail: explanation of a failure.
    :param run_ms: run time on the server, in milliseconds.
    """

    attempt_id: str = ""
    task_id: str = ""
    state: AttemptState = AttemptState.UNKNOWN
    output: Any = None
    detail: str = ""
    run_ms: float = 0.0


@attrs.frozen(kw_only=True)
class ServerReport:
    """Attempt reports and load of a backend server; one line of its response.

    :param incarnation: incarnation of the reporting server process.
    :param n_running: number of tasks running on the server, of all entry instances.
    :param is_leaving: whether the server shuts down and accepts no new attempts.
    :param reports: reports of single attempts.
    """

    incarnation: str = ""
    n_running: int = 0
    is_leaving: bool = False
    reports: tuple[AttemptReport, ...] = ()


@attrs.frozen(kw_only=True)
class AttemptQuery:
    """Request for the state of attempts, or to cancel them.

    :param attempt_ids: identifiers of the attempts.
    """

    attempt_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class JobFence:
    """Request to reject attempts of a job below a term and to report its attempts.

    :param job_id: identifier of the job.
    :param term: lowest term whose attempts are still accepted.
    """

    job_id: str = ""
    term: int = 0
