"""Tests of crowds at the hosts of a deployment, at their start and stop."""

import asyncio
import signal

from standins import platform_targets
from tests.test_gateway import test_streamed_answers
from tests.test_resources import crowds
from tests.test_resources import processes

MACHINE = processes.Machine(memory_mb=96, max_descriptors=256)
DOMAINS = ('a1', 'a1', 'b1', 'b1')
BODY_BYTES = 4 << 20
BODY = memoryview(bytes(BODY_BYTES))
# Callers of each kind at each host.
CALLERS = 30
# Answers of 6.4 MB.
PARTS = 100
SETTLE_S = 2.0
# Longer than the platform allows, to see whether the process ends at all.
MAX_STOP_S = 24.0


def targets():
    """Returns targets with long answers in both regions."""
    found = []
    for number in range(8):
        target = test_streamed_answers.LongTarget(
            f't{number}', 'chunks', parts=PARTS
        )
        target.failure_domain = 'a1' if number % 2 else 'b1'
        found.append(target)
    return found


def gather_all_kinds(crowd, *, persistent=False):
    """Adds callers of all kinds, which don't end what they have begun."""
    far = b'GET /far/%d HTTP/1.1\r\nHost: example\r\n\r\n'
    pipeline = b'GET /read/%d HTTP/1.1\r\nHost: example\r\n\r\n' * CALLERS
    for number in range(CALLERS):
        body = crowds.with_length(number, BODY_BYTES)
        for send in (
            lambda sock, body=body: crowds.send_all(sock, body, BODY[:-1]),
            lambda sock, body=body: crowds.trickle(sock, body, b'x'),
            lambda sock, number=number: crowds.read_slowly(sock, far % number),
            lambda sock, number=number: crowds.read_slowly(
                sock, pipeline % ((number,) * CALLERS)
            ),
            lambda sock, number=number: crowds.trickle(
                sock, crowds.HEAD % number, b'a'
            ),
            lambda sock: crowds.send_all(sock, b''),
        ):
            crowd.add(send, persistent=persistent)


class TestAllHosts:
    """Crowds at all hosts must not exhaust hosts that serve each other."""

    async def test_ordinary_request_at_each_host(self, site, gather):
        await site.start(MACHINE, *targets(), domains=DOMAINS)
        for host in site.hosts:
            gather_all_kinds(gather(host))
        await asyncio.sleep(SETTLE_S)
        for host in site.hosts:
            await processes.call(host)
        for host in site.hosts:
            host.check()


class TestStart:
    """Hosts must become ready while a crowd connects again and again."""

    async def test_crowd_waits_for_the_hosts(self, site, gather):
        await site.start(MACHINE, *targets(), domains=('a1', 'b1'))
        for host in site.hosts:
            await host.kill()
        for host in site.hosts:
            gather_all_kinds(gather(host), persistent=True)
        for host in site.hosts:
            await host.start()
        for host in site.hosts:
            await processes.wait_ready(host)
        await asyncio.sleep(SETTLE_S)
        for host in site.hosts:
            await processes.call(host)
        for host in site.hosts:
            host.check()


class TestPlannedStop:
    """A host must end its planned stop while a crowd keeps coming."""

    async def test_crowd_comes_during_the_stop(self, site, gather):
        await site.start(MACHINE, *targets(), domains=('a1', 'a1'))
        stopped, other = site.hosts
        stopped.process.send_signal(signal.SIGTERM)
        for host in site.hosts:
            gather_all_kinds(gather(host), persistent=True)
        async with asyncio.timeout(MAX_STOP_S):
            code = await stopped.process.wait()
        assert code == 0, stopped.log_text()[-2000:]
        stopped.check_usage()
        await processes.call(other)
        other.check()


class TestTrickledBodies:
    """Bodies that grow by a byte at a time must not keep memory from others."""

    async def check(self, site, gather, head):
        target = platform_targets.TargetServer('t0')
        await site.start(MACHINE, target)
        (host,) = site.hosts
        crowd = gather(host)
        for number in range(5 * CALLERS):
            crowd.add(
                lambda sock, number=number: crowds.trickle(
                    sock, head(number), b'1\r\nx\r\n'
                ),
                persistent=True,
            )
        await crowd.settle(SETTLE_S)
        await processes.call(host)
        host.check()

    async def test_long_bodies(self, site, gather):
        def head(number):
            return crowds.with_length(number, BODY_BYTES)

        await self.check(site, gather, head)

    async def test_short_bodies(self, site, gather):
        def head(number):
            return crowds.with_length(number, 1_000_000)

        await self.check(site, gather, head)

    async def test_chunks(self, site, gather):
        def head(number):
            part = b'%x\r\n%b\r\n' % (70_000, BODY[:70_000])
            return crowds.in_chunks(number) + part

        await self.check(site, gather, head)


class TestDirectory:
    """A crowd at the listener for address look-ups must not harm callers."""

    async def test_crowd_of_all_kinds(self, site, gather):
        await site.start(MACHINE, platform_targets.TargetServer('t0'))
        (host,) = site.hosts
        crowd = gather(host, host.directory_port)
        gather_all_kinds(crowd)
        look_up = b'GET /resolve?name=example HTTP/1.1\r\nHost: x\r\n\r\n'
        for _ in range(CALLERS):
            crowd.add(lambda sock: crowds.send_all(sock, look_up * 5_000))
            crowd.add(lambda sock: crowds.read_slowly(sock, look_up * 1_000))
        await crowd.settle(SETTLE_S)
        await processes.call(host)
        await processes.look_up(host)
        host.check()
