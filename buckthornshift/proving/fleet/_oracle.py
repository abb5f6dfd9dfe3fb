"""Invariants of a run, checked by what callers, servers and operators can observe."""

import enum

import attrs

from ...contracts import BuckthornshiftError
from ...dispatch import EndKind, Outcome
from ._plan import FleetFault

DRAIN_NOTICE_MS = 2_000.0
# After so many crashes, so many more starts of a task violate the budget.
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 3
# A task is not started again once its owner has noticed so many crashes under it, each
# at a time of its own.
MAX_NOTICED_CRASHES = 2
COMMON_CRASH_WINDOW_MS = 600.0
MIN_COMMON_CRASHES = 4
# Faults beside which an owner keeps what it knows of crashes.
FAULTS_BESIDE_NOTICED_CRASHES = (
    FleetFault.TASKS_CRASH_SERVERS,
    FleetFault.SERVER_ADDED,
    FleetFault.BURST,
    FleetFault.CONFIG_CHANGE,
    FleetFault.CALLERS_DISCONNECT,
)
# A job of the final batch may be given up once a task has lost so many runs.
MIN_LOSSES_TO_GIVE_UP = 2
OUTAGE_RECOVERY_MS = 3_000.0
# Time until instances must respect that the capacity of a server was reduced.
REDUCED_CAPACITY_NOTICE_MS = 4_500.0


class FleetRule(enum.StrEnum):
    """Invariants that the oracle checks.

    - ``BUDGET``: a task that crashes its servers is soon given up.
    - ``CONTAINED``: a task is not started again once its owner could see that two
      servers crashed under it alone.
    - ``CAPACITY``: the tasks on a server never need more than it has.
    - ``ONE_RUN``: a task never runs on two servers at the same time.
    - ``DRAINING``: no task starts on a server that has been draining for long; during
      faults, no instance that can read the store starts one there.
    - ``EVACUATED``: an instance that can know that a zone has been evacuated for long
      starts no task there.
    - ``DONE_IS_KNOWN``: no task is started again of which an instance has acknowledged
      the completion that is running and has long been in contact.
    - ``RIGHT_SERVER``: a server has the service and the label that a task requires.
    - ``ASKED``: a server runs only jobs that were submitted, with their payload.
    - ``NOT_RUN_IS_TRUE``: no task of a job that is answered "not run" has started.
    - ``ONE_ANSWER``: every request gets an answer, or its connection ends.
    - ``WHOLE_ANSWER``: all tasks of a job that is answered "completed" have completed.
    - ``FAILED_HAS_CAUSE``: a job fails as out of attempts only if so many runs of a
      task have failed.
    - ``CONFIGURATION``: an instance never returns to an older configuration.
    - ``STOP_CUTS_NOTHING``: an instance exits gracefully only without open requests.
    - ``ORPHAN_STOPPED``: no run, job or request is left at the end.
    - ``RECOVERED``: every job that is submitted after the faults is served.
    """

    BUDGET = "budget"
    CONTAINED = "contained"
    CAPACITY = "capacity"
    ONE_RUN = "one_run"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    DONE_IS_KNOWN = "done_is_known"
    RIGHT_SERVER = "right_server"
    ASKED = "asked"
    NOT_RUN_IS_TRUE = "not_run_is_true"
    ONE_ANSWER = "one_answer"
    WHOLE_ANSWER = "whole_answer"
    FAILED_HAS_CAUSE = "failed_has_cause"
    CONFIGURATION = "configuration"
    STOP_CUTS_NOTHING = "stop_cuts_nothing"
    ORPHAN_STOPPED = "orphan_stopped"
    RECOVERED = "recovered"


class FleetRuleError(BuckthornshiftError):
    """Raised when an invariant is violated.

    :param rule: the violated :class:`FleetRule`.
    :param detail: the job, task, server or instance, and what was observed.
    """

    def __init__(self, rule=None, detail=""):
        super().__init__(f"{rule}: {detail}")
        self.rule = rule
        self.detail = detail


