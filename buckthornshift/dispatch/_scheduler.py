"""Which waiting task starts on which server."""

from ._admission import make_job_sort_key
from ._peer_messages import EndReason

# Part of its expected duration that a job needs at least; 19 of 20 take longer.
SHORTEST_RUN_FRACTION = 0.5
# A server whose runs take this many times as long as the mean is used last; kinds of
# servers differ by less than half.
SLOW_FACTOR = 2.0
# What is left of a wait, once the objective is missed, before a job that has not
# begun is given back: a part of the time that its caller would still wait.
LATE_PATIENCE = 0.25


class TaskScheduler:
    """Start waiting tasks while there is room.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param jobs: the :class:`OwnerJobs`.
    :param runs: the :class:`RunTracker`.
    :param cells: the :class:`Cells`.
    """

    def __init__(self, context=None, fleet=None, jobs=None, runs=None, cells=None):
        self.context = context
        self.fleet = fleet
        self.jobs = jobs
        self.runs = runs
        self.cells = cells
        self.is_pass_requested = False

    def request_pass(self, message):
        """Look for work to start once the current messages are handled."""
        self.is_pass_requested = True

    def schedule(self):
        """Start what can start now, the most urgent first."""
        self.is_pass_requested = False
        for cell in self.cells.list_owned():
            self._pump_cell(cell)

    def count_waiting_cpu(self, cell):
        """Return what waits for room in a cell, in thousandths of a core."""
        return sum(
            task.spec.need.cpu
            for job in self.jobs.list_open(cell)
            for task in job.waiting_by_name.values()
        )

    def _pump_cell(self, cell):
        now_ms = self.context.now_ms
        jobs = [job for job in self.jobs.list_open(cell) if job.waiting_by_name]
        if not jobs:
            return
        jobs.sort(key=lambda job: make_job_sort_key(job, now_ms))
        room_by_service = self._find_rooms(jobs, cell)
        for job in jobs:
            if self._is_hopeless(job):
                self._give_up(job)
                continue
            self._start_tasks(job, room_by_service[job.queue.service])
            if self._is_patience_over(job):
                self._give_up(job)

    def _find_rooms(self, jobs, cell):
        """Return the room in a cell of each service that some jobs wait for."""
        least_cpu_by_service = {}
        for job in jobs:
            service = job.queue.service
            need_cpu = min(step.need.cpu for step in job.spec.steps)
            known_cpu = least_cpu_by_service.get(service, need_cpu)
            least_cpu_by_service[service] = min(known_cpu, need_cpu)
        room_by_service = {}
        for service, least_cpu in least_cpu_by_service.items():
            servers = list(self.fleet.iter_schedulable(service, cell))
            suspect_ids = self.fleet.find_suspect_ids(servers)
            room_by_service[service] = _Room(servers, least_cpu, suspect_ids)
        return room_by_service

    def _give_up(self, job):
        retry_after_ms = self.context.settings.min_retry_after_ms
        self.jobs.end_early(job, EndReason.OVERLOADED, retry_after_ms)

    def _is_hopeless(self, job):
        """Return whether a job that has not begun can't end by its deadline."""
        last_ms = job.deadline_ms - SHORTEST_RUN_FRACTION * job.critical_path_ms
        return not job.may_have_run and self.context.now_ms > last_ms

    def _is_patience_over(self, job):
        """Return whether a job has missed its objective and still found no room."""
        last_ms = job.deadline_ms - SHORTEST_RUN_FRACTION * job.critical_path_ms
        # One that is expected to be late from the beginning has its patience, too.
        missed_ms = max(job.latest_start_ms, job.arrived_ms)
        late_ms = max(0.0, last_ms - missed_ms)
        patience_ms = missed_ms + LATE_PATIENCE * late_ms
        return not job.may_have_run and self.context.now_ms > patience_ms

    def _start_tasks(self, job, room):
        for task in list(job.waiting_by_name.values()):
            if not room.may_fit(task.spec.need) or self.runs.is_open(task.name):
                continue
            server = self._choose(task, room)
            if server is not None:
                self.runs.start(task, server)
                room.note_start(server)

    def _choose(self, task, room):
        fitting = [
            server
            for server in room.servers
            if server.free.covers(task.spec.need) and room.is_trusted(server)
        ]
        if not fitting:
            room.note_full(task.spec.need)
            return None
        allowed = [s for s in fitting if _is_allowed(task, s)]
        return min(allowed, key=lambda s: self._rank(task, s, room), default=None)

    def _rank(self, task, server, room):
        spec = task.spec
        is_far = bool(spec.data_rack) and spec.data_rack not in server.record.labels
        return (
            server.id in task.avoided_ids,
            server.id in room.suspect_ids,
            is_far,
            server.slowness > SLOW_FACTOR * room.mean_slowness,
            server.free.cpu - spec.need.cpu,
            server.slowness,
        )


class _Room:
    """Open servers of a service during one look, and what they can't hold any more.

    Room only shrinks during a look, so what did not fit once is not tried again.

    :param servers: the open servers.
    :param least_cpu: least that any waiting task needs; what holds less is left out.
    :param suspect_ids: those of the servers that are suspected.
    """

    def __init__(self, servers, least_cpu, suspect_ids):
        self.least_cpu = least_cpu
        self.suspect_ids = suspect_ids
        total = sum(server.slowness for server in servers)
        self.mean_slowness = total / max(1, len(servers))
        self.servers = [
            server
            for server in servers
            if server.clock_offset_ms is not None and server.free.cpu >= least_cpu
        ]
        self._full_cpu = float("inf")

    def is_trusted(self, server):
        """Return whether a server may get one more task.

        Answers the pattern of servers that hang or fail what they start while they
        look sound: one that is suspected gets a single task at a time, as a trial,
        until one ends well.
        """
        return server.id not in self.suspect_ids or server.is_idle

    def note_start(self, server):
        """Leave a server out that a start has filled."""
        if server.free.cpu < self.least_cpu:
            self.servers.remove(server)

    def may_fit(self, need):
        """Return whether it is worth to look for room for a need."""
        return bool(self.servers) and need.cpu < self._full_cpu

    def note_full(self, need):
        """Remember that no server holds a need."""
        largest = max((s.free.cpu for s in self.servers), default=0)
        if need.cpu > largest:
            self._full_cpu = min(self._full_cpu, need.cpu)


def _is_allowed(task, server):
    spec = task.spec
    if spec.required_label and spec.required_label not in server.record.labels:
        return False
    if not spec.max_per_server:
        return True
    n_here = sum(
        run.task is not None and run.task.job is task.job and run.task.step == task.step
        for run in server.run_by_name.values()
    )
    return n_here < spec.max_per_server
