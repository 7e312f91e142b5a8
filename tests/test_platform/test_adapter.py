"""Tests of the feeds and object store of the platform adapter."""

import json

import pytest

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway.http import http_client
from ragwortchute.platform import feeds
from ragwortchute.platform import objects
from ragwortchute.platform import wire
from standins import fault_proxy
from standins import platform_store
from tests.test_gateway import rig as rigs

SERVER = {
    'address': '10.0.0.1:80',
    'info': {'service': 's', 'zone': 'a-1', 'slots': 4},
    'status': {'state': 'ready', 'seq': 1, 'warmup_left_s': 2},
    'born': 7,
}


def server_json(**changes):
    server = json.loads(json.dumps(SERVER))
    for path, value in changes.items():
        *parents, last = path.split('__')
        parent = server
        for name in parents:
            parent = parent[name]
        if value is None:
            del parent[last]
        else:
            parent[last] = value
    return json.dumps(server).encode()


class TestTargets:
    """A malformed entry, such as one of another writer, must add no target."""

    async def test_entry_is_decoded(self):
        entry = feeds.decode_target('t', json.dumps(SERVER).encode())
        assert (entry.service, entry.ip, entry.port) == ('s', '10.0.0.1', 80)
        assert entry.ready
        assert entry.warmup_left_s == 2
        assert entry.born_ms == 7

    async def test_draining_target_is_not_ready(self):
        entry = feeds.decode_target('t', server_json(status__state='draining'))
        assert not entry.ready

    @pytest.mark.parametrize(
        'value',
        [
            server_json(address=None),
            server_json(address=5),
            server_json(address='nowhere'),
            server_json(address=':80'),
            server_json(address='host:80'),
            server_json(address='10.0.0.1:0'),
            server_json(address='10.0.0.1:65536'),
            server_json(address='10.0.0.1:-1'),
            server_json(info=None),
            server_json(info__slots='many'),
            server_json(info__service=None),
            server_json(status__state='ill'),
            server_json(status__warmup_left_s='x'),
            server_json(born=None),
            server_json(born=1.5),
            b'\xff\xfe',
            b'null',
            b'[]',
            b'{"address":',
        ],
    )
    async def test_malformed_entry_adds_no_target(self, value):
        rig = FeedRig()
        rig.feed.replace([stores.StoredObject('good', 1, server_json())], 1)
        rig.feed.put(stores.StoredObject('bad', 2, value), 2)
        assert set(rig.state.targets) == {'good'}
        assert 'target-malformed' in rig.log.kinds()

    @pytest.mark.parametrize(
        'name', ['\u2603', 'a b', 'a\r\nx: y', '', 'a\x7f']
    )
    async def test_name_that_fits_no_header_adds_no_target(self, name):
        # It ended each health request of the target, and of the requests that
        # had chosen it, with an error.
        rig = FeedRig()
        rig.feed.put(stores.StoredObject(name, 2, server_json()), 2)
        assert not rig.state.targets
        assert rig.log.kinds() == ['target-malformed']

    async def test_malformed_entry_does_not_affect_others(self):
        rig = FeedRig()
        rig.feed.replace(
            [
                stores.StoredObject('bad', 1, b'?'),
                stores.StoredObject('good', 2, server_json()),
            ],
            2,
        )
        assert set(rig.state.targets) == {'good'}

    async def test_restart_under_the_same_name_is_a_new_target(self):
        rig = FeedRig()
        rig.feed.put(stores.StoredObject('t', 1, server_json()), 1)
        before = rig.state.targets['t']
        before.misdirected = True
        rig.feed.put(stores.StoredObject('t', 2, server_json(born=8)), 2)
        assert rig.state.targets['t'] is not before
        assert not rig.state.targets['t'].misdirected

    async def test_older_update_does_not_return_a_target_that_left(self):
        rig = FeedRig()
        entry = feeds.decode_target('t', server_json())
        rig.state.set_targets([entry], 3)
        rig.state.remove_target('t', 7)
        rig.state.set_target(entry, 5)
        rig.state.set_targets([entry], 2)
        assert not rig.state.targets
        rig.state.set_target(entry, 8)
        assert set(rig.state.targets) == {'t'}

    async def test_older_removal_does_not_remove_a_target(self):
        rig = FeedRig()
        entry = feeds.decode_target('t', server_json())
        rig.state.set_target(entry, 7)
        rig.state.remove_target('t', 5)
        assert set(rig.state.targets) == {'t'}

    async def test_updated_entry_keeps_the_state_of_the_target(self):
        rig = FeedRig()
        rig.feed.put(stores.StoredObject('t', 1, server_json()), 1)
        before = rig.state.targets['t']
        value = server_json(status__state='draining')
        rig.feed.put(stores.StoredObject('t', 2, value), 2)
        assert rig.state.targets['t'] is before
        assert not before.entry.ready


