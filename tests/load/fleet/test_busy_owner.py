"""Pattern: the owner of all servers is short of processor time."""

import pytest

from buckthornshift.dispatch._membership import Membership
from buckthornshift.dispatch._owner_jobs import OwnerJobs
from buckthornshift.dispatch._shedding import Shedding
from buckthornshift.load.fleet import SITES_BY_NAME, FleetLoadPlan, FleetLoadSimulation
from buckthornshift.proving.fleet import FleetFault, PlannedFault

ALL_DIE = PlannedFault(kind=FleetFault.ALL_DIE, start_ms=4_000.0)


def run_busy(event_ms, seed, load=0.9):
    """Run the patrol desk on instances that take long over each event."""
    plan = FleetLoadPlan(
        site=SITES_BY_NAME["patrol"],
        load=load,
        length_ms=10_000.0,
        seed=seed,
        faults=(ALL_DIE,),
        event_ms=event_ms,
    )
    return FleetLoadSimulation(plan=plan).run()


@pytest.mark.parametrize("seed", [1, 3, 4])
@pytest.mark.parametrize("event_ms", [2.0, 3.0])
def test_what_waited_unread_is_never_started_beside_another_run(event_ms, seed):
    """Seen on the users' bench: two owners started the same tasks 5 ms apart."""
    assert run_busy(event_ms, seed).violation == ""


def start_for_anyone(monkeypatch):
    """Let the owner start what an instance out of contact sent."""
    submit = OwnerJobs._submit

    def submit_from_anyone(self, waiter, message):
        with monkeypatch.context() as patch:
            patch.setattr(Membership, "is_live", lambda *args: True)
            submit(self, waiter, message)

    monkeypatch.setattr(OwnerJobs, "_submit", submit_from_anyone)


def test_without_a_look_at_contact_some_task_runs_twice(monkeypatch):
    """Without shedding, too: it keeps most owners from being that late."""
    monkeypatch.setattr(Shedding, "check", lambda *args: None)
    kept = [run_busy(4.0, seed, load=1.1) for seed in range(4)]
    start_for_anyone(monkeypatch)
    broken = [run_busy(4.0, seed, load=1.1) for seed in range(4)]
    assert [result.violation for result in kept] == [""] * 4
    assert any("one_run" in result.violation for result in broken)
