"""Claims on jobs, in the order of the shared log."""

import attrs

from ..contracts import Claim, parse_job_id_timestamp_ms


@attrs.define(kw_only=True)
class ClaimState:
    """Claim and outcome of one job as recorded in the shared log.

    :param claim: the claim that won.
    :param read_ms: when the job's first claim was read.
    :param is_ended: whether an outcome of the claim was recorded.
    :param answer: the encoded answer, empty if none was recorded.
    """

    claim: Claim = Claim()
    read_ms: float = 0.0
    is_ended: bool = False
    answer: bytes = b""


class ClaimTable:
    """Winning claims of recent jobs, limited by age and number.

    Evicting a claim raises the floor, a low-water mark of job creation times. A job
    that is not in the table and was created at or below the floor is refused, so
    that an evicted job can never start again. The floor follows from the creation
    times in job ids and not from a clock, unless records were trimmed unread and no
    floor record covers them.

    ``covers`` is the offset after the last record that was read, and ``is_ready``
    tells whether the table has caught up with the log once.

    :param retention_ms: time for which claims are kept.
    :param max_claims: maximum number of claims kept.
    """

    def __init__(self, retention_ms=1_200_000.0, max_claims=200_000):
        self.retention_ms = retention_ms
        self.max_claims = max_claims
        self.by_job = {}
        self.covers = 0
        self.floor_ms = 0
        self.is_ready = False
        self.last_floor_offset = -1
        self._has_gap = False
        self._first_offset_after_gap = None

    def consume_record(self, offset, batch, now_ms):
        """Apply one record of the claims stream.

        :param offset: offset of the record.
        :param batch: the decoded batch; a message of another class is skipped.
        :param now_ms: the current time.
        :returns: ids of the jobs that the record holds claims on.
        """
        if offset < self.covers:
            return ()
        if offset > self.covers:
            self._has_gap = True
            self._first_offset_after_gap = offset
        self.covers = offset + 1
        if not hasattr(batch, "claims"):
            return ()
        if batch.floor is not None:
            self._apply_floor(offset, batch.floor)
        for claim in batch.claims:
            self._apply_claim(claim, now_ms)
        for outcome in batch.outcomes:
            self._apply_outcome(outcome)
        return tuple(claim.job_id for claim in batch.claims)

    def finish_read(self, batch, fallback_floor_ms):
        """Finish a read; the table is ready once it has reached the log's head.

        :param batch: the :class:`~buckthornshift.contracts.LogBatch` just read.
        :param fallback_floor_ms: floor to use if records were trimmed before they
            were read and no floor record covers them, in milliseconds since the
            epoch.
        """
        if batch.earliest > self.covers:
            self._has_gap = True
            self._first_offset_after_gap = batch.earliest
            self.covers = batch.earliest
        if self.covers < batch.head:
            return
        if self._has_gap:
            self.floor_ms = max(self.floor_ms, fallback_floor_ms)
            self._has_gap = False
        self.is_ready = True

    def find(self, job_id):
        """Return the :class:`ClaimState` of a job, or ``None``."""
        return self.by_job.get(job_id)

    def evict(self, now_ms):
        """Remove the oldest claims over the limits and raise the floor to them.

        :param now_ms: the current time.
        """
        while self.by_job:
            job_id = next(iter(self.by_job))
            state = self.by_job[job_id]
            is_old = now_ms - state.read_ms > self.retention_ms
            if not is_old and len(self.by_job) <= self.max_claims:
                return
            del self.by_job[job_id]
            self.floor_ms = max(self.floor_ms, parse_job_id_timestamp_ms(job_id) or 0)

    def compute_floor(self):
        """Return the floor that would result from evicting every claim now."""
        created_ms = (parse_job_id_timestamp_ms(job_id) or 0 for job_id in self.by_job)
        return max(self.floor_ms, max(created_ms, default=0))

    def _apply_floor(self, offset, floor):
        self.last_floor_offset = offset
        if self._has_gap and floor.covers >= self._first_offset_after_gap:
            self.floor_ms = max(self.floor_ms, floor.floor_ms)
            self._has_gap = False

    def _apply_claim(self, claim, now_ms):
        current = self.by_job.get(claim.job_id)
        if current is not None and not _is_overriding(claim, current):
            return
        if current is None:
            self.by_job[claim.job_id] = ClaimState(claim=claim, read_ms=now_ms)
            return
        current.claim = claim
        current.is_ended = False
        current.answer = b""

    def _apply_outcome(self, outcome):
        state = self.by_job.get(outcome.job_id)
        if state is None or state.claim.term != outcome.term:
            return
        if not state.is_ended:
            state.is_ended = True
            state.answer = outcome.answer


def _is_overriding(claim, current):
    if claim.digest != current.claim.digest:
        return False
    if claim.is_late:
        return not current.claim.is_late and claim.term == current.claim.term
    is_next_term = claim.term == current.claim.term + 1
    return is_next_term and current.claim.is_repeatable and not current.is_ended
