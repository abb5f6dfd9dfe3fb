"""Simulated customers, which submit jobs over HTTP and check the answers."""

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
from ._stalls import StallMeter

RESUBMIT_DELAY_S = 1.3
# The deadline of a job counts from when its instance reads the request, so that a stall
# of the instance comes on top of it (seed 2600: 3 s each).
REQUEST_TIMEOUT_S = 15.0
JOB_TIMEOUT_MS = 3_000
MAX_SUBMISSIONS = 6
# Share of the submissions that use a kept-alive connection, also to an instance that is
# stopping; the others choose an instance that is not stopping.
KEEP_ALIVE_SHARE = 0.5
# A stopping instance answers each request that was sent at least this long before it
# exits. A later request may still have been in transit and need not be answered.
TRANSIT_ALLOWANCE_S = 0.2
# More than the requests that are ever open at once. A request that waited here for a
# free connection would count as sent long before it was (seed 323).
MAX_CONNECTIONS = 1_000
_REFUSED_STATUSES = (429, 503)
_UNKNOWN_OUTCOME_STATUSES = (502, 504)


class Customers:
    """Submit jobs to dispatching instances, and resubmit those without an outcome.

    :param instances: the :class:`InstanceGroup`.
    :param queue: the queue to submit to.
    :param oracle: the :class:`~buckthornshift.proving.fleet.FleetOracle` that checks
        answers.
    :param report: the :class:`SoakReport` in which jobs and answers are counted.
    :param check: calls a function of the oracle and records a violation it raises.
    :param record_violation: records a violation, given the rule and a description.
    :param random_state: the :class:`random.Random` that jobs are drawn from.
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
        self._stalls = StallMeter()
        self._tasks = []
        self._pool_by_instance = {}

    async def submit_all(self, seconds, jobs_per_s):
        """Submit jobs at random times.

        :param seconds: for how long.
        :param jobs_per_s: average number of jobs a second.
        """
        self._stalls.start()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            self._tasks.append(asyncio.ensure_future(self._submit(self._draw_job())))
            await asyncio.sleep(self.random_state.expovariate(jobs_per_s))

    async def finish(self):
        """Wait until every submission has ended, then close all connections."""
        await asyncio.gather(*self._tasks)
        self._stalls.close()
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
        for _ in range(MAX_SUBMISSIONS):
            status = await self._submit_once(job)
            self.report.count_status(status)
            if status not in (0, 502):
                return
            await asyncio.sleep(RESUBMIT_DELAY_S)

    async def _submit_once(self, job):
        if self.random_state.random() < KEEP_ALIVE_SHARE:
            instance = self.random_state.choice(list(self.instances.by_name.values()))
            pool = self._pool_by_instance.get(instance.name)
            if pool is None:
                pool = self._open_pool(instance)
                self._pool_by_instance[instance.name] = pool
            return await self._post(instance, pool, job)
        # A load balancer opens a new connection for the request.
        instance = self._choose_instance()
        pool = self._open_pool(instance)
        try:
            return await self._post(instance, pool, job)
        finally:
            pool.close()

    async def _post(self, instance, pool, job):
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        stalled_before_s = self._stalls.total_s
        generation = instance.generation
        self.oracle.record_request(job, self.queue, False)
        headers = (("Host", self.queue.host), ("X-Deadline-Ms", str(JOB_TIMEOUT_MS)))
        try:
            status, body = await pool.call(
                "POST",
                self.queue.path_prefix + job.job_id,
                encode_job(job),
                timeout_s=REQUEST_TIMEOUT_S,
                headers=headers,
            )
        except (NotSentError, ConnectionLostError) as error:
            self.oracle.record_lost_request(job)
            waited_s = loop.time() - sent_s
            may_have_arrived = isinstance(error, ConnectionLostError)
            # A graceful stop answers every request, unless the instance is killed or
            # paused during the stop (seed 106).
            is_undisturbed = (
                generation == instance.generation and not instance.was_killed_or_paused
            )
            is_cut_off = (
                may_have_arrived and is_undisturbed and waited_s > TRANSIT_ALLOWANCE_S
            )
            if is_cut_off and instance.is_stopping:
                # A stall of this process looks like time in transit.
                stalled_s = await self._stalls.read() - stalled_before_s
                detail = (
                    f"{job.job_id}: {instance.name}, {waited_s:.3f} s, "
                    f"stalled for {stalled_s:.3f} s, {error}"
                )
                self.record_violation(FleetRule.STOP_CUTS_NOTHING, detail)
            return 0
        self.check(self.oracle.record_answer, job, _read_answer(status, body))
        return status

    def _open_pool(self, instance):
        return HttpConnectionPool(
            port=instance.ports[0],
            max_connections=MAX_CONNECTIONS,
            connect_timeout_s=1.0,
        )

    def _choose_instance(self):
        instances = list(self.instances.by_name.values())
        candidates = [i for i in instances if i.is_up and not i.is_stopping]
        return self.random_state.choice(candidates or instances)


def _read_answer(status, body):
    if status in _REFUSED_STATUSES:
        return AnswerCaller(outcome=Outcome.NOT_RUN)
    if status in _UNKNOWN_OUTCOME_STATUSES:
        return AnswerCaller(outcome=Outcome.FAILED, reason=EndReason.DEADLINE)
    if msgspec.json.decode(body).get("State") == "failed":
        reason = EndReason.ATTEMPTS_USED_UP
        return AnswerCaller(outcome=Outcome.FAILED, reason=reason)
    return AnswerCaller(outcome=Outcome.COMPLETED)
