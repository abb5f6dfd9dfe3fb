"""Speed of servers and of their kinds, learnt from the run times of tasks."""

import collections
import math

import attrs

from ._actions import LogCode
from ._peer_messages import KindSlowness

# Labels with this prefix name a rack; the other labels describe the hardware.
RACK_PREFIX = "r-"
# How often the speeds that placement uses are computed from what was learnt.
REFRESH_INTERVAL_MS = 200.0
# Largest effect of one run, as a logarithm. A run that takes seven times its estimate
# has the effect of one that takes 1.6 times its estimate.
MAX_RESIDUAL = 0.5
# Weights of the latest run: about the last 100 runs of a queue, 400 of a kind and 80 of
# a server count.
QUEUE_GAIN = 0.02
KIND_GAIN = 0.005
SERVER_GAIN = 0.025
# Runs of a queue before the speeds of servers are learnt from it, and runs of a kind
# before the deviations of its servers are learnt and its speed is used.
MIN_QUEUE_RUNS = 20
MIN_KIND_RUNS = 50
# Number of runs that an average of a kind comprises at most.
MAX_KIND_RUNS = 400
# Kinds that differ by less count as equal, as does a server that deviates less from its
# kind (logarithms).
MIN_KIND_SPREAD = 0.1
MIN_SERVER_DEVIATION = 0.25
# Added to the first until kinds are known to differ: five standard deviations of the
# difference of two averages of one run each, whose estimates are off by 40 %. The tasks
# of one job share that error.
KIND_SPREAD_ERROR = 3.0
# Servers within one such step (logarithm) have the same rank, so that their remaining
# capacity decides between them.
RANK_STEP = 0.1
# A run that is slower by more (logarithm) counts in full if the runs of two other
# jobs before it on that server were slow as well, because the server has changed then.
FAR_RESIDUAL = 1.1
FAR_GAIN = 0.3
MIN_FAR_JOBS = 3
# A server that is this much slower than its kind (logarithm; 1.5 times) is cold.
COLD_DEVIATION = 0.405
COLD_GAIN = 0.2
# Consecutive runs at the speed of its kind after which a server is not cold any more.
MIN_NORMAL_RUNS = 3
# How long a restarted server counts as cold at most if its entry does not say.
RESTART_COLD_MS = 5_000.0
# If a larger fraction of a service's servers is cold, none of them gets fewer tasks,
# because the others can't take all of the load.
MAX_COLD_SHARE = 0.5
# Time constant with which the deviation of a server without runs is forgotten, so that
# a server that was slow is tried again.
DEVIATION_MEMORY_MS = 10_000.0
# Smallest ratio that is taken from another instance.
MIN_RATIO = 0.01
# Margin on the expected run time of a task, for the difference between its tasks.
RUN_TIME_MARGIN = 1.25
# Fast servers are scarce while less of their capacity is free.
SCARCE_FREE_SHARE = 0.5


@attrs.define(kw_only=True, eq=False)
class ServerSpeed:
    """What was learnt about the speed of one server.

    Values are natural logarithms of factors on run times.

    :param deviation: deviation from the run times of its kind.
    :param updated_ms: when it last changed.
    :param last_far_job: job of the last run that deviated far.
    :param n_far_jobs: number of jobs whose runs deviated far, without one in between
        that did not.
    :param cold_until_ms: until when it is known to be slow after its start.
    :param n_normal_runs: consecutive runs at the speed of its kind.
    """

    deviation: float = 0.0
    updated_ms: float = 0.0
    last_far_job: str = ""
    n_far_jobs: int = 0
    cold_until_ms: float = 0.0
    n_normal_runs: int = 0

    def note_cold(self, left_ms, now_ms):
        """Record how much longer the server remains slow, according to its entry."""
        if now_ms >= self.cold_until_ms:
            self.n_normal_runs = 0
        self.cold_until_ms = now_ms + left_ms

    def is_notable(self, now_ms):
        """Return whether it deviates from its kind, or is slow after its start."""
        is_deviating = abs(self.deviation) > MIN_SERVER_DEVIATION
        return is_deviating or self.get_cold_left_ms(now_ms) > 0.0

    def get_kind_ratio(self):
        """Return the mean ratio of its run times to those of its kind."""
        return round(math.exp(self.deviation), 2)

    def get_cold_left_ms(self, now_ms):
        """Return for how long it may be slow after its start; 0 if it is not."""
        is_normal = self.n_normal_runs >= MIN_NORMAL_RUNS
        return 0.0 if is_normal else max(0.0, self.cold_until_ms - now_ms)

    def apply_report(self, report, now_ms):
        """Replace what was learnt by a :class:`ServerHealthReport` of the owner."""
        self.deviation = math.log(max(MIN_RATIO, report.kind_ratio))
        self.note_cold(report.cold_left_ms, now_ms)

    def is_cold(self, now_ms):
        """Return whether the server is slower than it will be."""
        is_slow = self.deviation > COLD_DEVIATION
        return is_slow or self.get_cold_left_ms(now_ms) > 0.0


