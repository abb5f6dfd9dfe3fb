"""Runs that former owners of the servers started, and their adoption by their jobs."""

import attrs

from ._actions import LogCode
from ._internal_messages import ServersChanged
from ._jobs import RunPhase, TaskPhase
from ._peer_messages import RunLeft
from ._server import Ownership

# Longest time that a caller waits, where it isn't known.
MAX_CALLER_WAIT_MS = 60_000.0


@attrs.frozen(kw_only=True)
class _LostRun:
    """A run at a server that another instance may own, which may have its job.

    :param left: its :class:`RunLeft`.
    :param until_ms: when no caller can wait for it there any more, so that it has been
        stopped if it hasn't ended.
    """

    left: RunLeft = RunLeft()
    until_ms: float = 0.0


class RunAdoption:
    """Know which runs of former owners may go on, and assign them to their jobs.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param jobs: the :class:`OwnerJobs`.
    :param runs: the :class:`RunTracker`.
    :param completions: the :class:`CompletionHistory`.
    """

    def __init__(
        self, context=None, fleet=None, jobs=None, runs=None, completions=None
    ):
        self.context = context
        self.fleet = fleet
        self.jobs = jobs
        self.runs = runs
        self.completions = completions
        # The :class:`_LostRun` of each task, by name; for runs that a former owner
        # handed over, :class:`RunLeft`, when that was, and when their leases expire.
        self._lost_run_by_name = {}
        self._left_run_by_name = {}

    def may_run(self, name):
        """Return whether a run of a task may go on that is not tracked here.

        :param name: name of the task.
        """
        lost = self._lost_run_by_name.get(name)
        if lost is not None and not self._is_over(lost):
            return True
        _, _, until_ms = self._left_run_by_name.get(name, (None, 0.0, 0.0))
        return self.context.now_ms < until_ms

    def record_lost(self, run):
        """Record that a run goes on at a server that another instance may own now.

        That instance has found it by the end of its takeover, and stops it unless the
        job was submitted there as well.
        """
        wait_ms = MAX_CALLER_WAIT_MS
        if run.task is not None:
            job = run.task.job
            wait_ms = min(wait_ms, job.deadline_ms - job.arrived_ms)
        takeover_ms = self.context.settings.rival_takeover_ms
        self._lost_run_by_name[run.name] = _LostRun(
            left=_make_run_left(run),
            until_ms=self.context.now_ms + takeover_ms + wait_ms,
        )

    def clear_lost(self, server_id):
        """Forget the runs that were lost with a server.

        Called once the server has reported its runs again, or its process is gone. A
        server that is only removed from the fleet may go on with them.
        """
        for name, lost in list(self._lost_run_by_name.items()):
            if lost.left.server_id == server_id:
                del self._lost_run_by_name[name]
        self.clear_left(server_id, self.context.now_ms)

    def clear_left(self, server_id, asked_ms):
        """Forget runs of a former owner that a server was asked about since then.

        :param server_id: id of the server.
        :param asked_ms: when the request was sent that the server has answered.
        """
        for name, (left, since_ms, _) in list(self._left_run_by_name.items()):
            if left.server_id == server_id and asked_ms >= since_ms:
                del self._left_run_by_name[name]

    def clear_former(self, server):
        """Forget the runs that a former incarnation of a server listed.

        A run that no response listed may have been started on the present one.

        :param server: the :class:`Server`, which has restarted.
        """
        for name, lost in list(self._lost_run_by_name.items()):
            left = lost.left
            if left.server_id == server.id and server.is_former(left.started_ms):
                del self._lost_run_by_name[name]
        for name, (left, _, _) in list(self._left_run_by_name.items()):
            if left.server_id == server.id and server.is_former(left.started_ms):
                del self._left_run_by_name[name]

    def list_left(self, job):
        """Return a :class:`RunLeft` of each run of a job that may not have ended."""
        now_ms = self.context.now_ms
        left_by_name = {
            name: attrs.evolve(lost.left, left_ms=max(0.0, lost.until_ms - now_ms))
            for name, lost in self._lost_run_by_name.items()
            if not self._is_over(lost)
        }
        for name, (left, _, until_ms) in self._left_run_by_name.items():
            left_by_name[name] = attrs.evolve(left, left_ms=max(0.0, until_ms - now_ms))
        for task in job.tasks:
            _, run = self.runs.find_open(task.name)
            if run is not None:
                left_by_name[task.name] = _make_run_left(run)
        return tuple(
            left_by_name[task.name] for task in job.tasks if task.name in left_by_name
        )

    def adopt_if_job_known(self, server, run):
        """Assign a run found at a takeover to its job, if that is known."""
        job = self.jobs.by_id.get(run.name.partition(".")[0])
        if job is not None and not job.is_ended:
            self._adopt(job, server, run)

    def adopt_runs_of(self, job, message):
        """Assign a former owner's runs and completed tasks to their resent job.

        :param job: the job.
        :param message: its :class:`SubmitJob`.
        """
        now_ms = self.context.now_ms
        for left in message.runs_left:
            server = self.fleet.by_id.get(left.server_id)
            if server is not None and server.is_former(left.started_ms):
                continue
            until_ms = now_ms + max(message.runs_left_ms, left.left_ms)
            self._left_run_by_name[left.task] = (left, now_ms, until_ms)
            if server is not None and server.ownership is Ownership.OWNED:
                # The former owner may have taken it unnoticed, so it is asked again.
                self.runs.lease_manager.poll_now(server)
        if job.finish_known(self.completions.list_known(job.job_id)):
            self.jobs.complete(job)
            return
        for task in job.tasks:
            server, run = self.runs.find_open(task.name)
            if run is not None:
                self._adopt(job, server, run)

    def record_completion(self, name):
        """Record that a task whose run a former owner started is done.

        Its job may have been resubmitted already, or may be later.

        :param name: name of the task.
        """
        self.runs.crash_history.clear_task(name)
        job_id = name.partition(".")[0]
        if not self.jobs.finish_known(job_id, {name}):
            self.completions.record(job_id, {name})

    def remove_expired(self):
        """Forget runs that must have ended."""
        for name, lost in list(self._lost_run_by_name.items()):
            if self._is_over(lost):
                del self._lost_run_by_name[name]
        now_ms = self.context.now_ms
        for name, (_, _, until_ms) in list(self._left_run_by_name.items()):
            if now_ms >= until_ms:
                del self._left_run_by_name[name]

    def _is_over(self, lost):
        """Return whether a run at a server that is not known any more has ended.

        A server that is known lists its runs once it is claimed again.
        """
        is_known = lost.left.server_id in self.fleet.by_id
        return not is_known and self.context.now_ms >= lost.until_ms

    def _adopt(self, job, server, run):
        task = next((t for t in job.tasks if t.name == run.name), None)
        is_free = task is not None and task.phase is TaskPhase.WAITING
        if not is_free or run.task is not None or run.phase is not RunPhase.RUNNING:
            return
        run.task = task
        job.is_resent = True
        task.job.set_phase(task, TaskPhase.PLACED)
        task.last_run_number = run.number
        server.set_run_need(run, task.spec.need)
        self.context.counters.n_adopted += 1
        self.context.log(
            LogCode.JOB_ADOPTED, task.name, server=server.id, percent=run.percent
        )
        if not server.has_run_without_job:
            self.runs.lease_manager.extend_lease(server)
        self.context.post(ServersChanged())


def _make_run_left(run):
    return RunLeft(
        task=run.name, server_id=run.server_id, started_ms=run.listed_started_ms
    )
