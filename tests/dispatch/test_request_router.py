"""Callers' requests at the instance that they reached, with an owner elsewhere."""

import random

import pytest

from buckthornshift.dispatch import (
    AnswerCaller,
    CellClaim,
    Configuration,
    ConfigurationRead,
    DispatchCore,
    DispatchIdentity,
    EndReason,
    Heartbeat,
    JobArrived,
    JobEnded,
    JobSpec,
    LogCode,
    LogLine,
    Outcome,
    PeerMessageReceived,
    Queue,
    Resources,
    SendToPeer,
    StepSpec,
    SubmitJob,
    TimeAdvanced,
)

OWNER = "o:1"
HEIR = "p:1"
QUEUE = Queue(name="q", service="s", stretch=2.0, target_ms=60.0)
WALL_MS = 1.8e12


class Home:
    """A core that follows an owner, whose messages are given by hand."""

    def __init__(self):
        self.now_ms = 0.0
        self.lag_ms = 0.0
        self.actions = []
        self.core = DispatchCore(
            identity=DispatchIdentity(address="h:1", incarnation=1),
            random_state=random.Random(1),
        )
        self.actions += self.core.start(0.0, WALL_MS)
        configuration = Configuration(version=1, queues=(QUEUE,))
        self.feed(ConfigurationRead(configuration=configuration))
        self.advance_time(200.0)

    def feed(self, event):
        self.actions += self.core.handle(event, self.now_ms, WALL_MS + self.now_ms)

    def hear(self, message, address=OWNER):
        self.feed(PeerMessageReceived(address=address, incarnation=2, message=message))

    def advance_time(self, ms, address=OWNER, n_cells=1, n_owned=1):
        """Let time pass; an owner of all cells beats all along."""
        claims = tuple(
            CellClaim(cell=cell, term=5, n_owned=n_owned, is_complete=True)
            for cell in range(n_cells)
        )
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.now_ms += 50.0
            self.feed(TimeAdvanced())
            heartbeat = Heartbeat(
                sent_ms=self.now_ms,
                echo_ms=self.now_ms,
                n_cells=n_cells,
                claims=claims,
                lag_ms=self.lag_ms,
            )
            self.hear(heartbeat, address)

    def submit(self):
        step = StepSpec(n_tasks=1, need=Resources(cpu=1), estimate_ms=50.0)
        job = JobSpec(job_id="0" * 16, payload="p", steps=(step,))
        self.feed(JobArrived(caller_ref=1, job=job, queue=QUEUE, timeout_ms=3_000.0))

    def pop(self, cls):
        found = [a for a in self.actions if isinstance(a, cls)]
        self.actions = [a for a in self.actions if not isinstance(a, cls)]
        return found

    def pop_submissions(self):
        sent = [action.message for action in self.pop(SendToPeer)]
        return [message for message in sent if isinstance(message, SubmitJob)]


@pytest.fixture
def home():
    return Home()


def return_job(home, submission, reason, may_have_run=False):
    home.hear(
        JobEnded(
            key=submission.key,
            attempt=submission.attempt,
            outcome=Outcome.RETURNED,
            reason=reason,
            may_have_run=may_have_run,
        )
    )


def test_a_job_given_back_for_want_of_contact_is_tried_again(home):
    home.submit()
    (first,) = home.pop_submissions()
    return_job(home, first, EndReason.OUT_OF_CONTACT)
    assert home.pop_submissions() == []
    home.advance_time(150.0)
    (second,) = home.pop_submissions()
    assert second.attempt == first.attempt + 1
    assert not second.is_resent


def test_one_that_declines_is_not_asked_again(home):
    home.submit()
    (first,) = home.pop_submissions()
    return_job(home, first, EndReason.NOT_OWNER)
    home.advance_time(500.0)
    assert home.pop_submissions() == []


def test_one_that_may_have_run_is_tried_again_once_nothing_can_run():
    """Its owner had lost a server, taken it again, and stayed owner all along."""
    home = Home()
    home.submit()
    (first,) = home.pop_submissions()
    return_job(home, first, EndReason.NOT_OWNER, may_have_run=True)
    home.advance_time(1_000.0)
    assert home.pop_submissions() == []
    home.advance_time(1_000.0)
    (second,) = home.pop_submissions()
    assert second.is_resent


def test_a_job_for_a_busy_owner_is_refused_where_it_arrives(home):
    """Pattern: the owner is short of processor time."""
    home.lag_ms = 500.0
    home.advance_time(100.0)
    home.submit()
    assert home.pop_submissions() == []
    (answer,) = home.pop(AnswerCaller)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.reason is EndReason.OVERLOADED
    assert answer.retry_after_ms >= home.lag_ms
    lines = [a for a in home.pop(LogLine) if a.code is LogCode.JOB_REFUSED]
    assert "500 ms" in lines[-1].fields["detail"]


def test_an_heir_of_the_whole_cell_gets_a_lost_owner_s_job_at_once(home):
    """It sees on its servers what runs of the job."""
    home.submit()
    home.pop_submissions()
    home.advance_time(800.0, address=HEIR)
    (second,) = home.pop_submissions()
    assert second.is_resent


def test_one_that_is_lost_after_another_took_its_place_loses_its_jobs(home):
    """They waited for their callers' deadlines: nobody had them any more."""
    home.submit()
    home.pop_submissions()
    home.advance_time(200.0, address=HEIR, n_owned=2)
    assert home.pop_submissions() == []
    home.advance_time(600.0, address=HEIR, n_owned=2)
    (second,) = home.pop_submissions()
    assert second.is_resent


def test_an_heir_of_a_divided_cell_gets_it_once_nothing_can_run(home):
    """What runs of the job may be on a server of the other cell."""
    home.submit()
    home.pop_submissions()
    home.advance_time(1_400.0, address=HEIR, n_cells=2)
    assert home.pop_submissions() == []
    home.advance_time(300.0, address=HEIR, n_cells=2)
    (second,) = home.pop_submissions()
    assert second.is_resent
    assert second.n_cells == 2
