"""Accounts of a coordinator: credit and demand of each organisation.

Load: an organisation may jump to several times its rate at once, over all
hosts. Every request that hosts report is taken from the credit, which may
become negative; what was used too much is saved before anything else is
admitted. The share of the requests that hosts admit is chosen so that the
credit moves to its target.
"""

from collections import abc
import math

import msgspec

from ragwortchute.gateway.organisations import quota_limits
from ragwortchute.gateway.organisations import quota_messages

# Time in which the credit is steered to its target.
STEER_S = 1.5
# Time constant of the demand, and the number of requests at the rate of the
# organisation that it spans at least, up to a largest time.
DEMAND_S = 0.3
DEMAND_REQUESTS = 3.0
MAX_DEMAND_S = 2.0
# Accounts with full credit and less demand are dropped.
IDLE_PER_S = 0.01
# Largest debt, in seconds of the rate.
DEBT_S = 5.0
# Organisations below this share of their largest credit are announced.
ANNOUNCE_FRACTION = 0.5
# Changes since the last announcement that are announced at once: the admitted
# share falls by this factor, or the credit by this share of its largest.
ALERT_FACTOR = 0.75
ALERT_FALL = 0.25
# A host that was not heard of for this long may be cut off.
SILENT_S = 1.05
# A host that was not heard of for less than this was not cut off: its reports
# were lost.
REGAIN_S = 2.0
# A host that was silent for this long and then reports with an earlier
# incarnation has restarted after its clock was set back. Late reports of its
# earlier process have arrived by then.
REPLACED_S = 3.0
# Counts that a new coordinator hears of first are those of this time at least.
RECENT_S = 0.5
# They are those of once to twice this time, of this much on average.
RECENT_MEAN_S = 0.75
# Counts of a host that have not changed for this long or twice as long are
# dropped.
RETENTION_S = 20.0
# The part of the rate that a coordinator gives out, by the share of the hosts
# that it hears from: linear, 1 from 7/8 on and 0 up to 1/8, so that two
# coordinators that do not hear of each other give out the rate once.
_SHARE_SLOPE = 4 / 3


def rate_share(heard: int, hosts: int) -> float:
    """Returns the part of all rates that a coordinator may give out.

    Args:
        heard: Hosts that it hears from, itself included.
        hosts: Hosts that may be alive.
    """
    heard_share = heard / max(1, hosts, heard)
    return min(1.0, max(0.0, 0.5 + (heard_share - 0.5) * _SHARE_SLOPE))


def _count_hosts(
    hosts: abc.Collection[str],
    heard: set[str],
    unseen: abc.Sequence[frozenset[str]],
    seen: int,
) -> int:
    """Returns how many hosts there may be.

    Hosts that report may not be known otherwise yet.

    Args:
        hosts: Names of the hosts that may be alive.
        heard: Names of the hosts that report.
        unseen: Names of the listed hosts of each failure domain of which no
            host was heard of.
        seen: Number of failure domains of which a host was heard of, the own
            one included.
    """
    found = len(hosts) + sum(name not in hosts for name in heard)
    silent = [listed for listed in unseen if listed.isdisjoint(heard)]
    if not silent:
        return found
    found -= sum(len(listed.intersection(hosts)) for listed in silent)
    domains = seen + len(unseen) - len(silent)
    return found + round(len(silent) * found / domains)


class _Account(msgspec.Struct):
    """Account of one organisation.

    Attributes:
        level: Credit.
        demand_per_s: Smoothed demand.
        demanded: Requests received since the last update.
        admit_fraction: Share of the requests that hosts should admit.
        announced_fraction: The same in the last announcement.
        announced_level: Credit at the last announcement.
        is_removed: Whether the organisation was missing for a while.
    """

    level: float
    demand_per_s: float = 0.0
    demanded: float = 0.0
    admit_fraction: float = 1.0
    announced_fraction: float = 1.0
    announced_level: float = 0.0
    is_removed: bool = False


def _has_fallen(account: _Account, limit: quota_limits.Limit) -> bool:
    """Returns whether hosts should learn of an account at once."""
    fraction = account.announced_fraction * ALERT_FACTOR
    level = account.announced_level - limit.depth * ALERT_FALL
    return account.admit_fraction < fraction or account.level < level


class _Reporter:
    """Counts of one host.

    Attributes:
        incarnation: Incarnation of the host.
        number: Number of its last report.
        heard_s: Loop time of its last report, in seconds.
    """

    __slots__ = ('_new', '_old', 'heard_s', 'incarnation', 'number')

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.number = -1
        self.heard_s = float('-inf')
        self._new: dict[int, quota_messages.Use] = {}
        self._old: dict[int, quota_messages.Use] = {}

    def replace(self, use: quota_messages.Use) -> tuple[int, int, bool]:
        """Returns how many requests were admitted and received since then.

        Counts of which nothing is known are taken from the recent ones.

        Returns:
            The requests admitted and received, and whether they are recent ones
            from before the report.
        """
        known = self._new.get(use.key) or self._old.get(use.key)
        self._new[use.key] = use
        if known is None:
            return use.recent, use.recent, True
        demanded = quota_messages.difference(use.demanded, known.demanded)
        if demanded < 0:
            # The host has forgotten its counts.
            return use.recent, use.recent, True
        admitted = quota_messages.difference(use.admitted, known.admitted)
        return admitted, demanded, False

    def forget(self) -> None:
        """Drops all counts."""
        self._new = {}
        self._old = {}

    def drop_unchanged(self) -> None:
        """Drops counts that have not changed since the last call but one."""
        self._old, self._new = self._new, {}


