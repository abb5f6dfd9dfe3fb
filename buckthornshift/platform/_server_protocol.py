"""Wire format of the requests to backend servers and of their responses."""

import msgspec

from ..dispatch import EndedTask, EndKind, RunningTask, Verdict

_VERDICT_BY_REASON = {
    "fence": Verdict.FENCED,
    "old": Verdict.OLD_RUN,
    "late": Verdict.LATE,
    "room": Verdict.NO_ROOM,
}
_VERDICT_BY_STATUS = {
    200: Verdict.DONE,
    421: Verdict.OTHER_INCARNATION,
    429: Verdict.UNHEALTHY,
    503: Verdict.UNHEALTHY,
}
_KIND_BY_NAME = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.BROKEN,
    "alone": EndKind.BROKEN,
}


class _StartRequest(msgspec.Struct, rename="pascal"):
    task: str
    run_id: int
    spec: str
    # End of the lease of every run on the server; the server also rejects this request
    # after it.
    deadline_ms: int
    fencing_token: int


class _StopRequest(msgspec.Struct, rename="pascal"):
    task: str
    run_id: int
    fencing_token: int


class _LeaseRenewalRequest(msgspec.Struct, rename="pascal", omit_defaults=True):
    fencing_token: int
    last_acked: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class _Response(msgspec.Struct, rename="pascal"):
    clock_ms: int | None = None
    reason: str = ""
    # Rows of task, run, checkpoint, percent and a measured value.
    running: list[list] = []
    # Rows of sequence number, task, run, kind of end and checkpoint.
    ended: list[list] = []
    # Start of the server's process, in milliseconds since the epoch.
    born: int = msgspec.field(name="born", default=0)


_ENCODER = msgspec.json.Encoder()
_RESPONSE_DECODER = msgspec.json.Decoder(_Response)
# Header that names the incarnation of the server that a request is meant for.
INCARNATION_HEADER = "X-Expect-Instance"
START_PATH = "/-/run-start"
STOP_PATH = "/-/run-stop"
LEASE_RENEWAL_PATH = "/-/hold"


def encode_start(action):
    """Encode a request to start a task run.

    :param action: a :class:`~buckthornshift.dispatch.StartRun`.
    """
    return _ENCODER.encode(
        _StartRequest(
            task=action.task,
            run_id=action.run,
            spec=action.payload,
            deadline_ms=action.lease_end_ms,
            fencing_token=action.token,
        )
    )


def encode_stop(action):
    """Encode a request to stop a task run.

    :param action: a :class:`~buckthornshift.dispatch.StopRun`.
    """
    return _ENCODER.encode(
        _StopRequest(task=action.task, run_id=action.run, fencing_token=action.token)
    )


def encode_lease_renewal(action):
    """Encode a lease renewal.

    :param action: a :class:`~buckthornshift.dispatch.RenewLease`.
    """
    return _ENCODER.encode(
        _LeaseRenewalRequest(
            fencing_token=action.token,
            last_acked=action.last_acked,
            deadline_ms=action.lease_end_ms,
            wait_ms=action.wait_ms,
        )
    )


def decode_server_response(status, body):
    """Decode the response of a server to a start, a stop or a lease renewal.

    :param status: HTTP status code.
    :param body: response body.
    :returns: a tuple of the :class:`~buckthornshift.dispatch.Verdict`, the clock of the
        server in ms or ``None``, the running tasks, the ended tasks, and when the
        server started, in milliseconds since the epoch or 0.
    """
    try:
        response = _RESPONSE_DECODER.decode(body) if body else _Response()
        running = tuple(_decode_running(row) for row in response.running)
        ended = tuple(_decode_ended(row) for row in response.ended)
    except (msgspec.MsgspecError, ValueError, IndexError, TypeError):
        # An unreadable response doesn't tell whether the request was carried out.
        return Verdict.NO_ANSWER, None, (), (), 0
    # An internal error doesn't tell whether the request was carried out.
    default = Verdict.NO_ANSWER if status >= 500 else Verdict.REJECTED
    verdict = _VERDICT_BY_STATUS.get(status, default)
    if status == 409:
        verdict = _VERDICT_BY_REASON.get(response.reason, Verdict.REJECTED)
    return verdict, response.clock_ms, running, ended, response.born


def _decode_running(row):
    _check_types(row, (str, int))
    return RunningTask(task=row[0], run=row[1], percent=float(row[3]))


def _decode_ended(row):
    _check_types(row, (int, str, int, str))
    return EndedTask(
        number=row[0],
        task=row[1],
        run=row[2],
        kind=_KIND_BY_NAME.get(row[3], EndKind.BROKEN),
    )


def _check_types(row, expected):
    for value, cls in zip(row, expected, strict=False):
        if type(value) is not cls:
            raise TypeError(f"expected {cls.__name__}, got {value!r}")
