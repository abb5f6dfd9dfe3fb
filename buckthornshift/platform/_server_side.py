"""The other side of the platform's calls, for stand-ins. No instance imports it."""

import base64
import struct

import msgspec

from ..dispatch import RenewLease, ServerRecord, StartRun, StopRun, Verdict
from ._server_protocol import HOLD_PATH, START_PATH, STOP_PATH

_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QQ")
_STATUS_BY_VERDICT = {
    Verdict.DONE: (200, None),
    Verdict.FENCED: (409, "fence"),
    Verdict.OLD_RUN: (409, "old"),
    Verdict.LATE: (409, "late"),
    Verdict.NO_ROOM: (409, "room"),
    Verdict.OTHER_INCARNATION: (421, None),
}


def decode_server_request(path, body, server_id):
    """Return the order of a request to a server, or ``None`` for another request.

    :param path: path of the request.
    :param body: its body.
    :param server_id: the server that got it.
    """
    value = msgspec.json.decode(body)
    server = ServerRecord(server_id=server_id)
    token = value.get("FencingToken", 0)
    match path:
        case path if path == START_PATH:
            return StartRun(
                server=server,
                token=token,
                task=value["Task"],
                run=value["RunId"],
                payload=value["Spec"],
                lease_end_ms=value["DeadlineMs"],
            )
        case path if path == STOP_PATH:
            return StopRun(
                server=server, token=token, task=value["Task"], run=value["RunId"]
            )
        case path if path == HOLD_PATH:
            return RenewLease(
                server=server,
                token=token,
                lease_end_ms=value.get("DeadlineMs"),
                last_acked=value["LastAcked"],
                wait_ms=value.get("WaitMs", 0),
            )
    return None


def encode_server_response(answer, is_hold):
    """Return status and body of a server's answer.

    :param answer: the answer of a :class:`~buckthornshift.standins.TaskServerModel`.
    :param is_hold: whether it answers a renewal.
    """
    status, reason = _STATUS_BY_VERDICT[answer.verdict]
    value = {"ClockMs": answer.clock_ms}
    if reason is not None:
        value["Reason"] = reason
    elif is_hold:
        value["Running"] = [[r.task, r.run, "", r.percent] for r in answer.running]
        value["Ended"] = [
            [e.number, e.task, e.run, e.kind.value, ""] for e in answer.ended
        ]
    return status, msgspec.json.encode(value)


def encode_server(record):
    """Return the entry of a server.

    :param record: the :class:`~buckthornshift.dispatch.ServerRecord`.
    """
    return msgspec.json.encode(
        {
            "Service": record.service,
            "Address": f"{record.host}:{record.port}",
            "Zone": record.zone,
            "State": "draining" if record.is_draining else "ready",
            "Capacity": {
                "Cpu": record.capacity.cpu,
                "MemMb": record.capacity.memory_mb,
            },
            "Labels": list(record.labels),
        }
    )


def encode_configuration(configuration):
    """Return a configuration as operators publish it.

    :param configuration: the :class:`~buckthornshift.dispatch.Configuration`.
    """
    routes = [
        {
            "Name": queue.name,
            "Host": queue.host,
            "PathPrefix": queue.path_prefix,
            "Service": queue.service,
            "Priority": queue.priority,
            "MaxAttempts": queue.max_attempts,
            "Stretch": queue.stretch,
            "TargetCompletionMs": queue.target_ms,
        }
        for queue in configuration.queues
    ]
    return msgspec.json.encode({"Version": configuration.version, "Routes": routes})


def encode_job(job):
    """Return the body of a submission.

    :param job: the :class:`~buckthornshift.dispatch.JobSpec`.
    """
    steps = [
        {
            "TaskCount": step.n_tasks,
            "Cpu": step.need.cpu,
            "MemMb": step.need.memory_mb,
            "EstimateMs": step.estimate_ms,
            "Requires": step.required_label,
            "After": list(step.after),
        }
        for step in job.steps
    ]
    value = {"Spec": job.payload, "Steps": steps, "BestEffort": True}
    return msgspec.json.encode(value)


def decode_append(body):
    """Return the keyed records of an append as (key, value) pairs."""
    records = []
    while body:
        (length,) = _LENGTH.unpack_from(body)
        content, body = body[4 : 4 + length], body[4 + length :]
        end = 1 + content[0]
        records.append((content[1:end].decode(), bytes(content[end:])))
    return records


def encode_tail(records, end):
    """Return the answer to a read of a keyed topic.

    :param records: (key, value) pairs.
    :param end: offset after the last record of the topic.
    """
    parts = [_HEAD.pack(end, 0)]
    for key, value in records:
        name = key.encode()
        content = bytes([len(name)]) + name + value
        parts.append(_LENGTH.pack(len(content)) + content)
    return b"".join(parts)


def encode_newest(records, end):
    """Return the newest record of each key.

    :param records: (key, value) pairs.
    :param end: offset after the last record of the topic.
    """
    items = [
        {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": 0}
        for key, value in records
    ]
    return msgspec.json.encode({"items": items, "HasMore": False, "End": end})
