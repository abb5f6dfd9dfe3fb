"""Mutation tests: break one rule at a time, and check that a violation is found.

Each case runs with the core's own checks on or off, as its id says. With them off, the
oracle has to find the violation alone.
"""

import attrs
import pytest

import buckthornshift.core._answer_delivery as answer_delivery
import buckthornshift.core._attempt_outcomes as attempt_outcomes
import buckthornshift.core._catalogue as catalogue
import buckthornshift.core._context as core_context
import buckthornshift.core._drain as drain
import buckthornshift.core._invariants as invariants
import buckthornshift.core._log_processor as log_processor
import buckthornshift.core._retry as retry
import buckthornshift.core._servers as servers
import buckthornshift.core._submission as submission
from buckthornshift.contracts import (
    AttemptState,
    JobStatus,
)
from buckthornshift.core import Invariant
from buckthornshift.core._messages import JobReady
from buckthornshift.proving import FaultKind, make_core_settings, run_seed

CHECKED_SETTINGS = make_core_settings(3_600_000.0)
UNCHECKED_SETTINGS = attrs.evolve(CHECKED_SETTINGS, are_invariants_on=False)
N_SEEDS = 40


def retry_unrepeatable_tasks(monkeypatch):
    decide = retry.RetryPolicy.decide

    def decide_repeatable(self, state, entry, task):
        return decide(self, state, attrs.evolve(entry, is_repeatable=True), task)

    monkeypatch.setattr(retry.RetryPolicy, "decide", decide_repeatable)


def treat_unknown_as_never_started(monkeypatch):
    """Treat the state "unknown" as proof that an attempt will never start."""

    apply_report = attempt_outcomes.AttemptOutcomeHandler._apply_report

    def apply_unknown_as_never_started(self, attempt, report, incarnation):
        if report.state is AttemptState.UNKNOWN:
            report = attrs.evolve(report, state=AttemptState.NEVER_STARTED)
        apply_report(self, attempt, report, incarnation)

    monkeypatch.setattr(
        attempt_outcomes.AttemptOutcomeHandler,
        "_apply_report",
        apply_unknown_as_never_started,
    )


def pretend_claim_won(monkeypatch):
    def on_claim_requested(self, message):
        message.job.is_claim_won = True
        self.context.post(JobReady(job=message.job))

    monkeypatch.setattr(
        log_processor.LogProcessor, "on_claim_requested", on_claim_requested
    )


def answer_failures_as_not_run(monkeypatch):
    build_failure_answer = core_context.build_failure_answer

    def fail_as_not_run(*args, **kwargs):
        return attrs.evolve(
            build_failure_answer(*args, **kwargs), status=JobStatus.NOT_RUN
        )

    for module in (attempt_outcomes, submission, log_processor):
        monkeypatch.setattr(module, "build_failure_answer", fail_as_not_run)


def drop_first_result(monkeypatch):
    build_complete_answer = core_context.build_complete_answer

    def complete_without_first(job):
        answer = build_complete_answer(job)
        return attrs.evolve(answer, results=answer.results[1:])

    monkeypatch.setattr(
        attempt_outcomes, "build_complete_answer", complete_without_first
    )


def reverse_outputs(monkeypatch):
    build_complete_answer = core_context.build_complete_answer

    def complete_reversed(job):
        answer = build_complete_answer(job)
        outputs = [result.output for result in reversed(answer.results)]
        results = tuple(
            attrs.evolve(result, output=output)
            for result, output in zip(answer.results, outputs, strict=True)
        )
        return attrs.evolve(answer, results=results)

    monkeypatch.setattr(attempt_outcomes, "build_complete_answer", complete_reversed)


def answer_with_wrong_job_id(monkeypatch):
    send = answer_delivery.AnswerDelivery._send

    def send_wrong_job_id(self, waiter, answer):
        send(self, waiter, attrs.evolve(answer, job_id="another"))

    monkeypatch.setattr(answer_delivery.AnswerDelivery, "_send", send_wrong_job_id)


def answer_twice(monkeypatch):
    send = answer_delivery.AnswerDelivery._send

    def send_twice(self, waiter, answer):
        send(self, waiter, answer)
        send(self, waiter, answer)

    monkeypatch.setattr(answer_delivery.AnswerDelivery, "_send", send_twice)


def send_no_answers(monkeypatch):
    monkeypatch.setattr(answer_delivery.AnswerDelivery, "_send", lambda *args: None)


def use_draining_servers(monkeypatch):
    monkeypatch.setattr(servers.Server, "is_usable", property(lambda self: True))
    monkeypatch.setattr(servers.ServerTable, "record_busy_refusal", lambda *args: 0.0)


