"""Entry instances at runtime: settings, event loop and metrics."""

from ._entry_process import EntryProcess
from ._settings import (
    Address,
    EntrySettings,
    check_settings,
    parse_settings,
)

__all__ = [
    "Address",
    "EntryProcess",
    "EntrySettings",
    "check_settings",
    "parse_settings",
]
