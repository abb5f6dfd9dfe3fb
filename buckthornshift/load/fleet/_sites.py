"""Simulated deployments: request kinds, objectives, instances, servers and zones."""

import attrs

from ...dispatch import Queue
from ...proving.fleet import FleetShape, ServerKind

MAX_ATTEMPTS = 3
TASK_MEMORY_MB = 64


@attrs.frozen(kw_only=True)
class RequestKind:
    """A kind of request, with the distribution of its jobs.

    :param name: name in reports, and of its queue.
    :param weight: relative frequency among the requests.
    :param n_tasks: mean number of tasks.
    :param max_tasks: largest number of tasks.
    :param run_ms: mean of the run time that callers estimate for a task.
    :param max_run_ms: upper bound of the mean run time of the tasks of one job.
    :param credit: value of an answer in time, for a job of mean size.
    :param late_credit: value of a late answer, for a job of mean size.
    :param priority: declared priority of its queue; 0 comes first.
    """

    name: str = ""
    weight: float = 1.0
    n_tasks: int = 1
    max_tasks: int = 32
    run_ms: float = 100.0
    max_run_ms: float = 1_000.0
    credit: float = 1.0
    late_credit: float = 0.2
    priority: int = 0


@attrs.frozen(kw_only=True)
class Site:
    """A deployment and the traffic of its callers.

    :param name: name in experiments and reports.
    :param service: name of the service that its servers run.
    :param kinds: the :class:`RequestKind` of its callers.
    :param rate_per_s: requests a second at load 1.
    :param task_cpu: mean need of a task, in thousandths of a core.
    :param max_task_cpu: largest need of a task, in thousandths of a core.
    :param stretch: factor of the latency objective on the longest chain of work.
    :param target_ms: constant part of the latency objective.
    :param late_factor: multiple of the objective up to which an answer is late and
        earns the lower credit; after that it earns nothing.
    :param timeout_slack_ms: how long callers wait beyond that.
    :param run_to_estimate_ratio: mean ratio of real run times to estimates.
    :param outlier_share: share of the tasks that take ``outlier_factor`` times as long.
    :param outlier_factor: factor on the run times of these tasks.
    :param is_objective_nominal: whether latency objectives are based on the mean run
        time of a job's tasks, and not on the drawn time of its longest one.
    :param retry_delay_ms: delay before callers send a request again.
    :param max_refused_retries: how often a caller sends a refused request again,
        after the time that the refusal names.
    :param n_zones: number of availability zones.
    :param n_instances: number of dispatching instances.
    :param n_servers: number of backend servers.
    :param server_kinds: kinds of the servers, taken in turn.
    :param servers_per_rack: servers on one rack.
    :param inter_zone_delay_ms: one-way delay between zones.
    :param client_delay_ms: one-way delay between callers and instances.
    """

    name: str = ""
    service: str = "service"
    kinds: tuple[RequestKind, ...] = ()
    rate_per_s: float = 70.0
    task_cpu: float = 6_800.0
    max_task_cpu: float = 10_000.0
    stretch: float = 1.6
    target_ms: float = 60.0
    late_factor: float = 3.0
    timeout_slack_ms: float = 1_500.0
    run_to_estimate_ratio: float = 1.3
    outlier_share: float = 0.0
    outlier_factor: float = 1.0
    is_objective_nominal: bool = False
    retry_delay_ms: float = 1_300.0
    max_refused_retries: int = 0
    n_zones: int = 3
    n_instances: int = 9
    n_servers: int = 24
    server_kinds: tuple[ServerKind, ...] = ()
    servers_per_rack: int = 8
    inter_zone_delay_ms: float = 0.5
    client_delay_ms: float = 3.0

    def make_shape(self):
        """Return the servers and declared queues of the simulated deployment.

        :returns: a :class:`~buckthornshift.proving.fleet.FleetShape`.
        """
        queues = tuple(
            Queue(
                name=kind.name,
                host="h",
                path_prefix=f"/{kind.name}/",
                service=self.service,
                priority=kind.priority,
                max_attempts=MAX_ATTEMPTS,
                stretch=self.stretch,
                target_ms=self.target_ms,
            )
            for kind in self.kinds
        )
        return FleetShape(
            services=(self.service,),
            server_kinds=self.server_kinds,
            servers_per_rack=self.servers_per_rack,
            queues=queues,
        )

    def count_slots(self, task_cpu=None):
        """Return how many tasks of one size fit on all its servers together.

        :param task_cpu: need of a task, in thousandths of a core; ``None`` for the
            mean.
        """
        need_cpu = self.task_cpu if task_cpu is None else task_cpu
        kinds = self.server_kinds
        return sum(
            kinds[index % len(kinds)].cpu // need_cpu for index in range(self.n_servers)
        )


def _make_request_kinds(urgent_name, background_name, standard_name):
    """Return the three kinds of request that both sites have, under their own names."""
    return (
        RequestKind(
            name=urgent_name,
            weight=0.244,
            n_tasks=8,
            max_tasks=32,
            run_ms=60.0,
            max_run_ms=240.0,
            credit=0.0291,
            late_credit=0.00582,
            priority=0,
        ),
        RequestKind(
            name=background_name,
            weight=0.044,
            n_tasks=4,
            max_tasks=16,
            run_ms=900.0,
            max_run_ms=3_600.0,
            credit=0.16,
            late_credit=0.032,
            priority=2,
        ),
        RequestKind(
            name=standard_name,
            weight=0.711,
            n_tasks=2,
            max_tasks=8,
            run_ms=200.0,
            max_run_ms=800.0,
            credit=0.01,
            late_credit=0.002,
            priority=1,
        ),
    )


