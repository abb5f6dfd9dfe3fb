"""State that the parts of one entry instance share, and builders of answers."""

import collections

import attrs

from ..contracts import JobAnswer, JobStatus, TaskResult
from ..timers import TimerQueue
from ._actions import WriteLogEvent
from ._admission import Admission
from ._catalogue import Catalogue
from ._claims import ClaimTable
from ._invariants import InvariantMonitor
from ._jobs import JobTable
from ._log_writer import LogHealth, LogWriter
from ._peers import PeerTable
from ._placement import Placement
from ._queue import FairQueue
from ._quotas import QuotaAllocator
from ._retry import RetryBudget, RetryPolicy
from ._run_times import RunTimeEstimator
from ._servers import ServerTable


@attrs.define(kw_only=True)
class Counters:
    """Counters since the start of the process, shown in the state dump and metrics.

    :param n_submitted: submissions from callers.
    :param n_refused: answers "not run".
    :param n_complete: answers "complete".
    :param n_failed: answers "failed".
    :param n_starts: attempts sent.
    :param n_start_messages: start messages sent.
    :param n_busy: attempts refused by busy servers.
    :param n_retries: attempts sent again after one that may have run.
    :param n_hedges: hedges sent while a slow attempt still ran.
    :param n_lost: attempts whose connection ended without a result.
    :param n_queries: queries and probes sent.
    :param n_cancels: cancel messages sent.
    :param n_peer_messages: messages sent to peers.
    :param n_forwarded: submissions passed to a peer.
    :param n_takeovers: jobs taken over from a coordinator that is gone.
    """

    n_submitted: int = 0
    n_refused: int = 0
    n_complete: int = 0
    n_failed: int = 0
    n_starts: int = 0
    n_start_messages: int = 0
    n_busy: int = 0
    n_retries: int = 0
    n_hedges: int = 0
    n_lost: int = 0
    n_queries: int = 0
    n_cancels: int = 0
    n_peer_messages: int = 0
    n_forwarded: int = 0
    n_takeovers: int = 0


class Context:
    """State, clocks, messages and actions shared by the parts of an entry instance.

    :param identity: the :class:`EntryIdentity`.
    :param settings: the :class:`CoreSettings`.
    :param random_state: a :class:`random.Random`.
    :ivar now_ms: monotonic time of the current event, in milliseconds.
    :ivar wall_ms: its wall-clock time, in milliseconds since the epoch.
    :ivar withdrawn_ids: jobs given up before their claims were settled, oldest first.
    :ivar work_in_flight_ms: sum of the expected run times of the open attempts.
    :ivar actions: actions for the shell since the last event.
    :ivar inbox: messages that the parts have not handled yet.
    """

    def __init__(self, identity=None, settings=None, random_state=None):
        self.identity = identity
        self.settings = settings
        self.random_state = random_state
        self.now_ms = 0.0
        self.wall_ms = 0.0
        self.is_draining = False
        self.drain_started_ms = 0.0
        self.has_exited = False
        self.withdrawn_ids = {}
        self.work_in_flight_ms = 0.0
        self.actions = []
        self.inbox = collections.deque()
        self.counters = Counters()
        self.timers = TimerQueue()
        self.monitor = InvariantMonitor(is_on=settings.are_invariants_on)
        self._create_log_parts()
        self._create_scheduling_parts()

    def _create_log_parts(self):
        settings = self.settings
        self.catalogue = Catalogue(monitor=self.monitor)
        self.claims = ClaimTable(
            retention_ms=settings.claims_kept_ms, max_claims=settings.max_claims
        )
        self.writer = LogWriter(
            writer_id=self.identity.incarnation,
            appends_per_s=settings.log_appends_per_s,
            random_state=self.random_state,
            timers=self.timers,
        )
        self.log_health = LogHealth(outage_after_ms=settings.log_outage_after_ms)

    def _create_scheduling_parts(self):
        settings = self.settings
        self.servers = ServerTable(settings=settings, identity=self.identity)
        self.peers = PeerTable(identity=self.identity)
        self.queue = FairQueue()
        self.quotas = QuotaAllocator(settings=settings, identity=self.identity)
        self.run_times = RunTimeEstimator(default_ms=settings.default_run_ms)
        self.jobs = JobTable(
            retention_ms=settings.answers_kept_ms, max_bytes=settings.max_answers_bytes
        )
        self.placement = Placement(
            settings=settings,
            identity=self.identity,
            servers=self.servers,
            random_state=self.random_state,
        )
        self.retry = RetryPolicy(
            settings=settings,
            budget=RetryBudget(ratio=settings.retry_budget_ratio),
            random_state=self.random_state,
        )
        self.admission = Admission(
            settings=settings,
            servers=self.servers,
            peers=self.peers,
            queue=self.queue,
            quotas=self.quotas,
        )

    def post(self, message):
        """Queue a message to the parts; it is delivered after the current one."""
        self.inbox.append(message)

    def emit(self, action):
        """Add an action for the shell to perform."""
        self.actions.append(action)

    def log(self, code, subject="", detail=""):
        """Write a numbered event to the structured log of the process."""
        self.emit(WriteLogEvent(code=code, subject=subject, detail=detail))

    def start_timer(self, delay_ms, message):
        """Deliver a message to the parts after a delay; return the timer's handle."""
        return self.timers.start(self.now_ms + delay_ms, message)


def build_complete_answer(job):
    """Build the answer of a job whose tasks have all succeeded.

    :param job: the job.
    """
    results = tuple(
        TaskResult(task_id=task.id, output=task.output) for task in job.tasks
    )
    return JobAnswer(
        job_id=job.job_id,
        status=JobStatus.COMPLETE,
        results=results,
        may_have_run=True,
    )


def build_failure_answer(job, reason, detail="", retry_after_ms=0):
    """Build the answer of a job that ends without results.

    Its status is "not run" if and only if no task can have run.

    :param job: the job.
    :param reason: the :class:`~buckthornshift.contracts.Reason`.
    :param detail: explanation for the caller.
    :param retry_after_ms: time after which the caller may retry, in milliseconds; 0
        if it should not.
    """
    may_have_run = job.may_have_started()
    return JobAnswer(
        job_id=job.job_id,
        status=JobStatus.FAILED if may_have_run else JobStatus.NOT_RUN,
        reason=reason,
        detail=detail,
        may_have_run=may_have_run,
        retry_after_ms=retry_after_ms,
    )


def build_unknown_answer(job_id, reason, detail="", retry_after_ms=0):
    """Build the answer for a job whose outcome this instance cannot determine.

    :param job_id: the job.
    :param reason: the :class:`~buckthornshift.contracts.Reason`.
    :param detail: explanation for the caller.
    :param retry_after_ms: time after which the caller may retry, in milliseconds; 0
        if it should not.
    """
    return JobAnswer(
        job_id=job_id,
        status=JobStatus.FAILED,
        reason=reason,
        detail=detail,
        may_have_run=True,
        retry_after_ms=retry_after_ms,
    )
