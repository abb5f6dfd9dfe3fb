"""Short soaks of real processes; only promises are checked, no times."""

import asyncio

from buckthornshift.proving.soak import SoakReport, SoakTest, render_soak_table
from buckthornshift.standins import TaskServerModel


def test_real_processes_keep_their_promises(tmp_path):
    run = SoakTest(seed=1, seconds=4.0, folder=str(tmp_path))
    report = asyncio.run(run.run())
    assert report.violations == []
    assert report.n_by_status.get(200, 0) > 0
    assert report.n_by_fault


def test_a_broken_promise_is_seen(tmp_path, monkeypatch):
    """Servers that begin everything twice are caught from outside."""
    begin = TaskServerModel._begin

    def begin_twice(self, order, now_ms):
        begin(self, order, now_ms)
        begin(self, order, now_ms)

    monkeypatch.setattr(TaskServerModel, "_begin", begin_twice)
    run = SoakTest(seed=1, seconds=2.0, folder=str(tmp_path))
    report = asyncio.run(run.run())
    assert any("one_run" in violation for violation in report.violations)


def test_the_table_adds_up_runs():
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
            violations=["one_run: x"],
        ),
    ]
    table = render_soak_table(reports)
    assert "2 seeds, 2.0 minutes of load, 8 jobs, 8 answers" in table
    assert "kill 3" in table
    assert "seeds with a violation: 8" in table
