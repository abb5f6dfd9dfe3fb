"""Shares of limits, fair queue, retries, ejection."""

import random

import attrs
import pytest

from buckthornshift.contracts import (
    AttemptState,
    EntrySpec,
    InstanceRecord,
    OwnerDemand,
    Reason,
    ServerReport,
)
from buckthornshift.core import CoreSettings, EntryIdentity
from buckthornshift.core._queue import FairQueue
from buckthornshift.core._quotas import QuotaAllocator, split_limit
from buckthornshift.core._retry import (
    CompleteTask,
    FailJob,
    RequeueTask,
    RetryBudget,
    RetryPolicy,
)
from buckthornshift.core._run_times import RunTimeEstimator
from buckthornshift.core._servers import ServerTable

SETTINGS = CoreSettings()
KEY = "owner/o"


def make_books(n_members):
    names = [f"e{index}" for index in range(n_members)]
    books = []
    for name in names:
        book = QuotaAllocator(
            settings=SETTINGS, identity=EntryIdentity(instance_id=name)
        )
        book.set_members([other for other in names if other != name])
        books.append(book)
    return books


def tell(books, senders):
    for book in senders:
        demand = book.make_demand_update()
        if demand is None:
            continue
        message = OwnerDemand(sequence=book.sequence, n_tasks_by_key=demand)
        for other in books:
            if other is not book:
                other.apply_demand(book.identity.instance_id, message)


@pytest.mark.parametrize("limit", [0, 1, 5, 17])
@pytest.mark.parametrize("demands", [(0, 0, 0), (1, 0, 9), (3, 3, 3)])
def test_split_adds_up_to_the_limit(limit, demands):
    units = split_limit(KEY, limit, dict(zip("abc", demands, strict=True)))
    assert sum(units.values()) == limit


def test_an_idle_instance_can_start_while_there_is_room():
    """Jobs were refused as over the limit at 9 of 40 units in use."""
    assert split_limit(KEY, 40, {"a": 9, "b": 0, "c": 0})["b"] >= 10


def test_scarce_units_are_shared_fairly():
    assert split_limit(KEY, 10, {"a": 2, "b": 50, "c": 9}) == {"a": 2, "b": 4, "c": 4}


def test_shares_never_exceed_the_limit_while_demand_moves():
    books = make_books(3)
    random_state = random.Random(2)
    for step in range(60):
        now_ms = 200.0 * step
        book = random_state.choice(books)
        book.queued_by_key = {KEY: random_state.randint(0, 20)}
        tell(books, [book])
        shares = [b.compute_share(KEY, 10, now_ms) for b in books]
        assert sum(shares) <= 10


def test_a_lone_busy_instance_gets_the_whole_limit():
    books = make_books(3)
    books[0].change_queued([KEY], 10)
    for book in books:
        book.compute_share(KEY, 6, 0.0)
    tell(books, books)
    for now_ms in (10.0, 200.0):
        shares = [book.compute_share(KEY, 6, now_ms) for book in books]
    assert shares == [6, 0, 0]


def test_cut_off_instances_keep_the_sum_of_shares():
    books = make_books(2)
    for book in books:
        book.change_queued([KEY], 5)
    tell(books, books)
    for now_ms in (0.0, 500.0):
        [book.compute_share(KEY, 8, now_ms) for book in books]
    # Cut off: no demand is exchanged, one side becomes idle, the other hungry.
    books[0].change_queued([KEY], 50)
    books[1].change_queued([KEY], -5)
    books[0].make_demand_update()
    shares = [book.compute_share(KEY, 8, 900.0) for book in books]
    shares = [book.compute_share(KEY, 8, 1_500.0) for book in books]
    assert sum(shares) <= 8 + 4
    assert shares[1] == 4


def test_a_restarted_peer_is_heard():
    """Its messages were ignored until they outnumbered those of its former life."""
    book = make_books(2)[0]
    for sequence in (1, 2, 3):
        message = OwnerDemand(
            incarnation="1", sequence=sequence, n_tasks_by_key={KEY: 9}
        )
        book.apply_demand("e1", message)
    fresh = OwnerDemand(incarnation="2", sequence=1, n_tasks_by_key={KEY: 1})
    book.apply_demand("e1", fresh)
    assert book.compute_share(KEY, 10, 0.0) >= 4


def test_rate_limit_is_shared():
    book = make_books(1)[0]
    taken = sum(book.take_token(KEY, 10.0, now_ms) for now_ms in range(0, 2_000, 5))
    assert 25 <= taken <= 30


@attrs.define(eq=False)
class WaitingTask:
    virtual_deadline_ms: float = 0.0
    expected_ms: float = 100.0
    is_waiting: bool = True
    is_large: bool = False
    job: object = None


def drain_queue(queue, n_tasks, weights):
    served = []
    for _ in range(n_tasks):
        subqueue = next(
            subqueue for subqueue in queue.list_subqueues() if queue.peek(subqueue)
        )
        served.append(subqueue.owner)
        queue.pop(subqueue, weights.get(subqueue.owner, 1))
    return served


