"""Results of a load: response times, answers by status and message counts."""

import attrs
from hdrh.histogram import HdrHistogram

RATIO_SCALE = 1_000
MAX_RATIO = 10_000
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@attrs.frozen(kw_only=True)
class ResponsePoint:
    """Response time of one complete job, for plots.

    :param at_ms: arrival time in milliseconds from the start of the load.
    :param ratio: response time divided by the ideal response time.
    """

    at_ms: float = 0.0
    ratio: float = 0.0


@attrs.frozen(kw_only=True)
class LoadResult:
    """Result of one run of a load.

    :param name: name of the run.
    :param n_jobs: number of jobs that arrived.
    :param n_tasks: number of tasks of the complete jobs.
    :param n_by_status: number of answers by status and reason.
    :param ratio_by_percentile: response time of complete jobs divided by their ideal
        response time, by percentile.
    :param added_ms_by_percentile: response time of complete jobs minus their ideal
        response time, in milliseconds, by percentile.
    :param n_late: number of jobs that missed their deadline.
    :param refusal_ms_by_percentile: time until a job was refused, in milliseconds, by
        percentile.
    :param n_messages_by_kind: number of messages between processes by kind.
    :param wasted_per_job: messages inside the system per job beyond the minimum, see
        :meth:`MessageCounts.count_wasted_internal`.
    :param wasted_client_per_job: messages from and to callers per job beyond one
        request and one answer.
    :param n_violations: number of invariant violations by name.
    :param n_starts: number of task starts that the backend servers counted.
    :param n_repeated_starts: number of tasks that started more than once.
    :param points: response times of complete jobs over time, downsampled.
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
    points: tuple[ResponsePoint, ...] = ()


class LoadRecorder:
    """Record the answers of a load while it runs.

    :param n_slots: total number of slots of all backend servers.
    :param min_network_ms: network delay that no job can avoid, in milliseconds.
    """

    def __init__(self, n_slots=1, min_network_ms=0.0):
        self.n_slots = n_slots
        self.min_network_ms = min_network_ms
        self.n_jobs = 0
        self.n_tasks = 0
        self.n_late = 0
        self.n_by_status = {}
        self.n_violations = {}
        self._ratio_histogram = HdrHistogram(
            1, MAX_RATIO * RATIO_SCALE, SIGNIFICANT_DIGITS
        )
        self._added_latency_us = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._refusal_latency_us = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._points = []

    def compute_ideal_ms(self, run_times_ms):
        """Return the response time of a job if all slots are free.

        :param run_times_ms: run times of its tasks, in milliseconds.
        """
        spread_ms = sum(run_times_ms) / self.n_slots
        return self.min_network_ms + max(max(run_times_ms), spread_ms)

    def record_answer(self, arrival, answer, elapsed_ms):
        """Record the answer of a job.

        :param arrival: the :class:`Arrival`.
        :param answer: the answer, or ``None`` if the job got none.
        :param elapsed_ms: time from arrival to answer, in milliseconds.
        """
        self.n_jobs += 1
        key = _format_status(answer)
        self.n_by_status[key] = self.n_by_status.get(key, 0) + 1
        if key == "complete":
            self._record_complete(arrival, elapsed_ms)
        elif key.startswith("not_run"):
            self._refusal_latency_us.record_value(max(1, int(elapsed_ms * 1000)))
        if key in ("failed/deadline_exceeded", "not_run/deadline_past"):
            self.n_late += 1

    def record_violation(self, name):
        """Count an invariant violation.

        :param name: name of the invariant.
        """
        self.n_violations[name] = self.n_violations.get(name, 0) + 1

    def make_result(self, name, messages, starts_by_task):
        """Return the :class:`LoadResult`.

        :param name: name of the run.
        :param messages: the :class:`MessageCounts`.
        :param starts_by_task: number of starts that the servers counted, by task.
        """
        n_jobs = max(1, self.n_jobs)
        return LoadResult(
            name=name,
            n_jobs=self.n_jobs,
            n_tasks=self.n_tasks,
            n_by_status=dict(sorted(self.n_by_status.items())),
            ratio_by_percentile=_read_percentiles(self._ratio_histogram, RATIO_SCALE),
            added_ms_by_percentile=_read_percentiles(self._added_latency_us, 1_000),
            n_late=self.n_late,
            refusal_ms_by_percentile=_read_percentiles(self._refusal_latency_us, 1_000),
            n_messages_by_kind=attrs.asdict(messages),
            wasted_per_job=messages.count_wasted_internal() / n_jobs,
            wasted_client_per_job=messages.count_wasted_client(self.n_jobs) / n_jobs,
            n_violations=dict(self.n_violations),
            n_starts=sum(starts_by_task.values()),
            n_repeated_starts=sum(n > 1 for n in starts_by_task.values()),
            points=_downsample(self._points),
        )

    def _record_complete(self, arrival, elapsed_ms):
        self.n_tasks += len(arrival.run_times_ms)
        ideal_ms = self.compute_ideal_ms(arrival.run_times_ms)
        ratio = elapsed_ms / ideal_ms
        self._ratio_histogram.record_value(max(1, int(ratio * RATIO_SCALE)))
        added_us = max(1, int((elapsed_ms - ideal_ms) * 1000))
        self._added_latency_us.record_value(added_us)
        self._points.append(ResponsePoint(at_ms=arrival.at_ms, ratio=round(ratio, 3)))


@attrs.define(kw_only=True)
class MessageCounts:
    """Number of messages between processes by kind.

    :param client_requests: requests of callers.
    :param client_answers: answers to callers.
    :param starts: start messages to backend servers; each may start several tasks.
    :param tasks_started: task starts that those messages requested.
    :param results: task starts that servers did not refuse.
    :param refused_starts: task starts that servers refused.
    :param repeated_starts: task starts that were retries or hedges.
    :param queries: queries and probes to backend servers.
    :param cancels: cancellations sent to backend servers.
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

    def count_wasted_internal(self):
        """Return the number of messages beyond one start and one result per task.

        A refused or repeated start, a query and a cancellation each count as two, the
        message and its reply. Every peer message counts as two as well, as the minimum
        has none.
        """
        return (
            2 * (self.refused_starts + self.repeated_starts)
            + 2 * (self.queries + self.cancels)
            + 2 * self.peer_messages
        )

    def count_wasted_client(self, n_jobs):
        """Return the number of caller messages beyond a request and answer per job.

        :param n_jobs: number of jobs.
        """
        return max(0, self.client_requests + self.client_answers - 2 * n_jobs)


