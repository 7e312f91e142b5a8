"""Tests of the replication of the store."""

import asyncio
import random

import pytest

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway.store import confirming_reader
from ragwortchute.gateway.store import replica
from ragwortchute.gateway.store import source_choice
from ragwortchute.gateway.store import store_feed
from ragwortchute.gateway.store import store_follower
from ragwortchute.gateway.store import store_health
from ragwortchute.gateway.store import unchanged_answers
from ragwortchute.platform import objects
from standins import platform_store
from tests.test_gateway import rig as rigs


class RecordingFeed(store_feed.Feed):
    """Feed that keeps the values of the objects."""

    prefix = 'things/'

    def __init__(self):
        self.values = {}

    def replace(self, objects, revision):
        self.values = {obj.name: obj.value for obj in objects}

    def put(self, obj, revision):
        self.values[obj.name] = obj.value

    def remove(self, name, revision):
        self.values.pop(name, None)


class Rig:
    """Stand-in store and a follower of one prefix.

    Attributes:
        other: Replica that is read in preference to the store, if set.
        confirming: Returns the reader that confirms what the store returns.
    """

    def __init__(self):
        self.server = platform_store.ObjectServer()
        self.feed = RecordingFeed()
        self.log = rigs.MemoryLog()
        self.other = None
        self.confirming = confirming_reader.no_reader
        self.task = None

    async def start(self):
        await self.server.start()
        self.store = objects.ObjectStore('127.0.0.1', self.server.port)
        self.create_follower()

    def create_follower(self):
        self.follower = store_follower.Follower(
            self.sources,
            self.feed,
            store_health.StoreHealth(self.log),
            self.log,
            random.Random(1),
            self.confirming,
        )

    def store_source(self):
        return source_choice.Source('', self.store)

    def sources(self):
        if self.other is None:
            return [self.store_source()]
        return [source_choice.Source('h2', self.other), self.store_source()]

    def follow(self):
        self.create_follower()
        self.task = asyncio.create_task(self.follower.run())

    async def stop(self):
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.store.close()
        await self.server.stop()

    async def until(self, values, seconds=3.0):
        expected = {name: value.encode() for name, value in values.items()}
        for _ in range(int(seconds / 0.02)):
            if self.feed.values == expected:
                return
            await asyncio.sleep(0.02)
        assert self.feed.values == expected


@pytest.fixture
async def rig():
    rig = Rig()
    await rig.start()
    yield rig
    await rig.stop()


class TestFollowing:
    """Paging, outages and lost history must not cause changes to be missed."""

    async def test_changes_arrive(self, rig):
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        await rig.server.put('things', 'b', 2)
        await rig.server.delete('things', 'a')
        await rig.until({'b': '2'})

    async def test_all_pages_are_read(self, rig):
        for number in range(120):
            await rig.server.put('things', f'n{number:03}', number)
        rig.follow()
        await rig.until({f'n{number:03}': str(number) for number in range(120)})

    async def test_lost_history_leads_to_a_full_read(self, rig):
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        rig.server.suppress_events = True
        await rig.server.delete('things', 'a')
        await rig.server.put('things', 'b', 2)
        rig.server.drop_history()
        rig.server.suppress_events = False
        await rig.server.close_connections()
        await rig.until({'b': '2'})

    async def test_revision_without_its_change_is_not_relied_on(self, rig):
        # Watches hear nothing for a second while the configuration changes, but
        # return the revision after it.
        rig.feed.watch_timeout_s = 0.3
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        server = rig.server
        serve = server._serve

        async def return_no_events(req):
            if 'watch=' not in req.target:
                return await serve(req)
            await asyncio.sleep(0.2)
            return server._json_response(
                200, {'events': [], 'current_rev': server.revision}
            )

        server._listener.handler = return_no_events
        await server.close_connections()
        await server.put('things', 'a', 2)
        await asyncio.sleep(1.0)
        server._listener.handler = serve
        await rig.until({'a': '2'}, 1.0)

    async def test_quiet_store_confirms_revisions(self, rig):
        # Otherwise, the history of the store would end before the replica.
        rig.feed.watch_timeout_s = 0.2
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        await rig.server.put('others', 'b', 1)
        await asyncio.sleep(unchanged_answers.CONFIRM_S + 0.6)
        assert rig.follower.replica.revision == rig.server.revision

    async def test_change_that_a_watch_misses_arrives_at_its_renewal(self, rig):
        rig.feed.watch_timeout_s = 0.5
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        rig.server.suppress_events = True
        await rig.server.put('things', 'a', 2)
        await rig.until({'a': '2'}, 1.2)

    @pytest.mark.parametrize('mode', ['busy', 'reset'])
    async def test_outage_keeps_known_objects(self, rig, mode):
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        rig.server.mode = mode
        await rig.server.close_connections()
        await asyncio.sleep(0.3)
        assert rig.feed.values == {'a': b'1'}
        await rig.server.put('things', 'a', 2)
        rig.server.mode = 'up'
        await rig.until({'a': '2'})
        assert rig.log.kinds().count('store-lost') == 1
        assert rig.log.kinds().count('store-regained') == 1

    async def test_follower_recovers_soon_after_unresponsive_store(self, rig):
        # A long watch that is sent while the store is unresponsive would delay
        # the recovery, while other hosts depend on this host's replica.
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        rig.server.mode = 'silent'
        await rig.server.close_connections()
        await asyncio.sleep(3.0)
        rig.server.mode = 'up'
        await rig.server.put('things', 'a', 2)
        await rig.until({'a': '2'}, 2.0)

    async def test_outage_at_start_is_retried(self, rig):
        await rig.server.put('things', 'a', 1)
        rig.server.mode = 'busy'
        rig.follow()
        await asyncio.sleep(0.3)
        rig.server.mode = 'up'
        await rig.until({'a': '1'})


