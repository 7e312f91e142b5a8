"""Tests of the parts of rollouts."""

import json
import random

import pytest

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway.rollouts import coordinator
from ragwortchute.gateway.rollouts import evidence
from ragwortchute.gateway.rollouts import exposure
from ragwortchute.gateway.rollouts import judgement
from ragwortchute.gateway.rollouts import messages
from ragwortchute.gateway.rollouts import neighbours
from ragwortchute.gateway.rollouts import phases
from ragwortchute.gateway.rollouts import records
from ragwortchute.gateway.rollouts import service_state
from ragwortchute.gateway.rollouts import versions
from ragwortchute.platform import objects
from ragwortchute.platform import rollout_feed
from standins import platform_store
from tests.test_gateway import rig as rigs

Phase = records.Phase
ORDER = {'service': 's', 'target_version': 'v2', 'duration_s': 15}


def decode(spec, status=None):
    obj = stores.StoredObject(
        's', 7, json.dumps(spec).encode(), json.dumps(status).encode()
    )
    return rollout_feed.decode_record(obj, rigs.MemoryLog())


class TestOrders:
    """An order that can't be carried out must not start a rollout."""

    @pytest.mark.parametrize(
        ('fields', 'problem'),
        [
            ({}, ''),
            ({'duration_s': 0}, 'no-time'),
            ({'duration_s': -1}, 'no-time'),
            ({'duration_s': None}, 'unlimited-time'),
            ({'duration_s': True}, 'unlimited-time'),
            ({'duration_s': 1e300}, 'unlimited-time'),
            ({'target_version': ''}, 'unreadable'),
            ({'target_version': 2}, 'unreadable'),
            ({'service': 'other'}, 'other-service'),
        ],
    )
    def test_problem_is_told(self, fields, problem):
        assert decode({**ORDER, **fields}).problem == problem

    @pytest.mark.parametrize(
        ('status', 'phase'),
        [
            (None, Phase.NONE),
            ('x', Phase.NONE),
            ({'state': 'running', 'phase': 'drain'}, Phase.DRAIN),
            ({'state': 'running'}, Phase.OBSERVE),
            ({'state': 'running', 'phase': 'succeeded'}, Phase.OBSERVE),
            ({'state': 'rolled_back'}, Phase.ROLLED_BACK),
        ],
    )
    def test_status_is_read(self, status, phase):
        if isinstance(status, dict):
            status['target_version'] = 'v2'
        assert decode(ORDER, status).phase == phase

    def test_status_of_an_earlier_version_does_not_end_the_order(self):
        status = {'state': 'succeeded', 'target_version': 'v1'}
        record = decode(ORDER, status)
        assert record.phase == Phase.NONE
        assert record.settled_version == 'v1'

    def test_status_names_state_and_version(self):
        status = records.make_status(decode(ORDER), Phase.MOVE)
        assert (status.state, status.target_version) == ('running', 'v2')
        assert status.order_id == 7


class TestStatusWrites:
    """A status must not be written over a change that was not seen."""

    async def test_revision_decides(self):
        server = platform_store.ObjectServer()
        await server.start()
        store = objects.ObjectStore('127.0.0.1', server.port)
        revision = await server.put('rollouts', 's', ORDER)
        written = await store.put_status(
            'rollouts/s', b'{"state":"running"}', expected_version=revision
        )
        assert (await store.get('rollouts/s')).status == written.status
        assert (await store.list('rollouts/'))[0].status == written.status
        for name in ('rollouts/s', 'rollouts/none'):
            with pytest.raises(errors.VersionConflict):
                await store.put_status(name, b'{}', expected_version=revision)
        await store.close()
        await server.stop()


def seen(version, born_ms=0, ready=True):
    return versions.SeenTarget(version, born_ms, ready)


