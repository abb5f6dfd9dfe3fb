"""Break-down of the latency of each job by stage."""

import attrs

from ...dispatch import LogCode
from ._records import LatencyStage


@attrs.define(kw_only=True)
class JobTimestamps:
    """When a job entered and left each stage, in milliseconds of the run's clock.

    All but the first are ``None`` until the event has been seen.

    :param sent_ms: when its caller sent it.
    :param queued_ms: when an owner first queued it.
    :param dispatched_ms: when the last of its tasks was first dispatched to a server.
    :param started_ms: when the last of its tasks started to run.
    :param completed_ms: when the last of its tasks completed.
    """

    sent_ms: float = 0.0
    queued_ms: float | None = None
    dispatched_ms: float | None = None
    started_ms: float | None = None
    completed_ms: float | None = None


class StageRecorder:
    """Record the timestamps of jobs and compute the duration of their stages.

    It replaces the oracle as the observer of the servers, and forwards every event to
    it. The world must not have been started.

    :param world: the :class:`~buckthornshift.proving.fleet.FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        self.timestamps_by_job = {}
        self._dispatched_tasks = set()
        world.observer = self
        world.on_log = self.record_log

    def record_sent(self, job_id):
        """Record that a caller sent a job."""
        self.timestamps_by_job[job_id] = JobTimestamps(sent_ms=self.world.clock.now_ms)

    def on_run_started(self, server, run, command):
        """Record that a server started to run a task."""
        self.world.oracle.on_run_started(server, run, command)
        self._get_timestamps(run.task).started_ms = self.world.clock.now_ms

    def on_run_ended(self, server, run, kind):
        """Record how a run of a task ended."""
        self.world.oracle.on_run_ended(server, run, kind)
        if kind == "done":
            self._get_timestamps(run.task).completed_ms = self.world.clock.now_ms

    def on_run_aborted(self, server, run):
        """Record that the process of a server has ended while a run was at work."""
        self.world.oracle.on_run_aborted(server, run)

    def record_log(self, instance, action):
        """Record what a log line of an instance says about a job."""
        now_ms = self.world.clock.now_ms
        match getattr(action, "code", None):
            case LogCode.JOB_QUEUED:
                timestamps = self.timestamps_by_job.get(action.subject)
                if timestamps is not None and timestamps.queued_ms is None:
                    timestamps.queued_ms = now_ms
            case LogCode.TASK_STARTED if action.subject not in self._dispatched_tasks:
                self._dispatched_tasks.add(action.subject)
                self._get_timestamps(action.subject).dispatched_ms = now_ms

    def measure(self, job_id, answered_ms):
        """Return the duration of each stage of a complete job, in milliseconds.

        :param job_id: identifier of the job.
        :param answered_ms: when its caller had the answer.
        """
        timestamps = self.timestamps_by_job[job_id]
        boundaries_ms = (
            timestamps.sent_ms,
            timestamps.queued_ms,
            timestamps.dispatched_ms,
            timestamps.started_ms,
            timestamps.completed_ms,
        )
        stage_ms = {}
        previous_ms = timestamps.sent_ms
        for stage, boundary_ms in zip(
            LatencyStage, (*boundaries_ms[1:], answered_ms), strict=True
        ):
            # A boundary may be missing, or lie before the previous one where a task
            # ran twice: the stage then has no duration.
            end_ms = max(
                previous_ms, previous_ms if boundary_ms is None else boundary_ms
            )
            stage_ms[stage.value] = round(end_ms - previous_ms, 2)
            previous_ms = end_ms
        return stage_ms

    def _get_timestamps(self, task):
        job_id = task.partition(".")[0]
        return self.timestamps_by_job.setdefault(job_id, JobTimestamps())
