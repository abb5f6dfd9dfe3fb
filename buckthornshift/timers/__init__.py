"""Timer service shared by the decision parts."""

from ._timer_queue import TimerQueue

__all__ = ["TimerQueue"]
