"""Catalogue documents: parsing, checks and differences."""

import attrs
import msgspec

from ..contracts import (
    MAX_TASKS_PER_JOB,
    CatalogueDocument,
    EntrySpec,
    InvalidInputError,
    OwnerSpec,
    check_unknown_keys,
    convert_value,
)
from ._json_with_comments import parse_json_with_comments

MAX_NAME_CHARS = 64


def parse_catalogue(text, where):
    """Return a checked catalogue document.

    :param text: JSON with comments.
    :param where: name of the file, for errors.
    :raises InvalidInputError: with the path, what was got and what was expected.
    """
    value = parse_json_with_comments(text, where)
    check_unknown_keys(value, CatalogueDocument, where)
    for section, cls in (("owners", OwnerSpec), ("entries", EntrySpec)):
        items = value.get(section, {}) if isinstance(value, dict) else {}
        if isinstance(items, dict):
            for name, item in items.items():
                check_unknown_keys(item, cls, f"{where}.{section}.{name}")
    document = convert_value(value, CatalogueDocument, where)
    check_catalogue(document, where)
    return document


def check_catalogue(document, where):
    """Raise if a document contradicts itself or a value is out of range.

    :param document: a :class:`~buckthornshift.contracts.CatalogueDocument`.
    :param where: name of the file, for errors.
    """
    for name, owner in document.owners.items():
        _check_name(name, f"{where}.owners")
        _check_numbers(owner, f"{where}.owners.{name}")
        if owner.weight < 1:
            _fail(f"{where}.owners.{name}.weight", owner.weight, "1 or more")
    for name, entry in document.entries.items():
        path = f"{where}.entries.{name}"
        _check_name(name, f"{where}.entries")
        _check_numbers(entry, path)
        _check_entry(entry, document.owners, path)


def render_change(key, before, after):
    """Return a line that tells the change of one item.

    :param key: key of the item.
    :param before: the :class:`CatalogueItem` in force, or ``None``.
    :param after: the wanted item.
    """
    is_new = before is None or (before.owner is None and before.entry is None)
    spec = after.owner or after.entry
    if spec is None:
        return f"- {key}"
    if is_new:
        return f"+ {key}: {_encode(spec)}"
    old = attrs.asdict(before.owner or before.entry)
    changes = [
        f"{name} {_encode(old.get(name))} -> {_encode(value)}"
        for name, value in attrs.asdict(spec).items()
        if old.get(name) != value
    ]
    return f"~ {key}: {', '.join(changes)}"


def _check_entry(entry, owners, path):
    if entry.owner not in owners:
        expected = f"one of the owners: {', '.join(owners) or 'none is listed'}"
        _fail(f"{path}.owner", repr(entry.owner), expected)
    if not 1 <= entry.max_tasks_per_job <= MAX_TASKS_PER_JOB:
        _fail(
            f"{path}.max_tasks_per_job",
            entry.max_tasks_per_job,
            f"1 to {MAX_TASKS_PER_JOB}",
        )
    if entry.max_attempts < 1:
        _fail(f"{path}.max_attempts", entry.max_attempts, "1 or more")
    if entry.max_timeout_ms < 1:
        _fail(f"{path}.max_timeout_ms", entry.max_timeout_ms, "1 or more")


def _check_name(name, where):
    if not 1 <= len(name) <= MAX_NAME_CHARS:
        _fail(f"{where}.{name}", f"{len(name)} characters", f"1 to {MAX_NAME_CHARS}")


def _check_numbers(spec, path):
    for name, value in attrs.asdict(spec).items():
        if isinstance(value, int | float) and value < 0:
            _fail(f"{path}.{name}", value, "0 or more")


def _fail(where, got, expected):
    raise InvalidInputError(where=where, got=str(got), expected=expected)


def _encode(value):
    return msgspec.json.encode(value).decode()
