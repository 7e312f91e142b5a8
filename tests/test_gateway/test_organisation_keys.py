"""Tests of the index of keys, its size and the counters of organisations."""

import json

import pytest

from ragwortchute import stores
from ragwortchute.gateway.organisations import counts
from ragwortchute.gateway.organisations import key_index
from ragwortchute.gateway.peers import peer_api
from ragwortchute.gateway.store import replica
from ragwortchute.gateway.store import value_delta
from tests.test_gateway import organisation_scenes as scenes
from tests.test_gateway import test_peer_api


def index(*items, earlier=None):
    return key_index.KeyIndex({item.name: item for item in items}, earlier)


class TestKeyIndex:
    """Each key must belong to at most one organisation, on all hosts alike."""

    def test_key_is_found(self):
        acme = scenes.organisation('acme', 'k1', 'k2')
        keys = index(acme, scenes.organisation('b', 'k3'))
        assert keys.find('k1') is keys.find('k2') is acme
        assert keys.find('k4') is None
        assert keys.named('b').name == 'b'

    def test_empty_key_identifies_nobody(self):
        keys = index(scenes.organisation('acme', '', 'k'))
        assert keys.find('') is None
        assert len(keys) == 1

    def test_shared_key_belongs_to_the_first(self):
        keys = index(
            scenes.organisation('z', 'k'), scenes.organisation('a', 'k', 'k2')
        )
        assert keys.find('k').name == 'z'
        assert keys.shared == ['a']

    @pytest.mark.parametrize(
        'name', ['', ' a', 'a\r\nX-Tenant: b', 'a\x00', 'a\t', 'a\x7f']
    )
    def test_name_that_can_not_be_sent_is_left_out(self, name):
        keys = index(scenes.organisation(name, 'k'))
        assert keys.find('k') is None
        assert keys.unusable == [name]

    def test_other_names_are_kept(self):
        for name in ('a', 'Acme Corp', 'M\u00fcller'):
            assert index(scenes.organisation(name, 'k')).find('k').name == name

    def test_withdrawn_keys_are_known_until_they_return(self):
        first = index(scenes.organisation('a', 'k1', 'k2'))
        second = index(scenes.organisation('a', 'k2'), earlier=first)
        assert second.was_withdrawn('k1')
        assert not second.was_withdrawn('k2')
        assert not second.was_withdrawn('k3')
        third = key_index.KeyIndex(None, second)
        assert third.was_withdrawn('k1')
        assert third.was_withdrawn('k2')
        fourth = index(scenes.organisation('a', 'k1'), earlier=third)
        assert not fourth.was_withdrawn('k1')

    def test_withdrawn_keys_are_bounded(self, monkeypatch):
        monkeypatch.setattr(key_index, 'MAX_WITHDRAWN', 3)
        keys = index(scenes.organisation('a', 'k0'))
        for number in range(1, 6):
            keys = index(scenes.organisation('a', f'k{number}'), earlier=keys)
        gone = [
            number for number in range(6) if keys.was_withdrawn(f'k{number}')
        ]
        assert gone == [2, 3, 4]


class TestCounts:
    """Counters of 10,000 organisations must not make as many series."""

    def test_largest_are_shown(self):
        counters = counts.OrganisationCounts()
        for number in range(counts.MAX_SHOWN + 2):
            for _ in range(number + 1):
                counters.add(f'o{number}')
        shown = counters.shown()
        assert len(shown) == counts.MAX_SHOWN + 1
        assert shown[counts.OTHERS] == 1 + 2
        assert 'o2' in shown and 'o1' not in shown

    def test_names_are_bounded(self, monkeypatch):
        monkeypatch.setattr(counts, 'MAX_NAMES', 100)
        counters = counts.OrganisationCounts()
        for number in range(1000):
            counters.add('often')
            counters.add(f'o{number}')
        assert len(counters._by_name) <= 100
        assert counters.shown()['often'] == 1000
        assert sum(counters.shown().values()) == 2000


class TestLargeConfigurations:
    """A change of one key must cost the bytes of the change between hosts."""

    async def test_one_key_of_ten_thousand_organisations(self):
        tenants = [
            {
                'name': f'organisation-{number}',
                'api_keys': [f'{number:032x}', f'{number + 10_000:032x}'],
                'rate_per_s': 10,
                'burst': 20,
                'allowed_regions': [],
            }
            for number in range(10_000)
        ]
        old = json.dumps({**scenes.CONFIG, 'tenants': tenants}).encode()
        tenants[5_000]['api_keys'][1] = 'f' * 32
        new = json.dumps(
            {**scenes.CONFIG, 'config_version': 2, 'tenants': tenants}
        ).encode()
        replica_ = replica.Replica()
        replica_.replace((stores.StoredObject('main', 5, old),), 5)
        replica_.apply(
            stores.WatchAnswer(6, (stores.StoredObject('main', 6, new),))
        )
        api = peer_api.PeerApi({'config/': replica_}, None)
        req = test_peer_api.copy_request(5)
        req.target += '&deltas=1'
        resp = await api.serve(req)
        (delta,) = peer_api._decode(resp.body).deltas
        assert value_delta.apply(old, delta.parts) == new
        # The changed organisation and the object with the version, and a few
        # numbers.
        assert len(resp.body) < 1000
