"""Histogram of call durations."""

import bisect

BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class Durations:
    """Histogram with the fixed bucket bounds `BOUNDS_MS`.

    Attributes:
        counts: Count of each bucket; the last bucket has no upper bound.
        total_s: Sum of all durations, in seconds.
    """

    __slots__ = ('counts', 'total_s')

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.total_s = 0.0

    def add(self, duration_s: float) -> None:
        """Adds one duration in seconds."""
        self.counts[bisect.bisect_left(BOUNDS_MS, duration_s * 1000)] += 1
        self.total_s += duration_s

    def by_bound(self) -> dict[str, float]:
        """Returns cumulative counts by upper bound in milliseconds."""
        cumulative = 0
        values: dict[str, float] = {}
        for bound, count in zip((*BOUNDS_MS, 'inf'), self.counts, strict=True):
            cumulative += count
            values[str(bound)] = cumulative
        return values
