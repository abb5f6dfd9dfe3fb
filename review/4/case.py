"""Runners leave while the instance that reads their list is cut off from the store."""

import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import Site, call, make_config, now_ms, run_case  # noqa: E402

DRAIN_MS = 3_000.0
CUT_S = 5.5
N_RUNNERS = 176
N_LEAVING = 11
JOBS_PER_S = 25.0
HOST = "pay.example"


async def play(record, has_trouble):
    site = Site(record, n_instances=4, n_runners=N_RUNNERS)
    if not await site.start(make_config()):
        await site.close()
        return None
    traffic = asyncio.ensure_future(send_jobs(site, record))
    try:
        return await leave(site, record, has_trouble)
    finally:
        traffic.cancel()
        await site.close()


async def send_jobs(site, record):
    random_state = random.Random(1)
    number = 0
    posts = set()
    while True:
        number += 1
        job_id = f"{number:016x}"
        step = {"TaskCount": 8, "Cpu": 6_800, "MemMb": 64, "EstimateMs": 300}
        job = {"Spec": json.dumps({"ms": [300]}), "BestEffort": True, "Steps": [step]}
        instance = random_state.choice(site.instances)
        post = asyncio.ensure_future(submit(instance, record, job_id, job))
        posts.add(post)
        post.add_done_callback(posts.discard)
        await asyncio.sleep(random_state.expovariate(JOBS_PER_S))


async def submit(instance, record, job_id, job):
    record.add(f"client: POST /pay/{job_id} to {instance.name}")
    body = json.dumps(job).encode()
    headers = [("X-Deadline-Ms", "1500")]
    answer = await call(instance.front, "POST", f"/pay/{job_id}", HOST, body, headers)
    record.add(f"client: answer to the POST of {job_id}: {answer}")


async def find_owners(site):
    """Return the owner of each cell and the ids of the runners of each instance."""
    state = await site.instances[0].read_state()
    owners = [await site.find_owner(cell["cell"]) for cell in state["cells"]]
    ids_by_name = {}
    for instance in site.instances:
        state = await instance.read_state()
        ids_by_name[instance.name] = {
            s["id"] for s in state["servers"] if s["ownership"] == "owned"
        }
    return owners, ids_by_name


async def leave(site, record, has_trouble):
    await asyncio.sleep(4.0)
    owners, ids_by_name = await find_owners(site)
    names = [owner.name if owner else None for owner in owners]
    counts = {name: len(ids) for name, ids in ids_by_name.items()}
    record.add(f"instances that give the orders, by cell: {names}; runners: {counts}")
    if len(set(names)) < 2 or None in names:
        return None
    reader = owners[0]
    if has_trouble:
        reader.store_link.is_cut = True
        cut_ms = now_ms()
        record.add(f"{reader.name} is partitioned from the store")
    await asyncio.sleep(0.3)
    others = set().union(*(ids_by_name[n] for n in names if n != reader.name))
    since_ms = now_ms() - 1_000.0
    busiest = sorted(
        (r for r in site.runners if r.id in others),
        key=lambda r: -sum(start[0] > since_ms for start in r.starts),
    )
    leaving = busiest[:N_LEAVING]
    acked_ms = now_ms()
    for runner in leaving:
        runner.drain()
    if has_trouble:
        await asyncio.sleep(CUT_S - (now_ms() - cut_ms) / 1000.0)
        reader.store_link.is_cut = False
        record.add(f"{reader.name} reaches the store again")
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(1.0)
    if await find_owners(site) != (owners, ids_by_name):
        record.add("runners have changed hands, so it isn't known who gave the orders")
        return None
    late = [
        (runner.id, task, started_ms - acked_ms)
        for runner in leaving
        for started_ms, task, _ in runner.starts
        if started_ms > acked_ms + DRAIN_MS
    ]
    for runner_id, task, after_ms in late:
        record.add(
            f"BROKEN: {task} started on {runner_id} {after_ms:.0f} ms after the store "
            f"accepted that it is draining, on an order of an instance that reaches "
            f"the store"
        )
    return not late


run_case(play, os.path.dirname(os.path.abspath(__file__)))
