"""A new owner renews a run and is killed; the former owner starts it again."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

import harness  # noqa: E402

# As on the site: three, two and one.
ZONES = ("zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c")
N_SERVERS = 24
RUN_MS = 3_500.0
DEADLINE_MS = 10_000
N_JOBS = 9
CUT_S = 5.4
# From the submissions to the cut, and from that to the kill.
CUT_AFTER_S = 1.2
# One moment a round: an instance in the zone claims the servers 0.45 to 0.75 s after
# the cut, and stops what it finds there 0.2 s later.
KILL_AFTER_S = (0.62, 0.66, 0.6, 0.7, 0.64, 0.68, 0.58)
PAUSE_S = 3.0
# The stand-in notices lapsed leases every 5 ms.
TICK_S = 0.01


def plan_run(task):
    """Return the duration of a task, and that it doesn't fail."""
    return RUN_MS, False


async def send(system, instance, job_id, delay_s):
    """Submit a job after a while, and write its answer to the record."""
    record = system.record
    await asyncio.sleep(delay_s)
    record.write(f"client sends POST {job_id} to {instance.name}")
    body = harness.make_job(4, RUN_MS)
    headers = [("X-Deadline-Ms", DEADLINE_MS)]
    path = f"/contact-ratio/{job_id}"
    try:
        status, answer = await harness.call(
            instance.callers, "POST", path, body, headers, DEADLINE_MS / 1000.0
        )
    except harness.CallError as error:
        record.write(f"client gets no answer for {job_id}: {error}")
    else:
        record.write(f"client gets {status} {answer.decode()} for {job_id}")


def find_overlaps(system):
    """Return pairs of runs of one task that were at work at the same time."""
    runs = system.observer.runs
    now_s = system.record.now_s()
    pairs = []
    for index, run in enumerate(runs):
        for other in runs[index + 1 :]:
            end_s = run["end_s"] or now_s
            if run["task"] == other["task"] and other["start_s"] + TICK_S < end_s:
                pairs.append((run, other))
    return pairs


async def play_round(system, random_state, kill_after_s):
    """Submit jobs; while they run, cut a zone off and kill an instance in it."""
    record = system.record
    await asyncio.sleep(PAUSE_S)
    owner = await system.find_owner()
    if owner is None:
        raise harness.CannotRunError("no instance owns the servers")
    zone = next(zone for zone in ("zone-c", "zone-b") if zone != owner.zone)
    lost = next(i for i in system.instances if i.zone == zone)
    homes = [i for i in system.instances if i.zone != zone]
    requests = [
        asyncio.ensure_future(
            send(
                system,
                random_state.choice(homes),
                harness.make_job_id(random_state),
                random_state.uniform(0.0, CUT_AFTER_S),
            )
        )
        for _ in range(N_JOBS)
    ]
    await asyncio.sleep(CUT_AFTER_S)
    if harness.has_trouble():
        record.say(
            f"owner {owner.name}; {zone} is cut off, {kill_after_s} s later killed"
        )
        system.cut_zone([zone])
        await asyncio.sleep(kill_after_s)
        system.send_signal(lost, signal.SIGKILL)
        await lost.process.wait()
        await asyncio.sleep(CUT_S - kill_after_s)
        system.cut_zone([])
        await system.start_instance(lost)
        record.say("the zone is back")
    await asyncio.gather(*requests)


async def play(system):
    """Play rounds until a rule is broken; return pairs of runs at the same time."""
    random_state = random.Random(8)
    await system.start()
    for kill_after_s in KILL_AFTER_S:
        await play_round(system, random_state, kill_after_s)
        overlaps = find_overlaps(system)
        if overlaps:
            return overlaps
    return []


async def main():
    """Play the case; return the exit status."""
    system = harness.System(
        FOLDER,
        n_servers=N_SERVERS,
        zones=ZONES,
        plan_run=plan_run,
        has_links=True,
        has_server_links=True,
        queues=[harness.make_queue("contact-ratio", "/contact-ratio/")],
    )
    record = system.record
    try:
        overlaps = await play(system)
    except harness.CannotRunError as error:
        record.say(f"the case couldn't run: {error}")
        return 2
    finally:
        await system.close()
    for run, other in overlaps:
        ends_s = [r["end_s"] or record.now_s() for r in (run, other)]
        both_s = min(ends_s) - other["start_s"]
        record.say(
            f"{run['task']} runs on {run['server']} and {other['server']} at the same"
            f" time for {both_s:.2f} s from {other['start_s']:.2f} s"
        )
    record.say("TWICE is broken" if overlaps else "TWICE holds")
    return 1 if overlaps else 0


sys.exit(asyncio.run(main()))
