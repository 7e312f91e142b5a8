"""Times in which a part of the run was disturbed."""

import asyncio
from collections import abc
import contextlib

import msgspec


class _Interval(msgspec.Struct):
    """A disruption that lasts until infinity while it is not over."""

    start_s: float
    end_s: float = float('inf')


class Disruptions:
    """Disruptions of one part, in loop time."""

    def __init__(self) -> None:
        self._intervals: list[_Interval] = []

    @contextlib.contextmanager
    def during(self) -> abc.Iterator[None]:
        """Records a disruption that lasts as long as the context."""
        loop = asyncio.get_running_loop()
        interval = _Interval(loop.time())
        self._intervals.append(interval)
        try:
            yield
        finally:
            interval.end_s = loop.time()

    def note(self, start_s: float, end_s: float) -> None:
        """Records a disruption that is over."""
        self._intervals.append(_Interval(start_s, end_s))

    def overlap(self, since_s: float, until_s: float) -> bool:
        """Returns whether there was a disruption in an interval.

        Args:
            since_s: Loop time of its start in seconds.
            until_s: Loop time of its end in seconds.
        """
        return any(
            interval.start_s <= until_s and interval.end_s >= since_s
            for interval in self._intervals
        )
