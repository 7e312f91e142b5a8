"""Whether the requests of a service would end beyond their objectives.

Load: targets that are busy, but answer in time. A service whose targets have
few free slots still serves all kinds within their objectives, and holding
requests back there costs the less urgent kinds more than the others gain.
Scarcity is therefore measured by expected latency and not by occupied slots.
"""

import math

# Requests that the share of late ones is averaged over, and the time constant
# at which older ones lose weight at a host that gets few.
MEMORY_REQUESTS = 40
MEMORY_S = 6.0
# Lower bound on the number of requests that the share is taken of. One late
# request among fewer reaches `BEGINS_AT`: in large deployments, the queues of
# all targets are full before a host has many requests to judge by.
MIN_REQUESTS = 5.0
# Share of late requests from which a service is scarce: above the share that is
# late by chance while targets have capacity to spare.
BEGINS_AT = 0.2
# Share below which it no longer is. It is lower because fewer requests are late
# at the same load once admission acts; otherwise it would begin and end again.
ENDS_AT = 0.06


class Scarcity:
    """Share of the requests of a service that would end late.

    Attributes:
        present: Whether requests compete for the time of targets.
    """

    __slots__ = ('_late', '_updated_s', '_weight', 'present')

    def __init__(self) -> None:
        self._late = 0.0
        self._weight = 0.0
        self._updated_s = 0.0
        self.present = False

    def note(self, *, late: bool, now_s: float) -> None:
        """Adds a request that asks for a target.

        Args:
            late: Whether it is expected to end after its objective, or is held
                back. What a request that is held back would have taken is not
                known.
            now_s: Loop time in seconds.
        """
        decay = math.exp(-(now_s - self._updated_s) / MEMORY_S)
        decay = min(1 - 1 / MEMORY_REQUESTS, decay)
        self._updated_s = now_s
        self._late = self._late * decay + late
        self._weight = self._weight * decay + 1
        threshold = ENDS_AT if self.present else BEGINS_AT
        self.present = self.share() >= threshold

    def share(self) -> float:
        """Returns the share of late requests, 0 before the first one."""
        return self._late / max(MIN_REQUESTS, self._weight)
