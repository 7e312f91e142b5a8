"""Tests of one connection to a target."""

import asyncio

import pytest

from ragwortchute import errors
from ragwortchute.gateway import http_client
from ragwortchute.gateway import pools
from tests.test_gateway import rig as rigs

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


class Peer:
    """Answers every request with given bytes."""

    def __init__(self):
        self.answers = []
        self.requests = 0
        self.connections = 0
        self.close_after = False
        self.server = None

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                await reader.readuntil(b'\r\n\r\n')
                self.requests += 1
                answer = self.answers.pop(0) if self.answers else ANSWER
                writer.write(answer)
                await writer.drain()
                if self.close_after:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        return self.server.sockets[0].getsockname()[1]


@pytest.fixture
async def peer():
    peer = Peer()
    peer.port = await peer.start()
    yield peer
    peer.server.close()


async def send(peer, accept=None):
    conn = await http_client.connect('127.0.0.1', peer.port)
    fut = conn.send(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n', accept)
    return conn, await asyncio.wait_for(fut, 2)


class TestAnswers:
    """Broken answers must not look whole, nor reach the next request."""

    async def test_whole_answer(self, peer):
        conn, reply = await send(peer)
        assert (reply.status, reply.body, reply.reusable) == (200, b'ok', True)
        assert conn.usable

    async def test_interim_answer_is_skipped(self, peer):
        peer.answers = [b'HTTP/1.1 103 Early Hints\r\n\r\n' + ANSWER]
        _, reply = await send(peer)
        assert reply.status == 200

    @pytest.mark.parametrize(
        'answer',
        [
            b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok',
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab',
        ],
    )
    async def test_answer_that_ends_early(self, peer, answer):
        peer.answers = [answer]
        peer.close_after = True
        with pytest.raises(errors.TruncatedAnswer):
            await send(peer)

    async def test_bytes_that_are_no_answer(self, peer):
        peer.answers = [b'\x00\x01\x02 nothing\r\n\r\n']
        with pytest.raises(errors.TargetError):
            await send(peer)

    async def test_answer_without_length_ends_with_the_connection(self, peer):
        peer.answers = [b'HTTP/1.1 200 OK\r\n\r\nall of it']
        peer.close_after = True
        _, reply = await send(peer)
        assert (reply.body, reply.reusable) == (b'all of it', False)

    async def test_extra_bytes_end_the_connection(self, peer):
        peer.answers = [ANSWER + b'junk that follows']
        conn, reply = await send(peer)
        assert reply.body == b'ok'
        assert not reply.reusable
        assert not conn.usable

    async def test_foreign_answer_is_skipped(self, peer):
        foreign = b'HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\n\r\nold'
        mine = b'HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 3\r\n\r\nnew'
        peer.answers = [foreign + mine]
        _, reply = await send(peer, lambda reply: reply.get(b'id') == b'2')
        assert reply.body == b'new'

    async def test_close_is_followed(self, peer):
        peer.answers = [
            b'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
        ]
        conn, reply = await send(peer)
        assert not reply.reusable
        assert not conn.usable


class TestPool:
    """A kept connection must not be used beyond its time."""

    async def test_connection_is_used_again(self, peer):
        pool = pools.Pool('127.0.0.1', peer.port)
        for _ in range(3):
            await http_client.exchange(
                pool, b'GET / HTTP/1.1\r\nhost: x\r\n\r\n', 1.0
            )
        assert (peer.connections, peer.requests) == (1, 3)

    async def test_closed_connection_is_not_kept(self, peer):
        pool = pools.Pool('127.0.0.1', peer.port)
        peer.close_after = True
        for _ in range(2):
            await http_client.exchange(
                pool, b'GET / HTTP/1.1\r\nhost: x\r\n\r\n', 1.0
            )
            await asyncio.sleep(0.02)
        assert peer.connections == 2

    async def test_announced_timeout_is_kept(self, peer):
        peer.answers = [
            b'HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\n'
            b'content-length: 0\r\n\r\n'
        ]
        pool = pools.Pool('127.0.0.1', peer.port)
        request = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
        await http_client.exchange(pool, request, 1.0)
        await asyncio.sleep(0.6)
        await http_client.exchange(pool, request, 1.0)
        assert peer.connections == 2

    async def test_silent_peer_is_given_up(self, peer):
        peer.answers = [b'']
        pool = pools.Pool('127.0.0.1', peer.port)
        with pytest.raises(errors.AttemptTimeout):
            await http_client.exchange(
                pool, b'GET / HTTP/1.1\r\nhost: x\r\n\r\n', 0.1
            )
        assert not pool.has_idle

    async def test_refused_connection_was_not_sent(self):
        pool = pools.Pool('127.0.0.1', 1)
        with pytest.raises(errors.ConnectFailed):
            await http_client.exchange(pool, b'x', 0.5)


class TestHostPools:
    """Connections to hosts that are gone must not pile up."""

    async def test_hosts_that_are_gone_are_dropped(self, peer):
        all_pools = pools.HostPools()
        gone, kept = (
            rigs.host(name, ip='127.0.0.1', peer_port=peer.port)
            for name in ('gone', 'kept')
        )
        for host in (gone, kept):
            await http_client.exchange(
                all_pools.get(host), b'GET / HTTP/1.1\r\nhost: x\r\n\r\n', 1.0
            )
        before = all_pools.get(kept)
        all_pools.keep_only({'kept'})
        assert all_pools.get(kept) is before
        assert before.has_idle
        assert not all_pools.get(gone).has_idle
        all_pools.close()


class TestKeepAlive:
    """A misread timeout would let requests cross the peer's close."""

    @pytest.mark.parametrize(
        ('value', 'expected'),
        [
            (b'timeout=5', 5.0),
            (b'max=3, timeout=7', 7.0),
            (b'timeout=x', 0.0),
            (b'', 0.0),
        ],
    )
    def test_timeout(self, value, expected):
        assert http_client.parse_keep_alive(value) == expected
