"""Tests that many unfinished bodies don't end a host.

In a trial, callers ended a process: they sent many bodies of legal size, most
of which stopped short of their end, and it ran out of memory. Crowds and bounds
were fixed before the limits were added.
"""

import asyncio

from ragwortchute.gateway import model
from standins import platform_targets
from tests.test_resources import crowds
from tests.test_resources import processes

LARGE = processes.Machine(memory_mb=96, max_descriptors=600)
SMALL = processes.Machine(memory_mb=64, max_descriptors=600)
BODY_BYTES = 32 << 20
BODY = memoryview(bytes(BODY_BYTES))
LIMITS = {'max_body_bytes': BODY_BYTES, 'header_timeout_s': 10.0}
LARGE_CALLERS = 12
PIECE_BYTES = 16 << 10
CHUNK_BYTES = 64 << 10
# The longest body that the first version read without a reservation.
SHORT_BODY_BYTES = 64 << 10
SHORT_CALLERS = 450
ONE_BYTE_CHUNKS = 40_000
ONE_BYTE_CALLERS = 100
SETTLE_S = 2.0
# The smallest machine of a deployment.
HOST = processes.Machine(memory_mb=200, max_descriptors=4_100)
MAX_ANSWER_S = 20.0
LIMITED = 'ragwortchute_gateway_limited_total'


class TestLargeBodies:
    """Large bodies of legal size must not add up to more than the memory."""

    async def check(self, site, gather, send):
        target = platform_targets.TargetServer('t0')
        await site.start(LARGE, target, limits=LIMITS)
        crowd = gather(site.hosts[0])
        for number in range(LARGE_CALLERS):
            crowd.add(lambda sock, number=number: send(sock, number))
        await crowd.settle(SETTLE_S)
        await processes.call(site.hosts[0])
        site.hosts[0].check()

    async def test_whole_bodies(self, site, gather):
        async def send(sock, number):
            head = crowds.with_length(number, BODY_BYTES)
            await crowds.send_all(sock, head, BODY[:-1])

        await self.check(site, gather, send)

    async def test_bodies_in_pieces(self, site, gather):
        async def send(sock, number):
            head = crowds.with_length(number, BODY_BYTES)
            await crowds.send_pieces(sock, head, BODY[:-1], PIECE_BYTES)

        await self.check(site, gather, send)

    async def test_bodies_in_large_chunks(self, site, gather):
        chunk = b'%x\r\n%b\r\n' % (CHUNK_BYTES, BODY[:CHUNK_BYTES])

        async def send(sock, number):
            await crowds.send_all(sock, crowds.in_chunks(number))
            for _ in range(BODY_BYTES // CHUNK_BYTES - 1):
                await crowds.send_all(sock, chunk)
            await crowds.send_all(sock, chunk[:-3])

        await self.check(site, gather, send)


class TestManyBodies:
    """Short bodies and small chunks must not add up on many connections."""

    async def check(self, site, gather, count, send):
        target = platform_targets.TargetServer('t0')
        await site.start(SMALL, target, limits=LIMITS)
        crowd = gather(site.hosts[0])
        for number in range(count):
            crowd.add(lambda sock, number=number: send(sock, number))
        await crowd.settle(SETTLE_S)
        await processes.call(site.hosts[0])
        site.hosts[0].check()

    async def test_short_bodies(self, site, gather):
        async def send(sock, number):
            head = crowds.with_length(number, SHORT_BODY_BYTES)
            await crowds.send_all(sock, head, BODY[: SHORT_BODY_BYTES - 1])

        await self.check(site, gather, SHORT_CALLERS, send)

    async def test_one_byte_chunks(self, site, gather):
        data = b'1\r\nx\r\n' * ONE_BYTE_CHUNKS

        async def send(sock, number):
            await crowds.send_all(sock, crowds.in_chunks(number), data)

        await self.check(site, gather, ONE_BYTE_CALLERS, send)


class BriefTarget(platform_targets.TargetServer):
    """Target whose answers don't repeat the body of the request."""

    async def _respond(self, writer, id_headers, text):
        return await super()._respond(writer, id_headers, b'ok')


class TestSingleRequest:
    """A single request inside the limits must be served by the defaults."""

    async def request(self, host, data):
        reader, writer = await asyncio.open_connection(host.ip, host.port)
        try:
            for part in data:
                writer.write(part)
                await writer.drain()
            async with asyncio.timeout(MAX_ANSWER_S):
                head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200 '), head
        finally:
            writer.transport.abort()

    async def test_longest_bodies_and_heads(self, site):
        await site.start(HOST, BriefTarget('t0'))
        (host,) = site.hosts
        limits = model.Limits()
        body = bytes(limits.max_body_bytes)
        await self.request(host, [crowds.with_length(1, len(body)), body])
        chunks = [
            b'%x\r\n%b\r\n' % (CHUNK_BYTES, body[:CHUNK_BYTES])
            for _ in range(len(body) // CHUNK_BYTES)
        ]
        await self.request(host, [crowds.in_chunks(2), *chunks, b'0\r\n\r\n'])
        head = b'GET /read/3 HTTP/1.1\r\nHost: example\r\n'
        count = (limits.max_header_bytes - 100) // 7
        await self.request(host, [head, b'a:bc\r\n' * count, b'\r\n'])
        host.check()
        assert await processes.metric(host, LIMITED) == 0