TREASURY = Site(
    name="treasury",
    service="treasury",
    kinds=_make_request_kinds("balance", "payout", "sweep"),
    server_kinds=(
        ServerKind(label="a"),
        ServerKind(label="a"),
        ServerKind(label="b", cpu=24_000, speed=1.3),
    ),
)
PATROL = Site(
    name="patrol",
    service="patrol",
    kinds=_make_request_kinds("hazard", "order", "span"),
    task_cpu=27_000.0,
    max_task_cpu=40_000.0,
    n_zones=4,
    n_instances=7,
    server_kinds=(
        ServerKind(label="a", cpu=64_000),
        ServerKind(label="a", cpu=64_000),
        ServerKind(label="b", cpu=96_000, speed=1.3),
    ),
    servers_per_rack=6,
    inter_zone_delay_ms=1.4,
    client_delay_ms=1.0,
)


def _make_demanding_site(
    name, rates_per_s, run_times_ms, speeds, queue_names, credits, **parameters
):
    """Return a site of docs/design/19-hard-load.md.

    :param name: name of the site.
    :param rates_per_s: jobs per second of each queue, by priority.
    :param run_times_ms: mean run times of tasks, by priority.
    :param speeds: speeds of the kinds of servers a, a and b.
    :param queue_names: names of the queues, by priority.
    :param credits: credit of a job that is served in time, by priority.
    """
    widths = (8, 2, 4)
    kinds = tuple(
        RequestKind(
            name=queue_name,
            weight=rates_per_s[priority],
            n_tasks=widths[priority],
            max_tasks=4 * widths[priority],
            run_ms=run_times_ms[priority],
            max_run_ms=4.0 * run_times_ms[priority],
            credit=credits[priority],
            late_credit=0.2 * credits[priority],
            priority=priority,
        )
        for priority, queue_name in enumerate(queue_names)
    )
    server_kinds = zip("aab", (32_000, 32_000, 48_000), speeds, strict=True)
    return Site(
        name=name,
        service=name,
        kinds=kinds,
        rate_per_s=sum(rates_per_s),
        task_cpu=16_000.0,
        max_task_cpu=24_000.0,
        target_ms=62.0,
        run_to_estimate_ratio=1.0,
        n_servers=176,
        server_kinds=tuple(
            ServerKind(label=label, cpu=cpu, speed=speed)
            for label, cpu, speed in server_kinds
        ),
        **parameters,
    )


def _divide(site, n_parts):
    """Return a part of a site: its rate, instances and servers divided by a number."""
    return attrs.evolve(
        site,
        name=f"{site.name}-{n_parts}th",
        rate_per_s=site.rate_per_s / n_parts,
        n_instances=site.n_instances // n_parts,
        n_servers=site.n_servers // n_parts,
    )


SKIPS_LOAD = {
    "rates_per_s": (103.0, 300.0, 18.7),
    "run_times_ms": (60.0, 200.0, 900.0),
    "speeds": (0.8, 1.0, 1.25),
    "n_instances": 44,
}
SPLITS_LOAD = {
    "rates_per_s": (90.7, 264.0, 16.5),
    "run_times_ms": (51.0, 170.0, 760.0),
    "speeds": (0.7, 0.7, 1.7),
}
TREASURY_SHIFTED_LOAD = {
    "rates_per_s": (77.0, 225.0, 24.4),
    "run_times_ms": (60.0, 200.0, 900.0),
    "speeds": (0.8, 1.0, 1.25),
    "n_instances": 44,
}
# Sites for placement on servers of different speed.
PLACEMENT = {
    "queue_names": ("priority-0", "priority-1", "priority-2"),
    "credits": (0.0291, 0.01, 0.16),
    "is_objective_nominal": True,
}
SKIPS = _make_demanding_site("skips", **SKIPS_LOAD, **PLACEMENT)
SPLITS = _make_demanding_site(
    "splits",
    **SPLITS_LOAD,
    **PLACEMENT,
    n_instances=30,
    outlier_share=1.0 / 33.0,
    outlier_factor=7.0,
)
# Sites for overload, in which callers retry after a refusal.
OVERLOAD = {
    "queue_names": ("urgent", "standard", "long"),
    "credits": (1.0, 0.5, 0.25),
    "max_refused_retries": 2,
}
OVERLOAD_SITES = tuple(
    _divide(_make_demanding_site(name, **load, **OVERLOAD), 4)
    for name, load in (
        ("skips", SKIPS_LOAD),
        ("splits", SPLITS_LOAD | {"n_instances": 44}),
        ("treasury-shifted", TREASURY_SHIFTED_LOAD),
    )
)
# Request rate of the grown sites, relative to the present ones.
GROWN_RATE_FACTOR = 6.0
SITES_BY_NAME = {
    site.name: site
    for site in (
        TREASURY,
        PATROL,
        SKIPS,
        SPLITS,
        attrs.evolve(
            SKIPS,
            name="skips-even",
            server_kinds=tuple(
                attrs.evolve(kind, speed=1.0) for kind in SKIPS.server_kinds
            ),
        ),
        *OVERLOAD_SITES,
        attrs.evolve(
            TREASURY,
            name="treasury-grown",
            rate_per_s=GROWN_RATE_FACTOR * TREASURY.rate_per_s,
            n_instances=41,
            n_servers=176,
        ),
        attrs.evolve(
            PATROL,
            name="patrol-grown",
            rate_per_s=GROWN_RATE_FACTOR * PATROL.rate_per_s,
            n_zones=5,
            n_instances=40,
            n_servers=175,
            servers_per_rack=20,
            inter_zone_delay_ms=0.9,
        ),
    )
}
