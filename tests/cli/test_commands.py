"""Commands that need no running system."""

import json

import pytest
from click.testing import CliRunner

from buckthornshift.cli import main
from buckthornshift.load import LoadResult, read_results, write_result_file


def run(*args):
    return CliRunner().invoke(main, args)


@pytest.mark.parametrize(
    "command",
    [
        "serve",
        "dispatch",
        "submit",
        "cancel",
        "state",
        "explain",
        "catalogue",
        "standin",
        "demo",
        "fuzz",
        "soak",
        "evacuation",
    ],
)
def test_every_command_has_help(command):
    result = run(command, "--help")
    assert result.exit_code == 0
    assert "Usage:" in result.output


def test_unknown_command_is_a_usage_error():
    assert run("no-such-command").exit_code == 2


def test_serve_check_validates_settings(tmp_path):
    path = tmp_path / "entry.jsonc"
    path.write_text('{"zone": "z" /* here */}')
    assert run("serve", "--check", str(path)).exit_code == 0
    path.write_text('{"zoned": "z"}')
    result = run("serve", "--check", str(path))
    assert result.exit_code == 2
    assert "zoned" in result.output
    assert "Traceback" not in result.output


def test_dispatch_check_validates_settings(tmp_path):
    path = tmp_path / "dispatcher.jsonc"
    path.write_text('{"zone": "z" /* here */}')
    assert run("dispatch", "--check", str(path)).exit_code == 0
    path.write_text('{"callers": "here"}')
    result = run("dispatch", "--check", str(path))
    assert result.exit_code == 2
    assert "callers" in result.output


def test_fuzz_runs_fleet_simulation():
    result = run("fuzz", "--on", "fleet", "--seeds", "1", "--output", "json")
    assert result.exit_code == 0
    assert json.loads(result.output)["counts"]["n_starts"] > 0


def test_fuzz_lists_known_faults_if_fault_is_unknown():
    result = run("fuzz", "--on", "fleet", "--fault", "log_slow")
    assert result.exit_code == 2
    assert "owner_death" in result.output


def test_catalogue_error_names_file_and_key_path(tmp_path):
    path = tmp_path / "c.jsonc"
    path.write_text('{"entries": {"x": {"owner": "nobody"}}}')
    result = run("catalogue", "validate", str(path))
    assert result.exit_code == 2
    assert f"{path}.entries.x.owner" in result.output


def test_fuzz_prints_json():
    result = run("fuzz", "--seeds", "2", "--output", "json")
    assert result.exit_code == 0
    report = json.loads(result.output)
    assert report["n_seeds"] == 2
    assert report["failed"] == []


def test_load_run_compare_and_report(tmp_path):
    experiment = tmp_path / "e.jsonc"
    experiment.write_text(
        '{"name": "tiny", "length_s": 2, "policies": ["default", "random"],'
        ' "shape": {"n_zones": 2, "n_entries": 2, "n_servers": 4}}'
    )
    out = tmp_path / "r.json"
    result = run("load", "run", str(experiment), "--out", str(out))
    assert result.exit_code == 0, result.output
    assert "tiny/default" in result.output
    again = tmp_path / "again.json"
    run("load", "run", str(experiment), "--out", str(again))
    assert read_results(out) == read_results(again)
    assert "1.00" in run("load", "compare", str(out), str(again)).output
    drawn = run("load", "report", str(out), "--out", str(tmp_path / "pics"))
    assert drawn.exit_code == 0, drawn.output
    assert len(list((tmp_path / "pics").glob("*.png"))) == 4


def test_result_file_round_trip(tmp_path):
    path = tmp_path / "r.json"
    write_result_file(path, [LoadResult(name="x", n_jobs=3)])
    assert read_results(path)[0].n_jobs == 3


def test_invalid_result_file_is_a_usage_error(tmp_path):
    path = tmp_path / "r.json"
    path.write_text("[")
    result = run("load", "compare", str(path), str(path))
    assert result.exit_code == 2
