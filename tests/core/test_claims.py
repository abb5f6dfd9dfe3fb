"""Claims: first in log order, takeovers, late claims, forgetting."""

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
JOB = make_job_id(1_000, RANDOM)


def make_claim(home, term=0, **changes):
    fields = {"job_id": JOB, "digest": "d", "home": home, "incarnation": home}
    return Claim(**(fields | {"term": term} | changes))


def read(table, offset, *claims, **parts):
    table.consume_record(offset, ClaimsBatch(claims=claims, **parts), 0.0)


def test_first_claim_wins():
    table = ClaimTable()
    read(table, 0, make_claim("a"))
    read(table, 1, make_claim("b"))
    assert table.find(JOB).claim.home == "a"


def test_takeover_needs_repeatable_work_the_next_term_and_no_outcome():
    table = ClaimTable()
    read(table, 0, make_claim("a"))
    read(table, 1, make_claim("b", term=1))
    assert table.find(JOB).claim.home == "a"
    table = ClaimTable()
    read(table, 0, make_claim("a", is_repeatable=True))
    read(table, 1, make_claim("b", term=2))
    assert table.find(JOB).claim.home == "a"
    read(table, 2, make_claim("b", term=1, is_repeatable=True))
    assert table.find(JOB).claim.home == "b"
    read(table, 3, outcomes=(Outcome(job_id=JOB, term=1, answer=b"x"),))
    read(table, 4, make_claim("c", term=2))
    assert table.find(JOB).claim.home == "b"
    assert table.find(JOB).answer == b"x"


def test_late_claim_tells_where_a_job_ran():
    table = ClaimTable()
    read(table, 0, make_claim("a", is_repeatable=True))
    read(table, 1, make_claim("b", is_repeatable=True, is_late=True))
    assert table.find(JOB).claim.home == "b"


def test_forgetting_raises_the_floor():
    table = ClaimTable(retention_ms=100.0)
    read(table, 0, make_claim("a"))
    table.evict(50.0)
    assert table.floor_ms == 0
    table.evict(200.0)
    assert table.find(JOB) is None
    assert table.floor_ms == 1_000


def test_table_is_bounded():
    table = ClaimTable(max_claims=10)
    for index in range(30):
        job_id = make_job_id(1_000 + index, RANDOM)
        read(table, index, make_claim("a", job_id=job_id))
    table.evict(0.0)
    assert len(table.by_job) == 10
    assert table.floor_ms == 1_019


def test_gap_takes_the_floor_of_a_covering_record():
    table = ClaimTable()
    read(table, 7, make_claim("a"))
    table.finish_read(LogBatch(earliest=7, head=9), fallback_floor_ms=9_999)
    assert not table.is_ready
    read(table, 8, floor=ClaimsFloor(covers=7, floor_ms=500))
    table.finish_read(LogBatch(earliest=7, head=9), fallback_floor_ms=9_999)
    assert table.is_ready
    assert table.floor_ms == 500


def test_gap_without_a_floor_refuses_every_earlier_id():
    table = ClaimTable()
    read(table, 7, make_claim("a"))
    table.finish_read(LogBatch(earliest=7, head=8), fallback_floor_ms=9_999)
    assert table.floor_ms == 9_999
