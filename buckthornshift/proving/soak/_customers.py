"""Customers of a soak: they submit over connections that they keep, and check."""

import asyncio

import msgspec

from ...contracts import ConnectionLostError, NotSentError
from ...dispatch import (
    AnswerCaller,
    EndReason,
    JobSpec,
    Outcome,
    Resources,
    StepSpec,
)
from ...platform._server_side import encode_job
from ...serving._http_client import HttpConnectionPool
from ..fleet import FleetRule

RESEND_S = 1.3
CALLER_TIMEOUT_S = 6.0
JOB_TIMEOUT_MS = 3_000
MAX_TRIES = 6
# Part of the submissions that go over a kept connection, also to an instance that
# stops; the others look for one that does not.
KEPT_SHARE = 0.5
# A request that an instance has read for this long has its answer before the instance
# ends; one that was on its way need not.
LOSS_SLACK_S = 0.2
# More than wait at once: a request that waited for a connection here would seem to
# have been sent long before it was (seed 323).
MAX_CONNECTIONS = 1_000
_REFUSED = (429, 503)
_UNKNOWN = (502, 504)


class Customers:
    """Submit jobs to the instances of a soak until each has its outcome.

    :param instances: the :class:`InstanceGroup`.
    :param queue: the queue to submit to.
    :param oracle: checks answers.
    :param report: the :class:`SoakReport`.
    :param check: calls a function of the oracle and keeps what it finds.
    :param record_violation: keeps a broken rule.
    :param random_state: a :class:`random.Random`.
    """

    def __init__(
        self,
        instances=None,
        queue=None,
        oracle=None,
        report=None,
        check=None,
        record_violation=None,
        random_state=None,
    ):
        self.instances = instances
        self.queue = queue
        self.oracle = oracle
        self.report = report
        self.check = check
        self.record_violation = record_violation
        self.random_state = random_state
        self._tasks = []
        self._pool_by_instance = {}

    async def submit_all(self, seconds, jobs_per_s):
        """Submit jobs at random times for a while."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            self._tasks.append(asyncio.ensure_future(self._submit(self._draw_job())))
            await asyncio.sleep(self.random_state.expovariate(jobs_per_s))

    async def finish(self):
        """Wait until every submission has its outcome."""
        await asyncio.gather(*self._tasks)
        for pool in self._pool_by_instance.values():
            pool.close()

    def _draw_job(self):
        self.report.n_jobs += 1
        step = StepSpec(
            n_tasks=self.random_state.choice((1, 2, 2, 4, 8)),
            need=Resources(cpu=self.random_state.randint(5_000, 8_000), memory_mb=64),
            estimate_ms=self.random_state.choice((40.0, 80.0, 200.0, 400.0)),
        )
        job_id = f"{self.report.n_jobs:016x}"
        return JobSpec(job_id=job_id, payload=f"text {job_id}", steps=(step,))

    async def _submit(self, job):
        for _ in range(MAX_TRIES):
            status = await self._try(job)
            self.report.count_status(status)
            if status not in (0, 502):
                return
            await asyncio.sleep(RESEND_S)

    async def _try(self, job):
        if self.random_state.random() < KEPT_SHARE:
            instance = self.random_state.choice(list(self.instances.by_name.values()))
            pool = self._pool_by_instance.get(instance.name)
            if pool is None:
                pool = self._open(instance)
                self._pool_by_instance[instance.name] = pool
            return await self._post(instance, pool, job)
        # A connection of its own, as a balancer would give it.
        instance = self._pick_instance()
        pool = self._open(instance)
        try:
            return await self._post(instance, pool, job)
        finally:
            pool.close()

    async def _post(self, instance, pool, job):
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        generation = instance.generation
        self.oracle.record_request(job, self.queue, False)
        headers = (("Host", self.queue.host), ("X-Deadline-Ms", str(JOB_TIMEOUT_MS)))
        try:
            status, body = await pool.call(
                "POST",
                self.queue.path_prefix + job.job_id,
                encode_job(job),
                timeout_s=CALLER_TIMEOUT_S,
                headers=headers,
            )
        except (NotSentError, ConnectionLostError) as error:
            self.oracle.record_lost_request(job)
            waited_s = loop.time() - sent_s
            is_sent = isinstance(error, ConnectionLostError)
            # A stop that is not disturbed answers everything; one that is killed or
            # paused half-way can't (seed 106).
            is_calm = (
                generation == instance.generation and not instance.was_killed_or_paused
            )
            is_cut = is_sent and is_calm and waited_s > LOSS_SLACK_S
            if is_cut and instance.is_stopping:
                detail = f"{job.job_id}: {instance.name}, {waited_s:.3f} s, {error}"
                self.record_violation(FleetRule.STOP_CUTS_NOTHING, detail)
            return 0
        self.check(self.oracle.record_answer, job, _read_answer(status, body))
        return status

    def _open(self, instance):
        return HttpConnectionPool(
            port=instance.ports[0],
            max_connections=MAX_CONNECTIONS,
            connect_timeout_s=1.0,
        )

    def _pick_instance(self):
        instances = list(self.instances.by_name.values())
        calm = [i for i in instances if i.is_up and not i.is_stopping]
        return self.random_state.choice(calm or instances)


def _read_answer(status, body):
    if status in _REFUSED:
        return AnswerCaller(outcome=Outcome.NOT_RUN)
    if status in _UNKNOWN:
        return AnswerCaller(outcome=Outcome.FAILED, reason=EndReason.DEADLINE)
    if msgspec.json.decode(body).get("State") == "failed":
        reason = EndReason.ATTEMPTS_USED_UP
        return AnswerCaller(outcome=Outcome.FAILED, reason=reason)
    return AnswerCaller(outcome=Outcome.COMPLETED)
