"""The other hosts, as rollouts see them.

A silent host may be alive behind a partition and send to old targets. It counts
for as long as `peer_table.PeerTable.may_be_alive` says.
"""

import bisect
from collections import abc

import msgspec

# A host whose heartbeats and reports are older than this is not heard.
SILENT_S = 4.0
# A host that reaches neither the store nor any other host, and has not learnt
# of an order, refuses requests after this time.
ISOLATION_S = 6.0
# The same for a host that hears others, but at most two thirds of the hosts it
# knows. The age of a copy is up to 4.5 s while no order is known, and
# partitions of a few seconds must not stop a service.
GROUP_ISOLATION_S = 9.0
# If a coordinator has not replied to this many messages, and for this long, the
# next host by name coordinates, too. With a tenth of the messages lost, that
# happens with a live one at a probability of 0.007.
_MIN_UNANSWERED = 3
_UNANSWERED_S = 0.9


class Neighbour(msgspec.Struct, frozen=True):
    """Another host that may be alive.

    Attributes:
        name: Name of the host.
        incarnation: Its incarnation.
        heard_s: Loop time at which its last heartbeat was sent.
        discovered_s: Loop time at which this incarnation was learned of.
    """

    name: str
    incarnation: int
    heard_s: float
    discovered_s: float

    def is_heard(self, now_s: float) -> bool:
        """Returns whether the last heartbeat of the host is recent."""
        return now_s - self.heard_s < SILENT_S


class Neighbours:
    """The hosts that may be alive at a moment.

    Args:
        items: These hosts. The host that asks may be among them.
        now_s: Loop time in seconds.

    Attributes:
        items: These hosts by name.
        heard: Names of those that are heard, sorted.
    """

    __slots__ = ('heard', 'items')

    def __init__(self, items: abc.Iterable[Neighbour], now_s: float) -> None:
        self.items = {item.name: item for item in items}
        self.heard = sorted(
            item.name for item in self.items.values() if item.is_heard(now_s)
        )

    def hears(self, name: str) -> bool:
        """Returns whether a host is heard."""
        index = bisect.bisect_left(self.heard, name)
        return self.heard[index : index + 1] == [name]


class Unanswered:
    """Messages to coordinators that have not been replied to.

    Heartbeats tell only after `SILENT_S` that a host is dead. That is too long
    at the end of an order if both coordinators have died.
    """

    __slots__ = ('_counts', '_passed_until_s', '_since_s')

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._since_s: dict[str, float] = {}
        self._passed_until_s: dict[str, float] = {}

    def note_sent(self, name: str, now_s: float) -> None:
        """Notes a message that is to be replied to."""
        self._since_s.setdefault(name, now_s)
        self._counts[name] = self._counts.get(name, 0) + 1

    def note_reply(self, name: str) -> None:
        """Notes that a host has replied."""
        self._counts.pop(name, None)
        self._since_s.pop(name, None)
        self._passed_until_s.pop(name, None)

    def passed_over(self, now_s: float) -> set[str]:
        """Returns the hosts that don't reply.

        Each is asked again after the time that heartbeats take to tell.
        """
        for name, count in [*self._counts.items()]:
            if (
                count >= _MIN_UNANSWERED
                and now_s - self._since_s[name] >= _UNANSWERED_S
            ):
                self.note_reply(name)
                self._passed_until_s[name] = now_s + SILENT_S
        return {
            name
            for name, until_s in self._passed_until_s.items()
            if now_s < until_s
        }


class View:
    """What one host knows of the others.

    Args:
        me: Name of the host.

    Attributes:
        hosts: Number of hosts that may be alive, this one included.
        heard: Number of those that are heard, this one included.
        rank: Number of hosts before this one, by name, that are heard.
        ranked_since_s: Loop time of the last change of the rank.
    """

    __slots__ = (
        '_me',
        '_neighbours',
        '_passed_over',
        'heard',
        'hosts',
        'rank',
        'ranked_since_s',
    )

    def __init__(self, me: str) -> None:
        self._me = me
        self._neighbours = Neighbours((), 0.0)
        self._passed_over: set[str] = set()
        self.hosts = 1
        self.heard = 1
        self.rank = 0
        self.ranked_since_s = float('-inf')

    def update(
        self, neighbours: Neighbours, passed_over: set[str], now_s: float
    ) -> None:
        """Notes which hosts may be alive and which are heard.

        Args:
            neighbours: The hosts.
            passed_over: Names of hosts that do not reply, see `Unanswered`.
            now_s: Loop time in seconds.
        """
        self._neighbours = neighbours
        self._passed_over = passed_over
        heard = neighbours.heard
        rank = bisect.bisect_left(heard, self._me)
        self.heard = len(heard) + (not neighbours.hears(self._me))
        self.hosts = len(neighbours.items) + (self._me not in neighbours.items)
        for name in passed_over:
            rank -= name < self._me and neighbours.hears(name)
        if rank != self.rank or self.ranked_since_s == float('-inf'):
            self.ranked_since_s = now_s
        self.rank = rank

    @property
    def reaches_most(self) -> bool:
        """Whether this host hears most of the hosts that may be alive."""
        return 2 * self.heard > self.hosts

    def is_isolated(self, unconfirmed_s: float) -> bool:
        """Returns whether an order may be under way that can't be learnt of.

        Args:
            unconfirmed_s: Age of the copies of the records in seconds.
        """
        if self.heard == 1 and self.hosts > 1:
            return unconfirmed_s > ISOLATION_S
        if 3 * self.heard > 2 * self.hosts:
            return False
        return unconfirmed_s > GROUP_ISOLATION_S

    def others_are_isolated(self, hosts: int) -> bool:
        """Returns whether the hosts that are not heard count as isolated.

        They then hear at most two thirds of the hosts, see `is_isolated`.

        Args:
            hosts: Number of hosts that may be alive.
        """
        return 3 * self.heard >= hosts

    def first(self, count: int) -> list[str]:
        """Returns the first hosts by name that coordinate or would do so."""
        heard = self._neighbours.heard[: count + 1 + len(self._passed_over)]
        return sorted({*heard, self._me} - self._passed_over)[:count]

    def receivers(self, count: int) -> list[str]:
        """Returns the hosts that get the reports of this one.

        They include those that are passed over: they may be alive, and this
        host be the only one that has had no reply.

        Args:
            count: Number of hosts that coordinate.
        """
        alive = {*self._neighbours.heard[:count], *self.first(count)}
        return sorted(alive - {self._me})

    def names_heard(self) -> set[str]:
        """Returns the names of the hosts that are heard and of this one."""
        return {*self._neighbours.heard, self._me}

    def others(self) -> list[Neighbour]:
        """Returns the other hosts that may be alive."""
        return [
            item
            for item in self._neighbours.items.values()
            if item.name != self._me
        ]