class FeedRig:
    """State of a host and the feed of targets that updates it."""

    def __init__(self):
        self.log = rigs.MemoryLog()
        self.state = rigs.host_state.HostState(
            rigs.wire.PlatformDialect(), rigs.DOMAINS, 'a1', self.log
        )
        self.feed = feeds.TargetFeed(self.state, self.log)


CONFIG = {
    'config_version': 7,
    'routes': [
        {
            'name': 'r1',
            'hostname': 'X.example',
            'path_prefix': '/a/',
            'route_type': 'idempotent',
            'timeout_s': 1,
            'target_latency_s': 0.2,
            'priority': 2,
            'traffic_split': [{'service': 's', 'weight': 90}],
            'attempts': 2,
            'allowed_regions': ['a'],
        },
        {
            'name': 'r2',
            'hostname': 'x.example',
            'path_prefix': '/b/',
            'route_type': 'non_idempotent',
            'timeout_s': 1.2,
            'target_latency_s': 0.25,
            'service': 's',
            'attempts': 1,
        },
    ],
    'services': [
        {
            'name': 's',
            'health_path': '/health',
            'max_conns': 220,
            'protocol': 'h1',
            'warmup_s': 3.0,
            'warmup_per_s': 11.0,
        }
    ],
    'limits': {'max_header_bytes': 100, 'idle_timeout_s': 9},
}


class TestConfiguration:
    """A malformed or older configuration must not be applied."""

    def test_configuration_is_decoded(self):
        cfg = feeds.decode_configuration(json.dumps(CONFIG).encode())
        first, second = cfg.routes
        assert (first.host, first.idempotent) == ('x.example', True)
        assert first.homes == ('a',)
        assert first.services[0].weight == 90
        assert (second.idempotent, second.services[0].service) == (False, 's')
        assert cfg.services['s'].warmup_per_s == 11
        assert cfg.limits.idle_timeout_s == 9

    def test_malformed_configuration_is_not_applied(self):
        rig = FeedRig()
        feed = feeds.ConfigFeed(rig.state, rig.log)
        good = json.dumps(CONFIG).encode()
        feed.put(stores.StoredObject('main', 3, good), 3)
        feed.put(stores.StoredObject('main', 4, b'{}'), 4)
        assert rig.state.cfg.version == 7
        assert 'configuration-malformed' in rig.log.kinds()

    def test_older_configuration_is_not_applied(self):
        rig = FeedRig()
        feed = feeds.ConfigFeed(rig.state, rig.log)
        newer = json.dumps({**CONFIG, 'config_version': 9}).encode()
        older = json.dumps(CONFIG).encode()
        feed.put(stores.StoredObject('main', 5, newer), 5)
        feed.put(stores.StoredObject('main', 4, older), 4)
        assert rig.state.cfg.version == 9

    def test_removal_keeps_the_configuration(self):
        rig = FeedRig()
        feed = feeds.ConfigFeed(rig.state, rig.log)
        value = json.dumps(CONFIG).encode()
        feed.put(stores.StoredObject('main', 5, value), 5)
        feed.remove('main', 6)
        assert rig.state.cfg.version == 7


