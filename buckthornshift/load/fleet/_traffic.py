"""What callers of a site send: drawn once, the same for every run compared."""

import random

import attrs

from ...dispatch import JobSpec, Resources, StepSpec
from ...proving.fleet import FleetFault
from ._sites import TASK_MEMORY_MB, RequestKind

# Spread of run times, widths and estimates around their means, as a log-normal's.
SPREAD = 0.4
# Spread of the needs of tasks around their mean.
CPU_SPREAD = 0.2
# Spread of the tasks of one job around their common mean.
UNEVEN = 0.15
# A job counts for 0.3 and 0.7 times its work over the mean, up to 4 times.
CREDIT_BASE = 0.3
CREDIT_MAX = 4.0
# Longest part of its patience after which a caller that leaves early does so.
LEAVE_FRACTION = 0.5
BURST_FACTOR = 1.3


@attrs.frozen(kw_only=True)
class SiteArrival:
    """A request as its caller sends it.

    :param at_ms: when, from the start of the load.
    :param kind: the :class:`RequestKind`.
    :param zone_index: number of the caller's zone.
    :param job: the job.
    :param run_ms_by_task: real run times by name of the task, on a server of speed 1.
    :param timeout_ms: how long its caller waits.
    :param objective_ms: its latency objective.
    :param late_ms: up to when an answer is late, and worth less.
    :param credit: what an answer in time is worth.
    :param late_credit: what a late answer is worth.
    :param size: work over the mean of its kind.
    :param leave_draw: uniform draw; a caller leaves early if below the share that do.
    :param leave_after_ms: when it would leave.
    """

    at_ms: float = 0.0
    kind: RequestKind = RequestKind()
    zone_index: int = 0
    job: JobSpec = JobSpec()
    run_ms_by_task: dict = attrs.field(factory=dict)
    timeout_ms: float = 0.0
    objective_ms: float = 0.0
    late_ms: float = 0.0
    credit: float = 0.0
    late_credit: float = 0.0
    size: float = 1.0
    leave_draw: float = 1.0
    leave_after_ms: float = 0.0

    @property
    def work_cpu_ms(self):
        """Real work of its tasks, in ms times thousandths of a core."""
        need_cpu = self.job.steps[0].need.cpu
        return need_cpu * sum(self.run_ms_by_task.values())


def draw_traffic(site, load, length_ms, random_state, faults=()):
    """Draw the requests of a load, in order of time.

    :param site: the :class:`Site`.
    :param load: factor on its rate.
    :param length_ms: length of the load.
    :param random_state: a :class:`random.Random`.
    :param faults: faults of the run; bursts raise the rate.
    """
    bursts = [fault for fault in faults if fault.kind is FleetFault.BURST]
    arrivals = []
    at_ms = 0.0
    while True:
        rate_per_ms = load * site.rate_per_s / 1_000.0
        is_burst = any(
            fault.start_ms <= at_ms < fault.start_ms + fault.length_ms
            for fault in bursts
        )
        factor = BURST_FACTOR if is_burst else 1.0
        at_ms += random_state.expovariate(rate_per_ms * factor)
        if at_ms >= length_ms:
            return arrivals
        # Each request has its own generator: what one draws moves no other.
        own_state = random.Random(random_state.getrandbits(64))
        arrivals.append(_draw_request(site, at_ms, len(arrivals), own_state))


def _draw_request(site, at_ms, number, random_state):
    kind = random_state.choices(site.kinds, [k.weight for k in site.kinds])[0]
    n_tasks = int(_draw_around(kind.n_tasks, SPREAD, random_state) + 0.5)
    n_tasks = min(kind.max_tasks, max(1, n_tasks))
    mean_ms = min(kind.max_run_ms, _draw_around(kind.run_ms, SPREAD, random_state))
    need_cpu = _draw_around(site.task_cpu, CPU_SPREAD, random_state)
    need_cpu = int(min(site.max_task_cpu, need_cpu))
    step = StepSpec(
        n_tasks=n_tasks,
        need=Resources(cpu=need_cpu, memory_mb=TASK_MEMORY_MB),
        estimate_ms=_draw_around(mean_ms, SPREAD, random_state),
    )
    job_id = f"{number + 1:016x}"
    job = JobSpec(job_id=job_id, payload=f"text of {job_id}", steps=(step,))
    run_ms_by_task = {
        job.name_task(0, index): _draw_around(
            site.run_to_estimate_ratio * mean_ms, UNEVEN, random_state
        )
        for index in range(n_tasks)
    }
    size = (mean_ms * n_tasks) / (kind.run_ms * kind.n_tasks)
    factor = min(CREDIT_MAX, CREDIT_BASE + (1.0 - CREDIT_BASE) * size)
    chain_ms = _stretch_wide(site, n_tasks, need_cpu, max(run_ms_by_task.values()))
    objective_ms = site.stretch * chain_ms + site.target_ms
    late_ms = site.late_factor * objective_ms
    timeout_ms = late_ms + site.timeout_slack_ms
    return SiteArrival(
        at_ms=at_ms,
        kind=kind,
        zone_index=random_state.randrange(site.n_zones),
        job=job,
        run_ms_by_task=run_ms_by_task,
        timeout_ms=timeout_ms,
        objective_ms=objective_ms,
        late_ms=late_ms,
        credit=factor * kind.credit,
        late_credit=factor * kind.late_credit,
        size=size,
        leave_draw=random_state.random(),
        leave_after_ms=random_state.uniform(1.0, LEAVE_FRACTION * timeout_ms),
    )


def _stretch_wide(site, n_tasks, need_cpu, chain_ms):
    """Return a chain's time; a step wider than a quarter of the room runs in waves."""
    n_slots = site.count_slots(need_cpu)
    return chain_ms * max(1.0, 4.0 * n_tasks / max(1, n_slots))


def _draw_around(mean, spread, random_state):
    """Draw from a log-normal with a given mean."""
    return mean * random_state.lognormvariate(-spread * spread / 2.0, spread)
