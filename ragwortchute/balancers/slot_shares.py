"""Default balancer: a free slot within the shares of this host."""

from collections import abc

from ragwortchute import balancers

# Comparing 100 candidates would take longer than the rest of a choice. The best
# of 8 random candidates is among the best tenth with probability 0.57.
SAMPLE_SIZE = 8


@balancers.REGISTRY.register('slot_shares')
class SlotShares(balancers.Balancer):
    """Chooses the target with the lowest utilisation from a random sample.

    The utilisation is the part of this host's share that is in use. Latency is
    not compared: `ServiceSlots` already removes slow targets from the
    candidates, and always choosing the lowest latency would send most calls to
    a target that fails fast.
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
        best_utilisation = 0.0
        for step in range(min(count, SAMPLE_SIZE)):
            candidate = candidates[(start + step) % count]
            share = candidate.share
            in_flight = candidate.in_flight
            if in_flight >= share:
                continue
            utilisation = in_flight / share
            if best is None or utilisation < best_utilisation:
                best, best_utilisation = candidate, utilisation
        return best
