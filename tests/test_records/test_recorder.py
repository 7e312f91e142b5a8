"""Tests of at-most-once execution across several hosts."""

import asyncio

import pytest
from returns import result

from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute.records import record
from tests.test_records import cluster as cluster_lib

ANSWER = 'answer to one'


@pytest.fixture
async def cluster():
    return cluster_lib.Cluster()


class TestExecute:
    """A key must run at most once, and resends must get its outcome."""

    async def test_resend_gets_the_recorded_answer(self, cluster):
        token = cluster.token('a')
        for name, first in (('a', True), ('a', False), ('b', False)):
            outcome = await cluster.send(name, cluster.call(token, first=first))
            assert cluster_lib.shown(outcome) == ANSWER
        assert cluster.ran == [('k1', 'a')]

    async def test_concurrent_resends_wait_for_the_first_send(self, cluster):
        token = cluster.token('a')
        cluster.gate.clear()
        sent = [
            cluster.spawn(name, cluster.call(token, first=name == 'a'))
            for name in 'abc'
        ]
        await clock_lib.run_ready_tasks()
        cluster.gate.set()
        assert [cluster_lib.shown(await fut) for fut in sent] == [ANSWER] * 3
        assert cluster.ran == [('k1', 'a')]

    async def test_resend_of_a_pending_key_ends_at_its_deadline(self, cluster):
        token = cluster.token('a')
        cluster.gate.clear()
        first = cluster.spawn('a', cluster.call(token))
        await clock_lib.run_ready_tasks()
        again = cluster.spawn('b', cluster.call(token, first=False))
        await cluster.clock.advance(2.1)
        assert cluster_lib.shown(await again).startswith('unknown ')
        cluster.gate.set()
        await first

    async def test_answer_is_recorded_for_a_cancelled_caller(self, cluster):
        token = cluster.token('a')
        cluster.gate.clear()
        first = cluster.spawn('a', cluster.call(token))
        await clock_lib.run_ready_tasks()
        first.cancel()
        cluster.gate.set()
        await clock_lib.run_ready_tasks()
        outcome = await cluster.send('a', cluster.call(token, first=False))
        assert cluster_lib.shown(outcome) == ANSWER
        assert len(cluster.ran) == 1

    async def test_failed_or_cancelled_dispatch_is_unknown(self, cluster):
        async def fail(call):
            raise ValueError(call.key)

        token = cluster.token('a')
        rec = cluster.hosts['a'].recorder
        first = await rec.execute(cluster.call(token), fail)
        assert cluster_lib.shown(first).startswith('unknown ')
        cluster.gate.clear()
        pending = cluster.spawn('a', cluster.call(token, 'k2'))
        not_started = cluster.spawn('a', cluster.call(token, 'k3'))
        await asyncio.sleep(0)
        await rec.close()
        for fut in (pending, not_started):
            assert cluster_lib.shown(await fut).startswith('unknown ')

    async def test_key_reused_with_another_body_is_refused(self, cluster):
        token = cluster.token('a')
        await cluster.send('a', cluster.call(token))
        other = cluster.call(token, first=False, body=b'two')
        outcome = (await cluster.send('b', other)).failure()
        assert (outcome.status, outcome.outcome) == (422, 'unknown')
        assert len(cluster.ran) == 1

    async def test_keys_of_organisations_are_separate(self, cluster):
        token = cluster.token('a')
        await cluster.send('a', cluster.call(token))
        call = cluster.call(token, body=b'two')
        call.tenant = 'u'
        outcome = await cluster.send('a', call)
        assert cluster_lib.shown(outcome) == 'answer to two'

    async def test_answer_too_large_to_record(self, cluster):
        cluster.padding_bytes = record.MAX_KEPT_BODY_BYTES
        token = cluster.token('a')
        first = await cluster.send('a', cluster.call(token))
        assert len(first.unwrap().body) > record.MAX_KEPT_BODY_BYTES
        again = await cluster.send('a', cluster.call(token, first=False))
        assert cluster_lib.shown(again) == 'ran answer-not-kept'

    async def test_recorded_unknown_outcome_is_not_run_again(self, cluster):
        """Guards against running a key again after its answer was lost."""
        cluster.outcome = cluster_lib.refused(calls.Outcome.UNKNOWN)
        token = cluster.token('a')
        await cluster.send('a', cluster.call(token))
        cluster.outcome = None
        again = await cluster.send('a', cluster.call(token, first=False))
        assert cluster_lib.shown(again) == 'unknown test'
        assert len(cluster.ran) == 1

    async def test_key_without_token_is_not_run(self, cluster):
        """Guards against running a key that is not bound to an origin."""
        first = await cluster.send('a', cluster.call(''))
        assert cluster_lib.shown(first) == 'not-run no-origin-token'
        again = await cluster.send('a', cluster.call('', first=False))
        assert cluster_lib.shown(again) == 'unknown no-origin-token'
        await cluster.send('a', cluster.call(cluster.token('a')))
        known = await cluster.send('a', cluster.call('', first=False))
        assert cluster_lib.shown(known) == ANSWER

    async def test_call_without_key_runs_each_time(self, cluster):
        for _ in range(2):
            await cluster.send('a', cluster.call('', key=''))
        assert len(cluster.ran) == 2

    @pytest.mark.parametrize('key', ['k' * 257, 'a\0b', 'é'])
    async def test_bad_key_is_refused(self, cluster, key):
        call = cluster.call(cluster.token('a'), key)
        outcome = await cluster.send('a', call)
        assert cluster_lib.shown(outcome) == 'not-run bad-key'

    async def test_bad_token_is_refused(self, cluster):
        outcome = await cluster.send('a', cluster.call('o1.AAAA', first=False))
        assert cluster_lib.shown(outcome) == 'unknown bad-token'


