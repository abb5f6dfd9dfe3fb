"""Checks of input from outside, with what was got and what was expected."""

import attrs
import msgspec

from ._errors import InvalidInputError, Refusal
from ._job import MAX_ID_CHARS, MAX_PAYLOAD_BYTES, JobRequest, TaskSpec

MAX_RUN_TIME_MS = 3_600_000


@attrs.frozen(kw_only=True)
class JobBody:
    """Body of a submission; the job id stands in the path.

    :param entry: name of the catalogue entry.
    :param tasks: the tasks.
    :param timeout_ms: time the caller waits, in milliseconds.
    """

    entry: str
    tasks: tuple[TaskSpec, ...]
    timeout_ms: int = 10_000


def check_unknown_keys(value, cls, where):
    """Raise if a decoded object has keys that its class does not have.

    :param value: plain value as decoded from JSON.
    :param cls: the attrs class that it stands for.
    :param where: path to the value, for the error.
    :raises InvalidInputError: with the unknown key and the known ones.
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
    """Convert a plain value to a typed object.

    :param value: plain value as decoded from JSON.
    :param cls: the wanted type.
    :param where: path to the value, for the error.
    :raises InvalidInputError: if a type is wrong or a required key is missing.
    """
    try:
        return msgspec.convert(value, type=cls, strict=True)
    except msgspec.ValidationError as error:
        raise convert_validation_error(error, where) from error


def convert_validation_error(error, where):
    """Turn a message of the structuring library into an input error.

    :param error: a :class:`msgspec.ValidationError`.
    :param where: path to the value that was converted.
    """
    text = str(error)
    text, _, path = text.partition(" - at `$")
    expected, _, got = text.partition(", got ")
    return InvalidInputError(
        where=where + path.rstrip("`"),
        got=got or "an invalid value",
        expected=expected.removeprefix("Expected "),
    )


def parse_job(job_id, body):
    """Return the job of a submission, or a refusal.

    :param job_id: identifier from the path.
    :param body: JSON bytes.
    :returns: :class:`JobRequest` or :class:`Refusal`.
    """
    try:
        value = msgspec.json.decode(body)
        _check_job_keys(value)
        parsed = convert_value(value, JobBody, "body")
        _check_tasks(parsed.tasks)
    except (msgspec.DecodeError, RecursionError) as error:
        return Refusal(detail=f"body: got {error}, expected JSON")
    except InvalidInputError as error:
        return Refusal(detail=str(error))
    return JobRequest(
        job_id=job_id,
        entry=parsed.entry,
        tasks=parsed.tasks,
        timeout_ms=parsed.timeout_ms,
    )


def _check_job_keys(value):
    check_unknown_keys(value, JobBody, "body")
    tasks = value.get("tasks", ()) if isinstance(value, dict) else ()
    if not isinstance(tasks, list):
        return
    for index, task in enumerate(tasks):
        check_unknown_keys(task, TaskSpec, f"body.tasks[{index}]")


def _check_tasks(tasks):
    seen = set()
    for index, task in enumerate(tasks):
        where = f"body.tasks[{index}]"
        _check_range(
            f"{where}.task_id", len(task.task_id), 1, MAX_ID_CHARS, "characters"
        )
        if task.task_id in seen:
            raise InvalidInputError(
                where=f"{where}.task_id",
                got=f"{task.task_id!r} a second time",
                expected="identifiers unique inside the job",
            )
        seen.add(task.task_id)
        _check_range(f"{where}.run_time_ms", task.run_time_ms, 0, MAX_RUN_TIME_MS, "ms")
        _check_range(f"{where}.cores", task.cores, 0, 1_024, "cores")
        _check_range(f"{where}.memory_mb", task.memory_mb, 0, 2**24, "MB")
        n_bytes = len(msgspec.json.encode(task.payload))
        _check_range(f"{where}.payload", n_bytes, 0, MAX_PAYLOAD_BYTES, "bytes")


def _check_range(where, value, low, high, unit):
    if not low <= value <= high:
        raise InvalidInputError(
            where=where, got=f"{value} {unit}", expected=f"{low} to {high} {unit}"
        )
