"""Report where a job would be placed now and why, without submitting it.

The decisions are those of the components in use: the job is submitted to a copy of the
owner's job table, and its tasks are placed on copies of the servers.
"""

import collections
import enum

import attrs

from ..timers import TimerQueue
from ._actions import LogCode, LogLine
from ._events import PeerMessageReceived
from ._internal_messages import SubmissionEnded
from ._jobs import Run
from ._peer_messages import EndReason, Outcome, SubmitJob
from ._server import Ownership

# The job is explained under this id, so that it is never taken for one that is known.
EXPLAINED_ID = "explained"
N_BEST_SERVERS = 5
# Bounds the processor time of a report; a job may have thousands of tasks.
MAX_PLACED_TASKS = 32
# Attributes of the core that a submission only reads; all other components are copied.
_SHARED_NAMES = {
    "cells",
    "claim_coverage",
    "context",
    "crash_history",
    "fleet",
    "lease_manager",
    "list_follower",
    "list_publisher",
    "list_reader",
    "load_shedder",
    "membership",
    "message_order",
    "request_router",
    "runs",
    "scheduler",
    "shutdown",
}


class PlacementVerdict(enum.StrEnum):
    """What would happen to a job that arrived now.

    ``UNKNOWN``: this instance is not the owner that decides.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    PASSED_ON = "passed_on"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class ServerView:
    """A server that could take a task of the job now.

    :param server_id: its id.
    :param zone: its availability zone.
    :param labels: its labels.
    :param free_cpu: free CPU, in thousandths of a core.
    :param n_runs: number of runs on it.
    :param slowness: ratio of actual to estimated run times.
    :param is_suspect: whether other servers are preferred because runs failed here.
    :param is_remote: whether the task's data is on another rack.
    """

    server_id: str = ""
    zone: str = ""
    labels: tuple[str, ...] = ()
    free_cpu: int = 0
    n_runs: int = 0
    slowness: float = 1.0
    is_suspect: bool = False
    is_remote: bool = False


@attrs.frozen(kw_only=True)
class PlacementReport:
    """Where a job would be placed now, and the figures that decide.

    :param instance: address of the instance that reports.
    :param owner: address of the owner of the job's cell; empty if none is known.
    :param is_owner: whether the reporting instance is that owner. Otherwise free
        capacity is not known to it, and only refusals that it would make itself are
        reported.
    :param term: term of the owner.
    :param cell: the cell that would run the job.
    :param n_cells: number of cells.
    :param queue: name of the queue.
    :param config_version: version of the configuration in use.
    :param verdict: the :class:`PlacementVerdict`.
    :param reason: why the job would be refused; empty otherwise.
    :param detail: the figures of that decision.
    :param retry_after_ms: time after which a retry may succeed, if refused.
    :param other_cell: the cell that the job would be passed on to, or ``None``.
    :param n_tasks_ahead: waiting tasks of the service that would start first.
    :param n_free_slots: tasks of this size that fit on the servers of the cell now.
    :param expected_wait_ms: expected time until all its first tasks have started.
    :param slack_ms: time until the latest start that meets the latency objective.
    :param critical_path_ms: expected duration of the job.
    :param n_first_tasks: tasks that could start at once.
    :param n_tasks_tried: those of them that the report places, the first ones.
    :param server_ids: the server of each placed task, in order.
    :param n_servers: servers of the service in the cell.
    :param n_usable: those that could take the first task now.
    :param n_passed_over: number of the others by reason.
    :param best_servers: a :class:`ServerView` of the best usable ones, best first.
    """

    instance: str = ""
    owner: str = ""
    is_owner: bool = False
    term: int = 0
    cell: int = 0
    n_cells: int = 1
    queue: str = ""
    config_version: int = 0
    verdict: PlacementVerdict = PlacementVerdict.UNKNOWN
    reason: str = ""
    detail: str = ""
    retry_after_ms: float = 0.0
    other_cell: int | None = None
    n_tasks_ahead: int = 0
    n_free_slots: int = 0
    expected_wait_ms: float = 0.0
    slack_ms: float = 0.0
    critical_path_ms: float = 0.0
    n_first_tasks: int = 0
    n_tasks_tried: int = 0
    server_ids: tuple[str, ...] = ()
    n_servers: int = 0
    n_usable: int = 0
    n_passed_over: dict = attrs.field(factory=dict)
    best_servers: tuple[ServerView, ...] = ()


class PlacementReporter:
    """Report what the components of a core would decide about a job.

    No component, timer, counter or message of the core changes.

    :param core: the :class:`DispatchCore`.
    :param random_state: a :class:`random.Random` other than that of the core.
    """

    def __init__(self, core=None, random_state=None):
        self.core = core
        self.random_state = random_state

    def report(self, job, queue, timeout_ms, now_ms):
        """Return the :class:`PlacementReport` of a job that arrives now.

        :param job: the :class:`JobSpec`; its id determines the cell.
        :param queue: the :class:`Queue` that it would be submitted to.
        :param timeout_ms: how long its caller would wait.
        :param now_ms: monotonic time in milliseconds.
        """
        core = self.core
        cell = core.cells.find_cell(job.job_id)
        owner, term, _ = core.cells.get(cell).owner or (None, 0, 0)
        report = PlacementReport(
            instance=core.context.identity.address,
            owner=owner or "",
            is_owner=core.cells.is_owner_of(cell),
            term=term,
            cell=cell,
            n_cells=core.cells.n_cells,
            queue=queue.name,
            config_version=core.context.configuration.version,
        )
        jobs = self._copy_jobs(self._copy_context(now_ms))
        message = SubmitJob(
            job=attrs.evolve(job, job_id=EXPLAINED_ID),
            queue=queue,
            left_ms=timeout_ms,
            n_cells=core.cells.n_cells,
            cell=cell,
        )
        built = jobs.preview_job(message)
        report = attrs.evolve(
            report, **self._describe_wait(jobs, built), **self._describe_servers(built)
        )
        refusal = self._find_receiver_refusal(job, queue, owner, cell)
        if refusal is not None:
            return attrs.evolve(report, **refusal)
        if not report.is_owner:
            return report
        return attrs.evolve(report, **self._submit(jobs, message))

    def _copy_context(self, now_ms):
        """Return a context that takes the messages and actions of the report."""
        original = self.core.context
        context = _copy_component(original)
        context.now_ms = max(original.now_ms, now_ms)
        context.random_state = self.random_state
        context.counters = attrs.evolve(original.counters)
        context.timers = TimerQueue()
        context.actions = []
        context.inbox = collections.deque()
        return context

    def _copy_jobs(self, context):
        """Return a copy of the job table and of the components that it changes."""
        copy_by_id = {
            id(component): _copy_component(component)
            for name, component in vars(self.core).items()
            if not name.startswith("_") and name not in _SHARED_NAMES
        }
        copy_by_id[id(self.core.context)] = context
        for copied in copy_by_id.values():
            for name, value in vars(copied).items():
                setattr(copied, name, copy_by_id.get(id(value), value))
        return copy_by_id[id(self.core.jobs)]

    def _find_receiver_refusal(self, job, queue, owner, cell):
        """Return the fields of a refusal by the receiving instance, or ``None``."""
        context = self.core.context
        if context.is_stopping:
            return {
                "verdict": PlacementVerdict.REFUSED,
                "reason": EndReason.STOPPING.value,
                "retry_after_ms": context.settings.min_retry_after_ms,
            }
        if owner is None:
            return None
        refusal = self.core.load_shedder.check(job.job_id, owner)
        if refusal is None:
            return None
        return {
            "verdict": PlacementVerdict.REFUSED,
            "reason": refusal.reason.value,
            "detail": refusal.detail,
            "retry_after_ms": refusal.retry_after_ms,
        }

    def _submit(self, jobs, message):
        """Submit the job to a copy of the job table, and return its decision."""
        context = jobs.context
        identity = context.identity
        jobs.on_received(
            PeerMessageReceived(
                address=identity.address,
                incarnation=identity.incarnation,
                message=message,
            )
        )
        outcomes = [m.ended for m in context.inbox if isinstance(m, SubmissionEnded)]
        if not outcomes:
            return {"verdict": PlacementVerdict.ACCEPTED}
        ended = outcomes[0]
        if ended.outcome is Outcome.RETURNED:
            is_passed_on = ended.reason is EndReason.CELL_FULL
            return {
                "verdict": PlacementVerdict.PASSED_ON
                if is_passed_on
                else PlacementVerdict.UNKNOWN,
                "reason": ended.reason.value,
                "other_cell": ended.cell if is_passed_on else None,
            }
        lines = [a for a in context.actions if isinstance(a, LogLine)]
        details = [a.fields for a in lines if a.code is LogCode.JOB_REFUSED]
        return {
            "verdict": PlacementVerdict.REFUSED,
            "reason": ended.reason.value,
            "detail": details[0]["detail"] if details else "",
            "retry_after_ms": ended.retry_after_ms,
        }

    def _describe_wait(self, jobs, job):
        now_ms = jobs.context.now_ms
        service = job.queue.service
        make_sort_key = jobs.admission.job_order.make_sort_key
        sort_key = make_sort_key(job)
        n_ahead = sum(
            len(other.waiting_by_name)
            for other in jobs.list_open(job.cell)
            if other.queue.service == service and make_sort_key(other) <= sort_key
        )
        need_cpu = max(1, max(step.need.cpu for step in job.spec.steps))
        n_free = self.core.fleet.count_free_slots(service, need_cpu, job.cell)
        n_missing = n_ahead + len(job.waiting_by_name) - n_free
        wait_ms = 0.0
        if n_missing > 0:
            wait_ms = jobs.admission.estimate_wait_ms(job, n_missing)
        return {
            "n_tasks_ahead": n_ahead,
            "n_free_slots": n_free,
            "expected_wait_ms": round(wait_ms, 1),
            "slack_ms": round(job.latest_start_ms - now_ms, 1),
            "critical_path_ms": round(job.critical_path_ms, 1),
        }

    def _describe_servers(self, job):
        scheduler = self.core.scheduler
        candidates = scheduler.find_candidates(job)
        candidates.servers = [_copy_server(server) for server in candidates.servers]
        first = next(iter(job.waiting_by_name.values()))
        usable_ids = {server.id for server in candidates.find_allowed(first)}
        best = scheduler.rank_servers(first, candidates, N_BEST_SERVERS)
        fields = {
            "n_usable": len(usable_ids),
            "best_servers": tuple(_view(s, first, candidates) for s in best),
        }
        considered = [
            server
            for server in self.core.fleet.list_servers(job.cell)
            if server.record.service == job.queue.service
        ]
        n_passed_over = collections.Counter(
            self._find_reason(server, first, candidates)
            for server in considered
            if server.id not in usable_ids
        )
        placed, n_tried = self._place_tasks(job, candidates)
        return fields | {
            "n_servers": len(considered),
            "n_passed_over": dict(n_passed_over.most_common()),
            "n_first_tasks": len(job.waiting_by_name),
            "n_tasks_tried": n_tried,
            "server_ids": placed,
        }

    def _place_tasks(self, job, candidates):
        """Place the first tasks of a job on copies of servers, one after another.

        :returns: the ids of their servers, and how many tasks were tried.
        """
        tasks = list(job.waiting_by_name.values())[:MAX_PLACED_TASKS]
        placed = []
        for task in tasks:
            for server in self.core.scheduler.rank_servers(task, candidates, 1):
                server.add_run(Run(task=task, name=task.name, need=task.spec.need))
                candidates.remove_if_full(server)
                placed.append(server.id)
        return tuple(placed), len(tasks)

    def _find_reason(self, server, task, candidates):
        """Return why a server of the right service can't take a task now."""
        if not self.core.fleet.is_schedulable(server):
            reasons = (
                ("not_owned", server.ownership is not Ownership.OWNED),
                ("unreachable", not server.is_reachable),
                ("draining", server.record.is_draining),
                ("unlisted", server.unlisted_since_ms is not None),
                ("runs_unknown", server.n_unsized_runs > 0),
                ("isolated_run", server.n_isolated_runs > 0),
                ("stop_unanswered", server.has_unacked_stop),
                ("excluded", True),
            )
        else:
            spec = task.spec
            labels = server.record.labels
            reasons = (
                ("too_small", not server.record.capacity.covers(spec.need)),
                (
                    "label_missing",
                    bool(spec.required_label) and spec.required_label not in labels,
                ),
                ("clock_unknown", server.clock_offset_ms is None),
                ("no_free_capacity", not server.free.covers(spec.need)),
                ("suspect_probed", not candidates.may_take_another(server)),
                ("excluded", True),
            )
        return next(name for name, applies in reasons if applies)


def _copy_component(component):
    """Return a copy whose collections can change independently."""
    copied = object.__new__(type(component))
    for name, value in vars(component).items():
        setattr(copied, name, _copy_collection(value))
    return copied


def _copy_collection(value):
    """Return a copy of a collection and of those in it; any other value itself."""
    if isinstance(value, dict):
        copied = value.copy()
        for key, item in copied.items():
            copied[key] = _copy_collection(item)
        return copied
    if isinstance(value, (list, set, collections.deque)):
        return value.copy()
    return value


def _copy_server(server):
    return attrs.evolve(server, run_by_name=dict(server.run_by_name))


def _view(server, task, candidates):
    data_rack = task.spec.data_rack
    return ServerView(
        server_id=server.id,
        zone=server.record.zone,
        labels=server.record.labels,
        free_cpu=server.free_cpu,
        n_runs=len(server.run_by_name),
        slowness=round(server.slowness, 2),
        is_suspect=server.id in candidates.suspect_ids,
        is_remote=bool(data_rack) and data_rack not in server.record.labels,
    )