class Accounts:
    """Accounts of the organisations of a shard.

    Args:
        states: Last announced states, by key.
        announced_s: Loop time of the announcement, in seconds.
        default_fraction: Credit of others, as a share of their largest.
        now_s: Loop time in seconds.
        hold_s: Time in seconds until it is known which hosts report.

    Attributes:
        is_steered: Whether shares to be admitted were derived from reports.
        known: Hosts that are known, those that report included.
        share: Part of all rates that may be given out.
        unheard: Names of the hosts that were not heard from recently.
    """

    __slots__ = (
        '_accounts',
        '_default_fraction',
        '_dropped_s',
        '_hold_s',
        '_lost',
        '_lost_s',
        '_reporters',
        '_started_s',
        '_updated_s',
        'is_steered',
        'known',
        'share',
        'unheard',
    )

    def __init__(
        self,
        states: abc.Mapping[int, quota_messages.State],
        announced_s: float,
        default_fraction: float,
        now_s: float,
        hold_s: float,
    ) -> None:
        self.is_steered = False
        self.known = 0
        self.share = 0.0
        self._hold_s = hold_s
        self.unheard: list[str] = []
        self._lost = 0.0
        self._lost_s = float('-inf')
        self._default_fraction = default_fraction
        self._started_s = self._dropped_s = now_s
        # Credit is added for the time in which recent requests are counted.
        self._updated_s = max(announced_s, now_s - RECENT_S)
        self._accounts = {
            key: _Account(
                state.level,
                state.demand_per_s,
                0,
                state.admit_fraction,
                state.admit_fraction,
                state.level,
            )
            for key, state in states.items()
        }
        self._reporters: dict[str, _Reporter] = {}

    def record(
        self,
        sender: str,
        report: quota_messages.Report,
        limits: abc.Mapping[int, quota_limits.Limit],
        now_s: float,
    ) -> None:
        """Takes what a host has reported from the credit.

        Args:
            sender: Name of the host.
            report: Its report. Repeated and overtaken ones are ignored.
            limits: Limits by the key of the organisation.
            now_s: Loop time in seconds.
        """
        reporter = self._reporters.get(sender)
        if (
            reporter is None
            or reporter.incarnation < report.incarnation
            or (
                reporter.incarnation > report.incarnation
                and now_s - reporter.heard_s >= REPLACED_S
            )
        ):
            reporter = _Reporter(report.incarnation)
            self._reporters[sender] = reporter
        elif (
            reporter.incarnation > report.incarnation
            or reporter.number >= report.number
        ):
            return
        if now_s - reporter.heard_s > SILENT_S:
            # What it used while it was cut off was not given out here.
            reporter.forget()
        reporter.number = report.number
        reporter.heard_s = now_s
        for use in quota_messages.unpack_uses(report.uses):
            limit = limits.get(use.key)
            if limit is None:
                continue
            admitted, demanded, is_recent = reporter.replace(use)
            account = self._account(limit, now_s)
            account.level -= admitted
            if is_recent:
                # Only a part of them came since the accounts were started.
                started_s = now_s - self._started_s
                demanded *= min(1.0, started_s / RECENT_MEAN_S)
            account.demanded += demanded

    def is_provisional(self, now_s: float) -> bool:
        """Returns whether it is not known yet which hosts report."""
        return now_s - self._started_s < self._hold_s

    def update(
        self,
        limits: abc.Mapping[int, quota_limits.Limit],
        hosts: abc.Collection[str],
        now_s: float,
        unseen: abc.Sequence[frozenset[str]] = (),
        seen: int = 1,
    ) -> bool:
        """Adds credit for the time since the last update, and steers it.

        Args:
            limits: Limits by the key of the organisation.
            hosts: Names of the hosts that may be alive.
            now_s: Loop time in seconds.
            unseen: Names of the listed hosts of each failure domain of which no
                host was heard of. These have as many hosts as others.
            seen: Number of failure domains of which a host was heard of, the
                own one included.

        Returns:
            Whether hosts should learn of a change at once.
        """
        elapsed_s = now_s - self._updated_s
        heard = self._heard(now_s)
        self.known = _count_hosts(hosts, heard, unseen, seen)
        if elapsed_s <= 0 or self.is_provisional(now_s):
            return False
        self.is_steered = True
        measured_s = now_s - max(self._updated_s, self._started_s)
        self._updated_s = now_s
        self.unheard = [name for name in hosts if name not in heard]
        lost = self._update_share(len(heard), now_s)
        if now_s - self._dropped_s >= RETENTION_S:
            self._drop_old(limits, hosts, now_s)
        alert = False
        for key, account in list(self._accounts.items()):
            limit = limits.get(key)
            if limit is None:
                # It may be added again, and must not get its burst anew.
                continue
            account.level -= lost * limit.depth
            self._steer(account, limit, elapsed_s, measured_s)
            if (
                account.level >= limit.depth * self.share
                and account.demand_per_s < IDLE_PER_S
            ):
                del self._accounts[key]
                continue
            alert = alert or _has_fallen(account, limit)
        return alert

    def take_states(
        self,
        limits: abc.Mapping[int, quota_limits.Limit],
        *,
        to_all: bool = True,
    ) -> tuple[list[quota_messages.State], bool]:
        """Returns what should be announced.

        Args:
            limits: Limits by the key of the organisation.
            to_all: Whether it is announced to all hosts.

        Returns:
            Organisations near their quota or beyond it, the furthest ones
            first, and whether these are all.
        """
        near: list[tuple[float, int]] = []
        for key, account in self._accounts.items():
            limit = limits.get(key)
            if limit is None:
                continue
            if to_all:
                account.announced_fraction = account.admit_fraction
                account.announced_level = account.level
            fraction = account.level / limit.depth
            if account.admit_fraction < 1 or fraction < ANNOUNCE_FRACTION:
                near.append((fraction, key))
        near.sort()
        states = []
        for _, key in near[: quota_messages.MAX_ENTRIES]:
            account = self._accounts[key]
            states.append(
                quota_messages.State(
                    key,
                    account.admit_fraction,
                    account.level,
                    account.demand_per_s,
                )
            )
        return states, len(near) <= quota_messages.MAX_ENTRIES

    def _heard(self, now_s: float) -> set[str]:
        """Returns the names of the hosts that were heard from recently."""
        oldest_s = now_s - SILENT_S
        return {
            name
            for name, reporter in self._reporters.items()
            if reporter.heard_s > oldest_s
        }

    def _update_share(self, heard: int, now_s: float) -> float:
        """Updates the part of all rates that may be given out.

        Args:
            heard: Hosts that were heard from recently.
            now_s: Loop time in seconds.

        Returns:
            The part of the credit that hosts which have fallen silent may have
            used; negative if they were silent for a short time only.
        """
        lost = self.share - rate_share(heard, self.known)
        self.share -= lost
        if lost > 0:
            self._lost += lost
            self._lost_s = now_s
            return lost
        if now_s - self._lost_s > REGAIN_S:
            self._lost = 0.0
        regained = min(-lost, self._lost)
        self._lost -= regained
        return -regained

    def _account(self, limit: quota_limits.Limit, now_s: float) -> _Account:
        account = self._accounts.get(limit.key)
        if account is None:
            level = limit.depth * self._default_fraction
            level += (now_s - self._started_s) * limit.rate_per_s * self.share
            level = min(limit.depth, level)
            account = _Account(level, announced_level=level)
            self._accounts[limit.key] = account
        return account

    def _steer(
        self,
        account: _Account,
        limit: quota_limits.Limit,
        elapsed_s: float,
        measured_s: float,
    ) -> None:
        """Updates the credit, the demand and the admitted share."""
        rate_per_s = limit.rate_per_s * self.share
        # Use that has left the window need not be saved any more.
        account.level = max(
            -limit.rate_per_s * DEBT_S,
            min(
                limit.depth * self.share,
                account.level + rate_per_s * elapsed_s,
            ),
        )
        span_s = min(
            MAX_DEMAND_S, max(DEMAND_S, DEMAND_REQUESTS / limit.rate_per_s)
        )
        weight = 1 - math.exp(-measured_s / span_s)
        account.demand_per_s += weight * (
            account.demanded / measured_s - account.demand_per_s
        )
        account.demanded = 0.0
        spare_per_s = rate_per_s + (account.level - limit.target) / STEER_S
        if spare_per_s <= 0:
            account.admit_fraction = 0.0
        else:
            account.admit_fraction = spare_per_s / max(
                spare_per_s, account.demand_per_s
            )

    def _drop_old(
        self,
        limits: abc.Mapping[int, quota_limits.Limit],
        hosts: abc.Collection[str],
        now_s: float,
    ) -> None:
        """Drops counts and accounts that are no longer needed."""
        self._dropped_s = now_s
        for key, account in list(self._accounts.items()):
            if account.is_removed and key not in limits:
                del self._accounts[key]
            account.is_removed = key not in limits
        for name, reporter in list(self._reporters.items()):
            reporter.drop_unchanged()
            if name not in hosts and now_s - reporter.heard_s > RETENTION_S:
                del self._reporters[name]
