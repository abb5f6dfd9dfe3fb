"""Pages that must equal the code."""

import importlib.util
import json
import pathlib
import re

from buckthornshift.contracts import Reason
from buckthornshift.core import EventCode, Invariant
from buckthornshift.dispatch import LogCode
from buckthornshift.proving.fleet import FleetRule

ROOT = pathlib.Path(__file__).parent.parent.parent
DOCS = ROOT / "docs"
SOURCE = ROOT / "buckthornshift"


def load_tool(name):
    spec = importlib.util.spec_from_file_location(name, ROOT / "tools" / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_settings_page():
    tool = load_tool("make_settings_page")
    assert tool.PAGE.read_text() == tool.render_page()


def test_events_page():
    rows = re.findall(
        r"^\| (\d{4}) \| (\w+) \|", (DOCS / "EVENTS.md").read_text(), re.M
    )
    codes = [*EventCode, *LogCode]
    assert rows == [(str(code.value), code.name) for code in codes]


def test_every_event_is_used():
    text = "\n".join(path.read_text() for path in SOURCE.rglob("*.py"))
    unused = [code.name for code in EventCode if f"EventCode.{code.name}" not in text]
    unused += [code.name for code in LogCode if f"LogCode.{code.name}" not in text]
    assert not unused


def test_invariants_page():
    text = (DOCS / "INVARIANTS.md").read_text()
    assert not [name for name in Invariant if f"`{name.value}`" not in text]


def test_rules_of_dispatching_are_on_the_page():
    text = (DOCS / "INVARIANTS.md").read_text()
    assert not [rule for rule in FleetRule if f"`{rule.value}`" not in text]


def test_reasons_are_documented_and_used():
    text = (DOCS / "protocols" / "callers.md").read_text()
    source = "\n".join(path.read_text() for path in SOURCE.rglob("*.py"))
    for reason in Reason:
        assert f"`{reason.value}`" in text, reason
        assert f"Reason.{reason.name}" in source, reason


def test_openapi_document():
    document = json.loads((SOURCE / "data" / "openapi.json").read_text())
    source = (SOURCE / "links" / "_caller_server.py").read_text()
    served = set(re.findall(r'"(/[^"]*)", self\._', source))
    assert served == set(document["paths"])


def test_capacity_page():
    tool = load_tool("make_capacity_page")
    data = json.loads((DOCS / "slopes.json").read_text())
    assert tool.PAGE.read_text() == tool.render_page(data)
