"""Bounded queue of tasks that wait for a slot, fair between owners."""

import heapq
import itertools

import attrs


@attrs.define(kw_only=True)
class _EntryQueue:
    owner: str = ""
    heap: list = attrs.field(factory=list)


class FairQueue:
    """Serve owners in proportion to their weights, each by earliest deadline.

    Tasks wait by catalogue entry, so that a limit on one entry holds up no other.
    The owner with the least weighted service so far is served next; an owner that
    was idle starts level with the others, so that it can't save up service.
    """

    def __init__(self):
        self.n_tasks = 0
        self.work_ms = 0.0
        self._queues_by_entry = {}
        self._served_by_owner = {}
        self._n_by_owner = {}
        self._sequence = itertools.count()
        self._virtual_time = 0.0

    def push(self, owner, entry_name, task):
        """Add a task.

        :param owner: owner of the task's entry.
        :param entry_name: name of the entry.
        :param task: the task, with ``deadline_ms`` and ``expected_ms``.
        """
        queue = self._queues_by_entry.get(entry_name)
        if queue is None or queue.owner != owner:
            queue = _EntryQueue(owner=owner)
            self._queues_by_entry[entry_name] = queue
        if not self._n_by_owner.get(owner):
            served = self._served_by_owner.get(owner, 0.0)
            self._served_by_owner[owner] = max(served, self._virtual_time)
        heapq.heappush(queue.heap, (task.deadline_ms, next(self._sequence), task))
        self._count(owner, task, 1)

    def list_entries(self):
        """Return entries with waiting tasks, the least served owner's first."""
        for name in [n for n, q in self._queues_by_entry.items() if not q.heap]:
            del self._queues_by_entry[name]
        return sorted(
            self._queues_by_entry,
            key=lambda name: self._served_by_owner[self._queues_by_entry[name].owner],
        )

    def peek(self, entry_name):
        """Return an entry's next task that still waits, or ``None``.

        :param entry_name: name of the entry.
        """
        queue = self._queues_by_entry.get(entry_name)
        while queue and queue.heap:
            task = queue.heap[0][2]
            if task.is_waiting:
                return task
            heapq.heappop(queue.heap)
        return None

    def drop(self, owner, task):
        """Discount a waiting task that is no longer wanted.

        :param owner: owner of the task's entry.
        :param task: the task; the caller changes its phase.
        """
        self._count(owner, task, -1)

    def pop(self, entry_name, weight):
        """Take an entry's next task, which :meth:`peek` returned.

        :param entry_name: name of the entry.
        :param weight: the owner's weight.
        """
        queue = self._queues_by_entry[entry_name]
        task = heapq.heappop(queue.heap)[2]
        self._count(queue.owner, task, -1)
        served = self._served_by_owner[queue.owner]
        self._virtual_time = max(self._virtual_time, served)
        cost = max(task.expected_ms, 1.0) / max(weight, 1)
        self._served_by_owner[queue.owner] = served + cost
        return task

    def _count(self, owner, task, sign):
        self.n_tasks += sign
        self._n_by_owner[owner] = self._n_by_owner.get(owner, 0) + sign
        self.work_ms = max(0.0, self.work_ms + sign * task.expected_ms)
