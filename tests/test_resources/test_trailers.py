"""Tests of what comes behind the parts of a body in chunks."""

import asyncio

import pytest

from ragwortchute.gateway.http import server_connection
from tests.test_gateway import rig as rigs
from tests.test_resources import servers

HEAD = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
# A body of 512 KB.
CHUNKS = (b'4000\r\n%b\r\n' % bytes(0x4000)) * 32


class TestTrailers:
    """A trailer must not be as long as eight times the body before it."""

    @pytest.mark.parametrize('begin', [b'0\r\na: ', b'1;a='])
    async def test_unfinished_trailer_or_extension_is_refused(
        self, serve, begin
    ):
        server = await serve(body_bytes=8 * servers.MIB)
        reader, writer = await server.connect()
        writer.write(HEAD + CHUNKS + begin + b'x' * servers.MIB)
        resp = await asyncio.wait_for(rigs.read_response(reader), 5)
        assert resp.status == 431
        writer.close()

    async def test_long_trailers_inside_the_limits_are_served(self, serve):
        server = await serve(body_bytes=8 * servers.MIB)
        server.answer.set()
        reader, writer = await server.connect()
        writer.write(HEAD + CHUNKS + b'0\r\n')
        for part in (b'a: ' + b'x' * 8_000, b'y' * 8_000, b'\r\n\r', b'\n'):
            await asyncio.sleep(0.05)
            writer.write(part)
        resp = await asyncio.wait_for(rigs.read_response(reader), 5)
        assert resp.status == 200
        writer.close()

    async def test_unparsed_bytes_are_counted(self, serve):
        server = await serve()
        conn = server_connection.ServerConnection(server.listener)
        conn.connection_made(servers.Transport())
        body = b'1000\r\n%b\r\n' % bytes(0x1000) + b'0\r\na: ' + b'x' * 15_000
        for _ in servers.receive(conn, HEAD + body):
            pass
        assert not conn._reader.ended
        assert server.account.held_bytes >= 0x1000 + 15_000
        conn.connection_lost(None)
        assert server.account.held_bytes == 0
