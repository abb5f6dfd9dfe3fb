"""Table of the open attempts: those whose result may still come."""

from ._jobs import Attempt


class AttemptTable:
    """Open and close attempts, and update the counts of running tasks.

    :param context: the shared :class:`Context`.
    """

    def __init__(self, context=None):
        self.context = context
        self.by_id = {}
        self._n_created = 0

    def create(self, task, server, is_hedge=False):
        """Create an attempt of a task on a server; return it.

        :param task: the task.
        :param server: the server.
        :param is_hedge: whether it is a hedge of an attempt that is slow.
        """
        context = self.context
        context.monitor.check_start(task.job, task, server, context.now_ms)
        if not task.attempts:
            context.retry.budget.deposit()
        self._n_created += 1
        attempt_id = f"{context.identity.incarnation}-{self._n_created:x}"
        return self._add(task, server, attempt_id, is_hedge=is_hedge)

    def adopt(self, task, server, attempt_id):
        """Track an attempt that the job's former coordinator started; return it.

        :param task: the task.
        :param server: the server that runs it.
        :param attempt_id: its identifier, given by the former coordinator.
        """
        attempt = self._add(task, server, attempt_id)
        attempt.is_connection_lost = True
        return attempt

    def close(self, attempt):
        """Stop waiting for the result of an attempt."""
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
        """Return the open attempts among those with the given identifiers."""
        return [self.by_id[a] for a in attempt_ids if a in self.by_id]

    def list_by_process(self, server_id, incarnation):
        """Return the open attempts on one server process."""
        return [
            attempt
            for attempt in self.by_id.values()
            if attempt.server.id == server_id
            and attempt.server.incarnation == incarnation
        ]

    def _add(self, task, server, attempt_id, is_hedge=False):
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
