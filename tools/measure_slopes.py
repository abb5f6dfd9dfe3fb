"""Measure what the control of an entry instance costs, as slopes against size.

Writes the points to docs/slopes.json; `tools/make_capacity_page.py` extrapolates them.
Usage: python tools/measure_slopes.py
"""

import json
import pathlib
import random
import time
import tracemalloc

import msgspec

from buckthornshift.contracts import (
    CATALOGUE_STREAM,
    CLAIMS_STREAM,
    AttemptReport,
    AttemptState,
    CatalogueChange,
    CatalogueItem,
    Claim,
    ClaimsBatch,
    EntrySpec,
    InstanceKind,
    InstanceList,
    InstanceRecord,
    JobRequest,
    LogBatch,
    LogRecord,
    Outcome,
    OwnerDemand,
    OwnerSpec,
    ServerReport,
    TaskSpec,
    encode_message,
    make_job_id,
)
from buckthornshift.core import (
    AppendDone,
    AppendRecord,
    EntryIdentity,
    InstanceCore,
    InstancesListed,
    JobSubmitted,
    LogRead,
    PeerReceived,
    ServerReported,
    StartAttempts,
    TimeAdvanced,
)

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "slopes.json"
WALL_MS = 1_700_000_000_000.0
N_REPEATS = 30


class Bench:
    """Drive one core by hand and time what it does."""

    def __init__(self):
        self.random_state = random.Random(1)
        self.now_ms = 0.0
        self.offset = 0
        self.ref = 0
        self.core = InstanceCore(
            identity=EntryIdentity(
                instance_id="entry-0", incarnation="i0", zone="zone-0"
            ),
            random_state=self.random_state,
        )
        self.core.start(0.0, WALL_MS)
        self.read(CLAIMS_STREAM, ())

    def handle(self, event):
        """Feed one event and return the actions."""
        return self.core.handle(event, self.now_ms, WALL_MS + self.now_ms)

    def read(self, stream, bodies):
        """Let the core read records of a stream."""
        offset = self.offset if stream == CLAIMS_STREAM else 0
        records = tuple(
            LogRecord(offset=offset + i, body=body) for i, body in enumerate(bodies)
        )
        head = offset + len(records)
        if stream == CLAIMS_STREAM:
            self.offset = head
        batch = LogBatch(next_offset=head, head=head, records=records)
        return self.handle(LogRead(stream=stream, batch=batch))

    def publish(self, n_items):
        """Put a catalogue of some items into force."""
        items = {"owner/o": CatalogueItem(owner=OwnerSpec())}
        for index in range(n_items):
            entry = EntrySpec(owner="o", is_repeatable=True)
            items[f"entry/e{index}"] = CatalogueItem(entry=entry)
        change = CatalogueChange(change_id="c", items=items)
        self.read(CATALOGUE_STREAM, [encode_message(change)])

    def list_instances(self, n_servers, n_peers=8, version=1):
        """Show the core a list."""
        listed = make_list(n_servers, n_peers, version)
        self.handle(InstancesListed(instances=listed))
        return listed

    def run_job(self, n_tasks):
        """Take one job from submission to answer."""
        self.now_ms += 50.0
        self.ref += 1
        tasks = tuple(TaskSpec(task_id=f"t{i}", payload=i) for i in range(n_tasks))
        job_id = make_job_id(WALL_MS + self.now_ms, self.random_state)
        job = JobRequest(job_id=job_id, entry="e0", tasks=tasks)
        actions = self.handle(JobSubmitted(caller_ref=self.ref, job=job))
        while actions:
            actions = self._answer_actions(actions)

    def _answer_actions(self, actions):
        following = []
        for action in actions:
            match action:
                case AppendRecord(append_id=append_id):
                    event = AppendDone(append_id=append_id, offset=self.offset)
                    self.offset += 1
                    following += self.handle(event)
                case StartAttempts(server=server, request=request):
                    reports = tuple(
                        AttemptReport(
                            attempt_id=spec.attempt_id,
                            state=AttemptState.OK,
                            run_ms=5.0,
                        )
                        for spec in request.attempts
                    )
                    report = ServerReport(
                        incarnation=server.incarnation, reports=reports
                    )
                    event = ServerReported(server_id=server.instance_id, report=report)
                    following += self.handle(event)
        return following


def make_list(n_servers, n_peers, version):
    """Return an instance list of some size in 23 zones."""
    servers = [
        InstanceRecord(
            instance_id=f"server-{i}", incarnation=f"s{i}", zone=f"zone-{i % 23}"
        )
        for i in range(n_servers)
    ]
    peers = [
        InstanceRecord(
            instance_id=f"entry-{i + 1}",
            kind=InstanceKind.ENTRY,
            incarnation=f"i{i + 1}",
            zone=f"zone-{i % 23}",
        )
        for i in range(n_peers)
    ]
    return InstanceList(version=version, instances=tuple(servers + peers))


def time_us(function, n_repeats=N_REPEATS):
    """Return the least processor time of a call in microseconds."""
    best = None
    for index in range(n_repeats):
        start = time.process_time_ns()
        function(index)
        elapsed = time.process_time_ns() - start
        best = elapsed if best is None else min(best, elapsed)
    return best / 1_000.0


