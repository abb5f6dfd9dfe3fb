"""Upper bound on the credit that any dispatcher could earn with full foresight.

The bound is the optimum of a linear relaxation: all run times are known in advance,
the tasks of a job can be split and migrated freely, nothing but the tasks themselves
takes time, and instances and links never fail. Two limits of the servers are kept:
their cores, and how many tasks of each size fit on one server at a time. Every real
schedule satisfies the relaxed constraints, so no dispatcher earns more.
"""

import attrs
import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_array

from ...proving.fleet import DISCONNECT_PROBABILITY, FleetFault

WINDOW_MS = 100.0
# Faults during which a server does no useful work, or works more slowly. Its capacity
# is left out of the windows that such a fault covers from beginning to end.
SERVER_CAPACITY_FAULTS = (
    FleetFault.SERVER_CRASH,
    FleetFault.SERVER_FAILS,
    FleetFault.SERVER_HANGS,
    FleetFault.SERVER_PARTITION,
    FleetFault.SERVER_SLOW,
)


@attrs.define(kw_only=True)
class _LinearProgram:
    """A linear program in sparse form, built one constraint and variable at a time.

    Variables are at least 0, and each constraint limits a weighted sum of them from
    above.

    :param objective: objective coefficient of each variable; their sum is maximised.
    :param upper_bounds: upper bound of each variable.
    :param row_indices: constraint of each nonzero coefficient.
    :param column_indices: variable of each nonzero coefficient.
    :param coefficients: values of the nonzero coefficients.
    :param constraint_limits: right-hand side of each constraint.
    """

    objective: list = attrs.field(factory=list)
    upper_bounds: list = attrs.field(factory=list)
    row_indices: list = attrs.field(factory=list)
    column_indices: list = attrs.field(factory=list)
    coefficients: list = attrs.field(factory=list)
    constraint_limits: list = attrs.field(factory=list)

    def add_constraint(self, limit):
        """Add a constraint without coefficients; return its row index."""
        self.constraint_limits.append(limit)
        return len(self.constraint_limits) - 1

    def add_variable(self, objective_coefficient, upper_bound, coefficients):
        """Add a variable.

        :param objective_coefficient: gain in the objective for one unit.
        :param upper_bound: largest value of the variable.
        :param coefficients: pairs of row index and coefficient.
        """
        column = len(self.objective)
        self.objective.append(objective_coefficient)
        self.upper_bounds.append(upper_bound)
        for row, coefficient in coefficients:
            self.row_indices.append(row)
            self.column_indices.append(column)
            self.coefficients.append(coefficient)

    def solve(self):
        """Return the maximum of the objective.

        :raises ArithmeticError: if the solver finds no optimum.
        """
        shape = (len(self.constraint_limits), len(self.objective))
        matrix = coo_array(
            (self.coefficients, (self.row_indices, self.column_indices)), shape=shape
        )
        solution = linprog(
            -np.array(self.objective),
            A_ub=matrix.tocsr(),
            b_ub=self.constraint_limits,
            bounds=np.column_stack(
                (np.zeros(len(self.upper_bounds)), self.upper_bounds)
            ),
            method="highs",
        )
        if solution.status != 0:
            raise ArithmeticError(
                "the linear program for the upper bound has no optimum: "
                f"{solution.message}"
            )
        return -solution.fun


@attrs.frozen(kw_only=True)
class _WindowCapacity:
    """Constraints on the available servers of one kind in one time window.

    :param kind: the :class:`~buckthornshift.proving.fleet.ServerKind`.
    :param cpu_row: row index of the constraint on their cores.
    :param packing_row: row index of the constraint on the tasks that fit together.
    :param n_tasks_per_server: tasks of the site's mean size that fit on one server.
    """

    kind: object = None
    n_tasks_per_server: int = 1
    cpu_row: int = 0
    packing_row: int = 0


def compute_upper_bound(plan):
    """Return the largest share of the credit that any dispatcher could earn.

    Requests that their callers abandon early are left out, as they earn nothing.

    :param plan: the :class:`FleetLoadPlan`.
    """
    leave_faults = [f for f in plan.faults if f.kind is FleetFault.CALLERS_DISCONNECT]
    counted = [a for a in plan.draw_arrivals() if not _leaves_early(a, leave_faults)]
    if not counted:
        return 1.0
    end_ms = max(arrival.at_ms + arrival.late_ms for arrival in counted)
    program = _LinearProgram()
    n_windows = int(end_ms / WINDOW_MS) + 1
    capacities_by_window = [
        _add_capacity_constraints(program, plan, i * WINDOW_MS)
        for i in range(n_windows)
    ]
    for arrival in counted:
        _add_request(program, arrival, capacities_by_window)
    return program.solve() / sum(arrival.credit for arrival in counted)