def test_owners_are_served_by_weight():
    queue = FairQueue()
    for _ in range(40):
        queue.push("big", "x", WaitingTask())
        queue.push("small", "y", WaitingTask())
    served = drain_queue(queue, 40, {"big": 3})
    assert served.count("big") == 30


def test_an_idle_owner_saves_up_no_service():
    queue = FairQueue()
    for _ in range(30):
        queue.push("busy", "x", WaitingTask())
    drain_queue(queue, 20, {})
    for _ in range(10):
        queue.push("late", "y", WaitingTask())
    assert drain_queue(queue, 10, {}).count("late") <= 6


def test_urgent_tasks_pass_and_dropped_ones_are_not_counted():
    queue = FairQueue()
    slow, fast = (
        WaitingTask(virtual_deadline_ms=9.0),
        WaitingTask(virtual_deadline_ms=1.0),
    )
    queue.push("o", "x", slow)
    queue.push("o", "x", fast)
    subqueue = queue.list_subqueues()[0]
    assert queue.peek(subqueue) is fast
    fast.is_waiting = False
    queue.drop("o", fast)
    assert queue.peek(subqueue) is slow
    assert queue.n_tasks == 1


def make_rule(ratio=1.0, max_tokens=5.0):
    budget = RetryBudget(ratio=ratio, max_tokens=max_tokens)
    return RetryPolicy(settings=SETTINGS, budget=budget, random_state=random.Random(1))


@attrs.frozen
class RunTask:
    n_possible_runs: int = 1


@pytest.mark.parametrize(
    ("state", "is_repeatable", "expected"),
    [
        (AttemptState.OK, False, CompleteTask()),
        (AttemptState.BUSY, False, RequeueTask()),
        (AttemptState.NEVER_STARTED, False, RequeueTask()),
        (AttemptState.WRONG_INCARNATION, False, RequeueTask()),
        (AttemptState.FENCED, True, FailJob(reason=Reason.OUTCOME_UNKNOWN)),
        (AttemptState.FAILED, False, FailJob(reason=Reason.TASK_FAILED)),
        (AttemptState.UNKNOWN, False, FailJob(reason=Reason.OUTCOME_UNKNOWN)),
        (AttemptState.STOPPED, False, FailJob(reason=Reason.OUTCOME_UNKNOWN)),
    ],
)
def test_outcome_and_class_of_work_decide(state, is_repeatable, expected):
    entry = EntrySpec(is_repeatable=is_repeatable)
    assert make_rule().decide(state, entry, RunTask()) == expected


def test_retries_end_with_attempts_or_budget():
    entry = EntrySpec(is_repeatable=True, max_attempts=3)
    rule = make_rule(max_tokens=2.0)
    assert rule.decide(AttemptState.FAILED, entry, RunTask(1)).is_retry
    assert isinstance(rule.decide(AttemptState.FAILED, entry, RunTask(3)), FailJob)
    assert rule.decide(AttemptState.FAILED, entry, RunTask(2)).is_retry
    assert isinstance(rule.decide(AttemptState.FAILED, entry, RunTask(2)), FailJob)


def make_servers(n_servers):
    table = ServerTable(settings=SETTINGS, identity=EntryIdentity(zone="z"))
    records = [
        InstanceRecord(instance_id=f"s{i}", incarnation="1", zone="z")
        for i in range(n_servers)
    ]
    table.apply_list(records, {"z": [""]})
    return table, records


def test_never_all_servers_are_ejected():
    table, _ = make_servers(4)
    for server in table.by_id.values():
        for _ in range(20):
            table.note_failure(server, 0.0)
    assert sum(s.health == "ejected" for s in table.by_id.values()) == 2


def test_an_ejected_server_gets_one_trial_and_comes_back():
    table, _ = make_servers(4)
    server = table.by_id["s0"]
    for _ in range(5):
        table.note_failure(server, 0.0)
    assert server not in list(table.iter_available(table.same_zone, 1_000.0))
    assert server in list(table.iter_available(table.same_zone, 5_001.0))
    server.has_trial_task = True
    assert server not in list(table.iter_available(table.same_zone, 5_001.0))
    table.note_success(server)
    assert server in list(table.iter_available(table.same_zone, 5_001.0))


def test_own_word_of_leaving_outlives_a_lagging_list():
    table, records = make_servers(2)
    report = ServerReport(incarnation="1", is_leaving=True)
    assert table.note_report(table.by_id["s0"], report, 0.0)
    table.apply_list(records, {})
    assert [s.id for s in table.iter_usable()] == ["s1"]
    fresh = [attrs.evolve(records[0], incarnation="2"), records[1]]
    table.apply_list(fresh, {})
    assert len(list(table.iter_usable())) == 2


def test_declared_run_times_are_corrected():
    times = RunTimeEstimator(default_ms=300.0)
    assert times.predict_ms("x", 0) == 300.0
    for _ in range(50):
        times.note("x", 100, 300.0)
        times.note("x", 0, 80.0)
    assert times.predict_ms("x", 200) == pytest.approx(600.0, rel=0.05)
    assert times.predict_ms("x", 0) == pytest.approx(80.0, rel=0.05)