class TestVersions:
    """A new version must not be used before an order settles it."""

    def test_new_version_waits(self):
        known = versions.Versions()
        known.update([seen('v1')], None, 0.0, 10**6)
        known.update([seen('v1'), seen('v2', 10**6)], None, 1.0, 10**6)
        assert known.used == {'v1'}

    def test_new_version_is_used_if_no_order_comes(self):
        known = versions.Versions()
        known.update([seen('v1')], None, 0.0, 0)
        both = [seen('v1'), seen('v2')]
        known.update(both, None, 1.0, 0)
        assert known.update(both, 'v2', 99.0, 0) == []
        assert known.update(both, None, 99.0, 0) == ['v2']

    def test_only_ready_version_is_used(self):
        known = versions.Versions()
        known.update([seen('v1')], None, 0.0, 0)
        known.update([seen('v1', ready=False), seen('v2')], None, 1.0, 0)
        assert 'v2' in known.used

    def test_only_ready_version_waits_for_the_orders(self):
        # An order that names it may have been written just before.
        known = versions.Versions()
        known.update([seen('v1')], None, 0.0, 0, 0.0)
        left = [seen('v1', ready=False), seen('v2')]
        assert known.update(left, None, 1.0, 0, 0.9) == []
        assert known.update(left, 'v2', 1.5, 0, 1.1) == []
        assert known.update(left, None, 2.0, 0, 1.1) == ['v2']

    def test_restarted_host_uses_the_older_version(self):
        known = versions.Versions()
        known.update([seen('v2', 90_000), seen('v1', 5)], None, 0.0, 100_000)
        assert known.used == {'v1'}

    def test_restarted_host_does_not_use_a_refused_version(self):
        # A target of a version that was rolled back may still be registered.
        targets = [seen('v0', 1), seen('v1', 2), seen('v2', 3)]
        known = versions.Versions()
        known.update(targets, 'v2', 0.0, 10)
        assert known.used == {'v0'}
        known = versions.Versions()
        known.refuse(['v0'])
        known.update(targets, 'v2', 0.0, 10**6)
        assert known.used == {'v1'}

    def test_outcome_settles(self):
        for succeeded, used in ((True, {'v2'}), (False, {'v1'})):
            known = versions.Versions()
            known.update([seen('v1')], None, 0.0, 0)
            known.begin_order('v2', 0.0)
            known.settle('v2', succeeded=succeeded)
            known.update([seen('v1'), seen('v2')], None, 99.0, 0)
            assert known.used == used


class TestRefusedVersions:
    """A host that starts must learn from an outcome what it has replaced."""

    def test_outcome_names_replaced_versions(self):
        state = service_state.ServiceState(
            's', 0.1, random.Random(1), rigs.MemoryLog()
        )
        state.update_targets([seen('v1')], 0.0, 0)
        state.set_record(records.Record('s', 'v2', 15.0, 1, Phase.DRAIN), 0.0)
        assert state.refused_versions(Phase.DRAIN) == ()
        assert state.refused_versions(Phase.SUCCEEDED) == ('v1',)
        # The list is bounded; versions without targets matter less.
        state.versions.refuse(f'old{number}' for number in range(9))
        assert 'v1' in state.refused_versions(Phase.SUCCEEDED)


class TestExposure:
    """The shares of hosts with few requests must add up to the whole."""

    @pytest.mark.parametrize('hosts', [8, 102, 784])
    def test_bound_holds_at_any_time(self, hosts):
        rng = random.Random(hosts)
        limits = [exposure.Exposure(rng) for _ in range(hosts)]
        sent = 0
        for number in range(1, 6000):
            limit = rng.choice(limits)
            canary = limit.allows(0.085)
            limit.note_send(first=True, canary=canary)
            sent += canary
            assert sent <= 0.1 * number + 50
        assert sent >= 0.06 * 6000


def buckets(old, new, periods=10, *, domain=1):
    """Returns periods with responses and failures, new ones by target."""
    cells = {
        evidence.CellKey(False, 1, domain, 0): evidence.Counts(
            old[0], old[1], old[0], 0
        )
    }
    for target, counts in enumerate(new, 1):
        key = evidence.CellKey(True, 1, domain, target)
        cells[key] = evidence.Counts(*counts, counts[0], 0)
    return [evidence.Bucket(index * 0.5, cells) for index in range(periods)]


