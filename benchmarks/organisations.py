"""Measures what organisations cost each request and each configuration.

Builds the index of 10,000 organisations with two keys each and measures the
identification of requests, the check before each send, and the time and memory
of the index. Each figure is the median of several rounds.

    python -m benchmarks.organisations
"""

import asyncio
from collections import abc
import gc
import itertools
import random
import statistics
import time
import tracemalloc

from ragwortchute.gateway import attempts
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import host_state
from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.organisations import identity
from ragwortchute.gateway.organisations import key_index
from ragwortchute.platform import wire

ORGANISATIONS = 10_000
KEYS_EACH = 2
ROUNDS = 9
REQUESTS_PER_ROUND = 20_000
HEADERS = [
    (b'user-agent', b'caller/1.0'),
    (b'accept', b'application/json'),
    (b'x-request-id', b'0123456789abcdef'),
    (b'x-request-deadline-ms', b'1500'),
    (b'content-type', b'application/json'),
]
ROUTE = model.Route(
    'r',
    'example',
    '/r/',
    True,
    1.0,
    0.2,
    1,
    (model.WeightedService('s', 1.0),),
    2,
    ('a', 'b'),
)


def make_organisations(seed: int) -> dict[str, model.Organisation]:
    """Returns organisations with random keys."""
    rng = random.Random(seed)
    return {
        f'organisation-{number}': model.Organisation(
            f'organisation-{number}',
            frozenset(f'{rng.getrandbits(128):032x}' for _ in range(KEYS_EACH)),
            1,
            homes=('a',),
        )
        for number in range(ORGANISATIONS)
    }


def configuration(
    organisations: dict[str, model.Organisation],
) -> model.Configuration:
    """Returns a configuration with one route and these organisations."""
    return model.Configuration(1, (ROUTE,), {}, model.Limits(), organisations)


def median_us(run: abc.Callable[[], None], count: int) -> float:
    """Returns the median time of one of `count` steps, in microseconds."""
    times = []
    for _ in range(ROUNDS):
        gc.collect()
        started_s = time.perf_counter()
        run()
        times.append((time.perf_counter() - started_s) / count * 1e6)
    return statistics.median(times)


class Requests:
    """Requests that a host identifies.

    Args:
        state: Configuration in force.
        keys: Keys that the requests bear in turn.
    """

    def __init__(self, state: host_state.HostState, keys: list[str]) -> None:
        self._state = state
        self._keys = [key.encode() for key in keys]
        self._gone = asyncio.get_running_loop().create_future()
        self.identity = identity.Identity(
            state, wire.PlatformDialect(), lambda: True
        )
        self.calls: list[attempts.Call] = []

    def make(self, number: int) -> http_messages.Request:
        """Returns a request with one of the keys."""
        key = self._keys[number % len(self._keys)]
        headers = [*HEADERS, (b'x-credential', key)]
        return http_messages.Request(
            'GET', '/r/x', 'example', headers, [], 0.0, self._gone
        )

    def build(self) -> None:
        """Builds requests and calls without identifying them."""
        self.calls = [
            attempts.Call(self.make(number), b'', ROUTE, 's', 0.0)
            for number in range(REQUESTS_PER_ROUND)
        ]

    def identify(self) -> None:
        """Builds and identifies requests."""
        self.build()
        for call in self.calls:
            caller = self.identity.identify(call.req, ROUTE, relayed=False)
            if isinstance(caller, identity.Caller):
                self.identity.assign(call, caller)

    def recheck(self) -> None:
        """Checks identified requests before a send."""
        for call in self.calls:
            self.identity.recheck(call)


async def main() -> None:
    """Prints the figures."""
    organisations = make_organisations(1)
    keys = [key for item in organisations.values() for key in item.keys]
    random.Random(2).shuffle(keys)
    cfg = configuration(organisations)
    log = eventlog.EventLog('bench', 2)
    state = host_state.HostState(wire.PlatformDialect(), {'z': 'a'}, 'z', log)
    state.set_configuration(1, cfg)
    requests = Requests(state, keys)
    count = REQUESTS_PER_ROUND
    base_us = median_us(requests.build, count)
    known_us = median_us(requests.identify, count) - base_us
    recheck_us = median_us(requests.recheck, count)
    versions = itertools.cycle([configuration(organisations), cfg])

    def recheck_after_change() -> None:
        state.cfg = next(versions)
        requests.recheck()

    changed_us = median_us(recheck_after_change, count)
    unknown = Requests(state, [f'unknown-{number}' for number in range(1000)])
    unknown_us = median_us(unknown.identify, count) - base_us
    index = key_index.KeyIndex(organisations)
    build_us = median_us(lambda: key_index.KeyIndex(organisations, index), 1)
    tracemalloc.start()
    kept = key_index.KeyIndex(organisations, index)
    index_bytes, _ = tracemalloc.get_traced_memory()
    print(f'{len(kept)} keys of {ORGANISATIONS} organisations')
    print(f'identify a known key    {known_us:6.2f} us')
    print(f'identify an unknown key {unknown_us:6.2f} us')
    print(f'check before a send     {recheck_us:6.2f} us')
    print(f'after a change          {changed_us:6.2f} us')
    print(f'build the index         {build_us / 1000:6.2f} ms')
    print(f'memory of the index     {index_bytes / 1e6:6.2f} MB')


if __name__ == '__main__':
    asyncio.run(main())
