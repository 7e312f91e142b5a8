"""Supervision of the tasks that a host runs until it is closed."""

import asyncio
from collections import abc
import random

from ragwortchute.gateway import eventlog
from ragwortchute.gateway import stats as stats_

# A part that has failed is started again after a delay that doubles with each
# failure, up to the second of these times. It is the first one again for a
# part that has run for longer than that.
FIRST_RESTART_DELAY_S = 0.2
MAX_RESTART_DELAY_S = 3.0


class Supervisor:
    """Runs the parts of a host and starts those again that fail.

    A part that ended would leave the host serving with state that is no longer
    updated.

    Args:
        log: Event log.
        stats: Counts the failures.
        rng: Source of randomness.
    """

    __slots__ = ('_log', '_loop', '_rng', '_stats', '_tasks')

    def __init__(
        self, log: eventlog.EventLog, stats: stats_.Stats, rng: random.Random
    ) -> None:
        self._log = log
        self._stats = stats
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(
        self, name: str, run: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        """Runs a part until it returns or all parts are closed.

        Args:
            name: Name of the part in the log.
            run: Runs the part. It is called again after a failure, and must
                then bring the state of the part up to date.
        """
        self._tasks.append(self._loop.create_task(self._run(name, run)))

    async def close(self) -> None:
        """Cancels all parts and waits for their ends."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(
        self, name: str, run: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        delay_s = FIRST_RESTART_DELAY_S
        while True:
            started_s = self._loop.time()
            try:
                await run()
                return
            except Exception:
                self._log.failure('part', name)
                self._stats.count_part_failure(name)
            if self._loop.time() - started_s > MAX_RESTART_DELAY_S:
                delay_s = FIRST_RESTART_DELAY_S
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
            delay_s = min(MAX_RESTART_DELAY_S, delay_s * 2)
