"""Manages the background tasks of a component."""

import asyncio
from collections import abc

from absl import logging


class BackgroundTasks:
    """Runs the loops of a component and cancels its tasks when they end.

    Args:
        component: Name of the component, as prefix of log lines.
    """

    __slots__ = ('_run_task', '_component', '_tasks')

    def __init__(self, component: str) -> None:
        self._component = component
        self._tasks: set[asyncio.Task[object]] = set()
        self._run_task: asyncio.Task[None] | None = None

    def spawn(self, coro: abc.Coroutine[None, None, object]) -> None:
        """Starts a background task; an exception in it is logged."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._log_failure)

    async def run(self, *loops: abc.Coroutine[None, None, None]) -> None:
        """Runs the loops concurrently until `stop` is called."""
        self._run_task = asyncio.current_task()
        try:
            async with asyncio.TaskGroup() as group:
                for loop in loops:
                    group.create_task(loop)
        except asyncio.CancelledError:
            if self._run_task is not None:
                raise
        finally:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def stop(self) -> None:
        """Cancels `run` and waits until it has ended."""
        main, self._run_task = self._run_task, None
        if main is not None:
            main.cancel()
            await asyncio.gather(main, return_exceptions=True)

    def _log_failure(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error(
                '%s: task failed', self._component, exc_info=task.exception()
            )
