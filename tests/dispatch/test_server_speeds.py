"""Placement on servers of different speed, and what is learnt about their speed."""

import random

import attrs
import pytest
from owner_harness import OwnerHarness

from buckthornshift.dispatch import (
    DispatchSettings,
    EndKind,
    JobArrived,
    Resources,
    ServerRecord,
    StartRun,
)
from buckthornshift.dispatch._context import DispatchContext
from buckthornshift.dispatch._declarations import JobSpec, Queue, StepSpec
from buckthornshift.dispatch._duration_estimator import DurationEstimator
from buckthornshift.dispatch._fleet import Fleet
from buckthornshift.dispatch._jobs import Job, Run, Task
from buckthornshift.dispatch._server import Ownership
from buckthornshift.dispatch._server_speeds import ServerSpeeds, compute_path_from_ms
from buckthornshift.load.fleet import FleetLoadPlan, FleetLoadSimulation, summarize
from buckthornshift.load.fleet._sites import SITES_BY_NAME

# Share of the cores that the site's tasks need at load 1, on servers of speed 1.
SPLITS_CPU_SHARE = 0.431
QUEUE = Queue(name="q", service="s", max_attempts=3)
NEED = Resources(cpu=16_000)


class SpeedsHarness:
    """Servers of the kinds a and b whose runs end with given speeds."""

    def __init__(self, speeds=(0.7, 0.7, 1.7), n_servers=30):
        self.context = DispatchContext(settings=DispatchSettings())
        self.fleet = Fleet(context=self.context)
        self.fleet.update_list(
            [
                ServerRecord(
                    server_id=f"s{i}",
                    service="s",
                    zone=f"z{i // 10}",
                    capacity=Resources(cpu=32_000),
                    labels=("aab"[i % 3], f"r-{i // 8}"),
                )
                for i in range(n_servers)
            ]
        )
        self.servers = list(self.fleet.by_id.values())
        for server in self.servers:
            server.ownership = Ownership.OWNED
        self.speed_by_id = {s.id: speeds[i % 3] for i, s in enumerate(self.servers)}
        self.random_state = random.Random(1)
        self.speeds = ServerSpeeds(
            context=self.context,
            fleet=self.fleet,
            duration_estimator=DurationEstimator(),
        )
        self.n_jobs = 0

    def end_runs(self, n_runs, servers=None, outlier_share=0.0):
        """End runs whose estimates are off by 40 %."""
        for _ in range(n_runs):
            self.context.now_ms += 1.0
            server = self.random_state.choice(servers or self.servers)
            factor = self.random_state.lognormvariate(0.0, 0.4)
            if self.random_state.random() < outlier_share:
                factor *= 7.0
            self.n_jobs += 1
            job = Job(spec=JobSpec(job_id=f"{self.n_jobs:016x}"), queue=QUEUE)
            task = Task(name="t", spec=StepSpec(estimate_ms=100.0), job=job)
            actual_ms = 100.0 * factor / self.speed_by_id[server.id]
            self.speeds.record_run(server, Run(task=task, name="t"), actual_ms)
            self.speeds.refresh_if_due()

    def measure_ratio(self):
        """Return the learnt ratio of the run times of kind a to those of kind b."""
        return self.servers[0].relative_slowness / self.servers[2].relative_slowness


def run_load(cpu_share):
    """Run a load that needs a share of the cores on a third of the site's servers.

    :returns: the records of the requests after the speeds were learnt.
    """
    site = SITES_BY_NAME["splits"]
    rate_per_s = site.rate_per_s * 60 / site.n_servers
    site = attrs.evolve(site, n_instances=3, n_servers=60, rate_per_s=rate_per_s)
    load = cpu_share / SPLITS_CPU_SHARE
    plan = FleetLoadPlan(site=site, load=load, length_ms=8_000.0)
    result = FleetLoadSimulation(plan=plan).run()
    assert result.violation == ""
    return [record for record in result.records if record.at_ms > 1_500.0]


def test_kinds_of_0_7_and_1_7_at_a_load_of_0_4():
    """Long tasks went to servers 2.4 times slower while fast ones were idle."""
    records = run_load(cpu_share=0.4)
    assert summarize(records).by_fate["late"] < 0.02
    long_jobs = [r for r in records if r.kind == "priority-2"]
    assert summarize(long_jobs).by_fate["late"] < 0.05


def test_kinds_of_0_7_and_1_7_at_a_load_of_0_9():
    """Preferring fast servers must not leave slow ones idle under high load."""
    summary = summarize(run_load(cpu_share=0.9))
    assert summary.by_fate["in_time"] > 0.80
    assert summary.by_fate["no_answer"] == 0.0


def test_servers_of_equal_speed_keep_a_relative_slowness_of_one():
    """Noise in run times would change the order of equal servers."""
    harness = SpeedsHarness(speeds=(1.0, 1.0, 1.0))
    for _ in range(50):
        harness.end_runs(100)
        assert {s.relative_slowness for s in harness.servers} == {1.0}
    ratio = harness.speeds.duration_estimator.get_correction("q")
    assert harness.speeds.get_path_ratio(QUEUE, 16_000, 0) == ratio


