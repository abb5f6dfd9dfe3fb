"""Callers' requests: what is open, and what a repeat changes."""

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
    """A request whose answer is kept."""

    def __init__(self, method, path, body=b""):
        self.request = SimpleNamespace(
            method=method, path=path, body=body, header_by_name={"host": "h"}
        )
        self.status = None
        self.on_disconnect = None

    def respond(self, status, body=b"", headers=()):
        self.status = status


class Front:
    """A front with a core that only knows a configuration."""

    def __init__(self):
        self.events = []
        configuration = Configuration(version=1, queues=(QUEUE,))
        context = SimpleNamespace(configuration=configuration)
        core = SimpleNamespace(context=context)
        self.front = JobApi(core=core, post=self.events.append)

    def ask(self, method, job_id=JOB_ID, body=b""):
        exchange = FakeExchange(method, QUEUE.path_prefix + job_id, body)
        self.front.handle(exchange)
        return exchange

    def submit(self):
        step = StepSpec(n_tasks=1, need=Resources(cpu=1), estimate_ms=5.0)
        job = JobSpec(job_id=JOB_ID, payload="p", steps=(step,))
        return self.ask("POST", body=encode_job(job))

    def answer(self, caller_ref):
        self.front.answer(
            AnswerCaller(caller_ref=caller_ref, outcome=Outcome.COMPLETED)
        )


@pytest.fixture
def front():
    return Front()


def test_a_job_is_known_until_its_answer(front):
    exchange = front.submit()
    assert isinstance(front.events[0], JobArrived)
    assert front.ask("GET").status == 200
    front.answer(1)
    assert exchange.status == 200
    assert front.ask("GET").status == 410


def test_the_answer_to_a_first_request_leaves_its_repeat_open(front):
    first, repeat = front.submit(), front.submit()
    front.answer(1)
    assert first.status == 200
    assert repeat.status is None
    assert front.ask("GET").status == 200
    front.answer(2)
    assert front.ask("GET").status == 410


def test_a_cancellation_ends_the_open_request(front):
    exchange = front.submit()
    assert front.ask("DELETE").status == 200
    assert exchange.status == 200
    assert isinstance(front.events[-1], CallerDisconnected)
    assert front.ask("DELETE").status == 410


def test_a_cancellation_ends_every_repeat(front):
    """Only the last one was dropped, and the job ran on for the first."""
    exchanges = [front.submit(), front.submit()]
    assert front.ask("DELETE").status == 200
    assert [exchange.status for exchange in exchanges] == [200, 200]
    left = [e.caller_ref for e in front.events if isinstance(e, CallerDisconnected)]
    assert left == [1, 2]


def test_a_caller_that_left_is_forgotten(front):
    exchange = front.submit()
    exchange.on_disconnect()
    assert isinstance(front.events[-1], CallerDisconnected)
    assert front.ask("GET").status == 410
