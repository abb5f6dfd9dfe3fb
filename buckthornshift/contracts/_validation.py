"""Validation of external input; errors state the value found and the one expected."""

import attrs
import msgspec

from ._errors import InvalidInputError, Refusal
from ._job import MAX_ID_CHARS, MAX_PAYLOAD_BYTES, JobRequest, TaskSpec

MAX_RUN_TIME_MS = 3_600_000


@attrs.frozen(kw_only=True)
class JobBody:
    """Request body of a job submission; the job id is part of the path.

    :param entry: name of the catalogue entry.
    :param tasks: the tasks of the job.
    :param timeout_ms: time that the caller waits for the answer, in milliseconds.
    """

    entry: str
    tasks: tuple[TaskSpec, ...]
    timeout_ms: int = 10_000


def check_unknown_keys(value, cls, where):
    """Raise if a decoded object has a key that is not a field of its class.

    :param value: value decoded from JSON.
    :param cls: attrs class that the value represents.
    :param where: path of the value, for the error message.
    :raises InvalidInputError: if there is an unknown key; the error names it
        and lists the known ones.
    """
    if not isinstance(value, dict) or not attrs.has(cls):
        return
    known = attrs.fields_dict(cls)
    for key in value:
        if key not in known:
            raise InvalidInputError(
                where=f"{where}.{key}",
                got="an unknown key",
                expected=f"one of {', '.join(known)}",
            )


def convert_value(value, cls, where):
    """Convert a value decoded from JSON to a typed object.

    :param value: value decoded from JSON.
    :param cls: target type.
    :param where: path of the value, for the error message.
    :raises InvalidInputError: if a type is wrong or a required key is missing.
    """
    try:
        return msgspec.convert(value, type=cls, strict=True)
    except msgspec.ValidationError as error:
        raise convert_validation_error(error, where) from error


def convert_validation_error(error, where):
    """Convert a validation error of msgspec to an :class:`InvalidInputError`.

    :param error: a :class:`msgspec.ValidationError`.
    :param where: path of the value that was converted.
    """
    message = str(error)
    message, _, path = message.partition(" - at `$")
    expected, _, got = message.partition(", got ")
    return InvalidInputError(
        where=where + path.rstrip("`"),
        got=got or "an invalid value",
        expected=expected.removeprefix("Expected "),
    )


def parse_job(job_id, body):
    """Parse and validate a submitted job.

    :param job_id: identifier from the request path.
    :param body: request body, JSON bytes.
    :returns: a :class:`JobRequest`, or a :class:`Refusal` if the body is invalid.
    """
    try:
        value = msgspec.json.decode(body)
        _check_body_keys(value)
        job_body = convert_value(value, JobBody, "body")
        _check_tasks(job_body.tasks)
    except (msgspec.DecodeError, RecursionError) as error:
        return Refusal(detail=f"body: got {error}, expected JSON")
    except InvalidInputError as error:
        return Refusal(detail=str(error))
    return JobRequest(
        job_id=job_id,
        entry=job_body.entry,
        tasks=job_body.tasks,
        timeout_ms=job_body.timeout_ms,
    )


def _check_body_keys(value):
    check_unknown_keys(value, JobBody, "body")
    tasks = value.get("tasks", ()) if isinstance(value, dict) else ()
    if not isinstance(tasks, list):
        return
    for index, task in enumerate(tasks):
        check_unknown_keys(task, TaskSpec, f"body.tasks[{index}]")


def _check_tasks(tasks):
    seen_ids = set()
    for index, task in enumerate(tasks):
        where = f"body.tasks[{index}]"
        _check_range(
            f"{where}.task_id", len(task.task_id), 1, MAX_ID_CHARS, "characters"
        )
        if task.task_id in seen_ids:
            raise InvalidInputError(
                where=f"{where}.task_id",
                got=f"{task.task_id!r} a second time",
                expected="identifiers unique inside the job",
            )
        seen_ids.add(task.task_id)
        _check_range(f"{where}.run_time_ms", task.run_time_ms, 0, MAX_RUN_TIME_MS, "ms")
        _check_range(f"{where}.cores", task.cores, 0, 1_024, "cores")
        _check_range(f"{where}.memory_mb", task.memory_mb, 0, 2**24, "MB")
        n_bytes = len(msgspec.json.encode(task.payload))
        _check_range(f"{where}.payload", n_bytes, 0, MAX_PAYLOAD_BYTES, "bytes")


def _check_range(where, value, min_value, max_value, unit):
    if not min_value <= value <= max_value:
        raise InvalidInputError(
            where=where,
            got=f"{value} {unit}",
            expected=f"{min_value} to {max_value} {unit}",
        )