class TestWatches:
    """A change of the configuration must be in force within 2 s."""

    def test_missed_change_is_noticed_in_time(self):
        feed = feeds.ConfigFeed(None, None, 2.0)
        assert feed.watch_timeout_s + objects.TIMEOUT_S < 3.0
        assert feed.max_age_s + objects.MAX_TRANSIT_S < 2.0
        assert feed.watch_timeout_s + objects.MAX_TRANSIT_S < feed.max_age_s

    @pytest.mark.parametrize('feed', [feeds.TargetFeed, feeds.EvacuationFeed])
    def test_age_of_other_lists_is_bounded(self, feed):
        assert feed.watch_timeout_s + objects.MAX_TRANSIT_S < feed.max_age_s
        assert feed.max_age_s + objects.MAX_TRANSIT_S < 5.0


class TestEvacuations:
    """A domain must be out of service exactly while its object exists."""

    def test_older_list_of_domains_is_not_applied(self):
        rig = FeedRig()
        rig.state.set_domains_out({'a-1'}, 7)
        rig.state.set_domains_out((), 5)
        assert rig.state.domains_out == {'a-1'}

    def test_domains_are_added_and_removed(self):
        rig = FeedRig()
        feed = feeds.EvacuationFeed(rig.state)
        feed.replace([stores.StoredObject('a1', 1, b'{}')], 1)
        assert rig.state.domains_out == {'a1'}
        feed.put(stores.StoredObject('a2', 2, b'{}'), 2)
        feed.remove('a1', 3)
        assert rig.state.domains_out == {'a2'}


@pytest.fixture
async def store():
    server = platform_store.ObjectServer()
    await server.start()
    client = objects.ObjectStore('127.0.0.1', server.port)
    yield server, client
    await client.close()
    await server.stop()


class TestReadings:
    """An invalid figure of a target must not end a request with 502."""

    def decode(self, load, warmup=b'0'):
        headers = [(wire.SERVER_LOAD, load), (wire.WARMUP_MS, warmup)]
        reply = http_client.Reply(200, headers)
        return wire.PlatformDialect().decode_load(reply, None, 1.0)

    def test_figures_are_decoded(self):
        reading = self.decode(b'3,2,8,150', b'250')
        assert (reading.running, reading.waiting, reading.slots) == (3, 2, 8)
        assert reading.slowness == 1.5
        assert reading.cold_s == 0.25
        assert self.decode(b'3, 2, 8').slowness == 1.0

    @pytest.mark.parametrize(
        'load',
        [
            b'1,2,3,' + b'9' * 400,
            b'9' * 400 + b',2,3',
            b'9' * 5000 + b',2,3',
            b'-1,2,3',
            b'1,2',
            b'1,2,x',
            b'nan,2,3',
            b'1,2,3,nan',
            b'1,2,3,inf',
            b'\xff',
            b'',
        ],
    )
    def test_invalid_load_is_left_out(self, load):
        reading = self.decode(load)
        assert (reading.running, reading.slots) == (0, 0)
        assert reading.slowness == 1.0

    @pytest.mark.parametrize(
        'warmup', [b'nan', b'inf', b'-5', b'1e300', b'x', b'']
    )
    def test_invalid_warmup_is_left_out(self, warmup):
        assert self.decode(b'1,2,3', warmup).cold_s == 0.0


