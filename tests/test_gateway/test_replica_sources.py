"""Tests of hosts that read replicas of other hosts."""

import asyncio

import msgspec
import pytest

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway.store import replica
from ragwortchute.gateway.store import source_choice
from tests.test_gateway import test_store_follower


@pytest.fixture
async def rig():
    rig = test_store_follower.Rig()
    await rig.start()
    yield rig
    await rig.stop()


class ReplicaStore(stores.Store):
    """Client of another host's replica, without a network."""

    def __init__(self):
        self.replica = replica.Replica()
        self.failing = False
        self.longest_wait_s = 0.2

    async def get(self, name):
        raise NotImplementedError

    async def list(self, prefix):
        raise NotImplementedError

    async def put(self, name, value, *, expected_version):
        raise NotImplementedError

    async def watch(
        self,
        prefix,
        *,
        after_revision,
        timeout_s,
        may_be_stale=False,
        progress=None,
    ):
        asked_s = asyncio.get_running_loop().time()
        if self.failing:
            raise errors.StoreUnavailable('down')
        if after_revision:
            wait_s = min(timeout_s, self.longest_wait_s)
            await self.replica.wait(after_revision, wait_s)
        return msgspec.structs.replace(
            self.replica.read(after_revision),
            confirmed_after_s=self.replica.confirmed_s - asked_s,
        )

    async def close(self):
        pass


class SlowReplicaStore(ReplicaStore):
    """Replica whose answers to a watch arrive in several parts."""

    PARTS = 8
    PART_S = 0.1

    async def watch(self, prefix, *, after_revision, progress, **kwargs):
        if after_revision:
            for _ in range(self.PARTS):
                await asyncio.sleep(self.PART_S)
                progress.note_part()
        return await super().watch(
            prefix, after_revision=after_revision, progress=progress, **kwargs
        )


class BusyStore(ReplicaStore):
    """Store whose answers are late because many hosts ask it."""

    calls = 0

    async def watch(self, prefix, **kwargs):
        self.calls += 1
        await asyncio.sleep(0.7)
        return await super().watch(prefix, **kwargs)


class LostWatchStore(ReplicaStore):
    """Store that does not answer watches that wait, while others can ask."""

    def __init__(self):
        super().__init__()
        self.waits_s = []
        self.lossy = False
        self.delay_s = 0.0

    async def watch(self, prefix, *, timeout_s, **kwargs):
        self.waits_s.append(timeout_s)
        if self.lossy and timeout_s:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.delay_s)
        self.replica.confirm(asyncio.get_running_loop().time())
        return await super().watch(prefix, timeout_s=timeout_s, **kwargs)


class TestOverdueWatches:
    """A reader whose watch is overdue must ask before hosts that read it."""

    WATCH_S = 0.8
    MAX_AGE_S = 1.4

    async def start(self, rig):
        store, self.other = LostWatchStore(), ReplicaStore()
        store.replica.replace((stores.StoredObject('a', 1, b'1'),), 1)
        rig.feed.watch_timeout_s = self.WATCH_S
        rig.feed.max_age_s = self.MAX_AGE_S
        rig.sources = lambda: [
            source_choice.Source('', store),
            source_choice.Source('h2', self.other),
        ]
        rig.follow()
        await rig.until({'a': '1'})
        return store

    async def test_store_is_asked_again(self, rig):
        # Otherwise, hundreds of hosts with the same copy checked the store.
        store = await self.start(rig)
        store.lossy = True
        changed = stores.StoredObject('a', 2, b'2')
        await asyncio.sleep(self.WATCH_S)
        store.replica.apply(stores.WatchAnswer(2, (changed,)))
        await rig.until({'a': '2'}, self.MAX_AGE_S - self.WATCH_S)
        await asyncio.sleep(1.0)
        assert 'replica-old' not in rig.log.kinds()
        assert 0 in store.waits_s

    async def test_late_answer_brings_the_reader_back(self, rig):
        # Two readers that had left the store read each other for 1 s more.
        store = await self.start(rig)
        store.lossy, store.delay_s = True, 0.6
        self.other.longest_wait_s = 1.0
        self.other.replica.replace((stores.StoredObject('a', 1, b'1'),), 1)
        for _ in range(200):
            if ('source', {'prefix': 'things/', 'source': 'h2'}) in (
                rig.log.lines
            ):
                break
            await asyncio.sleep(0.01)
        store.lossy = False
        changed = stores.StoredObject('a', 2, b'2')
        store.replica.apply(stores.WatchAnswer(2, (changed,)))
        await rig.until({'a': '2'}, 0.38)
        await asyncio.sleep(0.1)
        assert not rig.follower._source_name

    async def test_store_that_answers_in_time_is_not_asked_again(self, rig):
        store = await self.start(rig)
        await asyncio.sleep(2.0)
        assert 0 not in store.waits_s[1:]


