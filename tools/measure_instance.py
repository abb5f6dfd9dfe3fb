"""Measure one serve process under load: starts a second, processor time, memory.

A platform stand-in, backend stand-ins and one `serve` process must be running, as
`tools/measure_instance.sh` starts them. Writes the points to docs/slopes.json.
Usage: python tools/measure_instance.py PLATFORM_PORT CALLER_PORT PID [LIBRARIES_MB]
"""

import asyncio
import json
import os
import pathlib
import random
import statistics
import sys
import time

from buckthornshift.callers import CallerClient, OperatorClient
from buckthornshift.contracts import (
    CatalogueDocument,
    EntrySpec,
    JobRequest,
    OwnerSpec,
    TaskSpec,
    make_job_id,
)
from buckthornshift.core import flatten_document

POINTS_FILE = pathlib.Path(__file__).parent.parent / "docs" / "slopes.json"
TASK_RUN_MS = 20
LOAD_LENGTH_S = 6.0
# Tasks a job and jobs a second of each measured load.
LOADS = ((1, 10), (1, 40), (1, 100), (1, 160), (20, 10), (20, 30), (100, 5), (340, 2))
# Resident memory of a process that only imports the libraries of `serve`.
LIBRARIES_MB = float(sys.argv[4]) if len(sys.argv) > 4 else 0.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_s(pid):
    """Return the user and system time of a process, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_rss_mb(pid):
    """Return the resident memory of a process, in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def make_job(n_tasks, random_state):
    """Return a job whose tasks run for :data:`TASK_RUN_MS` each."""
    tasks = tuple(
        TaskSpec(
            task_id=f"t{i}", payload={"run_ms": TASK_RUN_MS}, run_time_ms=TASK_RUN_MS
        )
        for i in range(n_tasks)
    )
    job_id = make_job_id(time.time() * 1000.0, random_state)
    return JobRequest(job_id=job_id, entry="x", tasks=tasks, timeout_ms=20_000)


async def run_load(client, pid, n_tasks, jobs_per_s):
    """Submit jobs at a constant rate and return their cost and added latency."""
    random_state = random.Random(n_tasks)
    added_latencies_ms = []
    n_complete = 0

    async def run_job(due_s):
        nonlocal n_complete
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        answer = await client.submit(make_job(n_tasks, random_state))
        added_latencies_ms.append((time.monotonic() - due_s) * 1000.0 - TASK_RUN_MS)
        n_complete += answer.status == "complete"

    cpu_s = read_cpu_s(pid)
    start_s = time.monotonic() + 0.1
    n_jobs = int(jobs_per_s * LOAD_LENGTH_S)
    await asyncio.gather(*(run_job(start_s + i / jobs_per_s) for i in range(n_jobs)))
    elapsed_s = time.monotonic() - start_s
    added_latencies_ms.sort()
    return {
        "tasks_per_job": n_tasks,
        "jobs_per_s": round(n_jobs / elapsed_s, 1),
        "starts_per_s": round(n_jobs * n_tasks / elapsed_s, 1),
        "n_complete": n_complete,
        "n_jobs": n_jobs,
        "core": round((read_cpu_s(pid) - cpu_s) / elapsed_s, 4),
        "rss_mb": round(read_rss_mb(pid), 1),
        "added_p50_ms": round(statistics.median(added_latencies_ms), 1),
        "added_p99_ms": round(added_latencies_ms[int(0.99 * (n_jobs - 1))], 1),
    }


async def measure(platform_port, caller_port, pid):
    """Return the cost of the idle process, then that of each load."""
    document = CatalogueDocument(
        owners={"o": OwnerSpec()},
        entries={"x": EntrySpec(owner="o", is_repeatable=True)},
    )
    operator = OperatorClient(port=platform_port)
    await operator.apply(flatten_document(document), based_on=-1)
    operator.close()
    await asyncio.sleep(1.0)
    cpu_s = read_cpu_s(pid)
    await asyncio.sleep(5.0)
    idle = {
        "idle_core": (read_cpu_s(pid) - cpu_s) / 5.0,
        "rss_mb": read_rss_mb(pid),
        "libraries_mb": LIBRARIES_MB,
    }
    points = [idle]
    client = CallerClient(addresses=[("127.0.0.1", caller_port)])
    for n_tasks, jobs_per_s in LOADS:
        points.append(await run_load(client, pid, n_tasks, jobs_per_s))
        print(json.dumps(points[-1]))
    client.close()
    return points


def main():
    """Measure the process and add the points to those of the other tools."""
    platform_port, caller_port, pid = map(int, sys.argv[1:4])
    points = asyncio.run(measure(platform_port, caller_port, pid))
    points_by_series = (
        json.loads(POINTS_FILE.read_text()) if POINTS_FILE.exists() else {}
    )
    points_by_series["instance"] = points
    POINTS_FILE.write_text(
        json.dumps(points_by_series, indent=1) + "\n", encoding="utf-8"
    )


if __name__ == "__main__":
    main()
