"""Results of a load: response against ideal, messages, answers."""

import attrs
from hdrh.histogram import HdrHistogram

RATIO_SCALE = 1_000
MAX_RATIO = 10_000
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@attrs.frozen(kw_only=True)
class TimePoint:
    """One answered job in time, for plots.

    :param at_ms: when it arrived.
    :param ratio: response over ideal.
    """

    at_ms: float = 0.0
    ratio: float = 0.0


@attrs.frozen(kw_only=True)
class LoadResult:
    """Result of one run of a load.

    :param name: what was run.
    :param n_jobs: jobs that arrived.
    :param n_tasks: tasks of the complete jobs.
    :param n_by_status: answers by status and reason.
    :param ratio_by_percentile: response over ideal of complete jobs.
    :param added_ms_by_percentile: response less ideal of complete jobs.
    :param n_late: accepted jobs that missed their deadline.
    :param refusal_ms_by_percentile: time to a refusal.
    :param n_messages_by_kind: messages between processes by kind.
    :param wasted_per_job: messages beyond the least a job needs, inside.
    :param wasted_client_per_job: the same towards callers.
    :param n_violations: broken promises, by name.
    :param n_starts: starts that backend servers saw.
    :param n_repeated_starts: tasks that started more than once.
    :param points: answered jobs in time, thinned out.
    """

    name: str = ""
    n_jobs: int = 0
    n_tasks: int = 0
    n_by_status: dict[str, int] = attrs.field(factory=dict)
    ratio_by_percentile: dict[str, float] = attrs.field(factory=dict)
    added_ms_by_percentile: dict[str, float] = attrs.field(factory=dict)
    n_late: int = 0
    refusal_ms_by_percentile: dict[str, float] = attrs.field(factory=dict)
    n_messages_by_kind: dict[str, int] = attrs.field(factory=dict)
    wasted_per_job: float = 0.0
    wasted_client_per_job: float = 0.0
    n_violations: dict[str, int] = attrs.field(factory=dict)
    n_starts: int = 0
    n_repeated_starts: int = 0
    points: tuple[TimePoint, ...] = ()


class LoadRecorder:
    """Collect answers while a load runs.

    :param n_slots: slots of all backend servers.
    :param min_network_ms: network trips that no job can avoid, in milliseconds.
    """

    def __init__(self, n_slots=1, min_network_ms=0.0):
        self.n_slots = n_slots
        self.min_network_ms = min_network_ms
        self.n_jobs = 0
        self.n_tasks = 0
        self.n_late = 0
        self.n_by_status = {}
        self.n_violations = {}
        self._ratios = HdrHistogram(1, MAX_RATIO * RATIO_SCALE, SIGNIFICANT_DIGITS)
        self._added_us = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._refusal_us = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._points = []

    def compute_ideal_ms(self, run_times_ms):
        """Return the response time of a job with free slots at once."""
        spread_ms = sum(run_times_ms) / self.n_slots
        return self.min_network_ms + max(max(run_times_ms), spread_ms)

    def record_answer(self, arrival, answer, elapsed_ms):
        """Record the answer of a job.

        :param arrival: the :class:`Arrival`.
        :param answer: its answer, or ``None`` if none came.
        :param elapsed_ms: time from arrival to answer.
        """
        self.n_jobs += 1
        key = _describe(answer)
        self.n_by_status[key] = self.n_by_status.get(key, 0) + 1
        if key == "complete":
            self._note_complete(arrival, elapsed_ms)
        elif key.startswith("not_run"):
            self._refusal_us.record_value(max(1, int(elapsed_ms * 1000)))
        if key in ("failed/deadline_exceeded", "not_run/deadline_past"):
            self.n_late += 1

    def record_violation(self, name):
        """Record a broken promise."""
        self.n_violations[name] = self.n_violations.get(name, 0) + 1

    def make_result(self, name, messages, starts_by_task):
        """Return the :class:`LoadResult`.

        :param name: what was run.
        :param messages: the :class:`MessageCounts`.
        :param starts_by_task: starts that servers saw by task.
        """
        n_jobs = max(1, self.n_jobs)
        return LoadResult(
            name=name,
            n_jobs=self.n_jobs,
            n_tasks=self.n_tasks,
            n_by_status=dict(sorted(self.n_by_status.items())),
            ratio_by_percentile=_read(self._ratios, RATIO_SCALE),
            added_ms_by_percentile=_read(self._added_us, 1_000),
            n_late=self.n_late,
            refusal_ms_by_percentile=_read(self._refusal_us, 1_000),
            n_messages_by_kind=attrs.asdict(messages),
            wasted_per_job=messages.count_wasted_inside() / n_jobs,
            wasted_client_per_job=messages.count_wasted_outside(self.n_jobs) / n_jobs,
            n_violations=dict(self.n_violations),
            n_starts=sum(starts_by_task.values()),
            n_repeated_starts=sum(n > 1 for n in starts_by_task.values()),
            points=_thin(self._points),
        )

    def _note_complete(self, arrival, elapsed_ms):
        self.n_tasks += len(arrival.run_times_ms)
        ideal_ms = self.compute_ideal_ms(arrival.run_times_ms)
        ratio = elapsed_ms / ideal_ms
        self._ratios.record_value(max(1, int(ratio * RATIO_SCALE)))
        added_us = max(1, int((elapsed_ms - ideal_ms) * 1000))
        self._added_us.record_value(added_us)
        self._points.append(TimePoint(at_ms=arrival.at_ms, ratio=round(ratio, 3)))