class TestConstraints:
    """An invalid header of a target must change nothing."""

    def decode(self, *limits):
        headers = [(wire.SERVER_LIMIT, limit) for limit in limits]
        reply = http_client.Reply(200, headers)
        return wire.PlatformDialect().decode_constraints(reply)

    def test_limit_is_decoded(self):
        assert self.decode(b'3.5').limit_per_s == 3.5
        assert self.decode(b'0').limit_per_s == 0.0
        assert self.decode().limit_per_s is None

    def test_lowest_of_several_limits_counts(self):
        assert self.decode(b'7', b'3').limit_per_s == 3.0

    def test_invalid_header_does_not_hide_another(self):
        headers = [(wire.SERVER_LIMIT, b'x'), (wire.SERVER_LEAVING, b'1')]
        reply = http_client.Reply(200, headers)
        constraints = wire.PlatformDialect().decode_constraints(reply)
        assert constraints.leaving
        assert constraints.malformed == ('server-limit',)

    @pytest.mark.parametrize(
        ('values', 'leaving'),
        [((b'1',), True), ((b'0',), False), ((b'0', b'1'), True), ((), False)],
    )
    def test_leaving_is_decoded(self, values, leaving):
        headers = [(wire.SERVER_LEAVING, value) for value in values]
        reply = http_client.Reply(200, headers)
        constraints = wire.PlatformDialect().decode_constraints(reply)
        assert constraints.leaving == leaving
        assert constraints.malformed == ()

    @pytest.mark.parametrize(
        'value', [b'', b'x', b'-1', b'nan', b'inf', b'1e300', b'3,4', b'\xff']
    )
    def test_invalid_limit_is_reported(self, value):
        constraints = self.decode(value)
        assert constraints.limit_per_s is None
        assert constraints.malformed == ('server-limit',)


class TestStore:
    """The store client must report correctly whether a write was applied."""

    async def test_object_is_created_then_replaced(self, store):
        server, client = store
        first = await client.put('k/n', b'1', expected_version=-1)
        second = await client.put('k/n', b'2', expected_version=-1)
        assert second.version > first.version
        assert (await client.get('k/n')).value == b'2'

    async def test_create_of_existing_object_conflicts(self, store):
        _, client = store
        await client.put('k/n', b'1', expected_version=0)
        with pytest.raises(errors.VersionConflict):
            await client.put('k/n', b'2', expected_version=0)

    async def test_missing_object_is_none(self, store):
        _, client = store
        assert await client.get('k/n') is None

    async def test_dropped_history_raises(self, store):
        server, client = store
        await client.put('k/n', b'1', expected_version=0)
        server.drop_history()
        with pytest.raises(errors.HistoryGone):
            await client.watch('k/', after_revision=1, timeout_s=0)

    @pytest.mark.parametrize('mode', ['busy', 'reset'])
    async def test_outage_raises(self, store, mode):
        server, client = store
        server.mode = mode
        with pytest.raises(errors.StoreUnavailable):
            await client.list('k/')

    async def test_rejected_write_was_not_applied(self, store):
        server, client = store
        server.mode = 'busy'
        with pytest.raises(errors.StoreUnavailable) as exc_info:
            await client.put('k/n', b'1', expected_version=0)
        assert not exc_info.value.maybe_applied

    async def test_write_without_a_response_may_have_been_applied(self, store):
        server, client = store
        server.mode = 'reset'
        with pytest.raises(errors.StoreUnavailable) as exc_info:
            await client.put('k/n', b'1', expected_version=0)
        assert exc_info.value.maybe_applied

    async def test_slow_answer_confirms_only_its_beginning(self, store):
        server, _ = store
        proxy = fault_proxy.FaultProxy(
            '127.0.0.1', server.port, fault_proxy.Link(400_000)
        )
        await proxy.start()
        client = objects.ObjectStore('127.0.0.1', proxy.port)
        await server.put('k', 'n', 'x' * 400_000)
        revision = server.revision - 1
        answer = await client.watch(
            'k/', after_revision=revision, timeout_s=5.0
        )
        await client.close()
        proxy.stop()
        # The store had composed it before its first part arrived.
        assert answer.confirmed_after_s < 0.4

    async def test_object_written_after_removal_is_not_removed(self, store):
        server, client = store
        await client.put('k/n', b'1', expected_version=0)
        await server.delete('k', 'n')
        await server.put('k', 'n', 2)
        answer = await client.watch('k/', after_revision=2, timeout_s=0)
        assert [obj.value for obj in answer.objects] == [b'2']
        assert not answer.removed
