"""Tasks that a part owns: its loops and what they start."""

import asyncio
from collections import abc

from absl import logging


class TaskOwner:
    """Runs the loops of a part and ends all of its tasks with them.

    Args:
        part: Prefix of log lines.
    """

    __slots__ = ('_main', '_part', '_tasks')

    def __init__(self, part: str) -> None:
        self._part = part
        self._tasks: set[asyncio.Task[object]] = set()
        self._main: asyncio.Task[None] | None = None

    def spawn(self, coro: abc.Coroutine[None, None, object]) -> None:
        """Starts a task; its failure is logged."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    async def run(self, *loops: abc.Coroutine[None, None, None]) -> None:
        """Runs loops until `stop` is called."""
        self._main = asyncio.current_task()
        try:
            async with asyncio.TaskGroup() as group:
                for loop in loops:
                    group.create_task(loop)
        except asyncio.CancelledError:
            if self._main is not None:
                raise
        finally:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def stop(self) -> None:
        """Ends `run`."""
        main, self._main = self._main, None
        if main is not None:
            main.cancel()
            await asyncio.gather(main, return_exceptions=True)

    def _ended(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error(
                '%s: task failed', self._part, exc_info=task.exception()
            )
