"""Decides whether this host may send a request to a target now.

A cold target bears few requests, and a target may have said that it leaves,
that it takes only so many requests from all hosts, or none from this host for a
while. This is known before the target is probed, whatever it is registered as.
"""

from collections import abc

import msgspec

from ragwortchute.gateway.peers import limit_shares
from ragwortchute.gateway.selection import pacing
from ragwortchute.gateway.selection import pauses as pauses_
from ragwortchute.gateway.selection import target_statements
from ragwortchute.gateway.selection import targets as targets_


class StatedWait(msgspec.Struct, frozen=True):
    """How long a target takes no request of this host.

    Attributes:
        reason: Refusal reason.
        wait_s: Time in seconds.
    """

    reason: str
    wait_s: float


class SendLimits:
    """Limits on the requests that this host sends to each target.

    Args:
        statements: What targets have said to all hosts.
        pauses: Pauses that targets have asked this host for.
        warmup_overage: Factor on the request rate of a cold target.
        warmup_slack: Requests per second allowed beyond that.

    Attributes:
        fleet: Hosts that may send to the same targets.
    """

    __slots__ = ('_overage', '_pauses', '_slack', '_statements', 'fleet')

    def __init__(
        self,
        statements: target_statements.TargetStatements,
        pauses: pauses_.Pauses,
        warmup_overage: float,
        warmup_slack: float,
    ) -> None:
        self._statements = statements
        self._pauses = pauses
        self._overage = warmup_overage
        self._slack = warmup_slack
        self.fleet = pacing.Fleet()

    def may_send(self, target: targets_.Target, now_s: float) -> bool:
        """Returns whether a target takes a request of this host.

        Args:
            target: The target.
            now_s: Loop time in seconds.
        """
        if target.is_cold(now_s) and not self.may_send_cold(target, now_s):
            return False
        return self.is_accepting(target, now_s)

    def may_send_cold(self, target: targets_.Target, now_s: float) -> bool:
        """Returns whether a cold target bears a request of this host.

        Args:
            target: The target.
            now_s: Loop time in seconds.
        """
        sends_per_window = self.fleet.sends_per_window(
            target.entry.name, self._cold_limit_per_s(target)
        )
        return target.pacer.may_send(now_s, sends_per_window)

    def is_accepting(self, target: targets_.Target, now_s: float) -> bool:
        """Returns whether nothing that a target has said forbids a request.

        Args:
            target: The target.
            now_s: Loop time in seconds.
        """
        return not (
            self._statements.is_leaving(target.key)
            or self._pauses.wait_s(target.key, now_s) > 0
            or self._limit_wait_s(target, now_s) > 0
        )

    @property
    def has_stated_limits(self) -> bool:
        """Whether any target has stated a limit lately."""
        return self._statements.has_limits

    def used_fraction(self, target: targets_.Target, now_s: float) -> float:
        """Returns which part of its share of a limit this host has used.

        It is 0 if the target names no limit.

        Args:
            target: A target that takes a request of this host now.
            now_s: Loop time in seconds.
        """
        limit_per_s = self._statements.limit_per_s(target.key, now_s)
        if limit_per_s is None:
            return 0.0
        share = self._share(target, limit_per_s)
        return target.limit_pacer.used_fraction(share.burst) if share else 0.0

    def shortest_wait(
        self, targets: abc.Iterable[targets_.Target], now_s: float
    ) -> StatedWait | None:
        """Returns the shortest time that one of several targets has stated.

        Args:
            targets: The targets.
            now_s: Loop time in seconds.

        Returns:
            The time, or None if no target that stays has stated one.
        """
        waits = [
            self._stated_wait(target, now_s)
            for target in targets
            if not self._statements.is_leaving(target.key)
        ]
        stated = [wait for wait in waits if wait.wait_s > 0]
        return min(stated, key=lambda wait: wait.wait_s, default=None)

    def wait_for_all(
        self, targets: abc.Sequence[targets_.Target], now_s: float
    ) -> StatedWait | None:
        """Returns the shortest time if all targets refuse requests.

        Args:
            targets: The targets.
            now_s: Loop time in seconds.

        Returns:
            The time, or None if a target takes a request or none has stated
            when it does.
        """
        if any(self.is_accepting(target, now_s) for target in targets):
            return None
        return self.shortest_wait(targets, now_s)

    def record_send(
        self, target: targets_.Target, now_s: float, *, is_cold: bool
    ) -> None:
        """Counts a request that is sent.

        Args:
            target: The target.
            now_s: Loop time in seconds.
            is_cold: Whether the target is cold.
        """
        self._pauses.record_send(target.key, now_s)
        if self._statements.limit_per_s(target.key, now_s) is not None:
            target.limit_pacer.spend()
        if is_cold:
            target.pacer.record_send(now_s)

    def _cold_limit_per_s(self, target: targets_.Target) -> float:
        """Returns the request rate limit of a cold target over all hosts."""
        if target.service is None:
            return 0.0
        return target.service.warmup_per_s * self._overage + self._slack

    def _stated_wait(self, target: targets_.Target, now_s: float) -> StatedWait:
        """Returns how long a target takes no request of this host, and why."""
        pause_s = self._pauses.wait_s(target.key, now_s)
        limit_s = self._limit_wait_s(target, now_s)
        if pause_s > limit_s:
            return StatedWait('target-paused', pause_s)
        return StatedWait('target-limit', limit_s)

    def _limit_wait_s(self, target: targets_.Target, now_s: float) -> float:
        """Returns the time until this host has a share of a limit left.

        It is 0 if the target names no limit.
        """
        limit_per_s = self._statements.limit_per_s(target.key, now_s)
        if limit_per_s is None:
            return 0.0
        share = self._share(target, limit_per_s)
        if share is None:
            return 1 / max(limit_shares.MIN_LIMIT_PER_S, limit_per_s)
        return target.limit_pacer.wait_s(now_s, share.rate_per_s, share.burst)

    def _share(
        self, target: targets_.Target, limit_per_s: float
    ) -> limit_shares.Share | None:
        """Returns the share that this host has of the limit of a target."""
        return self.fleet.share_of_limit(
            target.entry.name, target.region, limit_per_s
        )
