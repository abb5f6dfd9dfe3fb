"""What the parts of the dispatch core share."""

import collections

import attrs

from ..timers import TimerQueue
from ._actions import LogLine
from ._declarations import Configuration


@attrs.define(kw_only=True)
class Counters:
    """Counts since the start of the process.

    :param n_jobs: jobs from callers.
    :param n_completed: answers "completed".
    :param n_failed: answers "failed".
    :param n_refused: answers "not run".
    :param n_returned: submissions that a former owner gave back.
    :param n_starts: start orders sent.
    :param n_rejected: start orders that a server rejected.
    :param n_unanswered: start orders without an answer.
    :param n_stops: stop orders sent.
    :param n_holds: renewals sent.
    :param n_adopted: runs of a former owner that went on.
    :param n_claims: claims of the servers by this instance.
    """

    n_jobs: int = 0
    n_completed: int = 0
    n_failed: int = 0
    n_refused: int = 0
    n_returned: int = 0
    n_starts: int = 0
    n_rejected: int = 0
    n_unanswered: int = 0
    n_stops: int = 0
    n_holds: int = 0
    n_adopted: int = 0
    n_claims: int = 0


class DispatchContext:
    """Time, identity and outlets shared by the parts of the core.

    :param identity: the :class:`DispatchIdentity`.
    :param settings: the :class:`DispatchSettings`.
    :param random_state: a :class:`random.Random`.
    """

    def __init__(self, identity=None, settings=None, random_state=None):
        self.identity = identity
        self.settings = settings
        self.random_state = random_state
        self.now_ms = 0.0
        self.wall_ms = 0.0
        self.started_ms = 0.0
        self.is_stopping = False
        self.configuration = Configuration()
        self.counters = Counters()
        self.timers = TimerQueue()
        self.actions = []
        self.inbox = collections.deque()

    def post(self, message):
        """Pass a message to the parts, after the current one is handled."""
        self.inbox.append(message)

    def emit(self, action):
        """Ask the shell to perform an action."""
        self.actions.append(action)

    def log(self, code, subject="", **fields):
        """Write a numbered event to the structured log."""
        self.emit(LogLine(code=code, subject=subject, fields=fields))

    def start_timer(self, delay_ms, message):
        """Deliver a message to the parts after a delay; return a handle."""
        return self.timers.start(self.now_ms + delay_ms, message)
