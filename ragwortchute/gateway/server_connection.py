"""Connection of a caller to an HTTP/1.1 server.

It parses requests, handles each one in a task of its own, and writes the
responses in the order of the requests.
"""

import asyncio
import collections
from collections import abc
import typing

import httptools

from ragwortchute.gateway import body_budget
from ragwortchute.gateway import body_reader
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import http_messages
from ragwortchute.gateway import model

# Reading from a connection pauses while this many requests are pending.
MAX_PIPELINED = 64
# How long this host keeps reading from a connection that it closes after the
# last response has been written: closing a socket with unread data sends a
# reset, which may discard what the peer has not read yet.
CLOSE_LINGER_S = 1.0
# How long the rest of a long body waits for memory. Callers give up on a host
# that does not read their request for a second.
BODY_WAIT_S = 0.8
# Named to a caller for whose body no memory was left.
_BODY_RETRY_AFTER_S = 0.5
# Framing of a chunk that carries a single byte, rounded up.
FRAMING_BYTES_PER_BODY_BYTE = 8

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


Handler = abc.Callable[
    [http_messages.Request], abc.Awaitable[http_messages.Response]
]


class Owner(typing.Protocol):
    """What a connection needs of the listener that accepted it.

    Attributes:
        handler: Returns the response to a request.
        limits: Returns the current limits on requests.
        log: Event log.
        name: Name of the listener in the log.
        bodies: Memory for long bodies.
        draining: Whether connections are closed after their last response.
        connections: Open connections.
    """

    handler: Handler
    limits: abc.Callable[[], model.Limits]
    log: eventlog.EventLog
    name: str
    bodies: body_budget.BodyBudget
    draining: bool
    connections: set['ServerConnection']

    def notify_finished(self) -> None:
        """Notes that a connection has ended."""


class _Exchange:
    """A pending request on a connection.

    Attributes:
        response: The response, None until the handler returns it.
        task: Task that runs the handler.
    """

    __slots__ = ('response', 'task')

    def __init__(self) -> None:
        self.response: http_messages.Response | None = None
        self.task: asyncio.Task[None] | None = None


