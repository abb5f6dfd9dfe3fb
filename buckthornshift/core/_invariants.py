"""Promises of the system as named invariants, asserted inside the program."""

import enum

from ..contracts import BuckthornshiftError, JobStatus

MAX_REMEMBERED_CALLERS = 10_000


class Invariant(enum.StrEnum):
    """Names of the invariants."""

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
    """A promise of the system was about to be broken.

    :param invariant: the :class:`Invariant`.
    :param detail: what was seen.
    """

    def __init__(self, invariant=None, detail=""):
        super().__init__(f"{invariant}: {detail}")
        self.invariant = invariant


class InvariantMonitor:
    """Check the promises at the places where they could break.

    :param is_on: whether checks run.
    """

    def __init__(self, is_on=True):
        self.is_on = is_on
        self._answered_refs = {}

    def check(self, condition, invariant, detail=""):
        """Raise if a condition does not hold.

        :param condition: what must be true.
        :param invariant: the :class:`Invariant` that the condition belongs to.
        :param detail: what was seen.
        :raises InvariantError: if the condition is false.
        """
        if self.is_on and not condition:
            raise InvariantError(invariant=invariant, detail=detail)

    def check_answer_sent(self, caller_ref, expected_job_id, answer):
        """Check that a caller gets one answer, to its own request."""
        if not self.is_on:
            return
        is_first = caller_ref not in self._answered_refs
        self.check(is_first, Invariant.ONE_ANSWER, f"caller {caller_ref}")
        self._answered_refs[caller_ref] = True
        if len(self._answered_refs) > MAX_REMEMBERED_CALLERS:
            self._answered_refs.pop(next(iter(self._answered_refs)))
        is_own = answer.job_id == expected_job_id
        self.check(is_own, Invariant.OWN_ANSWER, f"{answer.job_id} {expected_job_id}")

    def check_job_answer(self, job, answer):
        """Check that an answer is whole and tells the truth about starts.

        :param job: the job with its tasks and attempts.
        :param answer: the answer about to be fixed.
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
            is_first = all(attempt.is_proven_unstarted for attempt in task.attempts)
            self.check(is_first, Invariant.AT_MOST_ONCE, f"{job.job_id} {task.id}")
