"""Evacuations while instances, links or the store fail."""

import pytest

from buckthornshift.dispatch._evacuation import EvacuationTracker
from buckthornshift.proving.fleet import (
    FleetFault,
    FleetPlan,
    FleetRule,
    PlannedFault,
    run_fleet_plan,
    run_fleet_seed,
)

N_INSTANCES = 5
CUT_MS = 2_500.0
EVACUATION_MS = 3_500.0


def run_evacuation(fault, seed=0, target=0):
    """Run a fleet in which a zone is evacuated for 4 s during another fault."""
    faults = (
        PlannedFault(kind=fault, start_ms=CUT_MS, length_ms=6_000.0, target=target),
        PlannedFault(
            kind=FleetFault.EVACUATION,
            start_ms=EVACUATION_MS,
            length_ms=4_000.0,
            target=seed % 3,
        ),
    )
    plan = FleetPlan(seed=seed, n_instances=N_INSTANCES, jobs_per_s=30.0, faults=faults)
    return run_fleet_plan(plan)


def run_with_each_instance_cut_off():
    results = [
        run_evacuation(FleetFault.STORE_PARTITION, target, target)
        for target in range(N_INSTANCES)
    ]
    return {result.violation for result in results}


def test_owner_without_the_store_applies_what_others_know():
    assert run_with_each_instance_cut_off() == {None}


def test_owner_that_is_told_nothing_is_detected(monkeypatch):
    monkeypatch.setattr(EvacuationTracker, "send_if_behind", lambda self, peer: None)
    assert FleetRule.EVACUATED in run_with_each_instance_cut_off()


@pytest.mark.parametrize(
    "fault",
    [
        FleetFault.OWNER_CRASH,
        FleetFault.OWNER_FREEZE,
        FleetFault.ALL_INSTANCES_CRASH,
        FleetFault.ZONE_PARTITION,
        FleetFault.STORE_OUTAGE,
        FleetFault.SILENT_LINKS,
    ],
)
def test_evacuation_during_a_failure(fault):
    for seed in range(3):
        result = run_evacuation(fault, seed, target=seed)
        assert result.violation is None, result.detail


def test_overlapping_evacuations():
    """Evacuations of several zones, some written and removed within a second."""
    for seed in range(6):
        result = run_fleet_seed(seed, kinds=[FleetFault.EVACUATION], n_faults=14)
        assert result.violation is None, result.detail
