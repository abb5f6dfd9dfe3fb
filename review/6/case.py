"""A lost cancellation lets a task run twice at once across a cut; see claim.txt."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

import harness  # noqa: E402

ZONES = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c")
N_SERVERS = 24
RUN_MS = 3_500.0
DEADLINE_MS = 7_500
N_JOBS = 3
CUT_S = 5.4
# From the submissions to the reset, and from that to the cut.
RESET_AFTER_S = 0.5
CUT_AFTER_S = 0.5
# The reset must come to less than a loss of contact, which depends on its moment.
N_ROUNDS = 5
PAUSE_S = 4.0


def plan_run(task):
    """Return the duration of a task, and that it doesn't fail."""
    return RUN_MS, False


class Client:
    """A client of one job, which sends it again when its connection breaks."""

    def __init__(self, system, job_id):
        self.system = system
        self.job_id = job_id
        self.attempt = None

    async def send(self, instance):
        """Send the job to an instance; return the status, or ``None`` without one."""
        record = self.system.record
        record.write(f"client sends POST {self.job_id} to {instance.name}")
        self.attempt = asyncio.ensure_future(
            harness.call(
                instance.callers,
                "POST",
                f"/contact-ratio/{self.job_id}",
                harness.make_job(4, RUN_MS),
                [("X-Deadline-Ms", DEADLINE_MS)],
                DEADLINE_MS / 1000.0,
            )
        )
        try:
            status, answer = await self.attempt
        except asyncio.CancelledError:
            record.write(f"the connection of client {self.job_id} is reset")
        except harness.CallError as error:
            record.write(f"client gets no answer for {self.job_id}: {error}")
        else:
            record.write(f"client gets {status} {answer.decode()} for {self.job_id}")
            return status
        return None

    async def run(self, first, second):
        """Send the job to one instance, and if its outcome is unknown to another."""
        status = await self.send(first)
        if status in (None, 502, 504):
            await asyncio.sleep(harness.RESEND_S)
            await self.send(second)


def find_overlaps(system):
    """Return pairs of runs of one task that were at work at the same time."""
    runs = system.observer.runs
    now_s = system.record.now_s()
    pairs = []
    for index, run in enumerate(runs):
        for other in runs[index + 1 :]:
            end_s = run["end_s"] or now_s
            if run["task"] == other["task"] and other["start_s"] < end_s:
                pairs.append((run, other))
    return pairs


async def play_round(system, random_state):
    """Submit jobs, and play the disruptions while they run."""
    record = system.record
    await asyncio.sleep(PAUSE_S)
    owner = await system.find_owner()
    if owner is None:
        raise harness.CannotRunError("no instance owns the servers")
    home = next(i for i in system.instances if i.zone == owner.zone and i is not owner)
    others = [i for i in system.instances if i.zone != owner.zone]
    record.say(f"owner {owner.name}, requests go to {home.name}")
    clients = [Client(system, harness.make_job_id(random_state)) for _ in range(N_JOBS)]
    requests = [
        asyncio.ensure_future(client.run(home, random_state.choice(others)))
        for client in clients
    ]
    await asyncio.sleep(RESET_AFTER_S)
    if harness.has_trouble():
        record.say(f"connections of {home.name} are reset")
        system.reset_peer_connections(home, owner)
        await asyncio.sleep(0.02)
        for client in clients:
            client.attempt.cancel()
        await asyncio.sleep(CUT_AFTER_S)
        record.say(f"{owner.zone} is cut off")
        system.cut_zone([owner.zone])
        await asyncio.sleep(CUT_S)
        system.cut_zone([])
        record.say("the cut has ended")
    await asyncio.gather(*requests)


async def play(system):
    """Play rounds until a rule is broken; return pairs of runs at the same time."""
    random_state = random.Random(6)
    await system.start()
    for _ in range(N_ROUNDS):
        await play_round(system, random_state)
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
