"""Asyncio tasks that are cancelled together with the object that started them."""

import asyncio


class BackgroundTasks:
    """Mixin that tracks the asyncio tasks of an object, so that it can cancel them."""

    def __init__(self):
        self._tasks = set()

    def spawn(self, coroutine):
        """Run a coroutine in a new asyncio task and keep a reference to it.

        :param coroutine: the coroutine to run.
        """
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_tasks(self):
        """Cancel every task that is still running."""
        for task in self._tasks:
            task.cancel()
