"""Orders to backend servers: requests and what the answers say."""

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


class _Start(msgspec.Struct, rename="pascal"):
    task: str
    run_id: int
    spec: str
    # End of the lease of everything on the server, and of the order itself.
    deadline_ms: int
    fencing_token: int


class _Stop(msgspec.Struct, rename="pascal"):
    task: str
    run_id: int
    fencing_token: int


class _Hold(msgspec.Struct, rename="pascal", omit_defaults=True):
    fencing_token: int
    last_acked: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class _Answer(msgspec.Struct, rename="pascal"):
    clock_ms: int | None = None
    reason: str = ""
    # Rows of task, run, checkpoint, percent and a measured figure.
    running: list[list] = []
    # Rows of number, task, run, kind and checkpoint.
    ended: list[list] = []


_ENCODER = msgspec.json.Encoder()
_ANSWER = msgspec.json.Decoder(_Answer)
# Header that names the incarnation that an order is meant for.
INCARNATION_HEADER = "X-Expect-Instance"
START_PATH = "/-/run-start"
STOP_PATH = "/-/run-stop"
HOLD_PATH = "/-/hold"


def encode_start(action):
    """Return the body of a start order.

    :param action: a :class:`~buckthornshift.dispatch.StartRun`.
    """
    return _ENCODER.encode(
        _Start(
            task=action.task,
            run_id=action.run,
            spec=action.payload,
            deadline_ms=action.lease_end_ms,
            fencing_token=action.token,
        )
    )


def encode_stop(action):
    """Return the body of a stop order.

    :param action: a :class:`~buckthornshift.dispatch.StopRun`.
    """
    return _ENCODER.encode(
        _Stop(task=action.task, run_id=action.run, fencing_token=action.token)
    )


def encode_hold(action):
    """Return the body of a renewal.

    :param action: a :class:`~buckthornshift.dispatch.RenewLease`.
    """
    return _ENCODER.encode(
        _Hold(
            fencing_token=action.token,
            last_acked=action.last_acked,
            deadline_ms=action.lease_end_ms,
            wait_ms=action.wait_ms,
        )
    )


def decode_server_response(status, body):
    """Return what a server said.

    :param status: HTTP status code.
    :param body: body of the answer.
    :returns: verdict, the server's clock in ms or ``None``, running and ended tasks.
    """
    try:
        answer = _ANSWER.decode(body) if body else _Answer()
        running = tuple(_make_running(row) for row in answer.running)
        ended = tuple(_make_ended(row) for row in answer.ended)
    except (msgspec.MsgspecError, ValueError, IndexError, TypeError):
        # An answer that can't be read proves nothing about the order.
        return Verdict.NO_ANSWER, None, (), ()
    verdict = _VERDICT_BY_STATUS.get(status, Verdict.REJECTED)
    if status == 409:
        verdict = _VERDICT_BY_REASON.get(answer.reason, Verdict.REJECTED)
    return verdict, answer.clock_ms, running, ended


def _make_running(row):
    return RunningTask(task=row[0], run=row[1], percent=float(row[3]))


def _make_ended(row):
    return EndedTask(
        number=row[0],
        task=row[1],
        run=row[2],
        kind=_KIND_BY_NAME.get(row[3], EndKind.BROKEN),
    )
