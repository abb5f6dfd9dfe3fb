"""Steps on a real system over loopback."""

import asyncio
import random
import time

from behave import given, then, when

from buckthornshift.callers import CallerClient
from buckthornshift.cli._demo import read_example_catalogue
from buckthornshift.contracts import JobRequest, TaskSpec, make_job_id
from buckthornshift.load import LocalSystem, SystemShape


def make_job(entry, n_tasks, run_ms=30):
    tasks = tuple(
        TaskSpec(task_id=f"task-{i}", payload={"run_ms": run_ms})
        for i in range(n_tasks)
    )
    job_id = make_job_id(time.time() * 1000, random.SystemRandom())
    return JobRequest(job_id=job_id, entry=entry, tasks=tasks)


async def submit(address, job):
    client = CallerClient(addresses=[address])
    try:
        return await client.submit(job)
    finally:
        client.close()


@given("a small system with the cash desk catalogue")
def start_system(context):
    context.system = LocalSystem(shape=SystemShape(n_entries=2, n_servers=4))

    async def start():
        await context.system.start()
        await context.system.apply_catalogue(read_example_catalogue("cash-desk.jsonc"))

    context.loop.run_until_complete(start())


@when("a caller submits a {entry} job of {n_tasks:d} tasks")
def submit_job(context, entry, n_tasks):
    address = context.system.list_addresses()[0]
    job = make_job(entry, n_tasks)
    context.answers = [context.loop.run_until_complete(submit(address, job))]


@when("a caller submits a {entry} job of {n_tasks:d} tasks to two instances at once")
def submit_twice(context, entry, n_tasks):
    job = make_job(entry, n_tasks)
    first, second = context.system.list_addresses()

    async def submit_both():
        return await asyncio.gather(submit(first, job), submit(second, job))

    context.answers = context.loop.run_until_complete(submit_both())


@when("an instance is stopped gracefully while it runs a job of {n_tasks:d} tasks")
def stop_instance(context, n_tasks):
    entry = context.system.entries.pop(0)
    address = ("127.0.0.1", entry.http_port)
    job = make_job("balance-check", n_tasks, run_ms=300)

    async def run():
        answer = asyncio.ensure_future(submit(address, job))
        await asyncio.sleep(0.1)
        await entry.drain()
        await entry.wait()
        return await answer

    context.stopped = entry
    context.answers = [context.loop.run_until_complete(run())]


@then("the answer is complete with {n_results:d} results")
def check_answer(context, n_results):
    answer = context.answers[0]
    assert answer.status == "complete", answer
    assert len(answer.results) == n_results, answer


@then("both answers are complete and equal")
def check_equal(context):
    first, second = context.answers
    assert first.status == "complete", first
    assert first == second, second


@then("every task started exactly once")
def check_starts(context):
    starts = [
        n_starts
        for server in context.system.servers
        for n_starts in server.model.n_starts_by_task.values()
    ]
    assert starts and set(starts) == {1}, starts


@then("the stopped instance has left the platform's list")
def check_left(context):
    listed = context.system.platform.list.by_id
    assert context.stopped.identity.instance_id not in listed