@attrs.define(kw_only=True)
class MessageCounts:
    """Messages between processes.

    :param client_requests: requests of callers.
    :param client_answers: answers to callers.
    :param starts: start messages to backend servers.
    :param tasks_started: tasks that those messages started.
    :param results: tasks whose results came back.
    :param refused_starts: tasks that servers refused.
    :param repeated_starts: tasks started again or beside another.
    :param queries: queries and probes.
    :param cancels: cancellations.
    :param peer_messages: messages between entry instances.
    :param appends: appends to the log.
    """

    client_requests: int = 0
    client_answers: int = 0
    starts: int = 0
    tasks_started: int = 0
    results: int = 0
    refused_starts: int = 0
    repeated_starts: int = 0
    queries: int = 0
    cancels: int = 0
    peer_messages: int = 0
    appends: int = 0

    def count_wasted_inside(self):
        """Return messages beyond one start and one result a task.

        A refused or repeated start wastes itself and its reply; a query or a
        cancellation wastes itself and its reply; peer messages are all wasted.
        """
        return (
            2 * (self.refused_starts + self.repeated_starts)
            + 2 * (self.queries + self.cancels)
            + 2 * self.peer_messages
        )

    def count_wasted_outside(self, n_jobs):
        """Return caller messages beyond one request and one answer a job."""
        return max(0, self.client_requests + self.client_answers - 2 * n_jobs)


@attrs.define(kw_only=True)
class SystemCounts:
    """What the instances, servers and log of a system counted.

    :param by_name: sums of the instances' counters by name.
    :param starts_by_task: real starts by job and task.
    :param n_appends: appends that the log took.
    :param is_partial: whether a process had ended before its counts were read.
    """

    by_name: dict[str, int] = attrs.field(factory=dict)
    starts_by_task: dict[str, int] = attrs.field(factory=dict)
    n_appends: int = 0
    is_partial: bool = False

    def add_counters(self, counters):
        """Add the counters of one instance.

        :param counters: counts by name.
        """
        _add(self.by_name, counters)

    def add_starts(self, starts_by_task):
        """Add the starts that one server saw."""
        _add(self.starts_by_task, starts_by_task)

    def subtract(self, before):
        """Return what was counted since an earlier reading."""
        return SystemCounts(
            by_name=_subtract(self.by_name, before.by_name),
            starts_by_task=_subtract(self.starts_by_task, before.starts_by_task),
            n_appends=self.n_appends - before.n_appends,
            is_partial=self.is_partial,
        )

    def make_message_counts(self, n_requests, n_answers):
        """Return the :class:`MessageCounts`.

        :param n_requests: requests that callers sent.
        :param n_answers: answers that callers got.
        """
        by_name = self.by_name
        n_starts = by_name.get("n_starts", 0)
        n_busy = by_name.get("n_busy", 0)
        return MessageCounts(
            client_requests=n_requests,
            client_answers=n_answers,
            starts=by_name.get("n_start_messages", 0),
            tasks_started=n_starts,
            results=n_starts - n_busy,
            refused_starts=n_busy,
            repeated_starts=by_name.get("n_retries", 0) + by_name.get("n_hedges", 0),
            queries=by_name.get("n_queries", 0),
            cancels=by_name.get("n_cancels", 0),
            peer_messages=by_name.get("n_peer_messages", 0),
            appends=self.n_appends,
        )


def _add(totals, counts):
    for name, count in counts.items():
        totals[name] = totals.get(name, 0) + count


def _subtract(totals, before):
    differences = {n: count - before.get(n, 0) for n, count in totals.items()}
    return {name: count for name, count in differences.items() if count}


def _describe(answer):
    if answer is None:
        return "none"
    if answer.reason is None:
        return answer.status.value
    return f"{answer.status.value}/{answer.reason.value}"


def _read(histogram, scale):
    if histogram.get_total_count() == 0:
        return {}
    return {
        f"{percentile:g}": histogram.get_value_at_percentile(percentile) / scale
        for percentile in PERCENTILES
    }


def _thin(points, n_most=2_000):
    step = max(1, len(points) // n_most)
    return tuple(points[::step])
