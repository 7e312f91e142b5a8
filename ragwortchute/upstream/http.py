"""HTTP/1.1 client to targets.

The client uses aiohttp's connection pool and response parser but not its
session: a session resends idempotent requests when a kept connection breaks,
follows redirects, keeps cookies and adds headers of its own.
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

# A target has about 220 connections for all hosts of a serving set of 4.
CONNECTIONS_PER_TARGET = 55

_NOT_SENT = HOP_BY_HOP | {
    'content-length',
    'deadline-ms',
    'expect',
    'host',
    'request-id',
}
_NOT_RETURNED = HOP_BY_HOP | {
    'content-length',
    'target-draining',
    'target-incarnation',
    'target-load',
    'target-shed',
}
_METHODS_WITHOUT_BODY = frozenset({'GET', 'HEAD', 'OPTIONS', 'TRACE', 'DELETE'})
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_KEEP_S = 86400.0
_OPEN_S = 5.0
# A cancelled request runs on at the target until its connection closes, so
# the wait for the one that replaces it is short.
_REPLACE_S = 0.05
_MAX_LINE_BYTES = 16384
_NO_TIMEOUT = aiohttp.ClientTimeout()


class _Protocol(client_proto.ResponseHandler):
    """One connection; reports its end."""

    def __init__(self, pool: '_Pool', loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.ending = False
        self._pool = pool
        self._poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        sock = transport.get_extra_info('socket')
        self._poll.register(sock.fileno(), select.POLLIN)
        self._pool.opened()

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._pool.ending -= self.ending
        self._pool.lost()

    def expire(self) -> None:
        """Ends the wait for an answer, as a read timeout does."""
        exc = aiohttp.SocketTimeoutError('deadline passed')
        self.set_exception(exc)
        if self._payload is not None:
            self._payload.set_exception(exc)

    def is_quiet(self) -> bool:
        """Tells that nothing arrived since the last answer.

        Bytes that arrive on an idle connection would be taken for the answer
        to the next request; an end of file means that the target closed the
        connection and runs nothing that is written to it.
        """
        if self.should_close or not self.is_connected():
            return False
        return not self._poll.poll(0)


class _Pool(aiohttp.BaseConnector):
    """Connections to one target."""

    def __init__(
        self,
        service: str,
        target: documents.Target,
        listener: upstream.ConnectionListener | None,
        limit: int,
    ) -> None:
        super().__init__(keepalive_timeout=_KEEP_S, limit=limit)
        self.address = target.address
        self.open = 0
        # Open connections that were aborted and will be lost.
        self.ending = 0
        self._service = service
        self._target = target.name
        self._listener = listener
        self._ip, self._port = config.parse_address(target.address)
        # The connector identifies its connections by a request object.
        self._request = aiohttp.ClientRequest(
            'GET',
            yarl.URL(f'http://{target.address}/'),
            loop=asyncio.get_running_loop(),
        )
        self._key = self._request.connection_key

    def opened(self) -> None:
        self.open += 1
        if self._listener is not None:
            self._listener.connection_opened(self._service, self._target)

    def lost(self) -> None:
        self.open -= 1
        if self._listener is not None:
            self._listener.connection_closed(self._service, self._target)

    def take_idle(self) -> connectors.Connection | None:
        """Returns a kept connection on which nothing is outstanding."""
        kept = self._conns.get(self._key)
        while kept:
            protocol, _ = kept.popleft()
            if protocol.is_quiet():
                self._acquired.add(protocol)
                return connectors.Connection(
                    self, self._key, protocol, self._loop
                )
            protocol.abort()
        return None

    async def take(self) -> connectors.Connection:
        """Returns a connection, a new one if none is idle."""
        while True:
            conn = await self.connect(self._request, [], _NO_TIMEOUT)
            if conn.protocol.is_quiet():
                return conn
            _abort(conn)

    def retire(self) -> None:
        """Closes idle connections now and the others after their answer."""
        self._force_close = True
        for kept in self._conns.values():
            for protocol, _ in kept:
                protocol.close()
        self._conns.clear()

    async def add(self) -> None:
        """Opens one more connection and keeps it idle."""
        protocol = await self._create_connection(self._request, [], _NO_TIMEOUT)
        connectors.Connection(self, self._key, protocol, self._loop).release()

    async def give_up(self, conn: connectors.Connection) -> None:
        """Closes the connection of a request that is no longer wanted.

        Another one is opened before the last one closes. Without any open
        connection the target could be another process, so the host would stop
        using it; callers that time out under overload would thus take target
        after target out of use.
        """
        protocol = conn.protocol
        if protocol is None or not protocol.is_connected():
            _abort(conn)
            return
        try:
            if self.open - self.ending <= 1:
                async with asyncio.timeout(_REPLACE_S):
                    await self.add()
        except (TimeoutError, OSError, aiohttp.ClientError):
            pass
        finally:
            if protocol.is_connected() and not protocol.ending:
                protocol.ending = True
                self.ending += 1
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
    """Sends each call once over a kept connection.

    Args:
        clock: Clock of the deadlines.
        listener: Is told of opened and closed connections.
        max_answer_bytes: Largest body of an answer.
        connections_per_target: Largest number of connections to a target.
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
        self._limit = connections_per_target
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
            raise attempt.error(errors.ConnectFailed, 'deadline passed')
        pool = self._pool(service, target)
        conn = pool.take_idle()
        if conn is None:
            conn = await attempt.connect(pool, remaining_s, before_send)
            remaining_s = call.deadline_s - self._clock.monotonic()
        return await attempt.run(pool, conn, remaining_s)

    async def keep_open(
        self, service: str, target: documents.Target, connections: int
    ) -> int:
        """Opens connections without a request; see the base class."""
        pool = self._pool(service, target)
        wanted = min(connections, self._limit) - pool.open
        if wanted > 0:
            try:
                async with asyncio.timeout(_OPEN_S):
                    await asyncio.gather(
                        *(pool.add() for _ in range(wanted)),
                        return_exceptions=True,
                    )
            except TimeoutError:
                pass
        return pool.open

    def open_connections(self, service: str, target: str) -> int:
        """Returns the number of open connections to a target."""
        pool = self._pools.get((service, target))
        return pool.open if pool is not None else 0

    def forget(self, service: str, target: str) -> None:
        """Lets go of a target that is no longer used.

        Requests that run on it are finished.
        """
        pool = self._pools.pop((service, target), None)
        if pool is not None:
            pool.retire()

    async def close(self) -> None:
        """Closes all connections."""
        pools = list(self._pools.values())
        self._pools.clear()
        for pool in pools:
            await pool.close()

    def dump(self) -> dict[str, object]:
        """Returns the number of open connections by service and target."""
        return {
            f'{service}/{target}': pool.open
            for (service, target), pool in self._pools.items()
        }

    def _pool(self, service: str, target: documents.Target) -> _Pool:
        key = (service, target.name)
        pool = self._pools.get(key)
        if pool is not None:
            if pool.address == target.address:
                return pool
            pool.retire()
        pool = _Pool(service, target, self._listener, self._limit)
        self._pools[key] = pool
        return pool


