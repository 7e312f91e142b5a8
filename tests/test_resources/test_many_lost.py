"""Tests of the work that many lost connections cause in a planned stop."""

import asyncio

from ragwortchute.gateway.http import server_connection
from tests.test_resources import servers

CONNECTIONS = 300


class TestWaitFinished:
    """Each lost connection must not take a look at all others.

    2,743 that end at once would take seconds in which no response is delivered.
    """

    async def test_connections_that_are_lost_at_once(self, serve, monkeypatch):
        server = await serve(accepted_connections=400, connections=800)
        conns = []
        for _ in range(CONNECTIONS):
            conn = server_connection.ServerConnection(server.listener)
            conn.connection_made(servers.Transport())
            conns.append(conn)
        looks = 0

        def unfinished(conn):
            nonlocal looks
            looks += 1
            return conn is conns[-1]

        monkeypatch.setattr(
            server_connection.ServerConnection,
            'unfinished',
            property(unfinished),
        )
        waiting = asyncio.create_task(server.listener.wait_finished(5.0))
        await asyncio.sleep(0)
        for conn in conns[:-1]:
            conn.connection_lost(None)
        await asyncio.sleep(0.01)
        assert not waiting.done()
        assert looks <= 4 * CONNECTIONS
        conns[-1].connection_lost(None)
        assert await waiting