class TestNotRun:
    """After `not-run` callers use another origin, so it must stay true."""

    async def test_late_send_under_a_refused_token_does_not_run(self, cluster):
        token = cluster.token('a')
        cluster.outcome = cluster_lib.refused(calls.Outcome.NOT_RUN)
        first = await cluster.send('a', cluster.call(token))
        cluster.outcome = None
        late = await cluster.send('b', cluster.call(token, first=False))
        assert cluster_lib.shown(first) == 'not-run test'
        assert cluster_lib.shown(late) == 'not-run test'
        assert len(cluster.ran) == 1

    async def test_refused_key_runs_under_a_new_token(self, cluster):
        old, new = cluster.token('a'), cluster.token('a')
        cluster.outcome = cluster_lib.refused(calls.Outcome.NOT_RUN)
        await cluster.send('a', cluster.call(old))
        cluster.outcome = None
        outcome = await cluster.send('a', cluster.call(new))
        assert cluster_lib.shown(outcome) == ANSWER
        late = await cluster.send('a', cluster.call(old, first=False))
        assert cluster_lib.shown(late) == ANSWER
        assert len(cluster.ran) == 2

    async def test_token_added_during_a_refused_run_is_refused(self, cluster):
        """Guards against a late send under a token whose caller was refused.

        The token is added by a resend that waits for the first send.
        """
        old, new = cluster.token('a'), cluster.token('a')
        cluster.outcome = cluster_lib.refused(calls.Outcome.NOT_RUN)
        cluster.gate.clear()
        first = cluster.spawn('a', cluster.call(old))
        await clock_lib.run_ready_tasks()
        joined = cluster.spawn('b', cluster.call(new, first=False))
        await clock_lib.run_ready_tasks()
        cluster.gate.set()
        assert cluster_lib.shown(await first) == 'not-run test'
        assert cluster_lib.shown(await joined) == 'not-run test'
        late = await cluster.send('c', cluster.call(new, first=False))
        assert cluster_lib.shown(late) == 'not-run test'
        assert len(cluster.ran) == 1

    async def test_deadline_is_checked_before_dispatch(self, cluster):
        call = cluster.call(cluster.token('a'), deadline_s=999.0)
        assert cluster_lib.shown(await cluster.send('a', call)) == (
            'not-run deadline'
        )
        assert not cluster.ran

    async def test_full_record_refuses_new_keys_only(self, cluster):
        """Guards against evicting valid entries to make room for new ones."""
        token = cluster.token('a')
        budget = cluster.hosts['a'].recorder.budget
        budget.limit_bytes = 1000
        await cluster.send('a', cluster.call(token))
        new = await cluster.send('a', cluster.call(token, 'k2'))
        late = await cluster.send('a', cluster.call(token, 'k3', first=False))
        known = await cluster.send('a', cluster.call(token, first=False))
        assert cluster_lib.shown(new) == 'not-run record-full'
        assert cluster_lib.shown(late) == 'unknown record-full'
        assert cluster_lib.shown(known) == ANSWER
        assert budget.used_bytes <= budget.limit_bytes
        await cluster.clock.advance(121.0)
        fresh = cluster.call(cluster.token('a'), 'k4')
        assert cluster_lib.shown(await cluster.send('a', fresh)) == ANSWER


