"""State of the jobs that an owner runs: tasks, runs and submissions."""

import enum

import attrs

from ._declarations import JobSpec, Queue, StepSpec


class TaskPhase(enum.StrEnum):
    """State of a task: blocked by earlier steps, waiting, placed on a server, done."""

    BLOCKED = "blocked"
    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class RunPhase(enum.StrEnum):
    """State of a run, as far as its server has confirmed it."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(kw_only=True, eq=False)
class Task:
    """A task of a job, the unit that runs on one server.

    :param name: name under which servers know the task.
    :param step: index of its step in the job.
    :param spec: the :class:`StepSpec` of that step.
    :param job: the :class:`Job`.
    :param phase: its :class:`TaskPhase`.
    :param last_run_number: number of its latest run.
    :param n_failures: number of its runs that ended as failed.
    :param avoided_server_ids: servers on which a run failed or stalled, or that
        rejected a start or did not respond to it; used only if no other server fits.
    :param is_known_done: whether another run of it has completed than its present one.
    """

    name: str = ""
    step: int = 0
    spec: StepSpec = StepSpec()
    job: object = None
    phase: TaskPhase = TaskPhase.WAITING
    last_run_number: int = 0
    n_failures: int = 0
    avoided_server_ids: set = attrs.field(factory=set)
    is_known_done: bool = False


@attrs.define(kw_only=True, eq=False)
class Run:
    """One attempt to run a task on a server.

    Its resources stay reserved until the server reports its end, or until it is
    certain that it never began.

    :param task: the :class:`Task`, or ``None`` for a run found at a takeover whose job
        is not known yet.
    :param name: name of the task.
    :param number: number of the run; increases with each run of a task.
    :param server_id: the server.
    :param need: :class:`Resources` that it uses; ``None`` if unknown.
    :param phase: its :class:`RunPhase`.
    :param sent_ms: when the start command was sent.
    :param percent: progress as last reported.
    :param progress_changed_ms: when ``percent`` last changed.
    :param confirmed_ms: when the server first confirmed that it runs, or ``None``.
    :param listed_started_ms: incarnation of the server that last listed it as running;
        0 if none did.
    :param stop_sent_ms: when a stop command was last sent.
    :param stop_acked_ms: when the server acknowledged a stop command, or ``None``; a
        later report that doesn't list the run proves that it is gone.
    :param is_found: whether a former owner started it.
    :param is_isolated: whether nothing else may run on its server, because its task
        may have crashed another one.
    """

    task: Task | None = None
    name: str = ""
    number: int = 0
    server_id: str = ""
    need: object = None
    phase: RunPhase = RunPhase.STARTING
    sent_ms: float = 0.0
    percent: float = 0.0
    progress_changed_ms: float = 0.0
    confirmed_ms: float | None = None
    listed_started_ms: int = 0
    stop_sent_ms: float = 0.0
    stop_acked_ms: float | None = None
    is_found: bool = False
    is_isolated: bool = False


@attrs.frozen(kw_only=True)
class Submission:
    """Identity of a submission, whose sender waits for the outcome of the job.

    :param address: address of the instance that sent it.
    :param incarnation: incarnation of that instance.
    :param key: number of the submission at its sender.
    :param attempt: see :class:`SubmitJob`.
    :param deadline_ms: when its caller stops waiting; no part of the identity, as a
        repetition arrives later.
    """

    address: str = ""
    incarnation: int = 0
    key: int = 0
    attempt: int = 0
    deadline_ms: float = attrs.field(default=0.0, eq=False)

    def has_same_key(self, other):
        """Return whether another submission differs at most in its attempt."""
        return (self.address, self.incarnation, self.key) == (
            other.address,
            other.incarnation,
            other.key,
        )


@attrs.define(kw_only=True, eq=False)
class Job:
    """A job that this instance runs as owner of its cell.

    :param spec: the :class:`JobSpec` that the caller submitted.
    :param queue: the :class:`Queue` that it was submitted to.
    :param arrived_ms: when the caller's request arrived.
    :param deadline_ms: when the last of its callers stops waiting.
    :param objective_deadline_ms: when it must end to meet the latency objective of the
        first submission, which counts for those that are sent again.
    :param critical_path_ms: expected duration of its longest chain of steps.
    :param cell: the cell whose servers run it.
    :param tasks: its tasks, ordered by step and index.
    :param waiting_by_name: the tasks that wait for a server, by name.
    :param submissions: each :class:`Submission` whose sender waits for the outcome.
    :param is_resent: whether a former owner may have started it.
    :param work: expected work, in millicore-milliseconds; 0 if it is not used.
    :param loss_cost: what its caller loses if it is not served; 0 if it is not used.
    :param size_class: 0 for most jobs of its queue, higher for the larger ones.
    :param n_runs_started: number of start commands that were sent and not rejected.
    :param n_unfinished: number of tasks that are not done, by step.
    :param is_ended: whether its outcome is decided.
    :param is_returned: whether it is returned to its senders, which submit it to
        another owner, once none of its runs is left here.
    """

    spec: JobSpec = JobSpec()
    queue: Queue = Queue()
    arrived_ms: float = 0.0
    deadline_ms: float = 0.0
    objective_deadline_ms: float = 0.0
    critical_path_ms: float = 0.0
    cell: int = 0
    tasks: list = attrs.field(factory=list)
    waiting_by_name: dict = attrs.field(factory=dict)
    submissions: list = attrs.field(factory=list)
    is_resent: bool = False
    work: float = 0.0
    loss_cost: float = 0.0
    size_class: int = 0
    n_runs_started: int = 0
    n_unfinished: list = attrs.field(factory=list)
    is_ended: bool = False
    is_returned: bool = False

    @property
    def job_id(self):
        """Id chosen by the caller."""
        return self.spec.job_id

    @property
    def may_have_run(self):
        """Whether any of its tasks may have begun."""
        return self.is_resent or self.n_runs_started > 0

    @property
    def latest_start_ms(self):
        """Latest start time at which it is expected to meet its latency objective."""
        return self.objective_deadline_ms - self.critical_path_ms

    @property
    def waiting_work(self):
        """Estimated work of the waiting tasks, in millicore-milliseconds."""
        return sum(
            task.spec.estimate_ms * task.spec.need.cpu
            for task in self.waiting_by_name.values()
        )

    def set_submissions(self, submissions):
        """Set whose outcome is open; without any, the deadline stays the last one.

        :param submissions: each :class:`Submission`.
        """
        self.submissions = submissions
        if submissions:
            self.deadline_ms = max(s.deadline_ms for s in submissions)

    def set_phase(self, task, phase):
        """Set the phase of a task, and keep the waiting tasks up to date.

        :param task: a task of this job.
        :param phase: the :class:`TaskPhase`.
        """
        task.phase = phase
        if phase is TaskPhase.WAITING:
            self.waiting_by_name[task.name] = task
        else:
            self.waiting_by_name.pop(task.name, None)

    def finish_task(self, task):
        """Record that a task is done, and unblock the steps that depend on it.

        :returns: whether all tasks of the job are done.
        """
        if task.phase is TaskPhase.DONE:
            return not any(self.n_unfinished)
        self.set_phase(task, TaskPhase.DONE)
        self.n_unfinished[task.step] -= 1
        if self.n_unfinished[task.step] == 0:
            self._unblock_tasks()
        return not any(self.n_unfinished)

    def finish_known(self, names):
        """Record that former runs of tasks are done, in any order of the steps.

        A task starts only once the tasks that it depends on are done, so these count as
        well. Tasks that have been started again run on, but are not started once more.

        :param names: names of the tasks; others than those of this job are ignored.
        :returns: whether all tasks of the job are done.
        """
        known = [task for task in self.tasks if task.name in names]
        steps = self._find_earlier_steps({task.step for task in known})
        known += [task for task in self.tasks if task.step in steps]
        for task in known:
            task.is_known_done = True
            if task.phase is not TaskPhase.PLACED:
                self.finish_task(task)
        return not any(self.n_unfinished)

    def list_finished(self):
        """Return the names of the tasks that are done, also of those that run again."""
        return tuple(
            task.name
            for task in self.tasks
            if task.is_known_done or task.phase is TaskPhase.DONE
        )

    def _find_earlier_steps(self, steps):
        """Return the indexes of the steps that must be done before some steps."""
        earlier = set()
        unread = set(steps)
        while unread:
            after = set(self.spec.steps[unread.pop()].after) - earlier
            earlier |= after
            unread |= after
        return earlier

    def _unblock_tasks(self):
        for task in self.tasks:
            is_ready = all(self.n_unfinished[i] == 0 for i in task.spec.after)
            if task.phase is TaskPhase.BLOCKED and is_ready:
                self.set_phase(task, TaskPhase.WAITING)


def build_job(message, now_ms, ratio=1.0, n_slots=0):
    """Build the owner's :class:`Job` from a submission.

    :param message: the :class:`SubmitJob`.
    :param now_ms: the current time.
    :param ratio: factor by which durations in its queue differ from their estimates.
    :param n_slots: number of tasks of this size that its service can run at once; 0
        if unknown.
    """
    spec = message.job
    queue = message.queue
    estimated_ms = spec.compute_critical_path_ms(n_slots)
    critical_path_ms = ratio * spec.compute_critical_path_ms()
    arrived_ms = now_ms - message.waited_ms
    job = Job(
        spec=spec,
        queue=queue,
        arrived_ms=arrived_ms,
        deadline_ms=now_ms + message.left_ms,
        objective_deadline_ms=arrived_ms
        + queue.stretch * estimated_ms
        + queue.target_ms,
        critical_path_ms=critical_path_ms,
        cell=message.cell,
        is_resent=message.is_resent,
        n_unfinished=[step.n_tasks for step in spec.steps],
    )
    for number, step in enumerate(spec.steps):
        phase = TaskPhase.BLOCKED if step.after else TaskPhase.WAITING
        for index in range(step.n_tasks):
            name = spec.make_task_name(number, index)
            task = Task(name=name, step=number, spec=step, job=job)
            job.tasks.append(task)
            job.set_phase(task, phase)
    return job
