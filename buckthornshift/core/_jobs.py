"""Jobs that an instance coordinates, with their tasks, attempts and answers."""

import enum

import attrs

from ..contracts import EntrySpec, JobAnswer, JobRequest, TaskSpec


class JobPhase(enum.StrEnum):
    """Stage of a job at the instance that coordinates it."""

    CLAIMING = "claiming"
    RECOVERING = "recovering"
    RUNNING = "running"
    ANSWERED = "answered"


class TaskPhase(enum.StrEnum):
    """Stage of a task; ``DROPPED`` if its job was answered while it waited."""

    WAITING = "waiting"
    DELAYED = "delayed"
    RUNNING = "running"
    ENDED = "ended"
    DROPPED = "dropped"


@attrs.frozen(kw_only=True)
class CallerWaiter:
    """A caller's request that waits for an answer.

    :param caller_ref: identifies the request in the layer that does the I/O.
    """

    caller_ref: int = 0


@attrs.frozen(kw_only=True)
class PeerWaiter:
    """A peer's request that waits for an answer.

    :param peer_id: the peer.
    :param request_id: the peer's identifier of the request.
    """

    peer_id: str = ""
    request_id: int = 0


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """One start of a task on a backend server.

    :param attempt_id: unique identifier.
    :param task: the task.
    :param server: the backend server.
    :param sent_ms: when the start was sent.
    :param is_hedge: whether it duplicates a slow attempt.
    :param is_connection_lost: whether its connection ended without a result.
    :param is_open: whether a result may still arrive.
    :param is_proven_unstarted: whether it certainly did not run.
    """

    attempt_id: str = ""
    task: object = None
    server: object = None
    sent_ms: float = 0.0
    is_hedge: bool = False
    is_connection_lost: bool = False
    is_open: bool = True
    is_proven_unstarted: bool = False


@attrs.define(kw_only=True, eq=False)
class Task:
    """One task of a job at the coordinating instance.

    :param spec: the task as submitted.
    :param job: the job.
    :param phase: the :class:`TaskPhase`.
    :param expected_ms: expected run time.
    :param attempts: its attempts, in the order of their start.
    :param output: its result once it has ended.
    :param is_large: whether it was queued as part of a large job, which leaves the
        reserved slots of servers free.
    """

    spec: TaskSpec = TaskSpec()
    job: object = None
    phase: TaskPhase = TaskPhase.WAITING
    expected_ms: float = 0.0
    attempts: list = attrs.field(factory=list)
    output: object = None
    is_large: bool = False

    @property
    def id(self):
        """Identifier of the task inside its job."""
        return self.spec.task_id

    @property
    def virtual_deadline_ms(self):
        """Time by which the queue orders tasks, earliest first."""
        return self.job.virtual_deadline_ms

    @property
    def is_waiting(self):
        """Whether the task waits in the queue for a slot."""
        return self.phase is TaskPhase.WAITING

    @property
    def n_possible_runs(self):
        """Number of attempts that may have run."""
        return sum(not attempt.is_proven_unstarted for attempt in self.attempts)

    def end(self, output):
        """Record the task's result; a later result is ignored."""
        if self.phase is TaskPhase.ENDED:
            return
        self.phase = TaskPhase.ENDED
        self.output = output
        self.job.n_open_tasks -= 1

    def list_open_attempts(self):
        """Return the attempts whose result may still arrive."""
        return [attempt for attempt in self.attempts if attempt.is_open]


@attrs.define(kw_only=True, eq=False)
class Job:
    """One job at the instance that coordinates it.

    :param request: the job as submitted.
    :param digest: digest of the request; the same id with another is a conflict.
    :param entry: its catalogue entry when it was accepted.
    :param deadline_ms: when the answer is due.
    :param accepted_ms: when it was accepted.
    :param virtual_deadline_ms: time by which the queue orders its tasks; at most
        the deadline.
    :param term: term of the claim under which it runs.
    :param phase: the :class:`JobPhase`.
    :param is_claim_won: whether this instance's claim won in the shared log.
    :param is_outage_run: whether it was started without a claim during an outage.
    :param is_taken_over: whether a former coordinator may have started tasks.
    :param is_escalated: whether it is a large job that may use reserved slots,
        because much of its timeout has passed.
    :param quota_keys: catalogue keys whose limits the job counts against.
    :param tasks: its tasks in the order of the request.
    :param n_open_tasks: number of tasks without a result.
    :param waiters: requests that wait for the answer.
    :param answer: the final answer once there is one.
    :param answered_ms: when the answer was given.
    :param answer_bytes: size of the encoded answer.
    :param deadline_timer: handle of the timer that ends at the deadline.
    """

    request: JobRequest = JobRequest()
    digest: str = ""
    entry: EntrySpec = EntrySpec()
    deadline_ms: float = 0.0
    accepted_ms: float = 0.0
    virtual_deadline_ms: float = 0.0
    term: int = 0
    phase: JobPhase = JobPhase.CLAIMING
    is_claim_won: bool = False
    is_outage_run: bool = False
    is_taken_over: bool = False
    is_escalated: bool = False
    quota_keys: tuple[str, ...] = ()
    tasks: list = attrs.field(factory=list)
    n_open_tasks: int = 0
    waiters: list = attrs.field(factory=list)
    answer: JobAnswer | None = None
    answered_ms: float = 0.0
    answer_bytes: int = 0
    deadline_timer: object = None

    @property
    def job_id(self):
        """Identifier of the job."""
        return self.request.job_id

    def may_have_started(self):
        """Return whether a task may have run, here or at a former coordinator."""
        if self.is_taken_over:
            return True
        return any(task.n_possible_runs for task in self.tasks)


class JobTable:
    """Jobs by id; answered ones are kept for a limited time and total size.

    :param retention_ms: time for which answers are kept.
    :param max_bytes: maximum total size of kept answers.
    """

    def __init__(self, retention_ms=300_000.0, max_bytes=16_000_000):
        self.retention_ms = retention_ms
        self.max_bytes = max_bytes
        self.by_id = {}
        self.answered_by_id = {}
        self.n_answer_bytes = 0

    @property
    def n_open(self):
        """Number of jobs without an answer."""
        return len(self.by_id)

    def find(self, job_id):
        """Return the job of an id, open or answered, or ``None``."""
        return self.by_id.get(job_id) or self.answered_by_id.get(job_id)

    def add(self, job):
        """Add a job without an answer."""
        self.by_id[job.job_id] = job

    def remove(self, job):
        """Remove an open job that was never started here."""
        self.by_id.pop(job.job_id, None)

    def keep_answer(self, job, n_bytes, now_ms):
        """Move a job from the open to the answered ones, then evict old answers.

        :param job: the answered job.
        :param n_bytes: size of the encoded answer.
        :param now_ms: the current time.
        """
        self.by_id.pop(job.job_id, None)
        job.answered_ms = now_ms
        job.answer_bytes = n_bytes
        self.answered_by_id[job.job_id] = job
        self.n_answer_bytes += n_bytes
        self.evict(now_ms)

    def evict(self, now_ms):
        """Remove the oldest answers that exceed the time or size limit.

        :param now_ms: the current time.
        """
        while self.answered_by_id:
            job = next(iter(self.answered_by_id.values()))
            is_old = now_ms - job.answered_ms > self.retention_ms
            if not is_old and self.n_answer_bytes <= self.max_bytes:
                return
            del self.answered_by_id[job.job_id]
            self.n_answer_bytes -= job.answer_bytes
