"""Rollouts of good and bad versions during a soak, and their checks."""

import asyncio
from collections import abc
import random
import time

import msgspec

from benchmarks.soak import configurations
from benchmarks.soak import hosts as hosts_
from standins import platform_store
from standins import platform_targets

SERVICE = 'roll'
ROUTE = 'roll'
TIMEOUT_S = 1.0
DURATION_S = 8.0
TARGETS = 4
CALLS_PER_S = 60.0
# Of the requests to a bad version, each third one fails.
ERROR_EVERY = 3
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
# A host may act on a copy of the record that is not confirmed for 1.2 s, and
# may hold a request that it has just chosen a target for.
ROLLBACK_LIMIT_S = 3.0
# Outcomes of a good version that faults of hosts and the store may lead to.
EXCUSED_REASONS = frozenset({'too-little-evidence', 'no-target'})
_POLL_S = 0.05
_PAUSE_S = 1.0


class Rollout(msgspec.Struct):
    """A rollout that was ordered.

    Attributes:
        version: The version.
        good: Whether the version works.
        ordered_s: Loop time of the order in seconds.
        old: Targets of the old version.
        new: Targets of the version.
        outcome: State at the end, empty before.
        reason: Reason of a roll-back.
        ended_s: Loop time of the end in seconds.
        unfinished: Requests that were running at old targets at that time.
    """

    version: str
    good: bool
    ordered_s: float
    old: list[platform_targets.TargetServer]
    new: list[platform_targets.TargetServer]
    outcome: str = ''
    reason: str = ''
    ended_s: float = float('inf')
    unfinished: list[str] = []


class RolloutChecker:
    """Orders rollouts of a service of its own and checks them.

    Args:
        seed: Seed of the choice of hosts, and of which version is good first.
        hosts: The hosts.
        store: The store.
    """

    def __init__(
        self,
        seed: int,
        hosts: list[hosts_.Host],
        store: platform_store.ObjectServer,
    ) -> None:
        self._seed = seed
        self._rng = random.Random(f'rollouts/{seed}')
        self._hosts = hosts
        self._store = store
        self._loop = asyncio.get_running_loop()
        self._targets: list[platform_targets.TargetServer] = []
        self._current: list[platform_targets.TargetServer] = []
        self.rollouts: list[Rollout] = []

    async def start(self) -> None:
        """Starts targets of the first version."""
        self._current = await self._add_targets('v0', 0)

    async def stop(self) -> None:
        """Stops all targets."""
        for target in self._targets:
            await target.stop()

    async def run(
        self, call: abc.Callable[[hosts_.Host, str], abc.Awaitable[int]]
    ) -> None:
        """Sends requests and orders rollouts until cancelled.

        Args:
            call: Sends a request to a host and a route.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._order_all())
            while True:
                group.create_task(call(self._rng.choice(self._hosts), ROUTE))
                await asyncio.sleep(1 / CALLS_PER_S)

    def check(self) -> list[str]:
        """Returns the violations found."""
        return [
            f'rollout of {rollout.version}: {violation}'
            for rollout in self.rollouts
            for violation in _violations(rollout)
        ]

    def summary(self) -> list[str]:
        """Returns the outcome of each rollout."""
        return [
            f'{"good" if item.good else "bad"} {item.outcome or "running"} '
            f'{item.reason}'.strip()
            for item in self.rollouts
        ]

    async def _order_all(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(_PAUSE_S)
            number += 1
            await self._order(f'v{number}', (self._seed + number) % 2 == 0)

    async def _order(self, version: str, good: bool) -> None:
        """Orders a rollout and waits for its outcome."""
        new = await self._add_targets(version, 0 if good else ERROR_EVERY)
        rollout = Rollout(version, good, self._loop.time(), self._current, new)
        self.rollouts.append(rollout)
        spec = {
            'service': SERVICE,
            'target_version': version,
            'duration_s': DURATION_S,
        }
        await self._store.put('rollouts', SERVICE, spec)
        while True:
            status = self._store.status('rollouts', SERVICE)
            if status.get('state') in ('succeeded', 'rolled_back'):
                break
            await asyncio.sleep(_POLL_S)
        rollout.ended_s = self._loop.time()
        rollout.outcome = status['state']
        rollout.reason = status.get('reason', '')
        rollout.unfinished = [
            run.request_id
            for target in rollout.old
            for run in target.runs
            if not run.ended
        ]
        await asyncio.sleep(ROLLBACK_LIMIT_S + _PAUSE_S)
        gone = new
        if rollout.outcome == 'succeeded':
            gone, self._current = rollout.old, new
        for target in gone:
            await self._store.delete('servers', target.name)
        await self._store.delete('rollouts', SERVICE)

    async def _add_targets(
        self, version: str, error_every: int
    ) -> list[platform_targets.TargetServer]:
        targets = []
        for number in range(TARGETS):
            domain = list(hosts_.DOMAINS)[number % len(hosts_.DOMAINS)]
            target = platform_targets.TargetServer(
                f'{ROUTE}-{version}-{number}', SERVICE, domain, work_s=0.02
            )
            target.version = version
            target.error_every = error_every
            target.born_ms = int(time.time() * 1000)
            await target.start()
            self._targets.append(target)
            await self._store.put('servers', target.name, target.entry)
            targets.append(target)
        return targets


def route_spec() -> dict[str, object]:
    """Returns the route of the service in a version of the configuration."""
    return configurations.route_spec(ROUTE, True, TIMEOUT_S, SERVICE)


def _arrivals(
    targets: list[platform_targets.TargetServer], since_s: float, until_s: float
) -> int:
    """Returns the number of requests that reached targets in a time."""
    return sum(
        since_s <= arrived_s <= until_s
        for target in targets
        for arrived_s, _ in target.arrivals
    )


def _violations(rollout: Rollout) -> abc.Iterator[str]:
    """Yields what was wrong with a rollout."""
    ordered_s, ended_s = rollout.ordered_s, rollout.ended_s
    if early := _arrivals(rollout.new, 0.0, ordered_s):
        yield f'{early} requests before the order'
    if not rollout.good:
        until_s = min(ordered_s + DURATION_S, ended_s)
        sent = _arrivals(rollout.new, ordered_s, until_s)
        total = sent + _arrivals(rollout.old, ordered_s, until_s)
        if sent > EXPOSE_SHARE * total + EXPOSE_SLACK:
            yield f'{sent} of {total} requests to a bad version'
    if rollout.outcome == 'succeeded':
        if not rollout.good:
            yield 'a bad version succeeded'
        if rollout.unfinished:
            yield f'{rollout.unfinished[:3]} were running at old targets'
        if late := _arrivals(rollout.old, ended_s, float('inf')):
            yield f'{late} requests to old targets after the end'
    elif rollout.outcome == 'rolled_back':
        if rollout.good and rollout.reason not in EXCUSED_REASONS:
            yield f'a good version was rolled back: {rollout.reason}'
        limit_s = ended_s + ROLLBACK_LIMIT_S
        if late := _arrivals(rollout.new, limit_s, float('inf')):
            yield f'{late} requests long after it was rolled back'
