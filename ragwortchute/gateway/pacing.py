"""Pace of requests to cold targets.

Load: a target that started or turned cold, while every host would like to use
it. The bound holds over all hosts together, so each host keeps to an even
fraction of it; that needs no message and holds while hosts can't reach each
other.
"""

# Part of the bound that is used. The rest covers hosts that have just started
# and are not known yet, and requests that arrive closer together than sent.
USED_FRACTION = 0.7
# A host that counts itself alone may have heard of nobody yet.
MIN_HOSTS = 4


def interval_s(bound_per_s: float, hosts: int) -> float:
    """Returns the least time between two requests of one host.

    Args:
        bound_per_s: Requests per second that a cold target bears.
        hosts: Hosts that may send to it.
    """
    if bound_per_s <= 0:
        return float('inf')
    return max(MIN_HOSTS, hosts) / (bound_per_s * USED_FRACTION)


class ColdPacer:
    """Spaces the requests of one host to one cold target."""

    __slots__ = ('_next_s',)

    def __init__(self) -> None:
        self._next_s = 0.0

    def may_send(self, now_s: float) -> bool:
        """Tells whether a request may be sent now."""
        return now_s >= self._next_s

    def sent(self, now_s: float, gap_s: float) -> None:
        """Counts a request; the next one may follow after the gap."""
        self._next_s = now_s + gap_s
