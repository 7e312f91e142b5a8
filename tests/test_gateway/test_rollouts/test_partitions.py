"""Tests of rollouts beside partitions, killed hosts and unready targets."""

import random

import msgspec
import pytest

from ragwortchute.gateway.rollouts import messages
from ragwortchute.gateway.rollouts import neighbours
from ragwortchute.gateway.rollouts import participant
from ragwortchute.gateway.rollouts import records
from ragwortchute.gateway.rollouts import versions
from tests.test_gateway import rig as rigs
from tests.test_gateway.test_rollouts import simulated_faults
from tests.test_gateway.test_rollouts import simulated_host
from tests.test_gateway.test_rollouts import simulation

Phase = records.Phase


def view(heard, silent, now_s=100.0):
    items = [neighbours.Neighbour(f'h{n}', 1, now_s, 0.0) for n in range(heard)]
    items += [neighbours.Neighbour(f's{n}', 1, 0.0, 0.0) for n in range(silent)]
    known = neighbours.View('me')
    known.update(neighbours.Neighbours(items, now_s), set(), now_s)
    return known


class TestView:
    """A host that may not learn of an order must stop to send."""

    @pytest.mark.parametrize(
        ('heard', 'silent', 'unconfirmed_s', 'isolated'),
        [
            (0, 0, 99.0, False),
            (0, 3, 5.9, False),
            (0, 3, 6.1, True),
            (3, 2, 8.9, False),
            (3, 2, 9.1, True),
            # Hosts go on in an outage of the store, also without some others.
            (4, 2, 99.0, False),
        ],
    )
    def test_isolation(self, heard, silent, unconfirmed_s, isolated):
        assert view(heard, silent).is_isolated(unconfirmed_s) == isolated

    def test_coordinator_that_does_not_reply_is_passed_over(self):
        unanswered = neighbours.Unanswered()
        for number in range(3):
            unanswered.note_sent('a', number * 0.5)
            unanswered.note_sent('b', number * 0.5)
            assert not unanswered.passed_over(number * 0.4)
        unanswered.note_reply('b')
        assert unanswered.passed_over(1.0) == {'a'}
        assert not unanswered.passed_over(1.0 + neighbours.SILENT_S)
        items = [neighbours.Neighbour(name, 1, 9.0, 0.0) for name in 'abz']
        known = neighbours.View('m')
        known.update(neighbours.Neighbours(items, 9.0), {'a'}, 9.0)
        assert (known.rank, known.first(2)) == (1, ['b', 'm'])
        assert known.receivers(2) == ['a', 'b']


class World:
    """What a participant asks; it knows two other hosts."""

    def __init__(self):
        self.sent = []
        self.heard_s = 0.0
        self.host = simulated_host.Host.__new__(simulated_host.Host)
        self.host.neighbours = self.neighbours
        self.part = participant.Participant(
            rigs.host('h9', 'a1'),
            0.1,
            self.host,
            lambda names, payload: self.sent.append(names),
            random.Random(1),
            rigs.MemoryLog(),
        )

    def neighbours(self, now_s):
        items = [
            neighbours.Neighbour(name, 1, now_s - 0.5, 0.0)
            for name in ('h0', 'h1')
        ]
        return neighbours.Neighbours(items, now_s)

    def follow(self, phase, now_s):
        record = records.Record('s', 'v2', 15.0, 7, phase, 7)
        self.part.set_record(record, now_s)
        state = self.part.service('s')
        state.versions.used = {'v1'}
        return state

    def reply(self, now_s, *, revision=7, confirmed_age_ms=0, most=True):
        reply = messages.Reply(
            's',
            7,
            int(now_s * 1000),
            int(now_s * 1000),
            revision,
            int(self.part.service('s').record.phase),
            most,
            False,
            confirmed_age_ms,
        )
        self.part.handle('h0', messages.encode(reply), now_s)


