"""Tests of the HTTP server."""

import asyncio
import socket
import struct

import pytest

from ragwortchute.gateway import http_messages
from ragwortchute.gateway import http_server
from ragwortchute.gateway import model
from ragwortchute.gateway import server_connection
from tests.test_gateway import rig as rigs

GET = b'GET /%d HTTP/1.1\r\nHost: example\r\n\r\n'


class Server:
    """Listener whose handler responds with the path and body of requests."""

    def __init__(self, limits):
        self.requests = []
        self.delays = {}
        self.listener = http_server.Listener(
            self.handle, lambda: limits, rigs.MemoryLog(), 'test'
        )

    async def handle(self, req):
        self.requests.append(req)
        await asyncio.sleep(self.delays.get(req.path, 0))
        return http_messages.Response(200, (), req.path.encode() + req.body)

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
    """Responses must be sent in the order of the requests."""

    async def test_pipelined_responses_are_in_order(self, serve):
        # The handler of the first request takes longest.
        server = await serve()
        server.delays = {'/0': 0.05}
        reader, writer = await server.connect()
        writer.write(b''.join(GET % number for number in range(5)))
        bodies = [(await rigs.read_response(reader)).body for _ in range(5)]
        assert bodies == [b'/0', b'/1', b'/2', b'/3', b'/4']

    async def test_connection_is_persistent(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        for number in range(3):
            writer.write(GET % number)
            assert (await rigs.read_response(reader)).status == 200

    async def test_connection_close_is_honoured(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(
            b'GET /0 HTTP/1.1\r\nHost: example\r\nConnection: close\r\n\r\n'
        )
        resp = await rigs.read_response(reader)
        assert resp.headers['connection'] == 'close'
        assert await reader.read() == b''


class TestLastRequest:
    """A close must not drop requests that the handler has started to serve.

    Requests behind the one that closes the connection were started, too, and
    then ended without a response (issue 30, LOST).
    """

    CLOSE = b'GET /c HTTP/1.1\r\nHost: example\r\nConnection: close\r\n\r\n'

    async def responses(self, server, data):
        reader, writer = await server.connect()
        writer.write(data)
        responses = []
        while not reader.at_eof():
            responses.append(await rigs.read_response(reader))
            if responses[-1].headers.get('connection') == 'close':
                assert await reader.read() == b''
        return responses

    async def test_requests_behind_a_close_are_not_served(self, serve):
        server = await serve()
        server.delays = {'/0': 0.05}
        responses = await self.responses(
            server, GET % 0 + self.CLOSE + GET % 1 + b'nonsense'
        )
        assert [resp.body for resp in responses] == [b'/0', b'/c']
        assert [req.target for req in server.requests] == ['/0', '/c']

    async def test_requests_behind_a_rejected_one_are_not_served(self, serve):
        server = await serve()
        server.delays = {'/0': 0.05}
        responses = await self.responses(
            server, GET % 0 + b'GET /b HTTP/1.1\r\n\r\n' + GET % 1
        )
        assert [resp.status for resp in responses] == [200, 400]
        assert [req.target for req in server.requests] == ['/0']

    async def test_failed_handler_drops_no_other_request(self, serve):
        server = await serve()
        server.listener.log.failure = lambda *args: None
        handle = server.handle

        async def fail(req):
            if req.path == '/0':
                raise ValueError
            return await handle(req)

        server.listener.handler = fail
        server.delays = {'/1': 0.05}
        responses = await self.responses(server, GET % 0 + GET % 1 + self.CLOSE)
        assert [resp.status for resp in responses] == [502, 200, 200]

    async def test_close_asked_for_by_a_handler_is_the_last_response(
        self, serve
    ):
        server = await serve()

        async def close(req):
            return http_messages.Response(200, (), b'', req.path == '/0')

        server.listener.handler = close
        responses = await self.responses(server, GET % 0 + GET % 1 + GET % 2)
        assert [resp.status for resp in responses] == [200, 200, 200]


class TestBodies:
    """Bodies must be complete with every transfer encoding."""

    async def test_chunks_are_joined(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(
            b'POST /c HTTP/1.1\r\nHost: example\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'
        )
        await asyncio.sleep(0.01)
        writer.write(b'2\r\nde\r\n0\r\n\r\n')
        assert (await rigs.read_response(reader)).body == b'/cabcde'

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
        assert (await rigs.read_response(reader)).body == b'/cab'


UPGRADE = b'Host: example\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n'


class TestUpgrade:
    """A request to change the protocol must be answered once (review, case 5).

    It was answered by its handler and then again with 501, which the next
    request on the connection took for its own answer.
    """

    @pytest.mark.parametrize(
        ('head', 'body'),
        [
            (b'GET /u HTTP/1.1\r\n' + UPGRADE + b'\r\n', b''),
            (
                b'POST /u HTTP/1.1\r\n'
                + UPGRADE
                + b'Content-Length: 3\r\n\r\n',
                b'abc',
            ),
            (
                b'POST /u HTTP/1.1\r\n'
                + UPGRADE
                + b'Transfer-Encoding: chunked\r\n\r\n',
                b'3\r\nabc\r\n0\r\n\r\n',
            ),
            (
                b'GET /u HTTP/1.1\r\nHost: example\r\n'
                b'Connection: Upgrade, HTTP2-Settings, keep-alive\r\n'
                b'Upgrade: h2c, websocket\r\nHTTP2-Settings: AAMA\r\n\r\n',
                b'',
            ),
        ],
    )
    @pytest.mark.parametrize('cut', [False, True])
    async def test_next_request_gets_its_own_answer(
        self, serve, head, body, cut
    ):
        server = await serve()
        reader, writer = await server.connect()
        data = head + body + GET % 1
        step = 1 if cut else len(data)
        for start in range(0, len(data), step):
            writer.write(data[start : start + step])
            await asyncio.sleep(0)
        first = await rigs.read_response(reader)
        second = await rigs.read_response(reader)
        assert first.body == (b'/uabc' if body else b'/u')
        assert second.body == b'/1'
        writer.write(GET % 2)
        assert (await rigs.read_response(reader)).body == b'/2'
        assert [req.target for req in server.requests] == ['/u', '/1', '/2']
        assert not server.requests[0].headers

    async def test_expected_continue_is_sent_once(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(
            b'POST /u HTTP/1.1\r\n'
            + UPGRADE
            + b'Expect: 100-continue\r\nContent-Length: 2\r\n\r\n'
        )
        line = await reader.readuntil(b'\r\n\r\n')
        assert line.startswith(b'HTTP/1.1 100 ')
        writer.write(b'ab')
        assert (await rigs.read_response(reader)).body == b'/uab'

    async def test_tunnel_is_rejected_once(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(GET % 0 + b'CONNECT example:1 HTTP/1.1\r\nHost: e\r\n\r\n')
        assert (await rigs.read_response(reader)).body == b'/0'
        assert (await rigs.read_response(reader)).status == 501
        assert await reader.read() == b''


class TestRejected:
    """Ambiguous or oversized requests must be rejected."""

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
    async def test_invalid_request_is_rejected(self, serve, head, status):
        # An ambiguous request would permit request smuggling.
        server = await serve(max_header_bytes=300, max_body_bytes=40)
        reader, writer = await server.connect()
        writer.write(head)
        resp = await rigs.read_response(reader)
        assert resp.status == status
        assert resp.headers['connection'] == 'close'
        assert not server.requests

    async def test_slow_head_times_out(self, serve):
        server = await serve(header_timeout_s=0.1)
        reader, writer = await server.connect()
        writer.write(b'GET / HTTP/1.1\r\nHo')
        assert (await rigs.read_response(reader)).status == 408

    async def test_idle_connection_is_closed_after_the_timeout(self, serve):
        server = await serve(idle_timeout_s=0.4)
        reader, writer = await server.connect()
        writer.write(GET % 0)
        await rigs.read_response(reader)
        await asyncio.sleep(0.3)
        # Callers reuse connections until 4/5 of the timeout has passed.
        writer.write(GET % 1)
        assert (await rigs.read_response(reader)).status == 200
        assert await asyncio.wait_for(reader.read(), 3) == b''


class TestDrain:
    """A graceful stop must not abort requests."""

    async def test_next_response_closes_the_connection(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(GET % 0)
        await rigs.read_response(reader)
        server.listener.drain()
        writer.write(GET % 1)
        resp = await rigs.read_response(reader)
        assert resp.headers['connection'] == 'close'
        assert await reader.read() == b''

    async def test_running_requests_are_served(self, serve):
        # Only the last response may have `Connection: close`: callers would
        # discard responses to running requests after it.
        server = await serve()
        server.delays = {'/0': 0.1, '/1': 0.2}
        reader, writer = await server.connect()
        writer.write(GET % 0 + GET % 1)
        await asyncio.sleep(0.02)
        server.listener.close()
        first = await rigs.read_response(reader)
        second = await rigs.read_response(reader)
        assert 'connection' not in first.headers
        assert second.headers['connection'] == 'close'

    async def test_requests_behind_the_last_one_are_not_read(self, serve):
        # A caller that always has a request outstanding would otherwise keep
        # its connection until the host exits (issue 30, LOST).
        server = await serve()
        server.delays = {'/0': 0.1, '/1': 0.2}
        reader, writer = await server.connect()
        writer.write(GET % 0 + GET % 1)
        await asyncio.sleep(0.02)
        server.listener.drain()
        writer.write(GET % 2 + b'GET /3 HTTP/1.1\r\n' + UPGRADE + b'\r\n')
        first = await rigs.read_response(reader)
        second = await rigs.read_response(reader)
        assert 'connection' not in first.headers
        assert second.headers['connection'] == 'close'
        assert await reader.read() == b''
        assert [req.target for req in server.requests] == ['/0', '/1']

    async def test_incomplete_request_is_the_last_one(self, serve):
        server = await serve()
        server.delays = {'/0': 0.1}
        reader, writer = await server.connect()
        writer.write(GET % 0 + (GET % 1)[:9])
        await asyncio.sleep(0.02)
        server.listener.close()
        writer.write((GET % 1)[9:] + GET % 2 + UPGRADE)
        first = await rigs.read_response(reader)
        second = await rigs.read_response(reader)
        assert 'connection' not in first.headers
        assert second.headers['connection'] == 'close'
        assert [req.target for req in server.requests] == ['/0', '/1']

    async def test_idle_connections_are_closed(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(GET % 0)
        await rigs.read_response(reader)
        server.listener.close()
        assert await asyncio.wait_for(reader.read(), 1) == b''

    async def test_reset_connection_does_not_keep_others_open(self, serve):
        # A planned stop closes all connections at once. One that its caller
        # has just reset must not end the stop.
        server = await serve()
        address = ('127.0.0.1', server.listener.port)
        resetting = [socket.create_connection(address) for _ in range(2)]
        reader, _ = await server.connect()
        await asyncio.sleep(0.02)
        for sock in resetting:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            sock.close()
        # The server has not seen the resets yet.
        server.listener.close()
        assert await asyncio.wait_for(reader.read(), 1) == b''

    async def test_unread_bytes_do_not_discard_the_response(self, serve):
        server = await serve(max_header_bytes=100)
        reader, writer = await server.connect()
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'y' * 60000)
        resp = await rigs.read_response(reader)
        assert resp.status == 431


class SlowReader:
    """Caller that reads a response in pieces from a small receive buffer."""

    def __init__(self, server):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        self.sock.connect(('127.0.0.1', server.listener.port))
        self.sock.setblocking(False)

    async def read(self, bytes_per_s, most=1 << 30):
        loop = asyncio.get_running_loop()
        received = 0
        while received < most:
            data = await loop.sock_recv(self.sock, 1 << 16)
            if not data:
                break
            received += len(data)
            await asyncio.sleep(len(data) / bytes_per_s)
        return received


class TestLongResponses:
    """A close must not cut a response that the caller still reads.

    Connections were reset a second after the response was handed over, and a
    stopping host exited at that moment (KNOWN-RED 15, issue 30, LOST).
    """

    SIZE = 12 << 20
    BYTES_PER_S = 5e6

    @pytest.fixture
    async def server(self, serve):
        server = await serve()

        async def respond(req):
            return http_messages.Response(200, (), b'x' * self.SIZE)

        server.listener.handler = respond
        return server

    async def test_slow_caller_gets_all_of_it(self, server):
        caller = SlowReader(server)
        caller.sock.send(
            b'GET /0 HTTP/1.1\r\nHost: example\r\nConnection: close\r\n\r\n'
        )
        assert await caller.read(self.BYTES_PER_S) > self.SIZE

    async def test_stop_waits_for_it(self, server):
        caller = SlowReader(server)
        caller.sock.send(GET % 0)
        first = await caller.read(self.BYTES_PER_S, 1 << 16)
        server.listener.close()
        caller.sock.send(GET % 1)
        read_task = asyncio.create_task(caller.read(self.BYTES_PER_S))
        assert await server.listener.wait_finished(6.0)
        await server.listener.stop()
        assert first + await read_task > self.SIZE

    async def test_stop_waits_for_no_idle_connection(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(GET % 0)
        await rigs.read_response(reader)
        await asyncio.sleep(server_connection.CLOSE_LINGER_S + 0.1)
        server.listener.close()
        assert await server.listener.wait_finished(0.1)

    async def test_caller_that_does_not_read_is_dropped(self, serve):
        server = await serve(idle_timeout_s=0.5)

        async def respond(req):
            return http_messages.Response(200, (), b'x' * self.SIZE)

        server.listener.handler = respond
        caller = SlowReader(server)
        caller.sock.send(GET % 0)
        await asyncio.sleep(2.5)
        assert not server.listener.connections


class TestEndlessFraming:
    """Memory must stay bounded whatever a caller sends as framing."""

    @pytest.mark.parametrize(
        ('start', 'part'),
        [
            (b'GET / HTTP/1.1\r\nHost: a\r\nX: ', b'y' * 100),
            (b'GET / HTTP/1.1\r\nHost: a\r\n', b'X: y\r\n' * 20),
            (
                b'POST / HTTP/1.1\r\nHost: a\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n0\r\nX: ',
                b'y' * 100,
            ),
            (
                b'POST / HTTP/1.1\r\nHost: a\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
                b'X: y\r\n' * 20,
            ),
            (
                b'POST / HTTP/1.1\r\nHost: a\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n1;x=',
                b'y' * 100,
            ),
        ],
    )
    async def test_endless_framing_is_rejected(self, serve, start, part):
        server = await serve(max_header_bytes=1000)
        reader, writer = await server.connect()
        writer.write(start)
        answer = asyncio.create_task(rigs.read_response(reader))
        for _ in range(30):
            await asyncio.sleep(0.002)
            writer.write(part)
        resp = await asyncio.wait_for(answer, 1)
        assert resp.status in (400, 431)

    async def test_head_after_a_large_body_is_not_rejected(self, serve):
        # The end of the first body and the start of the next head arrive in
        # the same packet.
        server = await serve(max_header_bytes=1000)
        reader, writer = await server.connect()
        writer.write(
            b'POST /0 HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n'
        )
        await asyncio.sleep(0.02)
        writer.write(b'z' * 5000 + b'GET /1 HTTP/1.1\r\nHo')
        await asyncio.sleep(0.02)
        writer.write(b'st: a\r\n\r\n')
        statuses = [(await rigs.read_response(reader)).status for _ in range(2)]
        assert statuses == [200, 200]

    async def test_body_in_small_chunks_is_accepted(self, serve):
        server = await serve(max_header_bytes=1000)
        reader, writer = await server.connect()
        writer.write(
            b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        for _ in range(10):
            await asyncio.sleep(0.002)
            writer.write(b'1\r\nz\r\n' * 100)
        writer.write(b'0\r\n\r\n')
        assert (await rigs.read_response(reader)).status == 200


class TestDisconnect:
    """A handler must be notified when its caller has disconnected."""

    async def test_handler_is_notified(self, serve):
        server = await serve()
        server.delays = {'/0': 0.3}
        _, writer = await server.connect()
        writer.write(GET % 0)
        await asyncio.sleep(0.05)
        assert not server.requests[0].disconnected.done()
        writer.close()
        await asyncio.sleep(0.05)
        assert server.requests[0].disconnected.done()
