"""Baseline policy `random`: a target at random.

The module cannot be called `random`, because the package imports the standard
module of that name.
"""

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
