"""Tests of the listener for callers."""

import asyncio

import pytest

from ragwortchute.gateway import http_server
from ragwortchute.gateway import model
from tests.test_gateway import rig as rigs

GET = b'GET /%d HTTP/1.1\r\nHost: example\r\n\r\n'


class Server:
    """A listener whose handler answers with what it got."""

    def __init__(self, limits):
        self.requests = []
        self.delays = {}
        self.listener = http_server.Listener(
            self.handle, lambda: limits, rigs.MemoryLog(), 'test'
        )

    async def handle(self, req):
        self.requests.append(req)
        await asyncio.sleep(self.delays.get(req.path, 0))
        return http_server.Response(200, (), req.path.encode() + req.body)

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.listener.port)


@pytest.fixture
async def serve():
    started = []

    async def run(**limits):
        server = Server(model.Limits(**limits))
        started.append(server)
        await server.listener.start('127.0.0.1', 0)
        return server

    yield run
    for server in started:
        await server.listener.stop()


class TestOrder:
    """Answers must not be swapped on a connection."""

    async def test_pipelined_answers_come_in_order(self, serve):
        # The first one takes longest; the others run meanwhile.
        server = await serve()
        server.delays = {'/0': 0.05}
        reader, writer = await server.connect()
        writer.write(b''.join(GET % number for number in range(5)))
        bodies = [(await rigs.read_answer(reader)).body for _ in range(5)]
        assert bodies == [b'/0', b'/1', b'/2', b'/3', b'/4']

    async def test_connection_is_kept(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        for number in range(3):
            writer.write(GET % number)
            assert (await rigs.read_answer(reader)).status == 200

    async def test_caller_may_ask_to_close(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(
            b'GET /0 HTTP/1.1\r\nHost: example\r\nConnection: close\r\n\r\n'
        )
        answer = await rigs.read_answer(reader)
        assert answer.headers['connection'] == 'close'
        assert await reader.read() == b''


class TestBodies:
    """Bodies must be read whole in every framing."""

    async def test_chunks_are_joined(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(
            b'POST /c HTTP/1.1\r\nHost: example\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'
        )
        await asyncio.sleep(0.01)
        writer.write(b'2\r\nde\r\n0\r\n\r\n')
        assert (await rigs.read_answer(reader)).body == b'/cabcde'

    async def test_continue_is_sent(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(
            b'POST /c HTTP/1.1\r\nHost: example\r\nExpect: 100-continue\r\n'
            b'Content-Length: 2\r\n\r\n'
        )
        line = await reader.readuntil(b'\r\n\r\n')
        assert line.startswith(b'HTTP/1.1 100 ')
        writer.write(b'ab')
        assert (await rigs.read_answer(reader)).body == b'/cab'


class TestRejected:
    """Requests that can be read in two ways must not pass."""

    @pytest.mark.parametrize(
        ('head', 'status'),
        [
            (b'GET / HTTP/1.1\r\n\r\n', 400),
            (b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n', 400),
            (b'GET http://x/ HTTP/1.1\r\nHost: a\r\n\r\n', 400),
            (b'nonsense\r\n\r\n', 400),
            (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
                400,
            ),
            (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n'
                b'Content-Length: 6\r\n\r\nabcde',
                400,
            ),
            (
                b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'y' * 400 + b'\r\n\r\n',
                431,
            ),
            (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n'
                + b'z' * 50,
                413,
            ),
        ],
    )
    async def test_request_that_is_not_proper(self, serve, head, status):
        # Two readings of one request would let a second one hide in it.
        server = await serve(max_header_bytes=300, max_body_bytes=40)
        reader, writer = await server.connect()
        writer.write(head)
        answer = await rigs.read_answer(reader)
        assert answer.status == status
        assert answer.headers['connection'] == 'close'
        assert not server.requests

    async def test_slow_head_is_given_up(self, serve):
        server = await serve(header_timeout_s=0.1)
        reader, writer = await server.connect()
        writer.write(b'GET / HTTP/1.1\r\nHo')
        assert (await rigs.read_answer(reader)).status == 408

    async def test_idle_connection_is_closed_after_its_time(self, serve):
        server = await serve(idle_timeout_s=0.4)
        reader, writer = await server.connect()
        writer.write(GET % 0)
        await rigs.read_answer(reader)
        await asyncio.sleep(0.3)
        # Callers use connections until four fifths of the timeout.
        writer.write(GET % 1)
        assert (await rigs.read_answer(reader)).status == 200
        assert await asyncio.wait_for(reader.read(), 3) == b''


class TestDrain:
    """A stop must not cut requests off."""

    async def test_next_answer_ends_the_connection(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(GET % 0)
        await rigs.read_answer(reader)
        server.listener.drain()
        writer.write(GET % 1)
        answer = await rigs.read_answer(reader)
        assert answer.headers['connection'] == 'close'
        assert await reader.read() == b''

    async def test_running_requests_are_answered(self, serve):
        # Only the last answer announces the end: requests behind an answer
        # that closes would be lost although they run.
        server = await serve()
        server.delays = {'/0': 0.1, '/1': 0.2}
        reader, writer = await server.connect()
        writer.write(GET % 0 + GET % 1)
        await asyncio.sleep(0.02)
        server.listener.close()
        first = await rigs.read_answer(reader)
        second = await rigs.read_answer(reader)
        assert 'connection' not in first.headers
        assert second.headers['connection'] == 'close'

    async def test_idle_connections_end_when_it_closes(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(GET % 0)
        await rigs.read_answer(reader)
        server.listener.close()
        assert await asyncio.wait_for(reader.read(), 1) == b''

    async def test_unread_bytes_do_not_reset_the_answer(self, serve):
        server = await serve(max_header_bytes=100)
        reader, writer = await server.connect()
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'y' * 60000)
        answer = await rigs.read_answer(reader)
        assert answer.status == 431


class TestCallersThatLeave:
    """A request must learn that its caller has left."""

    async def test_request_hears_of_it(self, serve):
        server = await serve()
        server.delays = {'/0': 0.3}
        _, writer = await server.connect()
        writer.write(GET % 0)
        await asyncio.sleep(0.05)
        assert not server.requests[0].gone.done()
        writer.close()
        await asyncio.sleep(0.05)
        assert server.requests[0].gone.done()
