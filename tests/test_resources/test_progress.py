"""Tests of what counts as progress of a caller."""

import asyncio

from tests.test_gateway import rig as rigs
from tests.test_resources import servers

BODY_BYTES = 4 * servers.MIB - 1
HEAD = b'POST /%b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
UPDATE_S = 0.1


async def update(server):
    """Updates the account periodically, as a host does."""
    while True:
        await asyncio.sleep(UPDATE_S)
        server.account.update(BODY_BYTES)


class TestBodies:
    """A byte now and then must not keep memory that others wait for.

    With 350 such callers, 28 of 60 ordinary requests were refused.
    """

    async def test_trickled_body_gives_way(self, serve):
        server = await serve(accepted_connections=4, connections=8)
        server.answer.set()
        updating = asyncio.create_task(update(server))
        # Both exceed the memory, as one at a time may.
        callers = [await server.connect() for _ in range(3)]
        for _, writer in callers[:2]:
            writer.write(HEAD % (b'trickled', BODY_BYTES))
        for _ in range(10):
            for _, writer in callers[:2]:
                writer.write(b'x')
            await asyncio.sleep(0.05)
        reader, writer = callers[2]
        writer.write(HEAD % (b'ordinary', BODY_BYTES) + bytes(BODY_BYTES))
        response = asyncio.create_task(rigs.read_response(reader))
        async with asyncio.timeout(5):
            while not response.done():
                for _, trickling in callers[:2]:
                    trickling.write(b'x')
                await asyncio.sleep(0.05)
        assert response.result().status == 200
        updating.cancel()
        for _, writer in callers:
            writer.close()

    async def test_body_that_has_waited_is_not_refused_at_once(self, serve):
        # It could not be read while it waited.
        server = await serve(accepted_connections=4, connections=8)
        server.account.bodies.limit_bytes = 0
        holder = await server.connect()
        holder[1].write(HEAD % (b'holder', BODY_BYTES) + b'x')
        await asyncio.sleep(0.1)
        _, writer = await server.connect()
        waiting = HEAD % (b'waiting', BODY_BYTES)
        writer.write(waiting)
        await asyncio.sleep(0.6)
        (conn,) = [
            conn for conn in server.listener.connections if conn._reader.waiting
        ]
        holder[1].transport.abort()
        while conn._reader.waiting:  # noqa: ASYNC110
            await asyncio.sleep(0)
        now_s = asyncio.get_running_loop().time()
        assert conn.has_body()
        assert now_s - conn.progress_s < 0.1
        writer.close()
