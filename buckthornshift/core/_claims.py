"""Claims in log order: which instance is the home of a job."""

import attrs

from ..contracts import Claim, parse_job_id_timestamp_ms


@attrs.define(kw_only=True)
class ClaimState:
    """What the log says of one job.

    :param claim: the winning claim.
    :param read_ms: when the claim was read.
    :param is_ended: whether an outcome was recorded.
    :param answer: the encoded answer, empty if none was kept.
    """

    claim: Claim = Claim()
    read_ms: float = 0.0
    is_ended: bool = False
    answer: bytes = b""


class ClaimTable:
    """Keep the winning claims of recent jobs, in memory bounded by time and count.

    What is forgotten raises the floor: a job id created at or below it that is not
    in the table is refused, so that a forgotten job can never start again. The
    floor follows from the records themselves and not from a clock.

    :param retention_ms: time for which claims are kept.
    :param max_claims: most claims kept.
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
        self._first_read = None

    def consume_record(self, offset, batch, now_ms):
        """Take one record of the claims stream.

        :param offset: offset of the record.
        :param batch: the decoded batch, or any other message to skip.
        :param now_ms: the current time.
        :returns: job ids whose claim changed.
        """
        if offset < self.covers:
            return ()
        if offset > self.covers:
            self._has_gap = True
            self._first_read = offset
        self.covers = offset + 1
        if not hasattr(batch, "claims"):
            return ()
        if batch.floor is not None:
            self._read_floor(offset, batch.floor)
        touched = [
            claim.job_id for claim in batch.claims if self._read_claim(claim, now_ms)
        ]
        for outcome in batch.outcomes:
            self._read_outcome(outcome)
        return tuple(touched)

    def finish_read(self, batch, fallback_floor_ms):
        """Note the end of a read; the table is ready once it met the head.

        :param batch: the :class:`~buckthornshift.contracts.LogBatch` just read.
        :param fallback_floor_ms: floor to use when records were trimmed and no
            floor record covers them, in milliseconds since the epoch.
        """
        if batch.earliest > self.covers:
            self._has_gap = True
            self._first_read = batch.earliest
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
        """Forget old claims and raise the floor over them.

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
        """Return the floor that covers every claim read so far."""
        times = (parse_job_id_timestamp_ms(job_id) or 0 for job_id in self.by_job)
        return max(self.floor_ms, max(times, default=0))

    def _read_floor(self, offset, floor):
        self.last_floor_offset = offset
        if self._has_gap and floor.covers >= self._first_read:
            self.floor_ms = max(self.floor_ms, floor.floor_ms)
            self._has_gap = False

    def _read_claim(self, claim, now_ms):
        current = self.by_job.get(claim.job_id)
        if current is not None and not _is_overriding(claim, current):
            return True
        if current is None:
            self.by_job[claim.job_id] = ClaimState(claim=claim, read_ms=now_ms)
            return True
        current.claim = claim
        current.is_ended = False
        current.answer = b""
        return True

    def _read_outcome(self, outcome):
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
