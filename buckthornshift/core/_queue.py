"""Bounded queue of tasks that wait for a slot, fair between owners."""

import heapq
import itertools

import attrs

ROUNDING_ERROR_MS = 0.001


@attrs.define(kw_only=True)
class SubQueue:
    """Waiting tasks of one entry and size class.

    :param entry_name: name of the entry.
    :param is_large: whether the tasks belong to large jobs.
    :param owner: owner of the entry.
    :param heap: tasks by urgency.
    """

    entry_name: str = ""
    is_large: bool = False
    owner: str = ""
    heap: list = attrs.field(factory=list)


class FairQueue:
    """Serve owners in proportion to their weights, each by urgency.

    A task's urgency is a point in time: its job's arrival plus a multiple of the
    job's ideal response, at most the job's deadline. Short jobs thereby pass long
    ones, and long ones are not starved. Inside a job the longest task comes first,
    because the job is answered when its last task ends.

    Tasks wait in lanes by catalogue entry and size of job, so that a limit on one
    entry, or a large job that waits for more room, holds up no other.
    The owner with the least weighted service so far is served next; an owner that
    was idle starts level with the others, so that it can't save up service.
    """

    def __init__(self):
        self.n_tasks = 0
        self._work_by_job = {}
        self._lanes_by_key = {}
        self._served_by_owner = {}
        self._n_by_owner = {}
        self._sequence = itertools.count()
        self._virtual_time = 0.0

    def push(self, owner, entry_name, task):
        """Add a task.

        :param owner: owner of the task's entry.
        :param entry_name: name of the entry.
        :param task: the task, with ``virtual_deadline_ms`` and ``expected_ms``.
        """
        key = (entry_name, task.is_large)
        subqueue = self._lanes_by_key.get(key)
        if subqueue is None or subqueue.owner != owner:
            subqueue = SubQueue(
                entry_name=entry_name, is_large=task.is_large, owner=owner
            )
            self._lanes_by_key[key] = subqueue
        if not self._n_by_owner.get(owner):
            served = self._served_by_owner.get(owner, 0.0)
            self._served_by_owner[owner] = max(served, self._virtual_time)
        heapq.heappush(
            subqueue.heap,
            (task.virtual_deadline_ms, -task.expected_ms, next(self._sequence), task),
        )
        self._count(owner, task, 1)

    def list_subqueues(self):
        """Return lanes with waiting tasks, the least served owner's first."""
        for key in [
            k for k, subqueue in self._lanes_by_key.items() if not subqueue.heap
        ]:
            del self._lanes_by_key[key]
        return sorted(
            self._lanes_by_key.values(),
            key=lambda subqueue: self._served_by_owner[subqueue.owner],
        )

    def peek(self, subqueue):
        """Return a lane's next task that still waits, or ``None``.

        :param subqueue: the :class:`SubQueue`.
        """
        while subqueue.heap:
            task = subqueue.heap[0][3]
            if task.is_waiting:
                return task
            heapq.heappop(subqueue.heap)
        return None

    def drop(self, owner, task):
        """Discount a waiting task that is no longer wanted.

        :param owner: owner of the task's entry.
        :param task: the task; the caller changes its phase.
        """
        self._count(owner, task, -1)

    def pop(self, subqueue, weight):
        """Take a lane's next task, which :meth:`peek` returned.

        :param subqueue: the :class:`SubQueue`.
        :param weight: the owner's weight.
        """
        task = heapq.heappop(subqueue.heap)[3]
        self._count(subqueue.owner, task, -1)
        served = self._served_by_owner[subqueue.owner]
        self._virtual_time = max(self._virtual_time, served)
        cost = max(task.expected_ms, 1.0) / max(weight, 1)
        self._served_by_owner[subqueue.owner] = served + cost
        return task

    def sum_work_ahead_ms(self, virtual_deadline_ms):
        """Return the expected run time of waiting tasks that are more urgent.

        :param virtual_deadline_ms: urgency to compare with.
        """
        return sum(
            work_ms
            for job, work_ms in self._work_by_job.items()
            if job.virtual_deadline_ms <= virtual_deadline_ms
        )

    def _count(self, owner, task, sign):
        self.n_tasks += sign
        self._n_by_owner[owner] = self._n_by_owner.get(owner, 0) + sign
        work_ms = self._work_by_job.get(task.job, 0.0) + sign * task.expected_ms
        if work_ms > ROUNDING_ERROR_MS:
            self._work_by_job[task.job] = work_ms
        else:
            self._work_by_job.pop(task.job, None)
