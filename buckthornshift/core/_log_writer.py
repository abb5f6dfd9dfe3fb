"""Group commit to the claims stream, at a limited append rate."""

import attrs

from ..contracts import (
    CLAIMS_STREAM,
    ClaimsBatch,
    Outcome,
    encode_message,
)
from ._actions import AppendRecord

RETRY_BASE_MS = 50.0
RETRY_MAX_MS = 2_000.0
MAX_BATCH_ITEMS = 500
# Ids of snapshot appends are above this, so that they never equal an id of the writer.
SNAPSHOT_APPEND_ID_BASE = 1 << 40


@attrs.frozen(kw_only=True)
class AppendDue:
    """Timer: the append rate allows the next append."""


class LogWriter:
    """Batch claims and outcomes into appends, one append in flight at a time.

    An idle writer appends at once; records that come while an append is in flight
    go into the next batch. If the response to an append is lost, its records stay
    pending and are appended again until they are seen in the log. The duplicates
    are harmless because the first record of a claim wins.

    :param writer_id: incarnation of the instance that appends.
    :param appends_per_s: appends per second that all instances may make together.
    :param random_state: source of jitter.
    :param timers: the timer service.
    """

    def __init__(
        self, writer_id="", appends_per_s=300.0, random_state=None, timers=None
    ):
        self.writer_id = writer_id
        self.appends_per_s = appends_per_s
        self.random_state = random_state
        self.timers = timers
        self.claims_by_job = {}
        self.outcomes_by_job = {}
        self.floor = None
        self.n_appends = 0
        self._in_flight = None
        self._in_flight_id = 0
        self._next_id = 0
        self._next_append_ms = 0.0
        self._n_failures = 0
        self._timer = None

    @property
    def has_pending(self):
        """Whether any record has not been seen in the log yet."""
        return bool(self.claims_by_job or self.outcomes_by_job or self.floor)

    def add_claim(self, claim):
        """Queue a claim until it is in the log or removed."""
        self.claims_by_job[claim.job_id] = claim

    def remove_claim(self, job_id):
        """Remove a queued claim; one in flight may still reach the log."""
        self.claims_by_job.pop(job_id, None)

    def add_outcome(self, job_id, term, answer):
        """Queue the outcome of a job.

        :param job_id: the job.
        :param term: term of the job's claim.
        :param answer: the encoded answer, empty if it is too large to record.
        """
        outcome = Outcome(job_id=job_id, term=term, answer=answer)
        self.outcomes_by_job[job_id] = outcome

    def compute_append_interval_ms(self, n_instances):
        """Return the minimum time between appends of one instance, in milliseconds.

        :param n_instances: live instances, which share the append rate equally.
        """
        return 1000.0 * max(1, n_instances) / self.appends_per_s

    def make_append(self, now_ms, n_instances):
        """Return the next append if one is due, and schedule one that is too early.

        :param now_ms: the current time.
        :param n_instances: number of live instances.
        :returns: :class:`AppendRecord` or ``None``.
        """
        if self._in_flight is not None or not self.has_pending:
            return None
        if now_ms < self._next_append_ms:
            self._schedule_append(self._next_append_ms)
            return None
        batch = self._build_batch()
        self._next_id += 1
        self.n_appends += 1
        self._in_flight = batch
        self._in_flight_id = self._next_id
        self._next_append_ms = now_ms + self.compute_append_interval_ms(n_instances)
        return AppendRecord(
            append_id=self._next_id, stream=CLAIMS_STREAM, body=encode_message(batch)
        )

    def finish_append(self, append_id):
        """Complete an acknowledged append.

        :param append_id: identifier of the append.
        :returns: the :class:`~buckthornshift.contracts.ClaimsBatch` that it held,
            or ``None`` if it is not the one in flight.
        """
        if append_id != self._in_flight_id or self._in_flight is None:
            return None
        batch = self._in_flight
        self._in_flight = None
        self._n_failures = 0
        self.confirm_batch(batch)
        return batch

    def fail_append(self, append_id, now_ms):
        """Keep the records of a failed append pending for a retry with backoff.

        :param append_id: identifier of the append.
        :param now_ms: the current time.
        """
        if append_id != self._in_flight_id or self._in_flight is None:
            return
        self._in_flight = None
        self._n_failures += 1
        delay_ms = min(RETRY_MAX_MS, RETRY_BASE_MS * 2**self._n_failures)
        delay_ms *= 0.5 + self.random_state.random()
        self._next_append_ms = max(self._next_append_ms, now_ms + delay_ms)

    def confirm_batch(self, batch):
        """Remove records that are known to be in the log from the queue.

        :param batch: a batch of this instance that was acknowledged or read back.
        """
        for claim in batch.claims:
            if self.claims_by_job.get(claim.job_id) == claim:
                del self.claims_by_job[claim.job_id]
        for outcome in batch.outcomes:
            if self.outcomes_by_job.get(outcome.job_id) == outcome:
                del self.outcomes_by_job[outcome.job_id]
        if batch.floor is not None and batch.floor == self.floor:
            self.floor = None

    def _build_batch(self):
        claims = list(self.claims_by_job.values())[:MAX_BATCH_ITEMS]
        outcomes = list(self.outcomes_by_job.values())[:MAX_BATCH_ITEMS]
        return ClaimsBatch(
            writer=self.writer_id,
            claims=tuple(claims),
            outcomes=tuple(outcomes),
            floor=self.floor,
        )

    def _schedule_append(self, due_ms):
        self.timers.cancel(self._timer)
        self._timer = self.timers.start(due_ms, AppendDue())


@attrs.define(kw_only=True)
class LogHealth:
    """Reachability of the log, judged by this instance's own reads and appends.

    :param outage_after_ms: time without a success after which a failure begins an
        outage.
    :param last_success_ms: time of the last successful read or append.
    :param first_failure_ms: time of the first failure since then, or ``None``.
    :param is_unreachable: whether there is an outage.
    :param outage_ended_ms: when the last outage ended, or ``None``.
    """

    outage_after_ms: float = 1_000.0
    last_success_ms: float = 0.0
    first_failure_ms: float | None = None
    is_unreachable: bool = False
    outage_ended_ms: float | None = None

    def record_success(self, now_ms):
        """Record a successful read or append; return whether it ended an outage."""
        self.last_success_ms = now_ms
        self.first_failure_ms = None
        if not self.is_unreachable:
            return False
        self.is_unreachable = False
        self.outage_ended_ms = now_ms
        return True

    def record_failure(self, now_ms):
        """Record a failed read or append; return whether it began an outage."""
        if self.first_failure_ms is None:
            self.first_failure_ms = now_ms
        if self.is_unreachable:
            return False
        self.is_unreachable = now_ms - self.last_success_ms >= self.outage_after_ms
        return self.is_unreachable
