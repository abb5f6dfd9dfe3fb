"""What follows the end of an attempt: done, again, elsewhere, or failed."""

import attrs

from ..contracts import NOT_STARTED_STATES, AttemptState, Reason


@attrs.frozen(kw_only=True)
class CompleteTask:
    """The task has its result."""


@attrs.frozen(kw_only=True)
class RequeueTask:
    """The task goes back to the queue.

    :param delay_ms: time to wait first, in milliseconds.
    :param is_retry: whether the former attempt may have run.
    """

    delay_ms: float = 0.0
    is_retry: bool = False


@attrs.frozen(kw_only=True)
class FailJob:
    """The job fails.

    :param reason: why.
    """

    reason: Reason = Reason.TASK_FAILED


class RetryBudget:
    """Allow retries and hedges as a fraction of starts, so failures can't multiply.

    :param ratio: retries per start.
    :param max_tokens: most retries that can be saved up.
    """

    def __init__(self, ratio=0.1, max_tokens=20.0):
        self.ratio = ratio
        self.max_tokens = max_tokens
        self.tokens = max_tokens

    def note_start(self):
        """Record a first start of a task."""
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def try_take(self):
        """Spend one retry; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryPolicy:
    """Decide by the outcome and the class of work.

    :param settings: the :class:`CoreSettings`.
    :param budget: the :class:`RetryBudget`.
    :param random_state: source of jitter.
    """

    def __init__(self, settings=None, budget=None, random_state=None):
        self.settings = settings
        self.budget = budget
        self.random_state = random_state

    def decide(self, state, entry, task):
        """Return what follows a reported state of an attempt.

        :param state: the :class:`~buckthornshift.contracts.AttemptState`.
        :param entry: the job's catalogue entry.
        :param task: the task.
        """
        if state is AttemptState.OK:
            return CompleteTask()
        if state is AttemptState.FENCED:
            return FailJob(reason=Reason.OUTCOME_UNKNOWN)
        if state in NOT_STARTED_STATES:
            return RequeueTask()
        if not entry.is_repeatable:
            is_told = state is AttemptState.FAILED
            reason = Reason.TASK_FAILED if is_told else Reason.OUTCOME_UNKNOWN
            return FailJob(reason=reason)
        return self._decide_repeatable(entry, task)

    def _decide_repeatable(self, entry, task):
        if task.n_possible_runs >= entry.max_attempts or not self.budget.try_take():
            return FailJob(reason=Reason.TASK_FAILED)
        settings = self.settings
        delay_ms = settings.retry_base_ms * 2 ** (task.n_possible_runs - 1)
        delay_ms = min(settings.retry_max_ms, delay_ms)
        return RequeueTask(
            delay_ms=delay_ms * (0.5 + self.random_state.random()), is_retry=True
        )
