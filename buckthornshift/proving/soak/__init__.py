"""Soak test of real processes under injected faults."""

from ._report import SoakReport, SoakViolation, render_soak_table
from ._soak import SoakTest

__all__ = ["SoakReport", "SoakTest", "SoakViolation", "render_soak_table"]
