"""Real processes under faults from outside, checked by callers and servers."""

import asyncio
import random
import signal
import tempfile

import attrs

from ...contracts import ConnectionLostError, NotSentError
from ...dispatch import (
    AnswerCaller,
    Configuration,
    EndReason,
    JobSpec,
    Outcome,
    Queue,
    Resources,
    StepSpec,
)
from ...platform._server_side import encode_job
from ...serving._http_client import HttpPool
from ...standins import FleetPlatform
from ..fleet._oracle import FleetOracle, FleetRule, FleetRuleError
from ._instances import InstanceGroup
from ._proxy import FaultyProxy, LinkState

HOST = "soak.example"
PREFIX = "/pay/"
RESEND_S = 1.3
CALLER_TIMEOUT_S = 6.0
JOB_TIMEOUT_MS = 3_000
START_S = 2.5
SETTLE_S = 3.0
MAX_TRIES = 6
_REFUSED = (429, 503)
_UNKNOWN = (502, 504)


@attrs.define(kw_only=True)
class SoakReport:
    """What a soak did and saw.

    :param seed: its seed.
    :param n_jobs: jobs submitted.
    :param n_by_status: answers by HTTP status; 0 for a lost connection.
    :param n_by_fault: faults by kind.
    :param violations: broken promises.
    :param folder: where the logs are.
    """

    seed: int = 0
    n_jobs: int = 0
    n_by_status: dict = attrs.field(factory=dict)
    n_by_fault: dict = attrs.field(factory=dict)
    violations: list = attrs.field(factory=list)
    folder: str = ""