def exit_before_drained(monkeypatch):
    monkeypatch.setattr(drain.Drain, "_is_done", lambda self: True)


def accept_conflicting_changes(monkeypatch):
    monkeypatch.setattr(
        catalogue.Catalogue,
        "_apply_change",
        lambda self, offset, change: (
            [
                self.items_by_key.__setitem__(key, attrs.evolve(item, offset=offset))
                for key, item in change.items.items()
            ]
            and None
        ),
    )


def decrease_catalogue_version(monkeypatch):
    def decrease_version(self, version):
        self.version = -self.version

    monkeypatch.setattr(catalogue.Catalogue, "_raise_version", decrease_version)


def start_before_claim(monkeypatch):
    def on_claim_requested(self, message):
        self.context.post(JobReady(job=message.job))

    monkeypatch.setattr(
        log_processor.LogProcessor, "on_claim_requested", on_claim_requested
    )


SERVER_FAULTS = (FaultKind.SERVER_DEATH, FaultKind.CONNECTION_LOSS)
CASES = [
    (retry_unrepeatable_tasks, Invariant.AT_MOST_ONCE, True, SERVER_FAULTS),
    (retry_unrepeatable_tasks, Invariant.AT_MOST_ONCE, False, SERVER_FAULTS),
    (
        treat_unknown_as_never_started,
        Invariant.AT_MOST_ONCE,
        True,
        (FaultKind.CONNECTION_LOSS,),
    ),
    (pretend_claim_won, Invariant.SINGLE_START, True, ()),
    (start_before_claim, Invariant.CLAIM_BEFORE_START, True, ()),
    (answer_failures_as_not_run, Invariant.NOT_RUN_IS_TRUE, True, ()),
    (answer_failures_as_not_run, Invariant.NOT_RUN_IS_TRUE, False, ()),
    (drop_first_result, Invariant.WHOLE_ANSWER, True, ()),
    (drop_first_result, Invariant.WHOLE_ANSWER, False, ()),
    (reverse_outputs, Invariant.OWN_ANSWER, True, ()),
    (answer_with_wrong_job_id, Invariant.OWN_ANSWER, True, ()),
    (answer_with_wrong_job_id, Invariant.OWN_ANSWER, False, ()),
    (answer_twice, Invariant.ONE_ANSWER, True, ()),
    (answer_twice, Invariant.ONE_ANSWER, False, ()),
    (send_no_answers, Invariant.ONE_ANSWER, True, ()),
    (
        use_draining_servers,
        Invariant.NO_WORK_FOR_LEAVING,
        True,
        (FaultKind.SERVER_LEAVE,),
    ),
    (
        use_draining_servers,
        Invariant.NO_WORK_FOR_LEAVING,
        False,
        (FaultKind.SERVER_LEAVE, FaultKind.SERVER_SLOW),
    ),
    (exit_before_drained, Invariant.DRAIN_CUTS_NOTHING, True, (FaultKind.ENTRY_DRAIN,)),
    (
        exit_before_drained,
        Invariant.DRAIN_CUTS_NOTHING,
        False,
        (FaultKind.ENTRY_DRAIN,),
    ),
    (
        accept_conflicting_changes,
        Invariant.CATALOGUE_NEVER_REVERTS,
        True,
        (FaultKind.OPERATOR_RACE,),
    ),
    (
        decrease_catalogue_version,
        Invariant.CATALOGUE_NEVER_REVERTS,
        True,
        (FaultKind.OPERATOR_RACE,),
    ),
]


@pytest.mark.parametrize(
    ("mutate", "invariant", "are_core_checks_on", "kinds"),
    CASES,
    ids=[f"{case[0].__name__}-{'on' if case[2] else 'off'}" for case in CASES],
)
def test_mutation_violates_invariant(
    monkeypatch, mutate, invariant, are_core_checks_on, kinds
):
    mutate(monkeypatch)
    settings = CHECKED_SETTINGS if are_core_checks_on else UNCHECKED_SETTINGS
    n_faults = 5 if kinds else 0
    for seed in range(N_SEEDS):
        result = run_seed(seed, kinds, n_faults, settings)
        if result.violation is not None:
            assert result.violation is invariant, result.detail
            return
    pytest.fail(f"{N_SEEDS} seeds did not violate {invariant}")


def test_invariant_error_names_its_invariant():
    error = invariants.InvariantError(invariant=Invariant.ONE_ANSWER, detail="x")
    assert error.invariant is Invariant.ONE_ANSWER
