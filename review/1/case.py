"""The machine that gives the orders is cut off for some seconds while jobs arrive."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import Site, call, make_config, run_case  # noqa: E402

CUTS_S = 4 * (1.5, 1.8, 2.0)
SETTLE_S = 5.2
JOBS_PER_ROUND = 12
JOB_INTERVAL_S = 0.04
TASK_MS = 4_000
HOST = "pay.example"


async def play(record, has_trouble):
    site = Site(record, n_instances=9, n_runners=24)
    if not await site.start(make_config()):
        await site.close()
        return None
    try:
        posts = []
        for number, cut_s in enumerate(CUTS_S):
            await cut_owner(site, record, posts, number, cut_s if has_trouble else 0)
        await asyncio.gather(*posts)
    finally:
        await site.close()
    return judge(site, record)


async def cut_owner(site, record, posts, number, cut_s):
    owner = await site.find_owner()
    others = [instance for instance in site.instances if instance is not owner]
    if cut_s:
        for instance in others:
            instance.peer_link.cut_senders.add(owner.peer_link.address)
        owner.peer_link.cut_senders.add("*")
        record.add(f"{owner.name}, which gives the orders, is cut off from the others")
    for index in range(JOBS_PER_ROUND):
        job_id = f"{number * JOBS_PER_ROUND + index + 1:016x}"
        instance = others[index % len(others)]
        posts.append(asyncio.ensure_future(submit(record, instance, job_id)))
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.sleep(max(1.5, cut_s) - JOBS_PER_ROUND * JOB_INTERVAL_S)
    if cut_s:
        for instance in site.instances:
            instance.peer_link.cut_senders.clear()
        record.add(f"{owner.name} reaches the others again")
    await asyncio.sleep(SETTLE_S)


async def submit(record, instance, job_id):
    step = {"TaskCount": 1, "Cpu": 6_800, "MemMb": 64, "EstimateMs": TASK_MS}
    job = {"Spec": json.dumps({"ms": [TASK_MS]}), "BestEffort": True, "Steps": [step]}
    record.add(f"client: POST /pay/{job_id} to {instance.name}")
    body = json.dumps(job).encode()
    headers = [("X-Deadline-Ms", "12000")]
    answer = await call(instance.front, "POST", f"/pay/{job_id}", HOST, body, headers)
    record.add(f"client: answer to the POST of {job_id}: {answer}")


def judge(site, record):
    """Return whether no two runs of a task overlapped on runners that were up."""
    spans_by_task = {}
    for runner in site.runners:
        for task, number, started_ms, ended_ms, how in runner.spans:
            span = (started_ms, ended_ms, runner.id, number, how)
            spans_by_task.setdefault(task, []).append(span)
    n_broken = 0
    for task, spans in sorted(spans_by_task.items()):
        spans.sort()
        for former, later in zip(spans, spans[1:], strict=False):
            if later[0] < former[1]:
                n_broken += 1
                record.add(
                    f"BROKEN: {task} run {later[3]} started on {later[2]} while run "
                    f"{former[3]} was at work on {former[2]}; together for "
                    f"{min(former[1], later[1]) - later[0]:.0f} ms; they ended "
                    f"{former[4]} and {later[4]}"
                )
    return not n_broken


run_case(play, os.path.dirname(os.path.abspath(__file__)))
