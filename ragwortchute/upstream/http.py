"""HTTP/1.1 client for requests to targets.

The client uses aiohttp's connection pool and response parser, but not its
session. A session would resend idempotent requests when a kept-alive connection
breaks, follow redirects, store cookies and add headers of its own.
"""

import asyncio
from collections import abc
import select

import aiohttp
from aiohttp import client_proto
from aiohttp import connector as connectors
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams
import yarl

from ragwortchute import calls
from ragwortchute import clock as clocks
from ragwortchute import config
from ragwortchute import documents
from ragwortchute import errors
from ragwortchute import upstream

HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)

# The 4 hosts of a serving set share about 220 connections to a target.
CONNECTIONS_PER_TARGET = 55

_DROPPED_REQUEST_HEADERS = HOP_BY_HOP | {
    'content-length',
    'deadline-ms',
    'expect',
    'host',
    'request-id',
}
_DROPPED_ANSWER_HEADERS = HOP_BY_HOP | {
    'content-length',
    'target-draining',
    'target-incarnation',
    'target-load',
    'target-shed',
}
_METHODS_WITHOUT_BODY = frozenset({'GET', 'HEAD', 'OPTIONS', 'TRACE', 'DELETE'})
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_KEEPALIVE_S = 86400.0
_OPEN_TIMEOUT_S = 5.0
# The target keeps running a cancelled request until its connection closes, so
# the wait for a replacement connection must be short.
_REPLACEMENT_TIMEOUT_S = 0.05
_MAX_LINE_BYTES = 16384
_NO_TIMEOUT = aiohttp.ClientTimeout()


class _Protocol(client_proto.ResponseHandler):
    """One connection; reports to its pool when it opens and closes."""

    def __init__(self, pool: '_Pool', loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.aborting = False
        self._pool = pool
        self._poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        sock = transport.get_extra_info('socket')
        self._poll.register(sock.fileno(), select.POLLIN)
        self._pool.on_opened()

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._pool.aborting -= self.aborting
        self._pool.on_closed()

    def expire(self) -> None:
        """Fails the pending read like a read timeout of aiohttp does."""
        exc = aiohttp.SocketTimeoutError('deadline passed')
        self.set_exception(exc)
        if self._payload is not None:
            self._payload.set_exception(exc)

    def is_reusable(self) -> bool:
        """Returns whether nothing was received since the last answer.

        Bytes received on an idle connection would be parsed as the answer to
        the next request. An end of file means that the target closed the
        connection and would not run a request written to it.
        """
        if self.should_close or not self.is_connected():
            return False
        return not self._poll.poll(0)


class _Pool(aiohttp.BaseConnector):
    """Connection pool of one target."""

    def __init__(
        self,
        service: str,
        target: documents.Target,
        listener: upstream.ConnectionListener | None,
        limit: int,
    ) -> None:
        super().__init__(keepalive_timeout=_KEEPALIVE_S, limit=limit)
        self.address = target.address
        self.open_count = 0
        # Connections that were aborted but are still counted as open.
        self.aborting = 0
        self._service = service
        self._target_name = target.name
        self._listener = listener
        self._ip, self._port = config.parse_address(target.address)
        # The connector looks connections up by the key of a request object.
        self._request = aiohttp.ClientRequest(
            'GET',
            yarl.URL(f'http://{target.address}/'),
            loop=asyncio.get_running_loop(),
        )
        self._key = self._request.connection_key

    def on_opened(self) -> None:
        self.open_count += 1
        if self._listener is not None:
            self._listener.connection_opened(self._service, self._target_name)

    def on_closed(self) -> None:
        self.open_count -= 1
        if self._listener is not None:
            self._listener.connection_closed(self._service, self._target_name)

    def acquire_idle(self) -> connectors.Connection | None:
        """Returns a reusable idle connection, or None if there is none."""
        idle = self._conns.get(self._key)
        while idle:
            protocol, _ = idle.popleft()
            if protocol.is_reusable():
                self._acquired.add(protocol)
                return connectors.Connection(
                    self, self._key, protocol, self._loop
                )
            protocol.abort()
        return None

    async def acquire(self) -> connectors.Connection:
        """Returns an idle connection, or opens one if none is reusable."""
        while True:
            conn = await self.connect(self._request, [], _NO_TIMEOUT)
            if conn.protocol.is_reusable():
                return conn
            _abort(conn)

    def drain(self) -> None:
        """Closes idle connections now and busy ones after their answer."""
        self._force_close = True
        for idle in self._conns.values():
            for protocol, _ in idle:
                protocol.close()
        self._conns.clear()

    async def open_idle(self) -> None:
        """Opens one more connection and returns it to the pool."""
        protocol = await self._create_connection(self._request, [], _NO_TIMEOUT)
        connectors.Connection(self, self._key, protocol, self._loop).release()

    async def discard(self, conn: connectors.Connection) -> None:
        """Closes the connection of a failed or cancelled request.

        Opens a replacement before the last connection to the target closes.
        A host stops using a target to which it has no open connection, because
        the address could then belong to another process. Without the
        replacement, callers that time out under overload would take one target
        after another out of use.
        """
        protocol = conn.protocol
        if protocol is None or not protocol.is_connected():
            _abort(conn)
            return
        try:
            if self.open_count - self.aborting <= 1:
                async with asyncio.timeout(_REPLACEMENT_TIMEOUT_S):
                    await self.open_idle()
        except (TimeoutError, OSError, aiohttp.ClientError):
            pass
        finally:
            if protocol.is_connected() and not protocol.aborting:
                protocol.aborting = True
                self.aborting += 1
            _abort(conn)

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[object],
        timeout: aiohttp.ClientTimeout,
    ) -> client_proto.ResponseHandler:
        _, protocol = await self._loop.create_connection(
            lambda: _Protocol(self, self._loop), self._ip, self._port
        )
        return protocol


