"""What a dispatcher that knew everything beforehand could earn at most.

A linear relaxation: work is a fluid that may be cut and moved at will, servers never
waste room on sizes that do not fit together, nothing takes time but the tasks
themselves, and every run time is known. So no dispatcher earns more.
"""

import attrs
import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_array

from ...proving.fleet import LEAVING_SHARE, FleetFault

WINDOW_MS = 200.0
# Faults during which what a server starts is of no use, or not as fast.
USELESS = (
    FleetFault.SERVER_DEATH,
    FleetFault.SERVER_FAILS,
    FleetFault.SERVER_HANGS,
    FleetFault.SERVER_CUT,
    FleetFault.SERVER_SLOW,
)


@attrs.define(kw_only=True)
class _Program:
    """A linear program that is being written down.

    :param gains: what one unit of each variable earns.
    :param rows: rows of the entries of the constraints.
    :param columns: their columns.
    :param values: their values.
    :param limits: upper limits of the rows.
    """

    gains: list = attrs.field(factory=list)
    rows: list = attrs.field(factory=list)
    columns: list = attrs.field(factory=list)
    values: list = attrs.field(factory=list)
    limits: list = attrs.field(factory=list)

    def add_row(self, limit):
        """Add a constraint; return its number."""
        self.limits.append(limit)
        return len(self.limits) - 1

    def add_variable(self, gain, entries):
        """Add a variable with its entries: pairs of row and value."""
        column = len(self.gains)
        self.gains.append(gain)
        for row, value in entries:
            self.rows.append(row)
            self.columns.append(column)
            self.values.append(value)

    def solve(self):
        """Return the largest gain."""
        shape = (len(self.limits), len(self.gains))
        matrix = coo_array((self.values, (self.rows, self.columns)), shape=shape)
        solution = linprog(
            -np.array(self.gains), A_ub=matrix.tocsr(), b_ub=self.limits, method="highs"
        )
        if solution.status != 0:
            raise ArithmeticError(f"the bound was not found: {solution.message}")
        return -solution.fun


def compute_bound(plan):
    """Return the largest part of the credit that any dispatcher could earn.

    Requests that leave early are left out, as they are owed nothing. Troubles of
    instances and links are left out as well: the bound is about room.

    :param plan: the :class:`FleetLoadPlan`.
    """
    left_faults = [f for f in plan.faults if f.kind is FleetFault.CALLERS_LEAVE]
    owed = [a for a in plan.draw_arrivals() if not _leaves(a, left_faults)]
    if not owed:
        return 1.0
    end_ms = max(arrival.at_ms + arrival.timeout_ms for arrival in owed)
    program = _Program()
    n_windows = int(end_ms / WINDOW_MS) + 1
    room_rows = [
        program.add_row(_measure_room(plan, index * WINDOW_MS))
        for index in range(n_windows)
    ]
    for arrival in owed:
        _add_request(program, arrival, room_rows)
    return program.solve() / sum(arrival.credit for arrival in owed)


def _add_request(program, arrival, room_rows):
    """Let a request be done in part: in time for its credit, or late for less.

    Each variable is the part of it that is done in one window, for one credit.
    """
    done_row = program.add_row(1.0)
    for end_ms, credit in (
        (arrival.objective_ms, arrival.credit),
        (arrival.late_ms, arrival.late_credit),
    ):
        first = int(arrival.at_ms / WINDOW_MS)
        last = min(int((arrival.at_ms + end_ms) / WINDOW_MS), len(room_rows) - 1)
        for window in range(first, last + 1):
            entries = ((done_row, 1.0), (room_rows[window], arrival.work_cpu_ms))
            program.add_variable(credit, entries)


def _measure_room(plan, at_ms):
    """Return the work that sound servers can do in a window."""
    kinds = plan.site.server_kinds
    struck = {
        fault.target % plan.site.n_servers
        for fault in plan.faults
        if fault.kind in USELESS
        and fault.start_ms <= at_ms
        and at_ms + WINDOW_MS <= fault.start_ms + fault.length_ms
    }
    room_cpu = sum(
        kinds[index % len(kinds)].cpu * kinds[index % len(kinds)].speed
        for index in range(plan.site.n_servers)
        if index not in struck
    )
    return room_cpu * WINDOW_MS


def _leaves(arrival, faults):
    is_time = any(
        fault.start_ms <= arrival.at_ms < fault.start_ms + fault.length_ms
        for fault in faults
    )
    return is_time and arrival.leave_draw < LEAVING_SHARE
