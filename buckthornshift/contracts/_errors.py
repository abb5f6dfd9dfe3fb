"""Sentinel values with a reason, returned in place of a value that cannot be given."""

import enum

import attrs


class Reason(enum.StrEnum):
    """Why a request was refused or failed."""

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
    """Sentinel for a request that is turned down, with the reason.

    :param reason: machine-readable cause.
    :param detail: what was got and what was expected.
    :param retry_after_ms: earliest useful time to ask again, in milliseconds;
        0 when asking again cannot help.
    """

    reason: Reason = Reason.BAD_REQUEST
    detail: str = ""
    retry_after_ms: int = 0


class BuckthornshiftError(Exception):
    """Base of every error that the package raises."""


class InvalidInputError(BuckthornshiftError):
    """Input that does not match its schema.

    :param where: file and path, or parameter, that holds the bad value.
    :param got: what was found.
    :param expected: what would be accepted.
    """

    def __init__(self, where="", got="", expected=""):
        super().__init__(f"{where}: got {got}, expected {expected}")
        self.where = where
        self.got = got
        self.expected = expected