class _Attempt:
    """One request to one target.

    Attributes:
        sent: True once bytes were handed to the connection.
    """

    __slots__ = ('_call', '_max_bytes', '_target', 'sent')

    def __init__(
        self, target: documents.Target, call: calls.Call, max_bytes: int
    ) -> None:
        self._target = target
        self._call = call
        self._max_bytes = max_bytes
        self.sent = False

    def error(
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
            self._write(conn, remaining_s)
            # A timer of the loop costs less than a timeout context.
            timer = asyncio.get_running_loop().call_later(
                remaining_s, conn.protocol.expire
            )
            answer = await self._read(conn.protocol)
        except errors.TargetShed:
            # The answer is whole. A new connection for each shed would take
            # a full target out of use whenever its last one closes.
            conn.release()
            raise
        except BaseException:
            # Closing the connection is how the target learns of the
            # cancellation, and keeps a late answer from the next request.
            await pool.give_up(conn)
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
        """Waits for a connection; the request may be sent on return."""
        try:
            async with asyncio.timeout(remaining_s):
                conn = await pool.take()
        except TimeoutError as exc:
            raise self.error(
                errors.ConnectFailed, 'no connection before the deadline'
            ) from exc
        except (OSError, aiohttp.ClientError) as exc:
            raise self.error(errors.ConnectFailed, str(exc)) from exc
        if before_send is not None:
            try:
                before_send()
            except BaseException:
                conn.release()
                raise
        return conn

    def _write(self, conn: connectors.Connection, remaining_s: float) -> None:
        if remaining_s <= 0:
            raise self.error(errors.ConnectFailed, 'deadline passed')
        try:
            data = encode_request(self._call, self._target, remaining_s)
        except ValueError as exc:
            raise self.error(errors.ConnectFailed, str(exc)) from exc
        conn.protocol.set_response_params(
            skip_payload=self._call.method == 'HEAD',
            auto_decompress=False,
            read_until_eof=False,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
        )
        transport = conn.transport
        if transport is None or transport.is_closing():
            raise self.error(errors.ConnectFailed, 'connection is closed')
        self.sent = True
        transport.write(data)

    async def _read(
        self, protocol: client_proto.ResponseHandler
    ) -> upstream.TargetAnswer:
        try:
            while True:
                message, payload = await protocol.read()
                if message.code >= 200 or message.code == 101:
                    break
        except http_exceptions.HttpProcessingError as exc:
            raise self.error(
                errors.TargetError, f'answer is malformed: {exc.message}'
            ) from exc
        except aiohttp.SocketTimeoutError as exc:
            raise self._late() from exc
        except (aiohttp.ClientError, OSError, streams.EofStream) as exc:
            raise self.error(
                errors.ConnectionLost, 'connection broke before an answer'
            ) from exc
        self._check_framing(message)
        body = await self._read_body(message, payload)
        return self._decode(message, body)

    def _check_framing(self, message: http_parser.RawResponseMessage) -> None:
        """Refuses answers whose end could not be recognised."""
        if message.code == 101:
            raise self.error(errors.TargetError, 'unasked protocol upgrade')
        bodiless = (
            message.code in _STATUSES_WITHOUT_BODY
            or self._call.method == 'HEAD'
        )
        if bodiless or message.chunked:
            return
        length = message.headers.get('Content-Length')
        if length is None:
            raise self.error(
                errors.TargetError, 'answer has neither length nor chunks'
            )
        if int(length) > self._max_bytes:
            raise self._too_large()

    async def _read_body(
        self,
        message: http_parser.RawResponseMessage,
        payload: aiohttp.StreamReader,
    ) -> bytes:
        try:
            if payload.is_eof():
                body = payload.read_nowait()
                if len(body) > self._max_bytes:
                    raise self._too_large()
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
                    raise self._too_large()
        except aiohttp.SocketTimeoutError as exc:
            raise self._late() from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise self.error(
                errors.TruncatedAnswer, 'answer ended early'
            ) from exc

    def _decode(
        self, message: http_parser.RawResponseMessage, body: bytes
    ) -> upstream.TargetAnswer:
        headers: list[tuple[str, str]] = []
        incarnation = load = length = ''
        shed = draining = False
        drop = _NOT_RETURNED
        for raw_name, raw_value in message.raw_headers:
            name = raw_name.decode('latin-1').lower()
            value = raw_value.decode('latin-1')
            if name == 'connection':
                drop = drop | connection_names(value)
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
        running = _parse_running(load)
        if shed and message.code == 503:
            exc = self.error(errors.TargetShed, 'target sheds')
            exc.incarnation = incarnation
            exc.running = running
            exc.draining = draining
            raise exc
        headers = [item for item in headers if item[0] not in drop]
        if length and self._call.method == 'HEAD':
            headers.append(('content-length', length))
        return upstream.TargetAnswer(
            calls.Answer(message.code, headers, body, self._target.name),
            incarnation,
            running,
            draining,
        )

    def _late(self) -> errors.TargetError:
        return self.error(
            errors.AttemptTimeout, 'no whole answer before the deadline'
        )

    def _too_large(self) -> errors.TargetError:
        return self.error(
            errors.AnswerTooLarge,
            f'answer is larger than {self._max_bytes} bytes',
        )


def connection_names(value: str) -> set[str]:
    """Returns the header names listed in a `Connection` header."""
    return {name.strip().lower() for name in value.split(',')}


def encode_request(
    call: calls.Call, target: documents.Target, remaining_s: float
) -> bytes:
    """Returns head and body as they go to the target.

    Raises:
        ValueError: A part of the head has a character that would change how
            the target splits the head into lines.
    """
    lines = [
        f'{call.method} {call.path} HTTP/1.1',
        f'host: {target.address}',
        f'deadline-ms: {max(1, int(remaining_s * 1000))}',
        f'request-id: {call.call_id}',
    ]
    for name, value in call.headers:
        if name not in _NOT_SENT:
            lines.append(f'{name}: {value}')
    if call.body or call.method not in _METHODS_WITHOUT_BODY:
        lines.append(f'content-length: {len(call.body)}')
    head = '\r\n'.join(lines)
    breaks = len(lines) - 1
    if (
        head.count('\n') != breaks
        or head.count('\r') != breaks
        or '\0' in head
        or lines[0].count(' ') != 2
    ):
        raise ValueError('request head has a control character')
    return head.encode('latin-1') + b'\r\n\r\n' + call.body


def _parse_running(value: str) -> int:
    running = value.partition('/')[0]
    return int(running) if running.isascii() and running.isdigit() else -1


def _abort(conn: connectors.Connection) -> None:
    protocol = conn.protocol
    if protocol is not None:
        protocol.abort()
    conn.close()
