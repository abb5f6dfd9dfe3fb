"""Reports of where a job would be placed, which must agree with what is done."""

import collections
import enum
import random

import attrs
import pytest
from owner_harness import OwnerHarness

from buckthornshift.dispatch import (
    JobArrived,
    JobSpec,
    PlacementReporter,
    PlacementVerdict,
    Queue,
    Resources,
    ServerRecord,
    StartRun,
    StepSpec,
)
from buckthornshift.dispatch._actions import AnswerCaller

NEED = Resources(cpu=6_000, memory_mb=64)
QUEUE = Queue(name="pay", service="s", stretch=1.6, target_ms=60.0)
COLLECTIONS = (list, tuple, set, frozenset, collections.deque)


def make_server(number, **fields):
    fields = {"service": "s", "capacity": NEED.plus(NEED), "zone": "z"} | fields
    return ServerRecord(server_id=f"s{number}", **fields)


SERVERS = (
    make_server(0),
    make_server(1, labels=("fast",)),
    make_server(2, is_draining=True),
    make_server(3, capacity=Resources(cpu=1_000, memory_mb=64)),
    make_server(4, service="other"),
)


def make_job(number, n_tasks=1, **step):
    step = {"need": NEED, "estimate_ms": 100.0} | step
    return JobSpec(job_id=f"{number:016x}", steps=(StepSpec(n_tasks=n_tasks, **step),))


@pytest.fixture
def owner():
    return OwnerHarness(queues=(QUEUE,), servers=SERVERS)


def report(owner, job):
    reporter = PlacementReporter(core=owner.core, random_state=random.Random(2))
    return reporter.report(job, QUEUE, 1_550.0, owner.now_ms)


def submit(owner, number, job):
    owner.feed(JobArrived(caller_ref=number, job=job, queue=QUEUE, timeout_ms=1_550.0))


def freeze(value, seen=None):
    """Return nested tuples that differ if anything reachable from a value does."""
    seen = {} if seen is None else seen
    if isinstance(value, (str, int, float, enum.Enum, type(None))):
        return value
    if id(value) in seen:
        return "seen"
    seen[id(value)] = value
    if isinstance(value, dict):
        return tuple((freeze(k, seen), freeze(v, seen)) for k, v in value.items())
    if isinstance(value, COLLECTIONS):
        return tuple(freeze(item, seen) for item in value)
    if isinstance(value, random.Random):
        return value.getstate()
    if callable(value):
        return value.__qualname__
    if attrs.has(type(value)):
        fields = [getattr(value, field.name) for field in attrs.fields(type(value))]
    elif hasattr(value, "__dict__"):
        fields = [*vars(value).items()]
    else:
        return repr(value)
    return (type(value).__name__, freeze(fields, seen))


JOBS = [make_job(9), make_job(9, 12), make_job(9, need=Resources(cpu=99_000))]


@pytest.mark.parametrize("n_open", [0, 3, 30])
@pytest.mark.parametrize("job", JOBS, ids=["one", "wide", "infeasible"])
def test_a_report_changes_nothing(owner, job, n_open):
    for number in range(n_open):
        submit(owner, number, make_job(number))
    before = freeze(owner.core)
    report(owner, job)
    assert freeze(owner.core) == before


def test_the_comparison_of_cores_sees_one_job(owner):
    before = freeze(owner.core)
    submit(owner, 1, make_job(1))
    assert freeze(owner.core) != before


@pytest.mark.parametrize("n_open", [0, 1, 3, 4, 12, 30])
@pytest.mark.parametrize("job", JOBS, ids=["one", "wide", "infeasible"])
def test_a_report_agrees_with_the_submission_that_follows(owner, job, n_open):
    """Guards against a report that describes other rules than those in use."""
    for number in range(n_open):
        submit(owner, number, make_job(number))
    owner.actions.clear()
    reported = report(owner, job)
    submit(owner, 99, job)
    started_ids = tuple(start.server.server_id for start in owner.pop(StartRun))
    answers = [a for a in owner.pop(AnswerCaller) if a.caller_ref == 99]
    is_refused = reported.verdict is PlacementVerdict.REFUSED
    assert is_refused == bool(answers)
    if is_refused:
        assert reported.reason == answers[0].reason.value
        assert reported.retry_after_ms == answers[0].retry_after_ms
        assert reported.detail
    else:
        assert reported.verdict is PlacementVerdict.ACCEPTED
        assert reported.server_ids == started_ids


def test_servers_that_are_passed_over_are_counted_by_reason(owner):
    submit(owner, 1, make_job(1, n_tasks=2))
    reported = report(owner, make_job(9))
    assert reported.n_servers == 4
    assert reported.n_usable == 1
    assert reported.n_passed_over == {
        "no_free_capacity": 1,
        "draining": 1,
        "too_small": 1,
    }
    labelled = report(owner, make_job(9, required_label="fast"))
    assert labelled.n_passed_over["label_missing"] == 1


def test_the_best_servers_are_in_the_order_of_use(owner):
    owner.core.fleet.by_id["s0"].suspect_until_ms = owner.now_ms + 1_000.0
    reported = report(owner, make_job(9))
    assert [server.server_id for server in reported.best_servers] == ["s1", "s0"]
    assert reported.best_servers[1].is_suspect


def test_an_instance_without_ownership_does_not_decide():
    """Guards against a refusal that only reflects what a non-owner does not know."""
    owner = OwnerHarness(queues=(QUEUE,), servers=SERVERS)
    for election in owner.core.cells.elections:
        election.release_claim()
    owner.core.cells.update_ownership()
    reported = report(owner, make_job(9))
    assert not reported.is_owner
    assert reported.verdict is PlacementVerdict.UNKNOWN