@attrs.define(kw_only=True)
class SystemCounts:
    """Counts read from the instances, the backend servers and the log of a system.

    :param by_name: counters of the instances by name, summed over the instances.
    :param starts_by_task: number of starts that the servers counted, by job and task.
    :param n_appends: number of appends to the log.
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
        _add_counts(self.by_name, counters)

    def add_starts(self, starts_by_task):
        """Add the starts that one server counted.

        :param starts_by_task: number of starts by job and task.
        """
        _add_counts(self.starts_by_task, starts_by_task)

    def subtract(self, before):
        """Return the counts since an earlier reading.

        :param before: the :class:`SystemCounts` of the earlier reading.
        """
        return SystemCounts(
            by_name=_subtract_counts(self.by_name, before.by_name),
            starts_by_task=_subtract_counts(self.starts_by_task, before.starts_by_task),
            n_appends=self.n_appends - before.n_appends,
            is_partial=self.is_partial,
        )

    def make_message_counts(self, n_requests, n_answers):
        """Return the :class:`MessageCounts`.

        :param n_requests: number of requests that callers sent.
        :param n_answers: number of answers that callers got.
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


def _add_counts(totals, counts):
    for name, count in counts.items():
        totals[name] = totals.get(name, 0) + count


def _subtract_counts(totals, before):
    differences = {n: count - before.get(n, 0) for n, count in totals.items()}
    return {name: count for name, count in differences.items() if count}


def _format_status(answer):
    if answer is None:
        return "none"
    if answer.reason is None:
        return answer.status.value
    return f"{answer.status.value}/{answer.reason.value}"


def _read_percentiles(histogram, scale):
    if histogram.get_total_count() == 0:
        return {}
    return {
        f"{percentile:g}": histogram.get_value_at_percentile(percentile) / scale
        for percentile in PERCENTILES
    }


def _downsample(points, max_points=2_000):
    step = max(1, len(points) // max_points)
    return tuple(points[::step])
