"""Retry policy: what happens to a task after one of its attempts ends."""

import attrs

from ..contracts import NOT_STARTED_STATES, AttemptState, Reason


@attrs.frozen(kw_only=True)
class CompleteTask:
    """The attempt succeeded, so the task is complete."""


@attrs.frozen(kw_only=True)
class RequeueTask:
    """The task goes back to the queue.

    :param delay_ms: time to wait first, in milliseconds.
    :param is_retry: whether the ended attempt may have run.
    """

    delay_ms: float = 0.0
    is_retry: bool = False


@attrs.frozen(kw_only=True)
class FailJob:
    """The task cannot be completed, so its job fails.

    :param reason: reason given in the job's answer.
    """

    reason: Reason = Reason.TASK_FAILED


class RetryBudget:
    """Token bucket that limits retries and hedges to a fraction of first starts.

    The limit keeps retries from multiplying the load while many attempts fail.

    :param ratio: retries allowed per first start of a task.
    :param max_tokens: maximum number of retries that can be saved up.
    """

    def __init__(self, ratio=0.1, max_tokens=20.0):
        self.ratio = ratio
        self.max_tokens = max_tokens
        self.tokens = max_tokens

    def deposit(self):
        """Add the fraction of a retry that the first start of a task allows."""
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def try_withdraw(self):
        """Spend one retry if the budget has one; return whether it had."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryPolicy:
    """Decide whether a task is retried, by an attempt's outcome and the entry.

    Work that certainly did not start is started again, unless its job was fenced.
    Work that may have run is retried only if its catalogue entry is repeatable.

    :param settings: the :class:`CoreSettings`.
    :param budget: the :class:`RetryBudget`.
    :param random_state: source of jitter.
    """

    def __init__(self, settings=None, budget=None, random_state=None):
        self.settings = settings
        self.budget = budget
        self.random_state = random_state

    def decide(self, state, entry, task):
        """Return what to do with a task after one of its attempts ended.

        :param state: the :class:`~buckthornshift.contracts.AttemptState` that the
            attempt ended in.
        :param entry: the job's catalogue entry.
        :param task: the task.
        :returns: :class:`CompleteTask`, :class:`RequeueTask` or :class:`FailJob`.
        """
        if state is AttemptState.OK:
            return CompleteTask()
        if state is AttemptState.FENCED:
            return FailJob(reason=Reason.OUTCOME_UNKNOWN)
        if state in NOT_STARTED_STATES:
            return RequeueTask()
        if not entry.is_repeatable:
            has_failed = state is AttemptState.FAILED
            reason = Reason.TASK_FAILED if has_failed else Reason.OUTCOME_UNKNOWN
            return FailJob(reason=reason)
        return self._decide_repeatable(entry, task)

    def _decide_repeatable(self, entry, task):
        if task.n_possible_runs >= entry.max_attempts or not self.budget.try_withdraw():
            return FailJob(reason=Reason.TASK_FAILED)
        settings = self.settings
        delay_ms = settings.retry_base_ms * 2 ** (task.n_possible_runs - 1)
        delay_ms = min(settings.retry_max_ms, delay_ms)
        return RequeueTask(
            delay_ms=delay_ms * (0.5 + self.random_state.random()), is_retry=True
        )
