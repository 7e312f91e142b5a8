"""Tests of the directory of documents and entry hosts."""

import random

import pytest

from ragwortchute import clock as clock_lib
from ragwortchute import directory
from ragwortchute import documents
from ragwortchute.records import tokens
from tests import fakes


class TestRefusalReason:
    """Tests of whether a host accepts new calls."""

    @pytest.mark.parametrize(
        ('change', 'reason'),
        [
            (
                lambda membership: membership.domains_out.add('luzon-makati'),
                'domain-out',
            ),
            (lambda membership: membership.hosts.remove('h1'), 'wrong-host'),
        ],
    )
    async def test_cached_reason_expires(self, change, reason):
        """Guards against a cached reason that ignores a new order or view."""
        clock = clock_lib.ManualClock()
        membership = fakes.FakeMembership('h1', ['h2', 'h1'])
        membership.domains_out = set()
        host_directory = directory.HostDirectory(
            membership=membership,
            tokens=None,
            domain_out=membership.domains_out.__contains__,
            rng=random.Random(1),
            clock=clock,
            lifetime_ms=5000,
        )
        host_directory.apply(documents.ServiceDocument('billing', (), ()), 1)
        assert host_directory.refusal_reason('billing') == ''
        change(membership)
        await clock.advance(0.02)
        assert host_directory.refusal_reason('billing') == reason


class TestJoining:
    """A host without slots must refuse calls that other hosts can serve."""

    def make_directory(self, hosts):
        self.clock = clock_lib.ManualClock()
        self.membership = fakes.FakeMembership('h1', hosts)
        host_directory = directory.HostDirectory(
            membership=self.membership,
            tokens=tokens.TokenMint('k' * 16, self.clock, 60.0),
            domain_out=lambda name: False,
            rng=random.Random(1),
            clock=self.clock,
            lifetime_ms=5000,
        )
        host_directory.has_slots = lambda service: self.slots
        self.slots = False
        host_directory.apply(documents.ServiceDocument('billing', (), ()), 1)
        return host_directory

    async def test_refuses_until_it_has_slots(self):
        host_directory = self.make_directory(['h2', 'h1'])
        assert host_directory.refusal_reason('billing') == 'joining'
        listed = host_directory.addresses('billing', '').hosts
        assert [address.host for address in listed] == ['h2']
        self.slots = True
        await self.clock.advance(0.02)
        assert host_directory.refusal_reason('billing') == ''

    async def test_host_that_later_loses_its_slots_is_not_joining(self):
        """Guards against refusals while all targets of a service are down."""
        host_directory = self.make_directory(['h2', 'h1'])
        self.slots = True
        assert host_directory.refusal_reason('billing') == ''
        self.slots = False
        await self.clock.advance(0.02)
        assert host_directory.refusal_reason('billing') == ''

    async def test_joining_ends_after_a_bounded_time(self):
        """Guards against a serving set in which every host refuses forever."""
        host_directory = self.make_directory(['h2', 'h1'])
        assert host_directory.refusal_reason('billing') == 'joining'
        await self.clock.advance(10.1)
        assert host_directory.refusal_reason('billing') == ''

    def test_only_host_accepts_calls_at_once(self):
        assert self.make_directory(['h1']).refusal_reason('billing') == ''


class TestAnyPath:
    """An answer must not be used for a route with other home regions."""

    @pytest.mark.parametrize(
        ('homes', 'tenant_homes', 'any_path'),
        [
            ((), {}, True),
            (('luzon',), {}, False),
            ((), {'t1': ('luzon',)}, False),
            ((), {'t2': ('luzon',)}, True),
        ],
    )
    def test_is_set_only_if_all_routes_have_the_same_homes(
        self, homes, tenant_homes, any_path
    ):
        host_directory = TestJoining().make_directory(['h1'])
        routes = (
            documents.Route('plain'),
            documents.Route('homed', homes=homes, tenant_homes=tenant_homes),
        )
        host_directory.apply(
            documents.ServiceDocument('billing', (), routes), 2
        )
        assert host_directory.addresses('billing', 't1').any_path is any_path
