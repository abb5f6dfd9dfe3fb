"""Named invariants of the system, asserted while the program runs."""

import enum

from ..contracts import BuckthornshiftError, JobStatus

MAX_REMEMBERED_CALLERS = 10_000


class Invariant(enum.StrEnum):
    """Guarantees of the system; their values name them in errors and reports.

    ``ONE_ANSWER``: each request gets exactly one answer.
    ``OWN_ANSWER``: an answer belongs to the job of its request.
    ``WHOLE_ANSWER``: a complete answer has the results of all tasks, any other none.
    ``NOT_RUN_IS_TRUE``: a job is answered "not run" only if no task can have run.
    ``AT_MOST_ONCE``: a task of work that is not repeatable runs at most once.
    ``SINGLE_START``: one live process at a time starts the tasks of a job, except in
    an outage of the log.
    ``NO_WORK_FOR_LEAVING``: nothing is started on a server known to be leaving.
    ``DRAIN_CUTS_NOTHING``: an instance that has drained exits with nothing open.
    ``CATALOGUE_NEVER_REVERTS``: a catalogue never goes back to an older version.
    ``CLAIM_BEFORE_START``: a job starts only once its claim has won in the log, or
    without a claim in an outage of the log.
    """

    ONE_ANSWER = "one_answer"
    OWN_ANSWER = "own_answer"
    WHOLE_ANSWER = "whole_answer"
    NOT_RUN_IS_TRUE = "not_run_is_true"
    AT_MOST_ONCE = "at_most_once"
    SINGLE_START = "single_start"
    NO_WORK_FOR_LEAVING = "no_work_for_leaving"
    DRAIN_CUTS_NOTHING = "drain_cuts_nothing"
    CATALOGUE_NEVER_REVERTS = "catalogue_never_reverts"
    CLAIM_BEFORE_START = "claim_before_start"


class InvariantError(BuckthornshiftError):
    """An invariant of the system was about to be violated.

    :param invariant: the :class:`Invariant`.
    :param detail: the values that violate it.
    """

    def __init__(self, invariant=None, detail=""):
        super().__init__(f"{invariant}: {detail}")
        self.invariant = invariant


class InvariantMonitor:
    """Assert invariants where the code could violate them.

    :param is_on: whether invariants are checked.
    """

    def __init__(self, is_on=True):
        self.is_on = is_on
        self._answered_refs = {}

    def check(self, condition, invariant, detail=""):
        """Raise if a condition does not hold.

        :param condition: the condition.
        :param invariant: the :class:`Invariant` that it belongs to.
        :param detail: the values that violate it.
        :raises InvariantError: if the condition is false.
        """
        if self.is_on and not condition:
            raise InvariantError(invariant=invariant, detail=detail)

    def check_answer_sent(self, caller_ref, expected_job_id, answer):
        """Check that a caller gets only one answer, and for the job it asked about."""
        if not self.is_on:
            return
        is_only_answer = caller_ref not in self._answered_refs
        self.check(is_only_answer, Invariant.ONE_ANSWER, f"caller {caller_ref}")
        self._answered_refs[caller_ref] = True
        if len(self._answered_refs) > MAX_REMEMBERED_CALLERS:
            self._answered_refs.pop(next(iter(self._answered_refs)))
        is_for_job = answer.job_id == expected_job_id
        self.check(
            is_for_job, Invariant.OWN_ANSWER, f"{answer.job_id} {expected_job_id}"
        )

    def check_job_answer(self, job, answer):
        """Check that an answer has all results, and that "not run" means no start.

        :param job: the job with its tasks and attempts.
        :param answer: the answer that the job is about to get.
        """
        if not self.is_on:
            return
        got = [result.task_id for result in answer.results]
        if answer.status is JobStatus.COMPLETE:
            expected = [task.task_id for task in job.request.tasks]
            self.check(got == expected, Invariant.WHOLE_ANSWER, job.job_id)
        else:
            self.check(not got, Invariant.WHOLE_ANSWER, job.job_id)
        if answer.status is JobStatus.NOT_RUN:
            is_true = not job.may_have_started()
            self.check(is_true, Invariant.NOT_RUN_IS_TRUE, job.job_id)

    def check_start(self, job, task, server, now_ms):
        """Check that a task may be started on a server.

        :param job: the job.
        :param task: the task.
        :param server: the backend server.
        :param now_ms: the current time.
        """
        if not self.is_on:
            return
        self.check(job.answer is None, Invariant.NOT_RUN_IS_TRUE, job.job_id)
        is_claimed = job.is_claim_won or job.is_outage_run
        self.check(is_claimed, Invariant.CLAIM_BEFORE_START, job.job_id)
        self.check(not server.is_leaving, Invariant.NO_WORK_FOR_LEAVING, server.id)
        if not job.entry.is_repeatable:
            is_first_run = all(attempt.is_proven_unstarted for attempt in task.attempts)
            self.check(is_first_run, Invariant.AT_MOST_ONCE, f"{job.job_id} {task.id}")
