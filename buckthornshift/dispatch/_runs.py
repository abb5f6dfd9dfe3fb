"""Life cycle of runs: starting, stopping and reconciling them with the servers."""

from ._actions import LogCode, StartRun, StopRun
from ._adaptive_timeout import AdaptiveTimeout
from ._events import EndKind, StartAnswered, StopAnswered, Verdict
from ._internal_messages import (
    HousekeepingDue,
    InputDrained,
    RunReleased,
    StartOverdue,
    StopRetryDue,
)
from ._jobs import Run, RunPhase, TaskPhase
from ._peer_messages import EndReason
from ._run_adoption import RunAdoption

# Added to a task's run number when a server has already seen a higher one, which a
# former owner assigned.
RUN_NUMBER_STEP = 16
# Consecutive failures that make a server suspect. One failure isn't enough: if the
# task is at fault, it fails on the next server too.
SUSPECT_AFTER_FAILURES = 2
# Weight of the latest run in the moving average of a server's slowness.
SLOWNESS_GAIN = 0.2


class RunTracker:
    """Track every run that may occupy capacity on a server.

    The resources of a run stay reserved from its start command until the server
    reports that the run ended, or until a report requested after an acknowledged stop
    no longer lists it. A start command that the server executes late therefore still
    finds its resources free.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param jobs: the :class:`OwnerJobs`.
    :param crash_history: the :class:`CrashHistory`.
    :param server_speeds: the :class:`ServerSpeeds`.
    :param completions: the :class:`CompletionHistory`.
    """

    def __init__(
        self,
        context=None,
        fleet=None,
        jobs=None,
        crash_history=None,
        server_speeds=None,
        completions=None,
    ):
        self.context = context
        self.fleet = fleet
        self.jobs = jobs
        self.crash_history = crash_history
        self.server_speeds = server_speeds
        self.lease_manager = None
        self.incarnations = None
        self.start_timeout = AdaptiveTimeout(max_ms=context.settings.call_timeout_ms)
        self._open_runs_by_name = {}
        self._overdue_starts = []
        self.adoption = RunAdoption(
            context=context, fleet=fleet, jobs=jobs, runs=self, completions=completions
        )
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
        """Whether start timeouts have fired that are not handled yet."""
        return bool(self._overdue_starts)

    @property
    def n_open(self):
        """Number of runs whose resources are reserved."""
        return len(self._open_runs_by_name)

    def is_open(self, name):
        """Return whether some run of a task may still exist on a server.

        :param name: name of the task.
        """
        return name in self._open_runs_by_name or self.adoption.may_run(name)

    def find_open(self, name):
        """Return the server and the open run of a task; both ``None`` without one."""
        return self._open_runs_by_name.get(name, (None, None))

    def count_open(self, job):
        """Return how many runs of a job may still exist on servers."""
        return sum(task.name in self._open_runs_by_name for task in job.tasks)

    def start(self, task, server):
        """Send a start command for a task and reserve its resources."""
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
            is_isolated=self.crash_history.is_suspect(task.name),
        )
        self._open_run(server, run)
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
            self.start_timeout.get_timeout_ms(),
            StartOverdue(server_id=server.id, task=task.name, run=run.number),
        )

    def stop(self, server, run):
        """Send a stop command for a run; its resources stay reserved."""
        context = self.context
        if run.phase is not RunPhase.STOPPING:
            context.log(
                LogCode.TASK_STOPPED, run.name, server=server.id, run=run.number
            )
        run.phase = RunPhase.STOPPING
        run.stop_sent_ms = context.now_ms
        context.counters.n_stops += 1
        context.emit(
            StopRun(
                server=server.record, token=server.token, task=run.name, run=run.number
            )
        )

    def stop_job(self, job):
        """Stop every run of a job that is known to be running."""
        for task in job.tasks:
            server, run = self._open_runs_by_name.get(task.name, (None, None))
            if run is not None and run.phase is RunPhase.RUNNING:
                self.stop(server, run)

    def on_start_answered(self, event):
        """Handle a server's response to a start command."""
        server, run = self._find_run(event)
        if run is None:
            return
        if event.clock_ms is not None:
            # A response to a start sent before a restart was noticed may be that of the
            # former incarnation, which had another clock.
            noticed_ms = server.restart_noticed_ms
            if noticed_ms is None or run.sent_ms > noticed_ms:
                server.update_clock_offset(event.clock_ms, self.context.now_ms)
            server.last_response_ms = self.context.now_ms
            server.forget_close(run.sent_ms)
            # Late responses are sampled too: without them the timeout would never
            # grow, and a busy process would stop every run that it starts.
            self.start_timeout.add_sample(self.context.now_ms - run.sent_ms)
        if event.verdict in (Verdict.CLOSED, Verdict.REFUSED):
            now_ms = self.context.now_ms
            server.note_failed_call(event.verdict, run.sent_ms, now_ms)
        if run.phase is RunPhase.STOPPING:
            return
        match event.verdict:
            case Verdict.DONE:
                self._mark_running(server, run)
            case Verdict.NO_ANSWER | Verdict.CLOSED:
                self._handle_unanswered_start(server, run)
            case _:
                self._handle_rejected_start(server, run, event.verdict)

    def on_start_overdue(self, message):
        """Queue a start whose response is overdue until all input has been read."""
        self._overdue_starts.append(message)

    def on_input_drained(self, message):
        """Stop starts without a response in time, so that their tasks run elsewhere.

        A server may execute an unanswered start command seconds later. The stop
        command prevents that, and the task starts on another server once the stop is
        acknowledged. This runs after all input has been read, so that a response
        that waits in a socket of a busy process isn't taken for a missing one.
        """
        overdue_starts, self._overdue_starts = self._overdue_starts, []
        for overdue_start in overdue_starts:
            server, run = self._find_run(overdue_start)
            if run is not None and run.phase is RunPhase.STARTING:
                self._handle_unanswered_start(server, run)

    def on_stop_answered(self, event):
        """Handle a server's response to a stop command."""
        context = self.context
        server, run = self._find_run(event)
        if run is None or run.phase is not RunPhase.STOPPING:
            return
        if event.clock_ms is not None:
            server.forget_close(run.stop_sent_ms)
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
        """Repeat a stop command that was not acknowledged."""
        server, run = self._find_run(message)
        if run is not None and run.stop_acked_ms is None:
            self.stop(server, run)

    def on_housekeeping(self, message):
        """Stop stalled runs and forget what is known of old runs."""
        context = self.context
        for server, run in list(self._open_runs_by_name.values()):
            stalled_ms = context.now_ms - run.progress_changed_ms
            is_stalled = stalled_ms > self._compute_stall_timeout_ms(run)
            if run.phase is RunPhase.RUNNING and run.task is not None and is_stalled:
                context.log(
                    LogCode.TASK_STALLED,
                    run.name,
                    server=server.id,
                    percent=run.percent,
                    stalled_ms=round(stalled_ms),
                )
                self._mark_suspect(server, "stalled")
                run.task.avoided_server_ids.add(server.id)
                self.stop(server, run)
        self.adoption.remove_expired()

    def reconcile_running(self, server, event):
        """Reconcile the runs that a server reports with those that are tracked.

        Updates progress, closes runs that are confirmed to have ended, and stops runs
        that are not tracked.

        :param server: the :class:`Server`.
        :param event: its :class:`RenewalAnswered`.
        """
        context = self.context
        self.adoption.clear_left(server.id, event.sent_ms)
        self.incarnations.resolve_runs(server, event)
        listed_by_name = {running.task: running for running in event.running}
        for run in list(server.run_by_name.values()):
            running = listed_by_name.get(run.name)
            if running is not None and running.run == run.number:
                self._update_progress(server, run, running)
            elif self._is_confirmed_ended(run, event):
                context.log(LogCode.RUN_RESOLVED, run.name, server=server.id)
                self.incarnations.record_barred(server, run)
                self.close_run(server, run)
                self.requeue_task(run)
        for running in event.running:
            if running.task not in server.run_by_name:
                self._stop_orphan(server, running)

    def record_end(self, server, ended):
        """Record the end of a run that a server reports.

        :param server: the :class:`Server`.
        :param ended: the :class:`EndedTask`.
        """
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
                self.adoption.record_completion(ended.task)
            return
        self.close_run(server, run)
        if run.task is None:
            if ended.kind is EndKind.DONE:
                self.adoption.record_completion(ended.task)
            return
        self._handle_end(server, run, ended.kind)

    def close_run(self, server, run):
        """Release the resources of a run that no longer exists."""
        server.remove_run(run)
        if self._open_runs_by_name.get(run.name, (None, None))[1] is run:
            del self._open_runs_by_name[run.name]
        self.context.post(RunReleased(job_id=run.name.partition(".")[0]))

    def requeue_task(self, run):
        """Let the task of a closed run wait for a server again."""
        task = run.task
        if task is None or task.phase is not TaskPhase.PLACED:
            return
        if not task.is_known_done or task.job.is_ended:
            task.job.set_phase(task, TaskPhase.WAITING)
        elif task.job.finish_task(task):
            self.jobs.complete(task.job)

    def leave_to_next_owner(self, server):
        """Stop tracking the runs of a server that another instance may own now."""
        for run in list(server.run_by_name.values()):
            self.close_run(server, run)
            self.adoption.record_lost(run)
            if run.task is not None:
                run.task.job.set_phase(run.task, TaskPhase.WAITING)
                self.jobs.return_job(run.task.job)

    def track_found(self, server, run):
        """Track a run that a former owner started, found at a takeover."""
        server.add_run(run)
        self._open_runs_by_name[run.name] = (server, run)
        self.adoption.adopt_if_job_known(server, run)

    def leave_behind(self, server):
        """Stop tracking the runs of a server, which the next owner adopts."""
        for run in list(server.run_by_name.values()):
            self.close_run(server, run)

    def _is_confirmed_ended(self, run, event):
        if run.stop_acked_ms is None or event.sent_ms < run.stop_acked_ms:
            return False
        return not any(ended.task == run.name for ended in event.ended)

    def _find_run(self, event):
        server = self.fleet.by_id.get(event.server_id)
        if server is None:
            return None, None
        run = server.run_by_name.get(event.task)
        if run is None or run.number != event.run:
            return server, None
        return server, run

    def _open_run(self, server, run):
        server.add_run(run)
        self._open_runs_by_name[run.name] = (server, run)

    def _mark_running(self, server, run):
        run.phase = RunPhase.RUNNING
        self._confirm_running(run)
        if run.task.job.is_ended:
            self.stop(server, run)
            return
        self.lease_manager.renew_lease(server)

    def _confirm_running(self, run):
        if run.confirmed_ms is None:
            run.confirmed_ms = self.context.now_ms

    def _update_progress(self, server, run, running):
        self._confirm_running(run)
        run.listed_started_ms = server.started_ms
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        if running.percent != run.percent:
            run.percent = running.percent
            run.progress_changed_ms = self.context.now_ms

    def _handle_unanswered_start(self, server, run):
        context = self.context
        context.counters.n_unanswered += 1
        context.log(
            LogCode.START_UNANSWERED, run.name, server=server.id, run=run.number
        )
        silent_ms = context.now_ms - server.last_response_ms
        if silent_ms > context.settings.call_timeout_ms:
            self._mark_suspect(server, "silent")
        run.task.avoided_server_ids.add(server.id)
        self.stop(server, run)

    def _handle_rejected_start(self, server, run, verdict):
        context = self.context
        task = run.task
        context.counters.n_rejected += 1
        context.log(LogCode.START_REJECTED, run.name, server=server.id, verdict=verdict)
        if verdict is Verdict.FENCED:
            self.lease_manager.mark_fenced(server)
            return
        task.job.n_runs_started -= 1
        self.close_run(server, run)
        match verdict:
            case Verdict.OLD_RUN:
                task.last_run_number += RUN_NUMBER_STEP
            case (
                Verdict.NO_ROOM | Verdict.UNHEALTHY | Verdict.NOT_SENT | Verdict.REFUSED
            ):
                task.avoided_server_ids.add(server.id)
                self._mark_suspect(server, verdict)
        self.requeue_task(run)
        if verdict is Verdict.REJECTED and not task.job.is_ended:
            # Other servers would find the start invalid as well.
            self.jobs.end_early(task.job, EndReason.UNSUPPORTED)

    def _handle_end(self, server, run, kind):
        task = run.task
        job = task.job
        match kind:
            case EndKind.DONE:
                self._record_success(server, run)
                if job.is_ended:
                    self.adoption.record_completion(task.name)
                if job.finish_task(task) and not job.is_ended:
                    self.jobs.complete(job)
            case EndKind.FAILED:
                task = self.jobs.find_current(task)
                job = task.job
                self._record_failure(server, task)
                self.requeue_task(run)
                is_used_up = task.n_failures >= job.queue.max_attempts
                if is_used_up and not task.is_known_done and self.jobs.can_fail(job):
                    self.jobs.fail(job, task)
            case _:
                self.requeue_task(run)

    def _record_success(self, server, run):
        server.n_failures = 0
        server.suspect_until_ms = 0.0
        self.crash_history.clear_task(run.name)
        if run.is_found:
            # Its start is not known.
            return
        estimate_ms = run.task.spec.estimate_ms
        actual_ms = self.context.now_ms - run.sent_ms
        queue = run.task.job.queue
        self.jobs.duration_estimator.add_sample(queue.name, estimate_ms, actual_ms)
        if estimate_ms > 0:
            ratio = actual_ms / estimate_ms
            server.slowness += SLOWNESS_GAIN * (ratio - server.slowness)
        self.server_speeds.record_run(server, run, actual_ms)

    def _record_failure(self, server, task):
        task.n_failures += 1
        task.avoided_server_ids.add(server.id)
        server.n_failures += 1
        if server.n_failures >= SUSPECT_AFTER_FAILURES:
            self._mark_suspect(server, "failing")

    def _mark_suspect(self, server, cause):
        context = self.context
        until_ms = context.now_ms + context.settings.suspect_ms
        if server.suspect_until_ms < context.now_ms:
            context.log(LogCode.SERVER_SUSPECTED, server.id, cause=cause)
        server.suspect_until_ms = until_ms

    def _stop_orphan(self, server, running):
        run = Run(
            name=running.task,
            number=running.run,
            server_id=server.id,
            phase=RunPhase.RUNNING,
            confirmed_ms=self.context.now_ms,
            listed_started_ms=server.started_ms,
        )
        self._open_run(server, run)
        self.stop(server, run)

    def _compute_stall_timeout_ms(self, run):
        # Progress is reported only with lease renewals and in whole percents, so that
        # the timeout must grow with the time that a percent takes.
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
