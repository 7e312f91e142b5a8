"""Transport between hosts over TCP, authenticated frame by frame.

Each host opens its own connections to a peer, one for control and one for
bulk, when it first sends to it. Answers return on the connection of their
request.
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

_CONNECT_S = 1.0
_HELLO_S = 2.0
_BACKOFF_FIRST_S = 0.1
_BACKOFF_MAX_S = 5.0
_MAX_DROPPED_FRAMES = 10
_MAX_HANDLERS = 256
_MAX_INBOUND = 512
# The side that connected closes first, so that no message is sent on a
# connection that the other side is about to close.
_IDLE_CLIENT_S = 60.0
_IDLE_SERVER_S = 180.0
# With the backoff between them these take longer than the missing heartbeats.
_PROCESS_CHECKS = 8
# Unacknowledged data breaks the connection after this time; the default of
# the kernel would keep a connection to a lost host for 15 minutes.
_UNACKED_MS = 3000
_DRAIN_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one kind of connection.

    Attributes:
        frame_bytes: Largest frame.
        queue_bytes: Most bytes waiting to be written; one frame may always
            wait.
    """

    frame_bytes: int
    queue_bytes: int


CONTROL_LIMITS = Limits(frame_bytes=1 << 20, queue_bytes=1 << 20)
# A bulk frame holds an answer of 8 MiB with its head.
BULK_LIMITS = Limits(frame_bytes=12 << 20, queue_bytes=16 << 20)