class TestExpiry:
    """A key must not run again after its entry was evicted."""

    async def test_expired_token_never_runs(self, cluster):
        token = cluster.token('a')
        await cluster.clock.advance(120.0)
        first = await cluster.send('b', cluster.call(token))
        again = await cluster.send('b', cluster.call(token, first=False))
        assert cluster_lib.shown(first) == 'not-run token-expired'
        assert cluster_lib.shown(again) == 'unknown token-expired'
        assert not cluster.ran

    async def test_evicted_key_stays_expired_if_clock_steps_back(self, cluster):
        token = cluster.token('a')
        await cluster.send('a', cluster.call(token))
        await cluster.clock.advance(121.0)
        await cluster.send('a', cluster.call(cluster.token('a'), 'k2'))
        cluster.clock.wall_offset_s -= 100.0
        again = await cluster.send('a', cluster.call(token, first=False))
        assert cluster_lib.shown(again) == 'unknown token-expired'
        assert [key for key, _ in cluster.ran] == ['k1', 'k2']

    async def test_expired_token_stays_expired_if_clock_steps_back(
        self, cluster
    ):
        token = cluster.token('a')
        await cluster.clock.advance(120.0)
        await cluster.send('a', cluster.call(token))
        cluster.clock.wall_offset_s -= 100.0
        late = await cluster.send('b', cluster.call(token, first=False))
        assert cluster_lib.shown(late) == 'unknown token-expired'
        assert not cluster.ran

    async def test_pending_entry_outlives_its_token(self, cluster):
        """Guards against evicting a key while its dispatch is running."""
        token = cluster.token('a')
        cluster.gate.clear()
        call = cluster.call(token, deadline_s=cluster.clock.monotonic() + 500)
        first = cluster.spawn('a', call)
        await cluster.clock.advance(130.0)
        rec = cluster.hosts['a'].recorder.record
        rec.evict()
        assert len(rec) == 1
        cluster.gate.set()
        await first
        await cluster.clock.advance(2.0)
        rec.evict()
        assert len(rec) == 0
        assert cluster.hosts['a'].recorder.budget.used_bytes == 0


class TestForward:
    """After a lost message, `not-run` must be claimed only if certain."""

    async def test_request_lost(self, cluster):
        """Guards against `not-run` for a resend of a key that may have run."""
        token = cluster.token('a')
        cluster.network.partition('a', 'b')
        first = await cluster.send('b', cluster.call(token))
        again = await cluster.send('b', cluster.call(token, first=False))
        assert cluster_lib.shown(first) == 'not-run origin-unreachable'
        assert cluster_lib.shown(again) == 'unknown origin-unreachable'
        assert not cluster.ran

    async def test_answer_lost(self, cluster):
        """Guards against `not-run` for a first send that the origin ran."""
        token = cluster.token('a')
        cluster.network.lose_answers.add(('a', 'b'))
        first = await cluster.send('b', cluster.call(token))
        assert cluster_lib.shown(first) == 'unknown forward-lost'
        again = await cluster.send('c', cluster.call(token, first=False))
        assert cluster_lib.shown(again) == ANSWER
        assert cluster.ran == [('k1', 'a')]

    async def test_call_stays_in_its_home_regions(self, cluster):
        token = cluster.token('v')
        call = cluster.call(token, homes=('luzon',))
        outcome = await cluster.send('a', call)
        assert cluster_lib.shown(outcome) == 'not-run home-regions'
        call = cluster.call(token, homes=('luzon',), first=False)
        outcome = await cluster.send('v', call)
        assert cluster_lib.shown(outcome) == 'unknown home-regions'
        assert not cluster.network.log
        assert not cluster.ran

    async def test_call_is_forwarded_to_another_home_region(self, cluster):
        call = cluster.call(cluster.token('v'), homes=('luzon', 'visayas'))
        assert cluster_lib.shown(await cluster.send('a', call)) == ANSWER
        assert cluster.ran == [('k1', 'v')]


