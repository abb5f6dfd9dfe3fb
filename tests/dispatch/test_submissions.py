"""Submissions between home and owner: repeats, tries, what was given back."""

from owner_harness import OwnerHarness

from buckthornshift.dispatch import (
    EndReason,
    Heartbeat,
    JobEnded,
    JobSpec,
    Outcome,
    PeerMessageReceived,
    Queue,
    Resources,
    SendToPeer,
    ServerRecord,
    StartRun,
    StepSpec,
    SubmitJob,
)

HOME = "h:1"
NEED = Resources(cpu=1_000, memory_mb=1)
QUEUE = Queue(name="q", service="s", max_attempts=3, stretch=2.0, target_ms=60.0)


class Owner(OwnerHarness):
    """An owner of one server, and a home that passes jobs to it."""

    def __init__(self):
        record = ServerRecord(server_id="s", service="s", capacity=NEED)
        super().__init__(queues=(QUEUE,), servers=(record,))

    def contact(self):
        """Let a beat of the home come that confirms one of this instant."""
        self.receive(Heartbeat(sent_ms=self.now_ms, echo_ms=self.now_ms))

    def receive(self, message, address=HOME):
        self.feed(PeerMessageReceived(address=address, incarnation=2, message=message))

    def pop_ended(self):
        sent = self.pop(SendToPeer)
        return [a.message for a in sent if isinstance(a.message, JobEnded)]


def make_submission(**fields):
    step = StepSpec(n_tasks=1, need=NEED, estimate_ms=100.0)
    job = JobSpec(job_id="0" * 16, payload="p", steps=(step,))
    return SubmitJob(key=1, job=job, queue=QUEUE, left_ms=2_000.0, **fields)


def test_a_repeat_of_what_was_given_back_is_not_started():
    """A repeat over a new link came after its home had passed the job on."""
    owner = Owner()
    owner.contact()
    owner.core.cells.get(0).term, term = 0, owner.core.cells.get(0).term
    owner.receive(make_submission(attempt=1))
    (returned,) = owner.pop_ended()
    assert returned.outcome is Outcome.RETURNED
    owner.core.cells.get(0).term = term
    owner.receive(make_submission(attempt=1))
    assert not owner.pop(StartRun)
    (again,) = owner.pop_ended()
    assert (again.outcome, again.attempt) == (Outcome.RETURNED, 1)


def test_a_new_try_at_the_same_owner_is_started():
    owner = Owner()
    owner.contact()
    owner.core.cells.get(0).term, term = 0, owner.core.cells.get(0).term
    owner.receive(make_submission(attempt=1))
    owner.core.cells.get(0).term = term
    owner.receive(make_submission(attempt=2))
    assert len(owner.pop(StartRun)) == 1


def test_a_submission_that_waited_unread_is_not_started():
    """Pattern: a busy owner reads what its home has long passed to another one."""
    owner = Owner()
    owner.contact()
    owner.now_ms += 460.0
    owner.receive(make_submission(attempt=1))
    assert not owner.pop(StartRun)
    (returned,) = owner.pop_ended()
    assert returned.outcome is Outcome.RETURNED
    assert returned.reason is EndReason.OUT_OF_CONTACT
    owner.contact()
    owner.receive(make_submission(attempt=2))
    assert len(owner.pop(StartRun)) == 1


def test_a_home_out_of_contact_joins_no_job_of_another():
    """When the other one left, the job would go on for a home that is lost."""
    owner = Owner()
    owner.contact()
    owner.receive(make_submission(attempt=1))
    owner.receive(make_submission(attempt=1), address="lost:1")
    (returned,) = owner.pop_ended()
    assert returned.reason is EndReason.OUT_OF_CONTACT
    (job,) = owner.core.jobs.list_open()
    assert [submission.address for submission in job.submissions] == [HOME]
