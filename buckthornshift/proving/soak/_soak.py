"""Run real processes under faults; customers and servers check invariants."""

import asyncio
import random
import tempfile
import time

from ...dispatch import Configuration, Queue
from ...standins import FleetPlatform
from ..fleet import FleetOracle, FleetRuleError
from ._customers import Customers
from ._fault_injector import SoakFaultInjector
from ._instances import InstanceGroup
from ._proxy import FaultyProxy
from ._report import SoakReport, SoakViolation

STARTUP_S = 2.5
SETTLE_S = 3.0
QUEUE = Queue(
    name="pay",
    host="soak.example",
    path_prefix="/pay/",
    service="cash",
    max_attempts=3,
    stretch=2.0,
    target_ms=200.0,
)


class SoakTest:
    """Soak test of real dispatching processes under injected faults.

    :param seed: determines jobs and faults; real timing still differs between runs.
    :param seconds: length of the load phase, in which jobs and faults arrive.
    :param n_instances: number of dispatching instances.
    :param n_servers: number of backend servers.
    :param jobs_per_s: average number of jobs submitted a second.
    :param cell_servers: maximum number of servers of one owner.
    :param folder: folder for settings and log files; ``None`` for a new temporary one.
    """

    def __init__(
        self,
        seed=0,
        seconds=10.0,
        n_instances=3,
        n_servers=6,
        jobs_per_s=15.0,
        cell_servers=256,
        folder=None,
    ):
        self.seed = seed
        self.seconds = seconds
        self.n_instances = n_instances
        self.n_servers = n_servers
        self.jobs_per_s = jobs_per_s
        self.cell_servers = cell_servers
        self.folder = folder

    async def run(self):
        """Run the test to its end and return the :class:`SoakReport`."""
        folder = self.folder or tempfile.mkdtemp(prefix="buckthornshift-soak-")
        self.report = SoakReport(seed=self.seed, seconds=self.seconds, folder=folder)
        self._started_s = time.monotonic()
        await self._start(folder)
        try:
            await asyncio.sleep(STARTUP_S)
            faults = asyncio.ensure_future(self.fault_injector.run())
            await self.customers.submit_all(self.seconds, self.jobs_per_s)
            faults.cancel()
            await self.fault_injector.wait_until_ended()
            await self.customers.finish()
            await asyncio.sleep(SETTLE_S)
            self._check_rule(self._check_end)
        finally:
            await self._close()
        return self.report

    def find_record(self, server_id):
        """Return the platform's record of a server; called by the oracle."""
        return self.platform.record_by_id[server_id]

    async def _start(self, folder):
        # Separate generators, so that drawing faults does not change the jobs that are
        # drawn, nor the other way round.
        jobs_random_state = random.Random(self.seed)
        faults_random_state = random.Random(self.seed + 1_000_003)
        self.oracle = FleetOracle(world=self)
        self._server_proxies = []
        self.platform = FleetPlatform(
            configuration=Configuration(version=1, queues=(QUEUE,)),
            n_servers=self.n_servers,
            plan_run=self._plan_run,
            observer=_Observer(oracle=self.oracle, check=self._check_rule),
            open_proxy=self._open_server_proxy,
            random_state=faults_random_state,
        )
        await self.platform.start()
        self.store_proxy = FaultyProxy(port=self.platform.store.port)
        await self.store_proxy.start()
        self.instances = InstanceGroup(
            n_instances=self.n_instances,
            folder=folder,
            store=f"127.0.0.1:{self.store_proxy.bound_port}",
            cell_servers=self.cell_servers,
        )
        await self.instances.start()
        self.customers = Customers(
            instances=self.instances,
            queue=QUEUE,
            oracle=self.oracle,
            report=self.report,
            check=self._check_rule,
            record_violation=self._record_violation,
            random_state=jobs_random_state,
        )
        self.fault_injector = SoakFaultInjector(
            instances=self.instances,
            platform=self.platform,
            store_proxy=self.store_proxy,
            server_proxies=self._server_proxies,
            report=self.report,
            random_state=faults_random_state,
        )

    async def _open_server_proxy(self, port):
        """Start a proxy in front of a server; return the port of the proxy."""
        proxy = FaultyProxy(port=port)
        await proxy.start()
        self._server_proxies.append(proxy)
        return proxy.bound_port

    async def _close(self):
        await self.instances.close()
        self.store_proxy.close()
        for proxy in self._server_proxies:
            proxy.close()
        self.platform.close()

    def _plan_run(self, task):
        step = self.oracle.jobs_by_id[task.partition(".")[0]].spec.steps[0]
        return step.estimate_ms, False

    def _check_end(self):
        for tracked_job in self.oracle.jobs_by_id.values():
            self.oracle.check_job(tracked_job)

    def _check_rule(self, function, *args):
        try:
            return function(*args)
        except FleetRuleError as error:
            self._record_violation(error.rule, error.detail)
            return None

    def _record_violation(self, rule, detail):
        self.report.record_violation(
            SoakViolation(
                invariant=rule.value,
                detail=detail,
                seconds=round(time.monotonic() - self._started_s, 3),
                wall_ms=round(time.time() * 1000.0),
            )
        )


class _Observer:
    """Pass events of servers to the oracle; a violation does not stop the server.

    :param oracle: the :class:`~buckthornshift.proving.fleet.FleetOracle`.
    :param check: calls a function of the oracle and records a violation it raises.
    """

    def __init__(self, oracle=None, check=None):
        self.oracle = oracle
        self.check = check

    def on_run_started(self, server, run, order):
        """Record that a server begins a task."""
        self.check(self.oracle.on_run_started, server, run, order)

    def on_run_ended(self, server, run, kind):
        """Record how a run of a task ended."""
        self.check(self.oracle.on_run_ended, server, run, kind)

    def on_run_aborted(self, server, run):
        """Record that the process of a server has ended while a run was at work."""
        self.check(self.oracle.on_run_aborted, server, run)
