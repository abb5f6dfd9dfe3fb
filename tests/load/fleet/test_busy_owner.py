"""The owner of all servers lacks processor time, so that messages wait there unread.

By the time that the owner reads a submission, its sender may have submitted the job to
another owner. Starting it then would run a task on two servers at a time.
"""

import pytest

from buckthornshift.dispatch._load_shedding import LoadShedder
from buckthornshift.dispatch._membership import Membership
from buckthornshift.dispatch._owner_jobs import OwnerJobs
from buckthornshift.load.fleet import SITES_BY_NAME, FleetLoadPlan, FleetLoadSimulation
from buckthornshift.proving.fleet import FleetFault, PlannedFault

# Seeds on which some submission waits at the owner for longer than its sender does.
DELAYED_SEEDS = (4, 5, 6, 7)
ALL_INSTANCES_DIE = PlannedFault(kind=FleetFault.ALL_INSTANCES_CRASH, start_ms=4_000.0)


def run_with_slow_events(event_ms, seed, load=0.9):
    """Run the patrol site on instances that take long to process each event."""
    plan = FleetLoadPlan(
        site=SITES_BY_NAME["patrol"],
        load=load,
        length_ms=10_000.0,
        seed=seed,
        faults=(ALL_INSTANCES_DIE,),
        event_ms=event_ms,
    )
    return FleetLoadSimulation(plan=plan).run()


@pytest.mark.parametrize("seed", [1, 3, 4])
@pytest.mark.parametrize("event_ms", [2.0, 3.0])
def test_delayed_submission_is_not_started_while_another_run_is_active(event_ms, seed):
    """Guards against two owners that start the same task; it was seen 5 ms apart."""
    assert run_with_slow_events(event_ms, seed).violation == ""


def accept_from_lost_peers(monkeypatch):
    """Let the owner start jobs whose sender is no longer a live peer."""
    original_submit = OwnerJobs._submit

    def submit_from_lost_peer(self, submission, message):
        with monkeypatch.context() as patch:
            patch.setattr(Membership, "is_live", lambda *args: True)
            original_submit(self, submission, message)

    monkeypatch.setattr(OwnerJobs, "_submit", submit_from_lost_peer)


def test_without_liveness_check_of_sender_a_task_runs_twice(monkeypatch):
    """Show that the check of the sender is what prevents a second run.

    Load shedding is off, as it keeps the delay of most owners too short for this. So is
    the reaction to a loss of contact that the sender reports, which ends such jobs.
    """
    monkeypatch.setattr(LoadShedder, "check", lambda *args: None)
    monkeypatch.setattr(Membership, "_check_own_losses", lambda self, peer: None)
    with_check = [run_with_slow_events(4.0, seed, load=1.1) for seed in DELAYED_SEEDS]
    accept_from_lost_peers(monkeypatch)
    without_check = [
        run_with_slow_events(4.0, seed, load=1.1) for seed in DELAYED_SEEDS
    ]
    assert [result.violation for result in with_check] == [""] * len(DELAYED_SEEDS)
    assert any("one_run" in result.violation for result in without_check)
