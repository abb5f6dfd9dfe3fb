"""Simulated load of two sites on dispatching instances under a virtual clock."""

from ._fleet_experiment import (
    FleetExperiment,
    parse_fleet_experiment,
    run_other_version,
)
from ._fleet_load import FleetLoadPlan, FleetLoadSimulation
from ._fleet_report import (
    find_worst_windows,
    render_fleet_comparison,
    render_fleet_results,
)
from ._records import (
    FleetLoadResult,
    LatencyStage,
    RequestOutcome,
    RequestRecord,
    group_records,
    read_fleet_results,
    summarize,
)
from ._sites import SITES_BY_NAME, RequestKind, Site

__all__ = [
    "SITES_BY_NAME",
    "FleetExperiment",
    "FleetLoadPlan",
    "FleetLoadResult",
    "FleetLoadSimulation",
    "LatencyStage",
    "RequestKind",
    "RequestOutcome",
    "RequestRecord",
    "Site",
    "find_worst_windows",
    "group_records",
    "parse_fleet_experiment",
    "read_fleet_results",
    "render_fleet_comparison",
    "render_fleet_results",
    "run_other_version",
    "summarize",
]
