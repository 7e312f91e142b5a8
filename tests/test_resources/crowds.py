"""Callers that send without an end, or read slowly, on many connections."""

import asyncio
from collections import abc
import contextlib
import socket

from tests.test_resources import processes

HEAD = b'POST /write/%d HTTP/1.1\r\nHost: example\r\n'
# Sends and reads of one caller are this far apart when they are slow.
PAUSE_S = 0.1

Send = abc.Callable[[socket.socket], abc.Awaitable[None]]


class Crowd:
    """Callers that stay connected until `close`.

    Args:
        host: The host that they connect to.
        port: Port that they connect to, by default that for callers.

    Attributes:
        refused: Number of connections that could not be opened.
    """

    def __init__(self, host: processes.Host, port: int = 0) -> None:
        self._address = host.ip, port or host.port
        self._loop = asyncio.get_running_loop()
        self._socks: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.refused = 0

    def add(self, send: Send, *, persistent: bool = False) -> None:
        """Adds a caller.

        Args:
            send: What it does once it is connected.
            persistent: Whether it connects again, after a pause, when it could
                not connect or its connection has ended.
        """
        self._tasks.append(
            self._loop.create_task(
                self._repeat(send) if persistent else self._run(send)
            )
        )

    async def _repeat(self, send: Send) -> None:
        while True:
            sock = await self._run(send)
            self._socks.remove(sock)
            sock.close()
            await asyncio.sleep(PAUSE_S)

    async def _run(self, send: Send) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        self._socks.append(sock)
        try:
            await self._loop.sock_connect(sock, self._address)
        except OSError:
            self.refused += 1
            return sock
        with contextlib.suppress(OSError):
            await send(sock)
        return sock

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


async def trickle(sock: socket.socket, head: bytes, piece: bytes) -> None:
    """Sends a head and small pieces behind it until the host closes."""
    await send_all(sock, head)
    loop = asyncio.get_running_loop()
    while True:
        await send_all(sock, piece)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PAUSE_S):
                await loop.sock_recv(sock, 512)
                return


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
