"""Messages between entry instances and backend servers."""

import enum
from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class AttemptSpec:
    """One start of one task.

    :param attempt_id: unique identifier of this start.
    :param job_id: the job.
    :param task_id: the task inside the job.
    :param term: term of the claim the start is made under; a backend server
        refuses a term below one that it was told to fence.
    :param payload: JSON value for the task.
    :param timeout_ms: time left to the job's deadline, in milliseconds.
    :param cores: processor cores needed.
    :param memory_mb: memory needed, in megabytes.
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
    """Start of several attempts on one backend server.

    :param incarnation: incarnation of the server the start is meant for.
    :param attempts: the attempts.
    """

    incarnation: str = ""
    attempts: tuple[AttemptSpec, ...] = ()


class AttemptState(enum.StrEnum):
    """What a backend server knows of an attempt."""

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
    """State of one attempt, as its backend server reports it.

    :param attempt_id: identifier of the attempt.
    :param task_id: the task, given in answers to :class:`JobFence`.
    :param state: what the server knows.
    :param output: JSON value of the task if it ended well.
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
    """Reports of a backend server with its load, one line of its response.

    :param incarnation: incarnation of the reporting server process.
    :param n_running: tasks running on the server for all entry instances.
    :param is_leaving: whether the server takes no new work.
    :param reports: attempt reports.
    """

    incarnation: str = ""
    n_running: int = 0
    is_leaving: bool = False
    reports: tuple[AttemptReport, ...] = ()


@attrs.frozen(kw_only=True)
class AttemptQuery:
    """Question about attempts, or order to stop them.

    :param attempt_ids: the attempts.
    """

    attempt_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class JobFence:
    """Order to refuse starts of a job below a term and to tell what is known of it.

    :param job_id: the job.
    :param term: lowest term whose starts are still accepted.
    """

    job_id: str = ""
    term: int = 0