def measure_bytes(build):
    """Return the bytes that objects made by a function occupy."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def measure_servers(n_servers):
    """Cost of the list, and of one job, against the number of servers."""
    bench = Bench()
    bench.publish(3)
    n_bytes = measure_bytes(lambda: bench.list_instances(n_servers))
    listed = make_list(n_servers, 8, 1)
    return {
        "state_bytes": n_bytes,
        "list_wire_bytes": len(msgspec.json.encode(listed)),
        "list_us": time_us(
            lambda i: bench.handle(
                InstancesListed(instances=make_list(n_servers, 8, i + 2))
            )
        ),
        "job_us": time_us(lambda i: bench.run_job(1)),
    }


def measure_job_size(n_tasks):
    """Cost of one job against its tasks."""
    bench = Bench()
    bench.publish(3)
    bench.list_instances(74)
    return {"job_us": time_us(lambda i: bench.run_job(n_tasks))}


def measure_claims(n_claims):
    """Cost of claims of other instances."""
    bench = Bench()
    random_state = random.Random(2)
    claims = [
        Claim(
            job_id=make_job_id(WALL_MS + i, random_state),
            digest="0" * 32,
            home="entry-17",
            incarnation="0123456789ab",
            is_repeatable=True,
        )
        for i in range(n_claims)
    ]
    outcomes = [Outcome(job_id=c.job_id, answer=b"x" * 150) for c in claims]
    batches = [
        encode_message(
            ClaimsBatch(
                writer="w",
                claims=tuple(claims[i : i + 10]),
                outcomes=tuple(outcomes[i : i + 10]),
            )
        )
        for i in range(0, n_claims, 10)
    ]
    state_bytes = measure_bytes(lambda: bench.read(CLAIMS_STREAM, batches))
    other = Bench()
    start = time.process_time_ns()
    other.read(CLAIMS_STREAM, batches)
    read_us = (time.process_time_ns() - start) / 1_000.0
    return {
        "state_bytes": state_bytes,
        "wire_bytes": sum(map(len, batches)),
        "read_us": read_us,
    }


def measure_catalogue(n_items):
    """Cost of the catalogue."""
    bench = Bench()
    state_bytes = measure_bytes(lambda: bench.publish(n_items))
    catalogue = bench.core.context.catalogue
    snapshot = encode_message(catalogue.make_snapshot())
    return {
        "state_bytes": state_bytes,
        "snapshot_bytes": len(snapshot),
        "snapshot_us": time_us(lambda i: encode_message(catalogue.make_snapshot())),
    }


def measure_demand(n_keys):
    """Cost of one demand message of a peer with some limited items."""
    bench = Bench()
    bench.publish(3)
    bench.list_instances(74)
    n_tasks_by_key = {f"owner/team-{i}": i for i in range(n_keys)}

    def receive(index):
        message = OwnerDemand(sequence=index, n_tasks_by_key=n_tasks_by_key)
        bench.handle(PeerReceived(peer_id="entry-1", message=message))

    message = OwnerDemand(n_tasks_by_key=n_tasks_by_key)
    return {"wire_bytes": len(encode_message(message)), "read_us": time_us(receive)}


def measure_share(n_peers):
    """Cost of computing a share of one limit among some instances."""
    bench = Bench()
    bench.list_instances(74, n_peers=n_peers)
    quotas = bench.core.context.quotas
    return {"share_us": time_us(lambda i: quotas.compute_share("owner/o", 100, 0.0))}


def measure_idle(n_servers):
    """Cost of a second without work."""
    bench = Bench()
    bench.publish(3)
    bench.list_instances(n_servers)

    def pass_second(index):
        for _ in range(5):
            bench.now_ms += 200.0
            bench.handle(TimeAdvanced())

    return {"second_us": time_us(pass_second)}


def measure_open_tasks(n_tasks):
    """Memory of tasks in flight and queued."""
    bench = Bench()
    bench.publish(3)
    bench.list_instances(74)
    random_state = random.Random(3)

    def submit():
        for _ in range(n_tasks // 50):
            bench.ref += 1
            tasks = tuple(
                TaskSpec(task_id=f"t{i}", payload={"account": i}) for i in range(50)
            )
            job_id = make_job_id(WALL_MS, random_state)
            job = JobRequest(job_id=job_id, entry="e0", tasks=tasks)
            bench.core.context.jobs.find(job_id)
            actions = bench.handle(JobSubmitted(caller_ref=bench.ref, job=job))
            for action in actions:
                if isinstance(action, AppendRecord):
                    event = AppendDone(append_id=action.append_id, offset=bench.offset)
                    bench.offset += 1
                    bench.handle(event)
            bench.now_ms += 40.0

    return {"state_bytes": measure_bytes(submit)}


SERIES = {
    "servers": (measure_servers, (24, 96, 384, 1_700)),
    "job_tasks": (measure_job_size, (1, 10, 60, 340)),
    "claims": (measure_claims, (1_000, 4_000, 16_000, 64_000)),
    "catalogue_items": (measure_catalogue, (50, 200, 700, 2_000)),
    "demand_keys": (measure_demand, (10, 50, 200, 690)),
    "share_peers": (measure_share, (8, 32, 128, 400)),
    "idle_servers": (measure_idle, (24, 96, 384, 1_700)),
    "open_tasks": (measure_open_tasks, (100, 400, 1_600, 3_200)),
}


def main():
    """Measure every series and write the points."""
    points = {}
    for name, (measure, sizes) in SERIES.items():
        points[name] = [{"size": size, **measure(size)} for size in sizes]
        print(name, json.dumps(points[name]))
    instance = json.loads(PAGE.read_text()).get("instance") if PAGE.exists() else None
    points["instance"] = instance or []
    PAGE.write_text(json.dumps(points, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
