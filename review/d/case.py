"""Jobs are cancelled right after the connections between the instances were reset."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import Site, call, make_config, now_ms, run_case  # noqa: E402

CANCEL_MS = 3_000.0
N_JOBS = 8
HOST = "pay.example"


async def play(record, has_trouble):
    site = Site(record, n_instances=3, n_runners=12)
    if not await site.start(make_config()):
        await site.close()
        return None
    try:
        return await cancel(site, record, has_trouble)
    finally:
        await site.close()


def make_job():
    return json.dumps(
        {
            "Spec": json.dumps({"ms": [5_000, 1_000]}),
            "BestEffort": True,
            "Steps": [
                {"TaskCount": 2, "Cpu": 4_000, "MemMb": 64, "EstimateMs": 5_000},
                {
                    "TaskCount": 2,
                    "Cpu": 4_000,
                    "MemMb": 64,
                    "EstimateMs": 1_000,
                    "After": [0],
                },
            ],
        }
    ).encode()


async def cancel(site, record, has_trouble):
    owner = await site.find_owner()
    home = next(i for i in site.instances if i is not owner)
    record.add(f"{owner.name} gives the orders; {home.name} takes the jobs")
    job_ids = [f"5c0e7a21d94b36{number:02x}" for number in range(N_JOBS)]
    posts = []
    for job_id in job_ids:
        record.add(f"client: POST /pay/{job_id} to {home.name}")
        headers = [("X-Deadline-Ms", "20000")]
        posts.append(
            asyncio.ensure_future(
                call(home.front, "POST", f"/pay/{job_id}", HOST, make_job(), headers)
            )
        )
    await asyncio.sleep(1.0)
    if sum(len(runner.starts) for runner in site.runners) != 2 * N_JOBS:
        return None
    if has_trouble:
        for instance in site.instances:
            instance.peer_link.reset()
        record.add("all connections between the instances are reset")
    acked_ms_by_id = {}
    for job_id in job_ids:
        answer = await call(home.front, "DELETE", f"/pay/{job_id}", HOST)
        record.add(f"client: DELETE /pay/{job_id} to {home.name}: {answer}")
        if answer is not None and answer[0] in (200, 410):
            acked_ms_by_id[job_id] = now_ms()
        await asyncio.sleep(0.05)
    await asyncio.sleep(8.0)
    for job_id, post in zip(job_ids, posts, strict=True):
        record.add(f"client: answer to the POST of {job_id}: {await post}")
    late = [
        (runner.id, task, started_ms - acked_ms_by_id[task.split(".")[0]])
        for runner in site.runners
        for started_ms, task, _ in runner.starts
        if started_ms > acked_ms_by_id.get(task.split(".")[0], 1e18) + CANCEL_MS
    ]
    for runner_id, task, after_ms in late:
        record.add(
            f"BROKEN: {task} started on {runner_id} {after_ms:.0f} ms after the "
            f"cancelling was acknowledged"
        )
    return not late


run_case(play, os.path.dirname(os.path.abspath(__file__)))
