"""HTTP/1.1 client connection to a target, another host or the store.

A connection carries one request at a time and never resends it. Responses that
do not belong to the request are skipped, since a target may send a response
twice or late.
"""

import asyncio
import collections
from collections import abc
import socket
import typing

import httptools
import msgspec

from ragwortchute import errors
from ragwortchute import progress as progress_

MAX_BODY_BYTES = 16 << 20
# Bytes received for one request that belong to no body: heads, interim
# responses, trailers and the framing of chunks.
MAX_FRAMING_BYTES = 64 << 10
# Framing of a chunk that carries a single byte, rounded up.
FRAMING_BYTES_PER_BODY_BYTE = 8
# A body of one part up to this length is written together with its head.
MAX_JOINED_BYTES = 64 << 10
CONNECT_TIMEOUT_S = 1.0
# A response that is arriving at its timeout is given up if no part comes for
# the first of these times, and after the second in any case.
STALL_S = 0.3
MAX_EXTENSION_S = 4.0
# Detect within about 3 s a peer that is gone without having sent a reset.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Close a connection if data stays unacknowledged this long: the path is broken.
USER_TIMEOUT_MS = 3000

_BODYLESS_STATUSES = frozenset({204, 304})


class Reply(msgspec.Struct):
    """A complete HTTP response.

    Attributes:
        status: HTTP status code.
        headers: Names in lower case and values, in the order received.
        body: Body, decoded from chunks.
        reusable: Whether the connection may carry another request.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes = b''
    reusable: bool = True

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


# Returns whether a response belongs to the pending request.
Accept = abc.Callable[[Reply], bool]


class ClientConnection(asyncio.Protocol):
    """A connection opened by this host.

    Args:
        peer: `IP:port` of the peer, for error messages.
        on_lost: Called when the connection is closed.

    Attributes:
        idle_since_s: Loop time at which the last response was complete.
        keep_alive_s: Idle timeout in seconds that the peer announced; 0 if
            none.
    """

    __slots__ = (
        '_accept',
        '_accepted_reply',
        '_body',
        '_body_bytes',
        '_delimited',
        '_fut',
        '_has_body',
        '_headers',
        '_loop',
        '_on_lost',
        '_on_part',
        '_parser',
        '_peer',
        '_received_body_bytes',
        '_received_bytes',
        '_transport',
        '_unsent_parts',
        '_writing_paused',
        'idle_since_s',
        'keep_alive_s',
    )

    def __init__(
        self,
        peer: str,
        on_lost: abc.Callable[['ClientConnection'], None] | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._peer = peer
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._fut: asyncio.Future[Reply] | None = None
        self._accept: Accept | None = None
        self._on_part: abc.Callable[[], None] | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._received_bytes = 0
        self._received_body_bytes = 0
        self._delimited = True
        self._has_body = True
        self._accepted_reply: Reply | None = None
        # Parts of the body of the request that have not been written yet.
        self._unsent_parts: collections.deque[bytes] = collections.deque()
        self._writing_paused = False
        self.idle_since_s = 0.0
        self.keep_alive_s = 0.0

    @property
    def usable(self) -> bool:
        """Whether the connection is open and has no pending request."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and self._fut is None
        )

    def send(
        self,
        data: bytes,
        accept: Accept | None = None,
        on_part: abc.Callable[[], None] | None = None,
        body_parts: abc.Sequence[bytes] = (),
    ) -> asyncio.Future[Reply]:
        """Sends a request and returns a future of its response.

        The future fails with `ConnectionLost`, `TruncatedAnswer`,
        `AnswerTooLarge` or `TargetError`. Cancelling it does not cancel the
        request; `abort` does.

        Args:
            data: Encoded head, and the body unless it is given in parts.
            accept: Returns whether a response belongs to the request; by
                default, every response does.
            on_part: Called for each part of a body.
            body_parts: Parts of the body. They are written as the peer reads
                them, so that a long body is not copied as a whole.
        """
        self._fut = self._loop.create_future()
        self._accept = accept
        self._on_part = on_part
        self._parser = httptools.HttpResponseParser(self)
        self._delimited = True
        # Only the head of the response to a HEAD request is sent.
        self._has_body = not data.startswith(b'HEAD ')
        self._received_bytes = 0
        self._received_body_bytes = 0
        self._accepted_reply = None
        if len(body_parts) == 1 and len(body_parts[0]) <= MAX_JOINED_BYTES:
            data += body_parts[0]
            body_parts = ()
        self._unsent_parts.extend(body_parts)
        self._transport.write(data)
        self._write_parts()
        return self._fut

    def abort(self) -> None:
        """Closes the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        self._transport = transport
        self.idle_since_s = self._loop.time()
        sock = transport.get_extra_info('socket')
        if sock is not None:
            set_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """See base class."""
        if self._fut is None:
            # Unsolicited data: no request is pending.
            self._transport.abort()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(errors.TargetError, 'response switches protocols')
        except httptools.HttpParserError as exc:
            self._fail(errors.TargetError, f'malformed response: {exc}')
        reply = self._accepted_reply
        if reply is not None:
            self._finish(reply)
        elif self._fut is not None:
            self._check_framing()

    def eof_received(self) -> bool:
        """See base class."""
        if self._fut is not None and not self._delimited:
            status = self._parser.get_status_code()
            reply = Reply(status, self._headers, b''.join(self._body), False)
            if self._accept is None or self._accept(reply):
                self._finish(reply)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """See base class."""
        if self._headers and self._fut is not None:
            self._fail(errors.TruncatedAnswer, 'response is truncated')
        else:
            self._fail(errors.ConnectionLost, 'connection lost')
        self._transport = None
        if self._on_lost is not None:
            self._on_lost(self)

    def pause_writing(self) -> None:
        """See base class."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """See base class."""
        self._writing_paused = False
        self._write_parts()

    def _write_parts(self) -> None:
        """Writes parts of the body until the peer reads no further."""
        while self._unsent_parts and not self._writing_paused:
            self._transport.write(self._unsent_parts.popleft())

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a response."""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._delimited = True
        if self._accepted_reply is not None:
            # Unexpected data after the response: do not reuse the connection.
            self._accepted_reply.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determines whether the body is delimited or ends at EOF."""
        status = self._parser.get_status_code()
        if status < 200 or status in _BODYLESS_STATUSES:
            return
        if not self._has_body:
            self._accept_reply(Reply(status, self._headers, b'', False))
            return
        self._delimited = any(
            name in (b'content-length', b'transfer-encoding')
            for name, _ in self._headers
        )

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._body_bytes += len(body)
        self._received_body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._fail(
                errors.AnswerTooLarge,
                f'response exceeds {MAX_BODY_BYTES} bytes',
            )
            return
        self._body.append(body)
        if self._on_part is not None:
            self._on_part()

    def on_message_complete(self) -> None:
        """Stores the response if it belongs to the request."""
        status = self._parser.get_status_code()
        if status >= 200:
            self._accept_reply(
                Reply(
                    status,
                    self._headers,
                    b''.join(self._body),
                    self._parser.should_keep_alive(),
                )
            )

    def _accept_reply(self, reply: Reply) -> None:
        if self._accepted_reply is not None or self._fut is None:
            return
        if self._accept is None or self._accept(reply):
            self._accepted_reply = reply

    def _check_framing(self) -> None:
        """Closes the connection of a peer that sends framing without end.

        The parser keeps incomplete headers and trailers in memory.
        """
        limit = (
            MAX_FRAMING_BYTES
            + self._received_body_bytes * FRAMING_BYTES_PER_BODY_BYTE
        )
        if self._received_bytes - self._received_body_bytes > limit:
            self._fail(
                errors.AnswerTooLarge,
                f'response has more than {MAX_FRAMING_BYTES} bytes of framing',
            )

    def _finish(self, reply: Reply) -> None:
        fut, self._fut = self._fut, None
        self._on_part = None
        self._accepted_reply = None
        self._headers = []
        self._body = []
        self.idle_since_s = self._loop.time()
        keep_alive = reply.get(b'keep-alive')
        if keep_alive is not None:
            self.keep_alive_s = parse_keep_alive(keep_alive)
        transport = self._transport
        is_sent = not self._unsent_parts
        self._unsent_parts.clear()
        if transport is None:
            reply.reusable = False
        elif (
            not reply.reusable
            or not is_sent
            or transport.get_write_buffer_size()
        ):
            reply.reusable = False
            transport.abort()
        if fut is not None and not fut.done():
            fut.set_result(reply)

    def _fail(self, kind: type[errors.TargetError], detail: str) -> None:
        if self._accepted_reply is not None:
            self._accepted_reply.reusable = False
            return
        fut, self._fut = self._fut, None
        self._on_part = None
        self._headers = []
        self._unsent_parts.clear()
        if self._transport is not None:
            self._transport.abort()
        if fut is not None and not fut.done():
            fut.set_exception(kind(detail, step='answer', peer=self._peer))
            # Mark the exception as retrieved: nobody awaits the future of an
            # abandoned request.
            fut.exception()


def parse_keep_alive(value: bytes) -> float:
    """Returns the timeout of a `Keep-Alive` header in seconds, or 0."""
    for item in value.split(b','):
        name, _, text = item.partition(b'=')
        if name.strip().lower() == b'timeout' and text.strip().isdigit():
            return float(text)
    return 0.0


def set_keepalive(sock: socket.socket) -> None:
    """Makes the kernel close the connection if the peer is unresponsive."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


async def connect(
    ip: str,
    port: int,
    *,
    timeout_s: float = CONNECT_TIMEOUT_S,
    on_lost: abc.Callable[[ClientConnection], None] | None = None,
) -> ClientConnection:
    """Opens a connection.

    Raises:
        ConnectFailed: The connection could not be opened within `timeout_s`.
    """
    loop = asyncio.get_running_loop()
    peer = f'{ip}:{port}'
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(
                lambda: ClientConnection(peer, on_lost), ip, port
            )
    except (OSError, TimeoutError) as exc:
        raise errors.ConnectFailed(
            str(exc) or 'connection timed out', step='connect', peer=peer
        ) from exc
    return conn


class ConnectionSource(typing.Protocol):
    """Provides connections to one address, such as a pool."""

    async def acquire(self) -> ClientConnection:
        """Returns a connection without a pending request."""

    def release(self, conn: ClientConnection) -> None:
        """Returns a connection to the source."""


async def exchange(
    source: ConnectionSource,
    data: bytes,
    timeout_s: float,
    progress: progress_.Progress | None = None,
) -> Reply:
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
    fut: asyncio.Future[Reply], end_s: float, progress: progress_.Progress
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
