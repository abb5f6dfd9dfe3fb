"""Weighted fair queue, between owners, of the tasks that wait for a slot."""

import heapq
import itertools

import attrs

# A sum of work below this is a rounding error of the additions and means no work.
ROUNDING_ERROR_MS = 0.001


@attrs.define(kw_only=True)
class SubQueue:
    """Waiting tasks of one entry and size class.

    :param entry_name: name of the entry.
    :param is_large: whether the tasks belong to large jobs.
    :param owner: owner of the entry.
    :param heap: heap of the tasks, most urgent first.
    """

    entry_name: str = ""
    is_large: bool = False
    owner: str = ""
    heap: list = attrs.field(factory=list)


class FairQueue:
    """Serve owners in proportion to their weights, and each owner by urgency.

    A task's urgency is a point in time: its job's arrival plus a multiple of the
    job's ideal response time, at most the job's deadline. Short jobs thereby
    overtake long ones without starving them. Within a job the longest task comes
    first, because the job is answered when its last task ends.

    Each catalogue entry has one subqueue for tasks of large jobs and one for those
    of small jobs, so that a limit on one entry, or a large job that waits for more
    free slots, does not block other tasks.
    The owner with the least weighted service so far is served next. An owner that
    was idle starts at the current virtual time, so that it gains no credit while
    idle.
    """

    def __init__(self):
        self.n_tasks = 0
        self._work_ms_by_job = {}
        self._subqueues_by_key = {}
        self._service_by_owner = {}
        self._n_tasks_by_owner = {}
        self._sequence = itertools.count()
        self._virtual_time = 0.0

    def push(self, owner, entry_name, task):
        """Add a task.

        :param owner: owner of the task's entry.
        :param entry_name: name of the entry.
        :param task: the task, with ``virtual_deadline_ms`` and ``expected_ms``.
        """
        key = (entry_name, task.is_large)
        subqueue = self._subqueues_by_key.get(key)
        if subqueue is None or subqueue.owner != owner:
            subqueue = SubQueue(
                entry_name=entry_name, is_large=task.is_large, owner=owner
            )
            self._subqueues_by_key[key] = subqueue
        if not self._n_tasks_by_owner.get(owner):
            service = self._service_by_owner.get(owner, 0.0)
            self._service_by_owner[owner] = max(service, self._virtual_time)
        heapq.heappush(
            subqueue.heap,
            (task.virtual_deadline_ms, -task.expected_ms, next(self._sequence), task),
        )
        self._update_counts(owner, task, 1)

    def list_subqueues(self):
        """Return the non-empty subqueues, those of the least served owner first."""
        for key in [
            k for k, subqueue in self._subqueues_by_key.items() if not subqueue.heap
        ]:
            del self._subqueues_by_key[key]
        return sorted(
            self._subqueues_by_key.values(),
            key=lambda subqueue: self._service_by_owner[subqueue.owner],
        )

    def peek(self, subqueue):
        """Return a subqueue's next task that still waits, or ``None``.

        :param subqueue: the :class:`SubQueue`.
        """
        while subqueue.heap:
            task = subqueue.heap[0][3]
            if task.is_waiting:
                return task
            heapq.heappop(subqueue.heap)
        return None

    def drop(self, owner, task):
        """Remove a waiting task from the counts.

        Its heap item stays, and is skipped once the task no longer waits.

        :param owner: owner of the task's entry.
        :param task: the task; the caller changes its phase.
        """
        self._update_counts(owner, task, -1)

    def pop(self, subqueue, weight):
        """Remove and return the task that :meth:`peek` returned.

        :param subqueue: the :class:`SubQueue`.
        :param weight: the owner's weight.
        """
        task = heapq.heappop(subqueue.heap)[3]
        self._update_counts(subqueue.owner, task, -1)
        service = self._service_by_owner[subqueue.owner]
        self._virtual_time = max(self._virtual_time, service)
        cost = max(task.expected_ms, 1.0) / max(weight, 1)
        self._service_by_owner[subqueue.owner] = service + cost
        return task

    def sum_work_ahead_ms(self, virtual_deadline_ms):
        """Return the expected run time of waiting tasks that are more urgent.

        :param virtual_deadline_ms: urgency to compare with.
        """
        return sum(
            work_ms
            for job, work_ms in self._work_ms_by_job.items()
            if job.virtual_deadline_ms <= virtual_deadline_ms
        )

    def _update_counts(self, owner, task, sign):
        self.n_tasks += sign
        self._n_tasks_by_owner[owner] = self._n_tasks_by_owner.get(owner, 0) + sign
        work_ms = self._work_ms_by_job.get(task.job, 0.0) + sign * task.expected_ms
        if work_ms > ROUNDING_ERROR_MS:
            self._work_ms_by_job[task.job] = work_ms
        else:
            self._work_ms_by_job.pop(task.job, None)
