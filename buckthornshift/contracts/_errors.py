"""Base classes of errors, and reasons for which a job is refused or fails."""

import enum

import attrs


class Reason(enum.StrEnum):
    """Reason for which a job was refused or failed."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_ENTRY = "unknown_entry"
    TOO_MANY_TASKS = "too_many_tasks"
    TIMEOUT_TOO_LONG = "timeout_too_long"
    DEADLINE_PAST = "deadline_past"
    INFEASIBLE = "infeasible"
    OVERLOADED = "overloaded"
    OVER_LIMIT = "over_limit"
    DRAINING = "draining"
    LOG_UNREACHABLE = "log_unreachable"
    CATALOGUE_NOT_READY = "catalogue_not_ready"
    ID_TOO_OLD = "id_too_old"
    ID_IN_FUTURE = "id_in_future"
    ID_CONFLICT = "id_conflict"
    CANCELLED = "cancelled"
    TASK_FAILED = "task_failed"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    HOME_UNREACHABLE = "home_unreachable"
    UNKNOWN_JOB = "unknown_job"
    ANSWER_NOT_KEPT = "answer_not_kept"
    ALREADY_STARTED = "already_started"


@attrs.frozen(kw_only=True)
class Refusal:
    """Refusal of a request; returned in place of the requested value.

    :param reason: machine-readable reason.
    :param detail: human-readable explanation, such as the value found and the one
        expected.
    :param retry_after_ms: time to wait before a retry, in milliseconds; 0 if a retry
        would not help.
    """

    reason: Reason = Reason.BAD_REQUEST
    detail: str = ""
    retry_after_ms: int = 0


class BuckthornshiftError(Exception):
    """Base class of the errors that this package raises."""


class InvalidInputError(BuckthornshiftError):
    """The input does not match its schema.

    :param where: file and path, or parameter, of the invalid value.
    :param got: the value found.
    :param expected: the accepted values.
    """

    def __init__(self, where="", got="", expected=""):
        super().__init__(f"{where}: got {got}, expected {expected}")
        self.where = where
        self.got = got
        self.expected = expected