class TestArrivingAnswers:
    """An answer that is arriving must not be given up for another source."""

    @pytest.fixture
    async def slow(self, rig):
        slow = SlowReplicaStore()
        obj = stores.StoredObject('a', 5, b'1')
        slow.replica.replace((obj,), 5)
        slow.replica.confirm(asyncio.get_running_loop().time())
        rig.other = slow
        rig.feed.max_age_s = 0.3
        rig.follow()
        await rig.until({'a': '1'})
        changed = stores.StoredObject('a', 6, b'2')
        slow.replica.apply(stores.WatchAnswer(6, (changed,)))
        return slow

    async def test_age_of_the_replica_does_not_end_it(self, rig, slow):
        await rig.until({'a': '2'}, SlowReplicaStore.PARTS * 0.15)
        assert rig.server.calls.total() == 0

    async def test_news_of_another_host_does_not_end_it(self, rig, slow):
        newer = ReplicaStore()
        newer.failing = True
        await asyncio.sleep(SlowReplicaStore.PART_S * 1.5)
        rig.follower.on_newer_revision(6, source_choice.Source('h3', newer))
        await rig.until({'a': '2'}, SlowReplicaStore.PARTS * 0.15)
        assert 'behind' not in rig.log.kinds()


class TestReplicaSources:
    """A replica that fails or is outdated must not delay its readers."""

    async def test_replica_is_read_instead_of_the_store(self, rig):
        rig.other = ReplicaStore()
        obj = stores.StoredObject('a', 5, b'1')
        rig.other.replica.replace((obj,), 5)
        rig.follow()
        await rig.until({'a': '1'})
        changed = stores.StoredObject('a', 6, b'2')
        rig.other.replica.apply(stores.WatchAnswer(6, (changed,)))
        await rig.until({'a': '2'})
        assert rig.server.calls.total() == 0

    async def test_new_reader_does_not_wait_long_for_a_silent_store(self, rig):
        # The reader of a failure domain stops while the store is silent, and
        # this host takes its place. A watch of 4 s would still be pending when
        # the store is back.
        rig.other = ReplicaStore()
        rig.other.replica.replace((), rig.server.revision)
        rig.follow()
        await asyncio.sleep(0.1)
        rig.server.mode = 'silent'
        rig.other = None
        await asyncio.sleep(1.0)
        rig.server.mode = 'up'
        await rig.server.put('things', 'a', 1)
        await rig.until({'a': '1'}, 2.5)

    async def test_failing_replica_leads_to_the_store(self, rig):
        await rig.server.put('things', 'a', 1)
        rig.other = ReplicaStore()
        rig.other.failing = True
        rig.follow()
        await rig.until({'a': '1'})

    @pytest.mark.parametrize('heard', [False, True])
    async def test_failed_host_is_left_until_it_is_heard_of(
        self, monkeypatch, rig, heard
    ):
        monkeypatch.setattr(source_choice, 'RETRY_S', 0.1)
        choice = source_choice.SourceChoice(
            lambda: [
                source_choice.Source('h2', rig.store, self.heard_s),
                rig.store_source(),
            ]
        )
        loop = asyncio.get_running_loop()
        self.heard_s = loop.time() - 0.1
        assert choice.first_usable().name == 'h2'
        choice.note_failure('h2')
        await asyncio.sleep(0.2)
        if heard:
            self.heard_s = loop.time()
        assert choice.first_usable().name == ('h2' if heard else '')

    async def test_replica_with_the_newer_revision_is_read(self, rig):
        # The store is unresponsive, and the first replica has missed the
        # change as well. Trying the sources in order took 3 s.
        old = stores.StoredObject('a', 1, b'1')
        new = stores.StoredObject('a', 9, b'2')
        rig.other, third = ReplicaStore(), ReplicaStore()
        rig.other.replica.replace((old,), 1)
        third.replica.replace((new,), 9)
        rig.follow()
        await rig.until({'a': '1'})
        rig.server.mode = 'silent'
        rig.follower.on_newer_revision(9, source_choice.Source('h3', third))
        await rig.until({'a': '2'}, 1.0)

    async def test_reader_of_the_store_returns_to_it_soon(self, rig):
        # Two of them read each other for 2 s and had no news of the store.
        await rig.server.put('things', 'a', 1)
        other = ReplicaStore()
        rig.sources = lambda: [
            rig.store_source(),
            source_choice.Source('h2', other),
        ]
        rig.follow()
        await rig.until({'a': '1'})
        new = stores.StoredObject('a', rig.server.revision + 1, b'2')
        other.replica.replace((new,), new.version)
        source = source_choice.Source('h2', other)
        rig.follower.on_newer_revision(new.version, source)
        await rig.until({'a': '2'})
        for value in (2, 3):
            await rig.server.put('things', 'a', value)
        await rig.until({'a': '3'}, 1.2)

    async def test_outdated_replica_is_abandoned(self, rig):
        # The host that reads the store has lost the connection to it.
        rig.other = ReplicaStore()
        obj = stores.StoredObject('a', 1, b'1')
        rig.other.replica.replace((obj,), 1)
        rig.follow()
        await rig.until({'a': '1'})
        revision = await rig.server.put('things', 'a', 2)
        rig.follower.on_newer_revision(revision, rig.store_source())
        await rig.until({'a': '2'}, 1.5)


