"""Tests of the choice of connections of other hosts to be closed."""

import asyncio

import pytest

from ragwortchute.gateway import accounted_connection
from ragwortchute.gateway import http_server
from tests.test_gateway import rig as rigs

GET = b'GET / HTTP/1.1\r\nHost: example\r\n\r\n'
ACCEPTED = 4


@pytest.fixture
async def peers(serve):
    """Listeners for callers and for other hosts that share an account."""
    server = await serve(accepted_connections=ACCEPTED, connections=8)
    server.answer.set()
    listener = http_server.Listener(
        server.handle,
        lambda: server.configured,
        server.log,
        'peers',
        account=server.account,
    )
    listener.essential = True
    await listener.start('127.0.0.1', 0)
    listener.callers = server
    yield listener
    await listener.stop()


async def connect(port, *, ask=True):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    if ask:
        writer.write(GET)
        assert (await rigs.read_response(reader)).status == 200
    return reader, writer


async def is_open(conn):
    reader, writer = conn
    writer.write(GET)
    try:
        return (await rigs.read_response(reader)).status == 200
    except (OSError, EOFError):
        return False


class TestChoice:
    """A connection that another host may be sending on must stay open.

    It was closed when it had been idle for the longest time, even if a relay
    was on its way. That relay ended with a 502, as it may have run.
    """

    async def crowd(self, port, count, **options):
        for _ in range(count):
            # The ones that were accepted first are closed first.
            await asyncio.sleep(0.002)
            yield await connect(port, **options)

    async def test_idle_one_outlives_callers(self, peers):
        host = await connect(peers.port)
        port = peers.callers.listener.port
        callers = [conn async for conn in self.crowd(port, 3 * ACCEPTED)]
        assert await is_open(host)
        assert await is_open(callers[-1])
        assert not await is_open(callers[0])

    async def test_unused_for_long_it_is_closed(self, peers, monkeypatch):
        monkeypatch.setattr(accounted_connection, 'HOST_REUSE_S', 0.0)
        host = await connect(peers.port)
        port = peers.callers.listener.port
        callers = [conn async for conn in self.crowd(port, ACCEPTED)]
        assert not await is_open(host)
        assert await is_open(callers[0])

    async def test_without_a_request_it_is_closed(self, peers):
        host = await connect(peers.port, ask=False)
        port = peers.callers.listener.port
        callers = [conn async for conn in self.crowd(port, ACCEPTED)]
        assert not await is_open(host)
        assert await is_open(callers[0])

    async def test_they_leave_room_for_callers(self, peers):
        hosts = [conn async for conn in self.crowd(peers.port, ACCEPTED)]
        caller = await connect(peers.callers.listener.port)
        assert await is_open(caller)
        assert not await is_open(hosts[0])