class TestJudgement:
    """What both versions suffer from must not count against the new one."""

    @pytest.mark.parametrize(
        ('old', 'new', 'bad'),
        [
            ((100, 0), [(10, 0), (10, 0)], False),
            ((100, 0), [(10, 1), (10, 1)], True),
            ((100, 20), [(10, 2), (10, 2)], False),
            ((100, 20), [(10, 6), (10, 6)], True),
            # A single broken target does not make a version bad.
            ((100, 0), [(10, 2), (10, 0)], False),
            ((100, 0), [(10, 5), (10, 0)], True),
            # After the move there is no old version to compare with.
            ((0, 0), [(50, 1), (50, 1)], False),
            ((0, 0), [(50, 15), (50, 15)], True),
        ],
    )
    def test_verdict(self, old, new, bad):
        assert bool(judgement.judge(buckets(old, new), 2.0).bad) == bad

    def test_lost_domain_is_no_fault_of_the_version(self):
        periods = buckets((100, 1), [(10, 0), (10, 0)], 8)
        lost = buckets((100, 1), [(10, 0)], 1)[0]
        lost.cells[evidence.CellKey(False, 1, 2, 0)] = evidence.Counts(30, 20)
        lost.cells[evidence.CellKey(True, 1, 2, 9)] = evidence.Counts(6, 4)
        assert not judgement.judge([*periods, lost], 2.0).bad

    def test_lost_domain_after_the_move_is_no_fault_of_the_version(self):
        periods = buckets((0, 0), [(40, 0), (40, 0)], 4)
        for domain in (1, 2, 3):
            key = evidence.CellKey(True, 1, domain, domain)
            periods[-1].cells[key] = evidence.Counts(30, 0)
        periods[-1].cells[key] = evidence.Counts(30, 20)
        assert not judgement.judge(periods, 1.0).bad

    def test_few_responses_raise_no_doubt(self):
        for failed in (0, 1):
            periods = buckets((10, 0), [(3, 0)], 9)
            periods += buckets((10, 0), [(3, failed)], 1)
            assert not judgement.judge(periods, 2.0).doubtful
        assert judgement.judge(buckets((10, 0), [(3, 1)], 4), 2.0).doubtful

    def test_nothing_is_good_before_late_responses(self):
        assert not judgement.judge(buckets((90, 0), [(20, 0)]), 9.0).good
        assert judgement.judge(buckets((90, 0), [(20, 0)]), 2.0).good


GOOD = {'responses': 99, 'late_responses': 40}
DOUBTFUL = {**GOOD, 'doubtful': True}
CLEAR = {**GOOD, 'good': True}


def situation(phase, fraction=0.0, **fields):
    record = records.Record(
        's', 'v2', 15.0, 1, phase, problem=fields.pop('problem', '')
    )
    verdict = judgement.Verdict(**fields.pop('verdict', GOOD))
    values = {'fresh': True, 'stopped': False, 'moved': False, 'drained': False}
    return phases.Situation(record, fraction, verdict, **{**values, **fields})


class TestPhases:
    """Each phase must be left only for a reason that the evidence gives."""

    @pytest.mark.parametrize(
        ('now', 'phase'),
        [
            (situation(Phase.NONE), Phase.OBSERVE),
            (situation(Phase.NONE, problem='no-time'), Phase.ROLLED_BACK),
            (situation(Phase.OBSERVE, 0.4), None),
            (situation(Phase.OBSERVE, 0.5), Phase.WIDEN),
            (situation(Phase.OBSERVE, 0.9, verdict={}), None),
            (situation(Phase.OBSERVE, 1.0, verdict={}), Phase.ROLLED_BACK),
            (situation(Phase.WIDEN, 0.57), None),
            (situation(Phase.WIDEN, 0.6), None),
            (situation(Phase.WIDEN, 0.64), Phase.MOVE),
            (situation(Phase.WIDEN, 0.64, fresh=False), None),
            (situation(Phase.WIDEN, 0.6, verdict=DOUBTFUL), None),
            (situation(Phase.WIDEN, 0.64, verdict=DOUBTFUL), Phase.ROLLED_BACK),
            (situation(Phase.WIDEN, 0.56, verdict=CLEAR), Phase.MOVE),
            (situation(Phase.WIDEN, 0.7, verdict={'responses': 9}), None),
            (situation(Phase.WIDEN, 0.8, verdict={'responses': 9}), Phase.MOVE),
            (
                situation(
                    Phase.WIDEN, 0.8, verdict={'responses': 9}, old_ready=False
                ),
                None,
            ),
            (
                situation(
                    Phase.WIDEN, 1.0, verdict={'responses': 9}, old_ready=False
                ),
                Phase.ROLLED_BACK,
            ),
            (situation(Phase.WIDEN, 0.64, old_ready=False), Phase.MOVE),
            (situation(Phase.MOVE, 0.6), None),
            (situation(Phase.MOVE, 0.6, moved=True), Phase.DRAIN),
            (situation(Phase.MOVE, 0.7), Phase.DRAIN),
            # Without a target of the new version, old ones are still needed.
            (situation(Phase.MOVE, 0.7, obstacle='no-target'), None),
            (situation(Phase.MOVE, moved=True, obstacle='no-target'), None),
            (
                situation(Phase.MOVE, 1.0, obstacle='no-target'),
                Phase.ROLLED_BACK,
            ),
            (situation(Phase.DRAIN, 2.0), None),
            (situation(Phase.DRAIN, 2.0, drained=True), Phase.SUCCEEDED),
            (
                situation(Phase.DRAIN, drained=True, stopped=True),
                Phase.ROLLED_BACK,
            ),
            (situation(Phase.SUCCEEDED, stopped=True), None),
        ],
    )
    def test_next_step(self, now, phase):
        step = phases.next_step(now)
        assert (step and step.phase) == phase


