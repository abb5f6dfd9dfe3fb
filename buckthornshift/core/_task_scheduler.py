"""Scheduling of queued tasks onto backend servers, within slots and quotas."""

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
class _StartBatch:
    server: Server = None
    tasks: list = attrs.field(factory=list)


class TaskScheduler:
    """Start queued tasks on backend servers while slots and quotas allow it.

    :param context: the shared :class:`Context`.
    :param attempts: the :class:`AttemptTable`.
    """

    def __init__(self, context=None, attempts=None):
        self.context = context
        self.attempts = attempts
        self._recheck_timer = None

    def subscribe(self):
        """Return handlers by message class."""
        return {
            JobReady: self.on_job_ready,
            TaskRequeued: self.on_task_requeued,
            RetryDue: self.on_retry_due,
            HedgeDue: self.on_hedge_due,
            JobEscalationDue: self.on_escalation_due,
            JobClosed: self.on_job_closed,
            SchedulingDue: self.on_scheduling_due,
        }

    def on_job_ready(self, message):
        """Queue the waiting tasks of a job that may start now."""
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

    def on_escalation_due(self, message):
        """Queue a late large job as a small one, to use the reserved slots too."""
        job = message.job
        if job.answer is not None:
            return
        job.is_escalated = True
        for task in job.tasks:
            if task.phase is TaskPhase.WAITING:
                self.context.quotas.change_queued(job.quota_keys, -1)
                self.context.queue.drop(job.entry.owner, task)
                self._enqueue(task)

    def on_task_requeued(self, message):
        """Queue a task for another attempt, at once or after a delay."""
        task = message.task
        if message.delay_ms > 0:
            task.phase = TaskPhase.DELAYED
            self.context.start_timer(message.delay_ms, RetryDue(task=task))
            return
        task.phase = TaskPhase.WAITING
        self._enqueue(task)

    def on_retry_due(self, message):
        """Queue a task whose retry delay is over, unless its job is answered."""
        task = message.task
        if task.phase is TaskPhase.DELAYED and task.job.answer is None:
            task.phase = TaskPhase.WAITING
            self._enqueue(task)

    def on_hedge_due(self, message):
        """Hedge a slow repeatable task if a server and the retry budget allow it.

        Waiting tasks come first: nothing is hedged while the queue holds any.
        """
        context = self.context
        task = message.attempt.task
        is_running = task.phase is TaskPhase.RUNNING and task.job.answer is None
        is_only_attempt = (
            len(task.list_open_attempts()) == 1 and message.attempt.is_open
        )
        if not (is_running and is_only_attempt):
            return
        if task.n_possible_runs >= task.job.entry.max_attempts:
            return
        server = None
        if not context.queue.n_tasks:
            server = self._find_hedge_server(task, message.attempt.server)
        if server is None or not context.retry.budget.try_withdraw():
            context.start_timer(HEDGE_RETRY_MS, message)
            return
        context.counters.n_hedges += 1
        context.log(EventCode.ATTEMPT_HEDGED, task.job.job_id, task.id)
        self._start_attempts(server, [task], is_hedge=True)

    def on_job_closed(self, message):
        """Remove the tasks of an answered job from the queue."""
        job = message.job
        for task in job.tasks:
            if task.phase is TaskPhase.WAITING and message.was_queued:
                self.context.quotas.change_queued(job.quota_keys, -1)
                self.context.queue.drop(job.entry.owner, task)
            if task.phase in (TaskPhase.WAITING, TaskPhase.DELAYED):
                task.phase = TaskPhase.DROPPED

    def on_scheduling_due(self, message):
        """Clear the timer; :meth:`start_waiting_tasks` follows every event anyway."""
        self._recheck_timer = None

    def start_waiting_tasks(self):
        """Start as many waiting tasks as slots and quotas allow.

        Tasks for the same server leave in one message. If some are left waiting, a
        timer leads to another try, as estimates of free slots change with time.
        """
        context = self.context
        if not context.queue.n_tasks:
            return
        for batch in self._assign_waiting_tasks():
            self._start_attempts(batch.server, batch.tasks)
        if context.queue.n_tasks and self._recheck_timer is None:
            self._recheck_timer = context.start_timer(SLOT_RECHECK_MS, SchedulingDue())

    def _assign_waiting_tasks(self):
        context = self.context
        search = context.placement.start_search(context.now_ms)
        batches_by_server_id = {}
        n_planned_by_key = collections.Counter()
        blocked_ids = set()
        subqueue = self._pick_subqueue(blocked_ids)
        while subqueue is not None:
            task = context.queue.peek(subqueue)
            candidate = search.find(task)
            if candidate is None or not self._acquire_quotas(task, n_planned_by_key):
                blocked_ids.add(id(subqueue))
            else:
                self._dequeue(subqueue, task)
                n_planned_by_key.update(task.job.quota_keys)
                candidate.free_slots.expected -= 1
                batch = batches_by_server_id.setdefault(
                    candidate.server.id, _StartBatch(server=candidate.server)
                )
                batch.tasks.append(task)
            subqueue = self._pick_subqueue(blocked_ids)
        return batches_by_server_id.values()

    def _pick_subqueue(self, blocked_ids):
        for subqueue in self.context.queue.list_subqueues():
            if (
                id(subqueue) not in blocked_ids
                and self.context.queue.peek(subqueue) is not None
            ):
                return subqueue
        return None

    def _acquire_quotas(self, task, n_planned_by_key):
        context = self.context
        job = task.job
        owner = context.catalogue.find_owner(job.entry.owner)
        owner_key = OWNER_PREFIX + job.entry.owner
        entry_key = ENTRY_PREFIX + job.request.entry
        is_below_limit = all(
            context.quotas.is_below_limit(
                key, limit, context.now_ms, n_planned_by_key[key]
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

    def _start_attempts(self, server, tasks, is_hedge=False):
        context = self.context
        attempts = [self.attempts.create(task, server, is_hedge) for task in tasks]
        if server.health is ServerHealth.EJECTED:
            server.has_trial_task = True
        context.counters.n_starts += len(attempts)
        context.counters.n_start_messages += 1
        specs = tuple(self._make_spec(attempt) for attempt in attempts)
        request = StartRequest(incarnation=server.incarnation, attempts=specs)
        context.emit(StartAttempts(server=server.record, request=request))
        self._schedule_overdue_check(attempts)
        if context.settings.are_hedges_on and not is_hedge:
            self._schedule_hedges(attempts)

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

    def _schedule_overdue_check(self, attempts):
        settings = self.context.settings
        longest_ms = max(attempt.task.expected_ms for attempt in attempts)
        interval_ms = max(
            settings.overdue_floor_ms, settings.overdue_factor * longest_ms
        )
        message = AttemptsOverdue(attempts=tuple(attempts), interval_ms=interval_ms)
        self.context.start_timer(interval_ms, message)

    def _schedule_hedges(self, attempts):
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
        for server_group in (servers.same_zone, servers.other_zones):
            for candidate in context.placement.list_candidates(
                server_group, context.now_ms
            ):
                server = candidate.server
                is_suitable = server.health is ServerHealth.OK and server.can_fit(task)
                if (
                    server is not slow_server
                    and is_suitable
                    and candidate.free_slots.count_startable() > 0
                ):
                    return server
        return None
