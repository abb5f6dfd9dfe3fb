"""Refusing where jobs arrive while the owner is short of processor time."""

import pytest

from buckthornshift.dispatch import (
    DispatchIdentity,
    DispatchSettings,
    Heartbeat,
    PeerReceived,
    ProbeDue,
)
from buckthornshift.dispatch._context import DispatchContext
from buckthornshift.dispatch._membership import Membership
from buckthornshift.dispatch._shedding import LAG_HIGH_MS, LAG_LOW_MS, Shedding

OWNER = "o:1"
N_JOBS = 400


@pytest.fixture
def shedding():
    context = DispatchContext(
        identity=DispatchIdentity(address="h:1"), settings=DispatchSettings()
    )
    return Shedding(context=context, membership=Membership(context=context))


def hear_lag(shedding, lag_ms):
    heartbeat = Heartbeat(sent_ms=1.0, lag_ms=lag_ms)
    shedding.membership.on_received(
        PeerReceived(address=OWNER, incarnation=1, message=heartbeat)
    )


def measure_share(shedding):
    checks = [shedding.check(f"{i:016x}", OWNER) for i in range(N_JOBS)]
    return sum(check is not None for check in checks) / N_JOBS


def test_nothing_is_refused_for_an_owner_that_reads_at_once(shedding):
    hear_lag(shedding, LAG_LOW_MS)
    assert measure_share(shedding) == 0.0


def test_everything_is_refused_for_one_that_would_miss_every_objective(shedding):
    hear_lag(shedding, LAG_HIGH_MS)
    assert measure_share(shedding) == 1.0


def test_the_part_refused_grows_with_the_wait(shedding):
    hear_lag(shedding, (LAG_LOW_MS + LAG_HIGH_MS) / 2)
    assert measure_share(shedding) == pytest.approx(0.5, abs=0.08)


def test_the_same_job_has_the_same_fate_at_every_instance(shedding):
    hear_lag(shedding, (LAG_LOW_MS + LAG_HIGH_MS) / 2)
    first = [shedding.check(f"{i:016x}", OWNER) is None for i in range(50)]
    again = [shedding.check(f"{i:016x}", OWNER) is None for i in range(50)]
    assert first == again


def test_a_refusal_says_why_and_when_to_come_back(shedding):
    hear_lag(shedding, 2 * LAG_HIGH_MS)
    refusal = shedding.check("0" * 16, OWNER)
    assert "240 ms" in refusal.detail
    assert refusal.retry_after_ms >= 2 * LAG_HIGH_MS


def test_an_owner_measures_its_own_wait_and_forgets_it(shedding):
    shedding.context.now_ms = 1_000.0
    shedding.on_probe(ProbeDue(due_ms=800.0))
    assert shedding.lag_ms == 100.0
    for _ in range(6):
        shedding.on_probe(ProbeDue(due_ms=1_000.0))
    assert shedding.lag_ms < LAG_LOW_MS
