"""Health of servers: reports to other instances, and suspicion of degraded servers.

Suspicion expires, and it is ignored if it affects most servers of a zone.
"""

import attrs

from buckthornshift.dispatch import DispatchSettings, Resources, ServerRecord
from buckthornshift.dispatch._context import DispatchContext
from buckthornshift.dispatch._fleet import Fleet
from buckthornshift.dispatch._jobs import Run
from buckthornshift.dispatch._server import Ownership


def make_fleet(n_servers=6, n_zones=2):
    fleet = Fleet(context=DispatchContext(settings=DispatchSettings()))
    fleet.update_list(
        [
            ServerRecord(
                server_id=f"s{i}",
                service="s",
                zone=f"z{i % n_zones}",
                capacity=Resources(cpu=1_000),
            )
            for i in range(n_servers)
        ]
    )
    return fleet


def suspect(fleet, server_id, left_ms=1_000.0):
    server = fleet.by_id[server_id]
    server.suspect_until_ms = fleet.context.now_ms + left_ms


def find_suspect_ids(fleet):
    return fleet.find_suspect_ids(list(fleet.by_id.values()))


def test_only_degraded_servers_are_reported():
    fleet = make_fleet()
    suspect(fleet, "s1")
    fleet.by_id["s2"].slowness = 3.0
    assert {report.server_id for report in fleet.list_health_reports(0)} == {"s1", "s2"}


def test_next_owner_knows_reported_health():
    """The owner is lost after it has found servers that fail or are slow."""
    previous, successor = make_fleet(), make_fleet()
    successor.context.now_ms = 5_000.0
    suspect(previous, "s1", left_ms=800.0)
    previous.by_id["s2"].slowness = 3.0
    successor.apply_health_reports(previous.list_health_reports(0), 0)
    assert successor.by_id["s1"].suspect_until_ms == 5_800.0
    assert successor.by_id["s2"].slowness == 3.0


def test_server_without_report_is_healthy():
    fleet = make_fleet()
    suspect(fleet, "s1")
    fleet.apply_health_reports((), 0)
    assert find_suspect_ids(fleet) == set()


def test_suspicion_expires():
    fleet = make_fleet()
    suspect(fleet, "s1", left_ms=1_000.0)
    fleet.context.now_ms += 1_001.0
    assert find_suspect_ids(fleet) == set()
    assert fleet.list_health_reports(0) == ()


def test_servers_are_not_suspected_if_most_of_zone_is():
    fleet = make_fleet(n_servers=8)
    for server_id in ("s0", "s2", "s4", "s1"):
        suspect(fleet, server_id)
    assert find_suspect_ids(fleet) == {"s1"}


def test_reduced_capacity_is_never_counted_as_negative_room():
    """The runs on a server need more than the capacity that is left."""
    fleet = make_fleet(n_servers=2, n_zones=1)
    for server in fleet.by_id.values():
        server.ownership = Ownership.OWNED
    busy = fleet.by_id["s0"]
    busy.add_run(Run(name="t", need=Resources(cpu=800)))
    busy.update_record(attrs.evolve(busy.record, capacity=Resources(cpu=500)))
    assert fleet.count_free_cpu(0) == 1_000
    assert fleet.count_free_slots("s", 300, 0) == 3


def test_lists_that_differ_in_capacity_have_different_digests():
    fleet, other = make_fleet(), make_fleet()
    server = other.by_id["s0"]
    server.update_record(attrs.evolve(server.record, capacity=Resources(cpu=500)))
    assert fleet.digest() != other.digest()
