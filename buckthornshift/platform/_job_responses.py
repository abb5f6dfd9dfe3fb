"""Encode the HTTP responses to the requests of callers."""

import math

import msgspec

from ..dispatch import EndReason, Outcome

DEADLINE_HEADER = "x-deadline-ms"

_OVERLOAD_REASONS = (EndReason.OVERLOADED, EndReason.DEADLINE)


def encode_outcome(action):
    """Encode the response to a submission.

    Status 502 means that the outcome of the job is unknown; the caller may submit it
    again.

    :param action: an :class:`~buckthornshift.dispatch.AnswerCaller`.
    :returns: HTTP status code, response body and further (name, value) headers.
    """
    match action.outcome:
        case Outcome.COMPLETED:
            return 200, msgspec.json.encode({"State": "completed"}), ()
        case Outcome.FAILED if action.reason is EndReason.ATTEMPTS_USED_UP:
            return 200, msgspec.json.encode({"State": "failed"}), ()
        case Outcome.FAILED if action.reason is EndReason.DEADLINE:
            return 504, _encode_reason(action), ()
        case Outcome.NOT_RUN:
            status = 429 if action.reason in _OVERLOAD_REASONS else 503
            return status, _encode_reason(action), _make_retry_headers(action)
        case _:
            return 502, _encode_reason(action), ()


def encode_state(state):
    """Encode the state of a job as a response body.

    :param state: name of the state.
    """
    return msgspec.json.encode({"State": state})


def encode_queue_length(n_waiting):
    """Encode the number of waiting jobs of a queue as a response body.

    :param n_waiting: number of jobs that wait.
    """
    return msgspec.json.encode({"Waiting": n_waiting})


def encode_error(reason, detail=""):
    """Encode an error as a response body.

    :param reason: name of the reason.
    :param detail: description for people.
    """
    return msgspec.json.encode({"Reason": reason, "Detail": detail})


def _encode_reason(action):
    return encode_error(action.reason.value)


def _make_retry_headers(action):
    if action.retry_after_ms <= 0:
        return ()
    return (("Retry-After", str(math.ceil(action.retry_after_ms / 1000.0))),)
