"""Finds out whether a target crashed when a connection to it broke.

A single connection breaks for many reasons. A target that crashed has lost all
its connections and takes no new one for some time.
"""

import asyncio

from ragwortchute import errors
from ragwortchute.gateway import attempts
from ragwortchute.gateway import crash_guard
from ragwortchute.gateway import targets as targets_

# Time for the end of the other connections to arrive.
SETTLE_S = 0.02


class CrashChecks:
    """Checks targets, each one once at a time.

    Args:
        guard: Takes the crashes.
    """

    __slots__ = ('_guard', '_loop', '_running', '_tasks')

    def __init__(self, guard: crash_guard.CrashGuard) -> None:
        self._guard = guard
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._running: dict[str, list[_Broken]] = {}

    def broke(self, call: attempts.Call, attempt: attempts.Attempt) -> None:
        """Checks the target of an attempt whose connection broke."""
        name = attempt.target.entry.name
        one = _Broken(call, attempt.sent_s, self._loop.time())
        broken = self._running.get(name)
        if broken is not None:
            broken.append(one)
            return
        self._running[name] = [one]
        task = self._loop.create_task(self._check(attempt.target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Ends all checks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _check(self, target: targets_.Target) -> None:
        name = target.entry.name
        try:
            await asyncio.sleep(SETTLE_S)
            target.pool.release(await target.pool.take())
        except errors.ConnectFailed:
            now_s = self._loop.time()
            for one in self._running[name]:
                self._guard.crashed(
                    one.call.req, name, one.sent_s, one.lost_s, now_s
                )
        finally:
            del self._running[name]


class _Broken:
    """An attempt whose connection broke.

    Attributes:
        call: The request.
        sent_s: Loop time at which it was sent.
        lost_s: Loop time at which the connection broke.
    """

    __slots__ = ('call', 'lost_s', 'sent_s')

    def __init__(
        self, call: attempts.Call, sent_s: float, lost_s: float
    ) -> None:
        self.call = call
        self.sent_s = sent_s
        self.lost_s = lost_s
