"""Real processes under faults from outside, checked by customers and servers."""

import asyncio
import random
import tempfile

from ...dispatch import Configuration, Queue
from ...standins import FleetPlatform
from ..fleet import FleetOracle, FleetRuleError
from ._customers import Customers
from ._fault_injector import SoakFaultInjector
from ._instances import InstanceGroup
from ._proxy import FaultyProxy
from ._report import SoakReport

START_S = 2.5
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
    """One run over real processes.

    :param seed: decides jobs and faults; not the times of a real machine.
    :param seconds: how long jobs and faults come.
    :param n_instances: dispatching instances.
    :param n_servers: backend servers.
    :param jobs_per_s: jobs submitted a second.
    :param cell_servers: most servers of one owner.
    :param folder: folder for settings and logs; ``None`` for a new one.
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
        """Run and return the :class:`SoakReport`."""
        folder = self.folder or tempfile.mkdtemp(prefix="buckthornshift-soak-")
        self.report = SoakReport(seed=self.seed, seconds=self.seconds, folder=folder)
        await self._start(folder)
        try:
            await asyncio.sleep(START_S)
            faults = asyncio.ensure_future(self.fault_injector.run())
            await self.customers.submit_all(self.seconds, self.jobs_per_s)
            faults.cancel()
            await self.fault_injector.wait_until_ended()
            await self.customers.finish()
            await asyncio.sleep(SETTLE_S)
            self._check(self._check_end)
        finally:
            await self._close()
        return self.report

    def find_record(self, server_id):
        """Return the entry of a server, for the oracle."""
        return self.platform.record_by_id[server_id]

    async def _start(self, folder):
        # Jobs and faults are drawn apart, so that neither moves the other.
        jobs_state = random.Random(self.seed)
        faults_state = random.Random(self.seed + 1_000_003)
        self.oracle = FleetOracle(world=self)
        self._server_proxies = []
        self.platform = FleetPlatform(
            configuration=Configuration(version=1, queues=(QUEUE,)),
            n_servers=self.n_servers,
            plan_run=self._plan_run,
            observer=_Observer(oracle=self.oracle, check=self._check),
            open_proxy=self._open_server_proxy,
            random_state=faults_state,
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
            check=self._check,
            record_violation=self._record_violation,
            random_state=jobs_state,
        )
        self.fault_injector = SoakFaultInjector(
            instances=self.instances,
            platform=self.platform,
            store_proxy=self.store_proxy,
            server_proxies=self._server_proxies,
            report=self.report,
            random_state=faults_state,
        )

    async def _open_server_proxy(self, port):
        """Put a proxy before a server; return the port to list."""
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
        for seen in self.oracle.jobs_by_id.values():
            self.oracle.check_job(seen)

    def _check(self, function, *args):
        try:
            return function(*args)
        except FleetRuleError as error:
            self.report.violations.append(str(error))
            return None

    def _record_violation(self, rule, detail):
        self.report.violations.append(f"{rule}: {detail}")


class _Observer:
    """Pass what servers see to the oracle; a broken rule ends no server.

    :param oracle: the :class:`~buckthornshift.proving.fleet.FleetOracle`.
    :param check: calls a function of the oracle and keeps what it finds.
    """

    def __init__(self, oracle=None, check=None):
        self.oracle = oracle
        self.check = check

    def on_run_started(self, server, run, order):
        """Note that a server begins a task."""
        self.check(self.oracle.on_run_started, server, run, order)

    def on_run_ended(self, server, run, kind):
        """Note how a run ended."""
        self.check(self.oracle.on_run_ended, server, run, kind)
