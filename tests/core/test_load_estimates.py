"""What an instance believes of servers that it has not heard from for long."""

from buckthornshift.contracts import InstanceRecord, ServerReport
from buckthornshift.core import CoreSettings, EntryIdentity
from buckthornshift.core._placement import Placement
from buckthornshift.core._servers import ServerTable

SILENCE_MS = 30_000.0


class LargeTask:
    """A task of a large job."""

    is_large = True


def make_table(slots):
    table = ServerTable(settings=CoreSettings(), identity=EntryIdentity(zone="z"))
    record = InstanceRecord(instance_id="s", incarnation="1", zone="z", slots=slots)
    table.apply_list([record], {"z": [""]})
    return table


def test_servers_last_heard_of_as_busy_get_work_again():
    table = make_table(slots=1)
    server = table.by_id["s"]
    for now_ms in range(100):
        report = ServerReport(incarnation="1", n_running=1)
        table.note_report(server, report, float(now_ms))
    assert server.estimate_free_slots(100.0, table.fleet_load).count() == 0
    assert server.estimate_free_slots(SILENCE_MS, table.fleet_load).count() == 1


def test_large_jobs_may_use_servers_with_one_slot():
    table = make_table(slots=1)
    placement = Placement(
        settings=CoreSettings(), identity=EntryIdentity(zone="z"), servers=table
    )
    candidates = placement.list_candidates(table.same_zone, 0.0)
    assert placement._count_room(candidates[0], LargeTask()) == 1
