"""Tests of the exchange of failures of targets between hosts."""

import asyncio
import collections
import random

from ragwortchute.gateway import host_settings
from ragwortchute.gateway.peers import failure_reports
from standins import platform_targets
from tests.test_gateway import rig as rigs


class Network:
    """Failure reports of several hosts, passed on in rounds.

    Attributes:
        failures: Number of failures that each host was told of, by host.
        sent: Number of batches sent.
        largest: Size of the largest batch in bytes.
    """

    def __init__(self, count, seed=1):
        self.rng = random.Random(seed)
        self.failures = collections.Counter()
        self.sent = 0
        self.largest = 0
        self.hosts = [
            failure_reports.FailureReports(self.rng, self.counter(number))
            for number in range(count)
        ]

    def counter(self, number):
        def count(key, weight, now_s):
            self.failures[number] += 1

        return count

    def run_round(self, now_s=0.0):
        batches = [host.take_batch() for host in self.hosts]
        for number, batch in enumerate(batches):
            if not batch:
                continue
            others = [
                host for host in self.hosts if host is not self.hosts[number]
            ]
            self.largest = max(self.largest, len(batch))
            for host in self.rng.sample(others, failure_reports.RECEIVERS):
                self.sent += 1
                host.handle_batch(batch, now_s)


class TestSpreading:
    """A report must reach most hosts once, with few messages."""

    def test_report_reaches_most_hosts_in_two_seconds(self):
        net = Network(156)
        for number in range(3):
            net.hosts[number].note_failure('t1', 0.5)
        for _ in range(int(2.0 / failure_reports.BATCH_INTERVAL_S)):
            net.run_round()
        reached = sum(1 for count in net.failures.values() if count)
        assert reached > 0.7 * 156
        assert max(net.failures.values()) <= 3

    def test_reports_end(self):
        net = Network(20)
        net.hosts[0].note_failure('t1', 1.0)
        for _ in range(40):
            net.run_round()
        sent = net.sent
        net.run_round()
        assert net.sent == sent <= 20 * failure_reports.RECEIVERS

    def test_batches_are_small_when_all_targets_fail(self):
        # For control, a host may spend 4 KB/s.
        net = Network(40)
        for _ in range(20):
            for host in net.hosts:
                for target in range(240):
                    host.note_failure(f't{target}', 0.5)
            net.run_round()
        batches_per_s = failure_reports.RECEIVERS
        batches_per_s /= failure_reports.BATCH_INTERVAL_S
        assert net.largest * batches_per_s < 2048

    def test_malformed_batch_is_ignored(self):
        net = Network(2)
        net.hosts[0].handle_batch(b'\x01\x02\x03', 0.0)
        assert not net.failures


class TestCallers:
    """Callers must not be refused because each host learns for itself.

    Load: half of the targets reject all requests while their health checks are
    good. Ten hosts share the traffic, so that each sends few requests.
    """

    HOSTS = 10
    REQUESTS = 12

    async def play(self, report):
        targets = [
            platform_targets.TargetServer(f't{number}') for number in range(12)
        ]
        for target in targets[:6]:
            target.fault = 'shed'
        limits = host_settings.FleetLimits(retry_ratio=0.0, retry_slack=5.0)
        hosts = [rigs.Rig(*targets, limits=limits) for _ in range(self.HOSTS)]
        for number, host in enumerate(hosts):
            host.rng.seed(number)
            await host.start(start_targets=not number)
        loop = asyncio.get_running_loop()
        statuses = []
        for _ in range(self.REQUESTS):
            answers = await asyncio.gather(*(host.request() for host in hosts))
            statuses.append([answer.status for answer in answers])
            if not report:
                continue
            for host in hosts:
                batch = host.failures.take_batch()
                for other in hosts:
                    if other is not host:
                        other.failures.handle_batch(batch, loop.time())
        for host in hosts:
            await host.stop()
        late = [
            status for row in statuses[self.REQUESTS // 2 :] for status in row
        ]
        return late.count(200) / len(late)

    async def test_reports_spare_callers_refusals(self):
        alone = await self.play(report=False)
        together = await self.play(report=True)
        assert together >= 0.95
        assert together > alone

    async def test_failures_are_forgotten(self):
        rig = rigs.Rig(platform_targets.TargetServer('t0'))
        await rig.start()
        (target,) = rig.state.targets.values()
        for _ in range(20):
            target.note_reported_failure(100.0, 1.0)
        assert target.failure_rate(100.0) > 0.9
        assert target.failure_rate(110.0) < 0.01
        await rig.stop()
