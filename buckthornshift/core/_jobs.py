"""Jobs that an instance is home of, with their tasks, attempts and answers."""

import enum

import attrs

from ..contracts import EntrySpec, JobAnswer, JobRequest, TaskSpec


class JobPhase(enum.StrEnum):
    """Where a job stands."""

    CLAIMING = "claiming"
    RECOVERING = "recovering"
    RUNNING = "running"
    ANSWERED = "answered"


class TaskPhase(enum.StrEnum):
    """Where a task stands."""

    WAITING = "waiting"
    DELAYED = "delayed"
    RUNNING = "running"
    ENDED = "ended"
    DROPPED = "dropped"


@attrs.frozen(kw_only=True)
class CallerWaiter:
    """A caller's request that waits for an answer.

    :param caller_ref: identifies the request at the shell.
    """

    caller_ref: int = 0


@attrs.frozen(kw_only=True)
class PeerWaiter:
    """A peer's question that waits for an answer.

    :param peer_id: the peer.
    :param request_id: its identifier of the question.
    """

    peer_id: str = ""
    request_id: int = 0


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """One start of a task.

    :param attempt_id: unique identifier.
    :param task: the task.
    :param server: the backend server.
    :param sent_ms: when it was sent.
    :param is_hedge: whether it is a second start beside a slow one.
    :param is_connection_lost: whether its connection ended without a result.
    :param is_open: whether a result may still come.
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
    """One task of a job at its home.

    :param spec: the task as submitted.
    :param job: the job.
    :param phase: where it stands.
    :param expected_ms: expected run time.
    :param attempts: its attempts, in order.
    :param output: its result once ended.
    :param is_large: whether its job had many open tasks when it was queued.
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
        """Time by which the queue orders the task."""
        return self.job.virtual_deadline_ms

    @property
    def is_waiting(self):
        """Whether the task waits for a slot."""
        return self.phase is TaskPhase.WAITING

    @property
    def n_possible_runs(self):
        """Attempts that may have run."""
        return sum(not attempt.is_proven_unstarted for attempt in self.attempts)

    def end(self, output):
        """Record the task's result."""
        if self.phase is TaskPhase.ENDED:
            return
        self.phase = TaskPhase.ENDED
        self.output = output
        self.job.n_open_tasks -= 1

    def list_open_attempts(self):
        """Return attempts whose result may still come."""
        return [attempt for attempt in self.attempts if attempt.is_open]


@attrs.define(kw_only=True, eq=False)
class Job:
    """One job at its home.

    :param request: the job as submitted.
    :param digest: digest of the request.
    :param entry: catalogue entry at acceptance.
    :param deadline_ms: when the answer is due.
    :param accepted_ms: when it was accepted.
    :param virtual_deadline_ms: time by which the queue orders its tasks.
    :param term: term of the claim under which it runs.
    :param phase: where it stands.
    :param is_claim_won: whether the log gave the job to this instance.
    :param is_outage_run: whether it was started without a claim in an outage.
    :param is_taken_over: whether a former home may have started tasks.
    :param is_escalated: whether much of its time is used up.
    :param quota_keys: items of the catalogue whose limits the job counts against.
    :param tasks: its tasks in the order of the request.
    :param n_open_tasks: tasks without a result.
    :param waiters: who gets the answer.
    :param answer: the answer once given.
    :param answered_ms: when it was given.
    :param answer_bytes: size of the answer.
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
        """Return whether some task may have run, here or at a former home."""
        if self.is_taken_over:
            return True
        return any(task.n_possible_runs for task in self.tasks)


class JobTable:
    """Jobs by id; answers are kept for a time within a bound on memory.

    :param retention_ms: time for which answers are kept.
    :param max_bytes: most bytes of kept answers.
    """

    def __init__(self, retention_ms=300_000.0, max_bytes=16_000_000):
        self.retention_ms = retention_ms
        self.max_bytes = max_bytes
        self.by_id = {}
        self.answered_by_id = {}
        self.n_answer_bytes = 0

    @property
    def n_open(self):
        """Jobs without an answer."""
        return len(self.by_id)

    def find(self, job_id):
        """Return the job of an id, open or answered, or ``None``."""
        return self.by_id.get(job_id) or self.answered_by_id.get(job_id)

    def add(self, job):
        """Add an open job."""
        self.by_id[job.job_id] = job

    def remove(self, job):
        """Forget an open job that was never started here."""
        self.by_id.pop(job.job_id, None)

    def keep_answer(self, job, n_bytes, now_ms):
        """Move a job to the answered ones, dropping its tasks' payloads.

        :param job: the answered job.
        :param n_bytes: size of the answer.
        :param now_ms: the current time.
        """
        self.by_id.pop(job.job_id, None)
        job.answered_ms = now_ms
        job.answer_bytes = n_bytes
        self.answered_by_id[job.job_id] = job
        self.n_answer_bytes += n_bytes
        self.evict(now_ms)

    def evict(self, now_ms):
        """Drop answers that are too old or too many.

        :param now_ms: the current time.
        """
        while self.answered_by_id:
            job = next(iter(self.answered_by_id.values()))
            is_old = now_ms - job.answered_ms > self.retention_ms
            if not is_old and self.n_answer_bytes <= self.max_bytes:
                return
            del self.answered_by_id[job.job_id]
            self.n_answer_bytes -= job.answer_bytes
