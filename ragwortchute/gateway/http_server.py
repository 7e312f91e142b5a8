"""HTTP/1.1 listener for callers.

Each connection parses requests, hands every one to a handler as a task, and
writes the answers in the order of the requests.
"""

import asyncio
import collections
from collections import abc
import http

import httptools
import msgspec

from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model

# A caller that pipelines more than this has to wait for answers.
MAX_PIPELINED = 64
# How long a connection that was closed by this host is still read, so that
# unread bytes don't reset the last answer away.
LINGER_S = 1.0
SWEEP_S = 0.25

HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)

_REASONS = {status.value: status.phrase for status in http.HTTPStatus}
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Request(msgspec.Struct, eq=False):
    """A whole request of a caller.

    Attributes:
        method: Method.
        target: Path with query, as sent.
        host: Host name in lower case, without a port.
        headers: Names in lower case and values, without hop-by-hop headers.
        body: The whole body.
        arrived_s: Loop time at which the request was complete.
        gone: Becomes done when the caller's connection ends.
    """

    method: str
    target: str
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived_s: float
    gone: asyncio.Future[None]

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition('?')[0]


class Response(msgspec.Struct):
    """A whole answer to a caller.

    Attributes:
        status: HTTP status.
        headers: Names and values, without those of the connection.
        body: The body.
        close: Whether the connection ends with this answer.
    """

    status: int
    headers: abc.Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b''
    close: bool = False


Handler = abc.Callable[[Request], abc.Awaitable[Response]]


class _Exchange:
    """A request on a connection and its answer, once there is one."""

    __slots__ = ('response', 'task')

    def __init__(self) -> None:
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None


