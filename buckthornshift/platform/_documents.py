"""Decode the JSON documents of the platform: configuration, server entries, jobs."""

import ipaddress
from typing import Annotated

import attrs
import msgspec

from ..contracts import BuckthornshiftError
from ..dispatch import (
    Configuration,
    HttpLimits,
    JobSpec,
    Queue,
    Resources,
    ServerRecord,
    StepSpec,
)


class UnreadableError(BuckthornshiftError):
    """A document can't be decoded, or a value in it is invalid."""


class _Advice(msgspec.Struct, rename="pascal"):
    decide_ms: float = 0.0


class _Route(msgspec.Struct, rename="pascal"):
    """A route of the platform; see :class:`~buckthornshift.dispatch.Queue`."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: float = 60_000.0
    # Constant part of the latency objective; it doesn't include the duration of a job.
    target_completion_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: _Advice | None = None


class _Limits(msgspec.Struct, rename="pascal", frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Config(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route] = []
    limits: _Limits = _Limits()


# Other programs write these documents as well. Numbers are bounded so that sums of them
# fit into the messages between instances and into a float, texts so that a list of
# servers stays short.
_Amount = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
_EpochMs = Annotated[int, msgspec.Meta(ge=0, le=2**53 - 1)]
_DurationMs = Annotated[float, msgspec.Meta(le=86_400_000.0)]
_ShortText = Annotated[str, msgspec.Meta(max_length=255)]


class _Capacity(msgspec.Struct, rename="pascal"):
    # In thousandths of a core.
    cpu: _Amount
    mem_mb: _Amount
    gpu: _Amount = 0


class _Server(msgspec.Struct, rename="pascal"):
    service: _ShortText
    address: _ShortText
    zone: _ShortText
    state: _ShortText
    capacity: _Capacity
    labels: Annotated[list[_ShortText], msgspec.Meta(max_length=64)] = []
    # Start of the server's process, in milliseconds since the epoch.
    born: _EpochMs = msgspec.field(name="born", default=0)
    cold_left_ms: _DurationMs = 0.0


class _Step(msgspec.Struct, rename="pascal"):
    task_count: int = 1
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    estimate_ms: _DurationMs = 0.0
    after: list[int] = []
    requires: str = ""
    data_rack: str = ""
    # Maximum number of tasks of this step on one server. The name suggests a pair of
    # steps to keep apart, but that is not what the value means.
    anti_affinity: _Amount = 0
    gang: bool = False
    long_running: bool = False
    fills: bool = False
    may_miss: int = 0


class _Job(msgspec.Struct, rename="pascal"):
    spec: str = ""
    steps: list[_Step] = []
    # If true, the response to the submission is the outcome and the job is not stored.
    best_effort: bool = False
    long_running: bool = False
    repeats: int = 0


_CONFIG_DECODER = msgspec.json.Decoder(_Config)
_SERVER_DECODER = msgspec.json.Decoder(_Server)
_JOB_DECODER = msgspec.json.Decoder(_Job)
_SERVER_STATES = ("ready", "draining")
JOB_ID_CHARS = 16
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_PAYLOAD_BYTES = 4_000
# Far above the largest jobs of 340 tasks; an owner keeps an object for each task.
MAX_TASKS_PER_JOB = 4_096


@attrs.frozen(kw_only=True)
class JobSubmission:
    """A decoded submission.

    :param job: the job.
    :param unsupported: names of the requested features that are not supported.
    """

    job: JobSpec = JobSpec()
    unsupported: tuple[str, ...] = ()


def decode_configuration(body):
    """Decode a configuration.

    :param body: JSON bytes.
    :returns: a :class:`~buckthornshift.dispatch.Configuration`.
    :raises UnreadableError: if the document is invalid.
    """
    config = _decode(_CONFIG_DECODER, body)
    return Configuration(
        version=config.version,
        queues=tuple(_make_queue(route) for route in config.routes),
        limits=HttpLimits(
            max_head_bytes=config.limits.max_header_bytes,
            max_body_bytes=config.limits.max_body_bytes,
            head_timeout_ms=config.limits.header_timeout_ms,
            idle_timeout_ms=config.limits.idle_timeout_ms,
        ),
    )


def decode_server(server_id, body):
    """Decode the entry of a backend server.

    :param server_id: id of the server, which is the key of its record.
    :param body: JSON bytes.
    :returns: a :class:`~buckthornshift.dispatch.ServerRecord`.
    :raises UnreadableError: if the id or the document is invalid, or its state, address
        or capacity is.
    """
    server = _decode(_SERVER_DECODER, body)
    host, _, port = server.address.rpartition(":")
    # The id is sent in a header. A name would have to be resolved.
    if not _is_plain(server_id) or not _is_ip_address(host):
        raise UnreadableError(f"id {server_id[:40]!r}, address {server.address!r}")
    if not _is_port(port) or server.state not in _SERVER_STATES:
        raise UnreadableError(f"state {server.state!r}, address {server.address!r}")
    return ServerRecord(
        server_id=server_id,
        service=server.service,
        host=host,
        port=int(port),
        zone=server.zone,
        is_draining=server.state == "draining",
        capacity=Resources(
            cpu=server.capacity.cpu,
            memory_mb=server.capacity.mem_mb,
            gpu=server.capacity.gpu,
        ),
        labels=tuple(server.labels),
        started_ms=server.born,
        cold_left_ms=max(0.0, server.cold_left_ms),
    )


def decode_job(job_id, body):
    """Decode a submission.

    :param job_id: id of the job, from the path of the request.
    :param body: JSON bytes.
    :returns: a :class:`JobSubmission`.
    :raises UnreadableError: if the id or the document is invalid.
    """
    is_hex = len(job_id) == JOB_ID_CHARS and all(
        char in "0123456789abcdefABCDEF" for char in job_id
    )
    if not is_hex:
        raise UnreadableError(f"id {job_id[:40]!r}: expected 16 hexadecimal digits")
    job = _decode(_JOB_DECODER, body)
    _validate_job(job)
    spec = JobSpec(
        job_id=job_id,
        payload=job.spec,
        steps=tuple(_make_step(step) for step in job.steps),
    )
    return JobSubmission(job=spec, unsupported=_list_unsupported(job))


def _is_plain(text):
    """Return whether a text is not empty and has only visible ASCII characters."""
    return bool(text) and all("!" <= char <= "~" for char in text)


def _is_ip_address(text):
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_port(text):
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS
    return is_number and 0 < int(text) <= MAX_PORT


def _decode(decoder, body):
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableError(str(error)) from error


def _make_queue(route):
    return Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_ms=route.target_completion_ms,
        timeout_ms=route.timeout_ms,
        needs_advice=route.advice is not None,
    )


def _make_step(step):
    return StepSpec(
        n_tasks=step.task_count,
        need=Resources(cpu=step.cpu, memory_mb=step.mem_mb, gpu=step.gpu),
        estimate_ms=step.estimate_ms,
        after=tuple(step.after),
        required_label=step.requires,
        data_rack=step.data_rack,
        max_per_server=step.anti_affinity,
    )


def _validate_job(job):
    if len(job.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise UnreadableError(f"payload: expected at most {MAX_PAYLOAD_BYTES} bytes")
    if not job.steps:
        raise UnreadableError("steps: expected at least one")
    n_tasks = sum(step.task_count for step in job.steps)
    if n_tasks > MAX_TASKS_PER_JOB:
        raise UnreadableError(
            f"{n_tasks} tasks: expected at most {MAX_TASKS_PER_JOB} in a job"
        )
    for number, step in enumerate(job.steps):
        if step.task_count < 1:
            raise UnreadableError(f"step {number}: expected at least one task")
        if any(not 0 <= dependency < number for dependency in step.after):
            raise UnreadableError(f"step {number}: expected earlier steps in After")


def _list_unsupported(job):
    requested = {
        "jobs that are stored": not job.best_effort,
        "lasting tasks": job.long_running or any(s.long_running for s in job.steps),
        "occurrences": job.repeats > 0,
        "gangs": any(step.gang for step in job.steps),
        "tasks that fill": any(step.fills for step in job.steps),
        "bounded absence": any(step.may_miss for step in job.steps),
    }
    return tuple(name for name, is_requested in requested.items() if is_requested)
