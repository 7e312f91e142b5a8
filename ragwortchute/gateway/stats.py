"""Counters and latency histograms of a host."""

import bisect
import collections

# Upper bounds of the latency histogram in seconds.
BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0)


class Stats:
    """What a host has done since its start."""

    __slots__ = (
        'attempts',
        'hedges',
        'latency',
        'latency_sum_s',
        'refusals',
        'repeats',
        'sends',
    )

    def __init__(self) -> None:
        self.sends = 0
        self.hedges = 0
        self.repeats = 0
        self.refusals: collections.Counter[str] = collections.Counter()
        self.attempts: collections.Counter[str] = collections.Counter()
        self.latency: dict[str, list[int]] = {}
        self.latency_sum_s: collections.Counter[str] = collections.Counter()

    def answered(self, route: str, elapsed_s: float) -> None:
        """Counts an answer of a target."""
        counts = self.latency.get(route)
        if counts is None:
            counts = self.latency[route] = [0] * (len(BOUNDS_S) + 1)
        counts[bisect.bisect_left(BOUNDS_S, elapsed_s)] += 1
        self.latency_sum_s[route] += elapsed_s

    def refused(self, reason: str) -> None:
        """Counts a final answer that no target made."""
        self.refusals[reason] += 1

    def failed_attempt(self, outcome: str) -> None:
        """Counts an attempt that ended without an answer to pass on."""
        self.attempts[outcome] += 1
