"""Simulated callers: they submit jobs, submit again, and sometimes disconnect."""

import attrs

from ...dispatch import (
    CallerDisconnected,
    EndReason,
    JobArrived,
    JobSpec,
    Outcome,
    Resources,
    StepSpec,
)

RESUBMIT_DELAY_MS = 1_300.0
# Long enough for a task to crash five servers.
CRASHING_JOB_TIMEOUT_MS = 8_000.0
# Crashed servers must be back before the final batch.
MAX_CRASH_EFFECT_MS = CRASHING_JOB_TIMEOUT_MS + 3_500.0
POISON_PROBABILITY = 0.01
# A fault lasts up to 4 s, and a job submitted before its end takes up to another 4 s.
FINAL_BATCH_DELAY_MS = 8_000.0
FINAL_BATCH_TIMEOUT_MS = 3_000.0
# Time between the last deadline of a run and its end, for the answer to arrive.
ANSWER_MARGIN_MS = 500.0


@attrs.frozen(kw_only=True)
class JobKind:
    """A kind of job that users of the system submit.

    :param weight: relative frequency.
    :param run_ms: mean run time of a task.
    :param mean_n_tasks: mean number of tasks.
    """

    weight: float = 1.0
    run_ms: float = 100.0
    mean_n_tasks: int = 2


JOB_KINDS = (
    JobKind(weight=0.24, run_ms=60.0, mean_n_tasks=8),
    JobKind(weight=0.06, run_ms=900.0, mean_n_tasks=4),
    JobKind(weight=0.70, run_ms=200.0, mean_n_tasks=2),
)

# Small enough that any healthy server completes them in time.
FINAL_BATCH_STEPS = (
    StepSpec(n_tasks=1, need=Resources(cpu=1_000, memory_mb=64), estimate_ms=50.0),
)


@attrs.frozen(kw_only=True)
class Request:
    """A request that waits for its answer.

    :param submission: job, queue, timeout in ms, whether it belongs to the final
        batch, and the number of the try, from 1.
    """

    submission: tuple = ()


