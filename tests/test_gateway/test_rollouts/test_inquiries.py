"""Tests of questions about the versions in use."""

import random

import pytest

from ragwortchute.gateway.rollouts import neighbours
from ragwortchute.gateway.rollouts import phases
from ragwortchute.gateway.rollouts import records
from ragwortchute.gateway.rollouts import versions
from tests.test_gateway import rig as rigs
from tests.test_gateway.test_rollouts import simulated_host

Phase = records.Phase
SEEN = [versions.SeenTarget(name, 1, True) for name in ('v0', 'v1')]


class World:
    """Two hosts that get each other's messages at once."""

    now_s = 0.0

    def __init__(self):
        self.rng, self.log = random.Random(1), rigs.MemoryLog()
        hosts = [simulated_host.Host(self, name) for name in ('h0', 'h1')]
        self.hosts = {host.name: host for host in hosts}
        self.asking, self.other = (host.part for host in hosts)
        self.asking.confirmed_s = self.other.confirmed_s = 0.0

    def neighbours(self, cut_off):
        items = [neighbours.Neighbour(name, 1, 0, 0) for name in self.hosts]
        return neighbours.Neighbours(items, 0.0)

    def send(self, sender, name, payload):
        self.hosts[name].part.handle(sender.name, payload, 0.0)

    def ask(self, now_s=0.0):
        """Returns the state of the host that starts after it has asked."""
        state = self.asking.service('s')
        state.update_targets(SEEN, now_s, 10**6, 0.0)
        self.asking.tick(now_s)
        return state


def record(revision, version, phase=Phase.NONE):
    return records.Record('s', version, 15.0, revision, phase)


class TestAnswers:
    """Only what is certain and new enough may be told and followed."""

    def test_outcome_is_told(self):
        world = World()
        state = world.other.service('s')
        state.update_targets(SEEN[:1], 0.0, 0)
        state.set_record(record(7, 'v1', Phase.SUCCEEDED), 0.0)
        state.remove_record(8, 0.0)
        asking = world.ask()
        assert asking.versions.used == {'v1'}
        assert asking.versions.refused == {'v0'}
        assert not asking.versions.is_open(0.0)

    @pytest.mark.parametrize('other', [None, 6, 7])
    def test_older_record_is_not_told(self, other):
        world = World()
        state = world.other.service('s')
        state.update_targets(SEEN[:1], 0.0, 0)
        if other is not None:
            state.set_record(record(other, 'v2'), 0.0)
        world.asking.set_record(record(7, 'v2'), 0.0)
        assert world.ask().versions.is_open(0.0) == (other != 7)

    def test_running_order_is_not_told_to_a_host_without_one(self):
        # `succeeded` may have been written and removed since it was read.
        world = World()
        state = world.other.service('s')
        state.update_targets(SEEN[:1], 0.0, 0)
        state.set_record(record(6, 'v1', Phase.DRAIN), 0.0)
        assert world.ask().versions.is_open(0.0)

    def test_guess_is_not_told_and_does_not_last(self):
        world = World()
        assert world.ask().versions.is_open(versions.ASK_S - 0.1)
        state = world.other.service('s')
        state.update_targets(SEEN, 0.0, 0)
        state.update_targets(SEEN, versions.ASK_S, 10**6)
        world.ask(versions.ASK_S)
        asking = world.ask(versions.ASK_S + 1)
        assert asking.versions.used == {'v0', 'v1'}
        assert not asking.versions.certain
        state.versions.settle('v1', succeeded=True)
        assert world.ask(versions.ASK_S + 2).versions.used == {'v1'}


class TestMissedOutcomes:
    """A host must not rely on what it knew before it missed an outcome."""

    @pytest.mark.parametrize(
        ('phase', 'unconfirmed_s', 'missed'),
        [
            (None, 5.9, False),
            (None, 6.1, True),
            (Phase.SUCCEEDED, 5.9, False),
            (Phase.SUCCEEDED, 6.1, True),
            (Phase.MOVE, 1.9, False),
            (Phase.MOVE, 2.1, True),
            (Phase.DRAIN, 0.1, True),
        ],
    )
    def test_versions_become_uncertain(self, phase, unconfirmed_s, missed):
        known = phase and record(7, 'v1', phase)
        assert phases.may_have_succeeded(known, unconfirmed_s) == missed
        world = World()
        state = world.asking.service('s')
        state.update_targets(SEEN[:1], 0.0, 0)
        if known:
            world.asking.set_record(known, 0.0)
        world.asking.set_record(record(9, 'v2'), unconfirmed_s)
        assert state.versions.certain != missed

    def test_order_may_have_come_and_gone_unseen(self):
        world = World()
        state = world.asking.service('s')
        state.update_targets(SEEN[:1], 0.0, 0)
        for confirmed_s, certain in ((5.0, True), (12.0, False)):
            world.asking.confirm(confirmed_s)
            assert state.versions.certain == certain
