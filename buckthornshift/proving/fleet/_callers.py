"""Callers of a run: jobs of the users' kinds, resubmissions, callers that leave."""

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

RESEND_DELAY_MS = 1_300.0
POISON_PROBABILITY = 0.01
# Faults last up to 4 s, and a job of before them up to another 4 s.
LAST_BATCH_MS = 8_000.0
LAST_TIMEOUT_MS = 3_000.0
# Time left after the last deadline of a run, for its answer.
LAST_SLACK_MS = 500.0


@attrs.frozen(kw_only=True)
class JobKind:
    """A kind of job as the users send it.

    :param weight: how often it comes.
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

# Small enough that any server that works can do them in time.
LAST_STEPS = (
    StepSpec(n_tasks=1, need=Resources(cpu=1_000, memory_mb=64), estimate_ms=50.0),
)


@attrs.frozen(kw_only=True)
class Request:
    """A request that waits for its answer.

    :param sent: job, queue, time-out, whether of the last batch, number of the try.
    """

    sent: tuple = ()


class FleetCallers:
    """Submit the jobs of a run and follow them to an answer.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        self.disconnect_probability = 0.0
        self.rate_factor = 1.0
        self._next_ref = 0
        self._n_jobs = 0
        self._run_by_task = {}
        world.on_answer = self._take_answer
        world.on_lost_request = self._lose_connection
        world.plan_run = self._plan_run

    def start(self):
        """Schedule the submissions, and a last batch after the faults."""
        world = self.world
        world.clock.schedule(1_500.0, self._submit_next)
        last_ms = world.plan.busy_ms + LAST_BATCH_MS
        for index in range(12):
            world.clock.schedule(last_ms + 20.0 * index, self._submit_new, True)

    def _submit_next(self):
        world = self.world
        if world.clock.now_ms > world.plan.busy_ms:
            return
        self._submit_new(False)
        rate_per_ms = world.plan.jobs_per_s * self.rate_factor / 1_000.0
        delay_ms = world.random_state.expovariate(rate_per_ms)
        world.clock.schedule(delay_ms, self._submit_next)

    def _submit_new(self, is_last):
        random_state = self.world.random_state
        kind = random_state.choices(JOB_KINDS, [k.weight for k in JOB_KINDS])[0]
        queue = random_state.choice(self.world.configuration.queues)
        self._n_jobs += 1
        job_id = f"{self._n_jobs:016x}"
        mean_ms = kind.run_ms * random_state.uniform(0.6, 1.6)
        job = JobSpec(
            job_id=job_id,
            payload=f"text of {job_id}",
            steps=self._draw_steps(kind, mean_ms) if not is_last else LAST_STEPS,
        )
        chain_ms = job.compute_critical_path_ms()
        timeout_ms = LAST_TIMEOUT_MS if is_last else 300.0 + 3.0 * chain_ms
        self._send(job, queue, timeout_ms, is_last, 1)

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
        """Return how long a task runs and whether it fails, the same each time."""
        if task not in self._run_by_task:
            random_state = self.world.random_state
            step = self.world.oracle.find_step(task)
            duration_ms = step.estimate_ms * random_state.uniform(0.6, 1.4)
            is_poison = random_state.random() < POISON_PROBABILITY
            self._run_by_task[task] = (duration_ms, is_poison)
        return self._run_by_task[task]

    def _send(self, job, queue, timeout_ms, is_last, n_try):
        world = self.world
        instance = self._pick_node()
        if instance is None:
            world.clock.schedule(
                200.0, self._send, job, queue, timeout_ms, is_last, n_try
            )
            return
        world.clock.schedule(
            world.plan.client_delay_ms,
            self._arrive,
            instance,
            instance.key,
            (job, queue, timeout_ms, is_last, n_try),
        )

    def _arrive(self, instance, key, sent):
        world = self.world
        job, queue, timeout_ms, is_last, _ = sent
        if instance.core is None or instance.key != key:
            self._send(*sent)
            return
        self._next_ref += 1
        ref = self._next_ref
        world.oracle.record_request(job, queue, is_last)
        instance.callers[ref] = Request(sent=sent)
        event = JobArrived(caller_ref=ref, job=job, queue=queue, timeout_ms=timeout_ms)
        world.deliver(instance, key, event)
        if not is_last and world.random_state.random() < self.disconnect_probability:
            delay_ms = world.random_state.uniform(1.0, 0.5 * timeout_ms)
            world.clock.schedule(delay_ms, self._leave, instance, key, ref, job)

    def _leave(self, instance, key, ref, job):
        if instance.core is None or instance.key != key or ref not in instance.callers:
            return
        instance.callers.pop(ref)
        self.world.oracle.record_lost_request(job)
        self.world.deliver(instance, key, CallerDisconnected(caller_ref=ref))

    def _lose_connection(self, request):
        self.world.oracle.record_lost_request(request.sent[0])
        self._resend(request)

    def _take_answer(self, instance, action):
        request = instance.callers.pop(action.caller_ref, None)
        if request is None:
            return
        self.world.oracle.record_answer(request.sent[0], action)
        is_open = action.outcome is Outcome.FAILED and action.reason not in (
            EndReason.ATTEMPTS_USED_UP,
            EndReason.DEADLINE,
        )
        is_last = request.sent[3]
        if is_open or (is_last and action.outcome is Outcome.NOT_RUN):
            self._resend(request)

    def _resend(self, request):
        job, queue, timeout_ms, is_last, n_try = request.sent
        plan = self.world.plan
        end_ms = self.world.clock.now_ms + RESEND_DELAY_MS + timeout_ms
        if n_try < 4 and end_ms < plan.busy_ms + plan.settle_ms - LAST_SLACK_MS:
            self.world.clock.schedule(
                RESEND_DELAY_MS, self._send, job, queue, timeout_ms, is_last, n_try + 1
            )

    def _pick_node(self):
        up = [
            instance for instance in self.world.instances if instance.core is not None
        ]
        ready = [instance for instance in up if instance.core.is_ready()]
        if self.world.random_state.random() < 0.1:
            ready = up
        return self.world.random_state.choice(ready or up) if up else None
