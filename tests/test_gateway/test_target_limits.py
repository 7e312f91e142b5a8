"""Tests of the limits that targets name on the requests of all hosts."""

import asyncio

import pytest

from tests.test_gateway import rig as rigs
from tests.test_gateway import test_application

# In any window, a target may get one and a half times its limit and a few more.
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
# A limit binds all hosts this long after it was first named.
CONTACT_S = 3.0
REQUESTS_PER_S = 160


@pytest.fixture
async def deployment():
    deployment = test_application.Deployment()
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
        tasks = []
        for _ in range(int(seconds * REQUESTS_PER_S)):
            tasks.append(asyncio.create_task(self._request()))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

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
