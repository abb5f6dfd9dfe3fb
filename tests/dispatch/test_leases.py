"""Tests of claims and leases: complete claims, lapsed entries, stops without answer."""

import pytest
from owner_harness import OwnerHarness

from buckthornshift.dispatch import (
    DispatchSettings,
    Heartbeat,
    JobSpec,
    PeerMessageReceived,
    Queue,
    RenewalAnswered,
    RenewLease,
    Resources,
    RunningTask,
    ServerRecord,
    ServersRead,
    StartAnswered,
    StartRun,
    StepSpec,
    StopAnswered,
    StopRun,
    SubmitJob,
    Verdict,
)
from buckthornshift.dispatch._list_follower import ListFollower

QUEUE = Queue(name="q", service="s", stretch=2.0, target_ms=60.0, max_attempts=3)
RECEIVER = "h:1"


def make_server(name):
    return ServerRecord(
        server_id=name, service="s", capacity=Resources(cpu=2_000, memory_mb=64)
    )


class Owner(OwnerHarness):
    """An owner of some servers, in contact with an instance that submits jobs.

    :param n_servers: number of listed servers.
    :param settings: the :class:`~buckthornshift.dispatch.DispatchSettings`.
    """

    def __init__(self, n_servers=2, settings=None):
        self.unreachable_ids = set()
        self.refused_ids = set()
        self.records = [make_server(f"s{i}") for i in range(n_servers)]
        super().__init__(queues=(QUEUE,), servers=self.records, settings=settings)
        self.advance_time(200.0)

    def respond_to_renewal(self, action, running=(), ended=()):
        server_id = action.server.server_id
        if server_id not in self.unreachable_ids | self.refused_ids:
            super().respond_to_renewal(action, running, ended)
            return
        is_refused = server_id in self.refused_ids
        self.feed(
            RenewalAnswered(
                server_id=action.server.server_id,
                token=action.token,
                sent_ms=action.sent_ms,
                verdict=Verdict.FENCED if is_refused else Verdict.NOT_SENT,
            )
        )

    def advance_time(self, ms):
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            super().advance_time(min(50.0, end_ms - self.now_ms))
            self.receive(Heartbeat(sent_ms=self.now_ms, echo_ms=self.now_ms))

    def receive(self, message):
        self.feed(PeerMessageReceived(address=RECEIVER, incarnation=2, message=message))

    def submit(self, key=1):
        step = StepSpec(n_tasks=1, need=Resources(cpu=1_000), estimate_ms=300.0)
        job = JobSpec(job_id=f"{key:016x}", payload="p", steps=(step,))
        self.receive(SubmitJob(key=key, job=job, queue=QUEUE, left_ms=5_000.0))
        (start,) = self.pop(StartRun)
        return start

    def answer_start(self, start, verdict=Verdict.DONE):
        self.feed(
            StartAnswered(
                server_id=start.server.server_id,
                task=start.task,
                run=start.run,
                verdict=verdict,
                clock_ms=int(self.now_ms),
            )
        )

    @property
    def complete_term(self):
        return self.core.cells.get(0).complete_term

    @property
    def term(self):
        return self.core.cells.get(0).term


def test_claim_is_complete_when_every_server_has_accepted_it():
    owner = Owner()
    assert owner.complete_term == owner.term > 0


def test_claim_is_incomplete_while_a_new_server_is_not_claimed():
    """A rival may have claimed the new server first, and run tasks on it."""
    owner = Owner()
    owner.unreachable_ids.add("s9")
    owner.feed(ServersRead(servers=(*owner.records, make_server("s9"))))
    assert owner.complete_term == 0
    owner.unreachable_ids.clear()
    owner.advance_time(500.0)
    assert owner.complete_term == owner.term


def test_second_claim_has_the_terms_of_the_tokens_in_force():
    """A server that keeps the token of the first claim may have been lost unnoticed."""
    owner = Owner()
    first_term = owner.term
    owner.core.cells.get(0).raise_term()
    owner.advance_time(500.0)
    assert owner.term > first_term
    assert owner.complete_term == first_term


def make_owner_outside_of_hubs():
    """Return an owner that claimed again after it had been sent no server list."""
    settings = DispatchSettings(few_instances=1, n_hubs=0)
    owner = Owner(settings=settings)
    owner.core.cells.get(0).release_claim()
    owner.advance_time(500.0)
    return owner


def test_claim_without_the_server_list_is_incomplete_until_leases_expire():
    """Tasks may run on servers whose entries are missing in the store as well."""
    owner = make_owner_outside_of_hubs()
    assert owner.term > 0
    assert owner.complete_term == 0
    owner.advance_time(DispatchSettings().resubmit_after_ms + 100.0)
    assert owner.complete_term == owner.term


def test_ignoring_a_missing_server_list_completes_the_claim_at_once(monkeypatch):
    never_set = property(lambda self: False, lambda self, value: None)
    monkeypatch.setattr(ListFollower, "may_be_stale", never_set, raising=False)
    owner = make_owner_outside_of_hubs()
    assert owner.complete_term == owner.term > 0


