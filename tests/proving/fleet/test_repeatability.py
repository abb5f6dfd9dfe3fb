"""A seed determines a run, whatever the hash seed and the folder of the process."""

import os
import subprocess
import sys

PROGRAM = """
from buckthornshift.proving.fleet import run_cells_seed, run_fleet_seed

for seed in (3, 11):
    print(run_fleet_seed(seed), run_cells_seed(seed))
"""


def run_in_process(hash_seed, folder):
    environment = os.environ | {"PYTHONHASHSEED": str(hash_seed)}
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        env=environment,
        cwd=folder,
        check=True,
        capture_output=True,
    )
    return result.stdout


def test_run_does_not_depend_on_hash_seed_or_folder(tmp_path):
    other_folder = tmp_path / "a-folder-with-a-longer-name"
    other_folder.mkdir()
    outputs = {
        run_in_process(0, tmp_path),
        run_in_process(1, tmp_path),
        run_in_process(12345, other_folder),
    }
    assert len(outputs) == 1
    assert b"FleetResult" in outputs.pop()
