"""Tests of what the listener for callers knows."""

import random

import pytest

from ragwortchute import clock as clocks
from ragwortchute import directory
from ragwortchute import documents
from ragwortchute.records import tokens
from tests import fakes


class TestRefusalReason:
    """Whether this host takes new work."""

    @pytest.mark.parametrize(
        ('change', 'reason'),
        [
            (lambda setup: setup.outs.add('luzon-makati'), 'domain-out'),
            (lambda setup: setup.hosts.remove('h1'), 'wrong-host'),
        ],
    )
    async def test_change_is_seen_soon(self, change, reason):
        """Guards against a kept reason that outlives an order or a view."""
        clock = clocks.ManualClock()
        setup = fakes.FakeMembership('h1', ['h2', 'h1'])
        setup.outs = set()
        subject = directory.HostDirectory(
            membership=setup,
            tokens=None,
            domain_out=setup.outs.__contains__,
            rng=random.Random(1),
            clock=clock,
            lifetime_ms=5000,
        )
        subject.apply(documents.ServiceDocument('billing', (), ()), 1)
        assert subject.refusal_reason('billing') == ''
        change(setup)
        await clock.advance(0.02)
        assert subject.refusal_reason('billing') == reason


class TestJoining:
    """A host without slots must not take calls that others can serve."""

    def make(self, hosts):
        self.clock = clocks.ManualClock()
        self.setup = fakes.FakeMembership('h1', hosts)
        subject = directory.HostDirectory(
            membership=self.setup,
            tokens=tokens.TokenMint('k' * 16, self.clock, 60.0),
            domain_out=lambda name: False,
            rng=random.Random(1),
            clock=self.clock,
            lifetime_ms=5000,
        )
        subject.has_slots = lambda service: self.slots
        self.slots = False
        subject.apply(documents.ServiceDocument('billing', (), ()), 1)
        return subject

    async def test_refuses_until_it_has_slots(self):
        subject = self.make(['h2', 'h1'])
        assert subject.refusal_reason('billing') == 'joining'
        listed = subject.addresses('billing', '').hosts
        assert [address.host for address in listed] == ['h2']
        self.slots = True
        await self.clock.advance(0.02)
        assert subject.refusal_reason('billing') == ''

    async def test_lost_slots_later_do_not_count_as_joining(self):
        """Guards against refusals while all targets of a service are down."""
        subject = self.make(['h2', 'h1'])
        self.slots = True
        assert subject.refusal_reason('billing') == ''
        self.slots = False
        await self.clock.advance(0.02)
        assert subject.refusal_reason('billing') == ''

    async def test_ends_after_a_bounded_time(self):
        """Guards against a set of which every host refuses for ever."""
        subject = self.make(['h2', 'h1'])
        assert subject.refusal_reason('billing') == 'joining'
        await self.clock.advance(10.1)
        assert subject.refusal_reason('billing') == ''

    def test_only_host_takes_calls_at_once(self):
        assert self.make(['h1']).refusal_reason('billing') == ''


class TestAnyPath:
    """An answer for one route must not serve a route with other homes."""

    @pytest.mark.parametrize(
        ('homes', 'tenant_homes', 'any_path'),
        [
            ((), {}, True),
            (('luzon',), {}, False),
            ((), {'t1': ('luzon',)}, False),
            ((), {'t2': ('luzon',)}, True),
        ],
    )
    def test_holds_only_if_all_routes_have_the_same_homes(
        self, homes, tenant_homes, any_path
    ):
        subject = TestJoining().make(['h1'])
        routes = (
            documents.Route('plain'),
            documents.Route('homed', homes=homes, tenant_homes=tenant_homes),
        )
        subject.apply(documents.ServiceDocument('billing', (), routes), 2)
        assert subject.addresses('billing', 't1').any_path is any_path
