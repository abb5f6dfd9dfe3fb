"""Codecs for test doubles of the platform: decode requests and encode responses.

Instances don't import this module.
"""

import base64
import struct

import msgspec

from ..dispatch import RenewLease, ServerRecord, StartRun, StopRun, Verdict
from ._server_protocol import LEASE_RENEWAL_PATH, START_PATH, STOP_PATH

_LENGTH_PREFIX = struct.Struct(">I")
_TAIL_HEADER = struct.Struct(">QQ")
_STATUS_BY_VERDICT = {
    Verdict.DONE: (200, None),
    Verdict.FENCED: (409, "fence"),
    Verdict.OLD_RUN: (409, "old"),
    Verdict.LATE: (409, "late"),
    Verdict.NO_ROOM: (409, "room"),
    Verdict.OTHER_INCARNATION: (421, None),
}


def decode_server_request(path, body, server_id):
    """Decode a start, a stop or a lease renewal.

    :param path: path of the request.
    :param body: request body.
    :param server_id: the server that received the request.
    :returns: the action that led to the request, or ``None`` for another path.
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
        case path if path == LEASE_RENEWAL_PATH:
            return RenewLease(
                server=server,
                token=token,
                lease_end_ms=value.get("DeadlineMs"),
                last_acked=value["LastAcked"],
                wait_ms=value.get("WaitMs", 0),
            )
    return None


def encode_server_response(response, is_renewal):
    """Encode the response of a backend server.

    :param response: the response of a
        :class:`~buckthornshift.standins.TaskServerModel`.
    :param is_renewal: whether it responds to a lease renewal.
    :returns: HTTP status code and response body.
    """
    status, reason = _STATUS_BY_VERDICT[response.verdict]
    value = {"ClockMs": response.clock_ms}
    if is_renewal and response.started_ms:
        value["born"] = response.started_ms
    if reason is not None:
        value["Reason"] = reason
    elif is_renewal:
        value["Running"] = [[r.task, r.run, "", r.percent] for r in response.running]
        value["Ended"] = [
            [e.number, e.task, e.run, e.kind.value, ""] for e in response.ended
        ]
    return status, msgspec.json.encode(value)


def encode_server(record):
    """Encode the entry of a backend server.

    :param record: the :class:`~buckthornshift.dispatch.ServerRecord`.
    """
    value = {
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
    if record.started_ms:
        value["born"] = record.started_ms
    if record.cold_left_ms:
        value["ColdLeftMs"] = record.cold_left_ms
    return msgspec.json.encode(value)


def encode_configuration(configuration):
    """Encode a configuration as operators publish it.

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
    """Encode the submission of a best-effort job.

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
    """Decode the body of an append into (key, value) pairs.

    :param body: request body.
    """
    records = []
    while body:
        (length,) = _LENGTH_PREFIX.unpack_from(body)
        frame, body = body[4 : 4 + length], body[4 + length :]
        end = 1 + frame[0]
        records.append((frame[1:end].decode(), bytes(frame[end:])))
    return records


def encode_tail(records, end):
    """Encode the response to a read from an offset.

    :param records: (key, value) pairs.
    :param end: offset after the last record of the topic.
    """
    frames = [_TAIL_HEADER.pack(end, 0)]
    for key, value in records:
        key_bytes = key.encode()
        frame = bytes([len(key_bytes)]) + key_bytes + value
        frames.append(_LENGTH_PREFIX.pack(len(frame)) + frame)
    return b"".join(frames)


def encode_newest(records, end):
    """Encode the response to a read of the newest record of each key.

    :param records: (key, value) pairs.
    :param end: offset after the last record of the topic.
    """
    items = [
        {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": 0}
        for key, value in records
    ]
    return msgspec.json.encode({"items": items, "HasMore": False, "End": end})
