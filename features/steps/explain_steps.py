"""Steps for the ``explain`` command with dispatching instances as processes."""

import asyncio
import json
import pathlib
import random
import sys
import tempfile

from behave import given, then, when

from buckthornshift.contracts import ConnectionLostError, NotSentError
from buckthornshift.dispatch import Configuration, JobSpec, Queue, Resources, StepSpec
from buckthornshift.platform._server_side import encode_job
from buckthornshift.proving.soak._instances import InstanceGroup
from buckthornshift.serving._http_client import HttpConnectionPool
from buckthornshift.standins import FleetPlatform

QUEUE = Queue(name="pay", host="h", path_prefix="/pay/", service="cash")
START_TIMEOUT_S = 30.0
TASK_CPU = 6_000


class Dispatchers:
    """Dispatching instances as processes, with a platform in this process."""

    def __init__(self, n_servers, n_instances):
        self.n_servers = n_servers
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.n_started = 0
        self.platform = FleetPlatform(
            configuration=Configuration(version=1, queues=(QUEUE,)),
            n_servers=n_servers,
            plan_run=lambda task: (50.0, False),
            observer=self,
            random_state=random.Random(1),
        )
        self.n_instances = n_instances

    def on_run_started(self, server, run, order):
        self.n_started += 1

    def on_run_ended(self, server, run, kind):
        pass

    async def start(self):
        await self.platform.start()
        self.group = InstanceGroup(
            n_instances=self.n_instances,
            folder=str(self.folder),
            store=f"127.0.0.1:{self.platform.store.port}",
        )
        await self.group.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.find_owner():
                await asyncio.sleep(0.1)

    async def find_owner(self):
        """Return the instance that owns every server once the others know it."""
        instances = list(self.group.by_name.values())
        states = [await read_state(instance.ports[3]) for instance in instances]
        owners = [state and state["cells"][0]["owner"] for state in states]
        if not owners[0] or any(owner != owners[0] for owner in owners):
            return None
        for instance, state in zip(instances, states, strict=True):
            owned = [s for s in state["servers"] if s["ownership"] == "owned"]
            if len(owned) == self.n_servers:
                return instance
        return None

    async def stop(self):
        await self.group.close()
        self.platform.close()


async def read_state(port):
    pool = HttpConnectionPool(port=port)
    try:
        _, body = await pool.call("GET", "/state", timeout_s=5.0)
    except (NotSentError, ConnectionLostError):
        return None
    finally:
        pool.close()
    return json.loads(body)


@given(
    "a platform with {n_servers:d} task servers and {n_instances:d} dispatching "
    "instances as processes"
)
def start_dispatchers(context, n_servers, n_instances):
    context.system = Dispatchers(n_servers, n_instances)
    context.loop.run_until_complete(context.system.start())


@when("a job of {n_tasks:d} tasks is explained, asking both instances")
def explain_to_both(context, n_tasks):
    explain(context, n_tasks, TASK_CPU, lambda instance, owner: True)


@when(
    "a job of {n_tasks:d} tasks of {cores:d} cores is explained, asking both instances"
)
def explain_large(context, n_tasks, cores):
    explain(context, n_tasks, 1_000 * cores, lambda instance, owner: True)


@when(
    "a job of {n_tasks:d} tasks is explained, asking the instance that is not the owner"
)
def explain_to_other(context, n_tasks):
    explain(context, n_tasks, TASK_CPU, lambda instance, owner: instance is not owner)


def explain(context, n_tasks, cpu, is_asked):
    need = Resources(cpu=cpu, memory_mb=1)
    step = StepSpec(n_tasks=n_tasks, need=need, estimate_ms=50.0)
    path = context.system.folder / "job.json"
    path.write_bytes(encode_job(JobSpec(steps=(step,))))

    async def run():
        owner = await context.system.find_owner()
        # The owner comes last, so that another instance is asked first.
        instances = context.system.group.by_name.values()
        asked = sorted(instances, key=lambda instance: instance is owner)
        options = [
            option
            for instance in asked
            if is_asked(instance, owner)
            for option in ("--instance", f"127.0.0.1:{instance.ports[3]}")
        ]
        command = ["-m", "buckthornshift", "explain", str(path), *options, "--json"]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        return process.returncode, json.loads(output)

    context.exit_code, context.report = context.loop.run_until_complete(run())


@then("the command exits with {code:d}")
def check_code(context, code):
    assert context.exit_code == code, (context.exit_code, context.report)


@then(
    "the report is that of the owner, with {n_tasks:d} tasks on {n_servers:d} servers"
)
def check_report(context, n_tasks, n_servers):
    report = context.report
    assert report["is_owner"] and report["instance"] == report["owner"], report
    assert report["verdict"] == "accepted", report
    assert len(report["server_ids"]) == n_tasks, report
    assert len(set(report["server_ids"])) == n_servers, report


@then("no task has started")
def check_no_start(context):
    assert context.system.n_started == 0


@then("the reason is infeasible, with a time to retry")
def check_infeasible(context):
    assert context.report["reason"] == "infeasible", context.report
    assert context.report["retry_after_ms"] > 0, context.report


@then("the output names the owner and the view that it is based on")
def check_view(context):
    report = context.report
    assert report["verdict"] == "unknown" and not report["is_owner"], report
    assert report["owner"] and report["instance"] != report["owner"], report
