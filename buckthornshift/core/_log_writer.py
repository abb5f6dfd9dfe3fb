"""Group commit of records on the claims stream, within a share of a budget."""

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
FIRST_CONTROL_APPEND_ID = 1 << 40


@attrs.frozen(kw_only=True)
class AppendDue:
    """Timer message: the writer may append now."""


class LogWriter:
    """Append at once when idle, else gather while the former append is in flight.

    An append whose reply is lost is neither success nor failure: what it held stays
    pending and is appended again until it is seen in the log, which is harmless
    because the first record of a claim wins.

    :param writer_id: instance that appends.
    :param appends_per_s: appends a second that all instances may make.
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
        self._not_before_ms = 0.0
        self._n_failures = 0
        self._timer = None

    @property
    def has_pending(self):
        """Whether anything waits for the log."""
        return bool(self.claims_by_job or self.outcomes_by_job or self.floor)

    def add_claim(self, claim):
        """Queue a claim until it is settled or withdrawn."""
        self.claims_by_job[claim.job_id] = claim

    def remove_claim(self, job_id):
        """Stop appending a claim; one in flight may still land."""
        self.claims_by_job.pop(job_id, None)

    def add_outcome(self, job_id, term, answer):
        """Queue the outcome of a job.

        :param job_id: the job.
        :param term: term of its claim.
        :param answer: the encoded answer, empty if too large.
        """
        outcome = Outcome(job_id=job_id, term=term, answer=answer)
        self.outcomes_by_job[job_id] = outcome

    def compute_append_interval_ms(self, n_instances):
        """Return the least time between appends of one instance, in milliseconds.

        :param n_instances: live entry instances, which share the budget equally.
        """
        return 1000.0 * max(1, n_instances) / self.appends_per_s

    def make_append(self, now_ms, n_instances):
        """Return the append that is due, if any.

        :param now_ms: the current time.
        :param n_instances: live entry instances.
        :returns: :class:`AppendRecord` or ``None``.
        """
        if self._in_flight is not None or not self.has_pending:
            return None
        if now_ms < self._not_before_ms:
            self._schedule(self._not_before_ms)
            return None
        batch = self._gather_batch()
        self._next_id += 1
        self.n_appends += 1
        self._in_flight = batch
        self._in_flight_id = self._next_id
        self._not_before_ms = now_ms + self.compute_append_interval_ms(n_instances)
        return AppendRecord(
            append_id=self._next_id, stream=CLAIMS_STREAM, body=encode_message(batch)
        )

    def finish_append(self, append_id):
        """Settle an acknowledged append.

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
        """Keep what a failed append held and try again after a delay.

        :param append_id: identifier of the append.
        :param now_ms: the current time.
        """
        if append_id != self._in_flight_id or self._in_flight is None:
            return
        self._in_flight = None
        self._n_failures += 1
        delay_ms = min(RETRY_MAX_MS, RETRY_BASE_MS * 2**self._n_failures)
        delay_ms *= 0.5 + self.random_state.random()
        self._not_before_ms = max(self._not_before_ms, now_ms + delay_ms)

    def confirm_batch(self, batch):
        """Remove from the queue what was seen in the log.

        :param batch: a batch of this instance, acknowledged or read back.
        """
        for claim in batch.claims:
            if self.claims_by_job.get(claim.job_id) == claim:
                del self.claims_by_job[claim.job_id]
        for outcome in batch.outcomes:
            if self.outcomes_by_job.get(outcome.job_id) == outcome:
                del self.outcomes_by_job[outcome.job_id]
        if batch.floor is not None and batch.floor == self.floor:
            self.floor = None

    def _gather_batch(self):
        claims = list(self.claims_by_job.values())[:MAX_BATCH_ITEMS]
        outcomes = list(self.outcomes_by_job.values())[:MAX_BATCH_ITEMS]
        return ClaimsBatch(
            writer=self.writer_id,
            claims=tuple(claims),
            outcomes=tuple(outcomes),
            floor=self.floor,
        )

    def _schedule(self, due_ms):
        self.timers.cancel(self._timer)
        self._timer = self.timers.start(due_ms, AppendDue())


@attrs.define(kw_only=True)
class LogHealth:
    """Own evidence of whether the log is within reach.

    :param outage_after_ms: time without success after which it is not.
    :param last_success_ms: time of the last successful exchange.
    :param first_failure_ms: first failure since then, or ``None``.
    :param is_unreachable: whether the log counts as out of reach.
    :param outage_ended_ms: when the last outage ended, or ``None``.
    """

    outage_after_ms: float = 1_000.0
    last_success_ms: float = 0.0
    first_failure_ms: float | None = None
    is_unreachable: bool = False
    outage_ended_ms: float | None = None

    def note_success(self, now_ms):
        """Record a successful exchange; return whether an outage ended."""
        self.last_success_ms = now_ms
        self.first_failure_ms = None
        if not self.is_unreachable:
            return False
        self.is_unreachable = False
        self.outage_ended_ms = now_ms
        return True

    def note_failure(self, now_ms):
        """Record a failed exchange; return whether an outage began."""
        if self.first_failure_ms is None:
            self.first_failure_ms = now_ms
        if self.is_unreachable:
            return False
        self.is_unreachable = now_ms - self.last_success_ms >= self.outage_after_ms
        return self.is_unreachable
