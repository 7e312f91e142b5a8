"""Which host coordinates the quotas of a shard of the organisations.

The hosts of each shard are ranked by rendezvous hashing. The first one that is
alive coordinates: another takes over once it has heard no announcement for a
while that grows with its rank. Of two coordinators that hear of each other,
the one of the lower rank goes on. While hosts start, those in the host list of
the store come first, since all others know them.
"""

from collections import abc
import itertools
import random

import msgspec

from ragwortchute.gateway.organisations import quota_accounts
from ragwortchute.gateway.organisations import quota_limits
from ragwortchute.gateway.organisations import quota_messages
from ragwortchute.gateway.peers import shares

# Hosts of a shard: the coordinator hears each of them several times a second.
HOSTS_PER_SHARD = 400
# A host has contact for this long after an announcement: with regard to
# organisations of which a share is admitted, and to others, whose load may jump
# while the host is cut off.
THROTTLED_CONTACT_S = 1.2
CONTACT_S = 0.95
# A host that has heard no announcement for this long asks for one with each
# report, up to the longer time. It is more than an interval of announcements
# and leaves time for an answer before contact ends.
ASK_S = 0.45
MAX_ASK_S = 3.0
# A host takes over after this time without an announcement, and this time more
# for each host that precedes it, up to a number of hosts. It has asked for one
# before.
TAKEOVER_S = 0.65
TAKEOVER_STEP_S = 0.1
MAX_STEPS = 8
# The same times at a host that has never heard an announcement. A listed host
# that starts waits for hosts of a lower rank only: others reply if there is a
# coordinator.
FIRST_TAKEOVER_S = 0.1
FIRST_STEP_S = 0.1
# A host takes a coordinator for working if it has heard an announcement of it
# in this time.
WORKS_S = 0.6
# A coordinator that was silent for this long and then announces with an earlier
# incarnation has restarted after its clock was set back.
REPLACED_S = quota_accounts.REPLACED_S
# Coordinators, earlier ones included, whose last announcements are known.
MAX_EARLIER = 8
# A new coordinator announces nothing new for this long, until it has heard
# which hosts report to it. The shorter time holds if there was none before it.
HOLD_S = 0.25
FIRST_HOLD_S = 0.2
# Interval of announcements, a little below a number of steps. Changes are
# announced at once as long as there are tokens.
ANNOUNCE_S = 0.38
ALERT_TOKENS = 6.0
ALERT_TOKENS_PER_S = 1.0
# A host that may give out less than this part of all rates does not coordinate.
MIN_SHARE = 0.02
# Hosts that an announcement is passed on to. In a small graph, some of them are
# the same or the host itself.
FANOUT = 2
FEW_HOSTS = 12
FEW_HOSTS_FANOUT = 3
# Credit that a coordinator starts with, as a share of the largest: if it has
# heard announcements, for organisations that were not listed, and otherwise.
UNLISTED_LEVEL = 0.15
UNKNOWN_LEVEL = 0.3


def shard_count(hosts: int) -> int:
    """Returns the number of shards of a deployment."""
    return 1 + hosts // HOSTS_PER_SHARD


# In place of the last announcement of a host that never coordinated.
_NEVER = (-1, -1, float('-inf'))


class Hosts(msgspec.Struct, frozen=True):
    """The hosts of the deployment as a host knows them.

    Attributes:
        names: Names of the hosts that may be alive, this one included.
        near: Names of the live hosts of the own region, this one included.
        far: Names of the live hosts of each other region.
        settled: Whether this host has had time to learn of the others.
        listed: Names of the hosts in the host list of the store.
        unseen: Names of the listed hosts of each failure domain of which no
            host was heard of.
        seen: Number of failure domains of which a host was heard of, the own
            one included.
    """

    names: frozenset[str] = frozenset()
    near: tuple[str, ...] = ()
    far: tuple[tuple[str, ...], ...] = ()
    settled: bool = False
    listed: frozenset[str] = frozenset()
    unseen: tuple[frozenset[str], ...] = ()
    seen: int = 1