def test_server_with_lapsed_entry_counts_while_only_this_owner_cannot_reach_it():
    """Its entry may return, and others may reach it, so tasks may run on it."""
    owner = Owner()
    owner.unreachable_ids.add("s1")
    owner.core.cells.get(0).release_claim()
    owner.feed(ServersRead(servers=(make_server("s0"),)))
    owner.advance_time(1_500.0)
    assert owner.term > 0
    assert owner.complete_term == 0
    owner.advance_time(2_500.0)
    assert owner.complete_term == owner.term


def test_lease_is_not_renewed_while_a_stop_is_not_acknowledged():
    """A full link delays the stop, and not the renewals on other connections.

    The receiving instance of the stopped job submits it to another owner once all
    leases of this one must have expired.
    """
    owner = Owner(n_servers=1)
    first = owner.submit(key=1)
    owner.answer_start(first)
    second = owner.submit(key=2)
    owner.pop(RenewLease)
    owner.advance_time(250.0)
    owner.answer_start(second, Verdict.NO_ANSWER)
    (stop,) = owner.pop(StopRun)
    server = owner.core.fleet.by_id["s0"]
    expiry_ms = server.lease_expiry_ms
    for _ in range(4):
        owner.advance_time(100.0)
        for renewal in owner.pop(RenewLease):
            assert renewal.lease_end_ms is None
            if renewal.wait_ms:
                running = (RunningTask(task=first.task, run=1, percent=1.0),)
                owner.respond_to_renewal(renewal, running)
    assert server.lease_expiry_ms == expiry_ms
    assert not owner.core.fleet.is_schedulable(server)
    owner.feed(
        StopAnswered(server_id="s0", task=stop.task, run=stop.run, verdict=Verdict.DONE)
    )
    assert owner.core.fleet.is_schedulable(server)


def test_claim_below_the_term_of_a_former_owner_is_raised_soon():
    """The former owner's term was above the time of day; all instances were lost."""
    owner = Owner()
    owner.core.cells.get(0).release_claim()
    owner.refused_ids.add("s1")
    while not owner.term:
        owner.advance_time(50.0)
    first_term = owner.term
    owner.refused_ids.clear()
    owner.advance_time(200.0)
    assert owner.term > first_term
    owner.advance_time(50.0)
    assert owner.complete_term >= first_term


def test_second_refusal_waits_until_a_rival_must_have_been_heard():
    owner = Owner()
    owner.core.cells.get(0).release_claim()
    owner.refused_ids.add("s1")
    owner.advance_time(400.0)
    owner.pop(RenewLease)
    owner.advance_time(300.0)
    claims = [a for a in owner.pop(RenewLease) if a.server.server_id == "s1"]
    assert len(claims) <= 1


# Guards against a second run while a rival owner keeps the first one alive.
@pytest.mark.parametrize("verdict", [Verdict.NO_ANSWER, Verdict.NOT_SENT])
def test_task_of_a_silent_server_waits_until_a_rival_owner_would_have_stopped_it(
    verdict,
):
    owner = Owner()
    start = owner.submit()
    owner.answer_start(start)
    server = owner.core.fleet.by_id[start.server.server_id]
    owner.advance_time(200.0)
    owner.unreachable_ids.add(server.id)
    # Renewals fail only after they have waited, so that none is sent meanwhile.
    owner.advance_time(520.0)
    while not owner.pop(StartRun):
        if server.renewal_sent_ms is not None:
            owner.feed(
                RenewalAnswered(
                    server_id=server.id,
                    token=server.token,
                    sent_ms=server.renewal_sent_ms,
                    verdict=verdict,
                )
            )
        owner.advance_time(10.0)
    silent_ms = owner.now_ms - server.last_response_ms
    settings = owner.core.context.settings
    assert settings.rival_takeover_ms <= silent_ms
    assert silent_ms <= settings.rival_takeover_ms + 2 * settings.retry_ms


def test_replaced_server_is_not_claimed_again_while_its_old_entry_is_listed():
    """The entry of a crashed server stays in the store until it expires."""
    owner = Owner()
    gone = owner.core.fleet.by_id["s0"]
    owner.core.lease_manager.poll_now(gone)
    owner.feed(
        RenewalAnswered(
            server_id=gone.id,
            token=gone.token,
            sent_ms=gone.renewal_sent_ms or owner.now_ms,
            verdict=Verdict.OTHER_INCARNATION,
        )
    )
    owner.pop(RenewLease)
    owner.feed(ServersRead(servers=(*owner.records, make_server("s9"))))
    owner.advance_time(1_000.0)
    assert gone.id not in {action.server.server_id for action in owner.pop(RenewLease)}
    assert owner.complete_term == owner.term
    owner.feed(ServersRead(servers=(owner.records[1], make_server("s9"))))
    owner.advance_time(200.0)
    assert set(owner.core.fleet.by_id) == {"s1", "s9"}
