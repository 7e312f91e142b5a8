"""Listener with small limits in the process of a test."""

import asyncio

from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import http_server
from ragwortchute.gateway.resources import account as account_
from ragwortchute.gateway.resources import limits as limits_
from tests.test_gateway import rig as rigs

MIB = 1 << 20


def limits(**fields):
    """Returns small limits."""
    values = {
        'body_bytes': 4 * MIB,
        'short_body_bytes': 0,
        'request_bytes': MIB,
        'answer_bytes': MIB,
        'accepted_connections': 4,
        'connections': 8,
    }
    return limits_.Limits(**(values | fields))


class Server:
    """Listener with small limits whose handler waits until it is told.

    Attributes:
        answer: Set when the requests that wait get their responses.
        at_once: Responses that are given without a wait, by request target.
        handled: Targets of the requests that have been started.
    """

    def __init__(self, **fields):
        self.log = rigs.MemoryLog()
        self.account = account_.Account(limits(**fields), self.log)
        self.answer = asyncio.Event()
        self.at_once = {}
        self.handled = []
        self.configured = model.Limits(idle_timeout_s=1.0)
        self.listener = http_server.Listener(
            self.handle,
            lambda: self.configured,
            self.log,
            'test',
            account=self.account,
        )

    async def handle(self, req):
        self.handled.append(req.target)
        if req.target in self.at_once:
            return self.at_once[req.target]
        await self.answer.wait()
        return http_messages.Response(200, (), req.target.encode())

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.listener.port)

    async def wait_handled(self, count):
        """Waits until a number of requests has been started."""
        async with asyncio.timeout(5):
            while len(self.handled) < count:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    @property
    def connection(self):
        """The only connection."""
        (conn,) = self.listener.connections
        return conn


class Transport(asyncio.Transport):
    """Transport whose peer takes nothing.

    Attributes:
        written: What was written to it.
        reading: Whether reading is not paused.
        closed: Whether it was closed.
    """

    def __init__(self):
        super().__init__()
        self.written = bytearray()
        self.reading = True
        self.closed = False

    def write(self, data):
        self.written += data

    def write_eof(self):
        pass

    def abort(self):
        self.closed = True

    def close(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return len(self.written)

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


def receive(conn, data):
    """Lets a connection read data until it pauses.

    Args:
        conn: The connection.
        data: What its caller has sent.

    Yields:
        The number of bytes of each read, after it was parsed.
    """
    view = memoryview(data)
    while view and not conn._reading_paused:
        buf = conn.get_buffer(-1)
        size = min(len(buf), len(view))
        buf[:size] = view[:size]
        view = view[size:]
        conn.buffer_updated(size)
        yield size
