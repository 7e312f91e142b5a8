"""Transport between hosts over TCP, with a MAC on each frame.

A host connects to a peer when it first sends to it, with separate connections
for control messages and for bulk messages. An answer returns on the connection
of its request.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import random
import secrets
import socket
import time

from absl import logging

from ragwortchute import clock
from ragwortchute import codecs
from ragwortchute import config
from ragwortchute import errors
from ragwortchute import peers
from ragwortchute import wire
from ragwortchute.peers import frames

_CONNECT_TIMEOUT_S = 1.0
_HELLO_TIMEOUT_S = 2.0
_BACKOFF_INITIAL_S = 0.1
_BACKOFF_MAX_S = 5.0
_MAX_INVALID_FRAMES = 10
_MAX_HANDLERS_PER_CONNECTION = 256
_MAX_INBOUND_CONNECTIONS = 512
# The connecting side closes an idle connection first, so that it sends no
# message on a connection that the accepting side is about to close.
_CLIENT_IDLE_TIMEOUT_S = 60.0
_SERVER_IDLE_TIMEOUT_S = 180.0
# With the backoff between them, the checks last longer than it takes to detect
# missed heartbeats.
_PROCESS_CHECKS = 8
# Time until unacknowledged data breaks the connection. With the default of the
# kernel, a connection to a lost host would stay open for 15 minutes.
_TCP_USER_TIMEOUT_MS = 3000
_DRAIN_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Size limits of control or bulk connections.

    Attributes:
        frame_bytes: Maximum size of a frame.
        queue_bytes: Maximum size of the send queue. An empty queue accepts a
            frame of any allowed size.
    """

    frame_bytes: int
    queue_bytes: int


CONTROL_LIMITS = Limits(frame_bytes=1 << 20, queue_bytes=1 << 20)
# A bulk frame must hold an answer of 8 MiB with its headers.
BULK_LIMITS = Limits(frame_bytes=12 << 20, queue_bytes=16 << 20)


@dataclasses.dataclass(slots=True)
class Counts:
    """Counters since the start of the process.

    Attributes:
        sent_messages: Control frames put into a send queue.
        sent_bytes: Bytes of these frames, overhead included.
        received_messages: Valid control frames received.
        received_bytes: Bytes of these frames, overhead included.
        control_cpu_s: CPU seconds spent on encoding, decoding and MACs of
            control frames.
        bulk_sent_bytes: Bytes of bulk frames put into a send queue.
        bulk_received_bytes: Bytes of valid bulk frames received.
        dropped_frames: Frames that failed verification or decoding.
        late_answers: Answers received after their request had timed out.
        queue_full: Messages rejected because the send queue was full.
        connects: Connections opened by this host.
        connect_failures: Failed attempts to connect.
        handler_failures: Handler calls that raised an exception.
    """

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    control_cpu_s: float = 0.0
    bulk_sent_bytes: int = 0
    bulk_received_bytes: int = 0
    dropped_frames: int = 0
    late_answers: int = 0
    queue_full: int = 0
    connects: int = 0
    connect_failures: int = 0
    handler_failures: int = 0