class FleetCallers:
    """Submit the jobs of a run and retry those that end without a definite answer.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        self.disconnect_probability = 0.0
        self.rate_factor = 1.0
        self.crash_probability = 0.0
        self._crashing_tasks = set()
        self._next_ref = 0
        self._n_jobs = 0
        self._run_by_task = {}
        world.on_answer = self._on_answer
        world.on_lost_request = self._on_lost_request
        world.plan_run = self._plan_run
        world.crashes_server = self._crashing_tasks.__contains__

    def start(self):
        """Schedule the jobs of the busy time and a final batch after the faults."""
        world = self.world
        world.clock.schedule(1_500.0, self._submit_next)
        final_batch_ms = world.plan.busy_ms + FINAL_BATCH_DELAY_MS
        for index in range(12):
            world.clock.schedule(final_batch_ms + 20.0 * index, self._submit_new, True)

    def _submit_next(self):
        world = self.world
        if world.clock.now_ms > world.plan.busy_ms:
            return
        self._submit_new(False)
        rate_per_ms = world.plan.jobs_per_s * self.rate_factor / 1_000.0
        delay_ms = world.random_state.expovariate(rate_per_ms)
        world.clock.schedule(delay_ms, self._submit_next)

    def _submit_new(self, is_final_batch):
        random_state = self.world.random_state
        kind = random_state.choices(JOB_KINDS, [k.weight for k in JOB_KINDS])[0]
        queue = random_state.choice(self.world.store.configuration.queues)
        self._n_jobs += 1
        job_id = f"{self._n_jobs:016x}"
        mean_ms = kind.run_ms * random_state.uniform(0.6, 1.6)
        job = JobSpec(
            job_id=job_id,
            payload=f"text of {job_id}",
            steps=self._draw_steps(kind, mean_ms)
            if not is_final_batch
            else FINAL_BATCH_STEPS,
        )
        chain_ms = job.compute_critical_path_ms()
        timeout_ms = (
            FINAL_BATCH_TIMEOUT_MS if is_final_batch else 300.0 + 3.0 * chain_ms
        )
        if self._may_crash_servers() and random_state.random() < self.crash_probability:
            self._crashing_tasks.add(job.make_task_name(0, 0))
            timeout_ms = CRASHING_JOB_TIMEOUT_MS
        if not is_final_batch and self._may_last_long():
            job = self._lengthen(job)
            timeout_ms = self.world.plan.long_job_timeout_ms
        self._submit(job, queue, timeout_ms, is_final_batch, 1)

    def _may_last_long(self):
        """Draw whether a job gets long tasks, if it ends before the final batch."""
        plan = self.world.plan
        final_batch_ms = plan.busy_ms + FINAL_BATCH_DELAY_MS
        is_early = self.world.clock.now_ms + plan.long_job_timeout_ms < final_batch_ms
        return (
            is_early
            and plan.long_job_share > 0.0
            and self.world.random_state.random() < plan.long_job_share
        )

    def _lengthen(self, job):
        steps = tuple(
            attrs.evolve(step, n_tasks=1, estimate_ms=self.world.plan.long_run_ms)
            for step in job.steps
        )
        return attrs.evolve(job, steps=steps)

    def _may_crash_servers(self):
        final_batch_ms = self.world.plan.busy_ms + FINAL_BATCH_DELAY_MS
        end_ms = self.world.clock.now_ms + MAX_CRASH_EFFECT_MS
        return self.crash_probability > 0 and end_ms < final_batch_ms

    def _draw_steps(self, kind, mean_ms):
        random_state = self.world.random_state
        label = random_state.choice(("", "", "", "a"))
        n_tasks = max(
            1, int(random_state.gauss(kind.mean_n_tasks, 0.4 * kind.mean_n_tasks))
        )
        need = Resources(cpu=random_state.randint(5_000, 9_000), memory_mb=64)
        first = StepSpec(
            n_tasks=n_tasks, need=need, estimate_ms=mean_ms, required_label=label
        )
        if random_state.random() < 0.9:
            return (first,)
        second = StepSpec(n_tasks=1, need=need, estimate_ms=mean_ms, after=(0,))
        return (first, second)

    def _plan_run(self, task):
        """Return run time in ms and whether the task fails, the same for every run."""
        if task not in self._run_by_task:
            random_state = self.world.random_state
            step = self.world.oracle.find_step(task)
            duration_ms = step.estimate_ms * random_state.uniform(0.6, 1.4)
            is_poison = random_state.random() < POISON_PROBABILITY
            self._run_by_task[task] = (duration_ms, is_poison)
        return self._run_by_task[task]

    def _submit(self, job, queue, timeout_ms, is_final_batch, try_number):
        world = self.world
        instance = self._pick_instance()
        if instance is None:
            world.clock.schedule(
                200.0, self._submit, job, queue, timeout_ms, is_final_batch, try_number
            )
            return
        world.clock.schedule(
            world.plan.client_delay_ms,
            self._on_arrival,
            instance,
            instance.key,
            (job, queue, timeout_ms, is_final_batch, try_number),
        )

    def _on_arrival(self, instance, key, submission):
        world = self.world
        job, queue, timeout_ms, is_final_batch, _ = submission
        if instance.core is None or instance.key != key:
            self._submit(*submission)
            return
        self._next_ref += 1
        ref = self._next_ref
        world.oracle.record_request(job, queue, is_final_batch)
        instance.callers[ref] = Request(submission=submission)
        event = JobArrived(caller_ref=ref, job=job, queue=queue, timeout_ms=timeout_ms)
        world.deliver(instance, key, event)
        if (
            not is_final_batch
            and world.random_state.random() < self.disconnect_probability
        ):
            delay_ms = world.random_state.uniform(1.0, 0.5 * timeout_ms)
            world.clock.schedule(delay_ms, self._disconnect, instance, key, ref, job)

    def _disconnect(self, instance, key, ref, job):
        if instance.core is None or instance.key != key or ref not in instance.callers:
            return
        instance.callers.pop(ref)
        self.world.oracle.record_lost_request(job)
        self.world.deliver(instance, key, CallerDisconnected(caller_ref=ref))

    def reset_connections(self, instance):
        """Reset the connections of an instance's callers, which submit again later."""
        callers, instance.callers = instance.callers, {}
        for ref, request in callers.items():
            self._on_lost_request(request)
            disconnected = CallerDisconnected(caller_ref=ref)
            self.world.deliver(instance, instance.key, disconnected)

    def _on_lost_request(self, request):
        self.world.oracle.record_lost_request(request.submission[0])
        self._resubmit(request)

    def _on_answer(self, instance, action):
        request = instance.callers.pop(action.caller_ref, None)
        if request is None:
            return
        self.world.oracle.record_answer(request.submission[0], action)
        is_retryable = action.outcome is Outcome.FAILED and action.reason not in (
            EndReason.ATTEMPTS_USED_UP,
            EndReason.DEADLINE,
        )
        is_final_batch = request.submission[3]
        if is_retryable or (is_final_batch and action.outcome is Outcome.NOT_RUN):
            self._resubmit(request)

    def _resubmit(self, request):
        job, queue, timeout_ms, is_final_batch, try_number = request.submission
        plan = self.world.plan
        end_ms = self.world.clock.now_ms + RESUBMIT_DELAY_MS + timeout_ms
        if try_number < 4 and end_ms < plan.busy_ms + plan.settle_ms - ANSWER_MARGIN_MS:
            self.world.clock.schedule(
                RESUBMIT_DELAY_MS,
                self._submit,
                job,
                queue,
                timeout_ms,
                is_final_batch,
                try_number + 1,
            )

    def _pick_instance(self):
        running = [
            instance for instance in self.world.instances if instance.core is not None
        ]
        ready = [instance for instance in running if instance.core.is_ready()]
        if self.world.random_state.random() < 0.1:
            ready = running
        return self.world.random_state.choice(ready or running) if running else None