@pytest.mark.parametrize("outlier_share", [0.0, 1.0 / 33.0])
def test_speeds_are_learnt_though_one_task_in_33_takes_seven_times(outlier_share):
    harness = SpeedsHarness()
    harness.end_runs(2_000, outlier_share=outlier_share)
    assert harness.measure_ratio() == pytest.approx(1.7 / 0.7, rel=0.15)
    kinds = {s.record.labels[0]: set() for s in harness.servers}
    for server in harness.servers:
        kinds[server.record.labels[0]].add(server.relative_slowness)
    # Otherwise remaining capacity would not decide between servers of one kind.
    assert all(len(values) == 1 for values in kinds.values())


def test_slow_server_is_cold_after_a_few_runs_and_recovers():
    harness = SpeedsHarness()
    harness.end_runs(2_000)
    slow = harness.servers[0]
    harness.speed_by_id[slow.id] = 0.7 / 5.0
    harness.end_runs(8, servers=[slow])
    harness.context.now_ms += 300.0
    harness.speeds.refresh_if_due()
    assert harness.speeds.list_cold_ids("s") == {slow.id}
    harness.speed_by_id[slow.id] = 0.7
    harness.end_runs(15, servers=[slow])
    harness.context.now_ms += 300.0
    harness.speeds.refresh_if_due()
    assert harness.speeds.list_cold_ids("s") == set()


def submit_tasks(owner, n_tasks):
    step = StepSpec(n_tasks=n_tasks, need=NEED, estimate_ms=100.0)
    job = JobSpec(job_id=f"{1:016x}", steps=(step,))
    owner.feed(JobArrived(caller_ref=1, job=job, queue=QUEUE, timeout_ms=9_000.0))
    return [start.server.server_id for start in owner.pop(StartRun)]


def test_zone_that_returns_cold_is_neither_flooded_nor_starved():
    """Idle servers of a returned zone would attract all tasks while they are slow."""
    capacity = NEED.plus(NEED)
    servers = [
        ServerRecord(
            server_id=f"s{i}",
            service="s",
            zone=f"z{i % 3}",
            capacity=capacity,
            cold_left_ms=3_000.0 if i % 3 == 0 else 0.0,
        )
        for i in range(6)
    ]
    owner = OwnerHarness(queues=(QUEUE,), servers=servers)
    server_ids = submit_tasks(owner, n_tasks=12)
    assert [server_ids.count(f"s{i}") for i in range(6)] == [1, 2, 2, 1, 2, 2]
    for server_id in ("s0", "s3"):
        owner.core.fleet.by_id[server_id].speed.n_normal_runs = 3
    owner.advance_time(300.0)
    assert len(owner.pop(StartRun)) == 2


def test_failing_server_is_not_rated_as_fast():
    """Servers with grey failures end their tasks sooner than healthy ones."""
    server = ServerRecord(server_id="s0", service="s", capacity=NEED)
    owner = OwnerHarness(queues=(QUEUE,), servers=(server,))
    submit_tasks(owner, n_tasks=1)
    owner.core.context.now_ms += 5.0
    for kind, is_learnt in ((EndKind.FAILED, False), (EndKind.DONE, True)):
        server = owner.core.fleet.by_id["s0"]
        (run,) = server.run_by_name.values()
        owner.core.runs._handle_end(server, run, kind)
        assert bool(owner.core.server_speeds._average_by_queue) is is_learnt


def test_next_owner_knows_the_speeds_of_kinds_and_servers():
    """The owner is lost, and its successor would place long tasks on slow servers."""
    former, successor = SpeedsHarness(), SpeedsHarness()
    former.end_runs(2_000)
    former.servers[1].speed.deviation = 1.0
    successor.fleet.apply_health_reports(former.fleet.list_health_reports(0), 0)
    successor.speeds.apply_kind_reports(former.speeds.list_kind_reports())
    successor.speeds.refresh_if_due()
    assert successor.measure_ratio() == pytest.approx(former.measure_ratio())
    assert successor.speeds.list_cold_ids("s") == {"s1"}


def test_restarted_server_is_cold_until_its_runs_are_normal():
    harness = SpeedsHarness()
    harness.end_runs(2_000)
    server = harness.servers[0]
    harness.speeds.forget_server(server)
    assert server.speed.is_cold(harness.context.now_ms)
    harness.end_runs(10, servers=[server])
    assert not server.speed.is_cold(harness.context.now_ms)


def test_path_ends_with_the_last_step_that_depends_on_it():
    steps = (
        StepSpec(estimate_ms=10.0),
        StepSpec(estimate_ms=20.0, after=(0,)),
        StepSpec(estimate_ms=5.0),
        StepSpec(estimate_ms=40.0, after=(1, 2)),
    )
    spec = JobSpec(steps=steps)
    assert [compute_path_from_ms(spec, i) for i in range(4)] == [70.0, 60.0, 45.0, 40.0]
