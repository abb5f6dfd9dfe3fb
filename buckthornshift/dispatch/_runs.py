"""Runs on servers: started, stopped, resolved, ended."""

from ._actions import LogCode, StartRun, StopRun
from ._adaptive_timeout import AdaptiveTimeout
from ._events import EndKind, StartAnswered, StopAnswered, Verdict
from ._internal_messages import (
    HousekeepingDue,
    InputDrained,
    RunReleased,
    ServersChanged,
    StartOverdue,
    StopRetryDue,
)
from ._jobs import Run, RunPhase, TaskPhase
from ._peer_messages import EndReason

# Steps over numbers of runs that a server has seen from a former owner.
OLD_RUN_STEP = 16
# Failures in a row that make a server suspect; a task's own fault moves on with it.
SUSPECT_AFTER_FAILURES = 2
# Weight of the newest run in a server's measured slowness.
SLOWNESS_GAIN = 0.2


class RunTracker:
    """Every run that may hold room on a server.

    A run that was ordered holds its room until the server lists its end, or until a
    listing that is younger than an acknowledged stop does not show it. So an order
    that is carried out late never meets a full server.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param jobs: the :class:`OwnerJobs`.
    """

    def __init__(self, context=None, fleet=None, jobs=None):
        self.context = context
        self.fleet = fleet
        self.jobs = jobs
        self.lease_manager = None
        self.patience = AdaptiveTimeout(max_ms=context.settings.call_timeout_ms)
        self._open_by_name = {}
        self._done_by_name = {}
        self._lost_server_by_name = {}
        self._overdue = []
        jobs.runs = self

    def subscribe(self):
        """Return handlers by message class."""
        return {
            StartAnswered: self.on_start_answered,
            StartOverdue: self.on_start_overdue,
            InputDrained: self.on_input_drained,
            StopAnswered: self.on_stop_answered,
            StopRetryDue: self.on_stop_retry,
            HousekeepingDue: self.on_housekeeping,
        }

    @property
    def has_overdue_starts(self):
        """Whether overdue starts wait to be judged."""
        return bool(self._overdue)

    @property
    def n_open(self):
        """Number of runs that hold room."""
        return len(self._open_by_name)

    def is_open(self, name):
        """Return whether a run of a task may exist."""
        return name in self._open_by_name or name in self._lost_server_by_name

    def count_open(self, job):
        """Return how many runs of a job may exist."""
        return sum(task.name in self._open_by_name for task in job.tasks)

    def start(self, task, server):
        """Order a server to start a task."""
        context = self.context
        task.job.set_phase(task, TaskPhase.PLACED)
        task.last_run_number += 1
        run = Run(
            task=task,
            name=task.name,
            number=task.last_run_number,
            server_id=server.id,
            need=task.spec.need,
            sent_ms=context.now_ms,
            progress_changed_ms=context.now_ms,
        )
        self._add(server, run)
        task.job.n_runs_started += 1
        context.counters.n_starts += 1
        context.log(
            LogCode.TASK_STARTED,
            task.name,
            server=server.id,
            run=run.number,
            free_cpu=server.free.cpu,
            waited_ms=round(context.now_ms - task.job.arrived_ms, 1),
        )
        context.emit(
            StartRun(
                server=server.record,
                token=server.token,
                task=task.name,
                run=run.number,
                payload=task.job.spec.payload,
                lease_end_ms=self.lease_manager.grant_lease(server),
            )
        )
        context.start_timer(
            self.patience.get_timeout_ms(),
            StartOverdue(server_id=server.id, task=task.name, run=run.number),
        )

    def stop(self, server, run):
        """Order a server to stop a run."""
        context = self.context
        if run.phase is not RunPhase.STOPPING:
            context.log(
                LogCode.TASK_STOPPED, run.name, server=server.id, run=run.number
            )
        run.phase = RunPhase.STOPPING
        context.counters.n_stops += 1
        context.emit(
            StopRun(
                server=server.record, token=server.token, task=run.name, run=run.number
            )
        )

    def stop_job(self, job):
        """Stop every run of a job."""
        for task in job.tasks:
            server, run = self._open_by_name.get(task.name, (None, None))
            if run is not None and run.phase is RunPhase.RUNNING:
                self.stop(server, run)

    def on_start_answered(self, event):
        """Take what a server said to a start order."""
        server, run = self._find(event)
        if run is None:
            return
        if event.clock_ms is not None:
            server.update_clock_offset(event.clock_ms, self.context.now_ms)
            server.last_response_ms = self.context.now_ms
            # An answer that came too late counts most: without it the wait would
            # never grow, and a busy process would stop all that it starts.
            self.patience.note(self.context.now_ms - run.sent_ms)
        if run.phase is RunPhase.STOPPING:
            return
        match event.verdict:
            case Verdict.DONE:
                self._note_running(server, run)
            case Verdict.NO_ANSWER:
                self._note_unanswered(server, run)
            case _:
                self._note_rejected(server, run, event.verdict)

    def on_start_overdue(self, message):
        """Remember a start whose answer is overdue."""
        self._overdue.append(message)

    def on_input_drained(self, message):
        """Stop starts whose answer is overdue, so that they can go elsewhere.

        Answers the pattern of orders that are carried out late: the stop bars the
        run, and the task starts on another server once that is acknowledged. An
        answer that waits in a socket of a busy process is read first.
        """
        overdue, self._overdue = self._overdue, []
        for late in overdue:
            server, run = self._find(late)
            if run is not None and run.phase is RunPhase.STARTING:
                self._note_unanswered(server, run)

    def on_stop_answered(self, event):
        """Take what a server said to a stop order."""
        context = self.context
        server, run = self._find(event)
        if run is None or run.phase is not RunPhase.STOPPING:
            return
        match event.verdict:
            case Verdict.DONE:
                run.stop_acked_ms = context.now_ms
                self.lease_manager.poll_now(server)
            case Verdict.FENCED:
                self.lease_manager.mark_fenced(server)
            case _:
                context.start_timer(
                    context.settings.retry_ms,
                    StopRetryDue(server_id=server.id, task=run.name, run=run.number),
                )

    def on_stop_retry(self, message):
        """Order a stop again that was not acknowledged."""
        server, run = self._find(message)
        if run is not None and run.stop_acked_ms is None:
            self.stop(server, run)

    def on_housekeeping(self, message):
        """Stop tasks that stand still; forget old ends."""
        context = self.context
        for server, run in list(self._open_by_name.values()):
            stalled_ms = context.now_ms - run.progress_changed_ms
            is_stalled = stalled_ms > self._choose_stall_patience(run)
            if run.phase is RunPhase.RUNNING and run.task is not None and is_stalled:
                context.log(
                    LogCode.TASK_STALLED,
                    run.name,
                    server=server.id,
                    percent=run.percent,
                    stalled_ms=round(stalled_ms),
                )
                self._suspect(server, "stalled")
                run.task.avoided_ids.add(server.id)
                self.stop(server, run)
        oldest_ms = context.now_ms - context.settings.ended_kept_ms
        for name in list(self._done_by_name):
            if self._done_by_name[name] > oldest_ms:
                break
            del self._done_by_name[name]

    def reconcile_running(self, server, event):
        """Compare what a server lists as running with what it was ordered."""
        context = self.context
        listed_by_name = {running.task: running for running in event.running}
        for run in list(server.run_by_name.values()):
            running = listed_by_name.get(run.name)
            if running is not None and running.run == run.number:
                self._note_progress(run, running)
            elif self._is_proven_gone(run, event):
                context.log(LogCode.RUN_RESOLVED, run.name, server=server.id)
                self._remove(server, run)
                self._put_back(run)
        for running in event.running:
            if running.task not in server.run_by_name:
                self._stop_stray(server, running)

    def record_end(self, server, ended):
        """Take one end that a server lists."""
        context = self.context
        run = server.run_by_name.get(ended.task)
        context.log(
            LogCode.TASK_ENDED,
            ended.task,
            server=server.id,
            run=ended.run,
            kind=ended.kind,
            **_describe_run(run, context.now_ms),
        )
        if run is None or run.number != ended.run:
            if ended.kind is EndKind.DONE:
                self._done_by_name[ended.task] = context.now_ms
            return
        self._remove(server, run)
        if run.task is None:
            if ended.kind is EndKind.DONE:
                self._done_by_name[ended.task] = context.now_ms
            return
        self._finish(server, run, ended.kind)

    def drop_all(self, server, kind):
        """Give up the runs of a server.

        :param server: the server.
        :param kind: how they ended; ``None`` if another owner decides.
        """
        for run in list(server.run_by_name.values()):
            self._remove(server, run)
            if kind is None:
                self._lost_server_by_name[run.name] = server.id
            if run.task is None:
                continue
            if kind is None:
                run.task.job.set_phase(run.task, TaskPhase.WAITING)
                self.jobs.return_job(run.task.job)
            else:
                self._finish(server, run, kind)

    def clear_lost(self, server_id):
        """Take note that what was lost with a server is listed or gone by now."""
        for name, lost_id in list(self._lost_server_by_name.items()):
            if lost_id == server_id:
                del self._lost_server_by_name[name]

    def adopt_if_job_known(self, server, run):
        """Join a run found at a takeover with its job, if that is here."""
        self._open_by_name[run.name] = (server, run)
        job = self.jobs.by_id.get(run.name.partition(".")[0])
        if job is not None and not job.is_ended:
            self._adopt(job, server, run)

    def adopt_runs_of(self, job):
        """Join a job of a former owner with what was found of it on the servers."""
        for task in job.tasks:
            if task.phase is not TaskPhase.WAITING:
                continue
            if task.name in self._done_by_name:
                if job.finish_task(task):
                    self.jobs.complete(job)
                    return
                continue
            server, run = self._open_by_name.get(task.name, (None, None))
            if run is not None:
                self._adopt(job, server, run)

    def _adopt(self, job, server, run):
        task = next((t for t in job.tasks if t.name == run.name), None)
        is_free = task is not None and task.phase is TaskPhase.WAITING
        if not is_free or run.task is not None or run.phase is not RunPhase.RUNNING:
            return
        run.task = task
        task.job.set_phase(task, TaskPhase.PLACED)
        task.last_run_number = run.number
        server.set_run_need(run, task.spec.need)
        self.context.counters.n_adopted += 1
        self.context.log(
            LogCode.JOB_ADOPTED, task.name, server=server.id, percent=run.percent
        )
        self.context.post(ServersChanged())

    def _is_proven_gone(self, run, event):
        if run.stop_acked_ms is None or event.sent_ms < run.stop_acked_ms:
            return False
        return not any(ended.task == run.name for ended in event.ended)

    def _find(self, event):
        server = self.fleet.by_id.get(event.server_id)
        if server is None:
            return None, None
        run = server.run_by_name.get(event.task)
        if run is None or run.number != event.run:
            return server, None
        return server, run

    def _add(self, server, run):
        server.add_run(run)
        self._open_by_name[run.name] = (server, run)

    def _remove(self, server, run):
        server.remove_run(run)
        if self._open_by_name.get(run.name, (None, None))[1] is run:
            del self._open_by_name[run.name]
        self.context.post(RunReleased(job_id=run.name.partition(".")[0]))

    def _note_running(self, server, run):
        run.phase = RunPhase.RUNNING
        if run.task.job.is_ended:
            self.stop(server, run)
            return
        self.lease_manager.renew_lease(server)

    def _note_progress(self, run, running):
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        if running.percent != run.percent:
            run.percent = running.percent
            run.progress_changed_ms = self.context.now_ms

    def _note_unanswered(self, server, run):
        context = self.context
        context.counters.n_unanswered += 1
        context.log(
            LogCode.START_UNANSWERED, run.name, server=server.id, run=run.number
        )
        silent_ms = context.now_ms - server.last_response_ms
        if silent_ms > context.settings.call_timeout_ms:
            self._suspect(server, "silent")
        run.task.avoided_ids.add(server.id)
        self.stop(server, run)

    def _note_rejected(self, server, run, verdict):
        context = self.context
        task = run.task
        context.counters.n_rejected += 1
        context.log(LogCode.START_REJECTED, run.name, server=server.id, verdict=verdict)
        if verdict is Verdict.FENCED:
            self.lease_manager.mark_fenced(server)
            return
        task.job.n_runs_started -= 1
        self._remove(server, run)
        match verdict:
            case Verdict.OLD_RUN:
                task.last_run_number += OLD_RUN_STEP
            case Verdict.NO_ROOM | Verdict.UNHEALTHY | Verdict.NOT_SENT:
                task.avoided_ids.add(server.id)
                self._suspect(server, verdict)
            case Verdict.REJECTED:
                task.n_failures = task.job.queue.max_attempts
        self._put_back(run)
        if verdict is Verdict.REJECTED and not task.job.is_ended:
            self.jobs.fail(task.job, EndReason.ATTEMPTS_USED_UP)

    def _finish(self, server, run, kind):
        task = run.task
        job = task.job
        match kind:
            case EndKind.DONE:
                self._learn(server, run)
                if job.finish_task(task) and not job.is_ended:
                    self.jobs.complete(job)
            case EndKind.FAILED:
                self._count_failure(server, task)
                self._put_back(run)
                if task.n_failures >= job.queue.max_attempts and not job.is_ended:
                    self.jobs.fail(job, EndReason.ATTEMPTS_USED_UP)
            case _:
                self._put_back(run)

    def _put_back(self, run):
        if run.task is not None and run.task.phase is TaskPhase.PLACED:
            run.task.job.set_phase(run.task, TaskPhase.WAITING)

    def _learn(self, server, run):
        server.n_failures = 0
        server.suspect_until_ms = 0.0
        estimate_ms = run.task.spec.estimate_ms
        actual_ms = self.context.now_ms - run.sent_ms
        queue = run.task.job.queue
        self.jobs.duration_estimator.note(queue.name, estimate_ms, actual_ms)
        if estimate_ms > 0:
            ratio = actual_ms / estimate_ms
            server.slowness += SLOWNESS_GAIN * (ratio - server.slowness)

    def _count_failure(self, server, task):
        task.n_failures += 1
        task.avoided_ids.add(server.id)
        server.n_failures += 1
        if server.n_failures >= SUSPECT_AFTER_FAILURES:
            self._suspect(server, "failing")

    def _suspect(self, server, cause):
        context = self.context
        until_ms = context.now_ms + context.settings.suspect_ms
        if server.suspect_until_ms < context.now_ms:
            context.log(LogCode.SERVER_SUSPECTED, server.id, cause=cause)
        server.suspect_until_ms = until_ms

    def _stop_stray(self, server, running):
        run = Run(
            name=running.task,
            number=running.run,
            server_id=server.id,
            phase=RunPhase.RUNNING,
        )
        self._add(server, run)
        self.stop(server, run)

    def _choose_stall_patience(self, run):
        # A renewal shows progress only every so often, and whole percents only.
        settings = self.context.settings
        percent_ms = run.task.spec.estimate_ms / 100.0 if run.task is not None else 0.0
        return settings.stalled_after_ms + 4.0 * percent_ms


def _describe_run(run, now_ms):
    if run is None or run.task is None:
        return {}
    return {
        "after_ms": round(now_ms - run.sent_ms, 1),
        "estimate_ms": run.task.spec.estimate_ms,
    }
