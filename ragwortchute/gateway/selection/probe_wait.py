"""Wait for the answers to the probes of a round.

Time in which the process was held up does not count: targets may have answered
in it, or been probed late.
"""

import asyncio
from collections import abc

# The wait is divided into timers of this length, which are late by the time in
# which the process was held up.
CHECK_INTERVAL_S = 0.005
# Timers are late by less without a delay of the process.
MIN_DELAY_S = 0.001
# Number of delays that extend a wait, at most.
MAX_DELAYS = 8


class ProbeWait:
    """Wait for probes that is extended by delays of the process.

    Args:
        timeout_s: Longest wait without delays, in seconds.
        remaining_s: Longest wait in any case, in seconds.
    """

    __slots__ = ('_delays', '_end_s', '_latest_s', '_loop', '_now_s')

    def __init__(self, timeout_s: float, remaining_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._now_s = self._loop.time()
        self._end_s = self._now_s + timeout_s
        self._latest_s = self._now_s + remaining_s
        self._delays = 0

    @property
    def ended(self) -> bool:
        """Whether the probes have had their time."""
        return self._now_s >= self._end_s

    async def wait(
        self, tasks: abc.Collection[asyncio.Task], *, may_extend: bool
    ) -> tuple[set[asyncio.Task], set[asyncio.Task]]:
        """Waits for the first task, or until the next check.

        Args:
            tasks: Probes that have not ended.
            may_extend: Whether a delay extends the wait.

        Returns:
            The tasks that have ended, and the others.
        """
        wait_s = min(self._end_s - self._now_s, CHECK_INTERVAL_S)
        done, pending = await asyncio.wait(
            tasks, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        late_s = self._loop.time() - self._now_s - wait_s
        self._now_s += wait_s + late_s
        if may_extend and late_s > MIN_DELAY_S and self._delays < MAX_DELAYS:
            self._delays += 1
            self._end_s = min(self._end_s + late_s, self._latest_s)
        return done, pending