class TestPermission:
    """A host must stop before an outcome that does not wait for it."""

    def chosen(self, world, now_s):
        targets = [
            simulated_host.Target(name, name, 'a1', 1.0)
            for name in ('v1', 'v2')
        ]
        world.part.tick(now_s)
        choice = world.part.service('s').choose(
            targets, world.part.trust(now_s), 0.1, first_send=True
        )
        return {
            target.entry.software_version
            for target in (*choice.first, *choice.second)
        }

    def test_contact_allows_old_targets_for_a_time(self):
        world = World()
        world.follow(Phase.OBSERVE, 0.0)
        for now_s, expected in ((8.9, {'v1'}), (9.1, set())):
            world.reply(now_s, confirmed_age_ms=messages.UNCONFIRMED_MS)
            assert self.chosen(world, now_s) == expected

    def test_contact_with_a_minority_allows_nothing(self):
        world = World()
        world.follow(Phase.OBSERVE, 0.0)
        world.reply(5.0, confirmed_age_ms=messages.UNCONFIRMED_MS, most=False)
        assert self.chosen(world, 5.0) == set()

    def test_coordinator_confirms_the_record(self):
        world = World()
        world.follow(Phase.WIDEN, 0.0)
        for revision, age_ms, expected in (
            (7, 1300, set()),
            (6, 0, set()),
            (7, 900, {'v1'}),
        ):
            world.reply(
                10.0, revision=revision, confirmed_age_ms=age_ms, most=False
            )
            assert self.chosen(world, 10.0) >= expected
            assert bool(self.chosen(world, 10.0)) == bool(expected)
        assert self.chosen(world, 10.4) == set()

    def test_contact_allows_the_new_version_after_the_decision(self):
        world = World()
        world.follow(Phase.MOVE, 0.0)
        world.reply(10.0, confirmed_age_ms=messages.UNCONFIRMED_MS)
        assert self.chosen(world, 10.0) == {'v2'}

    def test_evidence_of_an_ended_order_is_dropped(self):
        # At 784 hosts it takes megabytes, for each service.
        world = World()
        state = world.follow(Phase.OBSERVE, 0.0)
        world.part.coordinator(state)
        world.part.set_record(
            msgspec.structs.replace(
                state.record, phase=Phase.ROLLED_BACK, revision=8
            ),
            1.0,
        )
        world.part.tick(1.1)
        assert not world.part._coordinators

    def test_nothing_is_chosen_that_is_not_admitted(self):
        # A request would choose targets over and over until its deadline.
        world = World()
        state = world.part.service('s')
        old_ms = 1
        targets = [
            simulated_host.Target(name, name, 'a1', 1.0)
            for name in ('v1', 'v2')
        ]
        seen = [
            versions.SeenTarget(name, old_ms, True) for name in ('v1', 'v2')
        ]
        for now_s in (-versions.ASK_S, 0.0):
            # Other hosts may tell meanwhile which of them are in use.
            assert not state.versions.used
            state.update_targets(seen, now_s, 10**6)
        assert state.versions.used == {'v1', 'v2'}
        for confirmed_s, count in ((float('-inf'), 0), (0.9, 2)):
            world.part.confirmed_s = confirmed_s
            trust = world.part.trust(1.0)
            choice = state.choose(targets, trust, 0.1, first_send=True)
            admitted = [
                target
                for target in targets
                if state.admits(target, trust, first_send=True)
            ]
            assert choice.first == admitted
            assert len(admitted) == count


CUTS = {
    'long-before': -40.0,
    'before': 0.05,
    'observe': 4.0,
    'move': 8.5,
    'drain': 9.5,
}


@pytest.mark.parametrize('share', [0.25, 0.6])
@pytest.mark.parametrize('start_s', CUTS.values(), ids=CUTS)
class TestPartitions:
    """No host may send to old targets when these stop.

    Requests there are lost, as targets stop without a drain.
    """

    @pytest.mark.parametrize('first', [False, True], ids=['others', 'first'])
    @pytest.mark.parametrize('store', [False, True], ids=['alone', 'store'])
    def test_nothing_runs_at_old_targets(self, share, start_s, first, store):
        cut = simulated_faults.Cut(
            share, start_s, reaches_store=store, first=first
        )
        world = simulation.World(0, 8, 'good', cut=cut).run(25.0)
        assert not world.broken
        assert len(world.outcomes) <= 1


class TestKilledHosts:
    """A good version must be moved to although hosts are gone for good."""

    @pytest.mark.parametrize('share', [0.1, 0.6])
    @pytest.mark.parametrize('start_s', [0.5, 4.0, 7.5])
    def test_good_version_succeeds_before_the_deadline(self, share, start_s):
        cut = simulated_faults.Cut(share, start_s, kills=True)
        for hosts in (8, 24):
            world = simulation.World(0, hosts, 'good', cut=cut).run()
            assert not world.broken
            assert world.outcomes == ['succeeded']
            assert world.outcome_s <= world.order_s + simulation.DURATION_S

    @pytest.mark.parametrize(('seed', 'hosts'), [(27, 8), (36, 24)])
    def test_most_hosts_are_killed_before_the_decision(self, seed, hosts):
        # Their heartbeats count for 4 s; no report of them is waited for.
        cut = simulated_faults.Cut(0.6, 7.5, kills=True)
        world = simulation.World(seed, hosts, 'good', cut=cut).run()
        assert not world.broken
        assert world.outcomes == ['succeeded']
        assert world.outcome_s <= world.order_s + simulation.DURATION_S

    @pytest.mark.parametrize('start_s', [0.5, 4.0, 7.0])
    def test_first_hosts_are_killed(self, start_s):
        # The coordinators are among these.
        cut = simulated_faults.Cut(0.25, start_s, first=True, kills=True)
        world = simulation.World(0, 8, 'good', cut=cut).run()
        assert not world.broken
        assert world.outcomes == ['succeeded']
        assert world.outcome_s <= world.order_s + simulation.DURATION_S

    def test_first_host_returns_without_its_evidence(self):
        # It does not know then which of the dead hosts have had the order.
        cut = simulated_faults.Cut(0.2, 7.0, kills=True)
        world = simulation.World(0, 24, 'good', cut=cut)
        world.at(7.0, world.kill, world.hosts['h000'], True)
        world.run()
        assert not world.broken
        assert world.outcomes == ['succeeded']
        assert world.outcome_s <= world.order_s + simulation.DURATION_S


@pytest.mark.parametrize('hosts', [8, 102])
@pytest.mark.parametrize('unready_s', [(0.5, 99.0), (2.0, 6.0), (6.0, 10.0)])
class TestOldTargetsUnready:
    """The limit on a version that may be bad holds without an old target."""

    @pytest.mark.parametrize('kind', ['fails-0.3', 'fails-0.05', 'slow'])
    def test_exposure_is_bounded(self, hosts, unready_s, kind):
        world = simulation.World(0, hosts, kind, unready_s=unready_s).run()
        assert not world.broken
        assert world.outcomes == ['rolled_back']
        assert world.refused
