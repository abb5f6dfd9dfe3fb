"""Every invariant can fail: each rule is broken on purpose and must be caught."""

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

CALM = make_core_settings(3_600_000.0)
UNCHECKED = attrs.evolve(CALM, are_invariants_on=False)
N_SEEDS = 40


def retry_everything(monkeypatch):
    decide = retry.RetryPolicy.decide

    def decide_repeatable(self, state, entry, task):
        return decide(self, state, attrs.evolve(entry, is_repeatable=True), task)

    monkeypatch.setattr(retry.RetryPolicy, "decide", decide_repeatable)


def trust_unknown(monkeypatch):
    """Take "never heard of it" for a proof that it will not start."""

    take_report = attempt_outcomes.AttemptOutcomeHandler._apply_report

    def take_as_proof(self, attempt, report, incarnation):
        if report.state is AttemptState.UNKNOWN:
            report = attrs.evolve(report, state=AttemptState.NEVER_STARTED)
        take_report(self, attempt, report, incarnation)

    monkeypatch.setattr(
        attempt_outcomes.AttemptOutcomeHandler, "_apply_report", take_as_proof
    )


def start_without_claim(monkeypatch):
    def on_claim_requested(self, message):
        message.job.is_claim_won = True
        self.context.post(JobReady(job=message.job))

    monkeypatch.setattr(
        log_processor.LogProcessor, "on_claim_requested", on_claim_requested
    )


def deny_starts(monkeypatch):
    build_failure_answer = core_context.build_failure_answer

    def deny(*args, **kwargs):
        return attrs.evolve(
            build_failure_answer(*args, **kwargs), status=JobStatus.NOT_RUN
        )

    for module in (attempt_outcomes, submission, log_processor):
        monkeypatch.setattr(module, "fail_job", deny)


def drop_result(monkeypatch):
    build_complete_answer = core_context.build_complete_answer

    def drop(job):
        answer = build_complete_answer(job)
        return attrs.evolve(answer, results=answer.results[1:])

    monkeypatch.setattr(attempt_outcomes, "complete_job", drop)


def swap_outputs(monkeypatch):
    build_complete_answer = core_context.build_complete_answer

    def swap(job):
        answer = build_complete_answer(job)
        outputs = [result.output for result in reversed(answer.results)]
        results = tuple(
            attrs.evolve(result, output=output)
            for result, output in zip(answer.results, outputs, strict=True)
        )
        return attrs.evolve(answer, results=results)

    monkeypatch.setattr(attempt_outcomes, "complete_job", swap)


def answer_other_job(monkeypatch):
    send = answer_delivery.AnswerDelivery._send

    def send_other(self, waiter, answer):
        send(self, waiter, attrs.evolve(answer, job_id="another"))

    monkeypatch.setattr(answer_delivery.AnswerDelivery, "_send", send_other)


def answer_twice(monkeypatch):
    send = answer_delivery.AnswerDelivery._send

    def send_twice(self, waiter, answer):
        send(self, waiter, answer)
        send(self, waiter, answer)

    monkeypatch.setattr(answer_delivery.AnswerDelivery, "_send", send_twice)


def forget_answers(monkeypatch):
    monkeypatch.setattr(answer_delivery.AnswerDelivery, "_send", lambda *args: None)


def use_leaving_servers(monkeypatch):
    monkeypatch.setattr(servers.Server, "is_usable", property(lambda self: True))
    monkeypatch.setattr(servers.ServerTable, "note_busy", lambda *args: 0.0)


def exit_at_once(monkeypatch):
    monkeypatch.setattr(drain.Drain, "_is_done", lambda self: True)


def accept_every_change(monkeypatch):
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


def lower_version(monkeypatch):
    def lower(self, version):
        self.version = -self.version

    monkeypatch.setattr(catalogue.Catalogue, "_raise_version", lower)


def start_unclaimed(monkeypatch):
    def on_claim_requested(self, message):
        self.context.post(JobReady(job=message.job))

    monkeypatch.setattr(
        log_processor.LogProcessor, "on_claim_requested", on_claim_requested
    )


SERVER_FAULTS = (FaultKind.SERVER_DEATH, FaultKind.CONNECTION_LOSS)
CASES = [
    (retry_everything, Invariant.AT_MOST_ONCE, True, SERVER_FAULTS),
    (retry_everything, Invariant.AT_MOST_ONCE, False, SERVER_FAULTS),
    (trust_unknown, Invariant.AT_MOST_ONCE, True, (FaultKind.CONNECTION_LOSS,)),
    (start_without_claim, Invariant.SINGLE_START, True, ()),
    (start_unclaimed, Invariant.CLAIM_BEFORE_START, True, ()),
    (deny_starts, Invariant.NOT_RUN_IS_TRUE, True, ()),
    (deny_starts, Invariant.NOT_RUN_IS_TRUE, False, ()),
    (drop_result, Invariant.WHOLE_ANSWER, True, ()),
    (drop_result, Invariant.WHOLE_ANSWER, False, ()),
    (swap_outputs, Invariant.OWN_ANSWER, True, ()),
    (answer_other_job, Invariant.OWN_ANSWER, True, ()),
    (answer_other_job, Invariant.OWN_ANSWER, False, ()),
    (answer_twice, Invariant.ONE_ANSWER, True, ()),
    (answer_twice, Invariant.ONE_ANSWER, False, ()),
    (forget_answers, Invariant.ONE_ANSWER, True, ()),
    (
        use_leaving_servers,
        Invariant.NO_WORK_FOR_LEAVING,
        True,
        (FaultKind.SERVER_LEAVE,),
    ),
    (
        use_leaving_servers,
        Invariant.NO_WORK_FOR_LEAVING,
        False,
        (FaultKind.SERVER_LEAVE, FaultKind.SERVER_SLOW),
    ),
    (exit_at_once, Invariant.DRAIN_CUTS_NOTHING, True, (FaultKind.ENTRY_DRAIN,)),
    (exit_at_once, Invariant.DRAIN_CUTS_NOTHING, False, (FaultKind.ENTRY_DRAIN,)),
    (
        accept_every_change,
        Invariant.CATALOGUE_NEVER_REVERTS,
        True,
        (FaultKind.OPERATOR_RACE,),
    ),
    (
        lower_version,
        Invariant.CATALOGUE_NEVER_REVERTS,
        True,
        (FaultKind.OPERATOR_RACE,),
    ),
]


@pytest.mark.parametrize(
    ("sabotage", "invariant", "is_on", "kinds"),
    CASES,
    ids=[f"{case[0].__name__}-{'in' if case[2] else 'out'}" for case in CASES],
)
def test_broken_rule_is_caught(monkeypatch, sabotage, invariant, is_on, kinds):
    sabotage(monkeypatch)
    settings = CALM if is_on else UNCHECKED
    n_faults = 5 if kinds else 0
    for seed in range(N_SEEDS):
        result = run_seed(seed, kinds, n_faults, settings)
        if result.violation is not None:
            assert result.violation is invariant, result.detail
            return
    pytest.fail(f"{N_SEEDS} seeds did not show {invariant}")


def test_violation_names_its_invariant():
    error = invariants.InvariantError(invariant=Invariant.ONE_ANSWER, detail="x")
    assert error.invariant is Invariant.ONE_ANSWER
