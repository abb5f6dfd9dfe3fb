"""Randomised simulations of dispatching instances, checked by an oracle."""

from ._faults import DISCONNECT_PROBABILITY, FleetFaultInjector
from ._oracle import FleetCounts, FleetOracle, FleetRule, FleetRuleError
from ._plan import (
    FleetFault,
    FleetPlan,
    FleetShape,
    PlannedFault,
    ServerKind,
    draw_fleet_plan,
)
from ._runner import (
    FleetResult,
    run_busy_fleet_seed,
    run_cells_seed,
    run_cut_servers_seed,
    run_fleet_plan,
    run_fleet_seed,
    run_held_cells_seed,
    run_series_seed,
)
from ._world import FleetWorld

__all__ = [
    "DISCONNECT_PROBABILITY",
    "FleetCounts",
    "FleetFault",
    "FleetFaultInjector",
    "FleetOracle",
    "FleetPlan",
    "FleetResult",
    "FleetRule",
    "FleetRuleError",
    "FleetShape",
    "FleetWorld",
    "PlannedFault",
    "ServerKind",
    "draw_fleet_plan",
    "run_busy_fleet_seed",
    "run_cells_seed",
    "run_cut_servers_seed",
    "run_fleet_plan",
    "run_fleet_seed",
    "run_held_cells_seed",
    "run_series_seed",
]
