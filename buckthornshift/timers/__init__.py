"""Timer queue used by the components of the core."""

from ._service import TimerService

__all__ = ["TimerService"]
