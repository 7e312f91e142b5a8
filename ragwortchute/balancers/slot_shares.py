"""Default policy: a free slot within the shares of this host."""

from collections import abc

from ragwortchute import balancers

# Scanning 100 candidates takes longer than the whole rest of a choice; the
# best of 8 drawn at random is in the best tenth with probability 0.57.
SAMPLE_SIZE = 8


@balancers.REGISTRY.register('slot_shares')
class SlotShares(balancers.Balancer):
    """Chooses among free slots of a random sample of targets.

    A target with the smaller part of its share in use comes first. Latency
    decides only between equals: the service takes slow targets out of the
    candidates beforehand, and always choosing the lowest latency would send
    most work to a target that fails fast.
    """

    bounded = True

    def choose(
        self, candidates: abc.Sequence[balancers.Candidate]
    ) -> balancers.Candidate | None:
        """Returns a target with a free slot, or None if there is none."""
        count = len(candidates)
        if not count:
            return None
        start = int(self.rng.random() * count)
        best = None
        best_use = 0.0
        for step in range(min(count, SAMPLE_SIZE)):
            candidate = candidates[(start + step) % count]
            share = candidate.share
            in_flight = candidate.in_flight
            if in_flight >= share:
                continue
            use = in_flight / share
            if best is None or use < best_use:
                best, best_use = candidate, use
        return best
