"""What a dispatcher that knew everything beforehand could earn at most.

A linear relaxation: every run time is known, a job's tasks may be cut and moved at
will, nothing takes time but the tasks themselves, and instances and links never fail.
Two limits of the servers are kept: their cores, and how many tasks of each size fit
together. So no dispatcher earns more.
"""

import attrs
import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_array

from ...proving.fleet import LEAVING_SHARE, FleetFault

WINDOW_MS = 100.0
# Faults during which what a server starts is of no use, or not as fast.
SERVER_CAPACITY_FAULTS = (
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
    :param most: largest value of each variable.
    :param rows: rows of the entries of the constraints.
    :param columns: their columns.
    :param values: their values.
    :param limits: upper limits of the rows.
    """

    gains: list = attrs.field(factory=list)
    most: list = attrs.field(factory=list)
    rows: list = attrs.field(factory=list)
    columns: list = attrs.field(factory=list)
    values: list = attrs.field(factory=list)
    limits: list = attrs.field(factory=list)

    def add_row(self, limit):
        """Add a constraint; return its number."""
        self.limits.append(limit)
        return len(self.limits) - 1

    def add_variable(self, gain, most, entries):
        """Add a variable with its entries: pairs of row and value."""
        column = len(self.gains)
        self.gains.append(gain)
        self.most.append(most)
        for row, value in entries:
            self.rows.append(row)
            self.columns.append(column)
            self.values.append(value)

    def solve(self):
        """Return the largest gain."""
        shape = (len(self.limits), len(self.gains))
        matrix = coo_array((self.values, (self.rows, self.columns)), shape=shape)
        solution = linprog(
            -np.array(self.gains),
            A_ub=matrix.tocsr(),
            b_ub=self.limits,
            bounds=np.column_stack((np.zeros(len(self.most)), self.most)),
            method="highs",
        )
        if solution.status != 0:
            raise ArithmeticError(f"the bound was not found: {solution.message}")
        return -solution.fun


@attrs.frozen(kw_only=True)
class _Room:
    """Room of the sound servers of one kind in one window.

    :param kind: the :class:`~buckthornshift.proving.fleet.ServerKind`.
    :param cpu_row: constraint of their cores.
    :param fit_row: constraint of how many tasks fit together.
    :param n_fit: tasks of the common size that one server holds.
    """

    kind: object = None
    n_fit: int = 1
    cpu_row: int = 0
    fit_row: int = 0


def compute_upper_bound(plan):
    """Return the largest part of the credit that any dispatcher could earn.

    Requests that leave early are left out, as they are owed nothing.

    :param plan: the :class:`FleetLoadPlan`.
    """
    left_faults = [f for f in plan.faults if f.kind is FleetFault.CALLERS_LEAVE]
    owed = [a for a in plan.draw_arrivals() if not _leaves(a, left_faults)]
    if not owed:
        return 1.0
    end_ms = max(arrival.at_ms + arrival.late_ms for arrival in owed)
    program = _Program()
    n_windows = int(end_ms / WINDOW_MS) + 1
    rooms = [_add_rooms(program, plan, i * WINDOW_MS) for i in range(n_windows)]
    for arrival in owed:
        _add_request(program, arrival, rooms)
    return program.solve() / sum(arrival.credit for arrival in owed)


def compute_packing_weight(need_cpu, capacity_cpu, n_fit):
    """Return a weight such that tasks that fit together weigh 1 at most.

    A dual feasible function: a task of more than 1/(n_fit + 1) of a server weighs
    1/n_fit and more, however little room is left over.

    :param need_cpu: what the task needs.
    :param capacity_cpu: what the server has.
    :param n_fit: tasks of the common size that a server holds.
    """
    parts, rest = divmod((n_fit + 1) * need_cpu, capacity_cpu)
    return need_cpu / capacity_cpu if rest == 0 else parts / n_fit


def _add_rooms(program, plan, at_ms):
    """Add the constraints of one window; return its rooms."""
    site = plan.site
    struck = _find_struck(plan, at_ms)
    n_by_kind = {}
    for index in range(site.n_servers):
        kind = site.server_kinds[index % len(site.server_kinds)]
        n_by_kind[kind] = n_by_kind.get(kind, 0) + (index not in struck)
    return [
        _Room(
            kind=kind,
            n_fit=max(1, int(kind.cpu // site.task_cpu)),
            cpu_row=program.add_row(n_servers * kind.cpu * WINDOW_MS),
            fit_row=program.add_row(n_servers * WINDOW_MS),
        )
        for kind, n_servers in n_by_kind.items()
    ]


def _add_request(program, arrival, rooms):
    """Let a request be done in part: in time for its credit, or late for less.

    Each variable is the part of it that servers of one kind do in one window.
    """
    need_cpu = arrival.job.steps[0].need.cpu
    work_ms = sum(arrival.run_ms_by_task.values())
    done_row = program.add_row(1.0)
    for end_ms, credit in (
        (arrival.objective_ms, arrival.credit),
        (arrival.late_ms, arrival.late_credit),
    ):
        first = int(arrival.at_ms / WINDOW_MS)
        last = min(int((arrival.at_ms + end_ms) / WINDOW_MS), len(rooms) - 1)
        for room in (room for window in rooms[first : last + 1] for room in window):
            run_ms = work_ms / room.kind.speed
            window_ms = WINDOW_MS * room.kind.speed
            # A task is done by one server at a time.
            most_ms = sum(min(t, window_ms) for t in arrival.run_ms_by_task.values())
            entries = (
                (done_row, 1.0),
                (room.cpu_row, need_cpu * run_ms),
                (
                    room.fit_row,
                    compute_packing_weight(need_cpu, room.kind.cpu, room.n_fit)
                    * run_ms,
                ),
            )
            program.add_variable(credit, most_ms / work_ms, entries)


def _find_struck(plan, at_ms):
    """Return the numbers of the servers that are of no use in a window."""
    return {
        fault.target % plan.site.n_servers
        for fault in plan.faults
        if fault.kind in SERVER_CAPACITY_FAULTS
        and fault.start_ms <= at_ms
        and at_ms + WINDOW_MS <= fault.start_ms + fault.length_ms
    }


def _leaves(arrival, faults):
    is_time = any(
        fault.start_ms <= arrival.at_ms < fault.start_ms + fault.length_ms
        for fault in faults
    )
    return is_time and arrival.leave_draw < LEAVING_SHARE