class Listener:
    """Accepts connections and closes idle ones.

    Args:
        handler: Answers a request.
        limits: Returns the bounds in force.
        log: Takes log lines.
        name: Name of the listener in log lines.
    """

    def __init__(
        self,
        handler: Handler,
        limits: abc.Callable[[], model.Limits],
        log: eventlog.EventLog,
        name: str,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.log = log
        self.name = name
        self.draining = False
        self.connections: set[_CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self._waiter: asyncio.Future[None] | None = None

    async def start(self, ip: str, port: int, backlog: int = 512) -> None:
        """Starts to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerConnection(self), ip, port, backlog=backlog
        )
        self._sweeper = asyncio.create_task(self._sweep())

    def drain(self) -> None:
        """Ends each connection with its next answer."""
        self.draining = True

    def stop_accepting(self) -> None:
        """Takes no new connections."""
        self.draining = True
        if self._server is not None:
            self._server.close()
            self._server = None

    def close(self) -> None:
        """Stops to accept and closes connections without a request."""
        self.stop_accepting()
        for conn in list(self.connections):
            conn.close_if_idle()

    async def stop(self) -> None:
        """Closes everything at once."""
        self.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None
        for conn in list(self.connections):
            conn.abort()

    @property
    def port(self) -> int:
        """Port that it listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def finished(self, timeout_s: float) -> bool:
        """Waits until no request is running; tells whether that came."""
        self._waiter = asyncio.get_running_loop().create_future()
        self.progressed()
        await asyncio.wait((self._waiter,), timeout=max(0.0, timeout_s))
        return self._waiter.done()

    def progressed(self) -> None:
        """Takes over that a request has ended."""
        waiter = self._waiter
        if waiter is not None and not waiter.done() and not self.running:
            waiter.set_result(None)

    @property
    def running(self) -> int:
        """Number of requests without a written answer."""
        return sum(conn.running for conn in self.connections)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_S)
            now_s = loop.time()
            for conn in list(self.connections):
                conn.expire(now_s, self.limits())


class _CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    __slots__ = (
        '_begun',
        '_body',
        '_closing_s',
        '_exchanges',
        '_gone',
        '_head_bytes',
        '_head_started_s',
        '_headers',
        '_idle_since_s',
        '_in_head',
        '_listener',
        '_loop',
        '_parser',
        '_paused',
        '_size',
        '_transport',
        '_unfinished_bytes',
        '_url',
    )

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchanges: collections.deque[_Exchange] = collections.deque()
        self._gone: asyncio.Future[None] = self._loop.create_future()
        self._idle_since_s = self._loop.time()
        self._head_started_s = 0.0
        self._closing_s = 0.0
        self._paused = False
        self._begun = 0
        self._in_head = False
        self._reset_request()

    @property
    def running(self) -> int:
        """Number of requests without a written answer."""
        return len(self._exchanges)

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is running or arriving."""
        if not self._exchanges and not self._head_started_s:
            self._begin_close()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def expire(self, now_s: float, limits: model.Limits) -> None:
        """Closes the connection if it is idle or slow for too long."""
        if self._closing_s:
            if now_s - self._closing_s > LINGER_S:
                self.abort()
        elif self._head_started_s:
            if now_s - self._head_started_s > limits.header_timeout_s:
                self._reject(408)
        elif (
            not self._exchanges
            and now_s - self._idle_since_s > limits.idle_timeout_s
        ):
            self._begin_close()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        self._transport = transport
        self._listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """See base class."""
        if self._closing_s:
            return
        began = self._begun
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(501)
        except httptools.HttpParserError:
            if not self._closing_s:
                self._reject(400)
        # The parser keeps an unfinished header to itself. What came before
        # the first request of these bytes is not counted.
        if self._in_head and self._begun - began <= 1:
            self._unfinished_bytes += len(data)
            self._check_head(self._unfinished_bytes)

    def eof_received(self) -> bool:
        """See base class."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """See base class."""
        self._listener.connections.discard(self)
        self._transport = None
        if not self._gone.done():
            self._gone.set_result(None)
        self._exchanges.clear()
        self._listener.progressed()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._reset_request()
        self._begun += 1
        self._in_head = True
        self._head_started_s = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Adds to the request target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Asks for the body if the caller waits for that."""
        self._in_head = False
        expects = any(
            name == b'expect' and value.lower() == b'100-continue'
            for name, value in self._headers
        )
        if expects and self._transport is not None and not self._exchanges:
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Adds a piece of the body."""
        self._size += len(body)
        if self._closing_s:
            return
        if self._size > self._listener.limits().max_body_bytes:
            self._reject(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hands the request to the handler."""
        self._head_started_s = 0.0
        if self._closing_s:
            return
        try:
            req = self._request()
        except ValueError:
            self._reject(400)
            return
        exchange = _Exchange()
        self._exchanges.append(exchange)
        keep = self._parser.should_keep_alive()
        exchange.task = self._loop.create_task(self._serve(req, exchange, keep))
        if len(self._exchanges) >= MAX_PIPELINED and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _request(self) -> Request:
        method = self._parser.get_method().decode('ascii')
        host = ''
        headers = []
        connection: set[bytes] = set()
        for name, value in self._headers:
            if name == b'connection':
                connection |= {
                    item.strip() for item in value.lower().split(b',')
                }
        hosts = 0
        for name, value in self._headers:
            if name == b'host':
                hosts += 1
                host = value.decode('latin-1').strip().lower()
            elif name in HOP_BY_HOP or name in connection:
                continue
            elif name != b'content-length' and name != b'expect':
                headers.append((name, value))
        if hosts != 1:
            raise ValueError('request needs one Host header')
        target = self._url.decode('latin-1')
        if not target.startswith('/'):
            raise ValueError('request target is not a path')
        return Request(
            method,
            target,
            host.rpartition(':')[0] if ':' in host else host,
            headers,
            b''.join(self._body),
            self._loop.time(),
            self._gone,
        )

    async def _serve(
        self, req: Request, exchange: _Exchange, keep: bool
    ) -> None:
        try:
            resp = await self._listener.handler(req)
        except Exception:
            self._listener.log.failure('handler', req.target)
            resp = Response(502, close=True)
        resp.close = resp.close or not keep
        exchange.response = resp
        self._flush()

    def _flush(self) -> None:
        """Writes the answers that are due, in order."""
        while self._exchanges and self._exchanges[0].response is not None:
            resp = self._exchanges[0].response
            last = len(self._exchanges) == 1
            if self._listener.draining and last and not self._head_started_s:
                resp.close = True
            self._exchanges.popleft()
            self._listener.progressed()
            if self._transport is None:
                return
            self._transport.write(encode(resp))
            self._idle_since_s = self._loop.time()
            if resp.close:
                self._begin_close()
                return
        if self._paused and len(self._exchanges) < MAX_PIPELINED:
            self._paused = False
            self._transport.resume_reading()

    def _reject(self, status: int) -> None:
        """Answers a request that can't be read, and closes."""
        self._head_started_s = 0.0
        self._listener.log.event(
            'rejected', listener=self._listener.name, status=status
        )
        if self._exchanges:
            # Answers to earlier requests go first.
            exchange = _Exchange()
            exchange.response = Response(status, close=True)
            self._exchanges.append(exchange)
            self._flush()
            return
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode(Response(status, close=True)))
        self._begin_close()

    def _begin_close(self) -> None:
        """Ends the sending side; the rest is read and dropped."""
        if self._closing_s or self._transport is None:
            return
        self._closing_s = self._loop.time()
        self._exchanges.clear()
        if self._transport.can_write_eof() and not self._transport.is_closing():
            self._transport.write_eof()

    def _reset_request(self) -> None:
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._head_bytes = 0
        self._unfinished_bytes = 0

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        self._check_head(self._head_bytes)

    def _check_head(self, size: int) -> None:
        limit = self._listener.limits().max_header_bytes
        if size > limit and not self._closing_s:
            self._reject(431)


def encode(resp: Response) -> bytes:
    """Returns head and body of an answer."""
    reason = _REASONS.get(resp.status, 'Unknown')
    lines = [f'HTTP/1.1 {resp.status} {reason}\r\n'.encode()]
    for name, value in resp.headers:
        lines.append(name + b': ' + value + b'\r\n')
    if resp.close:
        lines.append(b'connection: close\r\n')
    lines.append(b'content-length: %d\r\n\r\n' % len(resp.body))
    lines.append(resp.body)
    return b''.join(lines)
