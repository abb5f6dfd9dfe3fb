"""A dispatching instance as a process. It imports only what it serves with."""

from ._process import DispatcherProcess
from ._settings import ServingSettings, find_settings_path, parse_serving_settings

__all__ = [
    "DispatcherProcess",
    "ServingSettings",
    "find_settings_path",
    "parse_serving_settings",
]
