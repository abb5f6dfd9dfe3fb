"""Tests of refusing jobs where they arrive while their owner is short of CPU."""

import pytest

from buckthornshift.dispatch import (
    DispatchIdentity,
    DispatchSettings,
    Heartbeat,
    LagProbeDue,
    PeerMessageReceived,
)
from buckthornshift.dispatch._context import DispatchContext
from buckthornshift.dispatch._load_shedding import (
    SHEDDING_FULL_LAG_MS,
    SHEDDING_START_LAG_MS,
    LoadShedder,
)
from buckthornshift.dispatch._membership import Membership

OWNER = "o:1"
N_JOBS = 400


@pytest.fixture
def load_shedder():
    context = DispatchContext(
        identity=DispatchIdentity(address="h:1"), settings=DispatchSettings()
    )
    return LoadShedder(context=context, membership=Membership(context=context))


def receive_lag(load_shedder, lag_ms):
    heartbeat = Heartbeat(sent_ms=1.0, lag_ms=lag_ms)
    load_shedder.membership.on_received(
        PeerMessageReceived(address=OWNER, incarnation=1, message=heartbeat)
    )


def measure_refused_fraction(load_shedder):
    refusals = [load_shedder.check(f"{i:016x}", OWNER) for i in range(N_JOBS)]
    return sum(refusal is not None for refusal in refusals) / N_JOBS


def test_no_job_is_refused_at_low_owner_lag(load_shedder):
    receive_lag(load_shedder, SHEDDING_START_LAG_MS)
    assert measure_refused_fraction(load_shedder) == 0.0


def test_all_jobs_are_refused_at_high_owner_lag(load_shedder):
    receive_lag(load_shedder, SHEDDING_FULL_LAG_MS)
    assert measure_refused_fraction(load_shedder) == 1.0


def test_refused_fraction_grows_with_owner_lag(load_shedder):
    receive_lag(load_shedder, (SHEDDING_START_LAG_MS + SHEDDING_FULL_LAG_MS) / 2)
    assert measure_refused_fraction(load_shedder) == pytest.approx(0.5, abs=0.08)


def test_same_job_gets_the_same_decision_again(load_shedder):
    receive_lag(load_shedder, (SHEDDING_START_LAG_MS + SHEDDING_FULL_LAG_MS) / 2)
    first = [load_shedder.check(f"{i:016x}", OWNER) is None for i in range(50)]
    again = [load_shedder.check(f"{i:016x}", OWNER) is None for i in range(50)]
    assert first == again


def test_refusal_has_reason_and_retry_after(load_shedder):
    receive_lag(load_shedder, 2 * SHEDDING_FULL_LAG_MS)
    refusal = load_shedder.check("0" * 16, OWNER)
    assert "240 ms" in refusal.detail
    assert refusal.retry_after_ms >= 2 * SHEDDING_FULL_LAG_MS


def test_measured_lag_rises_and_decays(load_shedder):
    load_shedder.context.now_ms = 1_000.0
    load_shedder.on_lag_probe(LagProbeDue(due_ms=800.0))
    assert load_shedder.lag_ms == 100.0
    for _ in range(6):
        load_shedder.on_lag_probe(LagProbeDue(due_ms=1_000.0))
    assert load_shedder.lag_ms < SHEDDING_START_LAG_MS
