"""The oracle can fail: each promise is broken on purpose and must be caught."""

import attrs
import pytest

from buckthornshift.dispatch import (
    Configuration,
    DispatchSettings,
    Outcome,
    Resources,
    Verdict,
)
from buckthornshift.dispatch._core import DispatchCore
from buckthornshift.dispatch._fleet import Fleet
from buckthornshift.dispatch._owner_jobs import OwnerJobs
from buckthornshift.dispatch._request_router import RequestRouter
from buckthornshift.dispatch._runs import RunTracker
from buckthornshift.proving.fleet import FleetFault, FleetRule, run_fleet_seed
from buckthornshift.standins import TaskServerModel

N_SEEDS = 30
ENDLESS_JOB = f"{3:016x}."


def count_nothing(monkeypatch):
    """Start without counting what runs."""
    monkeypatch.setattr(Resources, "covers", lambda self, other: True)


def free_stopped_at_once(monkeypatch):
    """Free the room of a run when its stop is ordered."""
    stop = RunTracker.stop

    def stop_and_free(self, server, run):
        stop(self, server, run)
        server.free = server.free.plus(run.need or Resources())

    monkeypatch.setattr(RunTracker, "stop", stop_and_free)


def ignore_fences(monkeypatch):
    """Servers take orders under any token."""
    monkeypatch.setattr(TaskServerModel, "_accept_token", lambda self, token: True)


def resubmit_at_once(monkeypatch):
    """Pass a lost owner's job on without a look at what it left running."""
    lose_owner = RequestRouter._lose_owner

    def lose_and_pass_on(self, request):
        lose_owner(self, request)
        request.resubmit_at_ms = 0.0

    monkeypatch.setattr(RequestRouter, "_lose_owner", lose_and_pass_on)


def use_draining(monkeypatch):
    """Go on starting on servers that leave."""
    is_schedulable = Fleet.is_schedulable

    def is_open_anyway(self, server):
        record, server.record = (
            server.record,
            attrs.evolve(server.record, is_draining=False),
        )
        try:
            return is_schedulable(self, server)
        finally:
            server.record = record

    monkeypatch.setattr(Fleet, "is_open", is_open_anyway)


def use_any_service(monkeypatch):
    """Take servers of every service."""
    monkeypatch.setattr(
        Fleet,
        "iter_open",
        lambda self, service, cell: [
            server for server in self.by_id.values() if self.is_schedulable(server)
        ],
    )


def change_payload(monkeypatch):
    """Give tasks another text than the caller's."""
    monkeypatch.setattr(
        "buckthornshift.dispatch._runs.StartRun",
        lambda **fields: _make_start(**(fields | {"payload": "other"})),
    )


def _make_start(**fields):
    from buckthornshift.dispatch import StartRun

    return StartRun(**fields)


def deny_starts(monkeypatch):
    """Tell "not run" whatever has begun."""
    answer = RequestRouter._answer

    def answer_not_run(self, request, ended):
        if ended.outcome is Outcome.FAILED:
            ended = attrs.evolve(ended, outcome=Outcome.NOT_RUN, may_have_run=False)
        request.may_have_run = False
        answer(self, request, ended)

    monkeypatch.setattr(RequestRouter, "_answer", answer_not_run)


def complete_early(monkeypatch):
    """Call a job complete when its first task is done."""
    monkeypatch.setattr(
        "buckthornshift.dispatch._jobs.Job.finish_task", lambda self, task: True
    )


def fail_without_cause(monkeypatch):
    """Say that attempts are used up when a deadline has come."""
    end_early = OwnerJobs.end_early

    def give_up_as_failed(self, job, reason, retry_after_ms=0.0):
        if job.may_have_run:
            self.fail(job, "attempts_used_up")
            return
        end_early(self, job, reason, retry_after_ms)

    monkeypatch.setattr(OwnerJobs, "end_early", give_up_as_failed)


def forget_callers(monkeypatch):
    """Never answer a caller whose deadline has come, or whose job ended."""
    monkeypatch.setattr(RequestRouter, "_answer", lambda self, request, ended: None)


def take_any_configuration(monkeypatch):
    """Take a configuration whatever its version, and an old one now and then."""
    take = DispatchCore._apply_configuration

    def take_old(self, configuration, source):
        take(self, configuration, source)
        if self.context.now_ms > 6_000.0:
            self.context.configuration = Configuration(version=0)

    monkeypatch.setattr(DispatchCore, "_take_configuration", take_old)


