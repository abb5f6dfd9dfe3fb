"""Late service, under loads with more work than room.

A burst of all queues, twice the room for 8 s, a third of the servers lost. Guards
against callers that are refused though an answer a little later would have helped
them, and against late jobs that take the room of those in time.
"""

import pytest
from owner_harness import OwnerHarness

from buckthornshift.dispatch import (
    AnswerCaller,
    DispatchSettings,
    EndReason,
    JobArrived,
    JobSpec,
    Outcome,
    Queue,
    RenewLease,
    Resources,
    ServerRecord,
    StartAnswered,
    StartRun,
    StepSpec,
)
from buckthornshift.dispatch._overload_cost import make_objective_sort_key
from buckthornshift.load.fleet import (
    SITES_BY_NAME,
    FleetLoadPlan,
    FleetLoadSimulation,
    RequestOutcome,
)
from buckthornshift.load.fleet._traffic import QueueBurst
from buckthornshift.proving.fleet import FleetFault, PlannedFault

SITE = SITES_BY_NAME["treasury"]
MAX_LATENESS = 3.0
# What a late answer is worth to a caller, relative to one in time.
LATE_CREDIT = 0.2
BURST = tuple(
    QueueBurst(queue=kind.name, factor=1.8, at_s=2, for_s=4) for kind in SITE.kinds
)
THIRD_OF_THE_SERVERS = tuple(
    PlannedFault(
        kind=FleetFault.SERVER_CRASH, start_ms=2_000.0, length_ms=2_000.0, target=index
    )
    for index in range(8)
)
LOADS = {
    "burst_for_4_s": {"load": 0.75, "bursts": BURST},
    "twice_the_room": {"load": 2.0},
    "third_of_the_servers_lost": {"load": 0.85, "faults": THIRD_OF_THE_SERVERS},
}


def count_fates(name, max_lateness):
    plan = FleetLoadPlan(
        site=SITE,
        length_ms=8_000.0,
        settings=DispatchSettings(max_lateness=max_lateness),
        **LOADS[name],
    )
    result = FleetLoadSimulation(plan=plan).run()
    assert result.violation == ""
    fates = [record.fate for record in result.records]
    return {fate: fates.count(fate) for fate in RequestOutcome}


@pytest.mark.parametrize("name", LOADS)
def test_callers_gain_and_no_job_begins_and_fails(name):
    without, with_late = count_fates(name, 1.0), count_fates(name, MAX_LATENESS)
    assert with_late[RequestOutcome.FAILED] == 0
    credit, former_credit = (
        n[RequestOutcome.IN_TIME] + LATE_CREDIT * n[RequestOutcome.LATE]
        for n in (with_late, without)
    )
    assert credit >= former_credit
    assert with_late[RequestOutcome.IN_TIME] >= without[RequestOutcome.IN_TIME]


NEED = Resources(cpu=1_000, memory_mb=64)
QUEUE = Queue(name="q", service="s", max_attempts=3, stretch=1.6, target_ms=60.0)
RUN_MS = 200.0


class SmallOwner(OwnerHarness):
    """An owner of some servers with room for one task each.

    :param n_servers: number of servers.
    """

    def __init__(self, n_servers=2, max_lateness=MAX_LATENESS):
        self.silent_ids = set()
        super().__init__(
            queues=(QUEUE,),
            servers=[
                ServerRecord(server_id=f"s{i}", service="s", capacity=NEED)
                for i in range(n_servers)
            ],
            settings=DispatchSettings(max_lateness=max_lateness),
        )

    def collect_actions(self, actions):
        answered = [
            action
            for action in actions
            if not isinstance(action, RenewLease)
            or action.server.server_id not in self.silent_ids
        ]
        super().collect_actions(answered)
        for action in answered:
            if isinstance(action, StartRun):
                self.feed(
                    StartAnswered(
                        server_id=action.server.server_id,
                        task=action.task,
                        run=action.run,
                        clock_ms=int(self.now_ms),
                    )
                )

    def submit(self, number, timeout_ms=1_500.0, n_tasks=1):
        step = StepSpec(n_tasks=n_tasks, need=NEED, estimate_ms=RUN_MS)
        job = JobSpec(job_id=f"{number:016x}", payload="p", steps=(step,))
        self.feed(
            JobArrived(caller_ref=number, job=job, queue=QUEUE, timeout_ms=timeout_ms)
        )

    def count_refused(self):
        answers = self.pop(AnswerCaller)
        assert all(a.outcome is Outcome.NOT_RUN for a in answers)
        assert all(a.reason is EndReason.OVERLOADED for a in answers)
        return len(answers)


# Two servers start a job each 100 ms; the objective of 700 ms allows a wait of 500 ms,
# three times the objective one of 1,900 ms, and the caller's deadline one of 1,270 ms.
@pytest.mark.parametrize(
    ("max_lateness", "timeout_ms", "n_refused"),
    [(1.0, 1_500.0, 11), (3.0, 1_500.0, 4), (3.0, 500.0, 11)],
)
def test_jobs_are_accepted_up_to_the_time_of_use(max_lateness, timeout_ms, n_refused):
    owner = SmallOwner(max_lateness=max_lateness)
    for number in range(1, 19):
        owner.submit(number, timeout_ms)
    assert owner.count_refused() == n_refused


def test_waiting_jobs_without_hope_are_refused_when_servers_are_lost():
    """They waited for most of their time, and were refused then."""
    owner = SmallOwner(n_servers=8)
    for number in range(1, 25):
        owner.submit(number)
    assert owner.count_refused() == 0
    owner.silent_ids = {f"s{i}" for i in range(1, 8)}
    settings = owner.core.context.settings
    owner.advance_time(settings.silent_after_ms + settings.call_timeout_ms)
    assert owner.count_refused() >= 8


def test_job_that_has_begun_is_not_overtaken():
    """Its last task waited behind new jobs until its deadline."""
    owner = SmallOwner(n_servers=1)
    owner.submit(1, timeout_ms=9_000.0, n_tasks=2)
    (begun,) = owner.core.jobs.list_open()
    owner.advance_time(begun.latest_start_ms - owner.now_ms + 100.0)
    owner.submit(2)
    new = owner.core.jobs.by_id[f"{2:016x}"]
    order = owner.core.job_order
    assert order.make_sort_key(begun) < order.make_sort_key(new)
    assert make_objective_sort_key(begun, owner.now_ms) > order.make_sort_key(new)
