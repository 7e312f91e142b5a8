"""End-to-end tests with listener, dispatcher, HTTP client and raw targets."""

import asyncio
import contextlib
import json
import random

import aiohttp
import pytest

from ragwortchute import clock as clocks
from ragwortchute import serving
from ragwortchute.callers import application
from ragwortchute.dispatch import dispatcher
from ragwortchute.upstream import http
from tests import path_fakes

CLOCK = clocks.SystemClock()
SHED = b'HTTP/1.1 503 X\r\ntarget-shed: 1\r\ncontent-length: 0\r\n\r\n'
SECOND = path_fakes.OK.replace(b'ok', b'2!')


class EntryHost:
    """An entry host with real components in front of two targets."""

    def __init__(self, first, hedge_s=9.0):
        self.first = path_fakes.RawTarget(first)
        self.second = path_fakes.RawTarget(lambda number, writer: SECOND)
        self.hedge_s = hedge_s
        self.guard = path_fakes.FakeGuard()
        self.guard.refuse_after = 1_000_000

    @contextlib.asynccontextmanager
    async def serve(self):
        client = http.HttpUpstream(CLOCK)
        async with self.first.serve(), self.second.serve():
            self.source = path_fakes.FakeSlots(
                self.first.document('t1'),
                self.second.document('t2'),
                hedge_s=self.hedge_s,
            )
            budget = path_fakes.FakeBudget()
            run = dispatcher.Dispatcher(
                slot_source=lambda service: self.source,
                sender=client,
                guard=self.guard,
                retry_budget=lambda service: budget,
                clock=CLOCK,
            ).run
            app = application.CallerApplication(
                directory=path_fakes.FakeDirectory(),
                dispatch=run,
                recorder=path_fakes.FakeRecorder(),
                clock=CLOCK,
            )
            server = serving.HttpServer(app, '127.0.0.1', 0)
            await server.start()
            self.url = f'http://127.0.0.1:{server.port}/call/billing/a'
            try:
                yield self
            finally:
                await server.stop()
                await client.close()
        assert all(len(lease.reports) == 1 for lease in self.source.leases)

    async def request(self, method):
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method, self.url, headers={'Idempotency-Key': 'k'}
            ) as resp,
        ):
            return resp.status, await resp.read()


def close_on_second_request(number, writer):
    """Answers the first request; closes the connection on the second."""
    return path_fakes.OK if number == 1 else None


def send_partial_answer(number, writer):
    """Sends the beginning of an answer and closes the connection."""
    writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart')


class TestPath:
    """Calls from a caller to the targets and back."""

    async def test_kept_alive_connection_closed_during_write(self):
        """Guards against running a non-idempotent request twice."""
        async with EntryHost(close_on_second_request).serve() as host:
            assert await host.request('POST') == (200, b'ok')
            status, body = await host.request('POST')
        assert (status, json.loads(body)['outcome']) == (502, 'unknown')
        assert len(host.first.requests) == 2
        assert host.second.requests == []

    @pytest.mark.parametrize('method', ['GET', 'POST'])
    async def test_shed_request_goes_to_another_target(self, method):
        """Guards against a refusal while another target is free."""
        async with EntryHost(lambda number, writer: SHED).serve() as host:
            assert await host.request(method) == (200, b'2!')

    async def test_refused_connection_goes_to_another_target(self):
        """Guards against a refusal because one target has stopped."""
        async with EntryHost(None).serve() as host:
            gone = path_fakes.make_target('t1', '127.0.0.1:1')
            host.source.targets = (gone, host.source.targets[1])
            assert await host.request('POST') == (200, b'2!')

    async def test_truncated_answer(self):
        """Guards against a truncated answer that passes for a complete one."""
        async with EntryHost(send_partial_answer).serve() as host:
            assert await host.request('GET') == (200, b'2!')
            status, body = await host.request('POST')
        assert (status, json.loads(body)['outcome']) == (502, 'unknown')

    async def test_late_answer_after_a_hedge_is_discarded(self):
        """Guards against returning a late answer to another call."""
        release = asyncio.Event()

        async def slow(number, writer):
            if number == 1:
                await release.wait()
            return path_fakes.OK

        async with EntryHost(slow, hedge_s=0.02).serve() as host:
            assert await host.request('GET') == (200, b'2!')
            release.set()
            await path_fakes.until(lambda: host.first.ended)
            assert await host.request('GET') == (200, b'ok')
        assert host.first.connections == 2

    @pytest.mark.parametrize('seed', range(4))
    async def test_random_target_faults(self, seed):
        """Guards against answers to other requests and repeated executions."""
        rng = random.Random(seed)
        runs: dict[bytes, int] = {}

        async def answer_first(number, writer):
            request = host.first.requests[number - 1]
            return await answer(request, writer)

        async def second(number, writer):
            request = host.second.requests[number - 1]
            return await answer(request, writer)

        async def answer(request, writer):
            name = request.split(b' ', 2)[1]
            draw = rng.random()
            if draw < 0.1:
                return SHED
            runs[name] = runs.get(name, 0) + 1
            await asyncio.sleep(rng.choice((0, 0, 0.002, 0.03)))
            if draw < 0.2:
                return None
            complete = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s' % (
                len(name),
                name,
            )
            if draw < 0.25:
                writer.write(complete[: rng.randrange(1, len(complete))])
                return None
            return complete

        async def send_request(number, session):
            method = rng.choice(('GET', 'POST'))
            name = f'/{method}/{number}'
            headers = {'Idempotency-Key': name}
            if rng.random() < 0.2:
                headers['Ragwortchute-Deadline-Ms'] = '10'
            url = host.url.removesuffix('/a') + name
            await asyncio.sleep(rng.random() * 0.3)
            request = session.request(method, url, headers=headers)
            limit_s = 0.01 if rng.random() < 0.2 else 5
            try:
                async with asyncio.timeout(limit_s), request as resp:
                    body = await resp.read()
            except TimeoutError:
                return
            if resp.status == 200:
                assert body == name.encode()
                return
            problem = json.loads(body)
            if problem['outcome'] == 'not-run':
                assert name.encode() not in runs
            else:
                assert problem['outcome'] == 'unknown'

        host = EntryHost(answer_first, hedge_s=0.01)
        host.second.script = second
        async with host.serve(), aiohttp.ClientSession() as session:
            await asyncio.gather(
                *(send_request(n, session) for n in range(300))
            )
        posts = [n for name, n in runs.items() if name.startswith(b'/POST')]
        assert set(posts) == {1}
        assert posts and len(runs) > len(posts)
