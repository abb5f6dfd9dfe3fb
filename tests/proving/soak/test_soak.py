"""Short soak tests of real processes; only invariants are checked, not timing."""

import asyncio
import json

from buckthornshift.proving.soak import (
    SoakReport,
    SoakTest,
    SoakViolation,
    render_soak_table,
)
from buckthornshift.standins import TaskServerModel


def test_real_processes_violate_no_invariant(tmp_path):
    soak = SoakTest(seed=1, seconds=4.0, folder=str(tmp_path))
    report = asyncio.run(soak.run())
    assert report.violations == []
    assert report.n_by_status.get(200, 0) > 0
    assert report.n_by_fault


def test_violation_is_reported(tmp_path, monkeypatch):
    """Servers begin every task twice, which the oracle must report."""
    begin = TaskServerModel._begin

    def begin_twice(self, order, now_ms):
        begin(self, order, now_ms)
        begin(self, order, now_ms)

    monkeypatch.setattr(TaskServerModel, "_begin", begin_twice)
    soak = SoakTest(seed=1, seconds=2.0, folder=str(tmp_path))
    report = asyncio.run(soak.run())
    assert "one_run" in {violation.invariant for violation in report.violations}
    # Guards against a violation whose invariant is known only from the output.
    written = json.loads((tmp_path / "violations.json").read_text())
    assert len(written) == len(report.violations)
    assert written[0]["invariant"] == report.violations[0].invariant
    assert written[0]["detail"] and written[0]["seconds"] > 0.0
    assert str(tmp_path) in render_soak_table([report])


def test_soak_table_sums_all_reports():
    reports = [
        SoakReport(
            seed=7,
            seconds=60.0,
            n_jobs=5,
            n_by_status={200: 4, 0: 1},
            n_by_fault={"kill": 2},
        ),
        SoakReport(
            seed=8,
            seconds=60.0,
            n_jobs=3,
            n_by_status={200: 3},
            n_by_fault={"kill": 1},
            violations=[SoakViolation(invariant="one_run", detail="x")],
        ),
    ]
    table = render_soak_table(reports)
    assert "2 seeds, 2.0 minutes of load, 8 jobs, 8 answers" in table
    assert "kill 3" in table
    assert "seeds with a violation: 8" in table
