"""A soak of the real programs under faults from outside."""

from ._report import SoakReport, render_soak_table
from ._soak import SoakTest

__all__ = ["SoakReport", "SoakTest", "render_soak_table"]
