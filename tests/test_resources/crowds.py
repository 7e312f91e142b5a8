"""Callers that send without an end, or read slowly, on many connections."""

import asyncio
from collections import abc
import contextlib
import socket

from tests.test_resources import processes

HEAD = b'POST /write/%d HTTP/1.1\r\nHost: example\r\n'
# Sends and reads of one caller are this far apart when they are slow.
PAUSE_S = 0.1


class Crowd:
    """Callers that stay connected until `close`.

    Args:
        host: The host that they connect to.

    Attributes:
        refused: Number of connections that could not be opened.
    """

    def __init__(self, host: processes.Host) -> None:
        self._host = host
        self._loop = asyncio.get_running_loop()
        self._socks: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.refused = 0

    def add(
        self, send: abc.Callable[[socket.socket], abc.Awaitable[None]]
    ) -> None:
        """Adds a caller.

        Args:
            send: What it does once it is connected.
        """
        self._tasks.append(self._loop.create_task(self._run(send)))

    async def _run(
        self, send: abc.Callable[[socket.socket], abc.Awaitable[None]]
    ) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        self._socks.append(sock)
        try:
            await self._loop.sock_connect(
                sock, (self._host.ip, self._host.port)
            )
        except OSError:
            self.refused += 1
            return
        with contextlib.suppress(OSError):
            await send(sock)

    async def settle(self, seconds: float) -> None:
        """Lets the host work on what the callers send.

        They may have sent it long before the host has read it.
        """
        await asyncio.sleep(seconds)

    async def close(self) -> None:
        """Closes all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._socks:
            sock.close()


async def send_all(sock: socket.socket, *parts: bytes | memoryview) -> None:
    """Sends parts and leaves the connection open."""
    for part in parts:
        await asyncio.get_running_loop().sock_sendall(sock, part)


async def send_pieces(
    sock: socket.socket, head: bytes, body: memoryview, piece_bytes: int
) -> None:
    """Sends a head, and a body in pieces with pauses between them."""
    await send_all(sock, head)
    for start in range(0, len(body), piece_bytes):
        await send_all(sock, body[start : start + piece_bytes])
        await asyncio.sleep(0)


async def read_slowly(
    sock: socket.socket, request: bytes, read_bytes: int = 512
) -> None:
    """Sends a request and reads a little of its answer now and then."""
    await send_all(sock, request)
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(PAUSE_S)
        if not await loop.sock_recv(sock, read_bytes):
            return


def with_length(number: int, length: int) -> bytes:
    """Returns the head of a request whose body has a length."""
    return HEAD % number + b'Content-Length: %d\r\n\r\n' % length


def in_chunks(number: int) -> bytes:
    """Returns the head of a request whose body comes in chunks."""
    return HEAD % number + b'Transfer-Encoding: chunked\r\n\r\n'
