"""What must hold over a whole run, seen from outside the cores."""

import attrs

from ..contracts import (
    CATALOGUE_STREAM,
    CatalogueChange,
    JobStatus,
    decode_message,
)
from ..core import EventCode, Invariant, InvariantError

LEAVING_GRACE_MS = 4_000.0
LIMITED_ENTRY = "limited"
LIMITED_OWNER_MAX_TASKS = 6


@attrs.define(kw_only=True)
class ObservedStart:
    """One real start of a task on a server.

    :param server_id: the server.
    :param incarnation: its process.
    :param sender: incarnation of the entry instance that sent it.
    :param term: term of the claim.
    """

    server_id: str = ""
    incarnation: str = ""
    sender: str = ""
    term: int = 0


@attrs.define(kw_only=True)
class TrackedRequest:
    """One request of a caller.

    :param job: the job.
    :param target_incarnation: the instance it went to.
    :param sent_ms: when it was sent.
    :param answer: the answer, or ``None``.
    :param is_lost: whether its connection ended without an answer.
    :param is_cancel: whether it is a cancellation.
    :param has_arrived: whether it reached the instance.
    """

    job: object = None
    is_repeatable: bool = False
    target_incarnation: str = ""
    sent_ms: float = 0.0
    answer: object = None
    is_lost: bool = False
    is_cancel: bool = False
    has_arrived: bool = False


@attrs.define(kw_only=True)
class RunCounts:
    """Counts of a run, for reports.

    :param n_jobs: jobs.
    :param n_requests: requests of callers.
    :param n_starts: real starts.
    :param n_faults: faults.
    :param n_complete: answers "complete".
    :param n_failed: answers "failed".
    :param n_not_run: answers "not run".
    :param n_lost: requests without an answer.
    :param max_over_limit: most tasks that ran beyond the limit of the limited owner.
    """

    n_jobs: int = 0
    n_requests: int = 0
    n_starts: int = 0
    n_faults: int = 0
    n_complete: int = 0
    n_failed: int = 0
    n_not_run: int = 0
    n_lost: int = 0
    max_over_limit: int = 0


