"""Records of each request of a run and of the use of the servers, and summaries."""

import enum

import attrs

from .._result_files import read_result_file

# Parts of the requests of a kind, by descending size, that form the two upper size
# classes: the first tenth, and from there up to three tenths.
LARGEST_SHARE = 0.1
LARGE_SHARE = 0.3


class RequestOutcome(enum.StrEnum):
    """What a caller received for its request.

    ``LATE`` is a complete answer after the latency objective; ``REFUSED`` was never
    run, ``FAILED`` ended without success, ``LEFT`` was abandoned early by its caller,
    and ``NO_ANSWER`` reached the caller's time-out.
    """

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"
    NO_ANSWER = "no_answer"


class LatencyStage(enum.StrEnum):
    """Consecutive parts of the latency of a complete job.

    Each lasts until the next event of the job: ``FORWARD`` until an owner queues it,
    ``QUEUE`` until the last of its tasks is dispatched, ``START`` until the last of
    them starts on a server, ``RUN`` until the last of them completes, and ``ANSWER``
    until its caller has the answer.
    """

    FORWARD = "forward"
    QUEUE = "queue"
    START = "start"
    RUN = "run"
    ANSWER = "answer"


@attrs.frozen(kw_only=True)
class RequestRecord:
    """A request and its outcome.

    :param job_id: identifier of its job.
    :param kind: name of its :class:`RequestKind`.
    :param zone: availability zone of its caller.
    :param size: its work relative to the mean of its kind.
    :param at_ms: when it was first sent, from the start of the load.
    :param fate: its :class:`RequestOutcome`.
    :param reason: reason of a refusal or failure; empty if there is none.
    :param elapsed_ms: time to the outcome from its first sending, or from the first
        sending after its last refusal.
    :param n_refusals: how often it was refused before it was sent for the last time.
    :param credit: value of an answer in time.
    :param earned: value of the answer that its caller received.
    :param stage_ms: duration of each :class:`LatencyStage`; empty unless its job
        completed.
    """

    job_id: str = ""
    kind: str = ""
    zone: str = ""
    size: float = 1.0
    at_ms: float = 0.0
    fate: RequestOutcome = RequestOutcome.NO_ANSWER
    reason: str = ""
    elapsed_ms: float = 0.0
    n_refusals: int = 0
    credit: float = 0.0
    earned: float = 0.0
    stage_ms: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class CapacitySample:
    """Use and availability of the servers' cores at one time.

    :param at_ms: time of the sample, from the start of the load.
    :param used_share: cores in use, as a share of those of the servers that are up.
    :param up_share: cores of the servers that are up, as a share of the site's.
    """

    at_ms: float = 0.0
    used_share: float = 0.0
    up_share: float = 1.0


@attrs.frozen(kw_only=True)
class FleetLoadResult:
    """Result of one run of a site's load.

    :param name: name of the run.
    :param length_ms: length of the load.
    :param records: the :class:`RequestRecord` of every request.
    :param room: the :class:`CapacitySample` of the run, in order of time.
    :param n_starts: task starts that the servers received.
    :param n_stopped: task runs that ended because they were stopped, the lease on
        their server expired, or the server went down.
    :param violation: the rule that was violated, and when; empty if none was.
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
    """Outcomes of a group of requests, without those abandoned early.

    :param n_requests: number of the requests.
    :param earned: share of their credit that was earned.
    :param by_fate: share of the requests by :class:`RequestOutcome`.
    """

    n_requests: int = 0
    earned: float = 0.0
    by_fate: dict[str, float] = attrs.field(factory=dict)


def summarize(records):
    """Return the :class:`OutcomeSummary` of some requests.

    Requests that their callers abandoned early are left out, as no answer is due.

    :param records: list of :class:`RequestRecord`.
    """
    counted = [record for record in records if record.fate is not RequestOutcome.LEFT]
    credit = sum(record.credit for record in counted)
    n_counted = max(1, len(counted))
    by_fate = {
        outcome.value: sum(record.fate is outcome for record in counted) / n_counted
        for outcome in RequestOutcome
        if outcome is not RequestOutcome.LEFT
    }
    earned = sum(record.earned for record in counted)
    return OutcomeSummary(
        n_requests=len(counted),
        earned=earned / credit if credit else 0.0,
        by_fate=by_fate,
    )


def group_records(records, get_key):
    """Return lists of records by a key, in ascending order of the key.

    :param records: the records.
    :param get_key: called with a record; returns its key.
    """
    by_key = {}
    for record in records:
        by_key.setdefault(get_key(record), []).append(record)
    return dict(sorted(by_key.items()))


def make_size_classifier(records):
    """Return a function from a record to its size class within its kind.

    The classes are the largest tenth of a kind, the fifth below it, and the others.

    :param records: list of :class:`RequestRecord`, whose sizes set the limits of the
        classes.
    """
    limits_by_kind = {}
    for kind, records_of_kind in group_records(records, lambda r: r.kind).items():
        sizes = sorted((record.size for record in records_of_kind), reverse=True)
        largest = sizes[int(LARGEST_SHARE * len(sizes))]
        large = sizes[int(LARGE_SHARE * len(sizes))]
        limits_by_kind[kind] = (largest, large)

    def classify(record):
        largest, large = limits_by_kind[record.kind]
        if record.size > largest:
            return "largest tenth"
        return "fifth below" if record.size > large else "others"

    return classify


def read_fleet_results(path):
    """Return the results in a file.

    :param path: path of a JSON result file.
    :returns: tuple of :class:`FleetLoadResult`.
    :raises InvalidInputError: if the file holds no such results.
    """
    return read_result_file(path, FleetLoadResult)
