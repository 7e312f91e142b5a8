"""Calls to the store by cause, with whole hosts and the stand-in store.

All hosts run in one process, in four failure domains of two regions. Each scene
starts after the hosts have settled.

    python -m benchmarks.store_calls --hosts 24 --seconds 20 quiet silent
"""

import argparse
import asyncio
import collections
from collections import abc
import re

from ragwortchute import progress as progress_
from ragwortchute.gateway import application
from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.http import http_messages
from ragwortchute.platform import objects
from tests.test_gateway import host_deployment
from tests.test_gateway import rig as rigs
from tests.test_platform import test_adapter

_SETTLE_S = 6.0
_SAMPLE_S = 0.02
# A store that is silent for longer is left by its readers.
_SILENCE_S = 1.2
_PAUSE_S = 2.5
_WATCH = re.compile(r'watch=\d+&wait_ms=(\d+)')


class _CountingStore(objects.ObjectStore):
    """Client of the store that counts its calls by kind and cause."""

    def __init__(
        self, ip: str, port: int, calls: collections.Counter[tuple[str, str]]
    ) -> None:
        super().__init__(ip, port)
        self._calls = calls
        # Kinds whose last answer had changes.
        self._changed: set[str] = set()

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        extra_s: float = 0.0,
        progress: progress_.Progress | None = None,
    ) -> http_client.Reply:
        kind = path.split('/')[2].partition('?')[0]
        self._calls[kind, self._cause(kind, path)] += 1
        self._changed.discard(kind)
        reply = await super()._send(
            method, path, body, extra_s=extra_s, progress=progress
        )
        if b'"events":[{' in reply.body:
            self._changed.add(kind)
        return reply

    def _cause(self, kind: str, path: str) -> str:
        if kind == 'hosts':
            return 'registration'
        watch = _WATCH.search(path)
        if watch is None:
            return 'full read'
        if watch[1] == '0':
            return 'check'
        return 'renewal after change' if kind in self._changed else 'watch'


class _Deployment(host_deployment.Deployment):
    """Hosts whose calls to the store are counted.

    Attributes:
        calls: Number of calls by kind and cause.
        answering: Set while the store answers.
        oldest_s: Greatest age of a copy in seconds, by prefix.
        latest_s: Longest time in seconds until a change was in force.
    """

    def __init__(self) -> None:
        super().__init__()
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.answering = asyncio.Event()
        self.answering.set()
        self.oldest_s: dict[str, float] = {}
        self.latest_s = 0.0
        self._serve = self.server._serve

    def build(self, me: model.HostEntry) -> application.Gateway:
        """See base class."""
        host = super().build(me)
        host._store = _CountingStore('127.0.0.1', self.server.port, self.calls)
        return host

    async def serve(self, req: http_messages.Request) -> http_messages.Response:
        """Answers a call, late if the store is silent then."""
        response = await self._serve(req)
        await self.answering.wait()
        return response

    async def change(self, version: int) -> None:
        """Writes a configuration and waits until all hosts have it."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        cfg = {**test_adapter.CONFIG, 'config_version': version}
        await self.server.put('config', 'main', cfg)
        while any(host.state.cfg.version < version for host in self.hosts):
            await asyncio.sleep(_SAMPLE_S)
        self.latest_s = max(self.latest_s, loop.time() - started_s)

    async def sample_ages(self) -> None:
        """Notes the greatest ages of copies until cancelled."""
        while True:
            for host in self.hosts:
                for prefix, age_s in host.replica_ages_s().items():
                    oldest_s = self.oldest_s.get(prefix, 0.0)
                    self.oldest_s[prefix] = max(oldest_s, age_s)
            await asyncio.sleep(_SAMPLE_S)


async def _run_quiet(deployment: _Deployment) -> None:
    """Changes nothing."""


async def _run_changes(deployment: _Deployment) -> None:
    for version in range(10, 15):
        await deployment.change(version)
        await asyncio.sleep(_PAUSE_S)


async def _run_silent(deployment: _Deployment) -> None:
    for _ in range(3):
        await asyncio.sleep(_PAUSE_S)
        deployment.answering.clear()
        await asyncio.sleep(_SILENCE_S)
        deployment.answering.set()
    await deployment.change(20)


async def _run_killed(deployment: _Deployment) -> None:
    for version in (30, 31):
        reader = min(
            deployment.hosts,
            key=lambda host: (
                host.membership.me.incarnation,
                host.membership.me.name,
            ),
        )
        deployment.hosts.remove(reader)
        await reader.close()
        await deployment.change(version)
        await asyncio.sleep(2 * _PAUSE_S)


_SCENES: dict[str, abc.Callable[[_Deployment], abc.Awaitable[None]]] = {
    'quiet': _run_quiet,
    'changes': _run_changes,
    'silent': _run_silent,
    'killed': _run_killed,
}


async def _measure(scene: str, hosts: int, seconds: float) -> None:
    """Runs a scene and prints its figures."""
    loop = asyncio.get_running_loop()
    deployment = _Deployment()
    domains = list(rigs.DOMAINS)
    try:
        await deployment.start(
            *(domains[number % len(domains)] for number in range(hosts))
        )
        await asyncio.sleep(_SETTLE_S)
        deployment.server._listener.handler = deployment.serve
        deployment.calls.clear()
        sampling = asyncio.create_task(deployment.sample_ages())
        end_s = loop.time() + seconds
        await _SCENES[scene](deployment)
        await asyncio.sleep(max(0.0, end_s - loop.time()))
        sampling.cancel()
        _report(scene, deployment)
    finally:
        await deployment.stop()


def _report(scene: str, deployment: _Deployment) -> None:
    print(f'{scene}: {deployment.calls.total()} calls')
    for (kind, cause), count in sorted(deployment.calls.items()):
        print(f'  {kind}, {cause}: {count}')
    for prefix, age_s in sorted(deployment.oldest_s.items()):
        print(f'  greatest age of {prefix}: {age_s:.2f} s')
    if deployment.latest_s:
        print(f'  changes in force after {deployment.latest_s:.2f} s')


def main() -> None:
    """Prints the calls of each scene."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', type=int, default=24)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('scenes', nargs='*', help=', '.join(_SCENES))
    args = parser.parse_args()
    for scene in args.scenes or _SCENES:
        asyncio.run(_measure(scene, args.hosts, args.seconds))


if __name__ == '__main__':
    main()
