"""From the queue to the servers: which waiting task starts where, and when."""

import collections

import attrs

from ..contracts import AttemptSpec, StartRequest
from ._actions import EventCode, StartAttempts
from ._catalogue import ENTRY_PREFIX, OWNER_PREFIX
from ._jobs import JobPhase, TaskPhase
from ._messages import (
    AttemptsOverdue,
    HedgeDue,
    JobClosed,
    JobEscalationDue,
    JobReady,
    RetryDue,
    SchedulingDue,
    TaskRequeued,
)
from ._servers import Server, ServerHealth

SLOT_RECHECK_MS = 20.0
HEDGE_RETRY_MS = 100.0


@attrs.define(kw_only=True)
class _Plan:
    server: Server = None
    tasks: list = attrs.field(factory=list)


class TaskScheduler:
    """Start waiting tasks while there are slots and limits allow it.

    :param context: the shared :class:`Context`.
    :param attempts: the :class:`AttemptTable`.
    """

    def __init__(self, context=None, attempts=None):
        self.context = context
        self.attempts = attempts
        self._pump_timer = None

    def subscribe(self):
        """Return handlers by message class."""
        return {
            JobReady: self.on_job_ready,
            TaskRequeued: self.on_returned,
            RetryDue: self.on_retry_due,
            HedgeDue: self.on_hedge_due,
            JobEscalationDue: self.on_job_pressed,
            JobClosed: self.on_job_dropped,
            SchedulingDue: self.on_pump_due,
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
        settings = self.context.settings
        if job.n_open_tasks > settings.large_job_tasks:
            delay_ms = settings.press_after * job.request.timeout_ms
            self.context.start_timer(delay_ms, JobEscalationDue(job=job))

    def on_job_pressed(self, message):
        """Let a large job that is late use the slots kept for small ones."""
        job = message.job
        if job.answer is not None:
            return
        job.is_escalated = True
        for task in job.tasks:
            if task.phase is TaskPhase.WAITING:
                self.context.quotas.change_queued(job.quota_keys, -1)
                self.context.queue.drop(job.entry.owner, task)
                self._enqueue(task)

    def on_returned(self, message):
        """Queue a task again, at once or after a delay."""
        task = message.task
        if message.delay_ms > 0:
            task.phase = TaskPhase.DELAYED
            self.context.start_timer(message.delay_ms, RetryDue(task=task))
            return
        task.phase = TaskPhase.WAITING
        self._enqueue(task)

    def on_retry_due(self, message):
        """Queue a delayed task again."""
        task = message.task
        if task.phase is TaskPhase.DELAYED and task.job.answer is None:
            task.phase = TaskPhase.WAITING
            self._enqueue(task)

    def on_hedge_due(self, message):
        """Start a slow repeatable task a second time if there is room."""
        context = self.context
        task = message.attempt.task
        is_running = task.phase is TaskPhase.RUNNING and task.job.answer is None
        is_alone = len(task.list_open_attempts()) == 1 and message.attempt.is_open
        if not (is_running and is_alone):
            return
        if task.n_possible_runs >= task.job.entry.max_attempts:
            return
        server = None
        if not context.queue.n_tasks:
            server = self._find_hedge_server(task, message.attempt.server)
        if server is None or not context.retry.budget.try_take():
            context.start_timer(HEDGE_RETRY_MS, message)
            return
        context.counters.n_hedges += 1
        context.note(EventCode.ATTEMPT_HEDGED, task.job.job_id, task.id)
        self._send(server, [task], is_hedge=True)

    def on_job_dropped(self, message):
        """Take an answered job's tasks off the queue."""
        job = message.job
        for task in job.tasks:
            if task.phase is TaskPhase.WAITING and message.was_queued:
                self.context.quotas.change_queued(job.quota_keys, -1)
                self.context.queue.drop(job.entry.owner, task)
            if task.phase in (TaskPhase.WAITING, TaskPhase.DELAYED):
                task.phase = TaskPhase.DROPPED

    def on_pump_due(self, message):
        """Look for slots again; the pump itself runs after every event."""
        self._pump_timer = None

    def start_waiting_tasks(self):
        """Start waiting tasks while there are slots."""
        context = self.context
        if not context.queue.n_tasks:
            return
        for plan in self._plan():
            self._send(plan.server, plan.tasks)
        if context.queue.n_tasks and self._pump_timer is None:
            self._pump_timer = context.start_timer(SLOT_RECHECK_MS, SchedulingDue())

    def _plan(self):
        context = self.context
        choice = context.placement.start_search(context.now_ms)
        plans_by_id = {}
        planned_by_key = collections.Counter()
        blocked = set()
        subqueue = self._pick_lane(blocked)
        while subqueue is not None:
            task = context.queue.peek(subqueue)
            candidate = choice.find(task)
            if candidate is None or not self._take_quota(task, planned_by_key):
                blocked.add(id(subqueue))
            else:
                self._dequeue(subqueue, task)
                planned_by_key.update(task.job.quota_keys)
                candidate.room.free -= 1
                plan = plans_by_id.setdefault(
                    candidate.server.id, _Plan(server=candidate.server)
                )
                plan.tasks.append(task)
            subqueue = self._pick_lane(blocked)
        return plans_by_id.values()

    def _pick_lane(self, blocked):
        for subqueue in self.context.queue.list_subqueues():
            if (
                id(subqueue) not in blocked
                and self.context.queue.peek(subqueue) is not None
            ):
                return subqueue
        return None

    def _take_quota(self, task, planned_by_key):
        context = self.context
        job = task.job
        owner = context.catalogue.find_owner(job.entry.owner)
        owner_key = OWNER_PREFIX + job.entry.owner
        entry_key = ENTRY_PREFIX + job.request.entry
        is_below_limit = all(
            context.quotas.is_below_limit(
                key, limit, context.now_ms, planned_by_key[key]
            )
            for key, limit in (
                (owner_key, owner.max_running_tasks),
                (entry_key, job.entry.max_running_tasks),
            )
        )
        return (
            is_below_limit
            and context.quotas.take_token(
                owner_key, owner.max_starts_per_s, context.now_ms
            )
            and context.quotas.take_token(
                entry_key, job.entry.max_starts_per_s, context.now_ms
            )
        )

    def _enqueue(self, task):
        context = self.context
        job = task.job
        is_large = job.n_open_tasks > context.settings.large_job_tasks
        task.is_large = is_large and not job.is_escalated
        context.queue.push(job.entry.owner, job.request.entry, task)
        context.quotas.change_queued(job.quota_keys, 1)

    def _dequeue(self, subqueue, task):
        context = self.context
        owner = context.catalogue.find_owner(task.job.entry.owner)
        context.queue.pop(subqueue, owner.weight)
        task.phase = TaskPhase.RUNNING
        context.quotas.change_queued(task.job.quota_keys, -1)

    def _send(self, server, tasks, is_hedge=False):
        context = self.context
        attempts = [self.attempts.make(task, server, is_hedge) for task in tasks]
        if server.health is ServerHealth.EJECTED:
            server.has_trial_task = True
        context.counters.n_starts += len(attempts)
        context.counters.n_start_messages += 1
        specs = tuple(self._make_spec(attempt) for attempt in attempts)
        request = StartRequest(incarnation=server.incarnation, attempts=specs)
        context.emit(StartAttempts(server=server.record, request=request))
        self._watch_overdue(attempts)
        if context.settings.are_hedges_on and not is_hedge:
            self._watch_slow(attempts)

    def _make_spec(self, attempt):
        task = attempt.task
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

    def _watch_overdue(self, attempts):
        settings = self.context.settings
        longest_ms = max(attempt.task.expected_ms for attempt in attempts)
        interval_ms = max(
            settings.overdue_floor_ms, settings.overdue_factor * longest_ms
        )
        message = AttemptsOverdue(attempts=tuple(attempts), interval_ms=interval_ms)
        self.context.start_timer(interval_ms, message)

    def _watch_slow(self, attempts):
        context = self.context
        settings = context.settings
        for attempt in attempts:
            job = attempt.task.job
            if not job.entry.is_repeatable:
                continue
            late_ms = context.run_times.predict_late_ms(
                job.request.entry, attempt.task.spec.run_time_ms, settings.hedge_factor
            )
            delay_ms = max(settings.hedge_floor_ms, late_ms)
            context.start_timer(delay_ms, HedgeDue(attempt=attempt))

    def _find_hedge_server(self, task, slow_server):
        context = self.context
        servers = context.servers
        for tier in (servers.same_zone, servers.other_zones):
            for candidate in context.placement.list_candidates(tier, context.now_ms):
                server = candidate.server
                is_fit = server.health is ServerHealth.OK and server.can_fit(task)
                if server is not slow_server and is_fit and candidate.room.count() > 0:
                    return server
        return None
