"""Tests of readers of the store whose replica another reader confirms."""

import asyncio

import pytest

from ragwortchute import stores
from ragwortchute.gateway.store import source_choice
from tests.test_gateway import test_replica_sources
from tests.test_gateway import test_store_follower


class TestConfirmingReader:
    """Confirmations must need few calls, and end none of the bounds."""

    @pytest.fixture
    async def rig(self):
        rig = test_store_follower.Rig()
        await rig.start()
        rig.feed.watch_timeout_s, rig.feed.max_age_s = 0.4, 1.0
        self.first = test_replica_sources.ReplicaStore()
        rig.confirming = lambda: source_choice.Source('h1', self.first)
        await rig.server.put('things', 'a', 1)
        obj = stores.StoredObject('a', rig.server.revision, b'1')
        self.first.replica.replace((obj,), rig.server.revision)
        rig.follow()
        await self.confirm(1.0)
        yield rig
        await rig.stop()

    async def confirm(self, seconds):
        for _ in range(int(seconds / 0.1)):
            self.first.replica.confirm(asyncio.get_running_loop().time())
            await asyncio.sleep(0.1)

    async def test_store_is_watched_for_changes_only(self, rig):
        # Both readers of a region sent a watch every 1.2 s for confirmations.
        calls = rig.server.calls.total()
        await self.confirm(2.0)
        assert rig.server.calls.total() == calls
        await rig.server.put('things', 'a', 2)
        await rig.until({'a': '2'}, 0.2)

    @pytest.mark.parametrize('failing', [False, True])
    async def test_store_is_asked_if_the_other_stops(self, rig, failing):
        self.first.failing = failing
        rig.server.suppress_events = True
        await rig.server.put('things', 'a', 2)
        await rig.until({'a': '2'}, 0.9)
        assert 'replica-old' not in rig.log.kinds()
        # Its own watches confirm the replica from now on.
        calls = rig.server.calls.total()
        await asyncio.sleep(2.0)
        assert 3 <= rig.server.calls.total() - calls <= 7
        assert 'replica-old' not in rig.log.kinds()
