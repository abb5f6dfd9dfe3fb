"""Jobs at the owner: tasks, runs, who waits for them."""

import enum

import attrs

from ._declarations import JobSpec, Queue, StepSpec


class TaskPhase(enum.StrEnum):
    """Where a task stands."""

    BLOCKED = "blocked"
    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class RunPhase(enum.StrEnum):
    """What is known of a run."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(kw_only=True, eq=False)
class Task:
    """A task of a job.

    :param name: name under which servers know it.
    :param step: number of its step.
    :param spec: its :class:`StepSpec`.
    :param job: its job.
    :param phase: where it stands.
    :param last_run_number: number of its last run.
    :param n_failures: runs that ended as failed.
    :param avoided_ids: servers on which it failed, stalled or was rejected.
    """

    name: str = ""
    step: int = 0
    spec: StepSpec = StepSpec()
    job: object = None
    phase: TaskPhase = TaskPhase.WAITING
    last_run_number: int = 0
    n_failures: int = 0
    avoided_ids: set = attrs.field(factory=set)


@attrs.define(kw_only=True, eq=False)
class Run:
    """One start of a task on one server.

    It holds its room until the server lists its end, or it is certain that it
    never began.

    :param task: the task, or ``None`` for one found at a takeover.
    :param name: name of the task.
    :param number: number of the run.
    :param server_id: the server.
    :param need: what it holds; ``None`` if not known.
    :param phase: what is known of it.
    :param sent_ms: when the start was sent.
    :param percent: progress as last listed.
    :param progress_changed_ms: when that last changed.
    :param stop_acked_ms: when a stop was acknowledged; a later listing without it
        proves that it is gone.
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
    stop_acked_ms: float | None = None


@attrs.frozen(kw_only=True)
class Submission:
    """A submission that waits for a job.

    :param address: the instance that sent it.
    :param incarnation: its process.
    :param key: its number there.
    :param attempt: see :class:`SubmitJob`.
    """

    address: str = ""
    incarnation: int = 0
    key: int = 0
    attempt: int = 0

    def is_same_submission(self, other):
        """Return whether another waiter is the same but for the attempt."""
        return (self.address, self.incarnation, self.key) == (
            other.address,
            other.incarnation,
            other.key,
        )


@attrs.define(kw_only=True, eq=False)
class Job:
    """A job at the owner.

    :param spec: the job.
    :param queue: its queue.
    :param arrived_ms: when the caller's request arrived.
    :param deadline_ms: when the caller stops to wait.
    :param objective_deadline_ms: when its latency objective ends.
    :param critical_path_ms: expected duration of its longest chain of steps.
    :param cell: the cell of servers that runs it.
    :param tasks: its tasks, by step and index.
    :param waiting_by_name: those that wait for a server.
    :param submissions: who waits for it.
    :param is_resent: whether a former owner may have started it.
    :param n_runs_started: starts that were sent and not rejected.
    :param n_unfinished: tasks that are not done, by step.
    :param is_ended: whether it has its outcome.
    :param is_returned: whether its senders are to find another owner, once none of
        its runs is left here.
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
        """Whether a task of it may have begun."""
        return self.is_resent or self.n_runs_started > 0

    @property
    def latest_start_ms(self):
        """Latest start with which it is expected to meet its objective."""
        return self.objective_deadline_ms - self.critical_path_ms

    @property
    def waiting_work(self):
        """Estimated work of the waiting tasks, in ms times thousandths of a core."""
        return sum(
            task.spec.estimate_ms * task.spec.need.cpu
            for task in self.waiting_by_name.values()
        )

    def set_phase(self, task, phase):
        """Move a task to another phase.

        :param task: a task of this job.
        :param phase: the :class:`TaskPhase`.
        """
        task.phase = phase
        if phase is TaskPhase.WAITING:
            self.waiting_by_name[task.name] = task
        else:
            self.waiting_by_name.pop(task.name, None)

    def finish_task(self, task):
        """Record that a task is done; release the steps that waited for it.

        :returns: whether the job is complete.
        """
        if task.phase is TaskPhase.DONE:
            return not any(self.n_unfinished)
        self.set_phase(task, TaskPhase.DONE)
        self.n_unfinished[task.step] -= 1
        if self.n_unfinished[task.step] == 0:
            self._release_steps()
        return not any(self.n_unfinished)

    def _release_steps(self):
        for task in self.tasks:
            is_ready = all(self.n_unfinished[i] == 0 for i in task.spec.after)
            if task.phase is TaskPhase.BLOCKED and is_ready:
                self.set_phase(task, TaskPhase.WAITING)


def build_job(message, now_ms, ratio=1.0, n_slots=0):
    """Build a job from a submission.

    :param message: the :class:`SubmitJob`.
    :param now_ms: the current time.
    :param ratio: factor on the estimates of its queue.
    :param n_slots: like tasks that its service holds at once; 0 if not known.
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
