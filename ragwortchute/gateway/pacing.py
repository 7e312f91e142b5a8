"""Pace of requests to cold targets.

Load: a target that started or turned cold, while every host would like to use
it. The bound holds over all hosts together. A fixed number of hosts owns each
target, and each owner sends a fixed number of requests in any second; that
needs no message and holds while hosts can't reach each other.
"""

import collections
from collections import abc
import functools

import msgspec
import xxhash

# Part of the bound that is used. The rest covers hosts that do not agree on
# the owners, and requests that arrive closer together than they were sent.
USED_FRACTION = 0.75
# Sends count for this long, a little longer than the second of the bound.
WINDOW_S = 1.05
# A host that counts itself alone may have heard of nobody yet.
MIN_HOSTS = 4


class Quota(msgspec.Struct, frozen=True):
    """How the bound of a cold target is divided.

    Attributes:
        owners: Number of hosts that may send to it.
        per_window: Requests that each of them may send in a window.
    """

    owners: int
    per_window: int


def quota(bound_per_s: float, hosts: int) -> Quota:
    """Divides a bound over the hosts.

    Args:
        bound_per_s: Requests per second that a cold target bears.
        hosts: Hosts that may be alive.
    """
    usable = int(bound_per_s * USED_FRACTION)
    if usable < 1:
        return Quota(0, 0)
    owners = min(max(MIN_HOSTS, hosts), usable)
    return Quota(owners, usable // owners)


@functools.lru_cache(maxsize=4096)
def owners(target: str, hosts: frozenset[str], count: int) -> frozenset[str]:
    """Returns the hosts that own a target; all hosts find the same ones.

    Args:
        target: Name of the target.
        hosts: Names of the hosts that may be alive.
        count: Number of owners.
    """
    ranked = sorted(
        hosts,
        key=lambda host: xxhash.xxh64_intdigest(f'{target}/{host}'.encode()),
    )
    return frozenset(ranked[:count])


class ColdPacer:
    """Counts the requests of one host to one cold target."""

    __slots__ = ('_sent',)

    def __init__(self) -> None:
        self._sent: collections.deque[float] = collections.deque()

    def may_send(self, now_s: float, per_window: int) -> bool:
        """Tells whether another request may be sent now."""
        while self._sent and self._sent[0] <= now_s - WINDOW_S:
            self._sent.popleft()
        return len(self._sent) < per_window

    def sent(self, now_s: float) -> None:
        """Counts a request."""
        self._sent.append(now_s)


class Fleet(msgspec.Struct, frozen=True):
    """The hosts among which bounds are divided.

    Attributes:
        me: Name of this host.
        names: Names of the hosts that may be alive, this one included.
        settled: Whether this host has had time to hear of the others.
    """

    me: str = ''
    names: frozenset[str] = frozenset()
    settled: bool = False

    def per_window(self, target: str, bound_per_s: float) -> int:
        """Returns how many requests this host may send to a cold target.

        Args:
            target: Name of the target.
            bound_per_s: Requests per second that it bears from all hosts.
        """
        if not self.settled:
            return 0
        share = quota(bound_per_s, len(self.names))
        mine = owners(target, self.names, share.owners)
        return share.per_window if self.me in mine else 0


def fleet(me: str, names: abc.Iterable[str], settled: bool) -> Fleet:
    """Returns the hosts among which bounds are divided."""
    return Fleet(me, frozenset(names) | {me}, settled)
