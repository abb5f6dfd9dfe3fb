"""Scheduling: which waiting task starts next, and on which server."""

import collections
import math

from ._late_service import MIN_RUN_FRACTION
from ._peer_messages import EndReason

# Interval at which the expected waits of all waiting jobs are checked.
QUEUE_CHECK_INTERVAL_MS = 100.0
# A server whose slowness exceeds the mean by this factor is used last. Kinds of servers
# differ by less than half, so that a healthy server stays below it.
SLOW_FACTOR = 2.0


class TaskScheduler:
    """Start waiting tasks on servers that have free capacity.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param jobs: the :class:`OwnerJobs`.
    :param runs: the :class:`RunTracker`.
    :param cells: the :class:`Cells`.
    :param server_speeds: the :class:`ServerSpeeds`.
    :param job_order: the :class:`ObjectiveOrder` or :class:`CostOrder`.
    :param late_service: the :class:`LateService`.
    :param admission: the :class:`AdmissionController`.
    :param list_follower: the :class:`ListFollower`.
    """

    def __init__(
        self,
        context=None,
        fleet=None,
        jobs=None,
        runs=None,
        cells=None,
        server_speeds=None,
        job_order=None,
        late_service=None,
        admission=None,
        list_follower=None,
    ):
        self.context = context
        self.fleet = fleet
        self.jobs = jobs
        self.runs = runs
        self.cells = cells
        self.server_speeds = server_speeds
        self.job_order = job_order
        self.late_service = late_service
        self.admission = admission
        self.list_follower = list_follower
        self.is_pass_requested = False
        self._next_check_ms_by_cell = {}

    def request_pass(self, message):
        """Request a scheduling pass once the current messages are handled."""
        self.is_pass_requested = True

    def schedule(self):
        """Start all tasks that can start now, those of the most urgent job first."""
        self.is_pass_requested = False
        owned_cells = self.cells.list_owned()
        if owned_cells:
            self.server_speeds.refresh_if_due()
        for cell in owned_cells:
            if not self.list_follower.is_awaiting_list(cell):
                self._schedule_cell(cell)

    def count_waiting_cpu(self, cell):
        """Return the total CPU need of a cell's waiting tasks, in millicores."""
        return sum(
            task.spec.need.cpu
            for job in self.jobs.list_open(cell)
            for task in job.waiting_by_name.values()
        )

    def find_candidates(self, job):
        """Return the servers that could take tasks of a job now.

        :param job: a :class:`Job`, which need not have been accepted.
        """
        candidates_by_service = self._find_candidates([job], job.cell)
        return candidates_by_service[job.queue.service]

    def rank_servers(self, task, candidates, max_servers):
        """Return the servers that a task would prefer now, best first.

        :param task: the task.
        :param candidates: what :meth:`find_candidates` returned for its job.
        :param max_servers: maximum number of servers to return.
        """
        allowed = candidates.find_allowed(task)
        ranked = []
        while allowed and len(ranked) < max_servers:
            best = self._choose_best(task, allowed, candidates)
            allowed.remove(best)
            ranked.append(best)
        return ranked

    def _schedule_cell(self, cell):
        jobs = [job for job in self.jobs.list_open(cell) if job.waiting_by_name]
        if not jobs:
            return
        jobs.sort(key=self.job_order.make_sort_key)
        candidates_by_service = self._find_candidates(jobs, cell)
        for job in jobs:
            if self._cannot_meet_deadline(job):
                self._end_overloaded(job)
                continue
            self._start_tasks(job, candidates_by_service[job.queue.service])
            if self._has_waited_too_long(job):
                self._end_overloaded(job)
        self._start_suspects(jobs, candidates_by_service)
        if self.late_service.is_on:
            self._refuse_hopeless(jobs, cell)

    def _refuse_hopeless(self, jobs, cell):
        """Refuse the waiting jobs that are not expected to start before they give up.

        Servers may have been lost since they were accepted.

        :param jobs: the jobs of a cell, in the order in which they start.
        :param cell: number of the cell.
        """
        now_ms = self.context.now_ms
        if now_ms < self._next_check_ms_by_cell.get(cell, 0.0):
            return
        self._next_check_ms_by_cell[cell] = now_ms + QUEUE_CHECK_INTERVAL_MS
        n_ahead_by_service = collections.Counter()
        for job in jobs:
            if job.is_ended or not job.waiting_by_name:
                continue
            service = job.queue.service
            n_ahead = n_ahead_by_service[service]
            if n_ahead and not job.may_have_run:
                n_half = (len(job.waiting_by_name) + 1) // 2
                wait_ms = self.admission.estimate_wait_ms(job, n_ahead + n_half)
                if now_ms + wait_ms > self.late_service.compute_wait_end_ms(job):
                    self._end_overloaded(job, wait_ms)
                    continue
            n_ahead_by_service[service] += len(job.waiting_by_name)

    def _find_candidates(self, jobs, cell):
        """Return the candidate servers in a cell, by service that jobs wait for."""
        min_cpu_by_service = {}
        for job in jobs:
            service = job.queue.service
            need_cpu = min(step.need.cpu for step in job.spec.steps)
            known_min_cpu = min_cpu_by_service.get(service, need_cpu)
            min_cpu_by_service[service] = min(known_min_cpu, need_cpu)
        candidates_by_service = {}
        for service, min_cpu in min_cpu_by_service.items():
            servers = list(self.fleet.iter_schedulable(service, cell))
            suspect_ids = self.fleet.find_suspect_ids(servers)
            candidates_by_service[service] = _CandidateServers(
                servers,
                min_cpu,
                suspect_ids,
                cold_ids=self.server_speeds.list_cold_ids(service),
                is_uneven=self.server_speeds.is_uneven(service),
            )
        return candidates_by_service

    def _end_overloaded(self, job, wait_ms=0.0):
        retry_after_ms = self.job_order.spread_retry_ms(
            job, max(wait_ms, self.context.settings.min_retry_after_ms)
        )
        self.jobs.end_early(job, EndReason.OVERLOADED, retry_after_ms)

    def _cannot_meet_deadline(self, job):
        """Return whether a job has not begun and can't end by its deadline."""
        last_start_ms = job.deadline_ms - MIN_RUN_FRACTION * job.critical_path_ms
        return not job.may_have_run and self.context.now_ms > last_start_ms

    def _has_waited_too_long(self, job):
        """Return whether a job missed its objective and still could not start."""
        wait_end_ms = self.late_service.compute_wait_end_ms(job)
        return not job.may_have_run and self.context.now_ms > wait_end_ms

    def _is_suspect(self, task):
        return self.runs.crash_history.is_suspect(task.name)

    def _may_start_suspect(self, task):
        is_given_up = self.runs.crash_history.is_given_up(task.name)
        is_waiting = not is_given_up and not self.runs.is_open(task.name)
        return is_waiting and self._is_suspect(task)

    def _start_suspects(self, jobs, candidates_by_service):
        """Start each task that may have crashed a server alone on an idle one.

        Another crash then harms no other task, and tells which task is the cause. These
        tasks come last, as a crash takes capacity from all others.
        """
        for job in jobs:
            candidates = candidates_by_service[job.queue.service]
            for task in list(job.waiting_by_name.values()):
                if not self._may_start_suspect(task):
                    continue
                idle = [s for s in candidates.find_allowed(task) if s.is_idle]
                server = self._choose_best(task, idle, candidates)
                if server is not None:
                    self.runs.start(task, server)
                    candidates.servers.remove(server)

    def _start_tasks(self, job, candidates):
        for task in list(job.waiting_by_name.values()):
            if not candidates.may_fit(task.spec.need) or self.runs.is_open(task.name):
                continue
            if self._is_suspect(task):
                continue
            server = self._choose_server(task, candidates)
            if server is not None:
                self.runs.start(task, server)
                candidates.remove_if_full(server)

    def _choose_server(self, task, candidates):
        fitting = candidates.find_fitting(task)
        if not fitting:
            candidates.record_no_fit(task.spec.need)
            return None
        allowed = [s for s in fitting if _meets_constraints(task, s)]
        return self._choose_best(task, allowed, candidates)

    def _choose_best(self, task, servers, candidates):
        # Of the servers up to this slowness the slowest comes first, and of the others
        # the fastest.
        max_slowness = 0.0
        if self.server_speeds.are_fast_scarce(task.job.queue.service, task.job.cell):
            max_slowness = self.server_speeds.compute_max_slowness(task)
        sort_key = self._make_sort_key(task, candidates, max_slowness)
        return min(servers, key=sort_key, default=None)

    def _make_sort_key(self, task, candidates, max_slowness):
        """Return the function by which servers are sorted for a task."""
        # It is called for each server that has room, so lookups are made once.
        need_cpu = task.spec.need.cpu
        data_rack = task.spec.data_rack
        avoided_ids = task.avoided_server_ids
        suspect_ids = candidates.suspect_ids
        cold_ids = candidates.cold_ids
        max_usual_slowness = candidates.max_usual_slowness

        def sort_key(server):
            server_id = server.record.server_id
            slowness = server.relative_slowness
            return (
                server_id in avoided_ids,
                server_id in suspect_ids,
                bool(data_rack) and data_rack not in server.record.labels,
                server.slowness > max_usual_slowness or server_id in cold_ids,
                slowness if slowness > max_slowness else -slowness,
                server.free.cpu - need_cpu,
                server.slowness,
            )

        return sort_key