class TestDrain:
    """Old targets must not be stopped while a host may send to them."""

    @pytest.mark.parametrize('phase', [Phase.NONE, Phase.DRAIN])
    def test_sends_before_the_order_are_waited_for(self, phase):
        # Those of an earlier process, and after an order that is not taken up.
        state = service_state.ServiceState(
            's', 0.1, random.Random(1), rigs.MemoryLog(), 4.0
        )
        state.set_record(records.Record('s', 'v2', 15.0, 1, phase, 1), 0.0)
        record = records.Record('s', 'v2', 15.0, 2, Phase.DRAIN, 1)
        state.set_record(record, 1.0)
        assert not state.has_drained(3.9)
        assert state.has_drained(4.1)

    def drained(
        self,
        now_s,
        *,
        heard_s,
        report=True,
        incarnation=1,
        age_s=20.0,
        others=(),
    ):
        state = service_state.ServiceState(
            's', 0.1, random.Random(1), rigs.MemoryLog()
        )
        record = records.Record('s', 'v2', 15.0, 1, Phase.DRAIN, 1)
        state.set_record(record, 0.0)
        state.note_age(age_s, 0.0)
        state.old_sends.note_send(0, 4.0)
        known = coordinator.Coordinator(1)
        if report is not None:
            message = messages.Report('s', 1, 1, 1, 0, 0, 1, report, 9, 9, b'')
            known.note_report('h2', message, 0.0, 0.0)
        items = [neighbours.Neighbour('h2', incarnation, heard_s, -9.0)]
        items += [neighbours.Neighbour(name, 1, -99.0, -9.0) for name in others]
        view = neighbours.View('h1')
        view.update(neighbours.Neighbours(items, now_s), set(), now_s)
        return known.has_drained(state, view, 4.0, 1.2, now_s)

    def test_agreed_host_is_not_waited_for(self):
        assert self.drained(4.1, heard_s=0.0)

    def test_own_requests_are_waited_for(self):
        assert not self.drained(3.9, heard_s=0.0)

    def test_host_that_is_heard_must_agree(self):
        assert not self.drained(20.0, heard_s=19.0, report=False)
        assert not self.drained(20.0, heard_s=19.0, report=None)

    def test_restarted_host_must_agree_again(self):
        assert not self.drained(20.0, heard_s=19.0, incarnation=2)

    def test_silent_host_is_waited_for_until_its_copy_is_too_old(self):
        assert not self.drained(5.4, heard_s=0.0, report=False)
        assert self.drained(5.5, heard_s=0.0, report=False)

    def test_host_without_the_order_is_waited_for_longer(self):
        assert not self.drained(10.2, heard_s=0.0, report=None)
        assert self.drained(10.3, heard_s=0.0, report=None)

    def test_silent_host_may_have_contact_with_another_coordinator(self):
        # At an age of 9 s it stops; its requests end 4 s later.
        assert not self.drained(13.9, heard_s=0.0, report=False, age_s=0.0)
        assert self.drained(14.1, heard_s=0.0, report=False, age_s=0.0)

    def test_silent_hosts_that_may_be_most_are_waited_for(self):
        # They may have a coordinator, and not know of the order.
        assert not self.drained(99.0, heard_s=0.0, others=['h3', 'h4'])
        assert self.drained(99.0, heard_s=0.0, others=['h3'])

    def test_hosts_that_only_others_know_count(self):
        # A coordinator that has started in a partition knows only its side.
        state = service_state.ServiceState(
            's', 0.1, random.Random(1), rigs.MemoryLog()
        )
        record = records.Record('s', 'v2', 15.0, 1, Phase.DRAIN, 1)
        state.set_record(record, 0.0)
        state.note_age(20.0, 0.0)
        view = neighbours.View('h1')
        for hosts, drained in ((2, True), (6, True), (7, False)):
            known = coordinator.Coordinator(1)
            message = messages.Report(
                's', 1, 1, 1, 0, 0, 1, True, 9, 9, b'', hosts
            )
            known.note_report('h2', message, 0.0, 90.0)
            items = [neighbours.Neighbour('h2', 1, 98.9, -9.0)]
            view.update(neighbours.Neighbours(items, 99.0), set(), 99.0)
            assert known.has_drained(state, view, 4.0, 1.2, 99.0) == drained
