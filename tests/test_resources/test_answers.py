"""Tests that callers that read long answers slowly don't exhaust a host.

60 such callers held 557 descriptors before. Crowds and bounds were fixed before
the limits were added.
"""

import asyncio

from standins import platform_targets
from tests.test_gateway import test_streamed_answers
from tests.test_resources import crowds
from tests.test_resources import processes

MACHINE = processes.Machine(memory_mb=96, max_descriptors=200)
CALLERS = 60
TARGETS = 12
# With this, the host probes further targets and sends hedges.
WORK_S = 0.3
# Answers of 12.8 MB.
PARTS = 200
CONNECT_S = 0.5
SETTLE_S = 2.5
RELAYED_CALLERS = 8
RELAYED_BODY_BYTES = 16 << 20


def long_targets(domain='a1'):
    """Returns targets with long answers."""
    targets = []
    for number in range(TARGETS):
        target = test_streamed_answers.LongTarget(
            f't{number}', 'chunks', parts=PARTS
        )
        target.failure_domain = domain
        target.work_s = WORK_S
        targets.append(target)
    return targets


async def read(crowd, path):
    """Adds the callers, which send at the same time and read slowly."""
    connected = asyncio.Event()

    async def send(sock, number):
        await connected.wait()
        request = b'GET /%b/%d HTTP/1.1\r\nHost: example\r\n\r\n'
        await crowds.read_slowly(sock, request % (path, number))

    for number in range(CALLERS):
        crowd.add(lambda sock, number=number: send(sock, number))
    await crowd.settle(CONNECT_S)
    connected.set()
    await crowd.settle(SETTLE_S)


class TestSlowReaders:
    """Each long answer that is read slowly must hold few descriptors."""

    async def test_many_read_slowly(self, site, gather):
        await site.start(MACHINE, *long_targets())
        crowd = gather(site.hosts[0])
        await read(crowd, b'read')
        await processes.call(site.hosts[0])
        site.hosts[0].check()


class TestRelays:
    """The host that a request is relayed to must stay inside its limits, too.

    That host knows nothing of the caller.
    """

    async def test_many_read_slowly(self, site, gather):
        await site.start(MACHINE, *long_targets('b1'), domains=('a1', 'b1'))
        crowd = gather(site.hosts[0])
        await read(crowd, b'far')
        for host in site.hosts:
            await processes.call(host)
        for host in site.hosts:
            host.check()

    async def test_large_bodies(self, site, gather):
        target = platform_targets.TargetServer('t0', failure_domain='b1')
        target.work_by_route['far'] = platform_targets.Work(60.0)
        await site.start(
            MACHINE,
            target,
            domains=('a1', 'b1'),
            timeout_s=60.0,
            limits={'max_body_bytes': RELAYED_BODY_BYTES},
        )
        crowd = gather(site.hosts[0])
        body = memoryview(bytes(RELAYED_BODY_BYTES))
        head = b'POST /far/x HTTP/1.1\r\nHost: example\r\n'
        head += b'Content-Length: %d\r\n\r\n' % len(body)
        for _ in range(RELAYED_CALLERS):
            crowd.add(lambda sock: crowds.send_all(sock, head, body))
        await crowd.settle(SETTLE_S)
        for host in site.hosts:
            await processes.call(host)
        for host in site.hosts:
            host.check()