class Shard:
    """One shard of the organisations, as seen by one host.

    Args:
        index: Number of the shard.
        own_name: Name of this host.
        incarnation: Incarnation of this host.

    Attributes:
        index: Number of the shard.
        coordinator: Name of the coordinator, empty before the first one.
        heard_s: Loop time of its last announcement, in seconds.
        announced_s: The same of the last one that was not provisional.
        hosts: Hosts that the coordinator knows, 0 if that was never heard.
        last: Last announcement that was not provisional.
        states: States of the organisations that were announced, by key.
        accounts: The accounts if this host coordinates, else None.
    """

    __slots__ = (
        '_alert_tokens',
        '_announced_s',
        '_contact_s',
        '_created_s',
        '_first',
        '_heard',
        '_own_incarnation',
        '_own_name',
        '_own_number',
        '_ranked_hosts',
        '_ranks',
        '_stepped_s',
        '_waiting_since_s',
        'accounts',
        'announced_s',
        'coordinator',
        'heard_s',
        'hosts',
        'index',
        'last',
        'states',
    )

    def __init__(self, index: int, own_name: str, incarnation: int) -> None:
        self.index = index
        self.coordinator = ''
        self.hosts = 0
        self.last: quota_messages.Announcement | None = None
        self.heard_s = float('-inf')
        self.announced_s = float('-inf')
        self.states: dict[int, quota_messages.State] = {}
        self.accounts: quota_accounts.Accounts | None = None
        self._own_name = own_name
        self._own_incarnation = incarnation
        self._own_number = 0
        # Incarnation, number and loop time of last announcements, by name.
        self._heard: dict[str, tuple[int, int, float]] = {}
        self._contact_s = float('-inf')
        self._created_s = float('inf')
        self._ranked_hosts = (frozenset(), frozenset())
        self._first = ''
        self._ranks: dict[str, int] = {}
        self._waiting_since_s: float | None = None
        self._stepped_s = float('-inf')
        self._announced_s = float('-inf')
        self._alert_tokens = ALERT_TOKENS

    def has_contact(self, now_s: float, *, throttled: bool) -> bool:
        """Returns whether a coordinator was heard of recently.

        Args:
            now_s: Loop time in seconds.
            throttled: Whether a share of the requests is to be admitted.
        """
        if throttled:
            return now_s - self._contact_s < THROTTLED_CONTACT_S
        return now_s - self.announced_s < CONTACT_S

    def asks(self, now_s: float) -> bool:
        """Returns whether the coordinator should reply to reports."""
        if self.announced_s == float('-inf'):
            return now_s - self._created_s < MAX_ASK_S
        return ASK_S <= now_s - self.announced_s < MAX_ASK_S

    @property
    def receiver(self) -> str:
        """Name of the host that reports are sent to, empty if none is known.

        Before the first announcement it is the host that is to coordinate.
        """
        return self.coordinator or self._first

    def accept(
        self, announcement: quota_messages.Announcement, now_s: float
    ) -> bool:
        """Takes over an announcement unless it is old or of a lesser host.

        Args:
            announcement: The announcement.
            now_s: Loop time in seconds.

        Returns:
            Whether it is news and should be passed on.
        """
        name = announcement.coordinator
        if name == self._own_name:
            return False
        incarnation, number, heard_s = self._heard.get(name, _NEVER)
        if announcement.incarnation < incarnation:
            if now_s - heard_s < REPLACED_S:
                return False
        elif (announcement.incarnation, announcement.number) <= (
            incarnation,
            number,
        ):
            return False
        if name != self.coordinator and self._keeps_coordinator(
            announcement, now_s
        ):
            return False
        self.accounts = None
        self._follow(announcement, now_s)
        return True

    def forwarded(self, now_s: float) -> quota_messages.Announcement | None:
        """Returns an announcement for a host that knows no coordinator.

        Args:
            now_s: Loop time in seconds.

        Returns:
            The last announcement, None if no coordinator works.
        """
        if self.last is None or now_s - self.announced_s >= WORKS_S:
            return None
        return msgspec.structs.replace(self.last, is_reply=True)

    def _keeps_coordinator(
        self, announcement: quota_messages.Announcement, now_s: float
    ) -> bool:
        """Returns whether the known coordinator goes on, not another one.

        One that has just taken over gives way to one that works, so that its
        credit is not lost when a host starts or did not hear it for a while.
        """
        if now_s - self.heard_s >= WORKS_S:
            return False
        works = now_s - self.announced_s < WORKS_S
        if works == announcement.provisional:
            return works
        return self._rank(self.coordinator) < self._rank(
            announcement.coordinator
        )

    def reply(
        self, limits: abc.Mapping[int, quota_limits.Limit], now_s: float
    ) -> quota_messages.Announcement | None:
        """Returns an announcement for one host, None if there is none.

        Args:
            limits: Limits by the key of the organisation.
            now_s: Loop time in seconds.
        """
        if self.accounts is None:
            return self.forwarded(now_s)
        return self._make_announcement(limits, is_reply=True)

    def step(
        self,
        hosts: Hosts,
        limits: abc.Mapping[int, quota_limits.Limit],
        now_s: float,
    ) -> quota_messages.Announcement | None:
        """Takes over or updates the accounts, periodically.

        Args:
            hosts: The hosts of the deployment.
            limits: Limits by the key of the organisation.
            now_s: Loop time in seconds.

        Returns:
            An announcement that should be sent, if any.
        """
        self._created_s = min(self._created_s, now_s)
        self.rank_hosts(hosts)
        if self.accounts is None:
            if not self._should_take_over(hosts, now_s):
                return None
            self._take_over(now_s)
            return self._announce(limits, now_s)
        alert = self.accounts.update(
            limits, hosts.names, now_s, hosts.unseen, hosts.seen
        )
        if self.accounts.is_provisional(now_s):
            return None
        if self.accounts.share < MIN_SHARE:
            # It hears from too few hosts; each uses its share alone.
            self.accounts = None
            self._contact_s = float('-inf')
            self._waiting_since_s = now_s
            return None
        self._alert_tokens = min(
            ALERT_TOKENS,
            self._alert_tokens + (now_s - self._stepped_s) * ALERT_TOKENS_PER_S,
        )
        self._stepped_s = now_s
        if now_s - self._announced_s < ANNOUNCE_S:
            if not alert or self._alert_tokens < 1:
                return None
            self._alert_tokens -= 1
        return self._announce(limits, now_s)

    def _should_take_over(self, hosts: Hosts, now_s: float) -> bool:
        """Returns whether no coordinator and no host of a lower rank works."""
        if not hosts.settled and self._own_name not in hosts.listed:
            self._waiting_since_s = None
            return False
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        steps = min(MAX_STEPS, self._rank(self._own_name))
        silent_s = now_s - max(self.heard_s, self._waiting_since_s)
        if self.coordinator or hosts.settled:
            wait_s = TAKEOVER_S if self.coordinator else FIRST_TAKEOVER_S
            return silent_s >= wait_s + TAKEOVER_STEP_S * steps
        return silent_s >= FIRST_STEP_S * steps

    def _take_over(self, now_s: float) -> None:
        """Starts to coordinate with the credit that was last announced."""
        known = self.heard_s > float('-inf')
        self.accounts = quota_accounts.Accounts(
            self.states,
            self.heard_s if known else now_s,
            UNLISTED_LEVEL if known else UNKNOWN_LEVEL,
            now_s,
            HOLD_S if known else FIRST_HOLD_S,
        )
        self._stepped_s = now_s

    def _announce(
        self, limits: abc.Mapping[int, quota_limits.Limit], now_s: float
    ) -> quota_messages.Announcement:
        self._announced_s = now_s
        announcement = self._make_announcement(limits)
        self._follow(announcement, now_s)
        return announcement

    def _make_announcement(
        self,
        limits: abc.Mapping[int, quota_limits.Limit],
        *,
        is_reply: bool = False,
    ) -> quota_messages.Announcement:
        states, complete = self.accounts.take_states(
            limits, to_all=not is_reply
        )
        # Hosts that are dead for good must not displace live ones.
        unheard = sorted(
            self.accounts.unheard, key=lambda name: name not in self._ranks
        )
        self._own_number += 1
        return quota_messages.Announcement(
            self.index,
            self._own_name,
            self._own_incarnation,
            self._own_number,
            not self.accounts.is_steered,
            complete,
            quota_messages.pack_states(states),
            quota_messages.pack_names(
                unheard[: quota_messages.MAX_UNHEARD],
                self._own_number,
            ),
            self.accounts.known,
            is_reply,
        )

    def _follow(
        self, announcement: quota_messages.Announcement, now_s: float
    ) -> None:
        self.coordinator = announcement.coordinator
        self._heard.pop(announcement.coordinator, None)
        self._heard[announcement.coordinator] = (
            announcement.incarnation,
            announcement.number,
            now_s,
        )
        if len(self._heard) > MAX_EARLIER:
            del self._heard[next(iter(self._heard))]
        self.hosts = announcement.hosts
        self.heard_s = now_s
        # A provisional announcement prolongs contact only.
        unheard = quota_messages.has_name(
            announcement.unheard, self._own_name, announcement.number
        )
        if not unheard and self.has_contact(now_s, throttled=True):
            self._contact_s = now_s
        if announcement.provisional or unheard:
            return
        self.announced_s = self._contact_s = now_s
        self.last = announcement
        states = {
            state.key: state
            for state in quota_messages.unpack_states(announcement.states)
        }
        if not announcement.complete:
            states = {**self.states, **states}
        self.states = states

    def rank_hosts(self, hosts: Hosts) -> None:
        """Ranks the live hosts, while this one starts the listed ones first.

        All hosts that start know these, but not the same others.
        """
        first = frozenset() if hosts.settled else hosts.listed
        alive = frozenset(itertools.chain(hosts.near, *hosts.far, first))
        if (alive, first) == self._ranked_hosts:
            return
        self._ranked_hosts = (alive, first)
        key = f'quota/{self.index}'
        ranked = sorted(
            alive,
            key=lambda host: (host not in first, shares.weight(key, host)),
        )
        self._ranks = {name: rank for rank, name in enumerate(ranked)}
        self._first = ranked[0] if first else ''

    def _rank(self, name: str) -> int:
        """Returns the rank of a host; hosts that are not known come last."""
        return self._ranks.get(name, len(self._ranks))


def receivers(near: abc.Sequence[str], own_name: str, number: int) -> list[str]:
    """Returns the hosts that this host passes an announcement on to.

    The hosts of the region form a De Bruijn graph over an order that differs
    for each announcement: each host has as many predecessors as successors, so
    that few lost messages and dead hosts keep it from few others, and from
    others the next time.

    Args:
        near: Names of the live hosts of the region, this one included.
        own_name: Name of this host.
        number: Number of the announcement.
    """
    fanout = FANOUT if len(near) > FEW_HOSTS else FEW_HOSTS_FANOUT
    rng = random.Random(number)
    order = sorted(near)
    rng.shuffle(order)
    try:
        position = order.index(own_name)
    except ValueError:
        return []
    chosen = {
        order[(position * fanout + step) % len(order)]
        for step in range(1, fanout + 1)
    }
    chosen.discard(own_name)
    return sorted(chosen)
