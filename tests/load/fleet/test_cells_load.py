"""Pattern: more work than the processor of one owner can do."""

from buckthornshift.dispatch import DispatchSettings
from buckthornshift.load.fleet import SITES_BY_NAME, FleetLoadPlan, FleetLoadSimulation


def run_with_cells(cell_servers):
    """Run the grown patrol desk on instances that take 0.4 ms for an event."""
    plan = FleetLoadPlan(
        site=SITES_BY_NAME["patrol-grown"],
        load=0.8,
        length_ms=1_500.0,
        event_ms=0.4,
        settings=DispatchSettings(cell_servers=cell_servers),
    )
    return FleetLoadSimulation(plan=plan).run()


def compute_share(result):
    owed = sum(record.credit for record in result.records)
    return sum(record.earned for record in result.records) / owed


def test_cells_serve_what_is_too_much_for_one_owner():
    """Calm, below the load that there is room for: nine tenths of the credit."""
    one, four = run_with_cells(256), run_with_cells(64)
    assert one.violation == four.violation == ""
    assert compute_share(four) >= 0.9 > compute_share(one)
