"""Measure the processor time of serving processes under a fixed load.

Real serving processes run against stand-ins of the store and the servers. The report
has the processor time of a start, of an idle second and of a request by role, and with
``--profile`` the functions that took most of it.
"""

import argparse
import asyncio
import json
import os
import pathlib
import pstats
import random
import signal
import sys
import tempfile

from buckthornshift.dispatch import Configuration, JobSpec, Queue, Resources, StepSpec
from buckthornshift.platform._server_side import encode_job
from buckthornshift.proving.soak._ports import find_free_ports
from buckthornshift.serving._http_client import HttpConnectionPool
from buckthornshift.standins import FleetPlatform

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
QUEUE = Queue(
    name="pay",
    host="profile.example",
    path_prefix="/pay/",
    service="cash",
    stretch=2.0,
    target_ms=400.0,
)
START_S = 3.0
IDLE_S = 4.0
TASKS_PER_JOB = 4
TASK_MS = 60.0
N_FUNCTIONS = 20


class IgnoredRuns:
    """Observer of the servers that ignores what they run."""

    def on_run_started(self, server, run, command):
        """Ignore the start of a run."""

    def on_run_ended(self, server, run, kind):
        """Ignore the end of a run."""


class ServingProcess:
    """One serving process, which is profiled on request.

    :param folder: folder for its settings, log and profile.
    :param index: its number.
    :param ports: TCP ports for callers, readiness and peers.
    :param store: ``host:port`` of the store.
    :param seeds: addresses of the instances.
    """

    def __init__(self, folder=None, index=0, ports=(), store="", seeds=()):
        self.folder = folder
        self.index = index
        self.ports = ports
        self.store = store
        self.seeds = seeds

    @property
    def profile_path(self):
        """Path of the profile that is written at the exit."""
        return self.folder / f"{self.index}.prof"

    async def start(self, is_profiled):
        """Write the settings and start the process."""
        addresses = [f"127.0.0.1:{port}" for port in self.ports]
        settings = dict(
            zip(("callers", "readiness", "peers"), addresses, strict=True),
            name=f"p{self.index}",
            store=self.store,
            seeds=self.seeds,
        )
        path = self.folder / f"{self.index}.json"
        path.write_text(json.dumps(settings))
        profiler = ["-m", "cProfile", "-o", self.profile_path] if is_profiled else []
        with open(self.folder / f"{self.index}.log", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *profiler,
                "-m",
                "buckthornshift.serving",
                env=os.environ | {"BUCKTHORNSHIFT_CONFIG": str(path)},
                stdout=log,
            )
        self.pool = HttpConnectionPool(port=self.ports[0], max_connections=1_000)

    def read_cpu_ms(self):
        """Return the processor time used so far, in milliseconds."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        user, system = stat.rpartition(")")[2].split()[11:13]
        return 1e3 * (int(user) + int(system)) / CLOCK_TICKS_PER_S

    async def stop(self):
        """Stop the process gracefully and wait for its exit."""
        self.pool.close()
        self.process.send_signal(signal.SIGTERM)
        await self.process.wait()


async def submit(processes, number):
    """Submit one job to the next instance in turn; return whether it completed."""
    need = Resources(cpu=4_000, memory_mb=64)
    step = StepSpec(n_tasks=TASKS_PER_JOB, need=need, estimate_ms=TASK_MS)
    job = JobSpec(job_id=f"{number:016x}", payload="p", steps=(step,))
    pool = processes[number % len(processes)].pool
    headers = (("Host", QUEUE.host), ("X-Deadline-Ms", "3000"))
    target = QUEUE.path_prefix + job.job_id
    status, body = await pool.call("POST", target, encode_job(job), 4.0, headers)
    return status == 200 and b"completed" in body


async def measure(args, folder):
    """Run the load and return the report as a dictionary."""
    platform = FleetPlatform(
        configuration=Configuration(version=1, queues=(QUEUE,)),
        n_servers=args.servers,
        plan_run=lambda task: (TASK_MS, False),
        observer=IgnoredRuns(),
    )
    await platform.start()
    ports = find_free_ports(3 * args.instances)
    seeds = [f"127.0.0.1:{port}" for port in ports[2::3]]
    processes = [
        ServingProcess(
            folder=folder,
            index=index,
            ports=ports[3 * index : 3 * index + 3],
            store=f"127.0.0.1:{platform.store.port}",
            seeds=seeds[:3],
        )
        for index in range(args.instances)
    ]
    for process in processes:
        await process.start(args.profile)
    await asyncio.sleep(START_S)
    started_ms = [process.read_cpu_ms() for process in processes]
    await asyncio.sleep(IDLE_S)
    idle_ms = [process.read_cpu_ms() for process in processes]
    submissions = []
    random_state = random.Random(0)
    for number in range(args.jobs):
        submissions.append(asyncio.ensure_future(submit(processes, number)))
        await asyncio.sleep(random_state.expovariate(args.jobs_per_s))
    n_completed = sum(await asyncio.gather(*submissions))
    loaded_ms = [process.read_cpu_ms() for process in processes]
    await asyncio.gather(*(process.stop() for process in processes))
    platform.close()
    seconds = args.jobs / args.jobs_per_s
    spent_ms = [
        loaded - idle - (idle - started) / IDLE_S * seconds
        for started, idle, loaded in zip(started_ms, idle_ms, loaded_ms, strict=True)
    ]
    idle_per_s = [
        (idle - started) / IDLE_S
        for started, idle in zip(started_ms, idle_ms, strict=True)
    ]
    # With so few servers there is one owner, and it does most of the work.
    owner = spent_ms.index(max(spent_ms))
    others = [value for index, value in enumerate(idle_per_s) if index != owner]
    return {
        "n_completed": n_completed,
        "owner": owner,
        "start_ms": round(sum(started_ms) / len(processes), 1),
        "idle_ms_per_s_owner": round(idle_per_s[owner], 2),
        "idle_ms_per_s_others": round(sum(others) / max(1, len(others)), 2),
        "owner_ms_per_run": round(spent_ms[owner] / (args.jobs * TASKS_PER_JOB), 3),
        "ms_per_job": round(sum(spent_ms) / args.jobs, 3),
    }


def print_profile(path):
    """Print the functions of a process that took most processor time."""
    stats = pstats.Stats(str(path))
    stats.strip_dirs().sort_stats("tottime").print_stats(N_FUNCTIONS)


def main():
    """Run the measurement that the command line asks for and print its report."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--servers", type=int, default=24)
    parser.add_argument("--jobs", type=int, default=600)
    parser.add_argument("--jobs-per-s", type=float, default=60.0)
    parser.add_argument(
        "--profile",
        action="store_true",
        help="print the costliest functions; the times include the profiler's",
    )
    args = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="buckthornshift-profile-"))
    report = asyncio.run(measure(args, folder))
    print(json.dumps(report, indent=2))
    if args.profile:
        receiver = (report["owner"] + 1) % args.instances
        for role, index in (("owner", report["owner"]), ("receiver", receiver)):
            print(f"\n{role}")
            print_profile(folder / f"{index}.prof")


if __name__ == "__main__":
    main()
