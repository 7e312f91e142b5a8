"""Tests of the detection of requests that crash targets."""

import asyncio
import collections

import pytest

from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.peers import shares
from ragwortchute.gateway.selection import crash_guard
from standins import platform_targets
from tests.test_gateway import rig as rigs


class Network:
    """Crash guards of several hosts and the network between them.

    Notices from and to the hosts in `cut` are lost; all others arrive at 100 s.
    """

    def __init__(self, count):
        self.cut = set()
        self.sent = collections.Counter()
        names = [f'h{number}' for number in range(count)]
        self.guards = {}
        for name in names:
            self.guards[name] = crash_guard.CrashGuard(
                name, _HostNotifier(self, name, names), rigs.MemoryLog()
            )

    def guard(self, number):
        return self.guards[f'h{number}']


class _HostNotifier(crash_guard.HostNotifier):
    def __init__(self, net, me, all_names):
        self.net = net
        self.me = me
        self.all_names = all_names

    def alive_names(self, now_s):
        return self.all_names

    def send_crash_notice(self, names, notice):
        assert self.me not in names
        for name in names:
            self.net.sent[self.me] += 1
            if not {self.me, name} & self.net.cut:
                self.net.guards[name].handle_notice(notice, 100.0)

    def send_answer_notice(self, names, key):
        for name in names:
            self.net.sent[self.me] += 1
            if not {self.me, name} & self.net.cut:
                self.net.guards[name].handle_answer_notice(key)


def request(target='/r/poison', body=b'', request_id=b'1'):
    return http_messages.Request(
        'POST',
        target,
        'example',
        [(b'x-request-id', request_id)],
        [body],
        0.0,
        None,
    )


def request_as_sent(target):
    """Returns a request as `Rig.request` sends it by default."""
    return http_messages.Request('GET', target, 'example', [], [], 0.0, None)


class TestCounting:
    """Crashes seen by different hosts must be counted together."""

    def test_request_is_refused_everywhere_after_two_targets(self):
        net = Network(14)
        net.guard(1).report_crash(
            request(request_id=b'1'), 't1', 99.0, 100.0, 100.0
        )
        net.guard(2).report_crash(
            request(request_id=b'2'), 't2', 100.0, 100.0, 100.0
        )
        for guard in net.guards.values():
            assert guard.blocked_s(request(request_id=b'3'), 100.0) > 60
            assert not guard.blocked_s(request('/r/other'), 100.0)
            assert not guard.blocked_s(request(body=b'x'), 100.0)

    def test_crash_of_one_target_does_not_block(self):
        net = Network(14)
        for number in range(3):
            net.guard(number).report_crash(request(), 't1', 100.0, 100.0, 100.0)
        assert not any(
            guard.blocked_s(request(), 100.0) for guard in net.guards.values()
        )

    def test_requests_in_flight_in_an_outage_are_not_blocked(self):
        # Two targets were executing equal requests when both lost power.
        net = Network(14)
        net.guard(1).report_crash(request(), 't1', 99.5, 100.0, 100.0)
        net.guard(2).report_crash(request(), 't2', 99.6, 100.0, 100.0)
        assert not net.guard(1).blocked_s(request(), 100.0)

    def test_crashes_far_apart_are_not_counted_together(self):
        net = Network(4)
        net.guard(1).report_crash(request(), 't1', 30.0, 30.1, 30.1)
        # The network delivers at 100 s, so only the own count of the host
        # sees the first crash at 30 s.
        net.guard(1).report_crash(request(), 't2', 99.0, 100.0, 100.0)
        assert not net.guard(1).blocked_s(request(), 100.0)

    def test_answer_clears_the_suspicion(self):
        net = Network(1)
        net.guard(0).report_crash(request(), 't1', 99.0, 100.0, 100.0)
        net.guard(0).note_answer(request(), 100.0)
        net.guard(0).report_crash(request(), 't2', 100.0, 100.0, 100.0)
        assert not net.guard(0).blocked_s(request(), 100.0)

    def test_answer_clears_the_suspicion_of_all_owners(self):
        net = Network(14)
        net.guard(1).report_crash(request(), 't1', 99.0, 100.0, 100.0)
        net.guard(1).note_answer(request(), 100.0)
        net.guard(2).report_crash(request(), 't2', 100.0, 100.0, 100.0)
        assert not any(
            guard.blocked_s(request(), 100.0) for guard in net.guards.values()
        )

    def test_block_ends(self):
        net = Network(1)
        net.guard(0).report_crash(request(), 't1', 99.0, 100.0, 100.0)
        net.guard(0).report_crash(request(), 't2', 100.0, 100.0, 100.0)
        end_s = 100.0 + crash_guard.BLOCK_S
        assert net.guard(0).blocked_s(request(), end_s - 1)
        assert not net.guard(0).blocked_s(request(), end_s)

    def test_host_that_is_cut_off_counts_crashes_itself(self):
        net = Network(14)
        net.cut = {'h1'}
        net.guard(1).report_crash(request(), 't1', 99.0, 100.0, 100.0)
        net.guard(1).report_crash(request(), 't2', 100.0, 100.0, 100.0)
        assert net.guard(1).blocked_s(request(), 100.0)

    @pytest.mark.parametrize('lost', [0, 1])
    def test_one_unreachable_owner_is_tolerated(self, lost):
        net = Network(14)
        key = crash_guard.digest(request())
        names = frozenset(net.guards)
        owners = sorted(
            shares.owners(f'{key:x}', names, crash_guard.OWNERS_PER_DIGEST)
        )
        net.cut = {owners[lost]}
        others = [name for name in sorted(names) if name not in owners]
        net.guards[others[0]].report_crash(request(), 't1', 99.0, 100.0, 100.0)
        net.guards[others[1]].report_crash(request(), 't2', 100.0, 100.0, 100.0)
        for name in others:
            assert net.guards[name].blocked_s(request(), 100.0)

    def test_outage_costs_two_notices_for_each_request(self):
        # When a failure domain with many targets goes down, each request in
        # flight becomes a suspect. Only the owners of its digest may be told,
        # not the whole fleet.
        net = Network(139)
        for number in range(100):
            req = request(f'/r/{number}')
            net.guard(number).report_crash(
                req, f't{number}', 99.0, 100.0, 100.0
            )
        assert sum(net.sent.values()) <= 200

    def test_memory_is_bounded(self):
        net = Network(1)
        for number in range(crash_guard.MAX_SUSPECTS + 10):
            net.guard(0).report_crash(
                request(f'/r/{number}'), 't1', 99.0, 100.0, 100.0
            )
        assert len(net.guard(0)._suspects) == crash_guard.MAX_SUSPECTS


