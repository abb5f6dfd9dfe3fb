"""Randomised runs of several cores under a virtual clock, with an oracle."""

from ._clock import (
    EPOCH_MS,
    VirtualClock,
)
from ._fake_callers import (
    ENTRY_NAMES,
    LATE_BALANCER,
    MAX_TRIES,
    PATIENCE_MS,
    FakeCallers,
    make_catalogue_items,
)
from ._fake_links import (
    CALL_TIMEOUT_MS,
    PLATFORM_MS,
    READ_INTERVAL_MS,
    SYNC_MS,
    FakeLinks,
)
from ._faults import (
    FaultInjector,
)
from ._oracle import (
    ANSWER_GRACE_MS,
    LEAVING_GRACE_MS,
    Oracle,
    RunCounts,
    SeenRequest,
    SeenStart,
    replay_catalogue,
)
from ._plan import (
    MAX_FAULT_MS,
    MAX_FAULTS,
    SHORT_RETENTION_MS,
    Fault,
    FaultKind,
    RunPlan,
    draw_plan,
)
from ._runner import (
    CHECK_INTERVAL_MS,
    RunResult,
    run_plan,
    run_seed,
)
from ._world import (
    LIST_POLL_MS,
    RESTART_MS,
    Conditions,
    EntryNode,
    ServerNode,
    World,
    make_core_settings,
)

__all__ = [
    "ANSWER_GRACE_MS",
    "CALL_TIMEOUT_MS",
    "CHECK_INTERVAL_MS",
    "Conditions",
    "ENTRY_NAMES",
    "EPOCH_MS",
    "EntryNode",
    "FakeCallers",
    "FakeLinks",
    "Fault",
    "FaultInjector",
    "FaultKind",
    "LATE_BALANCER",
    "LEAVING_GRACE_MS",
    "LIST_POLL_MS",
    "MAX_FAULTS",
    "MAX_FAULT_MS",
    "MAX_TRIES",
    "Oracle",
    "PATIENCE_MS",
    "PLATFORM_MS",
    "READ_INTERVAL_MS",
    "RESTART_MS",
    "RunCounts",
    "RunPlan",
    "RunResult",
    "SHORT_RETENTION_MS",
    "SYNC_MS",
    "SeenRequest",
    "SeenStart",
    "ServerNode",
    "VirtualClock",
    "World",
    "draw_plan",
    "make_catalogue_items",
    "make_core_settings",
    "replay_catalogue",
    "run_plan",
    "run_seed",
]
