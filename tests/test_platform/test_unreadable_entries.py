"""Tests of entries that other writers leave in the store."""

import asyncio
import random

import msgspec
import pytest

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway.peers import heartbeats
from ragwortchute.gateway.peers import membership
from ragwortchute.gateway.store import source_choice
from ragwortchute.gateway.store import store_follower
from ragwortchute.gateway.store import store_health
from ragwortchute.platform import feeds
from ragwortchute.platform import json_parts
from ragwortchute.platform import objects
from ragwortchute.platform import store_answers
from standins import platform_store
from tests.test_gateway import rig as rigs
from tests.test_platform import test_adapter

DEPTH = 2000
NESTED = b'[' * DEPTH + b']' * DEPTH
NESTED_OBJECTS = b'{"a":' * DEPTH + b'1' + b'}' * DEPTH
HALF_SURROGATE = b'"\\udcff\\udcfe"'

MALFORMED_VALUES = {
    'nested': NESTED,
    'nested-objects': NESTED_OBJECTS,
    'half-surrogate': HALF_SURROGATE,
    'invalid-utf8': b'"\xff\xfe"',
    'number-too-large': b'1e999',
    'integer-too-large': b'9' * 400,
    'brackets-in-a-string': b'"]}{[\\"\\\\"',
    'empty': b'{}',
    'null': b'null',
}


def entry_with(field: str, value: bytes) -> bytes:
    """Returns the entry of a target in which one field has another value."""
    encoded = {
        name: msgspec.Raw(msgspec.json.encode(item))
        for name, item in test_adapter.SERVER.items()
    }
    encoded[field] = msgspec.Raw(value)
    return msgspec.json.encode(encoded)


MALFORMED_ENTRIES = {
    **MALFORMED_VALUES,
    **{
        f'{field}-{name}': entry_with(field, value)
        for field in ('address', 'info', 'status', 'born')
        for name, value in MALFORMED_VALUES.items()
        if name != 'integer-too-large'
    },
}


class Rig:
    """Stand-in store and a follower of the targets in it."""

    def __init__(self):
        self.server = platform_store.ObjectServer()
        self.log = rigs.MemoryLog()
        self.state = rigs.host_state.HostState(
            rigs.wire.PlatformDialect(), rigs.DOMAINS, 'a1', self.log
        )

    async def start(self):
        await self.server.start()
        self.store = objects.ObjectStore('127.0.0.1', self.server.port)
        feed = feeds.TargetFeed(self.state, self.log)
        feed.batch_delay_s = 0.0
        follower = store_follower.Follower(
            lambda: [source_choice.Source('', self.store)],
            feed,
            store_health.StoreHealth(self.log),
            self.log,
            random.Random(1),
        )
        self.task = asyncio.create_task(follower.run())

    async def add_target(self, name):
        await self.server.put('servers', name, test_adapter.SERVER)

    async def add_malformed_entry(self, entry):
        await self.server.put('servers', 'malformed', msgspec.Raw(entry))

    async def until_targets(self, *names):
        for _ in range(100):
            if set(self.state.targets) == set(names):
                return
            await asyncio.sleep(0.02)
        assert set(self.state.targets) == set(names)

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.store.close()
        await self.server.stop()


@pytest.fixture
async def rig():
    rig = Rig()
    yield rig
    await rig.stop()


@pytest.mark.parametrize(
    'entry', MALFORMED_ENTRIES.values(), ids=MALFORMED_ENTRIES
)
class TestTargets:
    """An entry that can't be read must hide no other entry (review, 3 and 4).

    One nested entry ended the following of targets for good, and one with half
    of a surrogate pair made every list that held it unreadable.
    """

    async def test_others_are_followed(self, rig, entry):
        await rig.add_target('before')
        await rig.start()
        await rig.until_targets('before')
        await rig.add_malformed_entry(entry)
        await rig.add_target('after')
        await rig.until_targets('before', 'after')
        assert not rig.task.done()

    async def test_others_are_read_at_the_start(self, rig, entry):
        await rig.add_target('before')
        await rig.add_malformed_entry(entry)
        await rig.add_target('after')
        await rig.start()
        await rig.until_targets('before', 'after')
        assert 'target-malformed' in rig.log.kinds()


class TestReplacedEntry:
    """A target whose entry becomes unreadable must not be used any more."""

    @pytest.mark.parametrize('value', [NESTED, HALF_SURROGATE])
    async def test_target_is_removed(self, rig, value):
        await rig.add_target('malformed')
        await rig.add_target('other')
        await rig.start()
        await rig.until_targets('malformed', 'other')
        await rig.add_malformed_entry(value)
        await rig.until_targets('other')


class TestPages:
    """Parts of an answer must be found at any depth and in any string."""

    def page(self, *items):
        return (
            b' {"more" : true, "items":[ '
            + b' , '.join(items)
            + b'] ,"current_rev":7} '
        )

    def test_objects_keep_name_revision_and_value(self):
        item = b'{"spec":%s,"metadata":{"finalizers":%s,"name":"n","rev":3}}'
        body = self.page(item % (NESTED, HALF_SURROGATE), item % (b'1', b'[]'))
        page = store_answers.decode_page(body)
        assert (page.revision, page.more) == (7, True)
        assert [(obj.name, obj.version) for obj in page.objects] == [
            ('n', 3)
        ] * 2
        assert [obj.value for obj in page.objects] == [NESTED, b'1']

    def test_empty_page(self):
        assert store_answers.decode_page(self.page()).objects == []

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'[]',
            b'{',
            b'{"items":[{"a":1',
            b'{"items":[1 2],"current_rev":1}',
            b'{"items":[' + NESTED + b']}',
            b'{"items":[' + NESTED + b'],"current_rev":"x"}',
            b'{"items":[{"spec":' + NESTED + b'}],"current_rev":1}',
            b'{"items":"' + b'\\' * 9,
        ],
    )
    def test_malformed_answer_raises(self, body):
        with pytest.raises(errors.DecodeFailed):
            store_answers.decode_page(body)

    def test_parts_of_an_object(self):
        text = b'{"a":"x\\"}" ,"b":[1,{"c":"]"}],"d":-1.5e3,"":{}}'
        assert json_parts.split_object(text) == {
            b'a': b'"x\\"}"',
            b'b': b'[1,{"c":"]"}]',
            b'd': b'-1.5e3',
            b'': b'{}',
        }


class TestOtherDecoders:
    """Nested values must be refused wherever others may write."""

    def test_configuration(self):
        log = rigs.MemoryLog()
        feed = feeds.ConfigFeed(None, log)
        feed.put(stores.StoredObject('main', 2, NESTED), 2)
        assert log.kinds() == ['configuration-malformed']

    def test_datagram(self):
        log = rigs.MemoryLog()
        member = membership.Membership(
            rigs.host('h'), rigs.NullTransport(), log, random.Random(1), 5.0
        )
        message = msgspec.msgpack.encode(heartbeats.Message('h2'))
        nested = message[:-1] + b'\x91' * DEPTH
        member.on_datagram(nested, 0.0, ('127.0.0.1', 1))
        assert log.kinds() == ['peer-malformed']
