"""Tests of the parts of a host and of their restart."""

import asyncio
import random

import pytest

from ragwortchute.gateway import stats
from ragwortchute.gateway import supervisor
from tests.test_gateway import host_deployment
from tests.test_gateway import rig as rigs
from tests.test_gateway import test_store_follower


class FailureLog(rigs.MemoryLog):
    """Event log that expects failures."""

    def failure(self, kind, subject):
        self.event('error', step=kind, subject=subject)


class TestSupervisor:
    """A part that fails must run again (issue 30).

    The follower of the targets ended at an entry that it could not decode, and
    the host served with an old list until its end.
    """

    @pytest.fixture
    async def rig(self):
        self.log = FailureLog()
        self.stats = stats.Stats()
        self.runs = 0
        supervisor_ = supervisor.Supervisor(
            self.log, self.stats, random.Random(1)
        )
        yield supervisor_
        await supervisor_.close()

    async def fail_twice(self):
        self.runs += 1
        if self.runs < 3:
            raise RecursionError('nested')
        await asyncio.Event().wait()

    async def test_failed_part_is_started_again(self, rig):
        rig.spawn('p', self.fail_twice)
        await asyncio.sleep(1.0)
        assert self.runs == 3
        assert (
            self.log.lines == [('error', {'step': 'part', 'subject': 'p'})] * 2
        )
        assert self.stats.part_failures == {'p': 2}

    async def test_part_that_always_fails_does_not_spin(self, rig):
        async def fail():
            self.runs += 1
            raise ValueError

        rig.spawn('p', fail)
        await asyncio.sleep(1.0)
        assert 2 <= self.runs <= 6

    async def test_part_that_returns_is_not_started_again(self, rig):
        async def run():
            self.runs += 1

        rig.spawn('p', run)
        await asyncio.sleep(0.5)
        assert self.runs == 1

    async def test_close_ends_a_part_that_waits_for_its_restart(self, rig):
        rig.spawn('p', self.fail_twice)
        await asyncio.sleep(0)
        await rig.close()
        runs = self.runs
        await asyncio.sleep(0.5)
        assert self.runs == runs


class TestFollower:
    """A change during which a follower fails must not be lost."""

    async def test_change_is_applied_after_the_restart(self):
        rig = test_store_follower.Rig()
        await rig.start()
        supervisor_ = supervisor.Supervisor(
            FailureLog(), stats.Stats(), random.Random(1)
        )
        try:
            put = rig.feed.put

            def fail_once(obj, revision):
                rig.feed.put = put
                raise OverflowError

            await rig.server.put('things', 'a', 1)
            supervisor_.spawn('follower', rig.follower.run)
            await rig.until({'a': '1'})
            rig.feed.put = fail_once
            await rig.server.put('things', 'a', 2)
            await rig.until({'a': '2'})
        finally:
            await supervisor_.close()
            await rig.stop()


class TestHost:
    """All parts of a host must be started again."""

    async def test_host_learns_of_targets_after_a_failure(self, monkeypatch):
        deployment = host_deployment.Deployment()
        try:
            await deployment.start('a1')
            (host,) = deployment.hosts
            host.log.failure = lambda *args: host.log.event('error')
            await deployment.until(lambda: host.ready)
            set_target = host.state.set_target

            def fail_once(entry, revision):
                host.state.set_target = set_target
                raise OverflowError

            host.state.set_target = fail_once
            entry = deployment.targets[0].entry
            await deployment.server.put('servers', 'new', entry)
            await deployment.until(lambda: 'new' in host.state.targets)
            assert host.stats.part_failures == {'follower': 1}
        finally:
            await deployment.stop()
