"""Baseline balancer: fewest requests of this host in flight."""

from collections import abc

from ragwortchute import balancers


@balancers.REGISTRY.register('least_inflight')
class LeastInflight(balancers.Balancer):
    """Chooses the target with the fewest requests of this host in flight.

    Ties are broken at random.
    """

    def choose(
        self, candidates: abc.Sequence[balancers.Candidate]
    ) -> balancers.Candidate | None:
        """Returns a target with the fewest requests; None without targets."""
        if not candidates:
            return None
        least = min([candidate.in_flight for candidate in candidates])
        ties = [c for c in candidates if c.in_flight == least]
        return ties[int(self.rng.random() * len(ties))]
