"""Tests of free-slot estimates and of the slots reserved for small jobs."""

from buckthornshift.contracts import InstanceRecord, ServerReport
from buckthornshift.core import CoreSettings, EntryIdentity
from buckthornshift.core._placement import Placement
from buckthornshift.core._servers import ServerTable

AFTER_SILENCE_MS = 30_000.0


class StubTaskOfLargeJob:
    """A task with the only attribute that the slot count reads."""

    is_large = True


def make_table_of_one_server(slots):
    table = ServerTable(settings=CoreSettings(), identity=EntryIdentity(zone="z"))
    record = InstanceRecord(instance_id="s", incarnation="1", zone="z", slots=slots)
    table.apply_list([record], {"z": [""]})
    return table


def test_server_last_reported_as_busy_gets_work_after_silence():
    """An instance whose servers were all busy sent no work, and so got no reports.

    It must not go on for ever with load figures that nothing updates.
    """
    table = make_table_of_one_server(slots=1)
    server = table.by_id["s"]
    for now_ms in range(100):
        report = ServerReport(incarnation="1", n_running=1)
        table.apply_report(server, report, float(now_ms))
    assert server.estimate_free_slots(100.0, table.fleet_load).count_startable() == 0
    assert (
        server.estimate_free_slots(AFTER_SILENCE_MS, table.fleet_load).count_startable()
        == 1
    )


def test_large_job_may_use_the_only_slot_of_a_server():
    """A slot reserved for small jobs must not leave large jobs without any."""
    table = make_table_of_one_server(slots=1)
    placement = Placement(
        settings=CoreSettings(), identity=EntryIdentity(zone="z"), servers=table
    )
    candidates = placement.list_candidates(table.same_zone, 0.0)
    assert placement._count_startable(candidates[0], StubTaskOfLargeJob()) == 1
