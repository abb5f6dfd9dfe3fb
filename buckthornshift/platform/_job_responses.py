"""What callers are told: outcomes as HTTP answers."""

import math

import msgspec

from ..dispatch import EndReason, Outcome

DEADLINE_HEADER = "x-deadline-ms"

_OVERLOAD_REASONS = (EndReason.OVERLOADED, EndReason.DEADLINE)


def encode_outcome(action):
    """Return status, body and further headers of the answer to a submission.

    502 says that nothing is known of the outcome: the caller may send it again.

    :param action: an :class:`~buckthornshift.dispatch.AnswerCaller`.
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
            return status, _encode_reason(action), _make_headers(action)
        case _:
            return 502, _encode_reason(action), ()


def encode_state(state):
    """Return the body that tells a job's state."""
    return msgspec.json.encode({"State": state})


def encode_queue_length(n_waiting):
    """Return the body that tells how many jobs of a queue wait."""
    return msgspec.json.encode({"Waiting": n_waiting})


def encode_error(reason, detail=""):
    """Return the body of a refusal that no decision of the core led to."""
    return msgspec.json.encode({"Reason": reason, "Detail": detail})


def _encode_reason(action):
    return encode_error(action.reason.value)


def _make_headers(action):
    if action.retry_after_ms <= 0:
        return ()
    return (("Retry-After", str(math.ceil(action.retry_after_ms / 1000.0))),)
