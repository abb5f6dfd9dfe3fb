"""Guarantees of the backend protocol that the dispatcher relies on."""

from buckthornshift.contracts import AttemptSpec, AttemptState, StartRequest
from buckthornshift.standins import BackendModel, ListModel, LogModel


def make_model(slots=2):
    return BackendModel(server_id="s", incarnation="1", slots=slots)


def start(model, *attempt_ids, incarnation="1", term=0):
    attempts = tuple(
        AttemptSpec(attempt_id=a, job_id="j", task_id=a, term=term) for a in attempt_ids
    )
    request = StartRequest(incarnation=incarnation, attempts=attempts)
    return [report.state for report in model.start(request, None, 0.0)]


def test_attempts_beyond_the_slots_are_refused_as_busy():
    model = make_model()
    assert start(model, "a", "b", "c") == [AttemptState.BUSY]
    assert len(model.finish_due(50.0)) == 2
    assert start(model, "c") == []


def test_an_attempt_that_is_sent_twice_starts_once():
    model = make_model()
    start(model, "a")
    assert start(model, "a") == [AttemptState.RUNNING]
    assert model.n_starts_by_task["j/a"] == 1


def test_an_attempt_cancelled_before_it_arrives_never_starts():
    model = make_model()
    assert model.cancel(("a",))[0].state is AttemptState.NEVER_STARTED
    assert start(model, "a") == [AttemptState.NEVER_STARTED]
    assert not model.n_starts_by_task


def test_a_fence_refuses_lower_terms_and_reports_the_attempts_of_the_job():
    model = make_model()
    start(model, "a")
    assert [r.task_id for r in model.fence("j", 1)] == ["a"]
    assert start(model, "b") == [AttemptState.FENCED]
    assert start(model, "c", term=1) == []


def test_another_incarnation_and_a_leaving_server_refuse_attempts():
    model = make_model()
    assert start(model, "a", incarnation="0") == [AttemptState.WRONG_INCARNATION]
    model.is_leaving = True
    assert start(model, "b") == [AttemptState.LEAVING]


def test_trimming_the_log_keeps_the_offsets_of_records():
    log = LogModel(retention_ms=100.0)
    for now_ms in (0.0, 50.0, 120.0):
        log.append("s", b"x", now_ms)
    log.trim(130.0)
    batch = log.read("s", 0)
    assert (batch.earliest, batch.head) == (1, 3)
    assert [record.offset for record in batch.records] == [1, 2]


def test_a_lagging_list_returns_an_older_version():
    from buckthornshift.contracts import InstanceRecord

    listed = ListModel()
    listed.put(InstanceRecord(instance_id="a"), 1_000.0)
    assert listed.read(1_500.0, lag_ms=1_000.0).instances == ()
    assert len(listed.read(2_500.0, lag_ms=1_000.0).instances) == 1