class TestDeferredRemovals:
    """Targets must not be removed because of an outage of the store."""

    async def outage(self, rig, seconds):
        rig.feed.entries_expire = True
        await rig.server.put('things', 'alive', 1)
        await rig.server.put('things', 'dead', 1)
        rig.follow()
        await rig.until({'alive': '1', 'dead': '1'})
        rig.server.mode = 'busy'
        await rig.server.close_connections()
        await asyncio.sleep(seconds)
        await rig.server.delete('things', 'alive')
        await rig.server.delete('things', 'dead')
        rig.server.mode = 'up'

    async def test_entries_written_again_are_never_removed(self, rig):
        await self.outage(rig, 2.2)
        presence = []
        for _ in range(15):
            await asyncio.sleep(0.1)
            presence.append('alive' in rig.feed.values)
        await rig.server.put('things', 'alive', 1)
        await rig.until({'alive': '1'}, 3.0)
        assert all(presence)

    async def test_removal_after_lost_connection_is_immediate(self, rig):
        # No entry expires while a connection is reopened, and a target that
        # has left must get no further requests.
        await self.outage(rig, 0.1)
        await rig.until({}, 1.5)


class TestCutWatches:
    """A store that cuts a watch must not lose its readers for that.

    On a day with 312 hosts, readers left the store for 2 s when it dropped its
    history, and all others asked it themselves (KNOWN-RED 9).
    """

    async def start(self, rig):
        rig.sources = lambda: [
            rig.store_source(),
            source_choice.Source('h2', rig.store),
        ]
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})

    def sources(self, rig):
        return [
            fields['source']
            for kind, fields in rig.log.lines
            if kind == 'source'
        ]

    @pytest.mark.parametrize('history', [True, False])
    async def test_store_is_asked_again_at_once(self, rig, history):
        await self.start(rig)
        if not history:
            rig.server.drop_history()
        calls = rig.server.calls.total()
        await rig.server.close_connections()
        await asyncio.sleep(0.1)
        assert 1 <= rig.server.calls.total() - calls <= 3
        assert self.sources(rig) == []
        await rig.server.put('things', 'a', 2)
        await rig.until({'a': '2'}, 0.5)

    @pytest.mark.parametrize('mode', ['busy', 'reset'])
    async def test_store_that_is_down_is_left(self, rig, mode):
        await self.start(rig)
        rig.server.mode = mode
        calls = rig.server.calls.total()
        await rig.server.close_connections()
        # A pause of 50 to 150 ms comes before another source is read.
        for _ in range(50):
            if self.sources(rig):
                break
            await asyncio.sleep(0.01)
        assert self.sources(rig)[:1] == ['h2']
        assert rig.server.calls.total() - calls <= 3


