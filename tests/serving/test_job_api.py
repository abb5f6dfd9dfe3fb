"""The HTTP API for callers: open submissions, repeated ones and cancellations."""

from types import SimpleNamespace

import pytest

from buckthornshift.dispatch import (
    AnswerCaller,
    CallerDisconnected,
    Configuration,
    JobArrived,
    JobSpec,
    Outcome,
    Queue,
    Resources,
    StepSpec,
)
from buckthornshift.platform._server_side import encode_job
from buckthornshift.serving._job_api import JobApi

QUEUE = Queue(name="q", host="h", path_prefix="/q/", service="s")
JOB_ID = "0" * 16


class FakeExchange:
    """A request that records the status of its response."""

    def __init__(self, method, path, body=b""):
        self.request = SimpleNamespace(
            method=method, path=path, body=body, header_by_name={"host": "h"}
        )
        self.status = None
        self.on_disconnect = None

    def respond(self, status, body=b"", headers=()):
        self.status = status


class ApiHarness:
    """A job API with a core that holds nothing but a configuration."""

    def __init__(self):
        self.events = []
        configuration = Configuration(version=1, queues=(QUEUE,))
        context = SimpleNamespace(configuration=configuration)
        core = SimpleNamespace(context=context)
        self.api = JobApi(core=core, post=self.events.append)

    def request(self, method, job_id=JOB_ID, body=b""):
        exchange = FakeExchange(method, QUEUE.path_prefix + job_id, body)
        self.api.handle(exchange)
        return exchange

    def submit(self):
        step = StepSpec(n_tasks=1, need=Resources(cpu=1), estimate_ms=5.0)
        job = JobSpec(job_id=JOB_ID, payload="p", steps=(step,))
        return self.request("POST", body=encode_job(job))

    def answer(self, caller_ref):
        self.api.answer(AnswerCaller(caller_ref=caller_ref, outcome=Outcome.COMPLETED))


@pytest.fixture
def api():
    return ApiHarness()


def test_a_job_is_known_until_its_response(api):
    exchange = api.submit()
    assert isinstance(api.events[0], JobArrived)
    assert api.request("GET").status == 200
    api.answer(1)
    assert exchange.status == 200
    assert api.request("GET").status == 410


def test_the_response_to_a_submission_leaves_its_repeat_open(api):
    first, repeat = api.submit(), api.submit()
    api.answer(1)
    assert first.status == 200
    assert repeat.status is None
    assert api.request("GET").status == 200
    api.answer(2)
    assert api.request("GET").status == 410


def test_a_cancellation_completes_the_open_submission(api):
    exchange = api.submit()
    assert api.request("DELETE").status == 200
    assert exchange.status == 200
    assert isinstance(api.events[-1], CallerDisconnected)
    assert api.request("DELETE").status == 410


def test_a_cancellation_completes_every_repeated_submission(api):
    """Guards against cancelling only the last submission.

    The job then keeps running for the earlier ones.
    """
    exchanges = [api.submit(), api.submit()]
    assert api.request("DELETE").status == 200
    assert [exchange.status for exchange in exchanges] == [200, 200]
    left = [e.caller_ref for e in api.events if isinstance(e, CallerDisconnected)]
    assert left == [1, 2]


def test_a_job_is_unknown_after_its_caller_disconnects(api):
    exchange = api.submit()
    exchange.on_disconnect()
    assert isinstance(api.events[-1], CallerDisconnected)
    assert api.request("GET").status == 410