@dataclasses.dataclass(slots=True)
class Counts:
    """Totals since start.

    Attributes:
        sent_messages: Control frames written.
        sent_bytes: Their bytes, frames included.
        received_messages: Control frames accepted.
        received_bytes: Their bytes, frames included.
        control_cpu_s: CPU seconds of encoding, decoding and MACs for control.
        bulk_sent_bytes: Bytes written on bulk connections.
        bulk_received_bytes: Bytes accepted on bulk connections.
        dropped_frames: Frames that failed their check or decoding.
        late_answers: Answers whose request was given up before.
        queue_full: Messages refused because the send queue was full.
        connects: Connections opened by this host.
        connect_failures: Attempts to connect that failed.
        handler_failures: Handlers that raised.
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
        time_source: Clock for the backoff.
        rng: Source of jitter.

    Attributes:
        counts: Totals for metrics.
        incarnations: Last incarnation seen in a Hello, by host.
        on_reach: Is told of a host whose process is gone (False: a kept
            connection broke and the next one is refused), and of its return.
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
        self.on_reach: abc.Callable[[str, bool], None] = lambda *_: None
        self.codec = codec
        self.key = key
        self.clock = time_source
        self.rng = rng
        self._handlers: dict[type, peers.Handler] = {}
        self._addresses: dict[str, str] = {}
        self._links: dict[tuple[str, bool], _Link] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._inbound: set[_Connection] = set()
        self._serving = 0
        self._server: asyncio.Server | None = None
        self._closed = False

    async def start(self, address: str) -> int:
        """Listens on `IP:port` and returns the port.

        Raises:
            OSError: The address can't be bound.
        """
        host, port = config.parse_address(address)
        self._server = await asyncio.start_server(self._accept, host, port)
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Closes all connections and ends all tasks."""
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

    def on(self, kind: type[peers.M], handler: peers.Handler[peers.M]) -> None:
        """Sets the handler of a message class."""
        self._handlers[kind] = handler

    def learn(self, host: str, peer_address: str) -> None:
        """Sets the `IP:port` under which a host is reached."""
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
        """Sends a message without an answer.

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
                may have acted.
            FrameError: The message can't be encoded or is too large.
        """
        # A timeout while still connecting proves that nothing was sent.
        try:
            async with asyncio.timeout(timeout_s) as limit:
                conn = await self._link(host, bulk).connection()
        except TimeoutError as exc:
            raise errors.PeerUnreachable(
                'not connected in time', step='connect', peer=host
            ) from exc
        return await conn.request(message, limit.when())

    def spawn(self, coro: abc.Coroutine[None, None, None]) -> asyncio.Task:
        """Starts a task that `close` ends."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def hello(self) -> wire.Hello:
        """Returns a Hello of this host with a new nonce."""
        return wire.Hello(
            host=self.me.host,
            incarnation=self.me.incarnation,
            region=self.me.region,
            failure_domain=self.me.failure_domain,
            nonce=secrets.token_bytes(frames.NONCE_BYTES),
        )

    async def handle(self, host: str, message: wire.Message) -> wire.Message:
        """Runs the handler of a message; `Done` stands for no answer."""
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
        # Runs in a task of the stream server; the connection gets its own.
        if self._closed or self._serving >= _MAX_INBOUND:
            writer.transport.abort()
            return
        self._serving += 1
        self.spawn(self._serve(reader, writer))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = None
        try:
            async with asyncio.timeout(_HELLO_S):
                conn = await _answer_hello(self, reader, writer)
            self._inbound.add(conn)
            await conn.run(_IDLE_SERVER_S)
        except errors.FrameError as exc:
            self.counts.dropped_frames += 1
            logging.warning('peers: connection refused, cause=%s', exc)
        except (OSError, EOFError, TimeoutError) as exc:
            logging.info('peers: connection not set up, cause=%r', exc)
        finally:
            self._serving -= 1
            writer.transport.abort()
            if conn is not None:
                self._inbound.discard(conn)


_NO_ANSWER = wire.Done(accepted=False)


class _Link:
    """The way to one peer; connects when something is sent."""

    def __init__(
        self, owner: TcpTransport, host: str, address: str, bulk: bool
    ) -> None:
        self._owner = owner
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
            if self._owner.clock.monotonic() < self._retry_at_s:
                raise errors.PeerUnreachable(
                    'waiting to reconnect', step='connect', peer=self._host
                )
            self._ready = asyncio.get_running_loop().create_future()
            self._ready.add_done_callback(_retrieve)
            self._task = self._owner.spawn(self._run(self._ready))
        # Several senders wait for one attempt; none may cancel it.
        return await asyncio.shield(self._ready)

    def close(self) -> None:
        """Ends the connection and its task."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, ready: asyncio.Future['_Connection']) -> None:
        writer = None
        conn = None
        cause: Exception | None = None
        try:
            reader, writer = await self._open()
            async with asyncio.timeout(_HELLO_S):
                conn = await _send_hello(
                    self._owner, self._host, self._bulk, reader, writer
                )
            self._owner.counts.connects += 1
            self._failures = 0
            self._conn = conn
            self._ready = None
            ready.set_result(conn)
            await conn.run(_IDLE_CLIENT_S)
            if not conn.idle and not self._bulk:
                self._owner.spawn(self._check_process())
        except (OSError, EOFError, TimeoutError, errors.PeerError) as exc:
            cause = exc
            self._back_off(exc)
        finally:
            # A sender may have started the next attempt meanwhile.
            if self._ready is ready:
                self._ready = None
            if self._conn is conn:
                self._conn = None
            if writer is not None:
                writer.transport.abort()
            if not ready.done():
                failure = errors.PeerUnreachable(
                    'no connection', step='connect', peer=self._host
                )
                failure.__cause__ = cause
                ready.set_exception(failure)

    async def _check_process(self) -> None:
        """Finds out whether the process behind a broken connection is gone.

        A refused connection says so seconds before heartbeats are missed.
        """
        clock_ = self._owner.clock
        for _ in range(_PROCESS_CHECKS):
            try:
                await self.connection()
                break
            except errors.PeerError as exc:
                if isinstance(exc.__cause__, ConnectionRefusedError):
                    self._owner.on_reach(self._host, False)
            await clock_.sleep(max(0.0, self._retry_at_s - clock_.monotonic()))
        self._owner.on_reach(self._host, True)

    async def _open(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = config.parse_address(self._address)
        async with asyncio.timeout(_CONNECT_S):
            return await asyncio.open_connection(host, port)

    def _back_off(self, exc: Exception) -> None:
        owner = self._owner
        owner.counts.connect_failures += 1
        if isinstance(exc, errors.FrameError):
            owner.counts.dropped_frames += 1
        bound = min(_BACKOFF_MAX_S, _BACKOFF_FIRST_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        delay_s = bound * owner.rng.uniform(0.5, 1.0)
        self._retry_at_s = owner.clock.monotonic() + delay_s
        logging.info(
            'peers: connect failed, peer=%s retry_s=%.2f cause=%r',
            self._host,
            delay_s,
            exc,
        )


class _Connection:
    """One authenticated connection, in either direction.

    Attributes:
        usable: True until the connection breaks or is closed.
        idle: True if it was closed because nothing was sent.
    """

    def __init__(
        self,
        owner: TcpTransport,
        peer: wire.Hello,
        bulk: bool,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sealer: frames.Sealer,
        opener: frames.Opener,
    ) -> None:
        self.usable = True
        self.idle = False
        self._owner = owner
        self._host = peer.host
        self._incarnation = peer.incarnation
        self._bulk = bulk
        self._limits = BULK_LIMITS if bulk else CONTROL_LIMITS
        self._reader = reader
        self._writer = writer
        self._sealer = sealer
        self._opener = opener
        self._queue: list[bytes] = []
        self._queued_bytes = 0
        self._wake = asyncio.Event()
        self._pending: dict[int, asyncio.Future[wire.Message]] = {}
        self._last_id = 0
        self._dropped = 0
        self._handlers = asyncio.Semaphore(_MAX_HANDLERS)
        _tune(writer)

    def abort(self) -> None:
        """Breaks the connection."""
        self.usable = False
        self._writer.transport.abort()

    def enqueue(
        self, kind: frames.Kind, request_id: int, message: wire.Message | None
    ) -> None:
        """Puts a message into the send queue.

        Raises:
            PeerUnreachable: The connection broke or the queue is full.
            FrameError: The message can't be encoded or is too large.
        """
        if not self.usable:
            raise errors.PeerUnreachable(
                'connection broke', step='send', peer=self._host
            )
        began_s = time.thread_time()
        body = b'' if message is None else self._owner.codec.encode(message)
        size = len(body) + frames.OVERHEAD_BYTES
        self._check_room(size)
        self._queue.append(self._sealer.seal(kind, request_id, body))
        self._queued_bytes += size
        self._wake.set()
        counts = self._owner.counts
        if self._bulk:
            counts.bulk_sent_bytes += size
            return
        counts.sent_messages += 1
        counts.sent_bytes += size
        counts.control_cpu_s += time.thread_time() - began_s

    async def request(
        self, message: wire.Message, until: float | None
    ) -> wire.Message:
        """Sends a request and waits for its answer until a loop time.

        Raises:
            PeerUnreachable: The request was not sent.
            PeerTimeout: No answer came; the peer may have acted.
        """
        self._last_id += 1
        request_id = self._last_id
        self.enqueue(frames.Kind.REQUEST, request_id, message)
        fut = asyncio.get_running_loop().create_future()
        self._pending[request_id] = fut
        try:
            async with asyncio.timeout_at(until):
                return await fut
        except TimeoutError as exc:
            raise errors.PeerTimeout(
                'no answer in time', step='request', peer=self._host
            ) from exc
        finally:
            self._pending.pop(request_id, None)

    async def run(self, idle_s: float) -> None:
        """Reads and writes until the connection ends."""
        write = self._owner.spawn(self._write())
        # The writer may find the broken connection first.
        write.add_done_callback(lambda _: self.abort())
        try:
            await self._read(idle_s)
        except (OSError, EOFError) as exc:
            logging.info(
                'peers: connection ended, peer=%s cause=%r', self._host, exc
            )
        except errors.FrameError as exc:
            self._owner.counts.dropped_frames += 1
            logging.warning(
                'peers: connection closed, peer=%s cause=%s', self._host, exc
            )
        finally:
            self.abort()
            write.cancel()
            self._fail_pending()
            await asyncio.gather(write, return_exceptions=True)

    async def _read(self, idle_s: float) -> None:
        while self._dropped < _MAX_DROPPED_FRAMES:
            try:
                async with asyncio.timeout(idle_s):
                    mac, payload = await frames.read(
                        self._reader, self._limits.frame_bytes
                    )
            except TimeoutError:
                if self._pending:
                    continue
                self.idle = True
                return
            try:
                kind, request_id, message = self._open(mac, payload)
            except errors.FrameError as exc:
                self._dropped += 1
                self._owner.counts.dropped_frames += 1
                logging.warning(
                    'peers: frame dropped, peer=%s cause=%s', self._host, exc
                )
                continue
            await self._dispatch(kind, request_id, message)

    def _open(
        self, mac: bytes, payload: bytes
    ) -> tuple[frames.Kind, int, wire.Message]:
        began_s = time.thread_time()
        kind, request_id, body = self._opener.open(mac, payload)
        if kind is frames.Kind.NO_ANSWER:
            message: wire.Message = _NO_ANSWER
        else:
            message = self._owner.codec.decode(body)
        # Only a valid frame proves that a Hello was not replayed.
        self._owner.incarnations[self._host] = self._incarnation
        size = len(body) + frames.OVERHEAD_BYTES
        counts = self._owner.counts
        if self._bulk:
            counts.bulk_received_bytes += size
        else:
            counts.received_messages += 1
            counts.received_bytes += size
            counts.control_cpu_s += time.thread_time() - began_s
        return kind, request_id, message

    async def _dispatch(
        self, kind: frames.Kind, request_id: int, message: wire.Message
    ) -> None:
        if kind in (frames.Kind.ANSWER, frames.Kind.NO_ANSWER):
            self._settle(kind, request_id, message)
        elif kind in (frames.Kind.MESSAGE, frames.Kind.REQUEST):
            # Stops reading while too many handlers run.
            await self._handlers.acquire()
            self._owner.spawn(self._handle(kind, request_id, message))

    def _settle(
        self, kind: frames.Kind, request_id: int, message: wire.Message
    ) -> None:
        fut = self._pending.pop(request_id, None)
        if fut is None or fut.done():
            self._owner.counts.late_answers += 1
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
            answer = await self._owner.handle(self._host, message)
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
            self._handlers.release()

    async def _write(self) -> None:
        while self.usable:
            await self._wake.wait()
            self._wake.clear()
            batch = b''.join(self._queue)
            self._queue.clear()
            self._writer.write(batch)
            try:
                async with asyncio.timeout(_DRAIN_S):
                    await self._writer.drain()
            except (OSError, TimeoutError):
                return
            self._queued_bytes -= len(batch)

    def _check_room(self, size: int) -> None:
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
            self._owner.counts.queue_full += 1
            raise errors.PeerUnreachable(
                'send queue is full', step='send', peer=self._host
            )

    def _fail_pending(self) -> None:
        for fut in self._pending.values():
            if not fut.done():
                fut.set_exception(
                    errors.PeerTimeout(
                        'connection broke', step='request', peer=self._host
                    )
                )


async def _send_hello(
    owner: TcpTransport,
    host: str,
    bulk: bool,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> _Connection:
    """Sets up a connection that this host opened."""
    kind = frames.Kind.HELLO_BULK if bulk else frames.Kind.HELLO_CONTROL
    mine = owner.codec.encode(owner.hello())
    hello_key = frames.session_key(owner.key, b'hello', b'', b'')
    writer.write(frames.Sealer(hello_key).seal(kind, 0, mine))
    mac, payload = await frames.read(reader, CONTROL_LIMITS.frame_bytes)
    # The key of the answer covers this Hello, so the answer is fresh.
    answer_key = frames.session_key(owner.key, b'answer', mine, b'')
    got_kind, _, theirs = frames.Opener(answer_key).open(mac, payload)
    peer = _check_hello(owner, theirs)
    if got_kind is not kind or peer.host != host:
        raise errors.FrameError(
            f'the peer says it is {peer.host!r}', step='hello', peer=host
        )
    sealer = frames.Sealer(frames.session_key(owner.key, b'out', mine, theirs))
    opener = frames.Opener(frames.session_key(owner.key, b'back', mine, theirs))
    return _Connection(owner, peer, bulk, reader, writer, sealer, opener)


async def _answer_hello(
    owner: TcpTransport,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> _Connection:
    """Sets up a connection that a peer opened."""
    mac, payload = await frames.read(reader, CONTROL_LIMITS.frame_bytes)
    hello_key = frames.session_key(owner.key, b'hello', b'', b'')
    kind, _, theirs = frames.Opener(hello_key).open(mac, payload)
    if kind not in (frames.Kind.HELLO_CONTROL, frames.Kind.HELLO_BULK):
        raise errors.FrameError('the first message is no Hello', step='hello')
    peer = _check_hello(owner, theirs)
    mine = owner.codec.encode(owner.hello())
    answer_key = frames.session_key(owner.key, b'answer', theirs, b'')
    writer.write(frames.Sealer(answer_key).seal(kind, 0, mine))
    sealer = frames.Sealer(frames.session_key(owner.key, b'back', theirs, mine))
    opener = frames.Opener(frames.session_key(owner.key, b'out', theirs, mine))
    bulk = kind is frames.Kind.HELLO_BULK
    return _Connection(owner, peer, bulk, reader, writer, sealer, opener)


def _check_hello(owner: TcpTransport, body: bytes) -> wire.Hello:
    hello = owner.codec.decode(body)
    if not isinstance(hello, wire.Hello):
        raise errors.FrameError('the first message is no Hello', step='hello')
    if len(hello.nonce) != frames.NONCE_BYTES:
        raise errors.FrameError('the nonce has a wrong length', step='hello')
    return hello


def _tune(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKED_MS
        )


def _retrieve(fut: asyncio.Future[_Connection]) -> None:
    # The senders may be gone by the time the attempt fails.
    if not fut.cancelled():
        fut.exception()
