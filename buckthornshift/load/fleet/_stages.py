"""Where the time of each job went, from what instances and servers report."""

import attrs

from ...dispatch import LogCode
from ._records import LatencyStage


@attrs.define(kw_only=True)
class JobTimestamps:
    """Moments of a job, in milliseconds of the run's clock.

    :param sent: when its caller sent it.
    :param queued: when an owner took it.
    :param ordered: when the last of its tasks was first ordered.
    :param begun: when the last of its tasks began.
    :param ended: when the last of its tasks ended well.
    """

    sent: float = 0.0
    queued: float | None = None
    ordered: float | None = None
    begun: float | None = None
    ended: float | None = None


class StageRecorder:
    """Note the moments of jobs, and turn them into stages.

    It observes the servers of a world that has not started, and tells the oracle of
    everything.

    :param world: the :class:`~buckthornshift.proving.fleet.FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        self.by_job = {}
        self._ordered_tasks = set()
        world.observer = self
        world.on_log = self.record_log

    def record_sent(self, job_id):
        """Note that a caller sent a job."""
        self.by_job[job_id] = JobTimestamps(sent=self.world.clock.now_ms)

    def note_begin(self, server, run, order):
        """Note that a server began a task."""
        self.world.oracle.note_begin(server, run, order)
        self._find(run.task).begun = self.world.clock.now_ms

    def note_end(self, server, run, kind):
        """Note how a run ended."""
        self.world.oracle.note_end(server, run, kind)
        if kind == "done":
            self._find(run.task).ended = self.world.clock.now_ms

    def record_log(self, node, action):
        """Note what an instance logs about a job."""
        now_ms = self.world.clock.now_ms
        match getattr(action, "code", None):
            case LogCode.JOB_QUEUED:
                times = self.by_job.get(action.subject)
                if times is not None and times.queued is None:
                    times.queued = now_ms
            case LogCode.TASK_STARTED if action.subject not in self._ordered_tasks:
                self._ordered_tasks.add(action.subject)
                self._find(action.subject).ordered = now_ms

    def measure(self, job_id, answered_ms):
        """Return the time of each stage of a complete job.

        :param job_id: the job.
        :param answered_ms: when its caller had the answer.
        """
        times = self.by_job[job_id]
        moments = (times.sent, times.queued, times.ordered, times.begun, times.ended)
        stage_ms = {}
        former_ms = times.sent
        for stage, moment_ms in zip(
            LatencyStage, (*moments[1:], answered_ms), strict=True
        ):
            # A task that ran twice begins after its job was ordered whole.
            next_ms = max(former_ms, former_ms if moment_ms is None else moment_ms)
            stage_ms[stage.value] = round(next_ms - former_ms, 2)
            former_ms = next_ms
        return stage_ms

    def _find(self, task):
        job_id = task.partition(".")[0]
        return self.by_job.setdefault(job_id, JobTimestamps())
