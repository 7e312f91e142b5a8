"""Baseline balancer `random`: a target at random.

The module is not named `random`, because the package imports the module of that
name from the standard library.
"""

from collections import abc

from ragwortchute import balancers


@balancers.REGISTRY.register('random')
class Random(balancers.Balancer):
    """Chooses a target at random with equal probabilities."""

    def choose(
        self, candidates: abc.Sequence[balancers.Candidate]
    ) -> balancers.Candidate | None:
        """Returns a random target; None without targets."""
        if not candidates:
            return None
        return candidates[int(self.rng.random() * len(candidates))]
