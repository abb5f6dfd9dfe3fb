"""Fixed seeds of mixed faults, and seeds that once showed a fault."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornshift.proving import (
    Fault,
    FaultKind,
    RunPlan,
    run_plan,
    run_seed,
)

FAULTS = st.builds(
    Fault,
    kind=st.sampled_from(FaultKind),
    start_ms=st.floats(500.0, 10_000.0),
    length_ms=st.floats(50.0, 4_000.0),
    target=st.integers(0, 20),
)
PLANS = st.builds(
    RunPlan,
    seed=st.integers(0, 10_000),
    n_zones=st.integers(1, 3),
    n_entries=st.integers(2, 4),
    n_servers=st.integers(2, 5),
    n_jobs=st.integers(5, 25),
    faults=st.lists(FAULTS, max_size=6).map(tuple),
)


@pytest.mark.parametrize("seed", range(24))
def test_mixed_faults(seed):
    result = run_seed(seed)
    assert result.violation is None, result.detail


@pytest.mark.parametrize("kind", list(FaultKind))
def test_one_kind_of_fault(kind):
    result = run_seed(1_000, kinds=[kind], n_faults=4)
    assert result.violation is None, result.detail


@pytest.mark.parametrize("seed", [2050, 2221])
def test_draining_home_of_a_withdrawn_job_is_not_asked_forever(seed):
    """A draining home passed a job on, and its new owner asked the home again."""
    result = run_seed(seed)
    assert result.violation is None, result.detail


def test_request_behind_a_pause_survives_a_drain():
    """An instance that was paused while draining exited before a waiting request."""
    result = run_seed(27)
    assert result.violation is None, result.detail


def test_answer_to_a_former_process_is_not_taken_for_its_own():
    """A restarted instance numbered its questions from the beginning again."""
    result = run_seed(7_000_661)
    assert result.violation is None, result.detail


def test_idle_servers_last_heard_of_as_busy_are_used():
    """An instance took a silent fleet for busy and left a job waiting."""
    result = run_seed(7_000_780)
    assert result.violation is None, result.detail


@settings(max_examples=15, derandomize=True, deadline=None, database=None)
@given(PLANS)
def test_drawn_plans(plan):
    result = run_plan(plan)
    assert result.violation is None, result.detail


def test_a_seed_repeats_exactly():
    assert run_seed(5) == run_seed(5)
