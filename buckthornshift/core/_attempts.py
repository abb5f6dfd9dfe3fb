"""Attempts whose result may still come, by identifier."""

from ._jobs import Attempt


class AttemptTable:
    """Open and close attempts and keep the counts that hang on them.

    :param context: the shared :class:`Context`.
    """

    def __init__(self, context=None):
        self.context = context
        self.by_id = {}
        self._n_made = 0

    def make(self, task, server, is_hedge=False):
        """Open a new attempt of a task on a server; return it.

        :param task: the task.
        :param server: the server.
        :param is_hedge: whether it is a second start beside a slow one.
        """
        context = self.context
        context.monitor.check_start(task.job, task, server, context.now_ms)
        if not task.attempts:
            context.retry.budget.note_start()
        self._n_made += 1
        attempt_id = f"{context.identity.incarnation}-{self._n_made:x}"
        return self._open(task, server, attempt_id, is_hedge=is_hedge)

    def adopt(self, task, server, attempt_id):
        """Open an attempt that a former home had started; return it.

        :param task: the task.
        :param server: the server that runs it.
        :param attempt_id: its identifier.
        """
        attempt = self._open(task, server, attempt_id)
        attempt.is_connection_lost = True
        return attempt

    def close(self, attempt):
        """Record that no result of an attempt is awaited any more."""
        if not attempt.is_open:
            return
        context = self.context
        attempt.is_open = False
        self.by_id.pop(attempt.attempt_id, None)
        attempt.server.attempt_ids.discard(attempt.attempt_id)
        context.quotas.change_running(attempt.task.job.quota_keys, -1)
        left_ms = context.work_in_flight_ms - attempt.task.expected_ms
        context.work_in_flight_ms = max(0.0, left_ms)

    def list_known(self, attempt_ids):
        """Return the open attempts among some identifiers."""
        return [self.by_id[a] for a in attempt_ids if a in self.by_id]

    def list_by_process(self, server_id, incarnation):
        """Return the open attempts on one server process."""
        return [
            attempt
            for attempt in self.by_id.values()
            if attempt.server.id == server_id
            and attempt.server.incarnation == incarnation
        ]

    def _open(self, task, server, attempt_id, is_hedge=False):
        context = self.context
        attempt = Attempt(
            attempt_id=attempt_id,
            task=task,
            server=server,
            sent_ms=context.now_ms,
            is_hedge=is_hedge,
        )
        task.attempts.append(attempt)
        self.by_id[attempt_id] = attempt
        server.attempt_ids.add(attempt_id)
        context.quotas.change_running(task.job.quota_keys, 1)
        context.work_in_flight_ms += task.expected_ms
        return attempt