def leave_orphans(monkeypatch):
    """Never stop what runs for a job that has ended."""
    monkeypatch.setattr(RunTracker, "stop", lambda self, server, run: None)
    monkeypatch.setattr(
        "buckthornshift.proving.fleet._callers.FleetCallers._plan_run",
        lambda self, task: (1e9 if task.startswith(ENDLESS_JOB) else 50.0, False),
    )


def never_claim_again(monkeypatch):
    """Leave the servers without an owner once it is lost."""
    monkeypatch.setattr(
        "buckthornshift.dispatch._election.Election._claim_if_due",
        lambda self: (
            self._begin_claim()
            if 500.0 <= self.context.now_ms < 700.0
            and self.cells.is_next_claimant(self.cell)
            else None
        ),
    )


def exit_at_once(monkeypatch):
    """End with requests open."""
    monkeypatch.setattr(RequestRouter, "answer_all", lambda self, reason: None)
    monkeypatch.setattr(
        RequestRouter, "_ends_after_shutdown", lambda self, request: False
    )


def start_late(monkeypatch):
    """Take a rejected start for one that may run elsewhere at the same time."""
    answered = RunTracker.on_start_answered

    def answered_as_rejected(self, event):
        if event.verdict is Verdict.NO_ANSWER:
            event = attrs.evolve(event, verdict=Verdict.NOT_SENT)
        answered(self, event)

    monkeypatch.setattr(RunTracker, "on_start_answered", answered_as_rejected)


def start_beside_a_run(monkeypatch):
    """Start a task though a run under its name may still be there."""
    monkeypatch.setattr(RunTracker, "is_open", lambda self, name: False)


MUTATIONS = [
    (count_nothing, FleetRule.CAPACITY, [FleetFault.BURST]),
    (free_stopped_at_once, FleetRule.CAPACITY, [FleetFault.CALLERS_DISCONNECT]),
    (
        ignore_fences,
        FleetRule.CAPACITY,
        [FleetFault.ZONE_PARTITION, FleetFault.OWNER_FREEZE],
    ),
    (start_late, FleetRule.ONE_RUN, [FleetFault.REPLIES_LOST]),
    (
        start_beside_a_run,
        FleetRule.ONE_RUN,
        [FleetFault.ZONE_PARTITION, FleetFault.INSTANCE_CRASH],
    ),
    (
        resubmit_at_once,
        FleetRule.ONE_RUN,
        [FleetFault.OWNER_CRASH, FleetFault.ENTRIES_LAPSE],
    ),
    (use_draining, FleetRule.DRAINING, [FleetFault.SERVER_DRAIN]),
    (use_any_service, FleetRule.RIGHT_SERVER, []),
    (change_payload, FleetRule.ASKED, []),
    (deny_starts, FleetRule.NOT_RUN_IS_TRUE, [FleetFault.SERVER_SLOW]),
    (complete_early, FleetRule.WHOLE_ANSWER, []),
    (fail_without_cause, FleetRule.FAILED_HAS_CAUSE, [FleetFault.SERVER_SLOW]),
    (forget_callers, FleetRule.ONE_ANSWER, []),
    (take_any_configuration, FleetRule.CONFIGURATION, []),
    (exit_at_once, FleetRule.STOP_CUTS_NOTHING, [FleetFault.ROLLING_STOP]),
    (leave_orphans, FleetRule.ORPHAN_STOPPED, []),
    (never_claim_again, FleetRule.RECOVERED, [FleetFault.ALL_INSTANCES_CRASH]),
]


@pytest.mark.parametrize(
    ("mutate", "rule", "kinds"),
    MUTATIONS,
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_broken_promise_is_caught(monkeypatch, mutate, rule, kinds):
    mutate(monkeypatch)
    seen = set()
    for seed in range(N_SEEDS):
        result = run_fleet_seed(seed, kinds=kinds, n_faults=4 if kinds else 0)
        seen.add(result.violation)
        if rule in seen:
            return
    pytest.fail(f"{rule} was not caught; seen: {seen}")


def test_every_rule_has_a_mutation():
    assert {rule for _, rule, _ in MUTATIONS} == set(FleetRule)


def test_inequality_of_resubmission():
    """A caller comes back 1,300 ms after a break: its first run must be gone."""
    settings = DispatchSettings()
    stop_ms = 50.0
    is_stopped = settings.lost_after_ms + settings.beat_ms + stop_ms
    assert is_stopped + settings.call_timeout_ms < 1_300.0
    assert settings.max_lease_duration_ms < 1_300.0
