"""Submissions between home and owner: repeats, tries, what was given back."""

import random

from buckthornshift.dispatch import (
    Beat,
    Configuration,
    ConfigurationRead,
    DispatchCore,
    DispatchIdentity,
    EndReason,
    HoldAnswered,
    HoldServer,
    JobEnded,
    JobSpec,
    Outcome,
    PeerReceived,
    Queue,
    Resources,
    SendPeer,
    ServerRecord,
    ServersRead,
    StartRun,
    StepSpec,
    SubmitJob,
    TimeAdvanced,
)

HOME = "h:1"
NEED = Resources(cpu=1_000, memory_mb=1)
QUEUE = Queue(name="q", service="s", max_attempts=3, stretch=2.0, target_ms=60.0)


class Owner:
    """A core that owns one server."""

    def __init__(self):
        self.now_ms = 0.0
        self.actions = []
        self.core = DispatchCore(
            identity=DispatchIdentity(address="o:1", incarnation=1),
            random_state=random.Random(1),
        )
        self.take(self.core.start(0.0, 1.8e12))
        configuration = Configuration(version=1, queues=(QUEUE,))
        self.feed(ConfigurationRead(configuration=configuration))
        record = ServerRecord(server_id="s", service="s", capacity=NEED)
        self.feed(ServersRead(servers=(record,)))
        self.pass_time(700.0)

    def take(self, actions):
        self.actions += actions
        for action in actions:
            if isinstance(action, HoldServer) and not action.wait_ms:
                self.feed(
                    HoldAnswered(
                        server_id="s",
                        token=action.token,
                        sent_ms=action.sent_ms,
                        clock_ms=int(self.now_ms),
                    )
                )

    def feed(self, event):
        self.take(self.core.handle(event, self.now_ms, 1.8e12 + self.now_ms))
        if self.core.find_next_due() <= self.now_ms:
            self.take(
                self.core.handle(TimeAdvanced(), self.now_ms, 1.8e12 + self.now_ms)
            )

    def pass_time(self, ms):
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.now_ms += 50.0
            self.feed(TimeAdvanced())

    def contact(self):
        """Let a beat of the home come that confirms one of this instant."""
        self.receive(Beat(sent_ms=self.now_ms, echo_ms=self.now_ms))

    def receive(self, message):
        self.feed(PeerReceived(address=HOME, incarnation=2, message=message))

    def pop(self, cls):
        found = [a for a in self.actions if isinstance(a, cls)]
        self.actions = [a for a in self.actions if not isinstance(a, cls)]
        return found

    def pop_ended(self):
        sent = self.pop(SendPeer)
        return [a.message for a in sent if isinstance(a.message, JobEnded)]


def make_submission(**fields):
    step = StepSpec(n_tasks=1, need=NEED, estimate_ms=100.0)
    job = JobSpec(job_id="0" * 16, payload="p", steps=(step,))
    return SubmitJob(key=1, job=job, queue=QUEUE, left_ms=2_000.0, **fields)


def test_a_repeat_of_what_was_given_back_is_not_started():
    """A repeat over a new link came after its home had passed the job on."""
    owner = Owner()
    owner.contact()
    owner.core.election.term, term = 0, owner.core.election.term
    owner.receive(make_submission(attempt=1))
    (returned,) = owner.pop_ended()
    assert returned.outcome is Outcome.RETURNED
    owner.core.election.term = term
    owner.receive(make_submission(attempt=1))
    assert not owner.pop(StartRun)
    (again,) = owner.pop_ended()
    assert (again.outcome, again.attempt) == (Outcome.RETURNED, 1)


def test_a_new_try_at_the_same_owner_is_started():
    owner = Owner()
    owner.contact()
    owner.core.election.term, term = 0, owner.core.election.term
    owner.receive(make_submission(attempt=1))
    owner.core.election.term = term
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
