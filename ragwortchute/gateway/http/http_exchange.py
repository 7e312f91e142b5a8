"""Exchanges of one request and its whole response with the store or a host."""

import asyncio
import typing

from ragwortchute import errors
from ragwortchute import progress as progress_
from ragwortchute.gateway.http import http_client

# A response that is arriving at its timeout is given up if no part comes for
# the first of these times, and after the second in any case.
STALL_S = 0.3
MAX_EXTENSION_S = 4.0


class ConnectionSource(typing.Protocol):
    """Provides connections to one address, such as a pool."""

    async def acquire(self) -> http_client.ClientConnection:
        """Returns a connection without a pending request."""

    def release(self, conn: http_client.ClientConnection) -> None:
        """Returns a connection to the source."""


async def exchange(
    source: ConnectionSource,
    data: bytes,
    timeout_s: float,
    progress: progress_.Progress | None = None,
) -> http_client.Reply:
    """Sends one request and returns the complete response.

    Args:
        source: Source of the connection, which is released afterwards.
        data: Encoded head and body.
        timeout_s: Longest time in seconds to connect, send the request and
            receive the response. A response that is arriving then has up to
            `MAX_EXTENSION_S` more while no more than `STALL_S` pass without a
            part of it: another attempt would start from its beginning.
        progress: Updated while the response arrives.

    Raises:
        ConnectFailed: No connection could be opened; nothing was sent.
        AttemptTimeout: No complete response in time.
        TargetError: The connection was lost or the response is malformed.
    """
    progress = progress or progress_.Progress()
    end_s = asyncio.get_running_loop().time() + timeout_s
    try:
        async with asyncio.timeout_at(end_s):
            conn = await source.acquire()
    except TimeoutError as exc:
        raise errors.ConnectFailed(
            'connection timed out', step='connect'
        ) from exc
    try:
        fut = conn.send(data, on_part=progress.note_part)
        await _wait_arrived(fut, end_s, progress)
        return fut.result()
    finally:
        source.release(conn)


async def _wait_arrived(
    fut: asyncio.Future[http_client.Reply],
    end_s: float,
    progress: progress_.Progress,
) -> None:
    """Waits until a response is complete.

    Args:
        fut: Future of the response.
        end_s: Loop time at which it is due, unless it is arriving then.
        progress: Progress of the response.

    Raises:
        AttemptTimeout: It is not complete in time.
    """
    loop = asyncio.get_running_loop()
    max_end_s = end_s + MAX_EXTENSION_S
    while not fut.done():
        left_s = end_s - loop.time()
        if left_s > 0:
            await asyncio.wait((fut,), timeout=left_s)
            continue
        end_s = min(progress.last_s + STALL_S, max_end_s)
        if end_s <= loop.time():
            raise errors.AttemptTimeout('response timed out', step='answer')
