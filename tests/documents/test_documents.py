"""Files that operators write."""

import pytest

from buckthornshift.cli._demo import read_example_catalogue
from buckthornshift.contracts import CatalogueItem, EntrySpec, InvalidInputError
from buckthornshift.documents import parse_catalogue, read_text, render_change
from buckthornshift.instances import parse_settings
from buckthornshift.load import parse_experiment


@pytest.mark.parametrize("name", ["cash-desk.jsonc", "line-patrol.jsonc"])
def test_examples_are_valid(name):
    assert read_example_catalogue(name).entries


@pytest.mark.parametrize(
    ("text", "where"),
    [
        ("{", "f"),
        ('{"owners": {}, "entries": {"x": {"owner": "o"}}}', "f.entries.x.owner"),
        ('{"owners": {"o": {"colour": 1}}}', "f.owners.o.colour"),
        ('{"owners": {"o": {"weight": 0}}}', "f.owners.o.weight"),
        ('{"owners": {"o": {"weight": "1"}}}', "f.owners[...].weight"),
        (
            '{"owners": {"o": {}}, "entries": {"x": {"owner": "o", '
            '"max_tasks_per_job": 999}}}',
            "f.entries.x.max_tasks_per_job",
        ),
        ('{"entires": {}}', "f.entires"),
    ],
)
def test_bad_catalogues_name_the_path(text, where):
    with pytest.raises(InvalidInputError) as caught:
        parse_catalogue(text, "f")
    assert caught.value.where == where


@pytest.mark.parametrize(
    ("text", "where"),
    [
        ('{"instance": "x"}', "s.instance"),
        ('{"zone": 3}', "s.zone"),
        ('{"callers": {"port": 99999}}', "s.callers.port"),
        ('{"core": {"retry_base_ms": -1}}', "s.core.retry_base_ms"),
        ('{"core": {"deadline_margin": 2}}', "s.core.deadline_margin"),
        ('{"core": {"policy": {}}}', "s.core.policy"),
        ('{"instance_id": ""}', "s.instance_id"),
    ],
)
def test_bad_settings_name_the_key(text, where):
    with pytest.raises(InvalidInputError) as caught:
        parse_settings(text, "s")
    assert caught.value.where == where


def test_settings_allow_comments():
    settings = parse_settings('{"zone": "z", /* here */ "core": {"max_claims": 5}}')
    assert settings.zone == "z"
    assert settings.core.max_claims == 5


@pytest.mark.parametrize(
    ("text", "where"),
    [
        ('{"profile": "x"}', "e.profile"),
        ('{"length_s": 0}', "e.length_s"),
        ('{"policies": ["best"]}', "e.policies"),
        ('{"shape": {"n_zone": 1}}', "e.shape.n_zone"),
    ],
)
def test_bad_experiments_name_the_key(text, where):
    with pytest.raises(InvalidInputError) as caught:
        parse_experiment(text, "e")
    assert caught.value.where == where


def test_missing_file_is_a_typed_error():
    with pytest.raises(InvalidInputError):
        read_text("/nowhere/at/all")


def test_changes_are_readable():
    old = CatalogueItem(entry=EntrySpec(owner="o"))
    new = CatalogueItem(entry=EntrySpec(owner="o", max_attempts=5))
    assert render_change("entry/x", old, new) == "~ entry/x: max_attempts 3 -> 5"
    assert render_change("entry/x", old, CatalogueItem()) == "- entry/x"
    assert render_change("entry/x", None, new).startswith("+ entry/x: ")
