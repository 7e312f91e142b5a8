"""Limit on the number of health requests to targets.

Load: in a burst, most targets that are probed turn out to be busy, so that each
request would be followed by more probes, and these would burden the targets
most when they have the least to spare. The platform limits the health requests
to a target by all hosts together; each host takes an equal share.
"""

# Share of the limit that is used. The rest covers hosts that have just died
# and are still counted elsewhere.
USABLE_FRACTION = 0.9
# A host may save up its share for this long.
SAVINGS_S = 10.0
INITIAL_SAVINGS_S = 1.0
# With a smaller share saved, a host probes no second time for a request.
LATER_ROUNDS_S = 0.5
# With less than this, it probes fewer targets at a time.
FEWER_TARGETS_S = 0.2
FEWER_TARGETS = 2
# Less urgent requests leave this much saved to more urgent ones: they probe one
# target with less, and do not probe again while they wait.
KEPT_FOR_URGENT_S = 1.0


class ProbeBudget:
    """Probes of one host.

    Args:
        limit_per_s: Probes per target and second allowed from all hosts.
        now_s: Loop time in seconds.
    """

    __slots__ = ('_limit_per_s', '_rate_per_s', '_saved', '_updated_s')

    def __init__(self, limit_per_s: float, now_s: float) -> None:
        self._limit_per_s = limit_per_s
        self._saved = 0.0
        self._rate_per_s = 0.0
        self._updated_s = now_s - INITIAL_SAVINGS_S

    def update(self, now_s: float, targets: int, hosts: int) -> None:
        """Adds the share of the time that has passed.

        Args:
            now_s: Loop time in seconds.
            targets: Number of targets.
            hosts: Number of hosts that may probe them.
        """
        self._rate_per_s = (
            self._limit_per_s * USABLE_FRACTION * targets / max(1, hosts)
        )
        added = (now_s - self._updated_s) * self._rate_per_s
        self._saved = min(self._rate_per_s * SAVINGS_S, self._saved + added)
        self._updated_s = now_s

    def has_spare(self) -> bool:
        """Returns whether more is saved than is kept for urgent requests."""
        return self._saved >= self._rate_per_s * KEPT_FOR_URGENT_S

    def has_one(self) -> bool:
        """Returns whether a probe is left."""
        return self._saved >= 1

    def targets_to_probe(
        self, wanted: int, *, first_round: bool, urgent: bool = True
    ) -> int:
        """Returns how many targets a request may probe now.

        Each request may probe at least one, since its target must be known to
        be reachable.

        Args:
            wanted: Number of targets that would be probed without a limit.
            first_round: Whether the request has not probed any target yet.
            urgent: Whether no request is more urgent.
        """
        if not urgent and not self.has_spare():
            return min(wanted, int(first_round))
        if not first_round:
            enough = self._saved >= self._rate_per_s * LATER_ROUNDS_S
            return wanted if enough else 0
        if self._saved < 1:
            return min(wanted, 1)
        if self._saved < self._rate_per_s * FEWER_TARGETS_S:
            return min(wanted, FEWER_TARGETS)
        return wanted

    def spend(self, probes: int) -> None:
        """Counts probes that are sent."""
        self._saved -= probes
