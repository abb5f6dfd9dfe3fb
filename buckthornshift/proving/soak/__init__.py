"""A soak of the real programs under faults from outside."""

from ._soak import Soak, SoakReport

__all__ = ["Soak", "SoakReport"]
