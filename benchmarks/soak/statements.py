"""Targets of the soak that leave, name limits and ask for pauses.

The checker sees what callers and targets see: which host a request was sent to,
what the answers that the host passed on said, and what arrived at the targets.
"""

import asyncio
import collections
import random
import typing

import msgspec

from standins import platform_targets

# Bounds that the platform documents.
DRAIN_S = 2.0
CONTACT_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5
TOLD_AFTER_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
_STATEMENTS = ('limit', 'pause', 'leaving')


class SentRequest(msgspec.Struct, frozen=True):
    """A request as its caller sent it.

    Attributes:
        host: Name of the host that it was sent to.
        sent_s: Loop time in seconds.
    """

    host: str
    sent_s: float


class NamedLimit(msgspec.Struct):
    """A limit that a target names for a while.

    Attributes:
        target: The target.
        per_s: Requests per second.
        named_s: Loop time of the first answer that may name it.
        ended_s: Loop time from which on no answer names it.
    """

    target: platform_targets.TargetServer
    per_s: float
    named_s: float
    ended_s: float = float('inf')


class HasFaults(typing.Protocol):
    """A host whose restarts, pauses and cuts are known."""

    name: str
    faults_s: list[float]


class StatementChecker:
    """Makes targets state things and checks that hosts comply.

    Args:
        seed: Seed of the statements.
        hosts: The hosts.
        targets: The targets; more may be added.

    Attributes:
        sent: Requests by their id.
        violations: Violations found.
    """

    def __init__(
        self,
        seed: int,
        hosts: list[HasFaults],
        targets: list[platform_targets.TargetServer],
    ) -> None:
        self._rng = random.Random(f'{seed}/statements')
        self._hosts = {host.name: host for host in hosts}
        self._targets = targets
        self._loop = asyncio.get_running_loop()
        self._limits: list[NamedLimit] = []
        # Loop time at which a host passed on the statement of a target.
        self._told_leaving_s: dict[tuple[str, str], float] = {}
        self._told_limit_s: dict[tuple[str, str], float] = {}
        self.sent: dict[str, SentRequest] = {}
        self.violations: list[str] = []

    async def run(self) -> None:
        """Lets targets state things until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._rng.uniform(0.5, 2.0))
                target = self._rng.choice(self._targets)
                await self._state(target, self._rng.choice(_STATEMENTS))
        finally:
            self._retract()

    def name_limit(
        self, target: platform_targets.TargetServer, per_s: float
    ) -> NamedLimit:
        """Lets a target name a limit.

        Args:
            target: The target.
            per_s: Requests per second.
        """
        limit = NamedLimit(target, per_s, self._loop.time())
        self._limits.append(limit)
        target.limit_per_s = per_s
        return limit

    def note_answer(self, host: str, head: str) -> None:
        """Notes what the head of an answer, in lower case, has told a host."""
        now_s = self._loop.time()
        target = head.partition('x-server-stamp: stamp.')[2].split('\r')[0]
        if 'server-leaving: 1' in head:
            self._told_leaving_s.setdefault((host, target), now_s)
        if 'server-limit: ' in head:
            self._told_limit_s.setdefault((host, target), now_s)

    def check(self) -> list[str]:
        """Checks all arrivals and returns the violations."""
        for target in self._targets:
            self._check_leaving(target)
            self._check_pauses(target)
        for limit in self._limits:
            self._check_limit(limit)
        return self.violations

    async def _state(
        self, target: platform_targets.TargetServer, statement: str
    ) -> None:
        if statement == 'leaving':
            staying = [item for item in self._targets if not item.leaving]
            # Enough targets must stay to serve all requests.
            target.leaving = len(staying) > len(self._targets) // 2 + 1
            return
        duration_s = self._rng.uniform(3.0, 8.0)
        if statement == 'pause':
            target.retry_after = f'{duration_s / 2:.2f}'
            target.fault = 'shed'
            await asyncio.sleep(duration_s)
            target.fault = target.retry_after = ''
            return
        limit = self.name_limit(target, self._rng.choice((0.5, 3.0, 12.0)))
        await asyncio.sleep(duration_s + CONTACT_S)
        target.limit_per_s = None
        limit.ended_s = self._loop.time()

    def _retract(self) -> None:
        for target in self._targets:
            target.limit_per_s = None
            target.retry_after = ''
        for limit in self._limits:
            limit.ended_s = min(limit.ended_s, self._loop.time())

    def _had_fault(self, host: str, since_s: float, until_s: float) -> bool:
        """Returns whether a restart, freeze or cut excuses a host."""
        return any(
            since_s <= at_s <= until_s for at_s in self._hosts[host].faults_s
        )

    def _arrivals(
        self, target: platform_targets.TargetServer
    ) -> list[tuple[float, SentRequest]]:
        return [
            (arrived_s, self.sent[_request_id(path)])
            for arrived_s, path in target.arrivals
            if _request_id(path) in self.sent
        ]

    def _check_leaving(self, target: platform_targets.TargetServer) -> None:
        for arrived_s, req in self._arrivals(target):
            told_s = self._told_leaving_s.get((req.host, target.name))
            if (
                told_s is not None
                and req.sent_s > told_s + DRAIN_S
                and not self._had_fault(req.host, told_s, arrived_s)
            ):
                self.violations.append(
                    f'{req.host} sent to {target.name} '
                    f'{arrived_s - told_s:.2f} s after its statement to leave'
                )

    def _check_pauses(self, target: platform_targets.TargetServer) -> None:
        arrivals = self._arrivals(target)
        for turned_away in target.pauses:
            asked = self.sent.get(_request_id(turned_away.path))
            if asked is None:
                continue
            start_s = turned_away.at_s + TOLD_AFTER_S
            end_s = turned_away.at_s + turned_away.pause_s
            late = [
                arrived_s
                for arrived_s, req in arrivals
                if req.host == asked.host and start_s < arrived_s < end_s
            ]
            if len(late) > MAX_REQUESTS_IN_PAUSE and not self._had_fault(
                asked.host, turned_away.at_s, late[-1]
            ):
                self.violations.append(
                    f'{asked.host} sent {len(late)} requests to {target.name} '
                    'in a pause'
                )

    def _check_limit(self, limit: NamedLimit) -> None:
        """Checks the arrivals from hosts that had been told half a second."""
        counted: collections.deque[float] = collections.deque()
        allowed = LIMIT_OVERAGE * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        for arrived_s, req in sorted(
            self._arrivals(limit.target), key=lambda item: item[0]
        ):
            told_s = self._told_limit_s.get((req.host, limit.target.name))
            if (
                not limit.named_s + CONTACT_S <= arrived_s < limit.ended_s
                or told_s is None
                or arrived_s < max(told_s, limit.named_s) + TOLD_AFTER_S
                or self._had_fault(req.host, limit.named_s, arrived_s)
            ):
                continue
            counted.append(arrived_s)
            while counted[0] <= arrived_s - LIMIT_WINDOW_S:
                counted.popleft()
            if len(counted) > allowed:
                self.violations.append(
                    f'{limit.target.name} with a limit of {limit.per_s} got '
                    f'{len(counted)} requests in {LIMIT_WINDOW_S} s'
                )
                return


def _request_id(path: str) -> str:
    return path.rpartition('/')[2]
