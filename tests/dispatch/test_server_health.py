"""What an owner learns of servers: told to others, aged, never most of a zone."""

from buckthornshift.dispatch import Resources, ServerRecord
from buckthornshift.dispatch._context import DispatchContext
from buckthornshift.dispatch._fleet import Fleet


def make_fleet(n_servers=6, n_zones=2):
    fleet = Fleet(context=DispatchContext())
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


def test_only_what_is_worse_is_told():
    fleet = make_fleet()
    suspect(fleet, "s1")
    fleet.by_id["s2"].slowness = 3.0
    assert {lesson.server_id for lesson in fleet.list_health_reports(0)} == {"s1", "s2"}


def test_the_next_owner_knows_what_the_last_one_learned():
    """Pattern: servers fail or slow what they run, and the owner is lost."""
    former, heir = make_fleet(), make_fleet()
    heir.context.now_ms = 5_000.0
    suspect(former, "s1", left_ms=800.0)
    former.by_id["s2"].slowness = 3.0
    heir.apply_health_reports(former.list_health_reports(0), 0)
    assert heir.by_id["s1"].suspect_until_ms == 5_800.0
    assert heir.by_id["s2"].slowness == 3.0


def test_what_the_owner_no_longer_says_is_forgotten():
    fleet = make_fleet()
    suspect(fleet, "s1")
    fleet.apply_health_reports((), 0)
    assert find_suspect_ids(fleet) == set()


def test_lessons_age():
    fleet = make_fleet()
    suspect(fleet, "s1", left_ms=1_000.0)
    fleet.context.now_ms += 1_001.0
    assert find_suspect_ids(fleet) == set()
    assert fleet.list_health_reports(0) == ()


def test_most_of_a_zone_is_never_suspected_at_once():
    fleet = make_fleet(n_servers=8)
    for server_id in ("s0", "s2", "s4", "s1"):
        suspect(fleet, server_id)
    assert find_suspect_ids(fleet) == {"s1"}
