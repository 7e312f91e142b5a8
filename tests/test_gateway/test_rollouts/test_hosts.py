"""Tests of rollouts on complete hosts with a stand-in store."""

import asyncio
import re
import time

import pytest

from ragwortchute.gateway import metrics
from ragwortchute.gateway.http import http_messages
from ragwortchute.platform import rollout_feed
from standins import platform_targets
from tests.test_gateway import host_deployment
from tests.test_gateway import rig as rigs

DURATION_S = 8.0
PER_S = 120.0
OLD_TARGETS = 4
CONTRACTS = frozenset({'rollout'})


class Deployment(host_deployment.Deployment):
    """Hosts that follow rollout orders, and callers at an even rate."""

    def __init__(self):
        super().__init__()
        self.contracts = CONTRACTS
        self.statuses = []
        # Status, time in seconds and Retry-After of the requests that ended.
        self.answers = []
        self.callers = None

    def feeds(self, host):
        return [
            *super().feeds(host),
            *rollout_feed.enable(host, CONTRACTS, host.log),
        ]

    async def begin(self, hosts=3, **new_target):
        """Starts hosts and targets, and orders a rollout."""
        await self.start(*['a1'] * hosts, targets=OLD_TARGETS)
        await self.until(
            lambda: all(
                host.ready and len(host.hosts()) == hosts for host in self.hosts
            )
        )
        for number in range(3):
            target = platform_targets.TargetServer(f'n{number}', 's')
            target.version = 'v2'
            target.born_ms = int(time.time() * 1000)
            for name, value in new_target.items():
                setattr(target, name, value)
            await self.add_target(target)
        self.callers = asyncio.create_task(self.call())
        await asyncio.sleep(1.0)
        assert not self.new_arrivals
        spec = {
            'service': 's',
            'target_version': 'v2',
            'duration_s': DURATION_S,
        }
        await self.server.put('rollouts', 's', spec)

    async def call(self):
        """Sends requests to all hosts until cancelled."""
        number = 0
        async with asyncio.TaskGroup() as group:
            while True:
                hosts = [host for host in self.hosts if not host.leaving]
                group.create_task(self.request(hosts[number % len(hosts)]))
                number += 1
                await asyncio.sleep(1 / PER_S)

    async def request(self, host):
        number = self.addresses = self.addresses + 1
        begin_s = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(
                *host._settings.me.caller_address.split(':')
            )
            writer.write(
                b'GET /a/x HTTP/1.1\r\nHost: x.example\r\n'
                b'X-Request-Id: q%d\r\nConnection: close\r\n\r\n' % number
            )
            line = await reader.readline()
            self.statuses.append(int(line.split()[1]) if line else 0)
            head = await reader.read()
            retry = re.search(
                rb'(?i)\r\nretry-after: *([0-9.]+)', b'\r\n' + head
            )
            elapsed_s = time.monotonic() - begin_s
            self.answers.append(
                (self.statuses[-1], elapsed_s, retry and float(retry[1]))
            )
            writer.close()
        except ConnectionError:
            self.statuses.append(0)

    @property
    def state(self):
        return self.server.status('rollouts', 's').get('state')

    @property
    def new_arrivals(self):
        return [
            arrival
            for target in self.targets[OLD_TARGETS:]
            for arrival in target.arrivals
        ]

    @property
    def old_arrivals(self):
        return [
            arrival
            for target in self.targets[:OLD_TARGETS]
            for arrival in target.arrivals
        ]

    def phases(self):
        return {
            fields['phase']
            for host in self.hosts
            for kind, fields in host.log.lines
            if kind == 'rollout'
        }

    async def kill(self, host):
        """Ends a host without notice to others."""
        self.hosts.remove(host)
        await host.close()

    async def stop(self):
        if self.callers is not None:
            self.callers.cancel()
            await asyncio.gather(self.callers, return_exceptions=True)
        await super().stop()


@pytest.fixture
async def rollout():
    deployment = Deployment()
    yield deployment
    await deployment.stop()


async def expect_success(rollout):
    await rollout.until(lambda: rollout.state == 'succeeded', 2 * DURATION_S)
    assert all(
        run.ended for target in rollout.targets[:4] for run in target.runs
    )
    before = len(rollout.old_arrivals)
    await asyncio.sleep(1.0)
    assert len(rollout.old_arrivals) == before


