"""Clocks, injected into every component that needs the time."""

import abc
import asyncio
import heapq
import itertools
import time


class Clock(abc.ABC):
    """Interface of a clock; all values are in seconds."""

    __slots__ = ()

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns seconds that never decrease and include suspended time."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns seconds since the Unix epoch; may jump either way."""

    @abc.abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Waits for the given seconds."""


class SystemClock(Clock):
    """The system clock.

    CLOCK_BOOTTIME, unlike CLOCK_MONOTONIC, advances while the system is
    suspended, so a lease expires on time during a suspension.
    """

    __slots__ = ()

    def monotonic(self) -> float:
        """Returns seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Suspends the current task on the event loop."""
        await asyncio.sleep(delay_s)


class ManualClock(Clock):
    """A clock that advances only when a test says so."""

    __slots__ = ('_now_s', '_sequence', '_sleepers', 'wall_offset_s')

    def __init__(self, now_s: float = 1000.0) -> None:
        self._now_s = now_s
        self._sequence = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self.wall_offset_s = 1_700_000_000.0

    def monotonic(self) -> float:
        """Returns the time set by the test."""
        return self._now_s

    def wall(self) -> float:
        """Returns the time set by the test plus `wall_offset_s`."""
        return self._now_s + self.wall_offset_s

    async def sleep(self, delay_s: float) -> None:
        """Waits until a test has advanced the clock by the delay."""
        fut = asyncio.get_running_loop().create_future()
        item = (self._now_s + max(0.0, delay_s), next(self._sequence), fut)
        heapq.heappush(self._sleepers, item)
        await fut

    async def advance(self, delay_s: float) -> None:
        """Advances the time and wakes due tasks in order of their due time.

        Args:
            delay_s: Seconds to advance.
        """
        end_s = self._now_s + delay_s
        await run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= end_s:
            due_s, _, fut = heapq.heappop(self._sleepers)
            self._now_s = max(self._now_s, due_s)
            if not fut.done():
                fut.set_result(None)
            await run_ready_tasks()
        self._now_s = end_s
        await run_ready_tasks()


async def run_ready_tasks(rounds: int = 20) -> None:
    """Yields to the event loop so that ready tasks run until they wait.

    Args:
        rounds: Number of iterations of the event loop.
    """
    for _ in range(rounds):
        await asyncio.sleep(0)
