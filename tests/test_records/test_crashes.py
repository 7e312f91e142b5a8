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


def notices(cluster):
    return [
        (sender, receiver)
        for sender, receiver, message in cluster.network.log
        if isinstance(message, wire.CrashSuspect)
    ]


class TestDigestCrashGuard:
    """A resent request must not crash target after target."""

    async def test_two_targets_on_two_hosts_block_it_everywhere(self, cluster):
        call = cluster.call('')
        cluster.hosts['a'].guard.broke(call, 't1')
        await cluster.clock.advance(0.1)
        assert cluster.hosts['b'].guard.check(call) is None
        cluster.hosts['b'].guard.broke(call, 't2')
        await cluster.clock.advance(0.1)
        call.call_id = 'another send'
        for name in 'abc':
            refusal = cluster.hosts[name].guard.check(call)
            assert refusal.outcome == 'not-run'
            assert refusal.reason == 'crashes-targets'
        other = cluster.call('', body=b'two')
        assert cluster.hosts['a'].guard.check(other) is None

    async def test_send_that_broke_a_target_is_unknown(self, cluster):
        guard = cluster.hosts['a'].guard
        call = cluster.call('')
        guard.broke(call, 't1')
        guard.broke(call, 't2')
        assert guard.check(call).outcome == 'unknown'

    async def test_one_target_twice_does_not_block(self, cluster):
        guard = cluster.hosts['a'].guard
        guard.broke(cluster.call(''), 't1')
        guard.broke(cluster.call(''), 't1')
        assert guard.check(cluster.call('')) is None

    async def test_outage_of_many_targets_blocks_nothing(self, cluster):
        """Guards against refused retries after the loss of a domain."""
        guard = cluster.hosts['a'].guard
        for number in range(4):
            call = cluster.call('', body=b'%d' % number)
            guard.broke(call, f't{number}')
            guard.broke(call, f't{number + 4}')
        await cluster.clock.advance(0.1)
        for number in range(4):
            call = cluster.call('', body=b'%d' % number)
            assert guard.check(call) is None

    async def test_request_that_breaks_many_targets_stays_blocked(
        self, cluster
    ):
        """Guards against an outage that the request itself brings about."""
        guard = cluster.hosts['a'].guard
        call = cluster.call('')
        for number in range(12):
            guard.broke(call, f't{number}')
            bystander = cluster.call('', body=b'%d' % number)
            guard.broke(bystander, f't{number}')
        assert guard.check(call).reason == 'crashes-targets'
        await cluster.clock.advance(5)
        assert guard.check(call).reason == 'crashes-targets'

    async def test_answer_clears_it_everywhere(self, cluster):
        call = cluster.call('')
        for target in ('t1', 't2'):
            cluster.hosts['a'].guard.broke(call, target)
        await cluster.clock.advance(0.1)
        cluster.hosts['b'].guard.answered(call)
        await cluster.clock.advance(0.1)
        assert all(
            cluster.hosts[name].guard.check(call) is None for name in 'abc'
        )

    async def test_block_ends(self, cluster):
        guard = cluster.hosts['a'].guard
        for target in ('t1', 't2'):
            guard.broke(cluster.call(''), target)
        await cluster.clock.advance(crashes.BLOCK_S)
        assert guard.check(cluster.call('')) is None
        guard.broke(cluster.call(''), 't3')
        assert guard.check(cluster.call('')) is None

    async def test_nothing_leaves_the_region(self, cluster):
        cluster.hosts['a'].guard.broke(cluster.call('', homes=('luzon',)), 't')
        await cluster.clock.advance(1.0)
        assert sorted(notices(cluster)) == [('a', 'b'), ('a', 'c')]

    async def test_memory_is_bounded(self, cluster, monkeypatch):
        monkeypatch.setattr(crashes, 'MAX_SUSPECTS', 10)
        monkeypatch.setattr(crashes, 'MAX_BLOCKED', 5)
        guard = cluster.hosts['a'].guard
        for i in range(200):
            call = cluster.call('', body=b'%d' % i)
            guard.broke(call, 't1')
            if i % 2:
                guard.broke(call, 't2')
        assert len(guard._suspects) <= 10
        assert len(guard._blocked) <= 5
        assert len(guard._notices) <= 128

    async def test_notices_of_a_lost_domain_are_spread(self, cluster):
        # 300 connections break at once; control traffic has a budget.
        guard = cluster.hosts['a'].guard
        for i in range(300):
            guard.broke(cluster.call('', body=b'%d' % i), 't1')
        await cluster.clock.advance(10.0)
        # A burst of 8 and then 2 per second, to two hosts.
        assert len(notices(cluster)) <= 2 * (8 + 2 * 10)

    async def test_cleared_before_its_notice_left(self, cluster):
        guard = cluster.hosts['a'].guard
        guard.broke(cluster.call(''), 't1')
        guard.answered(cluster.call(''))
        await cluster.clock.advance(1.0)
        sent = [m for _, _, m in cluster.network.log]
        assert all(message.cleared for message in sent)