class ServerConnection(asyncio.Protocol):
    """An accepted connection.

    Args:
        listener: The listener that accepted it.
    """

    __slots__ = (
        '_body',
        '_body_wait_timer',
        '_close_started_s',
        '_closed',
        '_exchanges',
        '_expects_continue',
        '_head_bytes',
        '_head_started_s',
        '_headers',
        '_idle_since_s',
        '_listener',
        '_loop',
        '_parser',
        '_reading_ended',
        '_reading_paused',
        '_received_bytes',
        '_requests_begun',
        '_sent_s',
        '_transport',
        '_unsent_bytes',
        '_url',
    )

    def __init__(self, listener: Owner) -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchanges: collections.deque[_Exchange] = collections.deque()
        self._closed: asyncio.Future[None] = self._loop.create_future()
        self._idle_since_s = self._loop.time()
        self._head_started_s = 0.0
        self._close_started_s = 0.0
        self._reading_ended = False
        self._reading_paused = False
        self._requests_begun = 0
        # Loop time of the last progress in sending responses.
        self._sent_s = float('-inf')
        self._unsent_bytes = 0
        self._body = body_reader.BodyReader(
            listener.bodies, self._on_body_reserved
        )
        self._body_wait_timer: asyncio.TimerHandle | None = None
        self._reset_request()

    @property
    def running(self) -> int:
        """Number of requests whose response has not been written yet."""
        return len(self._exchanges)

    @property
    def unfinished(self) -> bool:
        """Whether a response is pending or may not have arrived yet."""
        return (
            bool(self._exchanges)
            or self._transport.get_write_buffer_size() > 0
            or self._loop.time() - self._sent_s <= CLOSE_LINGER_S
        )

    def drain(self) -> None:
        """Makes the last request that has arrived, or else the next, the last.

        Its response closes the connection. A caller that has sent further
        requests sees by it that they were not read. Waiting for a moment
        without pending requests instead may take forever, since callers may
        send requests before earlier ones are answered.
        """
        if self._exchanges and not self._head_started_s:
            self._end_reading()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is pending or incomplete."""
        if not self._exchanges and not self._head_started_s:
            self._begin_close()

    def abort(self) -> None:
        """Closes the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    def expire(self, now_s: float, limits: model.Limits) -> None:
        """Closes the connection if one of its timeouts has expired."""
        self._note_progress(now_s)
        if self._close_started_s:
            self._expire_close(now_s, limits)
        elif self._body.waiting:
            return
        elif self._head_started_s:
            if now_s - self._head_started_s > limits.header_timeout_s:
                self._reject(408)
        elif (
            not self._exchanges
            and now_s - max(self._idle_since_s, self._sent_s)
            > limits.idle_timeout_s
        ):
            self._begin_close()

    def _note_progress(self, now_s: float) -> None:
        """Notes whether the peer has received more of the responses."""
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._sent_s = now_s

    def _expire_close(self, now_s: float, limits: model.Limits) -> None:
        """Ends the close of a connection if the peer takes too long."""
        if self._unsent_bytes:
            # The peer is as slow as one that sends nothing.
            if now_s - self._sent_s > limits.idle_timeout_s:
                self.abort()
        elif now_s - max(self._sent_s, self._close_started_s) > CLOSE_LINGER_S:
            self.abort()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        self._transport = transport
        self._listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """See base class."""
        if self._reading_ended:
            return
        begun_before = self._requests_begun
        was_between_requests = not self._head_started_s
        try:
            self._parse(data)
        except httptools.HttpParserError:
            if not self._reading_ended:
                self._reject(400)
        # The parser reports a header or trailer only when it is complete, so
        # the bytes of an incomplete one are counted here. Data that also
        # belongs to an earlier request is left out.
        begun = self._requests_begun - begun_before
        if self._head_started_s and (
            begun == 0 or (begun == 1 and was_between_requests)
        ):
            self._received_bytes += len(data)
            framing_bytes = self._received_bytes - self._body.size_bytes
            allowed = self._body.size_bytes * FRAMING_BYTES_PER_BODY_BYTE
            self._check_head(framing_bytes - allowed)

    def eof_received(self) -> bool:
        """See base class."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """See base class."""
        self._listener.connections.discard(self)
        self._transport = None
        self._stop_body_wait()
        self._body.clear()
        if not self._closed.done():
            self._closed.set_result(None)
        self._exchanges.clear()
        self._listener.notify_finished()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        if self._reading_ended:
            return
        self._reset_request()
        self._requests_begun += 1
        self._head_started_s = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        if self._reading_ended:
            return
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        if self._reading_ended:
            return
        self._headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Reserves memory for the body and lets the caller send it."""
        size_bytes = 0
        if self._reading_ended or self._parser.should_upgrade():
            return
        for name, value in self._headers:
            if name == b'content-length':
                size_bytes = int(value)
            elif name == b'expect' and value.lower() == b'100-continue':
                self._expects_continue = True
        if size_bytes > self._listener.limits().max_body_bytes:
            self._reject(413)
            return
        self._expect_body(size_bytes)
        if not self._body.waiting:
            self._write_continue()

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        if self._reading_ended:
            return
        self._body.add(body)
        max_body_bytes = self._listener.limits().max_body_bytes
        if self._body.size_bytes > max_body_bytes:
            self._reject(413)
        elif self._body.outgrown:
            # It is sent in chunks, and its length is not known.
            self._expect_body(min(2 * self._body.size_bytes, max_body_bytes))

    def on_message_complete(self) -> None:
        """Starts the handler of the request."""
        if self._reading_ended or self._parser.should_upgrade():
            return
        self._head_started_s = 0.0
        try:
            req = http_messages.build_request(
                self._parser.get_method(),
                self._url,
                self._headers,
                self._loop.time(),
                self._closed,
            )
        except ValueError:
            self._reject(400)
            return
        self._stop_body_wait()
        req.body_parts, reservation = self._body.take()
        exchange = _Exchange()
        self._exchanges.append(exchange)
        exchange.task = self._loop.create_task(
            self._serve(req, exchange, reservation)
        )
        if self._listener.draining or not self._parser.should_keep_alive():
            self._end_reading()
        self._update_reading()

    def _expect_body(self, size_bytes: int) -> None:
        """Reads a long body only once memory is reserved for it.

        Args:
            size_bytes: Length that it will have.
        """
        self._body.expect(size_bytes)
        if self._body.waiting and self._body_wait_timer is None:
            self._body_wait_timer = self._loop.call_later(
                BODY_WAIT_S, self._refuse_body
            )
            self._update_reading()

    def _on_body_reserved(self) -> None:
        """Goes on to read a body that had to wait for memory."""
        self._stop_body_wait()
        self._head_started_s = self._loop.time()
        self._write_continue()
        self._update_reading()

    def _refuse_body(self) -> None:
        """Rejects a request for whose body no memory is left."""
        after = f'{_BODY_RETRY_AFTER_S:g}'.encode()
        self._reject(503, [(b'retry-after', after)])

    def _stop_body_wait(self) -> None:
        if self._body_wait_timer is not None:
            self._body_wait_timer.cancel()
            self._body_wait_timer = None

    def _write_continue(self) -> None:
        if self._expects_continue and not self._exchanges:
            self._transport.write(_CONTINUE)
        self._expects_continue = False

    def _update_reading(self) -> None:
        """Pauses reading, or goes on, as the pending requests demand."""
        pause = not self._reading_ended and (
            self._body.waiting or len(self._exchanges) >= MAX_PIPELINED
        )
        if pause == self._reading_paused or self._transport is None:
            return
        self._reading_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _parse(self, data: bytes) -> None:
        """Parses received bytes.

        A request to change the protocol is served as any other, which HTTP
        allows. The parser takes what follows its head as the other protocol,
        even its body, so it is parsed again without the request to change.

        Raises:
            HttpParserError: The bytes are malformed.
        """
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as exc:
                if self._reading_ended:
                    return
                if self._parser.get_method() == b'CONNECT':
                    self._reject(501)
                    return
                head = http_messages.encode_head(
                    self._parser.get_method(),
                    self._url,
                    self._parser.get_http_version(),
                    [item for item in self._headers if item[0] != b'upgrade'],
                )
                data = head + data[exc.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
                self._requests_begun -= 1

    def _end_reading(self) -> None:
        """Ignores all further data; the last response closes the connection.

        Requests that the caller sends behind it have then not been read.
        """
        self._reading_ended = True
        self._head_started_s = 0.0
        self._stop_body_wait()
        self._body.clear()
        self._update_reading()

    async def _serve(
        self,
        req: http_messages.Request,
        exchange: _Exchange,
        reservation: body_budget.Reservation,
    ) -> None:
        try:
            resp = await self._listener.handler(req)
        except Exception:
            self._listener.log.failure('handler', req.target)
            resp = http_messages.Response(502)
        finally:
            self._listener.bodies.shrink(reservation, 0)
        exchange.response = resp
        self._flush()

    def _flush(self) -> None:
        """Writes available responses in the order of the requests."""
        while self._exchanges and self._exchanges[0].response is not None:
            resp = self._exchanges.popleft().response
            if resp.close:
                self._end_reading()
            resp.close = self._reading_ended and not self._exchanges
            if self._transport is None:
                return
            self._transport.write(http_messages.encode(resp))
            self._idle_since_s = self._sent_s = self._loop.time()
            if resp.close:
                self._begin_close()
                return
        self._update_reading()

    def _reject(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]] = ()
    ) -> None:
        """Responds to a request that is not handled and closes."""
        self._end_reading()
        self._listener.log.event(
            'rejected', listener=self._listener.name, status=status
        )
        exchange = _Exchange()
        exchange.response = http_messages.Response(status, headers, close=True)
        self._exchanges.append(exchange)
        self._flush()

    def _begin_close(self) -> None:
        """Shuts down the sending side; further received data is ignored."""
        if self._close_started_s or self._transport is None:
            return
        self._end_reading()
        self._close_started_s = self._loop.time()
        self._exchanges.clear()
        if self._transport.is_closing():
            return
        try:
            self._transport.write_eof()
        except OSError as exc:
            # The peer has reset the connection, which is reported next.
            self._listener.log.event(
                'close-failed', listener=self._listener.name, error=str(exc)
            )
            self._transport.abort()

    def _reset_request(self) -> None:
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._expects_continue = False
        self._body.clear()
        self._head_bytes = 0
        self._received_bytes = 0

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        self._check_head(self._head_bytes)

    def _check_head(self, size: int) -> None:
        limit = self._listener.limits().max_header_bytes
        if size > limit and not self._reading_ended:
            self._reject(431)
