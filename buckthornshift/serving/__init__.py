"""Run a dispatching instance as a process.

To keep the memory use of the process small, this package imports only what an instance
needs to serve requests.
"""

from ._process import DispatcherProcess
from ._settings import ServingSettings, find_settings_path, parse_serving_settings

__all__ = [
    "DispatcherProcess",
    "ServingSettings",
    "find_settings_path",
    "parse_serving_settings",
]
