"""Randomised runs of several cores under a virtual clock, with an oracle."""

from ._fake_callers import FakeCallers
from ._fault_injector import FaultInjector
from ._oracle import Oracle, RunCounts, TrackedRequest
from ._plan import Fault, FaultKind, RunPlan, draw_plan
from ._runner import RunResult, run_plan, run_seed
from ._simulation import Simulation, make_core_settings

__all__ = [
    "FakeCallers",
    "Fault",
    "FaultInjector",
    "FaultKind",
    "Oracle",
    "RunCounts",
    "RunPlan",
    "RunResult",
    "Simulation",
    "TrackedRequest",
    "draw_plan",
    "make_core_settings",
    "run_plan",
    "run_seed",
]