class TestOriginFails:
    """A failed origin must not cause a key to run on another host."""

    @pytest.mark.parametrize('when', ['before', 'during', 'after'])
    async def test_killed(self, cluster, when):
        token = cluster.token('a')
        if when == 'during':
            cluster.gate.clear()
        if when != 'before':
            first = cluster.spawn('b', cluster.call(token))
            await clock_lib.run_ready_tasks()
        await cluster.kill('a')
        if when == 'before':
            first = cluster.spawn('b', cluster.call(token))
        outcome = cluster_lib.shown(await first)
        expected = {
            'before': 'not-run origin-unreachable',
            'during': 'unknown forward-lost',
            'after': ANSWER,
        }
        assert outcome == expected[when]
        again = await cluster.send('c', cluster.call(token, first=False))
        assert cluster_lib.shown(again) == 'unknown origin-unreachable'
        assert len(cluster.ran) == (when != 'before')

    async def test_restarted_under_the_same_name(self, cluster):
        token = cluster.token('a')
        await cluster.send('a', cluster.call(token))
        await cluster.kill('a')
        cluster.start('a')
        for name in 'ab':
            again = await cluster.send(name, cluster.call(token, first=False))
            assert cluster_lib.shown(again) == 'unknown origin-gone'
            new = await cluster.send(name, cluster.call(token, 'k2'))
            assert cluster_lib.shown(new) == 'not-run origin-gone'
        assert cluster.ran == [('k1', 'a')]

    async def test_paused_past_the_deadline_and_resumed(self, cluster):
        token = cluster.token('a')
        cluster.pause('a')
        first = cluster.spawn('b', cluster.call(token))
        await cluster.clock.advance(2.5)
        assert cluster_lib.shown(await first) == 'unknown forward-lost'
        again = cluster.spawn('c', cluster.call(token, first=False))
        await clock_lib.run_ready_tasks()
        cluster.resume('a')
        assert cluster_lib.shown(await again) == ANSWER
        await clock_lib.run_ready_tasks()
        assert cluster.ran == [('k1', 'a')]