class HttpUpstream(upstream.Upstream):
    """Sends each call once over a pooled keep-alive connection.

    Args:
        clock: Clock that the deadlines of calls refer to.
        listener: Receives a call for each opened and closed connection.
        max_answer_bytes: Maximum size of an answer body, in bytes.
        connections_per_target: Maximum number of connections to a target.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        *,
        listener: upstream.ConnectionListener | None = None,
        max_answer_bytes: int = 8 << 20,
        connections_per_target: int = CONNECTIONS_PER_TARGET,
    ) -> None:
        self._clock = clock
        self._listener = listener
        self._max_answer_bytes = max_answer_bytes
        self._connections_per_target = connections_per_target
        self._pools: dict[tuple[str, str], _Pool] = {}

    async def send(
        self,
        service: str,
        target: documents.Target,
        call: calls.Call,
        *,
        before_send: abc.Callable[[], None] | None = None,
    ) -> upstream.TargetAnswer:
        """Sends a call once; see the base class."""
        attempt = _Attempt(target, call, self._max_answer_bytes)
        remaining_s = call.deadline_s - self._clock.monotonic()
        if remaining_s <= 0:
            raise attempt.make_error(errors.ConnectFailed, 'deadline passed')
        pool = self._pool(service, target)
        conn = pool.acquire_idle()
        if conn is None:
            conn = await attempt.connect(pool, remaining_s, before_send)
            remaining_s = call.deadline_s - self._clock.monotonic()
        return await attempt.run(pool, conn, remaining_s)

    async def keep_open(
        self, service: str, target: documents.Target, connections: int
    ) -> int:
        """Opens idle connections; see the base class."""
        pool = self._pool(service, target)
        missing = (
            min(connections, self._connections_per_target) - pool.open_count
        )
        if missing > 0:
            try:
                async with asyncio.timeout(_OPEN_TIMEOUT_S):
                    await asyncio.gather(
                        *(pool.open_idle() for _ in range(missing)),
                        return_exceptions=True,
                    )
            except TimeoutError:
                pass
        return pool.open_count

    def open_connections(self, service: str, target: str) -> int:
        """Returns the number of open connections to a target."""
        pool = self._pools.get((service, target))
        return pool.open_count if pool is not None else 0

    def forget(self, service: str, target: str) -> None:
        """Removes the connection pool of a target that is no longer used.

        Requests in progress are completed first.
        """
        pool = self._pools.pop((service, target), None)
        if pool is not None:
            pool.drain()

    async def close(self) -> None:
        """Closes all connections."""
        pools = list(self._pools.values())
        self._pools.clear()
        for pool in pools:
            await pool.close()

    def dump(self) -> dict[str, object]:
        """Returns the number of open connections by service and target."""
        return {
            f'{service}/{target}': pool.open_count
            for (service, target), pool in self._pools.items()
        }

    def _pool(self, service: str, target: documents.Target) -> _Pool:
        key = (service, target.name)
        pool = self._pools.get(key)
        if pool is not None:
            if pool.address == target.address:
                return pool
            pool.drain()
        pool = _Pool(
            service, target, self._listener, self._connections_per_target
        )
        self._pools[key] = pool
        return pool


class _Attempt:
    """One request to one target.

    Attributes:
        sent: True once the request was written to the connection.
    """

    __slots__ = ('_call', '_max_bytes', '_target', 'sent')

    def __init__(
        self, target: documents.Target, call: calls.Call, max_bytes: int
    ) -> None:
        self._target = target
        self._call = call
        self._max_bytes = max_bytes
        self.sent = False

    def make_error(
        self, kind: type[errors.TargetError], message: str
    ) -> errors.TargetError:
        """Returns an error that names the target."""
        step = 'answer' if self.sent else 'connect'
        return kind(message, step=step, peer=self._target.name)

    async def run(
        self, pool: _Pool, conn: connectors.Connection, remaining_s: float
    ) -> upstream.TargetAnswer:
        """Sends the request and reads the answer."""
        timer: asyncio.TimerHandle | None = None
        try:
            self._write_request(conn, remaining_s)
            # A timer of the event loop is cheaper than `asyncio.timeout`.
            timer = asyncio.get_running_loop().call_later(
                remaining_s, conn.protocol.expire
            )
            answer = await self._read_answer(conn.protocol)
        except errors.TargetShed:
            # The answer is complete, so the connection can be reused. Closing
            # it would take an overloaded target out of use whenever it was the
            # last connection.
            conn.release()
            raise
        except BaseException:
            # Closing the connection tells the target about the cancellation,
            # and a late answer can't be taken for that of the next request.
            await pool.discard(conn)
            raise
        finally:
            if timer is not None:
                timer.cancel()
        conn.release()
        return answer

    async def connect(
        self,
        pool: _Pool,
        remaining_s: float,
        before_send: abc.Callable[[], None] | None,
    ) -> connectors.Connection:
        """Waits for a connection and calls `before_send`."""
        try:
            async with asyncio.timeout(remaining_s):
                conn = await pool.acquire()
        except TimeoutError as exc:
            raise self.make_error(
                errors.ConnectFailed, 'no connection before the deadline'
            ) from exc
        except (OSError, aiohttp.ClientError) as exc:
            raise self.make_error(errors.ConnectFailed, str(exc)) from exc
        if before_send is not None:
            try:
                before_send()
            except BaseException:
                conn.release()
                raise
        return conn

    def _write_request(
        self, conn: connectors.Connection, remaining_s: float
    ) -> None:
        if remaining_s <= 0:
            raise self.make_error(errors.ConnectFailed, 'deadline passed')
        try:
            data = encode_request(self._call, self._target, remaining_s)
        except ValueError as exc:
            raise self.make_error(errors.ConnectFailed, str(exc)) from exc
        conn.protocol.set_response_params(
            skip_payload=self._call.method == 'HEAD',
            auto_decompress=False,
            read_until_eof=False,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
        )
        transport = conn.transport
        if transport is None or transport.is_closing():
            raise self.make_error(errors.ConnectFailed, 'connection is closed')
        self.sent = True
        transport.write(data)

    async def _read_answer(
        self, protocol: client_proto.ResponseHandler
    ) -> upstream.TargetAnswer:
        try:
            while True:
                message, payload = await protocol.read()
                if message.code >= 200 or message.code == 101:
                    break
        except http_exceptions.HttpProcessingError as exc:
            raise self.make_error(
                errors.TargetError, f'answer is malformed: {exc.message}'
            ) from exc
        except aiohttp.SocketTimeoutError as exc:
            raise self._timeout_error() from exc
        except (aiohttp.ClientError, OSError, streams.EofStream) as exc:
            raise self.make_error(
                errors.ConnectionLost, 'connection broke before an answer'
            ) from exc
        self._check_framing(message)
        body = await self._read_body(message, payload)
        return self._decode(message, body)

    def _check_framing(self, message: http_parser.RawResponseMessage) -> None:
        """Raises an error for an answer whose end can't be recognised."""
        if message.code == 101:
            raise self.make_error(
                errors.TargetError, 'unasked protocol upgrade'
            )
        bodiless = (
            message.code in _STATUSES_WITHOUT_BODY
            or self._call.method == 'HEAD'
        )
        if bodiless or message.chunked:
            return
        length = message.headers.get('Content-Length')
        if length is None:
            raise self.make_error(
                errors.TargetError, 'answer has neither length nor chunks'
            )
        if int(length) > self._max_bytes:
            raise self._too_large_error()

    async def _read_body(
        self,
        message: http_parser.RawResponseMessage,
        payload: aiohttp.StreamReader,
    ) -> bytes:
        try:
            if payload.is_eof():
                body = payload.read_nowait()
                if len(body) > self._max_bytes:
                    raise self._too_large_error()
                return body
            parts = []
            size = 0
            while True:
                part = await payload.readany()
                if not part:
                    return b''.join(parts)
                parts.append(part)
                size += len(part)
                if size > self._max_bytes:
                    raise self._too_large_error()
        except aiohttp.SocketTimeoutError as exc:
            raise self._timeout_error() from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise self.make_error(
                errors.TruncatedAnswer, 'answer ended early'
            ) from exc

    def _decode(
        self, message: http_parser.RawResponseMessage, body: bytes
    ) -> upstream.TargetAnswer:
        headers: list[tuple[str, str]] = []
        incarnation = load = length = ''
        shed = draining = False
        dropped = _DROPPED_ANSWER_HEADERS
        for raw_name, raw_value in message.raw_headers:
            name = raw_name.decode('latin-1').lower()
            value = raw_value.decode('latin-1')
            if name == 'connection':
                dropped = dropped | connection_names(value)
            elif name == 'target-incarnation':
                incarnation = value
            elif name == 'target-load':
                load = value
            elif name == 'target-shed':
                shed = value == '1'
            elif name == 'target-draining':
                draining = value == '1'
            elif name == 'content-length':
                length = value
            elif not name.startswith('ragwortchute-'):
                headers.append((name, value))
        running = _parse_running_count(load)
        if shed and message.code == 503:
            exc = self.make_error(errors.TargetShed, 'target sheds')
            exc.incarnation = incarnation
            exc.running = running
            exc.draining = draining
            raise exc
        headers = [item for item in headers if item[0] not in dropped]
        if length and self._call.method == 'HEAD':
            headers.append(('content-length', length))
        return upstream.TargetAnswer(
            calls.Answer(message.code, headers, body, self._target.name),
            incarnation,
            running,
            draining,
        )

    def _timeout_error(self) -> errors.TargetError:
        return self.make_error(
            errors.AttemptTimeout, 'no whole answer before the deadline'
        )

    def _too_large_error(self) -> errors.TargetError:
        return self.make_error(
            errors.AnswerTooLarge,
            f'answer is larger than {self._max_bytes} bytes',
        )