class Soak:
    """One run over real processes.

    :param seed: decides jobs and faults; not the times of a real machine.
    :param seconds: how long jobs and faults come.
    :param n_instances: dispatching instances.
    :param n_servers: backend servers.
    :param jobs_per_s: jobs submitted a second.
    :param folder: folder for settings and logs; ``None`` for a new one.
    """

    def __init__(
        self,
        seed=0,
        seconds=10.0,
        n_instances=3,
        n_servers=6,
        jobs_per_s=15.0,
        folder=None,
    ):
        self.seed = seed
        self.seconds = seconds
        self.n_instances = n_instances
        self.n_servers = n_servers
        self.jobs_per_s = jobs_per_s
        self.folder = folder

    async def run(self):
        """Run and return the :class:`SoakReport`."""
        self.random_state = random.Random(self.seed)
        folder = self.folder or tempfile.mkdtemp(prefix="buckthornshift-soak-")
        self.report = SoakReport(seed=self.seed, folder=folder)
        self.queue = Queue(
            name="pay",
            host=HOST,
            path_prefix=PREFIX,
            service="cash",
            max_attempts=3,
            stretch=2.0,
            target_ms=200.0,
        )
        await self._start(folder)
        try:
            await asyncio.sleep(START_S)
            faults = asyncio.ensure_future(self._inject())
            await self._submit_all()
            faults.cancel()
            await self._heal()
            await asyncio.gather(*self._callers)
            await asyncio.sleep(SETTLE_S)
            self._check(self._check_end)
        finally:
            await self._close()
        return self.report

    async def _start(self, folder):
        self.oracle = FleetOracle(world=self)
        self.platform = FleetPlatform(
            configuration=Configuration(version=1, queues=(self.queue,)),
            n_servers=self.n_servers,
            plan_run=self._plan_run,
            observer=_Observer(soak=self),
        )
        await self.platform.start()
        self.store_proxy = FaultyProxy(port=self.platform.store.port)
        await self.store_proxy.start()
        self.instances = InstanceGroup(
            n_instances=self.n_instances,
            folder=folder,
            store=f"127.0.0.1:{self.store_proxy.bound_port}",
        )
        await self.instances.start()
        self._callers = []

    async def _close(self):
        await self.instances.close()
        self.store_proxy.close()
        self.platform.close()

    async def _submit_all(self):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self.seconds
        while loop.time() < end_s:
            self._callers.append(asyncio.ensure_future(self._submit(self._draw_job())))
            await asyncio.sleep(self.random_state.expovariate(self.jobs_per_s))

    def _draw_job(self):
        self.report.n_jobs += 1
        step = StepSpec(
            n_tasks=self.random_state.choice((1, 2, 2, 4, 8)),
            need=Resources(cpu=self.random_state.randint(5_000, 8_000), memory_mb=64),
            estimate_ms=self.random_state.choice((40.0, 80.0, 200.0, 400.0)),
        )
        job_id = f"{self.report.n_jobs:016x}"
        return JobSpec(job_id=job_id, payload=f"text {job_id}", steps=(step,))

    def _plan_run(self, task):
        step = self.oracle.by_job[task.partition(".")[0]].spec.steps[0]
        return step.estimate_ms, False

    async def _submit(self, job):
        for _ in range(MAX_TRIES):
            instance = self._pick_instance()
            self.oracle.note_request(job, self.queue, False)
            status = await self._post(instance, job)
            n_by_status = self.report.n_by_status
            n_by_status[status] = n_by_status.get(status, 0) + 1
            if status not in (0, 502):
                return
            await asyncio.sleep(RESEND_S)

    async def _post(self, instance, job):
        # Each try has a connection of its own, as a balancer would give it.
        pool = HttpPool(port=instance.ports[0], connect_timeout_s=1.0)
        headers = (("X-Deadline-Ms", str(JOB_TIMEOUT_MS)),)
        try:
            status, _ = await pool.call(
                "POST",
                PREFIX + job.job_id,
                encode_job(job),
                timeout_s=CALLER_TIMEOUT_S,
                headers=(("Host", HOST), *headers),
            )
        except (NotSentError, ConnectionLostError):
            self.oracle.note_lost_request(job)
            # A stop that is not disturbed answers everything; one that is killed or
            # paused half-way can't (seed 106).
            is_calm = instance.is_up and not instance.is_disturbed
            if is_calm and instance.is_stopping:
                self._break(FleetRule.STOP_CUTS_NOTHING, job.job_id)
            return 0
        finally:
            pool.close()
        self._check(self.oracle.note_answer, job, _read_answer(status))
        return status

    def _pick_instance(self):
        instances = list(self.instances.by_name.values())
        calm = [i for i in instances if i.is_up and not i.is_stopping]
        return self.random_state.choice(calm or instances)

    async def _inject(self):
        kinds = (
            self._kill,
            self._stop,
            self._pause,
            self._cut_store,
            self._silence_server,
            self._change_configuration,
        )
        while True:
            await asyncio.sleep(self.random_state.uniform(0.2, 1.5))
            kind = self.random_state.choice(kinds)
            name = kind.__name__.strip("_")
            n_by_fault = self.report.n_by_fault
            n_by_fault[name] = n_by_fault.get(name, 0) + 1
            await kind()

    async def _kill(self):
        self.instances.send(self._draw_instance(), signal.SIGKILL)

    async def _stop(self):
        instance = self._draw_instance()
        instance.is_stopping = True
        self.instances.send(instance, signal.SIGTERM)

    async def _pause(self):
        instance = self._draw_instance()
        self.instances.send(instance, signal.SIGSTOP)
        delay_s = self.random_state.uniform(0.1, 1.5)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self.instances.send, instance, signal.SIGCONT)

    async def _cut_store(self):
        self.store_proxy.state = self.random_state.choice(list(LinkState))
        if self.random_state.random() < 0.5:
            self.store_proxy.reset_all()

    async def _silence_server(self):
        servers = list(self.platform.servers_by_id.values())
        server = self.random_state.choice(servers)
        server.is_silent = not server.is_silent

    async def _change_configuration(self):
        version = self.platform.configuration.version + 2
        self.platform.publish(
            attrs.evolve(self.platform.configuration, version=version)
        )

    def _draw_instance(self):
        return self.random_state.choice(list(self.instances.by_name.values()))

    async def _heal(self):
        self.store_proxy.state = LinkState.OPEN
        for server in self.platform.servers_by_id.values():
            server.is_silent = False
        for instance in self.instances.by_name.values():
            self.instances.send(instance, signal.SIGCONT)

    def _check_end(self):
        for seen in self.oracle.by_job.values():
            self.oracle.check_job(seen)

    def _check(self, function, *args):
        try:
            return function(*args)
        except FleetRuleError as error:
            self.report.violations.append(str(error))
            return None

    def _break(self, rule, detail):
        self.report.violations.append(f"{rule}: {detail}")

    def find_record(self, server_id):
        """Return the entry of a server, for the oracle."""
        return self.platform.servers_by_id[server_id].record


class _Observer:
    """Pass what servers see to the oracle; note what it finds."""

    def __init__(self, soak=None):
        self.soak = soak

    def note_begin(self, server, run, order):
        self.soak._check(self.soak.oracle.note_begin, server, run, order)

    def note_end(self, server, run, kind):
        self.soak._check(self.soak.oracle.note_end, server, run, kind)


def _read_answer(status):
    if status in _REFUSED:
        return AnswerCaller(outcome=Outcome.NOT_RUN)
    if status in _UNKNOWN:
        return AnswerCaller(outcome=Outcome.FAILED, reason=EndReason.DEADLINE)
    return AnswerCaller(outcome=Outcome.COMPLETED)
