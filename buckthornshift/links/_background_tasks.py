"""Tasks that belong to one object and end with it."""

import asyncio


class BackgroundTasks:
    """Mixin: keep the tasks that an object starts, so that it can end them."""

    def __init__(self):
        self._tasks = set()

    def spawn(self, coroutine):
        """Run a coroutine in a task that ends with its owner.

        :param coroutine: the coroutine.
        """
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_tasks(self):
        """End every task that still runs."""
        for task in self._tasks:
            task.cancel()
