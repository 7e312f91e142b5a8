"""Tests of the stand-in deployment."""

import asyncio
import random

from standins import deployment


class TestFreePort:
    """Two listeners with one port leave a host that never starts."""

    def test_no_port_is_given_twice(self, monkeypatch):
        # A new source with the seed of the first one draws the same numbers.
        monkeypatch.setattr(deployment, '_PORTS', random.Random(3))
        first = {deployment.free_port() for _ in range(50)}
        monkeypatch.setattr(deployment, '_PORTS', random.Random(3))
        second = {deployment.free_port() for _ in range(50)}
        assert len(first) == len(second) == 50
        assert not first & second

    async def test_reserved_port_can_be_listened_on(self):
        port = deployment.free_port()
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(), '127.0.0.1', port
        )
        server.close()
        await server.wait_closed()
