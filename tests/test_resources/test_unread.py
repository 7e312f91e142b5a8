"""Tests that responses that callers have not taken are counted."""

import asyncio
import socket

from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import http_server
from ragwortchute.gateway.http import server_connection
from tests.test_gateway import rig as rigs
from tests.test_resources import servers

GET = b'GET %b HTTP/1.1\r\nHost: x\r\n\r\n'


class TestUnreadResponses:
    """What callers have taken must not count for ever, what they leave must."""

    async def test_nothing_is_held_once_the_caller_has_read(self, serve):
        # It stayed counted until the next request, and others were refused.
        server = await serve(request_bytes=64 * servers.MIB)
        body = bytes(8 * servers.MIB)
        server.at_once['/long'] = http_messages.Response(200, (), body)
        reader, writer = await server.connect()
        sock = writer.transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
        writer.write(GET % b'/long')
        await asyncio.sleep(0.2)
        assert server.account.held_bytes > 0
        resp = await asyncio.wait_for(rigs.read_response(reader), 10)
        assert resp.body == body
        await asyncio.sleep(2 * http_server.EXPIRY_CHECK_S)
        assert server.connection.running == 0
        assert server.account.held_bytes == 0
        writer.close()

    async def test_responses_too_short_to_pause_writing_give_way(self, serve):
        # Many of them filled the account, and no caller could be closed.
        server = await serve(
            accepted_connections=40, connections=80, request_bytes=200_000
        )
        server.at_once['/short'] = http_messages.Response(
            200, (), bytes(30_000)
        )
        transports = []
        for _ in range(12):
            transports.append(servers.Transport())
            conn = server_connection.ServerConnection(server.listener)
            conn.connection_made(transports[-1])
            for _ in servers.receive(conn, GET % b'/short'):
                pass
            await asyncio.sleep(0.1)
        assert server.account.held_bytes <= 200_000
        server.answer.set()
        reader, writer = await server.connect()
        writer.write(GET % b'/ordinary')
        resp = await asyncio.wait_for(rigs.read_response(reader), 5)
        assert resp.status == 200
        assert any(transport.closed for transport in transports)
        writer.close()
