"""Tests of requests that wait behind others on their connection."""

import asyncio
import sys

import pytest

from ragwortchute.gateway import model
from ragwortchute.gateway.http import answer_memory
from ragwortchute.gateway.http import body_stream
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import server_connection
from tests.test_gateway import rig as rigs
from tests.test_resources import servers

GET = b'GET %b HTTP/1.1\r\nHost: x\r\n\r\n'
# The shortest request that is served.
TINY = b'GET / HTTP/1.1\r\nHost:x\r\n\r\n'
# Its length divides no power of two, so that reads end within a request.
MANY = 20_000
# Requests that a single read may bring beyond the limit.
ONE_READ = (4 << 10) // len(TINY) + 1


def stream(memory):
    """Returns a response whose body is arriving."""
    share = answer_memory.Share(memory)
    rest = body_stream.BodyStream(
        servers.Transport(), 'target', share, [b'x'], None
    )
    return http_messages.Response(200, rest=rest)


@pytest.fixture
async def slow(serve):
    """A server with much memory, and a caller whose first request is slow."""
    server = await serve(
        request_bytes=64 * servers.MIB,
        connections=4_000,
        accepted_connections=2_000,
    )
    reader, writer = await server.connect()
    writer.write(GET % b'/slow')
    await server.wait_handled(1)
    yield server, reader, writer
    writer.close()


async def read_statuses(reader, count):
    """Returns the statuses of the next responses."""
    async with asyncio.timeout(30):
        return [(await rigs.read_response(reader)).status for _ in range(count)]


class TestManyRequests:
    """A caller must not be read on without an end behind a slow request.

    Reading paused only between two requests, and reads hardly ever end there.
    """

    async def test_number_is_bounded(self, slow):
        server, reader, writer = slow
        writer.write(GET % b'/behind' * MANY)
        await asyncio.sleep(1.0)
        assert server.connection.running <= (
            server_connection.MAX_PIPELINED + ONE_READ
        )
        server.answer.set()
        assert await read_statuses(reader, 1 + MANY) == [200] * (1 + MANY)

    async def test_time_spent_waiting_is_not_that_of_the_caller(self, slow):
        # The host itself does not read the rest of the last head.
        server, reader, writer = slow
        server.configured = model.Limits(header_timeout_s=0.5)
        writer.write(GET % b'/behind' * 1000)
        await asyncio.sleep(1.2)
        server.answer.set()
        assert await read_statuses(reader, 1001) == [200] * 1001

    async def test_body_is_read_to_its_end(self, slow):
        # Its caller may read nothing before it has sent all of it.
        server, reader, writer = slow
        body = bytes(3 * servers.MIB)
        head = b'POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
        writer.write(GET % b'/behind' * server_connection.MAX_PIPELINED)
        writer.write(head % len(body) + body)
        async with asyncio.timeout(10):
            await writer.drain()
        server.answer.set()
        count = server_connection.MAX_PIPELINED + 2
        assert await read_statuses(reader, count) == [200] * count


class TestReadyAnswers:
    """Answers that wait behind a slow one are delivered, and are counted."""

    async def test_all_that_is_kept_is_counted(self, slow):
        # A request target of 16 KB was kept with an answer of no bytes.
        server, _, writer = slow
        target = '/' + 'x' * 15_000
        server.at_once[target] = http_messages.Response(404)
        for _ in range(50):
            writer.write(GET % target.encode())
        await server.wait_handled(51)
        kept_bytes = sum(
            sys.getsizeof(exchange)
            + sys.getsizeof(exchange.target)
            + sys.getsizeof(exchange.response)
            for exchange in server.connection._pipeline.exchanges
        )
        assert server.account.held_bytes >= kept_bytes

    async def test_each_request_that_ran_gets_its_answer(self, serve):
        server = await serve(accepted_connections=40, connections=4_000)
        body = bytes(60_000)
        paths = [b'/quick/%d' % number for number in range(60)]
        for path in paths:
            resp = http_messages.Response(200, (), body)
            server.at_once[path.decode()] = resp
        callers = [await server.connect() for _ in range(10)]
        for number, (_, writer) in enumerate(callers):
            behind = b''.join(GET % path for path in paths[number::10])
            writer.write(GET % b'/slow' + behind)
        await asyncio.sleep(0.5)
        # Further callers need memory while these wait.
        others = [await server.connect() for _ in range(20)]
        for _, writer in others:
            writer.write(GET[:-2] % b'/head' + b'a:b\r\n' * 1_000)
        await asyncio.sleep(0.5)
        assert server.account.held_bytes <= server.account.limits.request_bytes
        server.answer.set()
        answered = []
        for number, (reader, _) in enumerate(callers):
            statuses = await read_statuses(reader, 7)
            assert statuses[0] == 200
            answered += [
                path.decode()
                for path, status in zip(
                    paths[number::10], statuses[1:], strict=True
                )
                if status == 200
            ]
        ran = [path for path in server.handled if path in server.at_once]
        assert sorted(answered) == sorted(ran)
        for _, writer in callers + others:
            writer.close()


class TestStreamedAnswers:
    """Long answers that hold connections must give way, requests must not."""

    async def test_requests_behind_keep_their_answers(self, slow):
        server, reader, writer = slow
        memory = answer_memory.AnswerMemory(servers.MIB)
        server.at_once['/stream'] = stream(memory)
        writer.write(GET % b'/stream' + GET % b'/behind')
        await server.wait_handled(3)
        conn = server.connection
        assert conn.has_streams()
        conn.shed_streams()
        assert memory.shares == 0
        assert not conn.has_streams()
        server.answer.set()
        # The one whose answer was given up has run.
        assert await read_statuses(reader, 3) == [200, 502, 200]

    async def test_request_that_waits_does_not_spare_a_stream(self, serve):
        # One further request behind each kept long answers from being ended.
        server = await serve()
        assert server.account.max_started() == 1
        memory = answer_memory.AnswerMemory(servers.MIB)
        server.at_once['/stream'] = stream(memory)
        _, writer = await server.connect()
        writer.write(GET % b'/stream' + GET % b'/behind')
        await asyncio.sleep(0.2)
        assert server.handled == ['/stream']
        conn = server.connection
        assert conn.has_streams()
        conn.shed_streams()
        await asyncio.sleep(0.1)
        assert server.handled == ['/stream']
        assert memory.shares == 0
        writer.close()

    async def test_body_that_ends_with_the_connection_has_nothing_behind(
        self, serve
    ):
        # The next response was appended to it.
        server = await serve()
        server.answer.set()
        resp = stream(answer_memory.AnswerMemory(servers.MIB))
        resp.rest.finish()
        server.at_once['/stream'] = resp
        reader, writer = await server.connect()
        get = b'GET %b HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n'
        writer.write(get % b'/stream' + get % b'/behind')
        data = await asyncio.wait_for(reader.read(), 5)
        head, _, body = data.partition(b'\r\n\r\n')
        assert b'connection: close' in head
        assert body == b'x'
        assert server.handled == ['/stream']
        writer.close()