class TestAge:
    """A replica that nobody confirms must not be relied on for long."""

    async def test_source_that_confirms_nothing_leads_to_the_store(self, rig):
        rig.feed.max_age_s = 0.5
        rig.other = ReplicaStore()
        rig.other.replica.replace((stores.StoredObject('a', 1, b'1'),), 1)
        rig.other.replica.confirm(asyncio.get_running_loop().time())
        rig.follow()
        await rig.until({'a': '1'})
        await rig.server.put('things', 'a', 2)
        await rig.until({'a': '2'}, 0.6)

    @pytest.mark.parametrize('confirmed', [False, True])
    async def test_older_host_is_read_before_the_store(self, rig, confirmed):
        # All hosts of a failure domain have a copy of the same age.
        rig.feed.max_age_s = 0.5
        loop = asyncio.get_running_loop()
        old = stores.StoredObject('a', 1, b'1')
        rig.other, deputy = ReplicaStore(), ReplicaStore()
        for store in (rig.other, deputy):
            store.replica.replace((old,), 1)
            store.replica.confirm(loop.time())
        rig.sources = lambda: [
            source_choice.Source('h2', rig.other),
            source_choice.Source('h3', deputy),
            rig.store_source(),
        ]
        rig.follow()
        await rig.until({'a': '1'})
        await rig.server.put('things', 'a', 2)
        if confirmed:
            new = stores.StoredObject('a', rig.server.revision, b'2')
            await asyncio.sleep(0.4)
            deputy.replica.apply(stores.WatchAnswer(new.version, (new,)))
            deputy.replica.confirm(loop.time())
        await rig.until({'a': '2'}, 1.2)
        assert rig.server.calls.total() == (0 if confirmed else 1)

    async def test_check_of_the_store_is_not_given_up(self, rig):
        # It gave the answer up after 0.4 s and asked for all of it again.
        rig.feed.max_age_s = 0.5
        old, new = (stores.StoredObject('a', n, b'%d' % n) for n in (1, 2))
        rig.other, store = ReplicaStore(), BusyStore()
        rig.other.replica.replace((old,), 1)
        rig.other.replica.confirm(asyncio.get_running_loop().time())
        store.replica.replace((old,), 1)
        store.replica.apply(stores.WatchAnswer(2, (new,)))
        rig.sources = lambda: [
            source_choice.Source('h2', rig.other),
            source_choice.Source('', store),
        ]
        rig.follow()
        await rig.until({'a': '1'})
        await rig.until({'a': '2'}, 1.4)
        assert store.calls == 1

    async def test_confirmed_replica_causes_no_call(self, rig):
        rig.feed.max_age_s = 0.5
        loop = asyncio.get_running_loop()
        rig.other = ReplicaStore()
        rig.other.replica.replace((stores.StoredObject('a', 1, b'1'),), 1)
        rig.follow()
        for _ in range(15):
            rig.other.replica.confirm(loop.time())
            await asyncio.sleep(0.1)
        assert rig.server.calls.total() == 0

    async def test_check_of_the_store_is_one_call(self, rig):
        # Hundreds of hosts may read a replica that was not confirmed in time.
        rig.feed.max_age_s = 0.5
        rig.feed.watch_timeout_s = 0.3
        loop = asyncio.get_running_loop()
        rig.other = ReplicaStore()
        rig.other.replica.replace((stores.StoredObject('a', 1, b'1'),), 1)
        rig.other.replica.confirm(loop.time())
        rig.follow()
        await asyncio.sleep(0.7)
        for _ in range(15):
            rig.other.replica.confirm(loop.time())
            await asyncio.sleep(0.1)
        assert rig.server.calls.total() == 1

    async def test_other_replica_is_read_if_the_check_fails(self, rig):
        rig.feed.max_age_s = 0.5
        rig.other, third = ReplicaStore(), ReplicaStore()
        rig.other.replica.replace((stores.StoredObject('a', 1, b'1'),), 1)
        rig.other.replica.confirm(asyncio.get_running_loop().time())
        third.replica.replace((stores.StoredObject('a', 9, b'2'),), 9)
        sources = rig.sources
        rig.sources = lambda: [
            *sources(),
            source_choice.Source('h3', third),
        ]
        rig.server.mode = 'busy'
        rig.follow()
        await rig.until({'a': '2'}, 2.0)

    async def test_confirmation_of_the_source_counts_as_it_is(self, rig):
        # A reader of a reader must not count the age from its own read.
        confirmed_s = asyncio.get_running_loop().time() - 5.0
        rig.other = ReplicaStore()
        rig.other.replica.replace((stores.StoredObject('a', 1, b'1'),), 1)
        rig.other.replica.confirm(confirmed_s)
        rig.follow()
        await rig.until({'a': '1'})
        confirmed_by_follower_s = rig.follower.replica.confirmed_s
        assert confirmed_by_follower_s == pytest.approx(confirmed_s)

    async def test_silent_store_is_left_for_a_confirmed_replica(self, rig):
        rig.feed.max_age_s = 0.5
        rig.feed.watch_timeout_s = 0.3
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        rig.server.mode = 'silent'
        await asyncio.sleep(0.4)
        rig.other = ReplicaStore()
        newer = stores.StoredObject('a', 9, b'2')
        rig.other.replica.replace((newer,), 9)
        rig.other.replica.confirm(asyncio.get_running_loop().time())
        await rig.until({'a': '2'}, 1.5)
