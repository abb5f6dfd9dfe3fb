"""Claim table: which claim wins, takeovers, late claims, eviction and floor."""

import random

from buckthornshift.contracts import (
    Claim,
    ClaimsBatch,
    ClaimsFloor,
    LogBatch,
    Outcome,
    make_job_id,
)
from buckthornshift.core._claims import ClaimTable

RANDOM = random.Random(1)
JOB_ID = make_job_id(1_000, RANDOM)


def make_claim(home, term=0, **changes):
    fields = {"job_id": JOB_ID, "digest": "d", "home": home, "incarnation": home}
    return Claim(**(fields | {"term": term} | changes))


def apply_batch(table, offset, *claims, **fields):
    table.consume_record(offset, ClaimsBatch(claims=claims, **fields), 0.0)


def test_first_claim_wins():
    table = ClaimTable()
    apply_batch(table, 0, make_claim("a"))
    apply_batch(table, 1, make_claim("b"))
    assert table.find(JOB_ID).claim.home == "a"


def test_takeover_needs_a_repeatable_job_the_next_term_and_no_outcome():
    table = ClaimTable()
    apply_batch(table, 0, make_claim("a"))
    apply_batch(table, 1, make_claim("b", term=1))
    assert table.find(JOB_ID).claim.home == "a"
    table = ClaimTable()
    apply_batch(table, 0, make_claim("a", is_repeatable=True))
    apply_batch(table, 1, make_claim("b", term=2))
    assert table.find(JOB_ID).claim.home == "a"
    apply_batch(table, 2, make_claim("b", term=1, is_repeatable=True))
    assert table.find(JOB_ID).claim.home == "b"
    apply_batch(table, 3, outcomes=(Outcome(job_id=JOB_ID, term=1, answer=b"x"),))
    apply_batch(table, 4, make_claim("c", term=2))
    assert table.find(JOB_ID).claim.home == "b"
    assert table.find(JOB_ID).answer == b"x"


def test_late_claim_of_an_outage_run_replaces_the_first_claim():
    table = ClaimTable()
    apply_batch(table, 0, make_claim("a", is_repeatable=True))
    apply_batch(table, 1, make_claim("b", is_repeatable=True, is_late=True))
    assert table.find(JOB_ID).claim.home == "b"


def test_evicting_a_claim_raises_the_floor():
    table = ClaimTable(retention_ms=100.0)
    apply_batch(table, 0, make_claim("a"))
    table.evict(50.0)
    assert table.floor_ms == 0
    table.evict(200.0)
    assert table.find(JOB_ID) is None
    assert table.floor_ms == 1_000


def test_number_of_claims_is_limited():
    table = ClaimTable(max_claims=10)
    for index in range(30):
        job_id = make_job_id(1_000 + index, RANDOM)
        apply_batch(table, index, make_claim("a", job_id=job_id))
    table.evict(0.0)
    assert len(table.by_job) == 10
    assert table.floor_ms == 1_019


def test_floor_record_that_covers_trimmed_claims_sets_the_floor():
    table = ClaimTable()
    apply_batch(table, 7, make_claim("a"))
    table.finish_read(LogBatch(earliest=7, head=9), fallback_floor_ms=9_999)
    assert not table.is_ready
    apply_batch(table, 8, floor=ClaimsFloor(covers=7, floor_ms=500))
    table.finish_read(LogBatch(earliest=7, head=9), fallback_floor_ms=9_999)
    assert table.is_ready
    assert table.floor_ms == 500


def test_fallback_floor_is_used_if_no_record_covers_trimmed_claims():
    table = ClaimTable()
    apply_batch(table, 7, make_claim("a"))
    table.finish_read(LogBatch(earliest=7, head=8), fallback_floor_ms=9_999)
    assert table.floor_ms == 9_999
