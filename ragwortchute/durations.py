"""Counts of calls by duration."""

import bisect

BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class Durations:
    """Counts durations in fixed classes.

    Attributes:
        counts: Counts by class; the last has no upper bound.
        total_s: Sum of all durations, in seconds.
    """

    __slots__ = ('counts', 'total_s')

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.total_s = 0.0

    def add(self, duration_s: float) -> None:
        """Counts one duration, in seconds."""
        self.counts[bisect.bisect_left(BOUNDS_MS, duration_s * 1000)] += 1
        self.total_s += duration_s

    def by_bound(self) -> dict[str, float]:
        """Returns cumulated counts by upper bound in milliseconds."""
        total = 0
        values: dict[str, float] = {}
        for bound, count in zip((*BOUNDS_MS, 'inf'), self.counts, strict=True):
            total += count
            values[str(bound)] = total
        return values