def compute_packing_weight(need_cpu, capacity_cpu, n_tasks_per_server):
    """Return the weight of a task, such that tasks that fit together weigh at most 1.

    This is a dual feasible function: a task that needs more than
    1/(n_tasks_per_server + 1) of a server weighs at least 1/n_tasks_per_server, even
    where it leaves cores over that no further task fits into.

    :param need_cpu: cores that the task needs, in thousandths.
    :param capacity_cpu: cores of the server, in thousandths.
    :param n_tasks_per_server: tasks of the common size that fit on one server.
    """
    quotient, remainder = divmod((n_tasks_per_server + 1) * need_cpu, capacity_cpu)
    return need_cpu / capacity_cpu if remainder == 0 else quotient / n_tasks_per_server


def _add_capacity_constraints(program, plan, at_ms):
    """Add the constraints of the window that begins at a time.

    :returns: the :class:`_WindowCapacity` of each kind of server.
    """
    site = plan.site
    unavailable = _find_unavailable_servers(plan, at_ms)
    n_by_kind = {}
    for index in range(site.n_servers):
        kind = site.server_kinds[index % len(site.server_kinds)]
        n_by_kind[kind] = n_by_kind.get(kind, 0) + (index not in unavailable)
    return [
        _WindowCapacity(
            kind=kind,
            n_tasks_per_server=max(1, int(kind.cpu // site.task_cpu)),
            cpu_row=program.add_constraint(n_servers * kind.cpu * WINDOW_MS),
            packing_row=program.add_constraint(n_servers * WINDOW_MS),
        )
        for kind, n_servers in n_by_kind.items()
    ]


def _add_request(program, arrival, capacities_by_window):
    """Add the variables of a request, which may be completed in part.

    Each variable is the fraction of the request that servers of one kind complete in
    one window, either in time for its full credit, or late for less.
    """
    need_cpu = arrival.job.steps[0].need.cpu
    total_run_ms = sum(arrival.run_ms_by_task.values())
    completion_row = program.add_constraint(1.0)
    for end_ms, credit in (
        (arrival.objective_ms, arrival.credit),
        (arrival.late_ms, arrival.late_credit),
    ):
        first = int(arrival.at_ms / WINDOW_MS)
        last = min(
            int((arrival.at_ms + end_ms) / WINDOW_MS), len(capacities_by_window) - 1
        )
        for capacity in (
            capacity
            for window in capacities_by_window[first : last + 1]
            for capacity in window
        ):
            run_ms = total_run_ms / capacity.kind.speed
            window_ms = WINDOW_MS * capacity.kind.speed
            # A task runs on one server at a time, so a window adds at most its own
            # length to each task.
            max_ms = sum(min(t, window_ms) for t in arrival.run_ms_by_task.values())
            coefficients = (
                (completion_row, 1.0),
                (capacity.cpu_row, need_cpu * run_ms),
                (
                    capacity.packing_row,
                    compute_packing_weight(
                        need_cpu, capacity.kind.cpu, capacity.n_tasks_per_server
                    )
                    * run_ms,
                ),
            )
            program.add_variable(credit, max_ms / total_run_ms, coefficients)


def _find_unavailable_servers(plan, at_ms):
    """Return the indices of the servers that a fault affects for a whole window."""
    return {
        fault.target % plan.site.n_servers
        for fault in plan.faults
        if fault.kind in SERVER_CAPACITY_FAULTS
        and fault.start_ms <= at_ms
        and at_ms + WINDOW_MS <= fault.start_ms + fault.length_ms
    }


def _leaves_early(arrival, faults):
    """Return whether the caller of a request abandons it during one of the faults."""
    is_affected = any(
        fault.start_ms <= arrival.at_ms < fault.start_ms + fault.length_ms
        for fault in faults
    )
    return is_affected and arrival.leave_draw < DISCONNECT_PROBABILITY
