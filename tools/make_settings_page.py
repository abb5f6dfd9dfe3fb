"""Write docs/settings.md from the fields and docstrings of the settings classes."""

import pathlib
import re

import attrs

from buckthornshift.contracts import EntrySpec, OwnerSpec
from buckthornshift.core import CoreSettings
from buckthornshift.dispatch import DispatchSettings
from buckthornshift.instances import Address, EntrySettings
from buckthornshift.serving import ServingSettings

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "settings.md"
HEAD = """# Settings

Settings of an entry instance are JSON with comments; `examples/entry.jsonc` is a
start. `buckthornshift serve --check FILE` checks a file. A dispatching instance on the
platform has settings of its own (`deploy/settings.jsonc` is their template there;
`buckthornshift dispatch --check FILE` checks a file). Unknown keys and bad values
are errors that name the key. This page is written by `tools/make_settings_page.py`; a
test holds it equal to the code. Times are in milliseconds unless a key says otherwise.
"""
SECTIONS = (
    ("Entry instance", EntrySettings),
    ("`callers`, `peers`, `platform`", Address),
    ("`core`", CoreSettings),
    ("Dispatching instance", ServingSettings),
    ("`dispatch`", DispatchSettings),
    ("Catalogue: an owner", OwnerSpec),
    ("Catalogue: an entry", EntrySpec),
)
NESTED_SECTION_KEYS = ("platform", "core", "dispatch", "policy")


def parse_params(docstring):
    """Return the text of each ``:param`` field of a docstring, by parameter."""
    parts = re.split(r"^\s*:param (\w+):", docstring, flags=re.MULTILINE)
    names, texts = parts[1::2], parts[2::2]
    return {
        name: " ".join(text.split("\n\n")[0].split())
        for name, text in zip(names, texts, strict=True)
    }


def render_default(name, field):
    """Return the default of a field as a settings file would spell it."""
    if name in NESTED_SECTION_KEYS or attrs.has(type(field.default)):
        return "see below" if name != "policy" else "not settable"
    if isinstance(field.default, bool):
        return str(field.default).lower()
    return repr(field.default).replace("'", '"')


def render_page():
    """Return the page as Markdown, with one table for each settings class."""
    parts = [HEAD]
    for title, settings_class in SECTIONS:
        texts = parse_params(settings_class.__doc__)
        parts.append(f"## {title}\n")
        parts.append("| key | default | meaning |\n|---|---|---|")
        for name, field in attrs.fields_dict(settings_class).items():
            default = render_default(name, field)
            parts.append(f"| `{name}` | {default} | {texts[name]} |")
        parts.append("")
    return "\n".join(parts)


if __name__ == "__main__":
    PAGE.write_text(render_page(), encoding="utf-8")
