"""Random traffic of a site: drawn in advance, and the same for every compared run."""

import random

import attrs

from ...dispatch import JobSpec, Resources, StepSpec
from ...proving.fleet import FleetFault
from ._sites import TASK_MEMORY_MB, RequestKind

# Log-normal sigma of the number of tasks and mean run time of a job around the means
# of its kind, and of its estimate around its mean run time.
JOB_SIGMA = 0.4
# Log-normal sigma of the cores that the tasks of a job need, around the site's mean.
CPU_SIGMA = 0.2
# Log-normal sigma of the tasks of one job around their common mean run time.
TASK_SIGMA = 0.15
# The credit of a job is that of its kind times 0.3 plus 0.7 times its relative size, up
# to 4 times.
BASE_CREDIT_FACTOR = 0.3
MAX_CREDIT_FACTOR = 4.0
# Callers that abandon a request early do so within this part of its time-out.
MAX_LEAVE_FRACTION = 0.5
# Factor on the rate of requests during a burst.
BURST_FACTOR = 1.3


@attrs.frozen(kw_only=True)
class QueueBurst:
    """A period in which one queue gets more requests than usual.

    :param queue: name of the queue.
    :param factor: its rate relative to the usual one.
    :param at_s: when it begins, in seconds from the start of the load.
    :param for_s: how long it lasts, in seconds.
    """

    queue: str = ""
    factor: float = 2.0
    at_s: float = 0.0
    for_s: float = 5.0


@attrs.frozen(kw_only=True)
class SiteArrival:
    """A request as its caller sends it, with the random draws that belong to it.

    :param at_ms: when it is first sent, from the start of the load.
    :param kind: the :class:`RequestKind`.
    :param zone_index: number of the caller's zone.
    :param job: the :class:`~buckthornshift.dispatch.JobSpec`.
    :param run_ms_by_task: real run time of each task, on a server of speed 1.
    :param timeout_ms: how long its caller waits.
    :param objective_ms: its latency objective; a later answer is late.
    :param late_ms: latency after which an answer is worth nothing.
    :param credit: value of an answer in time.
    :param late_credit: value of a late answer.
    :param size: its work relative to the mean of its kind.
    :param leave_draw: uniform draw from 0 to 1; while callers leave early, its caller
        does so if the draw is below their share.
    :param leave_after_ms: when its caller would leave, from the first sending.
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
    """Draw the requests of a load as a Poisson process.

    :param site: the :class:`Site`.
    :param load: factor on its rate.
    :param length_ms: length of the load.
    :param random_state: a :class:`random.Random`.
    :param faults: faults of the run; bursts raise the rate.
    :returns: list of :class:`SiteArrival`, in order of time.
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
        rate_factor = BURST_FACTOR if is_burst else 1.0
        at_ms += random_state.expovariate(rate_per_ms * rate_factor)
        if at_ms >= length_ms:
            return arrivals
        # Each request has its own generator, so that the number of draws for one
        # request does not change the others.
        request_random_state = random.Random(random_state.getrandbits(64))
        arrivals.append(_draw_request(site, at_ms, len(arrivals), request_random_state))


def draw_queue_bursts(site, load, bursts, first_index, random_state):
    """Draw the requests that bursts of single queues add to a load.

    :param site: the :class:`Site`.
    :param load: factor on its rate.
    :param bursts: the :class:`QueueBurst` of the run.
    :param first_index: number of the first added request.
    :param random_state: a :class:`random.Random`.
    :returns: list of :class:`SiteArrival`.
    """
    kind_by_name = {kind.name: kind for kind in site.kinds}
    total_weight = sum(kind.weight for kind in site.kinds)
    arrivals = []
    for burst in bursts:
        kind = kind_by_name[burst.queue]
        rate_per_s = load * site.rate_per_s * kind.weight / total_weight
        added_per_ms = (burst.factor - 1.0) * rate_per_s / 1_000.0
        at_ms = burst.at_s * 1_000.0
        end_ms = at_ms + burst.for_s * 1_000.0
        while (at_ms := at_ms + random_state.expovariate(added_per_ms)) < end_ms:
            index = first_index + len(arrivals)
            request_random_state = random.Random(random_state.getrandbits(64))
            arrivals.append(
                _draw_request(site, at_ms, index, request_random_state, kind)
            )
    return arrivals


def _draw_request(site, at_ms, index, random_state, kind=None):
    if kind is None:
        kind = random_state.choices(site.kinds, [k.weight for k in site.kinds])[0]
    n_tasks = int(_draw_lognormal(kind.n_tasks, JOB_SIGMA, random_state) + 0.5)
    n_tasks = min(kind.max_tasks, max(1, n_tasks))
    mean_run_ms = min(
        kind.max_run_ms, _draw_lognormal(kind.run_ms, JOB_SIGMA, random_state)
    )
    need_cpu = _draw_lognormal(site.task_cpu, CPU_SIGMA, random_state)
    need_cpu = int(min(site.max_task_cpu, need_cpu))
    step = StepSpec(
        n_tasks=n_tasks,
        need=Resources(cpu=need_cpu, memory_mb=TASK_MEMORY_MB),
        estimate_ms=_draw_lognormal(mean_run_ms, JOB_SIGMA, random_state),
    )
    job_id = f"{index + 1:016x}"
    job = JobSpec(job_id=job_id, payload=f"text of {job_id}", steps=(step,))
    run_ms_by_task = {
        job.make_task_name(0, task_index): _draw_lognormal(
            site.run_to_estimate_ratio * mean_run_ms, TASK_SIGMA, random_state
        )
        for task_index in range(n_tasks)
    }
    size = (mean_run_ms * n_tasks) / (kind.run_ms * kind.n_tasks)
    credit_factor = min(
        MAX_CREDIT_FACTOR, BASE_CREDIT_FACTOR + (1.0 - BASE_CREDIT_FACTOR) * size
    )
    longest_run_ms = max(run_ms_by_task.values())
    if site.is_objective_nominal:
        longest_run_ms = site.run_to_estimate_ratio * mean_run_ms
    if site.outlier_share:
        outliers = [n for n in run_ms_by_task if _is_outlier(site, random_state)]
        for name in outliers:
            run_ms_by_task[name] *= site.outlier_factor
        longest_run_ms *= site.outlier_factor if outliers else 1.0
    chain_ms = _compute_chain_ms(site, n_tasks, need_cpu, longest_run_ms)
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
        credit=credit_factor * kind.credit,
        late_credit=credit_factor * kind.late_credit,
        size=size,
        leave_draw=random_state.random(),
        leave_after_ms=random_state.uniform(1.0, MAX_LEAVE_FRACTION * timeout_ms),
    )


def _compute_chain_ms(site, n_tasks, need_cpu, longest_run_ms):
    """Return the length of a job's longest chain of work, for its latency objective.

    It is the longest run time. A step with more tasks than fit into a quarter of the
    site's servers runs in several rounds, and its chain grows in proportion.
    """
    n_slots = site.count_slots(need_cpu)
    return longest_run_ms * max(1.0, 4.0 * n_tasks / max(1, n_slots))


def _is_outlier(site, random_state):
    return random_state.random() < site.outlier_share


def _draw_lognormal(mean, sigma, random_state):
    """Draw from a log-normal distribution with a given mean."""
    return mean * random_state.lognormvariate(-sigma * sigma / 2.0, sigma)
