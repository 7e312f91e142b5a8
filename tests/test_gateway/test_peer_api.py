"""Tests of reading another host's replica of the store."""

import asyncio
import json
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import http_server
from ragwortchute.gateway.http import pools
from ragwortchute.gateway.peers import peer_api
from ragwortchute.gateway.store import replica
from ragwortchute.gateway.store import value_delta
from tests.test_gateway import rig as rigs

ROUTES = 2000
# A small host has a link of 10 Mbit/s, shared with its callers. A change must
# be applied by all hosts within 2 s, and may pass several hosts on the way.
SLOW_LINK_BYTES_PER_S = 10e6 / 8
MAX_TRANSFER_S = 0.1


def configuration(version):
    rng = random.Random(1)
    routes = [
        {
            'name': f'r-{rng.randrange(16**8):08x}',
            'hostname': f'{rng.randrange(16**6):06x}.example',
            'path_prefix': f'/{rng.randrange(16**8):08x}/',
            'route_type': 'idempotent',
            'timeout_s': 1.2,
            'target_latency_s': 0.2,
            'priority': 2,
            'service': 'huvo11a',
            'attempts': 2,
            'allowed_regions': [],
        }
        for _ in range(ROUTES)
    ]
    return json.dumps({'config_version': version, 'routes': routes}).encode()


def stored(version, name='main'):
    return stores.StoredObject(name, version, configuration(version))


@pytest.fixture
async def served():
    """Replica of a configuration, the API that serves it, and a client."""
    replica_ = replica.Replica()
    replica_.replace((stored(5),), 5)
    api = peer_api.PeerApi({'config/': replica_}, None)
    listener = http_server.Listener(
        api.serve, model.Limits, rigs.MemoryLog(), 'peers'
    )
    await listener.start('127.0.0.1', 0)
    pool = pools.Pool('127.0.0.1', listener.port)
    own = {'config/': replica.Replica()}
    yield replica_, api, peer_api.PeerStore('reader', pool, own)
    pool.close()
    await listener.stop()


def copy_request(after, wait_ms='0'):
    gone = asyncio.get_running_loop().create_future()
    target = f'/copy?prefix=config%2F&after={after}&wait_ms={wait_ms}'
    return http_messages.Request(
        'GET', target, peer_api.HOST_NAME, [], [], 0.0, gone
    )


class TestReplicas:
    """Replicas must arrive complete and suit the links of small hosts."""

    async def test_replica_arrives_complete(self, served):
        _, _, store = served
        answer = await store.watch('config/', after_revision=0, timeout_s=0)
        assert answer.revision == 5
        assert answer.objects == (stored(5),)

    async def test_cached_response_does_not_hide_a_later_change(self, served):
        replica_, _, store = served
        await store.watch('config/', after_revision=0, timeout_s=0)
        replica_.apply(stores.WatchAnswer(7, (stored(7),)))
        full_read = await store.watch('config/', after_revision=0, timeout_s=0)
        change = await store.watch('config/', after_revision=5, timeout_s=0)
        assert full_read.objects == change.objects == (stored(7),)
        no_change = await store.watch('config/', after_revision=7, timeout_s=0)
        assert no_change.objects == ()

    async def test_large_configuration_suits_a_slow_link(self, served):
        # All hosts of a failure domain request a change at the same time. On a
        # day with 1,740 routes, replicas did not arrive in time.
        _, api, _ = served
        resp = await api.serve(copy_request(0))
        limit = SLOW_LINK_BYTES_PER_S * MAX_TRANSFER_S
        assert len(resp.body) <= limit

    async def test_replica_that_is_being_filled_is_waited_for(self, served):
        _, api, store = served
        filling = replica.Replica()
        filling.filling = True
        api._replicas['config/'] = filling
        reading = asyncio.create_task(
            store.watch('config/', after_revision=0, timeout_s=0)
        )
        await asyncio.sleep(0.05)
        filling.replace((stored(5),), 5)
        assert (await reading).objects == (stored(5),)

    async def test_replica_that_nobody_fills_is_not_waited_for(self, served):
        # Two hosts that start at the same time may read each other.
        _, api, store = served
        api._replicas['config/'] = replica.Replica()
        started_s = asyncio.get_running_loop().time()
        with pytest.raises(errors.StoreUnavailable):
            await store.watch('config/', after_revision=0, timeout_s=0)
        assert asyncio.get_running_loop().time() - started_s < 0.1

    @pytest.mark.parametrize('wait_ms', ['x', '-1', '1.5', '%C2%B2'])
    async def test_malformed_wait_is_rejected(self, served, wait_ms):
        _, api, _ = served
        resp = await api.serve(copy_request(5, wait_ms))
        assert resp.status == 400

    async def test_malformed_replica_is_rejected(self, served):
        _, api, store = served
        api._cache['config/'] = peer_api._CachedBody(
            (0, True, 5, 5), b'no copy'
        )
        with pytest.raises(errors.StoreUnavailable):
            await store.watch('config/', after_revision=0, timeout_s=0)


