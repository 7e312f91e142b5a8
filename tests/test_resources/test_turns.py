"""Tests of the work that a connection may cause before others are served."""

import asyncio

from ragwortchute.gateway.http import request_reader
from ragwortchute.gateway.http import server_connection
from tests.test_resources import servers


class TestTurns:
    """What a single read brings must take a few milliseconds at most.

    Tiny requests behind a body took 24 to 31 ms, alone 9 ms, and chunks of one
    byte behind a long one 8 ms. The work is counted here, not the time.
    """

    # Requests, and headers or chunks, that one read may bring: with more, other
    # connections wait for more than a few milliseconds.
    MAX_REQUESTS = 350
    MAX_PARTS = 4_000
    TINY = b'GET / HTTP/1.1\r\nHost:x\r\n\r\n'
    UPGRADE = TINY[:-2] + b'Connection:upgrade\r\nUpgrade:a\r\n\r\n'
    CHUNKED = b'POST / HTTP/1.1\r\nHost:x\r\nTransfer-Encoding:chunked\r\n\r\n'
    CHUNKS = b'4000\r\n' + bytes(0x4000) + b'\r\n' + b'1\r\nx\r\n' * 11_000
    BODY = b'POST / HTTP/1.1\r\nHost:x\r\nContent-Length:%d\r\n\r\n%b'

    async def check(self, serve, monkeypatch, data):
        work = {'on_message_begin': 0, 'on_header': 0, 'on_body': 0}

        def count(name):
            original = getattr(request_reader.RequestReader, name)

            def counted(reader, *args):
                work[name] += 1
                return original(reader, *args)

            monkeypatch.setattr(request_reader.RequestReader, name, counted)

        for name in work:
            count(name)
        server = await serve(
            request_bytes=64 * servers.MIB, body_bytes=64 * servers.MIB
        )
        conn = server_connection.ServerConnection(server.listener)
        conn.connection_made(servers.Transport())
        most_requests = most_parts = 0
        for _ in servers.receive(conn, data):
            most_requests = max(most_requests, work['on_message_begin'])
            most_parts = max(most_parts, work['on_header'] + work['on_body'])
            work.update(dict.fromkeys(work, 0))
        assert 0 < most_requests <= self.MAX_REQUESTS
        assert most_parts <= self.MAX_PARTS
        conn.connection_lost(None)

    async def test_tiny_requests(self, serve, monkeypatch):
        await self.check(serve, monkeypatch, self.TINY * 1_000)

    async def test_tiny_requests_that_ask_to_upgrade(self, serve, monkeypatch):
        await self.check(serve, monkeypatch, self.UPGRADE * 1_000)

    async def test_short_headers(self, serve, monkeypatch):
        head = self.TINY[:-2] + b'a:\r\n' * 2_000 + b'\r\n'
        await self.check(serve, monkeypatch, head * 4)

    async def test_chunks_of_one_byte(self, serve, monkeypatch):
        data = self.CHUNKED + b'1\r\nx\r\n' * 50_000
        await self.check(serve, monkeypatch, data)

    async def test_chunks_of_one_byte_behind_long_ones(
        self, serve, monkeypatch
    ):
        data = self.CHUNKED + self.CHUNKS * 4
        await self.check(serve, monkeypatch, data)

    async def test_tiny_requests_behind_a_body(self, serve, monkeypatch):
        body = self.BODY % (20_000, bytes(20_000))
        await self.check(serve, monkeypatch, body + self.TINY * 2_000)

    async def test_tiny_requests_behind_a_chunked_body(
        self, serve, monkeypatch
    ):
        chunks = b'4000\r\n' + bytes(0x4000) + b'\r\n0\r\n\r\n'
        data = self.CHUNKED + chunks + self.TINY * 2_000
        await self.check(serve, monkeypatch, data)

    async def test_few_requests_start_before_others_get_their_turn(self, serve):
        server = await serve(
            request_bytes=64 * servers.MIB,
            connections=4_000,
            accepted_connections=2_000,
        )
        conn = server_connection.ServerConnection(server.listener)
        conn.connection_made(servers.Transport())
        for _ in servers.receive(conn, self.TINY * 60):
            pass
        started = [len(server.handled)]
        while started[-1] < 60:
            await asyncio.sleep(0)
            started.append(len(server.handled))
            assert len(started) < 200
        steps = [b - a for a, b in zip(started, started[1:], strict=False)]
        assert max(steps) <= 8
        server.answer.set()
        conn.connection_lost(None)