@attrs.define(kw_only=True)
class ObservedJob:
    """What was observed of one job.

    :param spec: the :class:`~buckthornshift.dispatch.JobSpec` as submitted.
    :param queue: its :class:`~buckthornshift.dispatch.Queue`.
    :param n_open_requests: requests that have no answer yet.
    :param answers: outcomes that callers received; ``None`` for a lost connection.
    :param has_started: whether a server has started a task of the job.
    :param n_failures_by_task: number of failed runs by task name.
    :param n_crashes_by_task: servers that a task has crashed, by its name.
    :param n_aborted_by_task: runs that were at work when the process of their server
        ended, not as planned, by task name.
    :param noticed_crashes_ms_by_task: when servers crashed under a task alone, and
        closed a connection to an instance, by task name.
    :param n_losses_by_task: runs that ended with their server or its lease, and starts
        that did not reach a server, by task name.
    :param n_starts_by_task: starts after too many crashes, by task name.
    :param completed_tasks: names of the tasks that have completed.
    :param is_final_batch: whether it was submitted after the last fault.
    """

    spec: object = None
    queue: object = None
    n_open_requests: int = 0
    answers: list = attrs.field(factory=list)
    has_started: bool = False
    n_failures_by_task: dict = attrs.field(factory=dict)
    n_crashes_by_task: dict = attrs.field(factory=dict)
    n_aborted_by_task: dict = attrs.field(factory=dict)
    noticed_crashes_ms_by_task: dict = attrs.field(factory=dict)
    n_losses_by_task: dict = attrs.field(factory=dict)
    n_starts_by_task: dict = attrs.field(factory=dict)
    completed_tasks: set = attrs.field(factory=set)
    is_final_batch: bool = False


@attrs.define(kw_only=True)
class FleetCounts:
    """Totals of a run, for reports: jobs, runs started, answers and ends of runs."""

    n_jobs: int = 0
    n_starts: int = 0
    n_completed: int = 0
    n_failed: int = 0
    n_not_run: int = 0
    n_unanswered: int = 0
    n_stopped: int = 0
    n_lapsed: int = 0
    n_aborted: int = 0


