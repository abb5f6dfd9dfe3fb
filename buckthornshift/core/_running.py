"""Starts of tasks on backend servers, and what follows their reports."""

from ..contracts import (
    PROVEN_NOT_STARTED,
    AttemptSpec,
    AttemptState,
    StartRequest,
)
from ._actions import (
    CancelAttempts,
    EventCode,
    QueryAttempts,
    StartAttempts,
)
from ._catalogue import ENTRY_PREFIX, OWNER_PREFIX
from ._context import complete_job, fail_job
from ._events import QueryFailed, ServerReported, StartLost, StartNotSent
from ._jobs import Attempt, JobPhase, TaskPhase
from ._messages import (
    AttemptsOverdue,
    CancelsDue,
    HedgeDue,
    JobReady,
    JobSettled,
    ProbeDue,
    PumpDue,
    RetryDue,
)
from ._retry import GiveUp, StartAgain, TaskEnded
from ._servers import ServerHealth

PUMP_RETRY_MS = 20.0
MAX_QUERY_INTERVAL_MS = 8_000.0


class Running:
    """Bring waiting tasks to servers and follow their attempts to the end.

    :param context: the shared :class:`Context`.
    """

    def __init__(self, context=None):
        self.context = context
        self.attempts_by_id = {}
        self._task_by_attempt = {}
        self._cancels_by_server = {}
        self._cancel_timer = None
        self._pump_timer = None
        self._next_attempt = 0

    def subscribe(self):
        """Return handlers by message class."""
        return {
            JobReady: self.on_job_ready,
            ServerReported: self.on_report,
            StartNotSent: self.on_not_sent,
            StartLost: self.on_lost,
            QueryFailed: self.on_query_failed,
            AttemptsOverdue: self.on_overdue,
            HedgeDue: self.on_hedge_due,
            RetryDue: self.on_retry_due,
            PumpDue: self.on_pump_due,
            CancelsDue: self.on_cancels_due,
            ProbeDue: self.on_probe_due,
        }

    def on_job_ready(self, message):
        """Queue the tasks of a job."""
        job = message.job
        if job.phase in (JobPhase.RUNNING, JobPhase.ANSWERED):
            return
        job.phase = JobPhase.RUNNING
        for task in job.tasks:
            if task.phase is TaskPhase.WAITING:
                self._enqueue(task)

    def on_pump_due(self, message):
        """Look for slots again; the pump itself runs after every event."""
        self._pump_timer = None

    def on_report(self, event):
        """Take what a server says of its attempts and its load."""
        context = self.context
        server = context.servers.by_id.get(event.server_id)
        if server is not None and server.incarnation == event.report.incarnation:
            for report in event.report.reports:
                attempt = self.attempts_by_id.get(report.attempt_id)
                if attempt is not None and report.state is not AttemptState.RUNNING:
                    server.attempt_ids.discard(report.attempt_id)
            if context.servers.note_report(server, event.report, context.now_ms):
                context.note(EventCode.SERVER_LEAVING, server.id, "told by itself")
        for report in event.report.reports:
            attempt = self.attempts_by_id.get(report.attempt_id)
            if attempt is not None:
                self._take_report(attempt, report, event.report)

    def on_not_sent(self, event):
        """Queue again what certainly did not start."""
        context = self.context
        server = context.servers.by_id.get(event.server_id)
        if server is not None:
            self._suspect(server, "connection refused")
        for attempt_id in event.attempt_ids:
            attempt = self.attempts_by_id.get(attempt_id)
            if attempt is not None:
                self._close_attempt(attempt)
                attempt.is_proven_unstarted = True
                self._follow(attempt, StartAgain())

    def on_lost(self, event):
        """Ask about attempts whose connection ended without a result."""
        context = self.context
        attempts = [
            self.attempts_by_id[attempt_id]
            for attempt_id in event.attempt_ids
            if attempt_id in self.attempts_by_id
        ]
        if not attempts:
            return
        for attempt in attempts:
            attempt.is_lost = True
        context.counters.n_lost += len(attempts)
        context.note(EventCode.ATTEMPT_LOST, event.server_id, f"{len(attempts)}")
        self._query(attempts)

    def on_query_failed(self, event):
        """Suspect a server that does not answer questions."""
        context = self.context
        server = context.servers.by_id.get(event.server_id)
        if server is None:
            self.lose_attempts_of(event.server_id)
            return
        self._suspect(server, "no answer")
        if server.n_unanswered < context.settings.n_lost_queries:
            return
        if server.is_listed:
            self._give_up_repeatable(server)
        else:
            self.lose_attempts_of(server.id, server.incarnation)

    def on_overdue(self, message):
        """Ask about attempts that take longer than expected."""
        attempts = [a for a in message.attempts if a.attempt_id in self.attempts_by_id]
        if not attempts:
            return
        self._query(attempts)
        interval_ms = min(MAX_QUERY_INTERVAL_MS, message.interval_ms * 2)
        self._watch(attempts, interval_ms)

    def on_hedge_due(self, message):
        """Start a slow repeatable task a second time if there is room."""
        context = self.context
        attempt = message.attempt
        task = self._task_by_attempt.get(attempt.attempt_id)
        if task is None or task.phase is not TaskPhase.RUNNING:
            return
        is_wanted = len(task.list_open()) == 1 and task.job.answer is None
        if not is_wanted or context.queue.n_tasks:
            return
        if task.n_runs >= task.job.entry.max_attempts:
            return
        server = self._find_hedge_server(task, attempt)
        if server is None or not context.retry.budget.take():
            return
        context.counters.n_hedges += 1
        context.note(EventCode.ATTEMPT_HEDGED, task.job.job_id, task.id)
        self._send_starts(server, [task], is_hedge=True)

    def on_retry_due(self, message):
        """Queue a delayed task again."""
        task = message.task
        if task.phase is TaskPhase.DELAYED and task.job.answer is None:
            task.phase = TaskPhase.WAITING
            self._enqueue(task)

    def on_cancels_due(self, message):
        """Send the cancellations gathered by server."""
        context = self.context
        self._cancel_timer = None
        for server, attempt_ids in self._cancels_by_server.values():
            context.counters.n_cancels += 1
            context.emit(
                CancelAttempts(server=server.record, attempt_ids=tuple(attempt_ids))
            )
        self._cancels_by_server = {}

    def on_probe_due(self, message):
        """Probe a suspected server until it answers or is gone."""
        context = self.context
        server = message.server
        is_current = context.servers.by_id.get(server.id) is server
        if not is_current or server.health is not ServerHealth.SUSPECT:
            return
        self._emit_query(server, tuple(server.attempt_ids))
        context.start_timer(context.settings.probe_interval_ms, ProbeDue(server=server))

    def drop_job(self, job):
        """Take an answered job's tasks off the queue and free their slots.

        :param job: the job.
        """
        is_queued = job.phase is JobPhase.RUNNING
        for task in job.tasks:
            if task.phase is TaskPhase.WAITING and is_queued:
                self.context.quotas.change_queued(job.limited_keys, -1)
                self.context.queue.drop(job.entry.owner, task)
            if task.phase in (TaskPhase.WAITING, TaskPhase.DELAYED):
                task.phase = TaskPhase.DROPPED
            if job.entry.is_repeatable:
                for attempt in task.list_open():
                    self._cancel_attempt(attempt)

    def adopt_attempt(self, task, server, attempt_id):
        """Follow an attempt that a former home had started.

        :param task: the task.
        :param server: the server that runs it.
        :param attempt_id: the attempt's identifier.
        """
        attempt = Attempt(
            attempt_id=attempt_id,
            server=server,
            sent_ms=self.context.now_ms,
            is_lost=True,
        )
        task.phase = TaskPhase.RUNNING
        self._register(attempt, task)
        self._watch([attempt], self.context.settings.overdue_floor_ms / 4)

    def end_task(self, task, output):
        """Record a task's result; the last one completes the job.

        :param task: the task.
        :param output: the result.
        """
        if task.phase is TaskPhase.ENDED:
            return
        task.phase = TaskPhase.ENDED
        task.output = output
        task.job.n_open_tasks -= 1

    def lose_attempts_of(self, server_id, incarnation=None):
        """Close the attempts of a server process that no longer exists.

        :param server_id: the server.
        :param incarnation: its process, or ``None`` for any.
        """
        for attempt in list(self.attempts_by_id.values()):
            is_its = attempt.server.id == server_id
            if is_its and incarnation in (None, attempt.server.incarnation):
                self._conclude_unknown(attempt)

    def pump(self):
        """Start waiting tasks while there are slots."""
        context = self.context
        if not context.queue.n_tasks:
            return
        for server, tasks in self._plan_starts():
            self._send_starts(server, tasks, is_hedge=False)
        if context.queue.n_tasks and self._pump_timer is None:
            self._pump_timer = context.start_timer(PUMP_RETRY_MS, PumpDue())

    def _plan_starts(self):
        context = self.context
        candidates = context.placement.list_candidates(context.now_ms)
        tasks_by_id = {}
        blocked = set()
        while True:
            lane = self._pick_lane(blocked)
            if lane is None:
                break
            task = context.queue.peek(lane)
            candidate = context.placement.find_fitting(candidates, task)
            if candidate is None or not self._take_quota(task):
                blocked.add(id(lane))
                continue
            self._dequeue(lane, task)
            candidate.room.free -= 1
            tasks_by_id.setdefault(candidate.server.id, []).append(task)
        by_id = context.servers.by_id
        return [(by_id[server_id], tasks) for server_id, tasks in tasks_by_id.items()]

    def _pick_lane(self, blocked):
        for lane in self.context.queue.list_lanes():
            if id(lane) not in blocked and self.context.queue.peek(lane) is not None:
                return lane
        return None

    def _take_quota(self, task):
        context = self.context
        job = task.job
        owner = context.catalogue.find_owner(job.entry.owner)
        owner_key = OWNER_PREFIX + job.entry.owner
        entry_key = ENTRY_PREFIX + job.request.entry
        limits = (
            (owner_key, owner.max_running_tasks),
            (entry_key, job.entry.max_running_tasks),
        )
        for key, limit in limits:
            if limit > 0:
                n_running = context.quotas.running_by_key.get(key, 0)
                share = context.quotas.compute_share(key, limit, context.now_ms)
                if n_running >= share:
                    return False
        rates = (
            (owner_key, owner.max_starts_per_s),
            (entry_key, job.entry.max_starts_per_s),
        )
        return all(
            context.quotas.take_token(key, rate, context.now_ms)
            for key, rate in rates
            if rate > 0
        )

    def _enqueue(self, task):
        context = self.context
        job = task.job
        task.is_large = job.n_open_tasks > context.settings.large_job_tasks
        context.queue.push(job.entry.owner, job.request.entry, task)
        context.quotas.change_queued(job.limited_keys, 1)

    def _dequeue(self, lane, task):
        context = self.context
        owner = context.catalogue.find_owner(task.job.entry.owner)
        context.queue.pop(lane, owner.weight)
        task.phase = TaskPhase.RUNNING
        context.quotas.change_queued(task.job.limited_keys, -1)

    def _send_starts(self, server, tasks, is_hedge):
        context = self.context
        attempts = [self._make_attempt(server, task, is_hedge) for task in tasks]
        specs = [
            self._make_spec(attempt, task)
            for attempt, task in zip(attempts, tasks, strict=True)
        ]
        if server.health is ServerHealth.EJECTED:
            server.is_on_trial = True
        context.counters.n_starts += len(specs)
        context.counters.n_start_messages += 1
        context.emit(
            StartAttempts(
                server=server.record,
                request=StartRequest(
                    incarnation=server.incarnation, attempts=tuple(specs)
                ),
            )
        )
        self._watch_starts(attempts, tasks)

    def _make_attempt(self, server, task, is_hedge):
        context = self.context
        context.monitor.check_start(task.job, task, server, context.now_ms)
        if not task.attempts:
            context.retry.budget.note_start()
        self._next_attempt += 1
        attempt = Attempt(
            attempt_id=f"{context.identity.incarnation}-{self._next_attempt:x}",
            server=server,
            sent_ms=context.now_ms,
            is_hedge=is_hedge,
        )
        self._register(attempt, task)
        return attempt

    def _register(self, attempt, task):
        task.attempts.append(attempt)
        self.attempts_by_id[attempt.attempt_id] = attempt
        self._task_by_attempt[attempt.attempt_id] = task
        attempt.server.attempt_ids.add(attempt.attempt_id)
        self.context.quotas.change_running(task.job.limited_keys, 1)
        self.context.work_in_flight_ms += task.expected_ms

    def _make_spec(self, attempt, task):
        job = task.job
        return AttemptSpec(
            attempt_id=attempt.attempt_id,
            job_id=job.job_id,
            task_id=task.id,
            term=job.term,
            payload=task.spec.payload,
            timeout_ms=max(1, int(job.deadline_ms - self.context.now_ms)),
            cores=task.spec.cores,
            memory_mb=task.spec.memory_mb,
        )

    def _watch_starts(self, attempts, tasks):
        context = self.context
        settings = context.settings
        longest_ms = max(task.expected_ms for task in tasks)
        interval_ms = max(
            settings.overdue_floor_ms, settings.overdue_factor * longest_ms
        )
        self._watch(attempts, interval_ms)
        if not settings.are_hedges_on:
            return
        for attempt, task in zip(attempts, tasks, strict=True):
            if task.job.entry.is_repeatable and not attempt.is_hedge:
                late_ms = context.run_times.expect_late_ms(
                    task.job.request.entry,
                    task.spec.run_time_ms,
                    settings.hedge_factor,
                )
                delay_ms = max(settings.hedge_floor_ms, late_ms)
                context.start_timer(delay_ms, HedgeDue(attempt=attempt))

    def _watch(self, attempts, interval_ms):
        self.context.start_timer(
            interval_ms,
            AttemptsOverdue(attempts=tuple(attempts), interval_ms=interval_ms),
        )

    def _take_report(self, attempt, report, server_report):
        context = self.context
        task = self._task_by_attempt[attempt.attempt_id]
        is_same_process = server_report.incarnation == attempt.server.incarnation
        state = report.state
        if not is_same_process and state is not AttemptState.WRONG_INCARNATION:
            self._conclude_unknown(attempt)
            return
        if state is AttemptState.UNKNOWN:
            self._fence_attempt(attempt)
            return
        if state is AttemptState.RUNNING:
            return
        self._note_server(attempt, task, state, report)
        self._close_attempt(attempt)
        attempt.is_proven_unstarted = state in PROVEN_NOT_STARTED
        if task.phase is not TaskPhase.RUNNING or task.job.answer is not None:
            self._task_by_attempt.pop(attempt.attempt_id)
            return
        decision = context.retry.decide(state, task.job.entry, task)
        if isinstance(decision, TaskEnded):
            self._task_by_attempt.pop(attempt.attempt_id)
            self._finish_task(task, report.output)
            return
        self._follow(attempt, decision)

    def _note_server(self, attempt, task, state, report):
        context = self.context
        server = attempt.server
        match state:
            case AttemptState.OK:
                context.servers.note_success(server)
                context.run_times.note(
                    task.job.request.entry, task.spec.run_time_ms, report.run_ms
                )
            case AttemptState.FAILED:
                if context.servers.note_failure(server, context.now_ms):
                    context.note(EventCode.SERVER_EJECTED, server.id)
            case AttemptState.BUSY:
                context.counters.n_busy += 1
                context.servers.note_busy(server, context.now_ms)
            case AttemptState.LEAVING:
                server.is_leaving = True
            case AttemptState.WRONG_INCARNATION:
                server.busy_until_ms = (
                    context.now_ms + context.settings.probe_interval_ms
                )

    def _finish_task(self, task, output):
        self.end_task(task, output)
        for other in task.list_open():
            self._cancel_attempt(other)
        job = task.job
        if job.n_open_tasks == 0:
            self.context.post(JobSettled(job=job, answer=complete_job(job)))

    def _follow(self, attempt, decision):
        task = self._task_by_attempt.pop(attempt.attempt_id, None)
        if task is None or task.job.answer is not None:
            return
        if task.phase is not TaskPhase.RUNNING or task.list_open():
            return
        match decision:
            case StartAgain(delay_ms=delay_ms, is_retry=is_retry):
                self._start_again(task, delay_ms, is_retry)
            case GiveUp(reason=reason):
                answer = fail_job(task.job, reason, f"task {task.id!r}")
                self.context.post(JobSettled(job=task.job, answer=answer))

    def _start_again(self, task, delay_ms, is_retry):
        context = self.context
        if is_retry:
            context.counters.n_retries += 1
            context.note(EventCode.ATTEMPT_RETRIED, task.job.job_id, task.id)
        if delay_ms > 0:
            task.phase = TaskPhase.DELAYED
            context.start_timer(delay_ms, RetryDue(task=task))
            return
        task.phase = TaskPhase.WAITING
        self._enqueue(task)

    def _close_attempt(self, attempt):
        if not attempt.is_open:
            return
        attempt.is_open = False
        self.attempts_by_id.pop(attempt.attempt_id, None)
        attempt.server.attempt_ids.discard(attempt.attempt_id)
        task = self._task_by_attempt[attempt.attempt_id]
        self.context.quotas.change_running(task.job.limited_keys, -1)
        self.context.work_in_flight_ms = max(
            0.0, self.context.work_in_flight_ms - task.expected_ms
        )

    def _conclude_unknown(self, attempt):
        context = self.context
        task = self._task_by_attempt.get(attempt.attempt_id)
        if task is None or not attempt.is_open:
            return
        self._close_attempt(attempt)
        if task.phase is not TaskPhase.RUNNING or task.job.answer is not None:
            self._task_by_attempt.pop(attempt.attempt_id)
            return
        decision = context.retry.decide(AttemptState.UNKNOWN, task.job.entry, task)
        self._follow(attempt, decision)

    def _give_up_repeatable(self, server):
        for attempt_id in list(server.attempt_ids):
            attempt = self.attempts_by_id.get(attempt_id)
            task = self._task_by_attempt.get(attempt_id)
            if attempt is not None and task.job.entry.is_repeatable:
                self._conclude_unknown(attempt)

    def _fence_attempt(self, attempt):
        attempt.is_fence_sent = True
        self._gather_cancel(attempt)

    def _cancel_attempt(self, attempt):
        if not attempt.is_fence_sent:
            attempt.is_fence_sent = True
            self._gather_cancel(attempt)

    def _gather_cancel(self, attempt):
        context = self.context
        server = attempt.server
        gathered = self._cancels_by_server.setdefault(id(server), (server, []))
        gathered[1].append(attempt.attempt_id)
        if self._cancel_timer is None:
            self._cancel_timer = context.start_timer(
                context.settings.cancel_window_ms, CancelsDue()
            )

    def _query(self, attempts):
        by_server = {}
        for attempt in attempts:
            by_server.setdefault(id(attempt.server), []).append(attempt)
        for group in by_server.values():
            ids = tuple(attempt.attempt_id for attempt in group)
            self._emit_query(group[0].server, ids)

    def _emit_query(self, server, attempt_ids):
        self.context.counters.n_queries += 1
        self.context.emit(QueryAttempts(server=server.record, attempt_ids=attempt_ids))

    def _suspect(self, server, detail):
        context = self.context
        if context.servers.note_unreachable(server):
            context.note(EventCode.SERVER_SUSPECTED, server.id, detail)
            context.start_timer(
                context.settings.probe_interval_ms, ProbeDue(server=server)
            )

    def _find_hedge_server(self, task, attempt):
        context = self.context
        for candidate in context.placement.list_candidates(context.now_ms):
            server = candidate.server
            is_other = server is not attempt.server
            is_fit = server.health is ServerHealth.OK and server.can_hold(task)
            if is_other and is_fit and candidate.room.count() > 0:
                return server
        return None
