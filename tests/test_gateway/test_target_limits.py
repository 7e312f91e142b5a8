"""Tests of the limits that targets name on the requests of all hosts."""

import asyncio

import msgspec
import pytest

from ragwortchute.gateway.selection import probe_order
from standins import platform_targets
from tests import steady_load
from tests.test_gateway import host_deployment
from tests.test_gateway import rig as rigs

# In any window, a target may get one and a half times its limit and a few more.
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
# A limit binds all hosts this long after it was first named.
CONTACT_S = 3.0
REQUESTS_PER_S = 160


@pytest.fixture
async def deployment():
    deployment = host_deployment.Deployment()
    yield deployment
    await deployment.stop()


def most_in_window(times_s):
    """Returns the largest number of times within a window."""
    times_s = sorted(times_s)
    start = most = 0
    for end, time_s in enumerate(times_s):
        while times_s[start] <= time_s - WINDOW_S:
            start += 1
        most = max(most, end - start + 1)
    return most


class Load:
    """Callers that send requests to all hosts at a steady rate."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.count = 0
        self.statuses = []

    async def run(self, seconds):
        await steady_load.send(self._request, REQUESTS_PER_S, seconds)

    async def _request(self):
        self.count += 1
        hosts = self.deployment.hosts
        host = hosts[self.count % len(hosts)]
        ip, _, port = host.membership.me.caller_address.rpartition(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(
            f'GET /a/x HTTP/1.1\r\nHost: x.example\r\n'
            f'X-Request-Id: r{self.count}\r\nX-Request-Deadline-Ms: 900\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )
        try:
            self.statuses.append((await rigs.read_response(reader)).status)
        finally:
            writer.close()


class TestLimits:
    """A target in need must get no more than it has asked for."""

    async def test_limited_target_gets_what_it_takes(self, deployment):
        await deployment.start(*['a1'] * 4, *['a2'] * 4, targets=4)
        await deployment.until(
            lambda: all(host.ready for host in deployment.hosts)
        )
        target = deployment.targets[0]
        target.limit_per_s = 3.0
        load = Load(deployment)
        await load.run(CONTACT_S + 2 * WINDOW_S)
        named_s = target.arrivals[0][0]
        limited_s = [
            time_s
            for time_s, _ in target.arrivals
            if time_s >= named_s + CONTACT_S
        ]
        allowed = OVERAGE * target.limit_per_s * WINDOW_S + SLACK
        assert most_in_window(limited_s) <= allowed
        assert len(limited_s) >= 0.7 * target.limit_per_s * 2 * WINDOW_S
        assert set(load.statuses) == {200}


class TestRefusals:
    """What the limits leave no room for must be refused at once."""

    @pytest.fixture
    async def rig(self):
        target = platform_targets.TargetServer('t')
        rig = rigs.Rig(target)
        await rig.start()
        yield rig
        await rig.stop()

    async def test_request_beyond_the_limit_is_refused_at_once(self, rig):
        target = rig.targets[0]
        target.limit_per_s = 1.0
        responses = [await rig.request() for _ in range(20)]
        refused = [resp for resp in responses if resp.status == 503]
        assert len(refused) >= 10
        assert 0 < float(refused[-1].headers['retry-after']) <= 6.7
        assert rig.stats.refusals['target-limit'] == len(refused)
        assert len(target.arrivals) == 20 - len(refused)

    async def test_requests_before_the_limit_do_not_count(self, rig):
        target = rig.targets[0]
        for _ in range(30):
            await rig.request()
        target.limit_per_s = 3.0
        await rig.request()
        await asyncio.sleep(1.5)
        assert (await rig.request()).status == 200

    async def test_limit_ends_when_answers_no_longer_name_it(self, rig):
        target = rig.targets[0]
        target.limit_per_s = 3.0
        await rig.request()
        target.limit_per_s = None
        await rig.request()
        statuses = {(await rig.request()).status for _ in range(20)}
        assert statuses == {200}

    async def test_invalid_limit_does_not_end_a_known_one(self, rig):
        target = rig.targets[0]
        target.limit_per_s = 0.5
        await rig.request()
        target.limit_per_s = float('nan')
        statuses = [(await rig.request()).status for _ in range(20)]
        assert statuses.count(200) <= 2
        assert len(target.arrivals) <= 3

    async def test_rejection_without_it_does_not_end_a_limit(self, rig):
        target = rig.targets[0]
        target.limit_per_s = 3.0
        target.limit_in_rejections = False
        await rig.request()
        target.fault = 'shed'
        await asyncio.sleep(0.5)
        statuses = [(await rig.request()).status for _ in range(20)]
        assert set(statuses) == {503}
        assert len(target.arrivals) <= 3

    async def test_target_with_little_left_is_not_asked_first(self, rig):
        # Nothing would be left for requests that find no other target.
        entry = rig.entry(rig.targets[0])
        entries = [msgspec.structs.replace(entry, name=name) for name in 'abcd']
        rig.state.set_targets(entries, 2)
        targets = list(rig.state.targets.values())
        rig.statements.note_limit(targets[0].entry, 30.0, 100.0)
        for now_s, expected in ((100.0, 0), (110.0, 50)):
            firsts = [
                probe_order.keyed(
                    targets, rig.send_limits, rig.rng, now_s, lambda _: 0.0
                )[0][1]
                for _ in range(200)
            ]
            assert abs(firsts.count(targets[0]) - expected) < 20

    async def test_targets_without_a_limit_are_used_instead(self, rig):
        other = platform_targets.TargetServer('u')
        await other.start()
        rig.targets = (*rig.targets, other)
        rig.state.set_targets([rig.entry(item) for item in rig.targets], 2)
        rig.targets[0].limit_per_s = 0.5
        statuses = {(await rig.request()).status for _ in range(40)}
        assert statuses == {200}
        assert len(other.arrivals) >= 30
