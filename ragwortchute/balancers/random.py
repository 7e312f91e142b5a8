"""Baseline policy: a target at random."""

from collections import abc

from ragwortchute import balancers


@balancers.REGISTRY.register('random')
class Random(balancers.Balancer):
    """Chooses uniformly among the targets."""

    def choose(
        self, candidates: abc.Sequence[balancers.Candidate]
    ) -> balancers.Candidate | None:
        """Returns any target, or None without targets."""
        if not candidates:
            return None
        return candidates[int(self.rng.random() * len(candidates))]