async def expect_rollback(rollout):
    await rollout.until(lambda: rollout.state == 'rolled_back', 2 * DURATION_S)
    total = len(rollout.old_arrivals) + len(rollout.new_arrivals)
    assert len(rollout.new_arrivals) <= 0.1 * total + 50
    await asyncio.sleep(1.0)
    before = len(rollout.new_arrivals)
    await asyncio.sleep(0.5)
    assert len(rollout.new_arrivals) == before


class TestOutcomes:
    """A good version must be moved to, a bad one must get few requests."""

    async def test_good_version_succeeds(self, rollout):
        await rollout.begin()
        await expect_success(rollout)
        assert rollout.phases() >= {'observe', 'widen', 'drain', 'succeeded'}
        assert set(rollout.statuses) == {200}
        endpoint = metrics.MetricsEndpoint(rollout.hosts[0])
        resp = await endpoint.serve(
            http_messages.Request('GET', '/metrics', 'x', [], [], 0.0, None)
        )
        assert b'rollout_phase{version="s/v2"} 5' in resp.body

    async def test_failing_version_is_rolled_back(self, rollout):
        await rollout.begin(error_every=3)
        await expect_rollback(rollout)

    async def test_slow_version_is_rolled_back(self, rollout):
        await rollout.begin(work_s=0.1)
        await expect_rollback(rollout)


class TestOldTargetsUnready:
    """A version that is not judged yet gets few requests in any case."""

    async def test_other_requests_are_refused_at_once(self, rollout):
        await rollout.begin()
        await rollout.until(lambda: rollout.state == 'running')
        await asyncio.sleep(0.5)
        for target in rollout.targets[:OLD_TARGETS]:
            entry = target.entry
            entry['status'] = {**entry['status'], 'state': 'draining'}
            await rollout.server.put('servers', target.name, entry)
        await asyncio.sleep(1.0)
        rollout.answers.clear()
        new, old = len(rollout.new_arrivals), len(rollout.old_arrivals)
        await asyncio.sleep(1.0)
        assert len(rollout.old_arrivals) == old
        assert len(rollout.new_arrivals) - new <= 0.1 * PER_S
        refusals = [item for item in rollout.answers if item[0] != 200]
        assert len(refusals) >= 0.8 * PER_S
        assert {status for status, _, _ in refusals} == {503}
        assert all(retry for _, _, retry in refusals)
        assert max(elapsed_s for _, elapsed_s, _ in refusals) < 0.25


class TestDisabled:
    """Without the contract, rollouts must cost nothing."""

    async def test_no_feed_and_no_state(self, deployment):
        await deployment.start('a1')
        host = deployment.hosts[0]
        assert rollout_feed.enable(host, frozenset(), host.log) == []
        assert host.rollouts is None
        assert 'rollouts/' not in host.revisions()


class TestSilentHosts:
    """A host behind a long partition must not be forgotten."""

    async def test_only_hosts_that_stop_are_forgotten(self, rollout):
        await rollout.start('a1')
        host = rollout.hosts[0]
        now_s = asyncio.get_running_loop().time()
        entries = [rigs.host(name, 'a1') for name in ('silent', 'stopped')]
        host.membership.add_entries(entries, now_s - 1000)
        peer = host.membership.peers.get('stopped')
        peer.last_heartbeat_s, peer.leaving = now_s - 40, True
        known = host.rollouts.neighbours(now_s)
        assert set(known.items) == {'silent'}
        assert known.heard == []


class TestFaults:
    """An outcome must be reached although a host or the store fails."""

    async def test_coordinator_dies(self, rollout):
        await rollout.begin()
        await asyncio.sleep(DURATION_S / 2)
        await rollout.kill(rollout.hosts[0])
        await expect_success(rollout)

    async def test_answers_to_writes_are_lost(self, rollout):
        rollout.server.lose_status_answers = 2
        await rollout.begin()
        await expect_success(rollout)

    async def test_writes_take_effect_late(self, rollout):
        rollout.server.lose_status_writes = 2
        await rollout.begin(error_every=3)
        await expect_rollback(rollout)

    @pytest.mark.parametrize('mode', ['busy', 'silent'])
    async def test_store_is_down_for_a_while(self, rollout, mode):
        await rollout.begin()
        await rollout.until(lambda: rollout.state == 'running')
        await asyncio.sleep(1.0)
        rollout.server.mode = mode
        await rollout.server.close_connections()
        await asyncio.sleep(2.5)
        before = len(rollout.new_arrivals)
        await asyncio.sleep(0.5)
        # The copies of the record are too old by now.
        assert len(rollout.new_arrivals) == before
        rollout.server.mode = 'up'
        await rollout.server.close_connections()
        await expect_success(rollout)
        assert set(rollout.statuses) == {200}
