"""Tests of what the listener for callers knows."""

import random

import pytest

from ragwortchute import clock as clocks
from ragwortchute import directory
from ragwortchute import documents
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
