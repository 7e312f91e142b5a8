"""Tests of the choice of connections of other hosts to be closed."""

import asyncio

import pytest

from ragwortchute.gateway.http import accounted_connection
from tests.test_gateway import rig as rigs

GET = b'GET / HTTP/1.1\r\nHost: example\r\n\r\n'
ACCEPTED = 4


async def ask(conn):
    reader, writer = conn
    writer.write(GET)
    return (await rigs.read_response(reader)).status == 200


class TestChoice:
    """A connection that another host may be sending on must stay open.

    It was closed when it had been idle for the longest time, even if a relay
    was on its way. That relay ended with a 502, as it may have run.
    """

    @pytest.mark.parametrize(
        ('reuse_s', 'fraction', 'spared'),
        [(8.0, 1.0, True), (0.0, 1.0, False), (8.0, 0.5, False)],
        ids=['idle', 'unused for long', 'too many'],
    )
    async def test_idle_one(
        self, serve, monkeypatch, reuse_s, fraction, spared
    ):
        monkeypatch.setattr(accounted_connection, 'HOST_REUSE_S', reuse_s)
        monkeypatch.setattr(accounted_connection, 'HOSTS_FRACTION', fraction)
        server = await serve(accepted_connections=ACCEPTED, connections=8)
        server.answer.set()
        # The connections of this listener are those of other hosts.
        server.listener.essential = True
        host = await server.connect()
        assert await ask(host)
        others = []
        for _ in range(ACCEPTED):
            # They have no request yet, so that they are not spared.
            await asyncio.sleep(0.01)
            others.append(await server.connect())
        await asyncio.sleep(0.05)
        try:
            assert await ask(host) == spared
        except (OSError, EOFError):
            assert not spared
        for _, writer in [host, *others]:
            writer.close()