def connection_names(value: str) -> set[str]:
    """Returns the header names listed in a `Connection` header."""
    return {name.strip().lower() for name in value.split(',')}


def encode_request(
    call: calls.Call, target: documents.Target, remaining_s: float
) -> bytes:
    """Returns the head and body of the request as sent to the target.

    Args:
        call: The call.
        target: The target.
        remaining_s: Seconds until the deadline of the call.

    Raises:
        ValueError: The head holds a character that would change how the target
            splits it into lines.
    """
    lines = [
        f'{call.method} {call.path} HTTP/1.1',
        f'host: {target.address}',
        f'deadline-ms: {max(1, int(remaining_s * 1000))}',
        f'request-id: {call.call_id}',
    ]
    for name, value in call.headers:
        if name not in _DROPPED_REQUEST_HEADERS:
            lines.append(f'{name}: {value}')
    if call.body or call.method not in _METHODS_WITHOUT_BODY:
        lines.append(f'content-length: {len(call.body)}')
    head = '\r\n'.join(lines)
    line_breaks = len(lines) - 1
    if (
        head.count('\n') != line_breaks
        or head.count('\r') != line_breaks
        or '\0' in head
        or lines[0].count(' ') != 2
    ):
        raise ValueError('request head has a control character')
    return head.encode('latin-1') + b'\r\n\r\n' + call.body


def _parse_running_count(value: str) -> int:
    running = value.partition('/')[0]
    return int(running) if running.isascii() and running.isdigit() else -1


def _abort(conn: connectors.Connection) -> None:
    protocol = conn.protocol
    if protocol is not None:
        protocol.abort()
    conn.close()
