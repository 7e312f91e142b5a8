"""Listener with a stand-in handler, for tests of the HTTP server."""

import asyncio

from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import http_server
from tests.test_gateway import rig as rigs

GET = b'GET /%d HTTP/1.1\r\nHost: example\r\n\r\n'
UPGRADE = b'Host: example\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n'


class Server:
    """Listener whose handler responds with the path and body of requests."""

    def __init__(self, limits):
        self.requests = []
        self.delays = {}
        self.listener = http_server.Listener(
            self.handle, lambda: limits, rigs.MemoryLog(), 'test'
        )

    async def handle(self, req):
        self.requests.append(req)
        await asyncio.sleep(self.delays.get(req.path, 0))
        return http_messages.Response(200, (), req.path.encode() + req.body)

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.listener.port)
