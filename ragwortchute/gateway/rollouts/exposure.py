"""Limits the requests that a host sends to a version under observation."""

import math
import random

# Shares of `expose_share` that are used. The rest covers requests that two
# hosts count, such as one whose relay failed after it was sent.
OBSERVE_FRACTION = 0.85
WIDEN_FRACTION = 0.95
# Sends of all hosts beyond that in the phase WIDEN, so that enough responses of
# the second half of the time arrive soon. The sum over 784 hosts has a standard
# deviation of 13, so that `expose_slack` leaves room for no more.
WIDEN_SENDS = 15.0


class Exposure:
    """Sends to the canary version that are allowed to this host.

    Each host may send `floor(u + share * requests)` of its requests to the
    canary version, with `u` uniform in [0, 1). The expectation over all hosts
    is exact without a message, even if a host sees less than a request per
    second. A restarted host draws `u` anew and counts from 0, which does not
    change the expectation.

    Args:
        rng: Source of randomness.

    Attributes:
        requests: Requests of the service that this host has sent to targets
            since it first handled the order; retries and hedges not counted.
        canary_sends: Sends to the canary version, retries and hedges included.
    """

    __slots__ = ('_offset', 'canary_sends', 'requests')

    def __init__(self, rng: random.Random) -> None:
        self._offset = rng.random()
        self.requests = 0
        self.canary_sends = 0

    def allows(
        self, share: float, sends: float = 0.0, *, counts_next: bool = True
    ) -> bool:
        """Returns whether the next request may go to the canary version.

        Args:
            share: Share of the requests that may.
            sends: Expected number of sends beyond that.
            counts_next: Whether the next request is sent in any case. If it is
                refused otherwise, counting it would allow each host one send
                too many on average, which is too much with many hosts.
        """
        requests = self.requests + counts_next
        allowed = math.floor(self._offset + share * requests + sends)
        return self.canary_sends < allowed

    def note_send(self, *, first: bool, canary: bool) -> None:
        """Counts a send.

        Args:
            first: Whether it is the first send of its request.
            canary: Whether the target runs the canary version.
        """
        self.requests += first
        self.canary_sends += canary
