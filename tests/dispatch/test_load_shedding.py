"""Refusing where jobs arrive while the owner is short of processor time."""

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


def hear_lag(load_shedder, lag_ms):
    heartbeat = Heartbeat(sent_ms=1.0, lag_ms=lag_ms)
    load_shedder.membership.on_received(
        PeerMessageReceived(address=OWNER, incarnation=1, message=heartbeat)
    )


def measure_share(load_shedder):
    checks = [load_shedder.check(f"{i:016x}", OWNER) for i in range(N_JOBS)]
    return sum(check is not None for check in checks) / N_JOBS


def test_nothing_is_refused_for_an_owner_that_reads_at_once(load_shedder):
    hear_lag(load_shedder, SHEDDING_START_LAG_MS)
    assert measure_share(load_shedder) == 0.0


def test_everything_is_refused_for_one_that_would_miss_every_objective(load_shedder):
    hear_lag(load_shedder, SHEDDING_FULL_LAG_MS)
    assert measure_share(load_shedder) == 1.0


def test_the_part_refused_grows_with_the_wait(load_shedder):
    hear_lag(load_shedder, (SHEDDING_START_LAG_MS + SHEDDING_FULL_LAG_MS) / 2)
    assert measure_share(load_shedder) == pytest.approx(0.5, abs=0.08)


def test_the_same_job_has_the_same_fate_at_every_instance(load_shedder):
    hear_lag(load_shedder, (SHEDDING_START_LAG_MS + SHEDDING_FULL_LAG_MS) / 2)
    first = [load_shedder.check(f"{i:016x}", OWNER) is None for i in range(50)]
    again = [load_shedder.check(f"{i:016x}", OWNER) is None for i in range(50)]
    assert first == again


def test_a_refusal_says_why_and_when_to_come_back(load_shedder):
    hear_lag(load_shedder, 2 * SHEDDING_FULL_LAG_MS)
    refusal = load_shedder.check("0" * 16, OWNER)
    assert "240 ms" in refusal.detail
    assert refusal.retry_after_ms >= 2 * SHEDDING_FULL_LAG_MS


def test_an_owner_measures_its_own_wait_and_forgets_it(load_shedder):
    load_shedder.context.now_ms = 1_000.0
    load_shedder.on_lag_probe(LagProbeDue(due_ms=800.0))
    assert load_shedder.lag_ms == 100.0
    for _ in range(6):
        load_shedder.on_lag_probe(LagProbeDue(due_ms=1_000.0))
    assert load_shedder.lag_ms < SHEDDING_START_LAG_MS