@attrs.define(kw_only=True, eq=False)
class _Average:
    """Moving average of logarithms; the first values have the same weight."""

    value: float = 0.0
    n_values: int = 0

    def add(self, residual, gain, n_prior=0):
        self.n_values += 1
        weight = max(gain, 1.0 / (self.n_values + n_prior))
        self.value += weight * max(-MAX_RESIDUAL, min(MAX_RESIDUAL, residual))


class ServerSpeeds:
    """Learn how fast servers are, relative to each other.

    The logarithm of the ratio of the actual to the estimated run time is the sum of a
    part of the queue (its callers' estimates), a part of the kind of the server, and
    the deviation of the server from its kind. Outliers have a bounded effect.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param duration_estimator: the :class:`DurationEstimator`.
    """

    def __init__(self, context=None, fleet=None, duration_estimator=None):
        self.context = context
        self.fleet = fleet
        self.duration_estimator = duration_estimator
        self._average_by_queue = collections.defaultdict(_Average)
        self._average_by_kind = collections.defaultdict(_Average)
        self._refreshed_ms = -REFRESH_INTERVAL_MS
        self._uneven_services = set()
        self._cold_ids_by_service = {}
        self._max_free_cpu_by_service_cell = {}
        self._scarce_service_cells = set()

    def is_uneven(self, service):
        """Return whether the servers of a service differ in speed."""
        return service in self._uneven_services

    def are_fast_scarce(self, service, cell):
        """Return whether most of the capacity of a cell's fast servers is in use.

        Tasks that are in time on slower servers then leave it to others.
        """
        return (service, cell) in self._scarce_service_cells

    def list_cold_ids(self, service):
        """Return the ids of a service's cold servers, unless most of them are cold."""
        return self._cold_ids_by_service.get(service, frozenset())

    def record_run(self, server, run, actual_ms):
        """Learn from a run that ended as done.

        :param server: the :class:`Server`.
        :param run: the :class:`Run`.
        :param actual_ms: measured time from the start command to the reported end.
        """
        spec = run.task.spec
        if spec.estimate_ms <= 0 or actual_ms <= 0:
            return
        job = run.task.job
        queue = self._average_by_queue[job.queue.name]
        kind = self._average_by_kind[
            get_kind(server.record.service, server.record.labels)
        ]
        ratio = math.log(actual_ms / spec.estimate_ms)
        residual = ratio - queue.value - kind.value
        if not server.speed.is_cold(self.context.now_ms):
            queue.add(residual, QUEUE_GAIN)
            if queue.n_values > MIN_QUEUE_RUNS:
                kind.add(residual, KIND_GAIN, n_prior=10)
        if kind.n_values >= MIN_KIND_RUNS:
            self._update_server(server.speed, residual, job.job_id)

    def _update_server(self, speed, residual, job_id):
        now_ms = self.context.now_ms
        change = residual - speed.deviation
        if change <= FAR_RESIDUAL:
            speed.n_far_jobs = 0
        elif job_id != speed.last_far_job or not speed.n_far_jobs:
            speed.n_far_jobs += 1
            speed.last_far_job = job_id
        if speed.n_far_jobs >= MIN_FAR_JOBS:
            speed.deviation += FAR_GAIN * change
        else:
            gain = COLD_GAIN if speed.is_cold(now_ms) else SERVER_GAIN
            speed.deviation += gain * max(-MAX_RESIDUAL, min(MAX_RESIDUAL, change))
        is_normal = residual < COLD_DEVIATION
        speed.n_normal_runs = speed.n_normal_runs + 1 if is_normal else 0
        speed.updated_ms = now_ms

    def list_kind_reports(self):
        """Return a :class:`KindSlowness` of each kind of an uneven service."""
        return tuple(
            KindSlowness(kind=kind, slowness=round(math.exp(average.value), 3))
            for kind, average in self._average_by_kind.items()
            if kind[0] in self._uneven_services and average.n_values >= MIN_KIND_RUNS
        )

    def apply_kind_reports(self, reports):
        """Replace the speeds of kinds by those that their owner reports."""
        for report in reports:
            self._average_by_kind[report.kind] = _Average(
                value=math.log(max(MIN_RATIO, report.slowness)),
                n_values=MAX_KIND_RUNS,
            )

    def forget_server(self, server):
        """Forget the speed of a server that has restarted, and treat it as cold."""
        server.speed = ServerSpeed(cold_until_ms=self.context.now_ms + RESTART_COLD_MS)

    def compute_max_slowness(self, task):
        """Return the slowness of a server up to which a task is expected in time.

        :param task: the :class:`Task`.
        :returns: factor on the run time, to compare with ``Server.relative_slowness``.
        """
        job = task.job
        spec = task.spec
        if spec.estimate_ms <= 0:
            return math.inf
        path_ms = spec.estimate_ms
        if len(job.spec.steps) > 1:
            path_ms = compute_path_from_ms(job.spec, task.step)
        left_ms = job.objective_deadline_ms - self.context.now_ms
        return left_ms / (RUN_TIME_MARGIN * self._get_queue_factor(job.queue) * path_ms)

    def get_path_ratio(self, queue, need_cpu, cell):
        """Return the factor from estimated to expected run times of a new job.

        It is that of the fastest servers with room for its tasks. Where servers are
        equally fast, it is the mean ratio of the queue's runs.

        :param queue: the :class:`Queue`.
        :param need_cpu: CPU need of a task, in thousandths of a core.
        :param cell: number of the cell.
        """
        if queue.service not in self._uneven_services:
            return self.duration_estimator.get_correction(queue.name)
        max_free_cpu = self._max_free_cpu_by_service_cell.get((queue.service, cell), {})
        slowness = min(
            (value for value, cpu in max_free_cpu.items() if cpu >= need_cpu),
            default=1.0,
        )
        return slowness * self._get_queue_factor(queue)

    def refresh_if_due(self):
        """Compute the speeds that placement uses, a few times a second at most."""
        elapsed_ms = self.context.now_ms - self._refreshed_ms
        if elapsed_ms < REFRESH_INTERVAL_MS:
            return
        self._refreshed_ms = self.context.now_ms
        servers_by_service = {}
        for server in self.fleet.by_id.values():
            servers_by_service.setdefault(server.record.service, []).append(server)
        for service, servers in servers_by_service.items():
            self._refresh_service(service, servers, elapsed_ms)

    def _refresh_service(self, service, servers, elapsed_ms):
        now_ms = self.context.now_ms
        slowness_by_kind = self._compute_kind_slowness(service, servers)
        is_uneven = service in self._uneven_services
        cold_ids = set()
        decay = math.exp(-elapsed_ms / DEVIATION_MEMORY_MS)
        rank_by_kind = {k: _round_slowness(v) for k, v in slowness_by_kind.items()}
        for server in servers:
            speed = server.speed
            if now_ms - speed.updated_ms > elapsed_ms:
                speed.deviation *= decay
            kind = get_kind(server.record.service, server.record.labels)
            server.relative_slowness = rank_by_kind[kind]
            if is_uneven and abs(speed.deviation) > MIN_SERVER_DEVIATION:
                value = slowness_by_kind[kind] + speed.deviation
                server.relative_slowness = _round_slowness(value)
            if speed.is_cold(now_ms):
                cold_ids.add(server.id)
        if len(cold_ids) > MAX_COLD_SHARE * len(servers):
            cold_ids = set()
        self._log_cold(cold_ids, self._cold_ids_by_service.get(service, ()))
        self._cold_ids_by_service[service] = cold_ids
        if is_uneven:
            self._refresh_free_capacity(service, servers)

    def _log_cold(self, cold_ids, former_ids):
        for server_id in sorted(cold_ids.difference(former_ids)):
            speed = self.fleet.by_id[server_id].speed
            self.context.log(
                LogCode.SERVER_COLD,
                server_id,
                kind_ratio=speed.get_kind_ratio(),
                left_ms=round(speed.get_cold_left_ms(self.context.now_ms)),
            )

    def _compute_kind_slowness(self, service, servers):
        """Return the slowness of each kind as a logarithm, or 0 if they are equal."""
        n_servers_by_kind = {}
        for server in servers:
            kind = get_kind(server.record.service, server.record.labels)
            n_servers_by_kind[kind] = n_servers_by_kind.get(kind, 0) + 1
        known = {
            kind: average
            for kind, average in self._average_by_kind.items()
            if kind in n_servers_by_kind and average.n_values >= MIN_KIND_RUNS
        }
        values = [average.value for average in known.values()]
        if len(values) < 2 or max(values) - min(values) < self._compute_min_spread(
            service, known.values()
        ):
            self._uneven_services.discard(service)
            self._scarce_service_cells = {
                key for key in self._scarce_service_cells if key[0] != service
            }
            return dict.fromkeys(n_servers_by_kind, 0.0)
        self._uneven_services.add(service)
        # Only the sum of the parts of queue and kind is observed. The mean of the kinds
        # is kept at zero, so that neither part drifts.
        n_known = sum(n_servers_by_kind[kind] for kind in known)
        mean = sum(n_servers_by_kind[k] * a.value for k, a in known.items()) / n_known
        for average in known.values():
            average.value -= mean
        for queue in self.context.configuration.queues:
            if queue.service == service and queue.name in self._average_by_queue:
                self._average_by_queue[queue.name].value += mean
        return {
            kind: known[kind].value if kind in known else 0.0
            for kind in n_servers_by_kind
        }

    def _compute_min_spread(self, service, averages):
        """Return the difference from which the kinds of a service count as unequal."""
        if service in self._uneven_services:
            return MIN_KIND_SPREAD
        n_runs = min(average.n_values for average in averages)
        return MIN_KIND_SPREAD + KIND_SPREAD_ERROR / math.sqrt(
            min(n_runs, MAX_KIND_RUNS)
        )

    def _refresh_free_capacity(self, service, servers):
        """Note the capacity of the fast servers, and the most that is free by speed."""
        free_by_cell, total_by_cell, max_free_by_cell = {}, {}, {}
        for server in servers:
            if not self.fleet.is_schedulable(server):
                continue
            cell, slowness = server.cell, server.relative_slowness
            max_free_cpu = max_free_by_cell.setdefault(cell, {})
            known_cpu = max_free_cpu.get(slowness, 0)
            max_free_cpu[slowness] = max(known_cpu, server.free_cpu)
            if slowness < 1.0:
                free_by_cell[cell] = free_by_cell.get(cell, 0) + server.free_cpu
                total_cpu = total_by_cell.get(cell, 0)
                total_by_cell[cell] = total_cpu + server.record.capacity.cpu
        for cell, max_free_cpu in max_free_by_cell.items():
            self._max_free_cpu_by_service_cell[service, cell] = max_free_cpu
            free_cpu, total_cpu = free_by_cell.get(cell, 0), total_by_cell.get(cell, 0)
            if free_cpu < SCARCE_FREE_SHARE * total_cpu:
                self._scarce_service_cells.add((service, cell))
            else:
                self._scarce_service_cells.discard((service, cell))

    def _get_queue_factor(self, queue):
        average = self._average_by_queue.get(queue.name)
        return 1.0 if average is None else math.exp(average.value)


def _round_slowness(value):
    """Return the factor of a logarithm that is rounded to steps of a rank."""
    return math.exp(RANK_STEP * round(value / RANK_STEP))


def get_kind(service, labels):
    """Return the kind of a server: its service and the labels of its hardware.

    :param service: name of its service.
    :param labels: its labels, with that of its rack.
    """
    return (service, *(s for s in labels if not s.startswith(RACK_PREFIX)))


def compute_path_from_ms(spec, step):
    """Return the estimated duration of the longest chain that begins with a step.

    :param spec: the :class:`JobSpec`.
    :param step: index of the step.
    """
    path_ms_by_step = [0.0] * len(spec.steps)
    for index in range(len(spec.steps) - 1, step - 1, -1):
        path_ms_by_step[index] += spec.steps[index].estimate_ms
        for earlier in spec.steps[index].after:
            path_ms_by_step[earlier] = max(
                path_ms_by_step[earlier], path_ms_by_step[index]
            )
    return path_ms_by_step[step]
