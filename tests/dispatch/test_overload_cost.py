"""Order of jobs by cost to callers, under loads that the tests are named after."""

import hashlib

import attrs
import pytest

from buckthornshift.dispatch import (
    DispatchCore,
    DispatchSettings,
    JobSpec,
    Queue,
    Resources,
    StartRun,
    StepSpec,
)
from buckthornshift.dispatch._actions import AnswerCaller
from buckthornshift.dispatch._context import DispatchContext
from buckthornshift.dispatch._jobs import build_job
from buckthornshift.dispatch._overload_cost import (
    LATE_LOSS,
    CostOrder,
    compute_loss_cost,
    compute_urgency,
)
from buckthornshift.dispatch._peer_messages import SubmitJob
from buckthornshift.load.fleet import (
    SITES_BY_NAME,
    FleetLoadPlan,
    FleetLoadSimulation,
    RequestOutcome,
    summarize,
)
from buckthornshift.load.fleet._records import group_records, make_size_classifier
from buckthornshift.load.fleet._traffic import QueueBurst
from buckthornshift.proving.fleet import FleetFault, PlannedFault, ServerKind

# SHA-256 of the decisions on EQUAL_SERVERS before there was another order.
OBJECTIVE_DECISIONS = "32c65cc08f28ab6d1eb329e31ac24121c91152144b7aef9efc8afd3e9e10be22"
EQUAL_SERVERS = attrs.evolve(
    SITES_BY_NAME["treasury"], n_instances=3, server_kinds=(ServerKind(cpu=24_000),)
)
SKIPS = SITES_BY_NAME["skips-4th"]
MIN_GROUP_SIZE = 8
HALF_OF_THE_SERVERS = tuple(
    PlannedFault(
        kind=FleetFault.SERVER_CRASH, start_ms=2_000.0, length_ms=2_000.0, target=index
    )
    for index in range(22)
)


def run_traced(monkeypatch, plan):
    """Run a plan; return its result, and the answers and starts that were decided."""
    decisions = []
    original_handle = DispatchCore.handle

    def handle(core, event, now_ms, wall_ms):
        actions = original_handle(core, event, now_ms, wall_ms)
        for action in actions:
            match action:
                case AnswerCaller():
                    decisions.append((round(now_ms, 3), action))
                case StartRun():
                    decisions.append((round(now_ms, 3), action.task, action.run))
        return actions

    with monkeypatch.context() as patch:
        patch.setattr(DispatchCore, "handle", handle)
        result = FleetLoadSimulation(plan=plan).run()
    return result, decisions


@pytest.mark.parametrize("settings", [{}, {"overload_order": "objective"}])
def test_objective_order_decides_as_before(monkeypatch, settings):
    """Guards against a change of decisions where the order by cost is not enabled."""
    plan = FleetLoadPlan(
        site=EQUAL_SERVERS,
        load=2.0,
        length_ms=2_500.0,
        faults=HALF_OF_THE_SERVERS[:6],
        settings=DispatchSettings(**settings),
    )
    _, decisions = run_traced(monkeypatch, plan)
    digest = hashlib.sha256(repr(decisions).encode()).hexdigest()
    assert digest == OBJECTIVE_DECISIONS


@attrs.frozen(kw_only=True)
class MisstatedPlan(FleetLoadPlan):
    """A load in which the callers of one queue misstate the duration of every task.

    :param queue: name of the queue.
    :param factor: the declared duration relative to the one that they expect.
    """

    queue: str = ""
    factor: float = 1.0

    def draw_arrivals(self):
        return [
            self._misstate(arrival) if arrival.kind.name == self.queue else arrival
            for arrival in super().draw_arrivals()
        ]

    def _misstate(self, arrival):
        (step,) = arrival.job.steps
        step = attrs.evolve(step, estimate_ms=self.factor * step.estimate_ms)
        return attrs.evolve(arrival, job=attrs.evolve(arrival.job, steps=(step,)))


def make_plan(load=1.0, bursts=(), faults=(), kinds=SKIPS.kinds, **fields):
    site = attrs.evolve(
        SKIPS, kinds=kinds, rate_per_s=SKIPS.rate_per_s / 2, n_instances=3, n_servers=22
    )
    plan_class = MisstatedPlan if "queue" in fields else FleetLoadPlan
    return plan_class(
        site=site, load=load, length_ms=6_000.0, bursts=bursts, faults=faults, **fields
    )


