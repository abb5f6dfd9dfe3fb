"""A confirmed cancellation is lost with a connection, and the job goes on."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import harness  # noqa: E402

N_SERVERS = 9
RUN_MS = 3_600.0
DEADLINE_MS = 10_000
# From the submission to the reset, and from that to the cancellation.
RESET_AFTER_S = 0.15
CANCEL_AFTER_S = 0.1
# "cancel_ms" 3,000 and "StopTimeoutMs" 50, in seconds.
BOUND_S = 3.05
N_JOBS = 5


def plan_run(task):
    """Return the duration of a task, and that it doesn't fail."""
    return RUN_MS, False


async def play_job(system, random_state):
    """Submit a job and cancel it; return whether a task of it runs on."""
    record = system.record
    owner = await system.find_owner()
    if owner is None:
        raise harness.CannotRunError("no instance owns the servers")
    home = random_state.choice([i for i in system.instances if i is not owner])
    job_id = harness.make_job_id(random_state)
    path = f"/contact-ratio/{job_id}"
    record.write(f"client sends POST {path} to {home.name}")
    headers = [("X-Deadline-Ms", DEADLINE_MS)]
    body = harness.make_job(4, 3_600.0)
    submission = asyncio.ensure_future(
        harness.call(home.callers, "POST", path, body, headers, DEADLINE_MS / 1000.0)
    )
    await asyncio.sleep(RESET_AFTER_S)
    if harness.has_trouble():
        record.write(f"the connections from {home.name} to {owner.name} are reset")
        system.reset_peer_connections(home, owner)
    await asyncio.sleep(CANCEL_AFTER_S)
    record.write(f"client sends DELETE {path} to {home.name}")
    status, answer = await harness.call(home.callers, "DELETE", path)
    record.write(f"client gets {status} {answer.decode()} for DELETE {path}")
    if not 200 <= status < 300:
        raise harness.CannotRunError("the cancellation wasn't acknowledged")
    acknowledged_s = record.now_s()
    status, answer = await submission
    record.write(f"client gets {status} {answer.decode()} for POST {path}")
    await asyncio.sleep(RUN_MS / 1000.0 + 0.5)
    runs = [run for run in system.observer.runs if run["task"].startswith(job_id)]
    if not runs:
        raise harness.CannotRunError("no task was started before the cancellation")
    end_s = max(run["end_s"] or record.now_s() for run in runs)
    record.say(
        f"{job_id}: cancelled at {acknowledged_s:.2f} s, its last task ran until"
        f" {end_s:.2f} s ({', '.join(sorted({str(run['how']) for run in runs}))})"
    )
    return end_s > acknowledged_s + BOUND_S


async def main():
    """Play the case; return the exit status."""
    system = harness.System(
        FOLDER,
        n_servers=N_SERVERS,
        has_links=True,
        plan_run=plan_run,
        queues=[harness.make_queue("contact-ratio", "/contact-ratio/")],
    )
    record = system.record
    random_state = random.Random(8)
    try:
        await system.start()
        await asyncio.sleep(2.0)
        n_broken = 0
        for _ in range(N_JOBS):
            n_broken += await play_job(system, random_state)
    except (harness.CannotRunError, harness.CallError) as error:
        record.say(f"the case couldn't run: {error}")
        return 2
    finally:
        await system.close()
    is_broken = n_broken > 0
    record.say(f"{n_broken} of {N_JOBS} cancelled jobs ran on")
    record.say("UNASKED is broken" if is_broken else "UNASKED holds")
    return 1 if is_broken else 0


sys.exit(asyncio.run(main()))
