"""Tests of hosts whose reader is lost or that have an old configuration."""

import asyncio

from tests.test_gateway import rig as rigs
from tests.test_platform import test_adapter


class TestReaderLoss:
    """The loss of a reader must not make all hosts read the store at once."""

    async def test_few_hosts_read_the_store(self, deployment):
        # Its answers to 30 hosts filled a link between regions for 2 s.
        await deployment.start(*['a1'] * 10)
        await asyncio.sleep(3.0)
        reader = deployment.hosts.pop(0)
        marks = [len(host.log.lines) for host in deployment.hosts]
        await reader.close()
        newer = {**test_adapter.CONFIG, 'config_version': 9}
        await deployment.server.put('config', 'main', newer)
        await deployment.until(
            lambda: all(
                host.state.cfg.version == 9 for host in deployment.hosts
            ),
            2.0,
        )
        turned = ('source', {'prefix': 'config/', 'source': 'store'})
        lines = [
            host.log.lines[mark:]
            for host, mark in zip(deployment.hosts, marks, strict=True)
        ]
        assert sum(turned in each for each in lines) <= 4


class TestOldCopies:
    """No request may be decided by a configuration known to be too old."""

    async def test_newer_one_is_known(self, deployment):
        await deployment.start('a1')
        await deployment.until(lambda: deployment.hosts[0].ready)
        host = deployment.hosts[0]
        follower = host._followers['config/']
        newer = rigs.host('h9', 'a1')
        host._on_peer_revision(newer, 'config/', follower.known_revision + 9)
        await asyncio.sleep(0)
        assert not host._is_outdated()
        now_s = asyncio.get_running_loop().time()
        follower.replica.confirmed_s = now_s - 2.1
        assert host._is_outdated()


class TestQuietStore:
    """Watches that only confirm a copy must be few, as each is billed."""

    async def test_one_reader_of_a_region_confirms(self, deployment):
        await deployment.start('a1', 'a2')
        await asyncio.sleep(3.0)
        calls = deployment.server.calls['GET config']
        await asyncio.sleep(6.0)
        # Both readers together sent 10.
        assert deployment.server.calls['GET config'] - calls <= 8
        for host in deployment.hosts:
            assert host.replica_ages_s()['config/'] < 1.5
