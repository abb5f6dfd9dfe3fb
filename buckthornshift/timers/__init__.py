"""Timer service shared by the decision parts."""

from ._service import TimerService

__all__ = ["TimerService"]
