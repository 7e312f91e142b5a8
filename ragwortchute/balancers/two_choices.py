"""Baseline policy: the less loaded of two targets drawn at random."""

from collections import abc

from ragwortchute import balancers


@balancers.REGISTRY.register('two_choices')
class TwoChoices(balancers.Balancer):
    """Draws two targets and takes the one with fewer requests in flight."""

    def choose(
        self, candidates: abc.Sequence[balancers.Candidate]
    ) -> balancers.Candidate | None:
        """Returns the better of two targets, or None without targets."""
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
