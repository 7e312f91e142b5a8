"""Tests of targets that send bytes without end instead of an answer."""

import asyncio
import time

import pytest

from ragwortchute import errors
from ragwortchute.gateway import host_settings
from ragwortchute.gateway.http import http_client
from standins import platform_targets
from tests.test_gateway import rig as rigs

HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'
# Memory that one endless answer may take: body, framing and a read buffer.
MAX_ANSWER_BYTES = 18 << 20

# Start of an answer and the bytes that follow again and again.
ENDLESS = {
    'no answer': (b'', b'\xff\x00' * 50),
    'status line': (b'HTTP/1.1 200 ', b'O' * 100),
    'header line': (HEAD + b'x: ', b'y' * 100),
    'header name': (HEAD, b'y' * 100),
    'headers': (HEAD, b'x: y\r\n' * 20),
    'interim answers': (b'', b'HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n' * 4),
    'chunk size': (CHUNKED, b'0' * 100),
    'chunk extension': (CHUNKED + b'1;', b'x' * 100),
    'trailer line': (CHUNKED + b'0\r\nx: ', b'y' * 100),
    'trailers': (CHUNKED + b'0\r\n', b'x: y\r\n' * 20),
    'chunks': (CHUNKED, b'64\r\n' + b'z' * 100 + b'\r\n'),
    'body without length': (HEAD + b'\r\n', b'z' * 100),
    'body after the end': (HEAD + b'content-length: 2\r\n\r\nok', b'z' * 100),
}


class EndlessServer:
    """Server that answers each request with bytes without end.

    Attributes:
        port: Listening port.
        sent: Number of bytes sent to the last caller.
        closed: Set once the last caller has closed its connection.
    """

    def __init__(self, kind, pause_s):
        self.start_bytes, self.part = ENDLESS[kind]
        self.pause_s = pause_s
        self.port = 0
        self.sent = 0
        self.closed = asyncio.Event()
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def answer(self, writer):
        """Sends bytes until the caller closes the connection."""
        part = self.part if self.pause_s else self.part * 1000
        self.sent = 0
        try:
            writer.write(self.start_bytes)
            while True:
                writer.write(part)
                self.sent += len(part)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        except ConnectionError:
            self.closed.set()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        await reader.readuntil(b'\r\n\r\n')
        await self.answer(writer)
        writer.close()


@pytest.fixture
async def serve():
    servers = []

    async def run(kind, pause_s=0.0):
        server = EndlessServer(kind, pause_s)
        servers.append(server)
        await server.start()
        return server

    yield run
    for server in servers:
        await server.stop()


class TestConnection:
    """A connection must end at a limit of its own if the peer never stops."""

    @pytest.mark.parametrize('kind', ENDLESS)
    async def test_connection_is_closed_at_the_limit(self, serve, kind):
        server = await serve(kind)
        conn = await http_client.connect('127.0.0.1', server.port)
        fut = conn.send(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        try:
            reply = await asyncio.wait_for(fut, 20)
        except errors.TargetError:
            reply = None
        if reply is not None:
            # The bytes after a complete answer belong to no request.
            assert kind == 'body after the end'
            assert not reply.reusable
        assert not conn.usable
        await asyncio.wait_for(server.closed.wait(), 2)
        assert server.sent < MAX_ANSWER_BYTES

    async def test_error_names_the_limit(self, serve):
        server = await serve('headers')
        conn = await http_client.connect('127.0.0.1', server.port)
        fut = conn.send(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        with pytest.raises(errors.AnswerTooLarge, match='bytes of framing'):
            await asyncio.wait_for(fut, 5)

    async def test_answer_to_head_has_no_body(self, serve):
        server = await serve('body after the end')
        server.start_bytes = HEAD + b'content-length: 50\r\n\r\n'
        server.part = b''
        conn = await http_client.connect('127.0.0.1', server.port)
        fut = conn.send(b'HEAD / HTTP/1.1\r\nhost: x\r\n\r\n')
        reply = await asyncio.wait_for(fut, 1)
        assert (reply.status, reply.body) == (200, b'')

    async def test_body_in_small_chunks_is_accepted(self, serve):
        server = await serve('chunks')
        server.start_bytes = CHUNKED + b'1\r\nz\r\n' * 40000 + b'0\r\n\r\n'
        server.part = b''
        conn = await http_client.connect('127.0.0.1', server.port)
        fut = conn.send(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        reply = await asyncio.wait_for(fut, 5)
        assert len(reply.body) == 40000


class EndlessTarget(platform_targets.TargetServer):
    """Target whose health is good and whose answers don't end."""

    def __init__(self, kind, pause_s):
        super().__init__('t0')
        self.endless = EndlessServer(kind, pause_s)
        self.healthy_answers = 0

    async def _respond(self, writer, id_headers, body):
        if self.healthy_answers:
            self.healthy_answers -= 1
            return await super()._respond(writer, id_headers, body)
        await self.endless.answer(writer)
        return False


class TestCaller:
    """A caller must get a failure in time, and the next one its own answer."""

    @pytest.mark.parametrize('healthy_answers', [0, 1])
    @pytest.mark.parametrize('pause_s', [0.0, 0.05])
    @pytest.mark.parametrize('kind', ENDLESS)
    async def test_caller_gets_a_failure_in_time(
        self, kind, pause_s, healthy_answers
    ):
        target = EndlessTarget(kind, pause_s)
        # With an answer before it, the endless one is on a kept connection.
        target.healthy_answers = healthy_answers
        rig = rigs.Rig(
            target,
            limits=host_settings.FleetLimits(retry_ratio=0, retry_slack=0),
        )
        await rig.start(rigs.route(idempotent=False))
        for _ in range(healthy_answers):
            assert (await rig.request(method='POST')).status == 200
        started_s = time.monotonic()
        answer = await rig.request(method='POST', deadline_ms=400)
        elapsed_s = time.monotonic() - started_s
        target.healthy_answers = 1
        target.endless.pause_s = 0.05
        following = await rig.request(method='POST', body=b'x')
        await asyncio.wait_for(target.endless.closed.wait(), 2)
        await rig.stop()
        assert answer.status in (502, 504)
        assert elapsed_s < 2.0
        assert (following.status, following.body) == (200, b'answer of t0 x')
        outcomes = [
            fields.get('error') or fields['outcome']
            for name, fields in rig.log.lines
            if name in ('attempt', 'request') and fields['outcome'] != 'answer'
        ]
        # A log line tells which limit ended the answer.
        assert outcomes[0]

    async def test_endless_health_answer_is_given_up(self, monkeypatch):
        target = EndlessTarget('headers', 0.01)
        rig = rigs.Rig(target)
        await rig.start()
        monkeypatch.setattr(
            target,
            '_write',
            lambda writer, *_: writer.write(b'HTTP/1.1 200 OK\r\nx: '),
        )
        monkeypatch.setattr(
            'ragwortchute.gateway.selection.targets.PROBE_TIMEOUT_S', 0.2
        )
        answer = await rig.request(deadline_ms=300)
        assert answer.status == 503
        await asyncio.sleep(0.3)
        (entry,) = rig.state.targets.values()
        open_connections = len(target._writers)
        await rig.stop()
        assert open_connections == 0
        assert not entry.pool.has_idle
