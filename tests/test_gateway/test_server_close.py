"""Tests of the close of connections of callers."""

import asyncio
import socket
import struct

import pytest

from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import server_connection
from tests.test_gateway import rig as rigs
from tests.test_gateway import servers


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
            server, servers.GET % 0 + self.CLOSE + servers.GET % 1 + b'nonsense'
        )
        assert [resp.body for resp in responses] == [b'/0', b'/c']
        assert [req.target for req in server.requests] == ['/0', '/c']

    async def test_requests_behind_a_rejected_one_are_not_served(self, serve):
        server = await serve()
        server.delays = {'/0': 0.05}
        responses = await self.responses(
            server,
            servers.GET % 0 + b'GET /b HTTP/1.1\r\n\r\n' + servers.GET % 1,
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
        responses = await self.responses(
            server, servers.GET % 0 + servers.GET % 1 + self.CLOSE
        )
        assert [resp.status for resp in responses] == [502, 200, 200]

    async def test_close_asked_for_by_a_handler_is_the_last_response(
        self, serve
    ):
        server = await serve()

        async def close(req):
            return http_messages.Response(200, (), b'', req.path == '/0')

        server.listener.handler = close
        responses = await self.responses(
            server, servers.GET % 0 + servers.GET % 1 + servers.GET % 2
        )
        assert [resp.status for resp in responses] == [200, 200, 200]


class TestDrain:
    """A graceful stop must not abort requests."""

    async def test_next_response_closes_the_connection(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(servers.GET % 0)
        await rigs.read_response(reader)
        server.listener.drain()
        writer.write(servers.GET % 1)
        resp = await rigs.read_response(reader)
        assert resp.headers['connection'] == 'close'
        assert await reader.read() == b''

    async def test_running_requests_are_served(self, serve):
        # Only the last response may have `Connection: close`: callers would
        # discard responses to running requests after it.
        server = await serve()
        server.delays = {'/0': 0.1, '/1': 0.2}
        reader, writer = await server.connect()
        writer.write(servers.GET % 0 + servers.GET % 1)
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
        writer.write(servers.GET % 0 + servers.GET % 1)
        await asyncio.sleep(0.02)
        server.listener.drain()
        writer.write(
            servers.GET % 2 + b'GET /3 HTTP/1.1\r\n' + servers.UPGRADE + b'\r\n'
        )
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
        writer.write(servers.GET % 0 + (servers.GET % 1)[:9])
        await asyncio.sleep(0.02)
        server.listener.close()
        writer.write((servers.GET % 1)[9:] + servers.GET % 2 + servers.UPGRADE)
        first = await rigs.read_response(reader)
        second = await rigs.read_response(reader)
        assert 'connection' not in first.headers
        assert second.headers['connection'] == 'close'
        assert [req.target for req in server.requests] == ['/0', '/1']

    async def test_idle_connections_are_closed(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(servers.GET % 0)
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

    async def test_responses_behind_a_request_at_work_are_delivered(
        self, serve
    ):
        # At the end of a stop, both were cut off (issue 33).
        server = await serve()
        server.delays = {'/0': 60}
        reader, writer = await server.connect()
        writer.write(servers.GET % 0 + servers.GET % 1)
        await asyncio.sleep(0.05)
        server.listener.close()
        server.listener.fail_pending()
        first = await rigs.read_response(reader)
        second = await rigs.read_response(reader)
        assert (first.status, second.status) == (502, 200)
        assert await reader.read() == b''
        assert 'cut' in server.listener.log.kinds()


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
        caller.sock.send(servers.GET % 0)
        first = await caller.read(self.BYTES_PER_S, 1 << 16)
        server.listener.close()
        caller.sock.send(servers.GET % 1)
        read_task = asyncio.create_task(caller.read(self.BYTES_PER_S))
        assert await server.listener.wait_finished(6.0)
        await server.listener.stop()
        assert first + await read_task > self.SIZE

    async def test_stop_waits_for_no_idle_connection(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(servers.GET % 0)
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
        caller.sock.send(servers.GET % 0)
        await asyncio.sleep(2.5)
        assert not server.listener.connections


class TestUnreadResponses:
    """A request behind a response that is being read must not reset it.

    The kernel had taken the response, and the connection was reset a second
    later, or when the host ended (issue 33, LOST).
    """

    SIZE = 400_000

    @pytest.fixture
    async def caller(self, serve):
        self.server = await serve()
        self.ran = []

        async def respond(req):
            self.ran.append(req.target)
            return http_messages.Response(200, (), b'x' * self.SIZE)

        self.server.listener.handler = respond
        caller = SlowReader(self.server)
        yield caller
        caller.sock.close()

    async def test_request_behind_the_last_one_resets_nothing(self, caller):
        caller.sock.send(servers.GET % 0 + servers.GET % 1)
        await asyncio.sleep(0.1)
        self.server.listener.close()
        await asyncio.sleep(server_connection.CLOSE_LINGER_S + 0.6)
        caller.sock.send(servers.GET % 2)
        assert await caller.read(4e6) > 2 * self.SIZE
        assert self.ran == ['/0', '/1']

    async def test_stop_waits_until_the_caller_has_closed(self, caller):
        caller.sock.send(servers.GET % 0 + servers.GET % 1)
        await asyncio.sleep(0.1)
        self.server.listener.close()
        await caller.read(4e6)
        await asyncio.sleep(server_connection.CLOSE_LINGER_S + 0.6)
        assert not await self.server.listener.wait_finished(0.1)
        caller.sock.close()
        assert await self.server.listener.wait_finished(1.0)

    async def test_caller_that_sends_nothing_more_is_not_waited_for(
        self, serve
    ):
        # Each would otherwise occupy a descriptor for the idle timeout.
        server = await serve()
        writers = []
        for _ in range(10):
            reader, writer = await server.connect()
            writer.write(TestLastRequest.CLOSE)
            assert len(await reader.read()) > 0
            writers.append(writer)
        await asyncio.sleep(server_connection.CLOSE_LINGER_S + 0.6)
        assert not server.listener.connections
        for writer in writers:
            writer.close()

    async def test_refused_body_is_read_until_the_caller_closes(self, serve):
        server = await serve(max_body_bytes=100)
        reader, writer = await server.connect()
        writer.write(
            b'POST / HTTP/1.1\r\nHost: example\r\nContent-Length: 900\r\n\r\n'
        )
        await asyncio.sleep(server_connection.CLOSE_LINGER_S + 0.6)
        writer.write(b'x' * 900)
        assert (await rigs.read_response(reader)).status == 413
        assert server.listener.connections
        writer.close()

    async def test_caller_that_never_closes_is_dropped(self, serve):
        server = await serve(idle_timeout_s=0.5)
        reader, writer = await server.connect()
        writer.write(servers.GET % 0 + TestLastRequest.CLOSE)
        assert len(await reader.read()) > 0
        await asyncio.sleep(server_connection.CLOSE_LINGER_S + 0.6)
        assert not server.listener.connections
        writer.close()

    async def test_request_behind_unread_responses_is_not_run(self, caller):
        self.SIZE = 8 << 20
        caller.sock.send(servers.GET % 0)
        await asyncio.sleep(0.1)
        caller.sock.send(servers.GET % 1)
        await asyncio.sleep(0.2)
        assert self.ran == ['/0']
        await caller.read(1e8, self.SIZE + 1000)
        assert self.ran == ['/0', '/1']

    @pytest.mark.parametrize('count', [1, server_connection.MAX_PIPELINED])
    async def test_request_that_has_begun_is_read(self, serve, count):
        server = await serve(header_timeout_s=0.5)

        async def respond(req):
            size = (8 << 20) // count if req.method == 'GET' else 2
            return http_messages.Response(200, (), b'x' * size)

        server.listener.handler = respond
        caller = SlowReader(server)
        head = b'POST /p HTTP/1.1\r\nHost: example\r\nContent-Length: 2\r\n\r\n'
        caller.sock.send(servers.GET % 0 * count + head + b'x')
        await asyncio.sleep(0.1)
        caller.sock.send(b'x')
        read_task = asyncio.create_task(caller.read(4e6, 8 << 20))
        await asyncio.sleep(1.0)
        assert 'rejected' not in server.listener.log.kinds()
        read_task.cancel()
        caller.sock.close()


class TestCut:
    """A host must log what was unfinished on a connection that it ends.

    The record of issue 33 did not tell which of these states was lost.
    """

    async def cut(self, server):
        await server.listener.stop()
        return [
            fields
            for kind, fields in server.listener.log.lines
            if kind == 'cut'
        ]

    async def test_pending_request(self, serve):
        server = await serve()
        server.delays = {'/0': 9}
        _, writer = await server.connect()
        writer.write(servers.GET % 0)
        await asyncio.sleep(0.05)
        (cut,) = await self.cut(server)
        (pending,) = cut['pending']
        assert pending.target == '/0'
        assert 0 < pending.age_s < 5

    async def test_incomplete_request(self, serve):
        server = await serve()
        _, writer = await server.connect()
        writer.write((servers.GET % 0)[:9])
        await asyncio.sleep(0.05)
        (cut,) = await self.cut(server)
        assert cut['incomplete']

    async def test_response_that_is_not_acknowledged(self, serve):
        server = await serve()

        async def respond(req):
            return http_messages.Response(200, (), b'x' * (12 << 20))

        server.listener.handler = respond
        caller = SlowReader(server)
        caller.sock.send(servers.GET % 0)
        await asyncio.sleep(0.1)
        (cut,) = await self.cut(server)
        assert cut['unsent_bytes']
        assert cut['unacknowledged_bytes']
        caller.sock.close()

    async def test_caller_that_sends_ahead(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(servers.GET % 0 + servers.GET % 1)
        for _ in range(2):
            await rigs.read_response(reader)
        (cut,) = await self.cut(server)
        assert cut['unread']
        assert not cut['pending']

    async def test_finished_connection_is_not_logged(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(servers.GET % 0)
        await rigs.read_response(reader)
        assert not await self.cut(server)