class FleetOracle:
    """Check the invariants of a run; also the observer of the simulated servers.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        self.jobs_by_id = {}
        self.counts = FleetCounts()
        self._server_by_task = {}
        self._version_by_process = {}
        self.drain_start_ms_by_server = {}
        self._leaving_servers = set()
        self._crashes_ms = []
        # When the capacity of a server was reduced, and to what.
        self._reduced_by_server = {}

    def record_request(self, job, queue, is_final_batch):
        """Record that a request for a job reached an instance."""
        observed = self.jobs_by_id.get(job.job_id)
        if observed is None:
            observed = ObservedJob(spec=job, queue=queue, is_final_batch=is_final_batch)
            self.jobs_by_id[job.job_id] = observed
            self.counts.n_jobs += 1
        observed.n_open_requests += 1

    def record_answer(self, job, action):
        """Record an answer and check it against what the servers ran."""
        observed = self.jobs_by_id[job.job_id]
        observed.n_open_requests -= 1
        observed.answers.append(action.outcome)
        match action.outcome:
            case Outcome.COMPLETED:
                self.counts.n_completed += 1
                names = {task for task in self._iter_task_names(observed)}
                if names - observed.completed_tasks:
                    self._raise_violation(
                        FleetRule.WHOLE_ANSWER, f"{job.job_id} has unfinished tasks"
                    )
            case Outcome.FAILED:
                self.counts.n_failed += 1
                self._check_failure_reason(observed, action)
            case Outcome.NOT_RUN:
                self.counts.n_not_run += 1

    def record_lost_request(self, job):
        """Record that the connection of a request ended without an answer."""
        observed = self.jobs_by_id[job.job_id]
        observed.n_open_requests -= 1
        observed.answers.append(None)
        self.counts.n_unanswered += 1

    def on_run_started(self, server, run, command):
        """Check that a server may start this run now.

        :param server: the :class:`~buckthornshift.standins.TaskServerModel`.
        :param run: the run.
        :param command: the :class:`~buckthornshift.dispatch.StartRun` that started it.
        """
        self.counts.n_starts += 1
        observed = self.jobs_by_id.get(run.task.partition(".")[0])
        if observed is None or command.payload != observed.spec.payload:
            self._raise_violation(FleetRule.ASKED, run.task)
        observed.has_started = True
        other = self._server_by_task.get(run.task)
        if other is not None:
            detail = f"{run.task} starts on {server.server_id}, runs on {other}"
            self._raise_violation(FleetRule.ONE_RUN, detail)
        self._server_by_task[run.task] = server.server_id
        self._check_budget(run, observed)
        self._check_contained(run, observed)
        self._check_capacity(server, run, observed)
        self._check_placement(server, run, observed)

    def check_start_command(self, instance, command):
        """Check that an instance may send a start command to a server, in its zone."""
        zone = command.server.zone
        if self.world.evacuation_watch.must_know(instance, zone):
            self._raise_violation(
                FleetRule.EVACUATED,
                f"{instance.name} starts {command.task} in {zone}",
            )
        server_id = command.server.server_id
        if self.world.drain_watch.must_know(instance, server_id):
            self._raise_violation(
                FleetRule.DRAINING,
                f"{instance.name} starts {command.task} on {server_id}",
            )

        holder = self.world.completion_watch.find_holder(instance, command.task)
        if holder is not None:
            self._raise_violation(
                FleetRule.DONE_IS_KNOWN,
                f"{instance.name} starts {command.task}, which {holder} knows is done",
            )

    def record_crash(self, server):
        """Record that a server crashes under the tasks that run on it."""
        for task in server.run_by_task:
            crashes = self.jobs_by_id[task.partition(".")[0]].n_crashes_by_task
            crashes[task] = crashes.get(task, 0) + 1

    def record_noticed_crash(self, tasks):
        """Record that a server has crashed, and closed a connection to its owner.

        :param tasks: names of the tasks that were at work.
        """
        now_ms = self.world.clock.now_ms
        self._crashes_ms.append(now_ms)
        if len(tasks) == 1:
            observed = self.jobs_by_id[tasks[0].partition(".")[0]]
            observed.noticed_crashes_ms_by_task.setdefault(tasks[0], []).append(now_ms)

    def record_planned_exit(self, server):
        """Record that a server exits as planned, whatever runs on it.

        :param server: the :class:`~buckthornshift.standins.TaskServerModel`.
        """
        self._leaving_servers.add((server.server_id, server.started_ms))

    def on_run_ended(self, server, run, kind):
        """Record how a run ended.

        :param server: the :class:`~buckthornshift.standins.TaskServerModel`.
        :param run: the run.
        :param kind: an :class:`~buckthornshift.dispatch.EndKind`.
        """
        self._server_by_task.pop(run.task, None)
        observed = self.jobs_by_id[run.task.partition(".")[0]]
        match kind:
            case EndKind.DONE:
                observed.completed_tasks.add(run.task)
            case EndKind.FAILED:
                n_failed = observed.n_failures_by_task.get(run.task, 0)
                observed.n_failures_by_task[run.task] = n_failed + 1
            case EndKind.STOPPED:
                self.counts.n_stopped += 1
            case EndKind.LAPSED:
                self.counts.n_lapsed += 1
                self._count_loss(observed, run.task)

    def on_run_aborted(self, server, run):
        """Record that the process of a server has ended while a run was at work.

        :param server: the :class:`~buckthornshift.standins.TaskServerModel`.
        :param run: the run.
        """
        self._server_by_task.pop(run.task, None)
        observed = self.jobs_by_id[run.task.partition(".")[0]]
        if (server.server_id, server.started_ms) not in self._leaving_servers:
            n_aborted = observed.n_aborted_by_task.get(run.task, 0)
            observed.n_aborted_by_task[run.task] = n_aborted + 1
        self.counts.n_aborted += 1
        self._count_loss(observed, run.task)

    def record_reduced_capacity(self, server_id, capacity):
        """Record that a server declares less capacity, or all of it again.

        :param server_id: id of the server.
        :param capacity: the capacity; ``None`` for its full one.
        """
        self._reduced_by_server.pop(server_id, None)
        if capacity is not None:
            self._reduced_by_server[server_id] = (self.world.clock.now_ms, capacity)

    def record_lost_start(self, command):
        """Record that a start command did not reach its server."""
        observed = self.jobs_by_id[command.task.partition(".")[0]]
        self._count_loss(observed, command.task)

    def check_graceful_stop(self, instance):
        """Check that an instance exits gracefully only without open requests."""
        if instance.callers:
            self._raise_violation(
                FleetRule.STOP_CUTS_NOTHING,
                f"{instance.name} exits with {len(instance.callers)} open requests",
            )

    def record_configuration_version(self, instance_key, version):
        """Check that the configuration version of a process never decreases."""
        if version < self._version_by_process.get(instance_key, 0):
            self._raise_violation(
                FleetRule.CONFIGURATION, f"{instance_key} returns to version {version}"
            )
        self._version_by_process[instance_key] = version

    def has_lost_server(self, task):
        """Return whether a task has lost a server, or its lease there."""
        observed = self.jobs_by_id[task.partition(".")[0]]
        return observed.n_losses_by_task.get(task, 0) > 0

    def find_step(self, task):
        """Return the :class:`~buckthornshift.dispatch.StepSpec` that a task belongs to.

        :param task: name of the task.
        """
        job_id, _, step, _ = task.split(".")
        return self.jobs_by_id[job_id].spec.steps[int(step)]

    def check_final_state(self):
        """Check the invariants that can be decided only at the end of a run."""
        for observed in self.jobs_by_id.values():
            self.check_job(observed)
            job_id = observed.spec.job_id
            is_served = Outcome.COMPLETED in observed.answers or self._has_lost_runs(
                observed
            )
            if observed.is_final_batch and not is_served:
                self._raise_violation(
                    FleetRule.RECOVERED, f"{job_id} was answered {observed.answers}"
                )
        for task, server_id in self._server_by_task.items():
            self._raise_violation(
                FleetRule.ORPHAN_STOPPED, f"{task} still runs on {server_id}"
            )
        self._check_idle()

    def check_job(self, observed):
        """Check the answers of one job.

        :param observed: the :class:`ObservedJob`.
        """
        job_id = observed.spec.job_id
        if observed.n_open_requests:
            self._raise_violation(FleetRule.ONE_ANSWER, f"{job_id} was not answered")
        is_all_not_run = all(a is Outcome.NOT_RUN for a in observed.answers)
        if observed.answers and is_all_not_run and observed.has_started:
            self._raise_violation(FleetRule.NOT_RUN_IS_TRUE, job_id)

    def _is_failing(self, observed):
        return any(
            n >= observed.queue.max_attempts
            for n in observed.n_failures_by_task.values()
        )

    def _has_lost_runs(self, observed):
        """Return whether a job of the final batch may have been given up."""
        return self._is_failing(observed) or any(
            n >= MIN_LOSSES_TO_GIVE_UP for n in observed.n_losses_by_task.values()
        )

    def _check_failure_reason(self, observed, action):
        if action.reason != "attempts_used_up":
            return
        if not self._is_failing(observed):
            detail = (
                f"{observed.spec.job_id}: failed {observed.n_failures_by_task}, "
                f"aborted {observed.n_aborted_by_task}, lost "
                f"{observed.n_losses_by_task}"
            )
            self._raise_violation(FleetRule.FAILED_HAS_CAUSE, detail)

    def _count_loss(self, observed, task):
        n_losses = observed.n_losses_by_task.get(task, 0)
        observed.n_losses_by_task[task] = n_losses + 1

    def _check_budget(self, run, observed):
        if observed.n_crashes_by_task.get(run.task, 0) < MAX_CRASHES:
            return
        n_starts = observed.n_starts_by_task.get(run.task, 0) + 1
        observed.n_starts_by_task[run.task] = n_starts
        if n_starts >= MAX_STARTS_AFTER_CRASHES:
            n_crashes = observed.n_crashes_by_task[run.task]
            detail = f"{run.task} starts again after {n_crashes} crashes"
            self._raise_violation(FleetRule.BUDGET, detail)

    def _check_contained(self, run, observed):
        crashes_ms = [
            crash_ms
            for crash_ms in observed.noticed_crashes_ms_by_task.get(run.task, ())
            if not self._is_common(crash_ms)
        ]
        if len(crashes_ms) < MAX_NOTICED_CRASHES:
            return
        kinds = {fault.kind for fault in self.world.plan.faults}
        if kinds.issubset(FAULTS_BESIDE_NOTICED_CRASHES):
            detail = f"{run.task} starts again after crashes at {crashes_ms} ms"
            self._raise_violation(FleetRule.CONTAINED, detail)

    def _is_common(self, crash_ms):
        n_together = sum(
            abs(other_ms - crash_ms) <= COMMON_CRASH_WINDOW_MS
            for other_ms in self._crashes_ms
        )
        return n_together >= MIN_COMMON_CRASHES

    def _check_capacity(self, server, run, observed):
        used_cpu = self._get_need(run.task).cpu
        used_mb = self._get_need(run.task).memory_mb
        for other in server.run_by_task.values():
            used_cpu += self._get_need(other.task).cpu
            used_mb += self._get_need(other.task).memory_mb
        capacity = self._get_capacity_in_force(server)
        if used_cpu > capacity.cpu or used_mb > capacity.memory_mb:
            detail = f"{server.server_id}, cpu {used_cpu} of {capacity.cpu}"
            self._raise_violation(FleetRule.CAPACITY, f"{run.task} starts on {detail}")

    def _get_capacity_in_force(self, server):
        """Return the capacity of a server that every instance must respect by now."""
        if server.server_id not in self._reduced_by_server:
            return server.capacity
        since_ms, capacity = self._reduced_by_server[server.server_id]
        known_ms = since_ms + REDUCED_CAPACITY_NOTICE_MS
        is_known = self.world.clock.now_ms > known_ms and self._is_undisturbed()
        return capacity if is_known else server.capacity

    def _is_undisturbed(self):
        """Return whether instances have been running and reading the store."""
        now_ms = self.world.clock.now_ms
        return now_ms > self.world.last_outage_end_ms + OUTAGE_RECOVERY_MS

    def _check_placement(self, server, run, observed):
        record = self.world.find_record(server.server_id)
        step = self.find_step(run.task)
        is_suitable = record.service == observed.queue.service and (
            not step.required_label or step.required_label in record.labels
        )
        if not is_suitable:
            self._raise_violation(
                FleetRule.RIGHT_SERVER, f"{run.task} starts on {server.server_id}"
            )
        drain_start_ms = self.drain_start_ms_by_server.get(server.server_id)
        if drain_start_ms is None:
            return
        now_ms = self.world.clock.now_ms
        if self._is_undisturbed() and now_ms > drain_start_ms + DRAIN_NOTICE_MS:
            self._raise_violation(
                FleetRule.DRAINING, f"{run.task} starts on {server.server_id}"
            )

    def _check_idle(self):
        for instance in self.world.instances:
            if instance.core is None:
                continue
            left = {
                "requests": len(instance.core.request_router.by_key),
                "jobs": len(instance.core.jobs.by_id),
                "runs": instance.core.runs.n_open,
            }
            if any(left.values()):
                self._raise_violation(
                    FleetRule.ORPHAN_STOPPED, f"{instance.name} still has {left}"
                )

    def _iter_task_names(self, observed):
        for number, step in enumerate(observed.spec.steps):
            for index in range(step.n_tasks):
                yield observed.spec.make_task_name(number, index)

    def _get_need(self, task):
        return self.find_step(task).need

    def _raise_violation(self, rule, detail):
        raise FleetRuleError(rule=rule, detail=detail)