class Oracle:
    """Record starts and answers, and check the promises at the end.

    :param clock: the :class:`VirtualClock`.
    """

    def __init__(self, clock=None):
        self.clock = clock
        self.requests = []
        self.starts_by_task = {}
        self.senders_by_job = {}
        self.events_by_node = {}
        self.max_over_limit = 0
        self.outage_job_ids = set()
        self.taken_over_job_ids = set()
        self.version_by_incarnation = {}
        self.ended_incarnations = set()

    def record_entry_started(self, node):
        """Record a new process of an entry instance."""
        self.version_by_incarnation[node.record.incarnation] = -1

    def record_entry_ended(self, node):
        """Record that a process of an entry instance ended."""
        self.ended_incarnations.add(node.record.incarnation)
        for request in self.requests:
            is_its = request.target_incarnation == node.record.incarnation
            if is_its and request.answer is None:
                request.is_lost = True

    def check_drained(self, node):
        """Check that a drained process leaves no request without an answer."""
        for request in self.requests:
            is_its = request.target_incarnation == node.record.incarnation
            # What is still on its way finds a closed port and is sent elsewhere.
            if is_its and request.has_arrived and request.answer is None:
                self._fail(Invariant.DRAIN_CUTS_NOTHING, request.job.job_id)

    def record_event(self, node, event):
        """Record events, among them those that allow what is otherwise forbidden."""
        self.events_by_node.setdefault(node.id, []).append(event.code)
        if event.code is EventCode.JOB_RUN_IN_OUTAGE:
            self.outage_job_ids.add(event.subject)
        if event.code is EventCode.JOB_TAKEN_OVER:
            self.taken_over_job_ids.add(event.subject)

    def check_start_arrival(self, server):
        """Check that a server long known to leave gets no starts."""
        if server.left_ms is None:
            return
        since_ms = self.clock.now_ms - server.left_ms
        if since_ms > LEAVING_GRACE_MS:
            self._fail(Invariant.NO_WORK_FOR_LEAVING, f"{server.id} {since_ms}")

    def record_starts(self, server, specs):
        """Record attempts that really started.

        :param server: the server.
        :param specs: their :class:`~buckthornshift.contracts.AttemptSpec`.
        """
        for spec in specs:
            start = ObservedStart(
                server_id=server.id,
                incarnation=server.model.incarnation,
                sender=spec.attempt_id.rpartition("-")[0],
                term=spec.term,
            )
            key = (spec.job_id, spec.task_id)
            self._check_starter(spec, start)
            self.starts_by_task.setdefault(key, []).append(start)

    def record_owner_limit_excess(self, models):
        """Record by how much the limited owner's running tasks exceed its limit.

        :param models: models of all live servers.
        """
        limited_jobs = {
            r.job.job_id for r in self.requests if r.job.entry == LIMITED_ENTRY
        }
        n_running = sum(
            model.attempts_by_id[attempt_id].job_id in limited_jobs
            for model in models
            for attempt_id in model.running_ids
        )
        self.max_over_limit = max(
            self.max_over_limit, n_running - LIMITED_OWNER_MAX_TASKS
        )

    def record_answer(self, request, answer):
        """Record an answer and check it against its request."""
        if request.answer is not None:
            self._fail(Invariant.ONE_ANSWER, request.job.job_id)
        request.answer = answer
        if answer.job_id != request.job.job_id:
            self._fail(Invariant.OWN_ANSWER, answer.job_id)
        if answer.status is JobStatus.COMPLETE:
            self._check_whole(request.job, answer)

    def check_catalogue_version(self, node):
        """Check that the catalogue of a process never goes back."""
        version = node.core.context.catalogue.version
        incarnation = node.record.incarnation
        if version < self.version_by_incarnation[incarnation]:
            self._fail(Invariant.CATALOGUE_NEVER_REVERTS, incarnation)
        self.version_by_incarnation[incarnation] = version

    def check_end(self, simulation):
        """Check everything that can be told only at the end."""
        for request in self.requests:
            self._check_answered(request)
        for (job_id, task_id), starts in self.starts_by_task.items():
            self._check_starts(job_id, task_id, starts)
        self._check_not_run()
        expected = replay_catalogue(simulation.untrimmed_log)
        for node in simulation.entries:
            if node.is_up:
                self._check_idle(node)
                self._check_catalogue(node, expected)

    def count(self, n_faults):
        """Return the :class:`RunCounts`."""
        statuses = [r.answer.status for r in self.requests if r.answer is not None]
        return RunCounts(
            n_jobs=len({r.job.job_id for r in self.requests}),
            n_requests=len(self.requests),
            n_starts=sum(len(starts) for starts in self.starts_by_task.values()),
            n_faults=n_faults,
            n_complete=statuses.count(JobStatus.COMPLETE),
            n_failed=statuses.count(JobStatus.FAILED),
            n_not_run=statuses.count(JobStatus.NOT_RUN),
            n_lost=sum(r.answer is None for r in self.requests),
            max_over_limit=self.max_over_limit,
        )

    def _check_whole(self, job, answer):
        got = [result.task_id for result in answer.results]
        expected = [task.task_id for task in job.tasks]
        if got != expected:
            self._fail(Invariant.WHOLE_ANSWER, job.job_id)
        for task, result in zip(job.tasks, answer.results, strict=True):
            if result.output["echo"] != task.payload:
                self._fail(Invariant.OWN_ANSWER, f"{job.job_id} {task.task_id}")

    def _check_answered(self, request):
        if request.answer is None and not request.is_lost:
            self._fail(Invariant.ONE_ANSWER, f"{request.job.job_id}: no answer")

    def _check_starts(self, job_id, task_id, starts):
        request = next(r for r in self.requests if r.job.job_id == job_id)
        detail = f"{job_id} {task_id}: {starts}"
        if not request.is_repeatable and len(starts) > 1:
            self._fail(Invariant.AT_MOST_ONCE, detail)
        if job_id in self.outage_job_ids:
            return
        senders_by_term = {}
        for start in starts:
            senders_by_term.setdefault(start.term, set()).add(start.sender)
        if any(len(senders) > 1 for senders in senders_by_term.values()):
            self._fail(Invariant.SINGLE_START, detail)

    def _check_starter(self, spec, start):
        senders = self.senders_by_job.setdefault(spec.job_id, set())
        rivals = senders - {start.sender} - self.ended_incarnations
        senders.add(start.sender)
        if rivals and spec.job_id not in self.outage_job_ids:
            detail = f"{spec.job_id}: {start.sender} beside live {rivals}"
            self._fail(Invariant.SINGLE_START, detail)

    def _check_not_run(self):
        started = {job_id for job_id, _ in self.starts_by_task}
        answers_by_job = {}
        for request in self.requests:
            if not request.is_cancel:
                answers_by_job.setdefault(request.job.job_id, []).append(request.answer)
        for job_id, answers in answers_by_job.items():
            is_refused = all(
                answer is not None and answer.status is JobStatus.NOT_RUN
                for answer in answers
            )
            if is_refused and job_id in started:
                self._fail(Invariant.NOT_RUN_IS_TRUE, job_id)

    def _check_idle(self, node):
        context = node.core.context
        left = {
            "open jobs": context.jobs.n_open,
            "queued": context.queue.n_tasks,
            "attempts": len(node.core.attempts.by_id),
            "questions": len(node.core.peer_requests.by_request_id),
            "running": sum(context.quotas.running_by_key.values()),
            "demand": sum(context.quotas.queued_by_key.values()),
        }
        if any(left.values()):
            self._fail(Invariant.ONE_ANSWER, f"{node.id} is not idle: {left}")

    def _check_catalogue(self, node, expected):
        items = node.core.context.catalogue.items_by_key
        if items != expected:
            self._fail(Invariant.CATALOGUE_NEVER_REVERTS, f"{node.id}: {items}")

    def _fail(self, invariant, detail):
        raise InvariantError(invariant=invariant, detail=detail)


def replay_catalogue(log):
    """Return the catalogue that a whole, never trimmed log stands for.

    :param log: the :class:`~buckthornshift.standins.LogModel`.
    :returns: items by key.
    """
    items = {}
    offset = 0
    while offset < log.get_head(CATALOGUE_STREAM):
        for record in log.read(CATALOGUE_STREAM, offset).records:
            offset = record.offset + 1
            change = decode_message(record.body)
            if isinstance(change, CatalogueChange):
                _replay_change(items, record.offset, change)
    return items


def _replay_change(items, offset, change):
    for key in change.items:
        if key in items and items[key].offset > change.based_on:
            return
    for key, item in change.items.items():
        items[key] = attrs.evolve(item, offset=offset)
