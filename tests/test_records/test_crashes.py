"""Tests of the crash guard."""

import pytest

from ragwortchute import wire
from ragwortchute.records import crashes
from tests.test_records import cluster as cluster_lib


@pytest.fixture
async def cluster():
    cluster = cluster_lib.Cluster()
    for host in cluster.hosts.values():
        host.guard = crashes.DigestCrashGuard(
            clock=cluster.clock,
            transport=host.transport,
            membership=cluster_lib.Membership(
                cluster, host.member.host, host.member.incarnation
            ),
            deployment_key=cluster_lib.KEY,
        )
        host.guard.start()
    yield cluster
    for host in cluster.hosts.values():
        await host.guard.close()


def sent_notices(cluster):
    """Returns sender and receiver of each crash notice that was delivered."""
    return [
        (sender, receiver)
        for sender, receiver, message in cluster.network.log
        if isinstance(message, wire.CrashSuspect)
    ]


class TestDigestCrashGuard:
    """A request that crashes targets must not be resent to more of them."""

    async def test_crashes_seen_by_two_hosts_block_on_all_hosts(self, cluster):
        """Guards against hosts that each count only their own crashes."""
        call = cluster.call('')
        cluster.hosts['a'].guard.report_crash(
            call, 't1', cluster.clock.monotonic()
        )
        await cluster.clock.advance(0.1)
        assert cluster.hosts['b'].guard.check(call) is None
        cluster.hosts['b'].guard.report_crash(
            call, 't2', cluster.clock.monotonic()
        )
        await cluster.clock.advance(0.1)
        call.call_id = 'another send'
        for name in 'abc':
            refusal = cluster.hosts[name].guard.check(call)
            assert refusal.outcome == 'not-run'
            assert refusal.reason == 'crashes-targets'
        other = cluster.call('', body=b'two')
        assert cluster.hosts['a'].guard.check(other) is None

    async def test_call_that_crashed_a_target_itself_is_unknown(self, cluster):
        """Guards against `not-run` for a call that a target may have run."""
        guard = cluster.hosts['a'].guard
        call = cluster.call('')
        guard.report_crash(call, 't1', cluster.clock.monotonic())
        guard.report_crash(call, 't2', cluster.clock.monotonic())
        assert guard.check(call).outcome == 'unknown'

    async def test_two_crashes_of_one_target_do_not_block(self, cluster):
        """Guards against a faulty target that gets requests blocked."""
        guard = cluster.hosts['a'].guard
        guard.report_crash(cluster.call(''), 't1', cluster.clock.monotonic())
        guard.report_crash(cluster.call(''), 't1', cluster.clock.monotonic())
        assert guard.check(cluster.call('')) is None

    async def test_concurrent_attempts_count_once(self, cluster):
        """Guards against a block of identical requests after an outage.

        Both were already in flight when the first target crashed, so the
        second crash was not caused by sending the request again.
        """
        guard = cluster.hosts['a'].guard
        started_s = cluster.clock.monotonic()
        await cluster.clock.advance(0.05)
        guard.report_crash(cluster.call(''), 't1', started_s)
        guard.report_crash(cluster.call(''), 't2', started_s)
        assert guard.check(cluster.call('')) is None
        await cluster.clock.advance(0.05)
        cluster.hosts['b'].guard.report_crash(cluster.call(''), 't3', started_s)
        await cluster.clock.advance(0.05)
        assert guard.check(cluster.call('')) is None
        guard.report_crash(cluster.call(''), 't4', cluster.clock.monotonic())
        assert guard.check(cluster.call('')).reason == 'crashes-targets'

    async def test_outage_of_many_targets_blocks_no_request(self, cluster):
        """Guards against refused resends after the loss of a failure domain."""
        guard = cluster.hosts['a'].guard
        for number in range(4):
            call = cluster.call('', body=b'%d' % number)
            guard.report_crash(call, f't{number}', cluster.clock.monotonic())
            guard.report_crash(
                call, f't{number + 4}', cluster.clock.monotonic()
            )
        await cluster.clock.advance(0.1)
        for number in range(4):
            call = cluster.call('', body=b'%d' % number)
            assert guard.check(call) is None

    async def test_request_that_crashes_many_targets_stays_blocked(
        self, cluster
    ):
        """Guards against taking the crashes of one request for an outage."""
        guard = cluster.hosts['a'].guard
        call = cluster.call('')
        for number in range(12):
            guard.report_crash(call, f't{number}', cluster.clock.monotonic())
            unrelated = cluster.call('', body=b'%d' % number)
            guard.report_crash(
                unrelated, f't{number}', cluster.clock.monotonic()
            )
        assert guard.check(call).reason == 'crashes-targets'
        await cluster.clock.advance(5)
        assert guard.check(call).reason == 'crashes-targets'

    async def test_answer_clears_the_request_on_all_hosts(self, cluster):
        """Guards against a block that outlasts a complete answer."""
        call = cluster.call('')
        for target in ('t1', 't2'):
            cluster.hosts['a'].guard.report_crash(
                call, target, cluster.clock.monotonic()
            )
        await cluster.clock.advance(0.1)
        cluster.hosts['b'].guard.report_answer(call)
        await cluster.clock.advance(0.1)
        assert all(
            cluster.hosts[name].guard.check(call) is None for name in 'abc'
        )

    async def test_block_expires(self, cluster):
        """Guards against a block that never ends or counts old crashes."""
        guard = cluster.hosts['a'].guard
        for target in ('t1', 't2'):
            guard.report_crash(
                cluster.call(''), target, cluster.clock.monotonic()
            )
        await cluster.clock.advance(crashes.BLOCK_S)
        assert guard.check(cluster.call('')) is None
        guard.report_crash(cluster.call(''), 't3', cluster.clock.monotonic())
        assert guard.check(cluster.call('')) is None

    async def test_notices_stay_in_the_region(self, cluster):
        """Guards against the digest of a call outside its home regions."""
        cluster.hosts['a'].guard.report_crash(
            cluster.call('', homes=('luzon',)), 't', cluster.clock.monotonic()
        )
        await cluster.clock.advance(1.0)
        assert sorted(sent_notices(cluster)) == [('a', 'b'), ('a', 'c')]

    async def test_tables_are_bounded(self, cluster, monkeypatch):
        """Guards against memory that grows with the number of requests."""
        monkeypatch.setattr(crashes, 'MAX_SUSPECTS', 10)
        monkeypatch.setattr(crashes, 'MAX_BLOCKED', 5)
        guard = cluster.hosts['a'].guard
        for i in range(200):
            call = cluster.call('', body=b'%d' % i)
            guard.report_crash(call, 't1', cluster.clock.monotonic())
            if i % 2:
                guard.report_crash(call, 't2', cluster.clock.monotonic())
        assert len(guard._suspects) <= 10
        assert len(guard._blocked) <= 5
        assert len(guard._queued_notices) <= 128

    async def test_notices_of_a_lost_domain_are_rate_limited(self, cluster):
        """Guards against a burst of notices that exceeds the control budget.

        The loss of the domain breaks 300 connections at the same time.
        """
        guard = cluster.hosts['a'].guard
        for i in range(300):
            guard.report_crash(
                cluster.call('', body=b'%d' % i),
                't1',
                cluster.clock.monotonic(),
            )
        await cluster.clock.advance(10.0)
        # A burst of 8 and then 2 per second, to each of two hosts.
        assert len(sent_notices(cluster)) <= 2 * (8 + 2 * 10)

    async def test_clearing_replaces_a_queued_crash_notice(self, cluster):
        """Guards against a crash notice that follows the clearing one."""
        guard = cluster.hosts['a'].guard
        guard.report_crash(cluster.call(''), 't1', cluster.clock.monotonic())
        guard.report_answer(cluster.call(''))
        await cluster.clock.advance(1.0)
        sent = [m for _, _, m in cluster.network.log]
        assert all(message.cleared for message in sent)