class TestDifferences:
    """A host must get exactly the new version, from what it has.

    All hosts of a failure domain read a change of a large configuration over
    the link of one small host (KNOWN-RED 16).
    """

    async def read(self, store, after):
        own = store._replicas['config/']
        answer = await store.watch('config/', after_revision=after, timeout_s=0)
        own.apply(answer)
        return answer

    async def test_change_is_read_from_the_difference(self, served):
        replica_, api, store = served
        await self.read(store, 0)
        replica_.apply(stores.WatchAnswer(7, (stored(7),)))
        answer = await self.read(store, 5)
        assert answer.objects == (stored(7),)
        # A change of one figure, not the whole configuration.
        assert len(api._cache['config/'].data) < 1000

    @pytest.mark.parametrize('versions', [2, 3, 9])
    async def test_host_that_missed_versions_gets_the_last(
        self, served, versions
    ):
        replica_, _, store = served
        await self.read(store, 0)
        for version in range(6, 6 + versions):
            replica_.apply(stores.WatchAnswer(version, (stored(version),)))
        answer = await self.read(store, 5)
        assert answer.objects == (stored(5 + versions),)

    async def test_other_version_leads_to_a_full_read(self, served):
        # The host knows revision 6 from another source, with a change that the
        # replica has skipped.
        replica_, _, store = served
        store._replicas['config/'].replace((stored(6),), 6)
        replica_.apply(stores.WatchAnswer(7, (stored(7),)))
        with pytest.raises(errors.HistoryGone):
            await store.watch('config/', after_revision=6, timeout_s=0)
        answer = await self.read(store, 0)
        assert answer.objects == (stored(7),)

    async def test_host_that_asks_for_none_gets_the_whole(self, served):
        # An older build, while hosts are updated one after the other.
        replica_, api, _ = served
        replica_.apply(stores.WatchAnswer(7, (stored(7),)))
        resp = await api.serve(copy_request(5))
        assert peer_api._decode(resp.body).objects == (stored(7),)

    async def test_removed_object_has_no_old_version(self, served):
        replica_, _, _ = served
        replica_.apply(stores.WatchAnswer(6, (stored(6),)))
        replica_.apply(stores.WatchAnswer(7, (), ('main',)))
        assert replica_.old_version('main', 5) is None


PIECES = st.lists(st.sampled_from([b'{a}', b'{b}', b'{', b'x', b'}', b'']))


class TestDiff:
    """Whatever two values are, their difference must yield the new one."""

    @hypothesis.given(PIECES, PIECES)
    def test_new_value_is_restored(self, old, new):
        old, new = b''.join(old), b''.join(new)
        parts = value_delta.diff(old, new)
        if parts is not None:
            assert value_delta.apply(old, parts) == new

    def test_new_routes_are_all_that_is_sent(self):
        old, new = configuration(1), configuration(1)
        new = new.replace(b'"routes": [', b'"routes": [{"name": "new"}, ')
        parts = value_delta.diff(old, new)
        sent = sum(len(part) for part in parts if isinstance(part, bytes))
        assert sent < 400

    def test_other_value_has_no_difference(self):
        assert value_delta.diff(b'{a}' * 9, b'{b}' * 9) is None
