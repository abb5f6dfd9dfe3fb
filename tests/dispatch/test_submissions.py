"""Tests of submissions at the owner: repetitions, new attempts, returned jobs."""

import pytest
from owner_harness import OwnerHarness

from buckthornshift.dispatch import (
    DropJob,
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
    StartAnswered,
    StartRun,
    StepSpec,
    StopRun,
    SubmitJob,
)

SENDER = "h:1"
NEED = Resources(cpu=1_000, memory_mb=1)
QUEUE = Queue(name="q", service="s", max_attempts=3, stretch=2.0, target_ms=60.0)


class Owner(OwnerHarness):
    """An owner of one server, and an instance that submits jobs to it."""

    def __init__(self):
        record = ServerRecord(server_id="s", service="s", capacity=NEED)
        super().__init__(queues=(QUEUE,), servers=(record,))

    def confirm_contact(self, incarnation=2, **fields):
        """Receive a heartbeat from the sender that confirms one sent just now."""
        heartbeat = Heartbeat(sent_ms=self.now_ms, echo_ms=self.now_ms, **fields)
        self.receive(heartbeat, incarnation=incarnation)

    def receive(self, message, address=SENDER, connection=1, incarnation=2):
        self.feed(
            PeerMessageReceived(
                address=address,
                incarnation=incarnation,
                connection=connection,
                message=message,
            )
        )

    def pop_job_ended(self):
        sent = self.pop(SendToPeer)
        return [a.message for a in sent if isinstance(a.message, JobEnded)]


def make_submission(**fields):
    step = StepSpec(n_tasks=1, need=NEED, estimate_ms=100.0)
    job = JobSpec(job_id="0" * 16, payload="p", steps=(step,))
    return SubmitJob(key=1, job=job, queue=QUEUE, left_ms=2_000.0, **fields)


def test_repetition_of_a_returned_submission_is_not_started():
    """Guards against a double run.

    The repetition, sent over a new connection, may arrive after the sender has
    submitted the job to another owner.
    """
    owner = Owner()
    owner.confirm_contact()
    owner.core.cells.get(0).term, term = 0, owner.core.cells.get(0).term
    owner.receive(make_submission(attempt=1))
    (returned,) = owner.pop_job_ended()
    assert returned.outcome is Outcome.RETURNED
    owner.core.cells.get(0).term = term
    owner.receive(make_submission(attempt=1))
    assert not owner.pop(StartRun)
    (again,) = owner.pop_job_ended()
    assert (again.outcome, again.attempt) == (Outcome.RETURNED, 1)


def test_new_attempt_at_the_same_owner_is_started():
    owner = Owner()
    owner.confirm_contact()
    owner.core.cells.get(0).term, term = 0, owner.core.cells.get(0).term
    owner.receive(make_submission(attempt=1))
    owner.core.cells.get(0).term = term
    owner.receive(make_submission(attempt=2))
    assert len(owner.pop(StartRun)) == 1


def test_submission_that_waited_unread_is_not_started():
    """Guards against a double run.

    When a busy owner reads the submission, its sender may have submitted the job to
    another owner long ago.
    """
    owner = Owner()
    owner.confirm_contact()
    owner.now_ms += 460.0
    owner.receive(make_submission(attempt=1))
    assert not owner.pop(StartRun)
    (returned,) = owner.pop_job_ended()
    assert returned.outcome is Outcome.RETURNED
    assert returned.reason is EndReason.OUT_OF_CONTACT
    owner.confirm_contact()
    owner.receive(make_submission(attempt=2))
    assert len(owner.pop(StartRun)) == 1


def test_submission_over_a_replaced_connection_is_not_started():
    """Guards against a double run.

    A partition held it up, and its sender may have submitted the job to another owner.
    """
    owner = Owner()
    owner.receive(Heartbeat(sent_ms=1.0, echo_ms=owner.now_ms), connection=2)
    owner.receive(make_submission(attempt=1), connection=1)
    assert not owner.pop(StartRun)
    assert not owner.core.jobs.list_open()
    owner.receive(make_submission(attempt=2), connection=2)
    assert len(owner.pop(StartRun)) == 1


