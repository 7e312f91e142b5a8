"""Tests that many callers with small chunks leave time for everything else.

Callers and bounds were fixed before the turns of callers were added.
"""

import asyncio
import socket

import pytest

from ragwortchute.gateway import server_connection
from ragwortchute.gateway.resources import caller_turns
from standins import platform_targets
from tests.test_resources import crowds
from tests.test_resources import processes
from tests.test_resources import servers

MACHINE = processes.Machine(memory_mb=96, max_descriptors=600)
CALLERS = 250
SETTLE_S = 3.0
CHUNKS = b'1\r\nx\r\n' * 680
# Connections of callers that may be read before everything else runs.
MAX_READ_AT_ONCE = 8
CONNECTIONS = 60
READS_EACH = 3


class TestProcess:
    """A host must live and serve others while many send small chunks."""

    async def test_chunks_without_an_end(self, site, gather):
        await site.start(MACHINE, platform_targets.TargetServer('t0'))
        crowd = gather(site.hosts[0])

        async def send(sock, number):
            await crowds.send_all(sock, crowds.in_chunks(number))
            while True:
                await crowds.send_all(sock, CHUNKS)

        for number in range(CALLERS):
            crowd.add(
                lambda sock, number=number: send(sock, number), persistent=True
            )
        await crowd.settle(SETTLE_S)
        await processes.call(site.hosts[0])
        site.hosts[0].check()


@pytest.fixture
def runner():
    with asyncio.Runner(loop_factory=caller_turns.Loop) as runner:
        yield runner


class TestTurns:
    """Few connections may be read before timers and other hosts get a turn.

    All that had data were read in one turn of the loop, so that 2,743 of them
    could hold up everything for 2.7 s.
    """

    async def read(self, monkeypatch):
        """Lets many connections have data for several reads at the same time.

        Returns:
            For each turn of the loop, the connections that are read, and None
            for a socket that is no connection of a caller.
        """
        loop = asyncio.get_running_loop()
        server = servers.Server(
            accepted_connections=CONNECTIONS,
            connections=2 * CONNECTIONS,
            request_bytes=64 * servers.MIB,
        )
        server.listener.turns = loop.turns
        await server.listener.start('127.0.0.1', 0)
        address = '127.0.0.1', server.listener.port
        socks = [socket.create_connection(address) for _ in range(CONNECTIONS)]
        while len(server.listener.connections) < CONNECTIONS:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
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
            sock.send(crowds.in_chunks(1) + CHUNKS * READS_EACH)
        begin_turn()
        reads = CONNECTIONS * READS_EACH
        async with asyncio.timeout(10):
            while sum(map(len, turns)) - len(turns) < reads:  # noqa: ASYNC110
                await asyncio.sleep(0)
        loop.remove_reader(near)
        await server.listener.stop()
        for sock in [*socks, near, far]:
            sock.close()
        return [turn for turn in turns if len(turn) > 1]

    def test_others_come_first(self, runner, monkeypatch):
        turns = runner.run(self.read(monkeypatch))
        assert all(turn[0] is None for turn in turns)
        assert max(len(turn) - 1 for turn in turns) == MAX_READ_AT_ONCE

    def test_connections_take_turns(self, runner, monkeypatch):
        turns = runner.run(self.read(monkeypatch))
        conns = [conn for turn in turns for conn in turn[1:]]
        for start in range(0, CONNECTIONS * READS_EACH, CONNECTIONS):
            round_ = conns[start : start + CONNECTIONS]
            assert len(set(round_)) == CONNECTIONS

    def test_closed_connection_leaves_its_descriptor(self, runner):
        async def run():
            loop = asyncio.get_running_loop()
            server = servers.Server()
            server.listener.turns = loop.turns
            await server.listener.start('127.0.0.1', 0)
            _, writer = await server.connect()
            await asyncio.sleep(0.05)
            assert loop.turns.callers == 1
            writer.transport.abort()
            await asyncio.sleep(0.05)
            assert loop.turns.callers == 0
            await server.listener.stop()

        runner.run(run())
