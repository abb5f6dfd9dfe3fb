"""Which waiting task starts on which server."""

from ._admission import rank_job
from ._jobs import TaskPhase
from ._peer_messages import EndReason


class Placing:
    """Start waiting tasks while there is room.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param jobs: the :class:`OwnerJobs`.
    :param runs: the :class:`RunBook`.
    :param election: the :class:`Election`.
    """

    def __init__(self, context=None, fleet=None, jobs=None, runs=None, election=None):
        self.context = context
        self.fleet = fleet
        self.jobs = jobs
        self.runs = runs
        self.election = election
        self.is_needed = False

    def request(self, message):
        """Look for work to start once the current messages are handled."""
        self.is_needed = True

    def pump(self):
        """Start what can start now, the most urgent first."""
        if not self.is_needed:
            return
        self.is_needed = False
        if not self.election.is_owner:
            return
        now_ms = self.context.now_ms
        jobs = [job for job in self.jobs.list_open() if self._has_waiting(job)]
        jobs.sort(key=lambda job: rank_job(job, now_ms))
        for job in jobs:
            if self._is_hopeless(job):
                self.jobs.give_up(
                    job,
                    EndReason.OVERLOADED,
                    self.context.settings.min_retry_after_ms,
                )
                continue
            self._start_tasks(job)

    def _has_waiting(self, job):
        return any(task.phase is TaskPhase.WAITING for task in job.tasks)

    def _is_hopeless(self, job):
        is_begun = self.runs.count_open(job) or job.may_have_run
        return not is_begun and (self.context.now_ms + job.chain_ms > job.deadline_ms)

    def _start_tasks(self, job):
        servers = list(self.fleet.iter_open(job.queue.service))
        for task in job.list_waiting():
            if self.runs.is_open(task.name):
                continue
            server = self._choose(task, servers)
            if server is not None:
                self.runs.start(task, server)

    def _choose(self, task, servers):
        fitting = [s for s in servers if self._may_run(task, s)]
        return min(fitting, key=lambda s: self._rank(task, s), default=None)

    def _may_run(self, task, server):
        spec = task.spec
        if not server.free.covers(spec.need) or server.clock_offset_ms is None:
            return False
        if spec.required_label and spec.required_label not in server.record.labels:
            return False
        if not spec.max_per_server:
            return True
        n_here = sum(
            run.task is not None
            and run.task.job is task.job
            and run.task.step == task.step
            for run in server.run_by_name.values()
        )
        return n_here < spec.max_per_server

    def _rank(self, task, server):
        spec = task.spec
        is_far = bool(spec.data_rack) and spec.data_rack not in server.record.labels
        is_suspect = server.suspect_until_ms > self.context.now_ms
        return (
            server.id in task.avoided_ids,
            is_suspect,
            is_far,
            server.free.cpu - spec.need.cpu,
            server.slowness,
        )