def test_submission_that_arrives_after_its_cancellation_is_not_started():
    """Guards against starts of a cancelled job, whose submission was held up."""
    owner = Owner()
    owner.receive(Heartbeat(sent_ms=1.0, echo_ms=owner.now_ms), connection=2)
    owner.receive(DropJob(key=1), connection=2)
    owner.receive(make_submission(attempt=1), connection=1)
    assert not owner.pop(StartRun)


def test_cancellation_over_a_replaced_connection_ends_the_job():
    owner = Owner()
    owner.confirm_contact()
    owner.receive(make_submission(attempt=1), connection=2)
    owner.receive(DropJob(key=1), connection=1)
    assert not owner.core.jobs.list_open()


@pytest.mark.parametrize("is_repeated", [False, True])
def test_job_whose_sender_lost_contact_is_stopped_unless_repeated(is_repeated):
    """Guards against a double run.

    The sender lost contact for a moment, unnoticed by the owner, and submits the job to
    another owner once the leases would have expired.
    """
    owner = Owner()
    owner.confirm_contact()
    owner.receive(make_submission(attempt=1))
    (start,) = owner.pop(StartRun)
    owner.feed(StartAnswered(server_id="s", task=start.task, run=1, clock_ms=0))
    for _ in range(4):
        owner.now_ms += 50.0
        owner.confirm_contact(n_losses=1)
        if is_repeated:
            owner.receive(make_submission(attempt=2))
    assert not owner.pop(StartRun)
    assert bool(owner.core.jobs.list_open()) is is_repeated
    assert bool(owner.pop(StopRun)) is not is_repeated


def test_sender_out_of_contact_does_not_join_another_senders_job():
    """Guards against a job that keeps running only for a lost instance.

    That would happen once the caller of the first sender leaves.
    """
    owner = Owner()
    owner.confirm_contact()
    owner.receive(make_submission(attempt=1))
    owner.receive(make_submission(attempt=1), address="lost:1")
    (returned,) = owner.pop_job_ended()
    assert returned.reason is EndReason.OUT_OF_CONTACT
    (job,) = owner.core.jobs.list_open()
    assert [submission.address for submission in job.submissions] == [SENDER]


def test_late_message_of_a_former_process_does_not_end_jobs_of_its_successor():
    """A partition held it up, and its process was killed and started again."""
    owner = Owner()
    late = Heartbeat(sent_ms=1.0, echo_ms=owner.now_ms)
    owner.confirm_contact(incarnation=2)
    owner.now_ms += 100.0
    owner.confirm_contact(incarnation=3)
    owner.receive(make_submission(attempt=1), incarnation=3)
    owner.receive(late, incarnation=2)
    owner.receive(make_submission(attempt=1), incarnation=2)
    (job,) = owner.core.jobs.list_open()
    assert [submission.incarnation for submission in job.submissions] == [3]
    assert owner.core.membership.is_live(SENDER, 3)


def test_process_that_was_taken_for_a_former_one_is_accepted_again():
    """The owner first hears of the former process by a message that was held up."""
    owner = Owner()
    owner.confirm_contact(incarnation=3)
    before_ms = owner.now_ms
    owner.now_ms += 100.0
    owner.receive(Heartbeat(sent_ms=1.0, echo_ms=before_ms), incarnation=2)
    assert not owner.core.membership.is_live(SENDER, 3)
    owner.receive(Heartbeat(sent_ms=9.0, echo_ms=before_ms), incarnation=3)
    assert not owner.core.membership.is_live(SENDER, 3)
    owner.now_ms += 50.0
    owner.confirm_contact(incarnation=3)
    assert owner.core.membership.is_live(SENDER, 3)
    owner.receive(make_submission(attempt=2), incarnation=3)
    assert len(owner.core.jobs.list_open()) == 1
