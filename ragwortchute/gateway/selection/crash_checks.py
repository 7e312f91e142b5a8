"""Checks whether a target crashed after a connection to it broke.

A single connection can break for many reasons. A target that crashed has lost
all its connections and accepts no new one for some time.
"""

import asyncio

from ragwortchute import errors
from ragwortchute.gateway import attempts
from ragwortchute.gateway.selection import crash_guard
from ragwortchute.gateway.selection import targets as targets_

# Delay of a check, so that the end of the other connections arrives before it.
CHECK_DELAY_S = 0.02


class CrashChecks:
    """Runs checks of targets, at most one at a time for each target.

    Args:
        guard: Receives reports of the crashes that are found.
    """

    __slots__ = ('_guard', '_loop', '_pending', '_tasks')

    def __init__(self, guard: crash_guard.CrashGuard) -> None:
        self._guard = guard
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending: dict[str, list[_LostAttempt]] = {}

    def check(self, call: attempts.Call, attempt: attempts.Attempt) -> None:
        """Starts a check of the target unless one is running.

        Args:
            call: The request.
            attempt: Its attempt whose connection broke.
        """
        name = attempt.target.entry.name
        lost = _LostAttempt(call, attempt.sent_s, self._loop.time())
        pending = self._pending.get(name)
        if pending is not None:
            pending.append(lost)
            return
        self._pending[name] = [lost]
        task = self._loop.create_task(self._run_check(attempt.target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancels all checks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_check(self, target: targets_.Target) -> None:
        """Reports a crash for each lost attempt if the target is down."""
        name = target.entry.name
        try:
            await asyncio.sleep(CHECK_DELAY_S)
            # Without a descriptor, this host would take it for crashed.
            target.pool.release(await target.pool.acquire(essential=True))
        except errors.ConnectFailed:
            now_s = self._loop.time()
            for lost in self._pending[name]:
                self._guard.report_crash(
                    lost.call.req, name, lost.sent_s, lost.lost_s, now_s
                )
        finally:
            del self._pending[name]


class _LostAttempt:
    """An attempt whose connection broke.

    Attributes:
        call: The request.
        sent_s: Loop time at which it was sent, in seconds.
        lost_s: Loop time at which the connection broke, in seconds.
    """

    __slots__ = ('call', 'lost_s', 'sent_s')

    def __init__(
        self, call: attempts.Call, sent_s: float, lost_s: float
    ) -> None:
        self.call = call
        self.sent_s = sent_s
        self.lost_s = lost_s
