"""Baseline balancer: power of two random choices."""

from collections import abc

from ragwortchute import balancers


@balancers.REGISTRY.register('two_choices')
class TwoChoices(balancers.Balancer):
    """Chooses the less loaded of two random targets.

    The load is the number of requests of this host in flight.
    """

    def choose(
        self, candidates: abc.Sequence[balancers.Candidate]
    ) -> balancers.Candidate | None:
        """Returns the less loaded of two targets; None without targets."""
        count = len(candidates)
        if not count:
            return None
        first = int(self.rng.random() * count)
        if count == 1:
            return candidates[first]
        second = int(self.rng.random() * (count - 1))
        second += second >= first
        left, right = candidates[first], candidates[second]
        return left if left.in_flight <= right.in_flight else right