class TestHandover:
    """A planned stop must not lose the outcomes of keys."""

    async def test_resends_to_origin_successor_and_other_hosts(self, cluster):
        token = cluster.token('a')
        await cluster.send('a', cluster.call(token))
        assert await cluster.hosts['a'].recorder.hand_over(10.0)
        old = await cluster.send('a', cluster.call(token, first=False))
        new = await cluster.send('a', cluster.call(token, 'k2', first=False))
        assert cluster_lib.shown(old) == ANSWER
        assert cluster_lib.shown(new) == 'not-run leaving'
        await cluster.kill('a')
        for name in 'bcv':
            call = cluster.call(token, first=False)
            assert cluster_lib.shown(await cluster.send(name, call)) == ANSWER
            call = cluster.call(token, 'k2', first=False)
            outcome = await cluster.send(name, call)
            assert cluster_lib.shown(outcome) == 'not-run origin-left'
            call = cluster.call(token, first=False, body=b'two')
            outcome = await cluster.send(name, call)
            assert cluster_lib.shown(outcome) == 'unknown key-reused'
        assert len(cluster.ran) == 1

    async def test_pending_call_becomes_unknown_at_the_successor(self, cluster):
        token = cluster.token('a')
        cluster.gate.clear()
        first = cluster.spawn('a', cluster.call(token))
        await clock_lib.run_ready_tasks()
        stop = asyncio.ensure_future(
            cluster.hosts['a'].recorder.hand_over(10.0)
        )
        await cluster.clock.advance(5.1)
        assert await stop
        assert cluster_lib.shown(await first) == 'unknown dispatch-lost'
        again = await cluster.send('c', cluster.call(token, first=False))
        assert cluster_lib.shown(again).startswith('unknown ')

    async def test_interrupted_handover_goes_to_another_host(
        self, cluster, monkeypatch
    ):
        # The network between a and b is cut during part 1, so b has only a part
        # of the record and must not use it as the complete one.
        token = cluster.token('a')
        monkeypatch.setattr('ragwortchute.records.handover.PART_ENTRIES', 2)
        for i in range(5):
            await cluster.send('a', cluster.call(token, f'k{i}'))
        b = cluster.hosts['b']
        apply_part = b.transport.handlers[cluster_lib.wire.RecordHandover]

        async def apply_and_cut(sender, message):
            if message.part == 1:
                cluster.network.partition('a', 'b')
            return await apply_part(sender, message)

        b.transport.on(cluster_lib.wire.RecordHandover, apply_and_cut)
        stop = asyncio.ensure_future(
            cluster.hosts['a'].recorder.hand_over(20.0)
        )
        await cluster.clock.advance(10.0)
        assert await stop
        await cluster.kill('a')
        # b missed the notice of a, which the successor c repeats.
        cluster.network.heal()
        await cluster.clock.advance(1.0)
        for name in 'bc':
            call = cluster.call(token, 'k4', first=False)
            assert cluster_lib.shown(await cluster.send(name, call)) == ANSWER
        assert len(cluster.ran) == 5

    async def test_successor_restarted_during_the_handover(
        self, cluster, monkeypatch
    ):
        token = cluster.token('a')
        monkeypatch.setattr('ragwortchute.records.handover.PART_ENTRIES', 2)
        for i in range(5):
            await cluster.send('a', cluster.call(token, f'k{i}'))
        b = cluster.hosts['b']
        apply_part = b.transport.handlers[cluster_lib.wire.RecordHandover]

        async def apply_and_restart(sender, message):
            answer = await apply_part(sender, message)
            if message.part == 0:
                cluster.start('b')
            return answer

        b.transport.on(cluster_lib.wire.RecordHandover, apply_and_restart)
        assert await cluster.hosts['a'].recorder.hand_over(20.0)
        await cluster.kill('a')
        call = cluster.call(token, 'k0', first=False)
        assert cluster_lib.shown(await cluster.send('b', call)) == ANSWER

    async def test_parts_of_two_transfers_are_not_combined(self, cluster):
        """Guards against `not-run` for keys that are missing from a record."""
        token = cluster.token('a')
        origin = cluster.hosts['a'].member
        transport = cluster.hosts['a'].transport

        async def send_part(transfer_id, number, last=False):
            message = cluster_lib.wire.RecordHandover(
                host=origin.host,
                incarnation=origin.incarnation,
                entries=(),
                last=last,
                transfer_id=transfer_id,
                part=number,
            )
            done = await transport.request('b', message, timeout_s=1.0)
            return done.accepted

        async def outcome():
            call = cluster.call(token, first=False)
            return cluster_lib.shown(await cluster.send('b', call))

        assert not await send_part(1, 1, last=True)
        assert await send_part(1, 0)
        assert not await send_part(1, 2, last=True)
        assert await send_part(2, 0)
        assert not await send_part(1, 1, last=True)
        await cluster.kill('a')
        assert await outcome() == 'unknown origin-unreachable'
        cluster.start('a')
        transport = cluster.hosts['a'].transport
        assert await send_part(2, 1, last=True)
        assert await outcome() == 'not-run origin-left'

    async def test_hosts_that_start_later_learn_the_successor(self, cluster):
        token = cluster.token('a')
        await cluster.send('a', cluster.call(token))
        await cluster.hosts['a'].recorder.hand_over(20.0)
        await cluster.kill('a')
        cluster.start('a')
        cluster.start('d')
        await cluster.clock.advance(1.0)
        for name in 'ad':
            call = cluster.call(token, first=False)
            assert cluster_lib.shown(await cluster.send(name, call)) == ANSWER

    async def test_part_is_repeated_after_a_lost_answer(self, cluster):
        token = cluster.token('a')
        await cluster.send('a', cluster.call(token))
        cluster.network.lose_answers.add(('b', 'a'))
        assert await cluster.hosts['a'].recorder.hand_over(20.0)
        await cluster.kill('a')
        for name in 'bc':
            call = cluster.call(token, first=False)
            assert cluster_lib.shown(await cluster.send(name, call)) == ANSWER

    async def test_evicted_expiry_is_handed_over(self, cluster):
        """Guards against a successor whose clock makes an evicted key valid."""
        token = cluster.token('a')
        await cluster.send('a', cluster.call(token))
        await cluster.clock.advance(121.0)
        await cluster.hosts['a'].recorder.hand_over(10.0)
        cluster.clock.wall_offset_s -= 100.0
        again = await cluster.send('b', cluster.call(token, first=False))
        assert cluster_lib.shown(again) == 'unknown token-expired'

    async def test_successor_hands_over_received_records(self, cluster):
        token = cluster.token('a')
        await cluster.send('a', cluster.call(token))
        for name in 'ab':
            assert await cluster.hosts[name].recorder.hand_over(10.0)
            await cluster.kill(name)
        for name in 'cv':
            call = cluster.call(token, first=False)
            assert cluster_lib.shown(await cluster.send(name, call)) == ANSWER

    async def test_record_stays_in_the_region(self, cluster):
        """Guards against a handover to a region that is no home of a key."""
        token = cluster.token('v')
        await cluster.send('v', cluster.call(token))
        assert not await cluster.hosts['v'].recorder.hand_over(10.0)
        assert not cluster.network.log

    async def test_full_candidate_is_skipped(self, cluster):
        token = cluster.token('a')
        await cluster.send('a', cluster.call(token))
        budget = cluster.hosts['b'].recorder.budget
        budget.limit_bytes = 100
        assert await cluster.hosts['a'].recorder.hand_over(10.0)
        await cluster.kill('a')
        call = cluster.call(token, first=False)
        assert cluster_lib.shown(await cluster.send('b', call)) == ANSWER
        assert budget.used_bytes == 0
        assert isinstance(await cluster.send('v', call), result.Success)
