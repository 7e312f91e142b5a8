"""Counters and latency histograms of a host."""

import collections

from ragwortchute import durations

MAX_ROUTES = 1000  # routes with a histogram of their own


class Stats:
    """What a host has done since its start.

    Attributes:
        sends: Requests sent to targets.
        hedges: Second sends while the first one was running.
        repeats: Sends beyond the first one of a request.
        relays: Requests passed on to another region.
        refusals: Final answers that no target made, by reason.
        attempts: Attempts without an answer to pass on, by outcome.
        latency: Durations of answered requests by route.
    """

    __slots__ = (
        'attempts',
        'hedges',
        'latency',
        'refusals',
        'relays',
        'repeats',
        'sends',
    )

    def __init__(self) -> None:
        self.sends = 0
        self.hedges = 0
        self.repeats = 0
        self.relays = 0
        self.refusals: collections.Counter[str] = collections.Counter()
        self.attempts: collections.Counter[str] = collections.Counter()
        self.latency: dict[str, durations.Durations] = {}

    def answered(self, route: str, elapsed_s: float) -> None:
        """Counts an answer of a target."""
        counts = self.latency.get(route)
        if counts is None:
            if len(self.latency) >= MAX_ROUTES:
                self.latency.pop(next(iter(self.latency)))
            counts = self.latency[route] = durations.Durations()
        counts.add(elapsed_s)

    def refused(self, reason: str) -> None:
        """Counts a final answer that no target made."""
        self.refusals[reason] += 1

    def failed_attempt(self, outcome: str) -> None:
        """Counts an attempt that ended without an answer to pass on."""
        self.attempts[outcome] += 1