class _CandidateServers:
    """Servers of a service that can take tasks during one scheduling pass.

    Free capacity only shrinks during a pass, so a need that did not fit once is not
    tried again.

    :param servers: the servers that accept tasks.
    :param min_cpu: smallest CPU need of any waiting task, in millicores; servers with
        less free are left out.
    :param suspect_ids: ids of the servers that are suspect.
    :param cold_ids: ids of the servers that are cold.
    :param is_uneven: whether the servers differ in speed.
    """

    def __init__(
        self, servers, min_cpu, suspect_ids, cold_ids=frozenset(), is_uneven=False
    ):
        self.min_cpu = min_cpu
        self.suspect_ids = suspect_ids
        self.cold_ids = cold_ids
        self._probed_ids = suspect_ids | cold_ids if cold_ids else suspect_ids
        # Where kinds differ in speed, the slow servers are among the cold ones.
        self.max_usual_slowness = math.inf
        if not is_uneven:
            total = sum(server.slowness for server in servers)
            self.max_usual_slowness = SLOW_FACTOR * total / max(1, len(servers))
        self.servers = [
            server
            for server in servers
            if server.clock_offset_ms is not None and server.free.cpu >= min_cpu
        ]
        self._min_unplaceable_cpu = float("inf")

    def find_fitting(self, task):
        """Return the servers that have room for a task."""
        return [
            server
            for server in self.servers
            if server.free.covers(task.spec.need) and self.may_take_another(server)
        ]

    def find_allowed(self, task):
        """Return the servers that have room for a task and meet its constraints."""
        return [s for s in self.find_fitting(task) if _meets_constraints(task, s)]

    def may_take_another(self, server):
        """Return whether a server may get another task.

        Some servers pass their health checks but hang or fail whatever they start. A
        suspect server therefore gets one task at a time, as a probe, until one
        succeeds. A cold server gets one at a time until its run times are normal.
        """
        return server.id not in self._probed_ids or server.is_idle

    def remove_if_full(self, server):
        """Remove a server that has no room left for any waiting task."""
        if server.free.cpu < self.min_cpu:
            self.servers.remove(server)

    def may_fit(self, need):
        """Return whether some server may still have capacity for a need."""
        return bool(self.servers) and need.cpu < self._min_unplaceable_cpu

    def record_no_fit(self, need):
        """Remember that no server has capacity for a need.

        Only the CPU is remembered, and only if it is the CPU that did not fit.
        """
        max_free_cpu = max((s.free.cpu for s in self.servers), default=0)
        if need.cpu > max_free_cpu:
            self._min_unplaceable_cpu = min(self._min_unplaceable_cpu, need.cpu)


def _meets_constraints(task, server):
    spec = task.spec
    if spec.required_label and spec.required_label not in server.record.labels:
        return False
    if not spec.max_per_server:
        return True
    n_on_server = sum(
        run.task is not None and run.task.job is task.job and run.task.step == task.step
        for run in server.run_by_name.values()
    )
    return n_on_server < spec.max_per_server
