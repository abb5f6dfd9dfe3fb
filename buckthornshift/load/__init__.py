"""Load, experiments and reports on systems over loopback."""

from ._local_system import (
    POLL_S,
    READY_TIMEOUT_S,
    LocalSystem,
    NotReadyError,
    SystemShape,
)

__all__ = [
    "LocalSystem",
    "NotReadyError",
    "POLL_S",
    "READY_TIMEOUT_S",
    "SystemShape",
]
