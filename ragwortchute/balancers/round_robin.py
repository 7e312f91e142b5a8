"""Baseline balancer: round robin."""

from collections import abc
import random

from ragwortchute import balancers


@balancers.REGISTRY.register('round_robin')
class RoundRobin(balancers.Balancer):
    """Chooses the targets in turn, in order of their names."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._last_name = ''

    def choose(
        self, candidates: abc.Sequence[balancers.Candidate]
    ) -> balancers.Candidate | None:
        """Returns the target after the last one; None without targets."""
        if not candidates:
            return None
        first = following = None
        for candidate in candidates:
            name = candidate.name
            if first is None or name < first.name:
                first = candidate
            if name > self._last_name and (
                following is None or name < following.name
            ):
                following = candidate
        chosen = following or first
        self._last_name = chosen.name
        return chosen
