"""Catalogue documents: parsing, validation and descriptions of changes."""

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
    """Parse and validate a catalogue document.

    :param text: JSON with comments.
    :param where: name of the file, for error messages.
    :returns: a :class:`~buckthornshift.contracts.CatalogueDocument`.
    :raises InvalidInputError: with the path, the value found and those accepted.
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
    """Raise if an entry has an unknown owner or a value is out of range.

    :param document: a :class:`~buckthornshift.contracts.CatalogueDocument`.
    :param where: name of the file, for error messages.
    :raises InvalidInputError: with the path, the value found and those accepted.
    """
    for name, owner in document.owners.items():
        _check_name(name, f"{where}.owners")
        _check_numbers(owner, f"{where}.owners.{name}")
        if owner.weight < 1:
            _raise_invalid(f"{where}.owners.{name}.weight", owner.weight, "1 or more")
    for name, entry in document.entries.items():
        path = f"{where}.entries.{name}"
        _check_name(name, f"{where}.entries")
        _check_numbers(entry, path)
        _check_entry(entry, document.owners, path)


def render_change(key, before, after):
    """Return one line that describes the change of an item.

    The line starts with ``+`` for a new item, ``-`` for a deleted one and ``~`` for a
    changed one.

    :param key: key of the item.
    :param before: the current :class:`CatalogueItem`, or ``None``.
    :param after: the new item.
    """
    is_new = before is None or (before.owner is None and before.entry is None)
    spec = after.owner or after.entry
    if spec is None:
        return f"- {key}"
    if is_new:
        return f"+ {key}: {_encode_json(spec)}"
    old_values = attrs.asdict(before.owner or before.entry)
    changes = [
        f"{name} {_encode_json(old_values.get(name))} -> {_encode_json(value)}"
        for name, value in attrs.asdict(spec).items()
        if old_values.get(name) != value
    ]
    return f"~ {key}: {', '.join(changes)}"


def _check_entry(entry, owners, path):
    if entry.owner not in owners:
        expected = f"one of the owners: {', '.join(owners) or 'none is listed'}"
        _raise_invalid(f"{path}.owner", repr(entry.owner), expected)
    if not 1 <= entry.max_tasks_per_job <= MAX_TASKS_PER_JOB:
        _raise_invalid(
            f"{path}.max_tasks_per_job",
            entry.max_tasks_per_job,
            f"1 to {MAX_TASKS_PER_JOB}",
        )
    if entry.max_attempts < 1:
        _raise_invalid(f"{path}.max_attempts", entry.max_attempts, "1 or more")
    if entry.max_timeout_ms < 1:
        _raise_invalid(f"{path}.max_timeout_ms", entry.max_timeout_ms, "1 or more")


def _check_name(name, where):
    if not 1 <= len(name) <= MAX_NAME_CHARS:
        _raise_invalid(
            f"{where}.{name}", f"{len(name)} characters", f"1 to {MAX_NAME_CHARS}"
        )


def _check_numbers(spec, path):
    for name, value in attrs.asdict(spec).items():
        if isinstance(value, int | float) and value < 0:
            _raise_invalid(f"{path}.{name}", value, "0 or more")


def _raise_invalid(where, got, expected):
    raise InvalidInputError(where=where, got=str(got), expected=expected)


def _encode_json(value):
    return msgspec.json.encode(value).decode()
