"""Completed tasks of jobs that are not open here, shared with the next owner."""

import math

import attrs

from ._actions import SendToPeer
from ._events import PeerConnected, PeerMessageReceived
from ._internal_messages import CompletionsDue, HousekeepingDue
from ._peer_messages import CompletedTasks, TasksCompleted

# Longer than most callers wait, whose jobs may be submitted again until then.
COMPLETION_RETENTION_MS = 60_000.0
# Tasks that are remembered, of all jobs; the oldest jobs are forgotten first.
MAX_TASKS = 4_096
# At most 640 tasks a second are sent to an instance; more of them wait.
SHARE_INTERVAL_MS = 100.0
MAX_TASKS_PER_MESSAGE = 64
# The newest completions, which are sent over each new connection.
MAX_TASKS_ON_CONNECT = 256


@attrs.define(kw_only=True)
class _CompletedJob:
    """Completed tasks of a job.

    :param names: their names.
    :param completed_ms: when the newest of them was read.
    :param is_observed: whether this instance has read one of them from a server.
    """

    names: set = attrs.field(factory=set)
    completed_ms: float = -math.inf
    is_observed: bool = False


class CompletionHistory:
    """Remember completed tasks whose job ended unfinished, and share them.

    A server forgets the end of a run once an owner has acknowledged it. If that owner
    doesn't hold the job open, because it lost contact with the receiving instance, the
    caller's time was over or another owner has the job, only this history knows the end
    afterwards. The same holds for a job whose outcome may not have arrived. The history
    is sent to owners and the instances from which the next ones come, and again over
    each new connection, as what was sent over the former one may be lost.

    :param context: the shared :class:`DispatchContext`.
    :param membership: the :class:`Membership`.
    :param jobs: the :class:`OwnerJobs`.
    :param crash_history: the :class:`CrashHistory`.
    """

    def __init__(self, context=None, membership=None, jobs=None, crash_history=None):
        self.context = context
        self.membership = membership
        self.jobs = jobs
        self.crash_history = crash_history
        self._job_by_id = {}
        self._n_tasks = 0
        self._unsent_names = {}
        self._is_share_due = False

    def subscribe(self):
        """Return handlers by message class."""
        return {
            PeerMessageReceived: self.on_received,
            PeerConnected: self.on_peer_connected,
            CompletionsDue: self.on_share_due,
            HousekeepingDue: self.on_housekeeping,
        }

    def list_known(self, job_id):
        """Return the names of the tasks of a job that are known to be done.

        :param job_id: id of the job.
        """
        completed = self._job_by_id.get(job_id)
        return frozenset() if completed is None else frozenset(completed.names)

    def record(self, job_id, names):
        """Record tasks whose completion this instance has read, and share them.

        :param job_id: id of their job.
        :param names: their names.
        """
        new_names = self._add(job_id, names, self.context.now_ms, is_observed=True)
        if not new_names:
            return
        self._unsent_names.update(dict.fromkeys(sorted(new_names)))
        while len(self._unsent_names) > MAX_TASKS:
            del self._unsent_names[next(iter(self._unsent_names))]
        self._start_share_timer()

    def learn(self, job_id, names):
        """Record tasks that another instance names with a job; share nothing.

        :param job_id: id of the job.
        :param names: their names.
        """
        if names:
            self._add(job_id, names, self.context.now_ms)

    def on_received(self, event):
        """Add completions that another instance has read, also to jobs open here."""
        if not isinstance(event.message, TasksCompleted):
            return
        for completed in event.message.jobs:
            age_ms = max(0.0, completed.age_ms)
            if age_ms >= COMPLETION_RETENTION_MS:
                continue
            names = {f"{completed.job_id}.{suffix}" for suffix in completed.tasks}
            completed_ms = self.context.now_ms - age_ms
            new_names = self._add(completed.job_id, names, completed_ms)
            self.jobs.finish_known(completed.job_id, new_names)

    def on_peer_connected(self, event):
        """Send what an instance may have missed, the newest first."""
        if not self._job_by_id:
            return
        is_hub = self.membership.is_self_hub
        names = [
            name
            for completed in reversed(self._job_by_id.values())
            if is_hub or completed.is_observed
            for name in sorted(completed.names)
        ][:MAX_TASKS_ON_CONNECT]
        for index in range(0, len(names), MAX_TASKS_PER_MESSAGE):
            batch = names[index : index + MAX_TASKS_PER_MESSAGE]
            self._send([event.address], batch)

    def on_share_due(self, message):
        """Send what was read since the last time; more than fits waits for the next."""
        self._is_share_due = False
        batch = list(self._unsent_names)[:MAX_TASKS_PER_MESSAGE]
        for name in batch:
            del self._unsent_names[name]
        # An instance out of contact may have a connection, which delivers it later.
        addresses = [
            peer.address
            for peer in self.membership.by_address.values()
            if not peer.is_live
            or peer.heartbeat.holds_servers
            or self.membership.is_hub(peer.address)
        ]
        self._send(addresses, batch)
        if self._unsent_names:
            self._start_share_timer()

    def on_housekeeping(self, message):
        """Forget old completions."""
        oldest_ms = self.context.now_ms - COMPLETION_RETENTION_MS
        while self._job_by_id:
            job_id = next(iter(self._job_by_id))
            if self._job_by_id[job_id].completed_ms > oldest_ms:
                return
            self._forget(job_id)

    def _add(self, job_id, names, completed_ms, is_observed=False):
        """Add completed tasks; return those of them that are new."""
        completed = self._job_by_id.get(job_id, _CompletedJob())
        new_names = set(names) - completed.names
        completed.is_observed |= is_observed
        if not new_names:
            return new_names
        completed.names |= new_names
        completed.completed_ms = max(completed.completed_ms, completed_ms)
        # The jobs stay ordered by when their newest task became known.
        self._job_by_id.pop(job_id, None)
        self._job_by_id[job_id] = completed
        self._n_tasks += len(new_names)
        while self._n_tasks > MAX_TASKS and len(self._job_by_id) > 1:
            self._forget(next(iter(self._job_by_id)))
        for name in sorted(new_names):
            self.crash_history.clear_task(name)
        return new_names

    def _forget(self, job_id):
        self._n_tasks -= len(self._job_by_id.pop(job_id).names)

    def _start_share_timer(self):
        if not self._is_share_due:
            self._is_share_due = True
            self.context.start_timer(SHARE_INTERVAL_MS, CompletionsDue())

    def _send(self, addresses, names):
        suffixes_by_id = {}
        for name in names:
            job_id, _, suffix = name.partition(".")
            # It may have been forgotten since.
            if job_id in self._job_by_id:
                suffixes_by_id.setdefault(job_id, []).append(suffix)
        if not suffixes_by_id:
            return
        now_ms = self.context.now_ms
        message = TasksCompleted(
            jobs=tuple(
                CompletedTasks(
                    job_id=job_id,
                    tasks=tuple(suffixes),
                    age_ms=round(now_ms - self._job_by_id[job_id].completed_ms, 1),
                )
                for job_id, suffixes in suffixes_by_id.items()
            )
        )
        for address in addresses:
            self.context.emit(SendToPeer(address=address, message=message))
