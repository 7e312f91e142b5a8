"""Writes a response to a caller while its body arrives."""

import asyncio
from collections import abc
import socket
import struct

from ragwortchute.gateway.http import http_messages

_CHUNK_END = b'\r\n'
_LAST_CHUNK = b'0\r\n\r\n'
# Closing a socket with this option sends a reset.
_LINGER_RESET = struct.pack('ii', 1, 0)


class ResponseWriter:
    """Writes one response whose body is still arriving.

    Args:
        transport: Transport of the connection of the caller.
        resp: The response.
        accepts_chunks: Whether the caller understands chunks. If not, a body
            without a known length ends with the connection.
        paused: Whether the transport has paused writing.
        on_done: Called once everything has been written, or the body has been
            broken off.

    Attributes:
        broken: Whether the body was broken off.
        progress_s: Loop time at which the transport last took or sent a part.
        response: The response.
    """

    __slots__ = (
        '_chunked',
        '_ends_with_connection',
        '_finished',
        '_loop',
        '_on_done',
        '_paused',
        '_transport',
        'broken',
        'progress_s',
        'response',
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        resp: http_messages.Response,
        *,
        accepts_chunks: bool,
        paused: bool,
        on_done: abc.Callable[[], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._on_done = on_done
        unframed = resp.rest.length is None
        self._chunked = unframed and accepts_chunks
        self._ends_with_connection = unframed and not accepts_chunks
        if self._ends_with_connection:
            resp.close = True
        self._paused = paused
        self._finished = False
        self.broken = False
        self.progress_s = self._loop.time()
        self.response = resp

    @property
    def stalled_since_s(self) -> float:
        """Loop time since which the caller takes nothing, else infinity."""
        return self.progress_s if self._paused else float('inf')

    def start(self) -> None:
        """Writes the head and what there is of the body."""
        rest = self.response.rest
        self._transport.write(
            http_messages.encode_response_head(
                self.response, rest.length, chunked=self._chunked
            )
        )
        self._transport.set_write_buffer_limits(high=rest.share.half_bytes)
        rest.attach(self)
        if not self._paused:
            rest.resume()

    def write(self, part: bytes) -> None:
        """Writes a part of the body."""
        self.progress_s = self._loop.time()
        if self._chunked:
            part = b'%x\r\n%b%b' % (len(part), part, _CHUNK_END)
        self._transport.write(part)

    def finish(self) -> None:
        """Ends the response once the caller has taken most of it."""
        if self._chunked:
            self._transport.write(_LAST_CHUNK)
        self._finished = True
        if not self._paused:
            self._end()

    def break_off(self) -> None:
        """Ends the response so that the caller sees that it is incomplete."""
        self.broken = True
        if self._ends_with_connection:
            _reset(self._transport)
        self._end()

    def pause(self) -> None:
        """Stops reading from the target: the caller reads too slowly."""
        self._paused = True
        self.progress_s = self._loop.time()
        self.response.rest.pause()

    def resume(self) -> None:
        """Goes on: the caller has read."""
        self._paused = False
        self.progress_s = self._loop.time()
        if self._finished:
            self._end()
            return
        rest = self.response.rest
        self._transport.set_write_buffer_limits(high=rest.share.half_bytes)
        rest.resume()

    def leave(self) -> None:
        """Notes that the caller has closed its connection."""
        self.response.rest.leave()

    def _end(self) -> None:
        self.response.rest.share.end()
        if not self._transport.is_closing():
            self._transport.set_write_buffer_limits()
        self._on_done()


def _reset(transport: asyncio.Transport) -> None:
    """Closes a connection with a reset."""
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    transport.abort()
