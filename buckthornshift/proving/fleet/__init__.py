"""Randomised runs of dispatching instances under a virtual clock, with an oracle."""

from ._oracle import FleetCounts, FleetRule
from ._plan import FleetFault, FleetPlan, PlannedFault, draw_fleet_plan
from ._runner import FleetResult, run_fleet_plan, run_fleet_seed
from ._world import FleetWorld

__all__ = [
    "FleetCounts",
    "FleetFault",
    "FleetPlan",
    "FleetResult",
    "FleetRule",
    "FleetWorld",
    "PlannedFault",
    "draw_fleet_plan",
    "run_fleet_plan",
    "run_fleet_seed",
]
