"""A short soak of real processes; only promises are checked, no times."""

import asyncio

from buckthornshift.proving.soak import Soak


def test_real_processes_keep_their_promises(tmp_path):
    run = Soak(seed=1, seconds=4.0, folder=str(tmp_path))
    report = asyncio.run(run.run())
    assert report.violations == []
    assert report.n_by_status.get(200, 0) > 0
    assert report.n_by_fault