class TcpTransport(peers.Transport):
    """Sends and receives messages over TCP.

    Args:
        me: This host.
        key: The deployment key.
        codec: Codec of the messages.
        time_source: Clock of the backoff.
        rng: Random source for the jitter of the backoff.

    Attributes:
        counts: Counters for metrics.
        incarnations: Last incarnation from an authenticated Hello, by host.
        on_reachability_change: Called with a host name and False if the
            process of the host appears to be gone: an established connection
            broke and the next one was refused. Called with True when the host
            is reachable again or the checks after a broken connection end.
    """

    def __init__(
        self,
        me: wire.Member,
        key: bytes,
        codec: codecs.Codec,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.me = me
        self.counts = Counts()
        self.incarnations: dict[str, int] = {}
        self.on_reachability_change: abc.Callable[[str, bool], None] = (
            lambda *_: None
        )
        self.codec = codec
        self.key = key
        self.clock = time_source
        self.rng = rng
        self._handlers: dict[type, peers.Handler] = {}
        self._addresses: dict[str, str] = {}
        self._links: dict[tuple[str, bool], _Link] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._inbound: set[_Connection] = set()
        self._inbound_count = 0
        self._server: asyncio.Server | None = None
        self._closed = False

    async def start(self, address: str) -> int:
        """Starts to listen for connections of peers.

        Args:
            address: `IP:port` to listen on; port 0 picks a free one.

        Returns:
            The port.

        Raises:
            OSError: The address can't be bound.
        """
        host, port = config.parse_address(address)
        self._server = await asyncio.start_server(self._accept, host, port)
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Closes all connections and cancels all tasks."""
        self._closed = True
        if self._server is not None:
            self._server.close()
        for link in self._links.values():
            link.close()
        for conn in list(self._inbound):
            conn.abort()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            await self._server.wait_closed()

    def on(
        self, message_type: type[peers.M], handler: peers.Handler[peers.M]
    ) -> None:
        """Sets the handler of a message class."""
        self._handlers[message_type] = handler

    def set_peer_address(self, host: str, peer_address: str) -> None:
        """Sets the address of a host, as `IP:port`.

        If the address changed, connections to the former one are closed.
        """
        if self._addresses.get(host) == peer_address:
            return
        self._addresses[host] = peer_address
        for bulk in (False, True):
            link = self._links.pop((host, bulk), None)
            if link is not None:
                link.close()

    async def send(
        self, host: str, message: wire.Message, *, bulk: bool = False
    ) -> None:
        """Sends a message without waiting for an answer.

        Raises:
            PeerUnreachable: No connection or a full queue; nothing was sent.
            FrameError: The message can't be encoded or is too large.
        """
        conn = await self._link(host, bulk).connection()
        conn.enqueue(frames.Kind.MESSAGE, 0, message)

    async def request(
        self,
        host: str,
        message: wire.Message,
        *,
        timeout_s: float,
        bulk: bool = False,
    ) -> wire.Message:
        """Sends a message and returns its answer.

        Raises:
            PeerUnreachable: No connection or a full queue; nothing was sent.
            PeerTimeout: No answer in time, or the connection broke; the peer
                may have processed the message.
            FrameError: The message can't be encoded or is too large.
        """
        # A timeout while connecting implies that nothing was sent.
        try:
            async with asyncio.timeout(timeout_s) as deadline:
                conn = await self._link(host, bulk).connection()
        except TimeoutError as exc:
            raise errors.PeerUnreachable(
                'not connected in time', step='connect', peer=host
            ) from exc
        return await conn.request(message, deadline.when())

    def spawn(self, coro: abc.Coroutine[None, None, None]) -> asyncio.Task:
        """Starts a task that `close` cancels."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def make_hello(self) -> wire.Hello:
        """Returns a Hello of this host with a new nonce."""
        return wire.Hello(
            host=self.me.host,
            incarnation=self.me.incarnation,
            region=self.me.region,
            failure_domain=self.me.failure_domain,
            nonce=secrets.token_bytes(frames.NONCE_BYTES),
        )

    async def handle(self, host: str, message: wire.Message) -> wire.Message:
        """Runs the handler of a message and returns its answer.

        If the handler is missing, fails or returns None, the result is the
        marker `_NO_ANSWER`.
        """
        handler = self._handlers.get(type(message))
        if handler is None:
            return _NO_ANSWER
        try:
            answer = await handler(host, message)
        except Exception:
            self.counts.handler_failures += 1
            logging.exception(
                'peers: handler failed, message=%s peer=%s',
                type(message).__name__,
                host,
            )
            return _NO_ANSWER
        return _NO_ANSWER if answer is None else answer

    def _link(self, host: str, bulk: bool) -> '_Link':
        if self._closed:
            raise errors.PeerUnreachable('closed', step='send', peer=host)
        link = self._links.get((host, bulk))
        if link is None:
            address = self._addresses.get(host)
            if address is None:
                raise errors.PeerUnreachable(
                    'no address is known', step='connect', peer=host
                )
            link = self._links[host, bulk] = _Link(self, host, address, bulk)
        return link

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # This runs in a task of the stream server. The connection is served in
        # a task that `close` cancels.
        if self._closed or self._inbound_count >= _MAX_INBOUND_CONNECTIONS:
            writer.transport.abort()
            return
        self._inbound_count += 1
        self.spawn(self._serve(reader, writer))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = None
        try:
            async with asyncio.timeout(_HELLO_TIMEOUT_S):
                conn = await _accept_handshake(self, reader, writer)
            self._inbound.add(conn)
            await conn.run(_SERVER_IDLE_TIMEOUT_S)
        except errors.FrameError as exc:
            self.counts.dropped_frames += 1
            logging.warning('peers: connection refused, cause=%s', exc)
        except (OSError, EOFError, TimeoutError) as exc:
            logging.info('peers: connection not set up, cause=%r', exc)
        finally:
            self._inbound_count -= 1
            writer.transport.abort()
            if conn is not None:
                self._inbound.discard(conn)


_NO_ANSWER = wire.Done(accepted=False)


class _Link:
    """Outbound link to a peer for control or bulk; connects on demand."""

    def __init__(
        self, transport: TcpTransport, host: str, address: str, bulk: bool
    ) -> None:
        self._transport = transport
        self._host = host
        self._address = address
        self._bulk = bulk
        self._conn: _Connection | None = None
        self._task: asyncio.Task[None] | None = None
        self._ready: asyncio.Future[_Connection] | None = None
        self._failures = 0
        self._retry_at_s = 0.0

    async def connection(self) -> '_Connection':
        """Returns an open connection.

        Raises:
            PeerUnreachable: The peer can't be reached now.
        """
        if self._conn is not None and self._conn.usable:
            return self._conn
        if self._ready is None:
            if self._transport.clock.monotonic() < self._retry_at_s:
                raise errors.PeerUnreachable(
                    'waiting to reconnect', step='connect', peer=self._host
                )
            self._ready = asyncio.get_running_loop().create_future()
            self._ready.add_done_callback(_consume_exception)
            self._task = self._transport.spawn(self._run(self._ready))
        # Several senders share one attempt; a cancelled sender must not cancel
        # it for the others.
        return await asyncio.shield(self._ready)

    def close(self) -> None:
        """Closes the connection by cancelling its task."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, ready: asyncio.Future['_Connection']) -> None:
        writer = None
        conn = None
        cause: Exception | None = None
        try:
            reader, writer = await self._connect()
            async with asyncio.timeout(_HELLO_TIMEOUT_S):
                conn = await _initiate_handshake(
                    self._transport, self._host, self._bulk, reader, writer
                )
            self._transport.counts.connects += 1
            self._failures = 0
            self._conn = conn
            self._ready = None
            ready.set_result(conn)
            await conn.run(_CLIENT_IDLE_TIMEOUT_S)
            if not conn.idle and not self._bulk:
                self._transport.spawn(self._check_process())
        except (OSError, EOFError, TimeoutError, errors.PeerError) as exc:
            cause = exc
            self._schedule_retry(exc)
        finally:
            # A sender may already have started the next attempt.
            if self._ready is ready:
                self._ready = None
            if self._conn is conn:
                self._conn = None
            if writer is not None:
                writer.transport.abort()
            if not ready.done():
                unreachable = errors.PeerUnreachable(
                    'no connection', step='connect', peer=self._host
                )
                unreachable.__cause__ = cause
                ready.set_exception(unreachable)

    async def _check_process(self) -> None:
        """Checks whether the process behind a broken connection is gone.

        A refused connection shows this seconds before heartbeats are missed.
        """
        time_source = self._transport.clock
        for _ in range(_PROCESS_CHECKS):
            try:
                await self.connection()
                break
            except errors.PeerError as exc:
                if isinstance(exc.__cause__, ConnectionRefusedError):
                    self._transport.on_reachability_change(self._host, False)
            await time_source.sleep(
                max(0.0, self._retry_at_s - time_source.monotonic())
            )
        self._transport.on_reachability_change(self._host, True)

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = config.parse_address(self._address)
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(host, port)

    def _schedule_retry(self, exc: Exception) -> None:
        transport = self._transport
        transport.counts.connect_failures += 1
        if isinstance(exc, errors.FrameError):
            transport.counts.dropped_frames += 1
        max_delay_s = min(
            _BACKOFF_MAX_S, _BACKOFF_INITIAL_S * 2**self._failures
        )
        self._failures = min(self._failures + 1, 16)
        delay_s = max_delay_s * transport.rng.uniform(0.5, 1.0)
        self._retry_at_s = transport.clock.monotonic() + delay_s
        logging.info(
            'peers: connect failed, peer=%s retry_s=%.2f cause=%r',
            self._host,
            delay_s,
            exc,
        )


class _Connection:
    """One authenticated connection, inbound or outbound.

    Attributes:
        usable: True until the connection breaks or is closed.
        idle: True if the connection was closed because it was idle.
    """

    def __init__(
        self,
        transport: TcpTransport,
        peer: wire.Hello,
        bulk: bool,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        signer: frames.FrameSigner,
        verifier: frames.FrameVerifier,
    ) -> None:
        self.usable = True
        self.idle = False
        self._transport = transport
        self._host = peer.host
        self._incarnation = peer.incarnation
        self._bulk = bulk
        self._limits = BULK_LIMITS if bulk else CONTROL_LIMITS
        self._reader = reader
        self._writer = writer
        self._signer = signer
        self._verifier = verifier
        self._queue: list[bytes] = []
        self._queued_bytes = 0
        self._queue_changed = asyncio.Event()
        self._pending_requests: dict[int, asyncio.Future[wire.Message]] = {}
        self._last_request_id = 0
        self._invalid_frames = 0
        self._handler_slots = asyncio.Semaphore(_MAX_HANDLERS_PER_CONNECTION)
        _set_user_timeout(writer)

    def abort(self) -> None:
        """Closes the connection at once, without sending queued frames."""
        self.usable = False
        self._writer.transport.abort()

    def enqueue(
        self, kind: frames.Kind, request_id: int, message: wire.Message | None
    ) -> None:
        """Adds a message to the send queue.

        Raises:
            PeerUnreachable: The connection is closed or the queue is full.
            FrameError: The message can't be encoded or is too large.
        """
        if not self.usable:
            raise errors.PeerUnreachable(
                'connection broke', step='send', peer=self._host
            )
        started_s = time.thread_time()
        body = b'' if message is None else self._transport.codec.encode(message)
        size = len(body) + frames.OVERHEAD_BYTES
        self._check_size_limits(size)
        self._queue.append(self._signer.sign(kind, request_id, body))
        self._queued_bytes += size
        self._queue_changed.set()
        counts = self._transport.counts
        if self._bulk:
            counts.bulk_sent_bytes += size
            return
        counts.sent_messages += 1
        counts.sent_bytes += size
        counts.control_cpu_s += time.thread_time() - started_s

    async def request(
        self, message: wire.Message, deadline_s: float | None
    ) -> wire.Message:
        """Sends a request and waits for its answer.

        Args:
            message: The request.
            deadline_s: Time of the event loop at which the wait ends, in
                seconds; None for no limit.

        Raises:
            PeerUnreachable: The request was not sent.
            PeerTimeout: No answer was received; the peer may have processed
                the request.
            FrameError: The message can't be encoded or is too large.
        """
        self._last_request_id += 1
        request_id = self._last_request_id
        self.enqueue(frames.Kind.REQUEST, request_id, message)
        fut = asyncio.get_running_loop().create_future()
        self._pending_requests[request_id] = fut
        try:
            async with asyncio.timeout_at(deadline_s):
                return await fut
        except TimeoutError as exc:
            raise errors.PeerTimeout(
                'no answer in time', step='request', peer=self._host
            ) from exc
        finally:
            self._pending_requests.pop(request_id, None)

    async def run(self, idle_s: float) -> None:
        """Reads and writes frames until the connection ends.

        Args:
            idle_s: Time without a received frame after which the connection is
                closed, in seconds; it stays open while requests are pending.
        """
        write = self._transport.spawn(self._write())
        # The write task may notice a broken connection first.
        write.add_done_callback(lambda _: self.abort())
        try:
            await self._read(idle_s)
        except (OSError, EOFError) as exc:
            logging.info(
                'peers: connection ended, peer=%s cause=%r', self._host, exc
            )
        except errors.FrameError as exc:
            self._transport.counts.dropped_frames += 1
            logging.warning(
                'peers: connection closed, peer=%s cause=%s', self._host, exc
            )
        finally:
            self.abort()
            write.cancel()
            self._fail_pending()
            await asyncio.gather(write, return_exceptions=True)

    async def _read(self, idle_s: float) -> None:
        while self._invalid_frames < _MAX_INVALID_FRAMES:
            try:
                async with asyncio.timeout(idle_s):
                    mac, payload = await frames.read(
                        self._reader, self._limits.frame_bytes
                    )
            except TimeoutError:
                if self._pending_requests:
                    continue
                self.idle = True
                return
            try:
                kind, request_id, message = self._decode_frame(mac, payload)
            except errors.FrameError as exc:
                self._invalid_frames += 1
                self._transport.counts.dropped_frames += 1
                logging.warning(
                    'peers: frame dropped, peer=%s cause=%s', self._host, exc
                )
                continue
            await self._dispatch(kind, request_id, message)

    def _decode_frame(
        self, mac: bytes, payload: bytes
    ) -> tuple[frames.Kind, int, wire.Message]:
        started_s = time.thread_time()
        kind, request_id, body = self._verifier.verify(mac, payload)
        if kind is frames.Kind.NO_ANSWER:
            message: wire.Message = _NO_ANSWER
        else:
            message = self._transport.codec.decode(body)
        # Only a valid frame proves that the Hello was not replayed.
        self._transport.incarnations[self._host] = self._incarnation
        size = len(body) + frames.OVERHEAD_BYTES
        counts = self._transport.counts
        if self._bulk:
            counts.bulk_received_bytes += size
        else:
            counts.received_messages += 1
            counts.received_bytes += size
            counts.control_cpu_s += time.thread_time() - started_s
        return kind, request_id, message

    async def _dispatch(
        self, kind: frames.Kind, request_id: int, message: wire.Message
    ) -> None:
        if kind in (frames.Kind.ANSWER, frames.Kind.NO_ANSWER):
            self._resolve_request(kind, request_id, message)
        elif kind in (frames.Kind.MESSAGE, frames.Kind.REQUEST):
            # Pauses reading while too many handlers run.
            await self._handler_slots.acquire()
            self._transport.spawn(self._handle(kind, request_id, message))

    def _resolve_request(
        self, kind: frames.Kind, request_id: int, message: wire.Message
    ) -> None:
        fut = self._pending_requests.pop(request_id, None)
        if fut is None or fut.done():
            self._transport.counts.late_answers += 1
        elif kind is frames.Kind.ANSWER:
            fut.set_result(message)
        else:
            fut.set_exception(
                errors.PeerTimeout(
                    'the peer has no answer', step='request', peer=self._host
                )
            )

    async def _handle(
        self, kind: frames.Kind, request_id: int, message: wire.Message
    ) -> None:
        try:
            answer = await self._transport.handle(self._host, message)
            if kind is frames.Kind.MESSAGE or answer is peers.UNANSWERED:
                return
            if answer is _NO_ANSWER:
                self.enqueue(frames.Kind.NO_ANSWER, request_id, None)
            else:
                self.enqueue(frames.Kind.ANSWER, request_id, answer)
        except errors.PeerError as exc:
            logging.warning(
                'peers: answer not sent, peer=%s cause=%s', self._host, exc
            )
            with contextlib.suppress(errors.PeerError):
                self.enqueue(frames.Kind.NO_ANSWER, request_id, None)
        finally:
            self._handler_slots.release()

    async def _write(self) -> None:
        while self.usable:
            await self._queue_changed.wait()
            self._queue_changed.clear()
            batch = b''.join(self._queue)
            self._queue.clear()
            self._writer.write(batch)
            try:
                async with asyncio.timeout(_DRAIN_TIMEOUT_S):
                    await self._writer.drain()
            except (OSError, TimeoutError):
                return
            self._queued_bytes -= len(batch)

    def _check_size_limits(self, size: int) -> None:
        if size > self._limits.frame_bytes:
            raise errors.FrameError(
                f'frame of {size} bytes exceeds {self._limits.frame_bytes}',
                step='send',
                peer=self._host,
            )
        if (
            self._queued_bytes
            and self._queued_bytes + size > self._limits.queue_bytes
        ):
            self._transport.counts.queue_full += 1
            raise errors.PeerUnreachable(
                'send queue is full', step='send', peer=self._host
            )

    def _fail_pending(self) -> None:
        for fut in self._pending_requests.values():
            if not fut.done():
                fut.set_exception(
                    errors.PeerTimeout(
                        'connection broke', step='request', peer=self._host
                    )
                )


async def _initiate_handshake(
    transport: TcpTransport,
    host: str,
    bulk: bool,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> _Connection:
    """Performs the handshake on a connection that this host opened."""
    kind = frames.Kind.HELLO_BULK if bulk else frames.Kind.HELLO_CONTROL
    own_hello = transport.codec.encode(transport.make_hello())
    hello_key = frames.session_key(transport.key, b'hello', b'', b'')
    writer.write(frames.FrameSigner(hello_key).sign(kind, 0, own_hello))
    mac, payload = await frames.read(reader, CONTROL_LIMITS.frame_bytes)
    # The key of the answer is derived from the Hello of this host, so the
    # answer can't be a replay.
    answer_key = frames.session_key(transport.key, b'answer', own_hello, b'')
    answer_kind, _, peer_hello = frames.FrameVerifier(answer_key).verify(
        mac, payload
    )
    peer = _decode_hello(transport, peer_hello)
    if answer_kind is not kind or peer.host != host:
        raise errors.FrameError(
            f'the peer identifies itself as {peer.host!r}',
            step='hello',
            peer=host,
        )
    signer = frames.FrameSigner(
        frames.session_key(transport.key, b'out', own_hello, peer_hello)
    )
    verifier = frames.FrameVerifier(
        frames.session_key(transport.key, b'back', own_hello, peer_hello)
    )
    return _Connection(transport, peer, bulk, reader, writer, signer, verifier)


async def _accept_handshake(
    transport: TcpTransport,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> _Connection:
    """Performs the handshake on a connection that a peer opened."""
    mac, payload = await frames.read(reader, CONTROL_LIMITS.frame_bytes)
    hello_key = frames.session_key(transport.key, b'hello', b'', b'')
    kind, _, peer_hello = frames.FrameVerifier(hello_key).verify(mac, payload)
    if kind not in (frames.Kind.HELLO_CONTROL, frames.Kind.HELLO_BULK):
        raise errors.FrameError(
            'the first message is not a Hello', step='hello'
        )
    peer = _decode_hello(transport, peer_hello)
    own_hello = transport.codec.encode(transport.make_hello())
    answer_key = frames.session_key(transport.key, b'answer', peer_hello, b'')
    writer.write(frames.FrameSigner(answer_key).sign(kind, 0, own_hello))
    signer = frames.FrameSigner(
        frames.session_key(transport.key, b'back', peer_hello, own_hello)
    )
    verifier = frames.FrameVerifier(
        frames.session_key(transport.key, b'out', peer_hello, own_hello)
    )
    bulk = kind is frames.Kind.HELLO_BULK
    return _Connection(transport, peer, bulk, reader, writer, signer, verifier)


def _decode_hello(transport: TcpTransport, body: bytes) -> wire.Hello:
    hello = transport.codec.decode(body)
    if not isinstance(hello, wire.Hello):
        raise errors.FrameError(
            'the first message is not a Hello', step='hello'
        )
    if len(hello.nonce) != frames.NONCE_BYTES:
        raise errors.FrameError('the nonce has the wrong length', step='hello')
    return hello


def _set_user_timeout(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
        )


def _consume_exception(fut: asyncio.Future[_Connection]) -> None:
    # All senders may have been cancelled before the attempt fails; asyncio
    # would log an exception that was never retrieved.
    if not fut.cancelled():
        fut.exception()
