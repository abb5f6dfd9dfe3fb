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
from buckthornshift.proving.fleet._notice_watch import EvacuationWatch

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


def run_restarts_in_an_outage(monkeypatch, seed):
    """Restart all instances and owners while the store is away; count them all."""
    monkeypatch.setattr(EvacuationWatch, "_can_know", lambda self, instance: True)
    kinds = [FleetFault.ROLLING_STOP] + 4 * [FleetFault.OWNER_CRASH]
    faults = [
        PlannedFault(
            kind=FleetFault.EVACUATION, start_ms=2_000.0, length_ms=9_000.0, target=seed
        ),
        PlannedFault(kind=FleetFault.STORE_OUTAGE, start_ms=4_000.0, length_ms=6_000.0),
    ]
    faults += [
        PlannedFault(kind=kind, start_ms=4_200.0 + 700.0 * index)
        for index, kind in enumerate(kinds)
    ]
    plan = FleetPlan(seed=seed, jobs_per_s=30.0, faults=tuple(faults))
    return run_fleet_plan(plan)


def test_instances_that_start_in_an_outage_learn_the_set_from_others(monkeypatch):
    for seed in range(3):
        result = run_restarts_in_an_outage(monkeypatch, seed)
        assert result.violation is None, result.detail


def test_instances_that_start_without_the_set_are_detected(monkeypatch):
    monkeypatch.setattr(EvacuationTracker, "send_if_behind", lambda self, peer: None)
    monkeypatch.setattr(EvacuationTracker, "is_known", lambda self: True)
    results = [run_restarts_in_an_outage(monkeypatch, seed) for seed in range(3)]
    assert FleetRule.EVACUATED in {result.violation for result in results}
