"""Load, experiments and reports on systems over loopback or a virtual clock."""

from ._experiment import Experiment, make_runs, parse_experiment
from ._external_system import ExternalSystem
from ._load_plan import LoadPlan
from ._local_system import LocalSystem, NotReadyError, SystemShape
from ._profiles import (
    PROFILES_BY_NAME,
    Arrival,
    Profile,
    draw_arrivals,
    make_catalogue,
)
from ._real_time_run import RealTimeRun
from ._recorder import LoadRecorder, LoadResult, MessageCounts, SystemCounts
from ._report import read_results, render_comparison, render_results
from ._result_files import write_result_file
from ._virtual_time_run import VirtualTimeRun

__all__ = [
    "PROFILES_BY_NAME",
    "Arrival",
    "Experiment",
    "ExternalSystem",
    "LoadPlan",
    "LoadResult",
    "LocalSystem",
    "MessageCounts",
    "NotReadyError",
    "Profile",
    "RealTimeRun",
    "LoadRecorder",
    "SystemCounts",
    "SystemShape",
    "VirtualTimeRun",
    "draw_arrivals",
    "make_catalogue",
    "make_runs",
    "parse_experiment",
    "read_results",
    "render_comparison",
    "render_results",
    "write_result_file",
]
