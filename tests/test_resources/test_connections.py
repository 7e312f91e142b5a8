"""Tests that heads, pipelines and idle connections don't exhaust a host.

Crowds and bounds were fixed before the limits were added.
"""

import asyncio
import signal

from standins import platform_targets
from tests.test_gateway import test_streamed_answers
from tests.test_resources import crowds
from tests.test_resources import processes

SETTLE_S = 2.0
# More connections than the host may hold.
FEW_DESCRIPTORS = processes.Machine(memory_mb=96, max_descriptors=256)
CONNECTIONS = 400
SMALL = processes.Machine(memory_mb=64, max_descriptors=600)
# The shortest headers up to `max_header_bytes`.
SHORT_HEADERS = (
    b'GET /read/x HTTP/1.1\r\nHost: example\r\n' + 2_280 * b'a:bc\r\n'
)
HEADS = 150
PIPELINES = 20
BEHIND = 60
BEHIND_BODY_BYTES = 60_000
FLOODS = 4
FLOOD_REQUESTS = 6_000
LONG_PIPELINES = 10
LONG_BEHIND = 30
GRACE_S = 6.0
# Longer than the platform allows, to see whether the process ends at all.
MAX_STOP_S = 4 * GRACE_S


def slow_target(**fields):
    """Returns a target that works on reads for longer than a test."""
    target = platform_targets.TargetServer('t0', slots=500, queue=500, **fields)
    target.work_by_route['read'] = platform_targets.Work(60.0)
    return target


class TestConnections:
    """Connections without a request must leave descriptors to others."""

    async def test_idle_connections_and_half_sent_heads(self, site, gather):
        target = platform_targets.TargetServer('t0')
        await site.start(
            FEW_DESCRIPTORS, target, limits={'header_timeout_s': 10.0}
        )
        crowd = gather(site.hosts[0])
        for number in range(CONNECTIONS):
            half = crowds.HEAD[:-4] % number if number % 2 else b''
            crowd.add(lambda sock, half=half: crowds.send_all(sock, half))
        await crowd.settle(SETTLE_S)
        await processes.call(site.hosts[0])
        site.hosts[0].check()

    async def test_half_sent_heads_with_many_headers(self, site, gather):
        target = platform_targets.TargetServer('t0')
        await site.start(SMALL, target, limits={'header_timeout_s': 10.0})
        crowd = gather(site.hosts[0])
        for _ in range(HEADS):
            crowd.add(lambda sock: crowds.send_all(sock, SHORT_HEADERS))
        await crowd.settle(SETTLE_S)
        await processes.call(site.hosts[0])
        site.hosts[0].check()


class TestPipelines:
    """Requests behind others must not add up to more than the memory."""

    async def test_pipelines_with_an_unfinished_body(self, site, gather):
        await site.start(SMALL, slow_target(), timeout_s=60.0)
        body = bytes(BEHIND_BODY_BYTES)
        data = b'GET /read/1 HTTP/1.1\r\nHost: example\r\n\r\n'
        for number in range(BEHIND):
            data += crowds.with_length(number, len(body)) + body
        data += crowds.with_length(BEHIND, len(body)) + body[:-1]
        crowd = gather(site.hosts[0])
        for _ in range(PIPELINES):
            crowd.add(lambda sock: crowds.send_all(sock, data))
        await crowd.settle(SETTLE_S)
        await processes.call(site.hosts[0])
        site.hosts[0].check()

    async def test_many_requests_in_one_read(self, site, gather):
        await site.start(FEW_DESCRIPTORS, slow_target(), timeout_s=60.0)
        data = b'GET /read/1 HTTP/1.1\r\nHost: example\r\n\r\n' * FLOOD_REQUESTS
        crowd = gather(site.hosts[0])
        for _ in range(FLOODS):
            crowd.add(lambda sock: crowds.send_all(sock, data))
        await crowd.settle(SETTLE_S)
        await processes.call(site.hosts[0])
        site.hosts[0].check()

    async def test_long_answers_behind_a_slow_one(self, site, gather):
        target = test_streamed_answers.LongTarget('t0', 'chunks', parts=40)
        target.slots = target.queue = 500
        target.work_by_route['read'] = platform_targets.Work(60.0)
        await site.start(FEW_DESCRIPTORS, target, timeout_s=60.0)
        data = b'GET /read/1 HTTP/1.1\r\nHost: example\r\n\r\n'
        data += LONG_BEHIND * crowds.with_length(0, 0)
        crowd = gather(site.hosts[0])
        for _ in range(LONG_PIPELINES):
            crowd.add(lambda sock: crowds.send_all(sock, data))
        await crowd.settle(SETTLE_S)
        await processes.call(site.hosts[0])
        site.hosts[0].check()


class TestStop:
    """A host must end its planned stop in spite of such callers."""

    async def test_stop_ends(self, site, gather):
        target = test_streamed_answers.LongTarget('t0', 'chunks', parts=200)
        await site.start(FEW_DESCRIPTORS, target)
        (host,) = site.hosts
        crowd = gather(host)
        for number in range(CONNECTIONS // 10):
            head = crowds.with_length(number, 100_000)
            crowd.add(
                lambda sock, head=head: crowds.send_all(sock, head, b'x' * 999)
            )
            request = b'GET /read/%d HTTP/1.1\r\nHost: example\r\n\r\n' % number
            crowd.add(
                lambda sock, request=request: crowds.read_slowly(sock, request)
            )
        await crowd.settle(SETTLE_S / 2)
        await processes.call(host)
        host.check()
        host.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(MAX_STOP_S):
            assert await host.process.wait() == 0, host.log_text()[-2000:]
