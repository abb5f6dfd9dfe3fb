"""Jobs, tasks and answers as callers see them."""

import enum
import hashlib
from typing import Any

import attrs
import msgspec

from ._errors import Reason, Refusal

MAX_TASKS_PER_JOB = 340
MAX_PAYLOAD_BYTES = 65_536
MAX_ID_CHARS = 64
MIN_TIMEOUT_MS = 10


@attrs.frozen(kw_only=True)
class TaskSpec:
    """One task of a job.

    :param task_id: identifier, unique inside the job.
    :param payload: JSON value handed to the backend server unchanged.
    :param run_time_ms: declared run time in milliseconds, a hint; 0 if unknown.
    :param cores: processor cores the task needs.
    :param memory_mb: memory the task needs, in megabytes.
    """

    task_id: str = ""
    payload: Any = None
    run_time_ms: int = 0
    cores: float = 1.0
    memory_mb: int = 0


@attrs.frozen(kw_only=True)
class JobRequest:
    """A job as submitted by a caller.

    :param job_id: UUID version 7 chosen by the caller, the idempotency key.
    :param entry: name of the catalogue entry.
    :param tasks: the tasks, 1 to 340.
    :param timeout_ms: time the caller waits for the answer, in milliseconds.
    """

    job_id: str = ""
    entry: str = ""
    tasks: tuple[TaskSpec, ...] = ()
    timeout_ms: int = 10_000


class JobStatus(enum.StrEnum):
    """Kinds of final answer."""

    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"


@attrs.frozen(kw_only=True)
class TaskResult:
    """Result of one task.

    :param task_id: identifier of the task inside its job.
    :param output: JSON value that the backend server returned.
    """

    task_id: str = ""
    output: Any = None


@attrs.frozen(kw_only=True)
class JobAnswer:
    """The one answer to a job.

    :param job_id: identifier of the job.
    :param status: complete, failed or not run.
    :param results: one result per task if complete, else empty.
    :param reason: cause of a failure or refusal.
    :param detail: human-readable explanation.
    :param may_have_run: whether some task may have run.
    :param retry_after_ms: when to ask again, in milliseconds; 0 for never.
    """

    job_id: str = ""
    status: JobStatus = JobStatus.NOT_RUN
    results: tuple[TaskResult, ...] = ()
    reason: Reason | None = None
    detail: str = ""
    may_have_run: bool = False
    retry_after_ms: int = 0


def compute_job_digest(job):
    """Return a digest of everything in a job that a resubmission must repeat.

    :param job: the submitted :class:`JobRequest`.
    :returns: 32 hexadecimal characters.
    """
    body = msgspec.json.encode(job, order="sorted")
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def make_conflict_answer(job_id):
    """Build the "not run" answer for a different job under a used id.

    :param job_id: identifier of the job.
    """
    refusal = Refusal(
        reason=Reason.ID_CONFLICT,
        detail="job_id: got a different job under a used id, "
        "expected the same job or a new id",
    )
    return make_refusal_answer(job_id, refusal)


def make_refusal_answer(job_id, refusal):
    """Build the "not run" answer for a refusal.

    :param job_id: identifier of the job.
    :param refusal: the :class:`Refusal`.
    :returns: a :class:`JobAnswer`.
    """
    return JobAnswer(
        job_id=job_id,
        status=JobStatus.NOT_RUN,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
    )