class TestNewerRevisions:
    """A host must catch up if its watch has missed a change."""

    async def test_change_missed_by_the_watch_is_read(self, rig):
        # The store sends no events while it drops its history, so a watch that
        # starts in that second keeps waiting.
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        rig.server.suppress_events = True
        revision = await rig.server.put('things', 'a', 2)
        await asyncio.sleep(0.2)
        assert rig.feed.values == {'a': b'1'}
        rig.follower.on_newer_revision(revision, rig.store_source())
        await rig.until({'a': '2'}, 1.5)

    async def test_known_revision_causes_no_call(self, rig):
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        await asyncio.sleep(0.1)
        calls = rig.server.calls.total()
        for _ in range(20):
            rig.follower.on_newer_revision(
                rig.follower.replica.last_change_revision, rig.store_source()
            )
        await asyncio.sleep(0.5)
        assert rig.server.calls.total() == calls


class TestBehind:
    """A host must know for how long it has lacked a change."""

    async def test_time_since_the_news_is_measured(self, rig):
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        rig.server.mode = 'silent'
        await rig.server.close_connections()
        revision = rig.server.revision + 5
        rig.follower.on_newer_revision(revision, rig.store_source())
        await asyncio.sleep(0.2)
        rig.follower.on_newer_revision(revision + 1, rig.store_source())
        await asyncio.sleep(0.2)
        assert rig.follower.behind_s() >= 0.35

    async def test_read_of_the_change_ends_it(self, rig):
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        rig.server.suppress_events = True
        await rig.server.put('things', 'a', 2)
        revision = rig.server.revision
        rig.follower.on_newer_revision(revision, rig.store_source())
        rig.server.suppress_events = False
        await rig.until({'a': '2'})
        assert rig.follower.behind_s() == 0

    async def test_versions_in_between_are_not_read(self, rig):
        # The store returned each version to each host whose reader was lost,
        # which filled the link between two regions.
        rig.feed.holds_configuration = True
        await rig.server.put('things', 'a', 0)
        rig.follow()
        await rig.until({'a': '0'})
        rig.server.suppress_events = True
        await rig.server.close_connections()
        sent_bytes = rig.server.sent_bytes
        for value in ('x' * 50_000, 'y' * 50_000, 'z' * 50_000):
            revision = await rig.server.put('things', 'a', value)
        rig.follower.on_newer_revision(revision, rig.store_source())
        await rig.until({'a': '"' + 'z' * 50_000 + '"'})
        assert rig.server.sent_bytes - sent_bytes < 2 * 50_000

    async def test_claim_that_the_store_refutes_is_dropped(self, rig):
        # Otherwise, one wrong message would make all hosts refuse requests.
        await rig.server.put('things', 'a', 1)
        rig.follow()
        await rig.until({'a': '1'})
        rig.follower.on_newer_revision(10_000, rig.store_source())
        await asyncio.sleep(store_follower.HINT_DELAY_S + 0.3)
        assert rig.follower.behind_s() == 0
        assert 'revision-unknown' in rig.log.kinds()


class TestReplica:
    """A replica must not return to an older state or hide removals."""

    def test_older_state_is_ignored(self):
        replica_ = replica.Replica()
        replica_.replace((stores.StoredObject('a', 9, b'2'),), 9)
        old = (stores.StoredObject('a', 3, b'1'),)
        assert replica_.replace(old, 3) is None
        assert not replica_.apply(stores.WatchAnswer(3, old))
        assert replica_.read(0).objects[0].value == b'2'

    def test_changes_after_a_revision(self):
        replica_ = replica.Replica()
        replica_.replace((stores.StoredObject('a', 5, b'1'),), 5)
        added = stores.StoredObject('b', 7, b'2')
        replica_.apply(stores.WatchAnswer(8, (added,), ('a',)))
        answer = replica_.read(5)
        assert [obj.name for obj in answer.objects] == ['b']
        assert answer.removed == ('a',)
        assert replica_.read(8) == stores.WatchAnswer(8)

    def test_dropped_history_raises(self):
        replica_ = replica.Replica()
        replica_.replace((), 5)
        with pytest.raises(errors.HistoryGone):
            replica_.read(4)

    def test_empty_replica_raises(self):
        with pytest.raises(errors.StoreUnavailable):
            replica.Replica().read(0)