def compute_lost_share(result):
    """Return the share of the documented cost that the callers of a run lost."""
    priority_by_queue = {kind.name: kind.priority for kind in SKIPS.kinds}
    lost = total = 0.0
    for record in result.records:
        cost = compute_loss_cost(priority_by_queue[record.kind], record.size)
        total += cost
        if record.fate is RequestOutcome.LATE:
            lost += LATE_LOSS * cost
        elif record.fate is not RequestOutcome.IN_TIME:
            lost += cost
    return lost / total


def find_worst_group(result):
    """Return the smallest service of a size class relative to that of its queue.

    Groups of a few jobs are left out.
    """
    ratios = []
    classify = make_size_classifier(result.records)
    for _, queue_records in group_records(result.records, lambda r: r.kind).items():
        queue_share = summarize(queue_records).by_fate["in_time"]
        for _, group in group_records(queue_records, classify).items():
            if len(group) >= MIN_GROUP_SIZE:
                ratios.append(summarize(group).by_fate["in_time"] / queue_share)
    return min(ratios)


LOADS = {
    "burst_of_long_jobs_of_low_priority": make_plan(
        load=1.3, bursts=(QueueBurst(queue="long", factor=2.5, at_s=1, for_s=4),)
    ),
    "burst_of_urgent_jobs": make_plan(
        load=1.4, bursts=(QueueBurst(queue="urgent", factor=2.5, at_s=1, for_s=4),)
    ),
    "burst_of_standard_jobs": make_plan(
        load=1.15, bursts=(QueueBurst(queue="standard", factor=2.5, at_s=1, for_s=4),)
    ),
    "all_of_one_queue": make_plan(load=2.4, kinds=SKIPS.kinds[1:2]),
    "urgent_queue_overstates_its_work": make_plan(load=1.6, queue="urgent", factor=4.0),
    "long_queue_understates_its_work": make_plan(load=1.6, queue="long", factor=0.25),
    "half_of_the_servers_lost": make_plan(faults=HALF_OF_THE_SERVERS[:11]),
    "backlog": make_plan(
        bursts=(QueueBurst(queue="standard", factor=12.0, at_s=1, for_s=1),)
    ),
}


@pytest.mark.parametrize(
    ("name", "max_lost_share"),
    [
        ("burst_of_long_jobs_of_low_priority", 0.10),
        ("burst_of_urgent_jobs", 0.09),
        ("burst_of_standard_jobs", 0.10),
        ("all_of_one_queue", 0.06),
        ("urgent_queue_overstates_its_work", 0.06),
        ("long_queue_understates_its_work", 0.08),
        ("half_of_the_servers_lost", 0.07),
        ("backlog", 0.27),
    ],
)
def test_callers_lose_little_and_no_group_starves(name, max_lost_share):
    """Guards against starved groups, and jobs that begin and are then abandoned."""
    settings = DispatchSettings(overload_order="cost")
    plan = attrs.evolve(LOADS[name], settings=settings)
    result = FleetLoadSimulation(plan=plan).run()
    fates = [record.fate for record in result.records]
    assert result.violation == ""
    assert RequestOutcome.FAILED not in fates
    assert compute_lost_share(result) <= max_lost_share
    assert find_worst_group(result) >= 0.5


def make_job(number, priority=0, arrived_ms=0.0, is_late=False, n_tasks=2):
    """Return a job that waits, and of which the cost is known."""
    step = StepSpec(n_tasks=n_tasks, need=Resources(cpu=1_000), estimate_ms=100.0)
    message = SubmitJob(
        job=JobSpec(job_id=f"{number:016x}", steps=(step,)),
        queue=Queue(name=f"q{priority}", priority=priority, stretch=1.6),
        left_ms=2_000.0,
        waited_ms=500.0 if is_late else 0.0,
    )
    job = build_job(message, arrived_ms)
    job.work = job.spec.compute_total_work_ms() * step.need.cpu
    job.loss_cost = compute_loss_cost(priority, 1.0)
    return job


def test_priority_deadline_and_work_decide():
    usual = compute_urgency(make_job(1), 0.0)
    assert compute_urgency(make_job(2, priority=1), 0.0) < usual
    assert compute_urgency(make_job(3, n_tasks=8), 0.0) < usual
    assert compute_urgency(make_job(4, is_late=True), 0.0) < usual


def test_refused_callers_return_spread_over_the_time_that_the_cause_lasts():
    """Guards against refused callers that all return at once."""
    context = DispatchContext(settings=DispatchSettings())
    order = CostOrder(context=context)
    retry_ms = [order.spread_retry_ms(make_job(i), 800.0) for i in range(200)]
    assert min(retry_ms) >= context.settings.min_retry_after_ms
    assert max(retry_ms) <= 1_000.0
    assert sum(ms < 600.0 for ms in retry_ms) == pytest.approx(100, abs=25)
