"""Routes that come and go in a run, and whether hosts keep up with them.

A host that reaches the store has to answer by a version of the configuration
two seconds after the store has accepted it, also while the hosts that it reads
copies from are stopped, paused or cut off from the store. The checker sees when
a version was accepted and what a host answers to a request.
"""

import asyncio
from collections import abc
import random

import msgspec

from benchmarks.soak import disruptions
from benchmarks.soak import hosts as hosts_

# Bound that the platform documents.
CONFIG_S = 2.0
# Routes that a version has beside those of the callers.
MAX_ROUTES = 2
_NO_ROUTE = 404
_SERVED = 200


class Route(msgspec.Struct):
    """A route of this checker.

    Attributes:
        prefix: Its path without slashes.
        added_s: Loop time at which the store had accepted it, in seconds.
        removed_s: Loop time at which the store had accepted its removal.
    """

    prefix: str
    added_s: float
    removed_s: float = float('inf')


class Answer(msgspec.Struct, frozen=True):
    """An answer of a host to a request on a route of this checker.

    Attributes:
        host: Name of the host.
        route: The route.
        sent_s: Loop time of the request in seconds.
        answered_s: Loop time of the answer in seconds.
        status: Status of the answer; 0 if there was none.
    """

    host: str
    route: Route
    sent_s: float
    answered_s: float
    status: int


class ConfigurationChecker:
    """Checks that hosts in touch with the store answer by the newest version.

    Args:
        seed: Seed of the changes and requests.
        hosts: The hosts.
        store_disruptions: Disruptions of the store itself.

    Attributes:
        routes: Routes of all versions, the oldest first.
        answers: Answers to the requests of this checker.
    """

    def __init__(
        self,
        seed: int,
        hosts: list[hosts_.Host],
        store_disruptions: disruptions.Disruptions,
    ) -> None:
        self._rng = random.Random(f'{seed}/configurations')
        self._hosts = {host.name: host for host in hosts}
        self._store_disruptions = store_disruptions
        self._loop = asyncio.get_running_loop()
        self.routes: list[Route] = []
        self.answers: list[Answer] = []

    def prefixes(self, version: int) -> list[str]:
        """Returns the paths of the routes that a new version has."""
        current = [
            route.prefix
            for route in self.routes
            if route.removed_s == float('inf')
        ]
        return [*current, f'v{version}'][-MAX_ROUTES:]

    def note_accepted(self, prefixes: list[str]) -> None:
        """Notes that the store has accepted a version with these routes."""
        now_s = self._loop.time()
        known = {route.prefix for route in self.routes}
        for route in self.routes:
            if route.prefix not in prefixes:
                route.removed_s = min(route.removed_s, now_s)
        self.routes += [
            Route(prefix, now_s) for prefix in prefixes if prefix not in known
        ]

    async def change(
        self, configure: abc.Callable[[random.Random], abc.Awaitable[None]]
    ) -> None:
        """Writes new versions until cancelled.

        Args:
            configure: Writes a version.
        """
        while True:
            await asyncio.sleep(self._rng.uniform(0.3, 1.5))
            await configure(self._rng)

    async def send(
        self, call: abc.Callable[[hosts_.Host, str], abc.Awaitable[int]]
    ) -> None:
        """Sends requests on old and new routes to all hosts until cancelled.

        Args:
            call: Sends a request to a host on a path and returns the status.
        """
        while True:
            await asyncio.sleep(0.02)
            if not self.routes:
                continue
            host = self._rng.choice(list(self._hosts.values()))
            route = self._rng.choice(self.routes[-2 * MAX_ROUTES :])
            sent_s = self._loop.time()
            status = await call(host, route.prefix)
            self.answers.append(
                Answer(host.name, route, sent_s, self._loop.time(), status)
            )

    def check(self) -> list[str]:
        """Checks all answers and returns the violations."""
        return [
            f'{answer.host} answered {answer.status} on {answer.route.prefix}, '
            f'added {answer.sent_s - answer.route.added_s:.2f} s and removed '
            f'{answer.sent_s - answer.route.removed_s:.2f} s before'
            for answer in self.answers
            if self._is_outdated(answer) and self._was_in_touch(answer)
        ]

    def _is_outdated(self, answer: Answer) -> bool:
        """Returns whether only an older version allows an answer."""
        route = answer.route
        if answer.status == _NO_ROUTE:
            return (
                answer.sent_s > route.added_s + CONFIG_S
                and answer.answered_s < route.removed_s
            )
        return (
            answer.status == _SERVED
            and answer.sent_s > route.removed_s + CONFIG_S
        )

    def _was_in_touch(self, answer: Answer) -> bool:
        """Returns whether a host had reached the store for long enough."""
        since_s = answer.sent_s - hosts_.CONTACT_S
        return not (
            self._hosts[answer.host].disruptions.overlap(
                since_s, answer.answered_s
            )
            or self._store_disruptions.overlap(since_s, answer.answered_s)
        )


def route_spec(
    name: str,
    idempotent: bool,
    timeout_s: float,
    service: str = 'svc',
    target_latency_s: float = 0.2,
) -> dict[str, object]:
    """Returns the entry of a route in a version of the configuration.

    Args:
        name: Its name, and its path without slashes.
        idempotent: Whether its requests may be repeated.
        timeout_s: Timeout in seconds.
        service: Service that its requests go to.
        target_latency_s: Latency objective in seconds.
    """
    return {
        'name': name,
        'hostname': 'soak.example',
        'path_prefix': f'/{name}/',
        'route_type': 'idempotent' if idempotent else 'non_idempotent',
        'timeout_s': timeout_s,
        'target_latency_s': target_latency_s,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'allowed_regions': [],
    }


def configuration_spec(
    version: int, routes: list[dict[str, object]], services: tuple[str, ...]
) -> dict[str, object]:
    """Returns a version of the configuration.

    Args:
        version: Its number.
        routes: Its routes.
        services: Names of its services.
    """
    return {
        'config_version': version,
        'routes': routes,
        'services': [service_spec(name) for name in services],
        'limits': {'idle_timeout_s': 10},
    }


def service_spec(name: str) -> dict[str, object]:
    """Returns the entry of a service in a version of the configuration."""
    return {
        'name': name,
        'health_path': '/health',
        'max_conns': 200,
        'warmup_s': 2.0,
        'warmup_per_s': 10.0,
    }
