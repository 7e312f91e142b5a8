"""Tests of the HTTP server."""

import asyncio

import pytest

from tests.test_gateway import rig as rigs
from tests.test_gateway import servers


class TestOrder:
    """Responses must be sent in the order of the requests."""

    async def test_pipelined_responses_are_in_order(self, serve):
        # The handler of the first request takes longest.
        server = await serve()
        server.delays = {'/0': 0.05}
        reader, writer = await server.connect()
        writer.write(b''.join(servers.GET % number for number in range(5)))
        bodies = [(await rigs.read_response(reader)).body for _ in range(5)]
        assert bodies == [b'/0', b'/1', b'/2', b'/3', b'/4']

    async def test_connection_is_persistent(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        for number in range(3):
            writer.write(servers.GET % number)
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


class TestUpgrade:
    """A request to change the protocol must be answered once (review, case 5).

    It was answered by its handler and then again with 501, which the next
    request on the connection took for its own answer.
    """

    @pytest.mark.parametrize(
        ('head', 'body'),
        [
            (b'GET /u HTTP/1.1\r\n' + servers.UPGRADE + b'\r\n', b''),
            (
                b'POST /u HTTP/1.1\r\n'
                + servers.UPGRADE
                + b'Content-Length: 3\r\n\r\n',
                b'abc',
            ),
            (
                b'POST /u HTTP/1.1\r\n'
                + servers.UPGRADE
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
        data = head + body + servers.GET % 1
        step = 1 if cut else len(data)
        for start in range(0, len(data), step):
            writer.write(data[start : start + step])
            await asyncio.sleep(0)
        first = await rigs.read_response(reader)
        second = await rigs.read_response(reader)
        assert first.body == (b'/uabc' if body else b'/u')
        assert second.body == b'/1'
        writer.write(servers.GET % 2)
        assert (await rigs.read_response(reader)).body == b'/2'
        assert [req.target for req in server.requests] == ['/u', '/1', '/2']
        assert not server.requests[0].headers

    async def test_expected_continue_is_sent_once(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(
            b'POST /u HTTP/1.1\r\n'
            + servers.UPGRADE
            + b'Expect: 100-continue\r\nContent-Length: 2\r\n\r\n'
        )
        line = await reader.readuntil(b'\r\n\r\n')
        assert line.startswith(b'HTTP/1.1 100 ')
        writer.write(b'ab')
        assert (await rigs.read_response(reader)).body == b'/uab'

    async def test_tunnel_is_rejected_once(self, serve):
        server = await serve()
        reader, writer = await server.connect()
        writer.write(
            servers.GET % 0 + b'CONNECT example:1 HTTP/1.1\r\nHost: e\r\n\r\n'
        )
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
        writer.write(servers.GET % 0)
        await rigs.read_response(reader)
        await asyncio.sleep(0.3)
        # Callers reuse connections until 4/5 of the timeout has passed.
        writer.write(servers.GET % 1)
        assert (await rigs.read_response(reader)).status == 200
        assert await asyncio.wait_for(reader.read(), 3) == b''


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
        writer.write(servers.GET % 0)
        await asyncio.sleep(0.05)
        assert not server.requests[0].disconnected.done()
        writer.close()
        await asyncio.sleep(0.05)
        assert server.requests[0].disconnected.done()
