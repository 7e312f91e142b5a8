"""One HTTP/1.1 connection to a target or to the store.

A connection carries one request at a time and never resends. Answers whose
identity does not fit the request are skipped, since a target may send an
answer twice or late.
"""

import asyncio
from collections import abc
import socket
import typing

import httptools
import msgspec

from ragwortchute import errors

MAX_ANSWER_BYTES = 16 << 20
CONNECT_TIMEOUT_S = 1.0
# Detects a peer that went silent without a reset within about 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A request that stays unacknowledged this long means a broken path.
USER_TIMEOUT_MS = 3000

_BODYLESS = frozenset({204, 304})


class Reply(msgspec.Struct):
    """A whole answer.

    Attributes:
        status: HTTP status.
        headers: Names in lower case and values, in order.
        body: The body.
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


Accept = abc.Callable[[Reply], bool]


class ClientConnection(asyncio.Protocol):
    """A connection that was opened by this host.

    Attributes:
        idle_since_s: Loop time at which the last answer ended.
        keep_s: Idle timeout that the peer announced; 0 if none.
    """

    __slots__ = (
        '_accept',
        '_body',
        '_delimited',
        '_fut',
        '_headers',
        '_loop',
        '_on_lost',
        '_parser',
        '_peer',
        '_reply',
        '_size',
        '_transport',
        'idle_since_s',
        'keep_s',
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
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._delimited = True
        self._reply: Reply | None = None
        self.idle_since_s = 0.0
        self.keep_s = 0.0

    @property
    def usable(self) -> bool:
        """Whether a request may be sent now."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and self._fut is None
        )

    def send(
        self, data: bytes, accept: Accept | None = None
    ) -> asyncio.Future[Reply]:
        """Sends a request and returns the future of its answer.

        The future fails with `ConnectionLost`, `TruncatedAnswer` or
        `AnswerTooLarge`. Cancelling it does not end the request; `abort` does.

        Args:
            data: Head and body.
            accept: Tells whether an answer belongs to the request.
        """
        self._fut = self._loop.create_future()
        self._accept = accept
        self._parser = httptools.HttpResponseParser(self)
        self._delimited = True
        self._reply = None
        self._transport.write(data)
        return self._fut

    def abort(self) -> None:
        """Closes the connection at once."""
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
            # Bytes without a request belong to nobody.
            self._transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(errors.TargetError, 'answer switches protocols')
        except httptools.HttpParserError as exc:
            self._fail(errors.TargetError, f'answer is malformed: {exc}')
        reply = self._reply
        if reply is not None:
            self._finish(reply)

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
            self._fail(errors.TruncatedAnswer, 'answer ended early')
        else:
            self._fail(errors.ConnectionLost, 'connection broke')
        self._transport = None
        if self._on_lost is not None:
            self._on_lost(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts an answer."""
        self._headers = []
        self._body = []
        self._size = 0
        self._delimited = True
        if self._reply is not None:
            # Something follows the answer: the connection is out of step.
            self._reply.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Finds out how the body ends."""
        status = self._parser.get_status_code()
        if status < 200 or status in _BODYLESS:
            return
        self._delimited = any(
            name in (b'content-length', b'transfer-encoding')
            for name, _ in self._headers
        )

    def on_body(self, body: bytes) -> None:
        """Adds a piece of the body."""
        self._size += len(body)
        if self._size > MAX_ANSWER_BYTES:
            self._fail(errors.AnswerTooLarge, 'answer is too large')
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Keeps the answer if it belongs to the request."""
        status = self._parser.get_status_code()
        if self._reply is not None or self._fut is None or status < 200:
            return
        reply = Reply(
            status,
            self._headers,
            b''.join(self._body),
            self._parser.should_keep_alive(),
        )
        if self._accept is None or self._accept(reply):
            self._reply = reply

    def _finish(self, reply: Reply) -> None:
        fut, self._fut = self._fut, None
        self._reply = None
        self._headers = []
        self._body = []
        self.idle_since_s = self._loop.time()
        keep = reply.get(b'keep-alive')
        if keep is not None:
            self.keep_s = parse_keep_alive(keep)
        transport = self._transport
        if transport is None:
            reply.reusable = False
        elif not reply.reusable or transport.get_write_buffer_size():
            reply.reusable = False
            transport.abort()
        if fut is not None and not fut.done():
            fut.set_result(reply)

    def _fail(self, kind: type[errors.TargetError], message: str) -> None:
        if self._reply is not None:
            self._reply.reusable = False
            return
        fut, self._fut = self._fut, None
        self._headers = []
        if self._transport is not None:
            self._transport.abort()
        if fut is not None and not fut.done():
            fut.set_exception(kind(message, step='answer', peer=self._peer))
            # Whoever gave the request up does not ask for the error.
            fut.exception()


def parse_keep_alive(value: bytes) -> float:
    """Returns the timeout of a `Keep-Alive` header in seconds, 0 if none."""
    for item in value.split(b','):
        name, _, text = item.partition(b'=')
        if name.strip().lower() == b'timeout' and text.strip().isdigit():
            return float(text)
    return 0.0


def set_keepalive(sock: socket.socket) -> None:
    """Lets the kernel close a connection whose peer went silent."""
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
        ConnectFailed: No connection within the timeout.
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
            str(exc) or 'no connection in time', step='connect', peer=peer
        ) from exc
    return conn


class ConnectionSource(typing.Protocol):
    """Where connections to one address come from, such as a pool."""

    async def take(self) -> ClientConnection:
        """Returns a connection that is free."""

    def release(self, conn: ClientConnection) -> None:
        """Takes a connection back."""


async def exchange(
    source: ConnectionSource, data: bytes, timeout_s: float
) -> Reply:
    """Sends one request and returns the whole answer.

    Args:
        source: Provides the connection and gets it back.
        data: Head and body.
        timeout_s: Longest time for connecting, sending and the answer.

    Raises:
        ConnectFailed: No connection; nothing was sent.
        AttemptTimeout: No whole answer in time.
        TargetError: The connection broke or the answer is malformed.
    """
    conn = None
    try:
        async with asyncio.timeout(timeout_s):
            conn = await source.take()
            return await conn.send(data)
    except TimeoutError as exc:
        if conn is None:
            raise errors.ConnectFailed(
                'no connection in time', step='connect'
            ) from exc
        raise errors.AttemptTimeout('no answer in time', step='answer') from exc
    finally:
        if conn is not None:
            source.release(conn)
