"""Rate limit for requests to cold targets.

When a target starts or turns cold, every host may want to use it, and the rate
limit holds for all hosts together. Each target is therefore assigned to a
fixed number of owner hosts, each of which may send a fixed number of requests
per window. This takes no messages and also holds while hosts can't reach each
other.
"""

import collections
from collections import abc
import functools

import msgspec

from ragwortchute.gateway.peers import limit_shares
from ragwortchute.gateway.peers import shares

# Share of the limit that is used. The rest covers hosts that disagree on the
# owners, and requests that arrive closer together than they were sent.
USABLE_FRACTION = 0.75
# Window in which sends are counted; a little longer than the second that the
# limit refers to.
WINDOW_S = 1.05


class ColdShare(msgspec.Struct, frozen=True):
    """How the rate limit of a cold target is divided.

    Attributes:
        owners: Number of hosts that may send to the target.
        sends_per_window: Requests that each owner may send in a window.
    """

    owners: int
    sends_per_window: int


def cold_share(limit_per_s: float, hosts: int) -> ColdShare:
    """Divides a rate limit among the hosts.

    Args:
        limit_per_s: Requests per second allowed from all hosts.
        hosts: Number of hosts that may be alive.
    """
    usable = int(limit_per_s * USABLE_FRACTION)
    if usable < 1:
        return ColdShare(0, 0)
    owners = shares.owner_count(usable, hosts)
    return ColdShare(owners, usable // owners)


class ColdPacer:
    """Sliding-window counter of one host's requests to a cold target."""

    __slots__ = ('_sent_s',)

    def __init__(self) -> None:
        self._sent_s: collections.deque[float] = collections.deque()

    def may_send(self, now_s: float, sends_per_window: int) -> bool:
        """Tells whether another request may be sent now.

        Args:
            now_s: Loop time in seconds.
            sends_per_window: Requests allowed in a window of `WINDOW_S`.
        """
        while self._sent_s and self._sent_s[0] <= now_s - WINDOW_S:
            self._sent_s.popleft()
        return len(self._sent_s) < sends_per_window

    def record_send(self, now_s: float) -> None:
        """Counts a request that is sent at the given loop time."""
        self._sent_s.append(now_s)


class Fleet(msgspec.Struct, frozen=True):
    """The hosts among which rate limits are divided.

    Attributes:
        own_name: Name of this host.
        names: Names of the hosts that were heard of a short time ago, this one
            included.
        discovered: Whether this host has had time to learn of the others.
        members: Names of the hosts that are not known to be gone: also those
            that have been silent for longer, as they may be behind a partition.
        members_by_region: The same by region.
        live: Names of the hosts that are heard, this one included.
    """

    own_name: str = ''
    names: frozenset[str] = frozenset()
    discovered: bool = False
    members: frozenset[str] = frozenset()
    members_by_region: dict[str, frozenset[str]] = {}
    live: frozenset[str] = frozenset()

    def sends_per_window(self, target: str, limit_per_s: float) -> int:
        """Returns how many requests this host may send to a cold target.

        Args:
            target: Name of the target.
            limit_per_s: Requests per second allowed from all hosts.

        Returns:
            The number of requests allowed in a window of `WINDOW_S`.
        """
        if not self.discovered:
            return 0
        share = cold_share(limit_per_s, len(self.members))
        owner_names = shares.owners(target, self.members, share.owners)
        return share.sends_per_window if self.own_name in owner_names else 0

    def share_of_limit(
        self, target: str, region: str, limit_per_s: float
    ) -> limit_shares.Share | None:
        """Returns the share of the limit of a target that this host has.

        The limit is divided among the hosts of the region of the target, which
        get most requests that it can serve.

        Args:
            target: Name of the target.
            region: Region of the target.
            limit_per_s: Requests per second that it takes from all hosts.

        Returns:
            The share, None if this host may not send to the target.
        """
        if not self.discovered:
            return None
        names = self.members_by_region.get(region) or self.members
        share = limit_shares.divide(limit_per_s, len(names))
        owners = shares.owners(target, names, share.owners)
        if self.own_name in owners:
            return share
        if owners.isdisjoint(self.live) and self._inquires(target, names):
            return limit_shares.INQUIRY
        return None

    def _inquires(self, target: str, names: frozenset[str]) -> bool:
        """Returns whether this host sends to learn a limit with silent owners.

        Args:
            target: Name of the target.
            names: Names of the hosts that share its limit.
        """
        live = _common(names, self.live)
        if not live:
            names, live = self.members, self.live
        if len(live) <= len(names) * limit_shares.INQUIRY_FRACTION:
            return False
        return self.own_name in shares.owners(target, live, 1)


# The sets are replaced several times a second and compared for each request.
@functools.lru_cache(maxsize=16)
def _common(names: frozenset[str], others: frozenset[str]) -> frozenset[str]:
    return names & others


def make_fleet(
    own_name: str,
    names: abc.Iterable[str],
    discovered: bool,
    regions: abc.Mapping[str, str] | None = None,
    members: abc.Iterable[str] = (),
    live: abc.Iterable[str] | None = None,
) -> Fleet:
    """Returns the hosts among which rate limits are divided.

    Args:
        own_name: Name of this host.
        names: Names of the hosts that were heard of a short time ago, with or
            without this one.
        discovered: Whether this host has had time to learn of the others.
        regions: Regions of the hosts by name; empty if they are not known.
        members: Names of the hosts that are not known to be gone; those of
            `names` always count.
        live: Names of the hosts that are heard; None if all members are.
    """
    all_names = frozenset(names) | {own_name}
    all_members = all_names.union(members)
    by_region: dict[str, set[str]] = {}
    for name in all_members:
        region = (regions or {}).get(name)
        if region is not None:
            by_region.setdefault(region, set()).add(name)
    return Fleet(
        own_name,
        all_names,
        discovered,
        all_members,
        {region: frozenset(group) for region, group in by_region.items()},
        all_members if live is None else frozenset(live),
    )
