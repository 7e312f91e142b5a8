"""Tests that many callers with small chunks leave time for everything else."""

import asyncio
import socket

from ragwortchute.gateway.http import server_connection
from ragwortchute.gateway.resources import caller_turns
from tests.test_resources import crowds
from tests.test_resources import servers

CHUNKS = b'1\r\nx\r\n' * 680
# Connections of callers that may be read before everything else runs.
MAX_READ_AT_ONCE = 8
CONNECTIONS = 60


class TestTurns:
    """Few connections may be read before timers and other hosts get a turn.

    All that had data were read in one turn of the loop, so that 2,000 callers
    held up everything for 2 s.
    """

    async def read(self, monkeypatch):
        """Lets many connections have data for two reads at the same time.

        Returns:
            For each turn of the loop, the connections that are read, and None
            for a socket that is no connection of a caller.
        """
        loop = asyncio.get_running_loop()
        server = servers.Server(accepted_connections=60, connections=120)
        server.listener.turns = loop.turns
        await server.listener.start('127.0.0.1', 0)
        address = '127.0.0.1', server.listener.port
        socks = [socket.create_connection(address) for _ in range(CONNECTIONS)]
        await asyncio.sleep(0.5)
        turns = []
        update = server_connection.ServerConnection.buffer_updated

        def note(conn, nbytes):
            turns[-1].append(conn)
            update(conn, nbytes)

        def begin_turn():
            turns.append([])
            loop.call_soon(begin_turn)

        monkeypatch.setattr(
            server_connection.ServerConnection, 'buffer_updated', note
        )
        near, far = socket.socketpair()
        far.send(b'x')
        loop.add_reader(near, lambda: turns[-1].append(None))
        for sock in socks:
            sock.send(crowds.in_chunks(1) + CHUNKS * 2)
        begin_turn()
        await asyncio.sleep(0.5)
        loop.remove_reader(near)
        await server.listener.stop()
        for sock in [*socks, near, far]:
            sock.close()
        return [turn for turn in turns if len(turn) > 1]

    def test_turns(self, monkeypatch):
        with asyncio.Runner(loop_factory=caller_turns.Loop) as runner:
            turns = runner.run(self.read(monkeypatch))
            assert runner.get_loop().turns.callers == 0
        assert all(turn[0] is None for turn in turns)
        assert max(len(turn) - 1 for turn in turns) == MAX_READ_AT_ONCE
        conns = [conn for turn in turns for conn in turn[1:]]
        assert len(set(conns[:CONNECTIONS])) == CONNECTIONS
        assert set(conns[CONNECTIONS : 2 * CONNECTIONS]) == set(conns)
