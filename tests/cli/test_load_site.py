"""Commands of ``load site``."""

import pathlib

from click.testing import CliRunner

import buckthornshift
from buckthornshift.cli._load_site import site

CHECKOUT = pathlib.Path(buckthornshift.__file__).parent.parent
EXPERIMENT = '{"name": "tiny", "site": "patrol", "load": 0.3, "length_s": 1.5}'


def run(*args):
    return CliRunner().invoke(site, [str(arg) for arg in args])


def test_run_against_another_version(tmp_path):
    path, out = tmp_path / "tiny.jsonc", tmp_path / "out.json"
    path.write_text(EXPERIMENT)
    result = run("run", path, "--against", CHECKOUT, "--bound", "--out", out)
    assert result.exit_code == 0, result.output
    assert "tiny/default (before)" in result.output
    assert "no dispatcher could earn more than 1.000" in result.output
    # Both sides run the same version, so the results do not differ.
    assert "all: earned" in result.output
    assert "+0.000" in result.output
    compared = run("compare", out, out)
    assert "+0.000" in compared.output
    drawn = run("report", out, "--out", tmp_path / "plots")
    assert drawn.exit_code == 0
    assert (tmp_path / "plots" / "room.png").exists()


def test_run_against_folder_without_package_fails(tmp_path):
    path = tmp_path / "tiny.jsonc"
    path.write_text(EXPERIMENT)
    result = run("run", path, "--against", tmp_path)
    assert result.exit_code != 0


def test_every_experiment_in_benchmarks_is_valid():
    from buckthornshift.load.fleet import parse_fleet_experiment

    paths = sorted((CHECKOUT / "benchmarks" / "sites").glob("*.jsonc"))
    assert len(paths) >= 4
    for path in paths:
        assert parse_fleet_experiment(path.read_text(), path.name).make_plans()
