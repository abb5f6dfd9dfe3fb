"""Timer queue used by the components of the core."""

from ._timer_queue import TimerQueue

__all__ = ["TimerQueue"]
