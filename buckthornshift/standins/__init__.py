"""Stand-ins of the surrounding systems: the platform and its backend servers."""

from ._backend_model import BackendFaults, BackendModel
from ._backend_server import BackendStandin, BackendStandinSettings
from ._fleet_platform import FleetPlatform, StoreFaults
from ._platform_model import ListModel, LogModel, PlatformFaults
from ._platform_server import PlatformStandin, PlatformStandinSettings
from ._task_server import ServerResponse, TaskServerFaults, TaskServerModel

__all__ = [
    "BackendFaults",
    "BackendModel",
    "BackendStandin",
    "BackendStandinSettings",
    "FleetPlatform",
    "ListModel",
    "LogModel",
    "PlatformFaults",
    "PlatformStandin",
    "PlatformStandinSettings",
    "ServerResponse",
    "StoreFaults",
    "TaskServerFaults",
    "TaskServerModel",
]
