"""Measure how the cost of the core of an entry instance grows with size.

Writes the points to docs/slopes.json; `tools/make_capacity_page.py` fits a line to each
series and extrapolates it.
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

POINTS_FILE = pathlib.Path(__file__).parent.parent / "docs" / "slopes.json"
START_WALL_MS = 1_700_000_000_000.0
N_REPEATS = 30


class CoreDriver:
    """Feed events to one core without a network, and answer its actions."""

    def __init__(self):
        self.random_state = random.Random(1)
        self.now_ms = 0.0
        self.claims_offset = 0
        self.caller_ref = 0
        self.core = InstanceCore(
            identity=EntryIdentity(
                instance_id="entry-0", incarnation="i0", zone="zone-0"
            ),
            random_state=self.random_state,
        )
        self.core.start(0.0, START_WALL_MS)
        self.read(CLAIMS_STREAM, ())

    def handle(self, event):
        """Let the core handle an event; return its actions."""
        return self.core.handle(event, self.now_ms, START_WALL_MS + self.now_ms)

    def read(self, stream, bodies):
        """Let the core read the next records of a log stream.

        :param stream: name of the stream.
        :param bodies: encoded body of each record.
        """
        offset = self.claims_offset if stream == CLAIMS_STREAM else 0
        records = tuple(
            LogRecord(offset=offset + i, body=body) for i, body in enumerate(bodies)
        )
        head = offset + len(records)
        if stream == CLAIMS_STREAM:
            self.claims_offset = head
        batch = LogBatch(next_offset=head, head=head, records=records)
        return self.handle(LogRead(stream=stream, batch=batch))

    def publish(self, n_items):
        """Let the core read a catalogue with one owner and some entries."""
        items = {"owner/o": CatalogueItem(owner=OwnerSpec())}
        for index in range(n_items):
            entry = EntrySpec(owner="o", is_repeatable=True)
            items[f"entry/e{index}"] = CatalogueItem(entry=entry)
        change = CatalogueChange(change_id="c", items=items)
        self.read(CATALOGUE_STREAM, [encode_message(change)])

    def list_instances(self, n_servers, n_peers=8, version=1):
        """Give the core an instance list; return the list."""
        instance_list = make_instance_list(n_servers, n_peers, version)
        self.handle(InstancesListed(instances=instance_list))
        return instance_list

    def run_job(self, n_tasks):
        """Run one job of some tasks from its submission to its answer."""
        self.now_ms += 50.0
        self.caller_ref += 1
        tasks = tuple(TaskSpec(task_id=f"t{i}", payload=i) for i in range(n_tasks))
        job_id = make_job_id(START_WALL_MS + self.now_ms, self.random_state)
        job = JobRequest(job_id=job_id, entry="e0", tasks=tasks)
        actions = self.handle(JobSubmitted(caller_ref=self.caller_ref, job=job))
        while actions:
            actions = self._answer_actions(actions)

    def _answer_actions(self, actions):
        next_actions = []
        for action in actions:
            match action:
                case AppendRecord(append_id=append_id):
                    event = AppendDone(append_id=append_id, offset=self.claims_offset)
                    self.claims_offset += 1
                    next_actions += self.handle(event)
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
                    next_actions += self.handle(event)
        return next_actions


def make_instance_list(n_servers, n_peers, version):
    """Return an instance list of backend servers and entry instances in 23 zones."""
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
    """Return the shortest processor time of repeated calls, in microseconds.

    :param function: called with the index of the call.
    :param n_repeats: number of calls.
    """
    shortest_ns = None
    for index in range(n_repeats):
        start_ns = time.process_time_ns()
        function(index)
        elapsed_ns = time.process_time_ns() - start_ns
        shortest_ns = (
            elapsed_ns if shortest_ns is None else min(shortest_ns, elapsed_ns)
        )
    return shortest_ns / 1_000.0


def measure_bytes(build):
    """Return the memory that the objects made by a function occupy, in bytes."""
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    kept = build()
    bytes_after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return bytes_after - bytes_before


def measure_servers(n_servers):
    """Measure an instance list, and a job of one task, by number of servers."""
    driver = CoreDriver()
    driver.publish(3)
    state_bytes = measure_bytes(lambda: driver.list_instances(n_servers))
    instance_list = make_instance_list(n_servers, 8, 1)
    return {
        "state_bytes": state_bytes,
        "list_wire_bytes": len(msgspec.json.encode(instance_list)),
        "list_us": time_us(
            lambda i: driver.handle(
                InstancesListed(instances=make_instance_list(n_servers, 8, i + 2))
            )
        ),
        "job_us": time_us(lambda i: driver.run_job(1)),
    }


def measure_job_tasks(n_tasks):
    """Measure a job by its number of tasks."""
    driver = CoreDriver()
    driver.publish(3)
    driver.list_instances(74)
    return {"job_us": time_us(lambda i: driver.run_job(n_tasks))}


def measure_claims(n_claims):
    """Measure the claims and outcomes read from other instances, by their number."""
    driver = CoreDriver()
    random_state = random.Random(2)
    claims = [
        Claim(
            job_id=make_job_id(START_WALL_MS + i, random_state),
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
    state_bytes = measure_bytes(lambda: driver.read(CLAIMS_STREAM, batches))
    timed_driver = CoreDriver()
    start_ns = time.process_time_ns()
    timed_driver.read(CLAIMS_STREAM, batches)
    read_us = (time.process_time_ns() - start_ns) / 1_000.0
    return {
        "state_bytes": state_bytes,
        "wire_bytes": sum(map(len, batches)),
        "read_us": read_us,
    }


def measure_catalogue_items(n_items):
    """Measure the catalogue and its snapshots by number of entries."""
    driver = CoreDriver()
    state_bytes = measure_bytes(lambda: driver.publish(n_items))
    catalogue = driver.core.context.catalogue
    snapshot = encode_message(catalogue.make_snapshot())
    return {
        "state_bytes": state_bytes,
        "snapshot_bytes": len(snapshot),
        "snapshot_us": time_us(lambda i: encode_message(catalogue.make_snapshot())),
    }


def measure_demand_keys(n_keys):
    """Measure a demand message of a peer by its number of limited items."""
    driver = CoreDriver()
    driver.publish(3)
    driver.list_instances(74)
    n_tasks_by_key = {f"owner/team-{i}": i for i in range(n_keys)}

    def receive(index):
        message = OwnerDemand(sequence=index, n_tasks_by_key=n_tasks_by_key)
        driver.handle(PeerReceived(peer_id="entry-1", message=message))

    message = OwnerDemand(n_tasks_by_key=n_tasks_by_key)
    return {"wire_bytes": len(encode_message(message)), "read_us": time_us(receive)}


def measure_share_peers(n_peers):
    """Measure the computation of a share of one limit by number of peers."""
    driver = CoreDriver()
    driver.list_instances(74, n_peers=n_peers)
    quotas = driver.core.context.quotas
    return {"share_us": time_us(lambda i: quotas.compute_share("owner/o", 100, 0.0))}


def measure_idle_servers(n_servers):
    """Measure a second without work by number of servers."""
    driver = CoreDriver()
    driver.publish(3)
    driver.list_instances(n_servers)

    def pass_second(index):
        for _ in range(5):
            driver.now_ms += 200.0
            driver.handle(TimeAdvanced())

    return {"second_us": time_us(pass_second)}


def measure_open_tasks(n_tasks):
    """Measure the memory of running and queued tasks by their number."""
    driver = CoreDriver()
    driver.publish(3)
    driver.list_instances(74)
    random_state = random.Random(3)

    def submit():
        for _ in range(n_tasks // 50):
            driver.caller_ref += 1
            tasks = tuple(
                TaskSpec(task_id=f"t{i}", payload={"account": i}) for i in range(50)
            )
            job_id = make_job_id(START_WALL_MS, random_state)
            job = JobRequest(job_id=job_id, entry="e0", tasks=tasks)
            driver.core.context.jobs.find(job_id)
            actions = driver.handle(JobSubmitted(caller_ref=driver.caller_ref, job=job))
            for action in actions:
                if isinstance(action, AppendRecord):
                    event = AppendDone(
                        append_id=action.append_id, offset=driver.claims_offset
                    )
                    driver.claims_offset += 1
                    driver.handle(event)
            driver.now_ms += 40.0

    return {"state_bytes": measure_bytes(submit)}


SERIES = {
    "servers": (measure_servers, (24, 96, 384, 1_700)),
    "job_tasks": (measure_job_tasks, (1, 10, 60, 340)),
    "claims": (measure_claims, (1_000, 4_000, 16_000, 64_000)),
    "catalogue_items": (measure_catalogue_items, (50, 200, 700, 2_000)),
    "demand_keys": (measure_demand_keys, (10, 50, 200, 690)),
    "share_peers": (measure_share_peers, (8, 32, 128, 400)),
    "idle_servers": (measure_idle_servers, (24, 96, 384, 1_700)),
    "open_tasks": (measure_open_tasks, (100, 400, 1_600, 3_200)),
}


def main():
    """Measure every series and write the points, keeping those of the instance."""
    points = {}
    for name, (measure, sizes) in SERIES.items():
        points[name] = [{"size": size, **measure(size)} for size in sizes]
        print(name, json.dumps(points[name]))
    instance_points = (
        json.loads(POINTS_FILE.read_text()).get("instance")
        if POINTS_FILE.exists()
        else None
    )
    points["instance"] = instance_points or []
    POINTS_FILE.write_text(json.dumps(points, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
