"""State and services shared by the components of the dispatch core."""

import collections

import attrs

from ..timers import TimerQueue
from ._actions import LogLine
from ._declarations import Configuration


@attrs.define(kw_only=True)
class Counters:
    """Counters since the start of the process.

    :param n_jobs: jobs received from callers.
    :param n_completed: jobs answered as completed.
    :param n_failed: jobs answered as failed.
    :param n_failed_by_runs: jobs that failed here as owner because runs of a task
        ended as failed.
    :param n_given_up: jobs that ended here as owner, with an unknown outcome, because
        servers crashed under a task.
    :param n_refused: jobs answered as not run.
    :param n_returned: submissions that an owner returned.
    :param n_starts: start commands sent.
    :param n_rejected: start commands that a server rejected.
    :param n_unanswered: start commands without a response in time.
    :param n_runs_lost: runs that were lost with their server.
    :param n_stops: stop commands sent.
    :param n_holds: lease renewals sent.
    :param n_adopted: runs of a former owner that were assigned to their resent job.
    :param n_claims: claims of cells by this instance.
    """

    n_jobs: int = 0
    n_completed: int = 0
    n_failed: int = 0
    n_failed_by_runs: int = 0
    n_given_up: int = 0
    n_refused: int = 0
    n_returned: int = 0
    n_starts: int = 0
    n_rejected: int = 0
    n_unanswered: int = 0
    n_runs_lost: int = 0
    n_stops: int = 0
    n_holds: int = 0
    n_adopted: int = 0
    n_claims: int = 0


class DispatchContext:
    """Time, identity, timers and output queues of the core.

    Components communicate by messages, which are delivered in the order of posting.

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
        self.started_wall_ms = 0.0
        self.is_stopping = False
        self.configuration = Configuration()
        self.counters = Counters()
        self.timers = TimerQueue()
        self.actions = []
        self.inbox = collections.deque()

    def post(self, message):
        """Queue a message to the components, delivered after the current one."""
        self.inbox.append(message)

    def emit(self, action):
        """Add an action to be performed by the process around the core."""
        self.actions.append(action)

    def log(self, code, subject="", **fields):
        """Write an event to the structured log.

        :param code: the :class:`LogCode`.
        :param subject: job, task, server or instance that the event is about.
        """
        self.emit(LogLine(code=code, subject=subject, fields=fields))

    def start_timer(self, delay_ms, message):
        """Post a message after a delay; return a handle to cancel it."""
        return self.timers.start(self.now_ms + delay_ms, message)
