"""Baseline policy: the target with the fewest requests of this host."""

from collections import abc

from ragwortchute import balancers


@balancers.REGISTRY.register('least_inflight')
class LeastInflight(balancers.Balancer):
    """Chooses the fewest requests in flight; ties are broken at random."""

    def choose(
        self, candidates: abc.Sequence[balancers.Candidate]
    ) -> balancers.Candidate | None:
        """Returns the least loaded target, or None without targets."""
        if not candidates:
            return None
        least = min([candidate.in_flight for candidate in candidates])
        ties = [c for c in candidates if c.in_flight == least]
        return ties[int(self.rng.random() * len(ties))]
