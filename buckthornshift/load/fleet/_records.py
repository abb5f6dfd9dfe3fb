"""What became of each request of a run, and of the servers' room."""

import enum

import attrs

from .._result_files import read_result_file

LARGEST_SHARE = 0.1
LARGE_SHARE = 0.3


class RequestOutcome(enum.StrEnum):
    """What a caller got."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"
    NO_ANSWER = "no_answer"


class LatencyStage(enum.StrEnum):
    """Where the time of a complete job went."""

    FORWARD = "forward"
    QUEUE = "queue"
    START = "start"
    RUN = "run"
    ANSWER = "answer"


@attrs.frozen(kw_only=True)
class RequestRecord:
    """One request.

    :param job_id: its job.
    :param kind: name of its kind.
    :param zone: zone of its caller.
    :param size: work over the mean of its kind.
    :param at_ms: when it was sent, from the start of the load.
    :param fate: what its caller got.
    :param reason: reason of a refusal or failure; empty if there is none.
    :param elapsed_ms: time from its first sending to the answer.
    :param credit: what it was worth.
    :param earned: what it earned.
    :param stage_ms: where its time went, by :class:`LatencyStage`, if it is complete.
    """

    job_id: str = ""
    kind: str = ""
    zone: str = ""
    size: float = 1.0
    at_ms: float = 0.0
    fate: RequestOutcome = RequestOutcome.NO_ANSWER
    reason: str = ""
    elapsed_ms: float = 0.0
    credit: float = 0.0
    earned: float = 0.0
    stage_ms: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class CapacitySample:
    """How full the servers were at a moment.

    :param at_ms: when, from the start of the load.
    :param used_share: part of the room of the servers that are up.
    :param up_share: part of the site's room that is up.
    """

    at_ms: float = 0.0
    used_share: float = 0.0
    up_share: float = 1.0


@attrs.frozen(kw_only=True)
class FleetLoadResult:
    """Result of one run of a site's load.

    :param name: what was run.
    :param length_ms: length of the load.
    :param records: every request.
    :param room: how full the servers were.
    :param n_starts: starts that the servers saw.
    :param n_stopped: runs that were stopped or lapsed.
    :param violation: a broken promise; empty if there is none.
    :param bound: largest share of the credit that any dispatcher could have earned;
        ``None`` if it was not computed.
    """

    name: str = ""
    length_ms: float = 0.0
    records: tuple[RequestRecord, ...] = ()
    room: tuple[CapacitySample, ...] = ()
    n_starts: int = 0
    n_stopped: int = 0
    violation: str = ""
    bound: float | None = None


@attrs.frozen(kw_only=True)
class OutcomeSummary:
    """Fates of a group of requests.

    :param n_requests: requests that were owed an answer.
    :param earned: part of their credit that was earned.
    :param by_fate: part of the requests by :class:`RequestOutcome`.
    """

    n_requests: int = 0
    earned: float = 0.0
    by_fate: dict[str, float] = attrs.field(factory=dict)


def summarize(records):
    """Return the :class:`OutcomeSummary` of some requests.

    Callers that leave early are owed nothing and are counted beside the others.

    :param records: the :class:`RequestRecord` of each.
    """
    owed = [record for record in records if record.fate is not RequestOutcome.LEFT]
    credit = sum(record.credit for record in owed)
    n_owed = max(1, len(owed))
    by_fate = {
        fate.value: sum(record.fate is fate for record in owed) / n_owed
        for fate in RequestOutcome
        if fate is not RequestOutcome.LEFT
    }
    earned = sum(record.earned for record in owed)
    return OutcomeSummary(
        n_requests=len(owed),
        earned=earned / credit if credit else 0.0,
        by_fate=by_fate,
    )


def group_records(records, get_key):
    """Return records by a key, in order of the key.

    :param records: the records.
    :param get_key: called with a record.
    """
    by_key = {}
    for record in records:
        by_key.setdefault(get_key(record), []).append(record)
    return dict(sorted(by_key.items()))


def make_size_classifier(records):
    """Return a function from a record to its class of size within its kind.

    The largest tenth of a kind and the fifth below it are classes by themselves.

    :param records: the records of a run.
    """
    limits_by_kind = {}
    for kind, of_kind in group_records(records, lambda r: r.kind).items():
        sizes = sorted((record.size for record in of_kind), reverse=True)
        largest = sizes[int(LARGEST_SHARE * len(sizes))]
        large = sizes[int(LARGE_SHARE * len(sizes))]
        limits_by_kind[kind] = (largest, large)

    def choose(record):
        largest, large = limits_by_kind[record.kind]
        if record.size > largest:
            return "largest tenth"
        return "fifth below" if record.size > large else "others"

    return choose


def read_fleet_results(path):
    """Return the :class:`FleetLoadResult` of each run in a file."""
    return read_result_file(path, FleetLoadResult)
