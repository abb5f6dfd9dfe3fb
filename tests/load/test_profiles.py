"""Loads offer what they say."""

import random

import pytest

from buckthornshift.load import (
    PROFILES_BY_NAME,
    LoadPlan,
    SystemShape,
    draw_arrivals,
)


@pytest.mark.parametrize("name", list(PROFILES_BY_NAME))
@pytest.mark.parametrize("seed", range(4))
def test_every_seed_offers_the_declared_load(name, seed):
    """Seeds drew from 51 to 65 % of the capacity for a load of 60 %."""
    arrivals = draw_arrivals(
        PROFILES_BY_NAME[name], 0.6, 192, 40_000.0, random.Random(seed)
    )
    work_ms = sum(sum(arrival.run_times_ms) for arrival in arrivals)
    largest_job_ms = 340 * 5_000.0
    capacity_ms = 192 * 40_000.0
    assert 0.6 <= work_ms / capacity_ms < 0.6 + largest_job_ms / capacity_ms
    times = [arrival.at_ms for arrival in arrivals]
    assert times == sorted(times)
    assert times[-1] == pytest.approx(40_000.0)


def test_the_declared_shape_reaches_both_clocks():
    """The time of an append was dropped on the way to the runs."""
    plan = LoadPlan(shape=SystemShape(sync_ms=9.0, zone_delay_ms=1.4, n_zones=4))
    run_plan = plan.make_run_plan(0.0)
    assert (run_plan.sync_ms, run_plan.cross_zone_delay_ms, run_plan.n_zones) == (
        9.0,
        1.4,
        4,
    )