class TestBlocking:
    """A request that crashes targets must not take a service down."""

    async def start(self, count, *routes):
        targets = [
            platform_targets.TargetServer(f't{number}')
            for number in range(count)
        ]
        for target in targets:
            target.crash_path = '/r/poison'
        rig = rigs.Rig(*targets)
        await rig.start(*routes)
        return rig

    @pytest.mark.parametrize('idempotent', [True, False])
    async def test_third_target_survives(self, idempotent):
        rig = await self.start(6, rigs.route(idempotent=idempotent))
        statuses = []
        for _ in range(6):
            answer = await rig.request('/r/poison', method='POST')
            statuses.append(answer.status)
            await asyncio.sleep(0.05)
        crashed = [target for target in rig.targets if target.runs]
        others = [(await rig.request('/r/fine')).status for _ in range(5)]
        await rig.stop()
        assert len(crashed) == crash_guard.BLOCK_AFTER_TARGETS
        # The first request was executed: a 503 would deny that.
        assert statuses[0] == 502
        assert statuses[-1] == 503
        assert float(answer.headers['retry-after']) > 30
        assert others == [200] * 5

    async def test_blocked_request_is_not_hedged(self):
        rig = await self.start(2)
        for target in rig.targets:
            target.crash_path = ''
            target.fault = 'hang'
        running = asyncio.create_task(rig.request('/r/poison'))
        await asyncio.sleep(0.03)
        notice = crash_guard.CrashNotice(
            crash_guard.digest(request_as_sent('/r/poison'))
        )
        rig.guard.handle_notice(notice, asyncio.get_running_loop().time())
        await running
        await rig.stop()
        assert rig.stats.hedges == 0

    async def test_broken_connection_alone_is_not_a_crash(self):
        rig = await self.start(6)
        for target in rig.targets:
            target.crash_path = ''
            target.fault = 'lose'
        for _ in range(6):
            answer = await rig.request('/r/x', method='POST')
            await asyncio.sleep(0.05)
        await rig.stop()
        assert answer.status == 502
        assert 'request-blocked' not in rig.log.kinds()
