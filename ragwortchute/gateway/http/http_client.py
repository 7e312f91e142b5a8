"""HTTP/1.1 client connection to a target, another host or the store.

A connection carries one request at a time and never resends it. Responses that
do not belong to the request are skipped, since a target may send a response
twice or late. A long response may be passed on while it arrives.
"""

import asyncio
import collections
from collections import abc

import httptools
import msgspec

from ragwortchute import errors
from ragwortchute.gateway.http import answer_memory
from ragwortchute.gateway.http import body_stream
from ragwortchute.gateway.http import keepalive

MAX_BODY_BYTES = 16 << 20
# Bytes received for one request that belong to no body: heads, interim
# responses, trailers and the framing of chunks.
MAX_FRAMING_BYTES = 64 << 10
# Framing of a chunk that carries a single byte, rounded up.
FRAMING_BYTES_PER_BODY_BYTE = 8
# A body of one part up to this length is written together with its head.
MAX_JOINED_BYTES = 64 << 10
# A response that may be passed on while it arrives is collected up to this
# length, so that the request can be sent elsewhere if it breaks off.
MAX_COLLECTED_BYTES = 64 << 10
CONNECT_TIMEOUT_S = 1.0

_BODYLESS_STATUSES = frozenset({204, 304})
# All connections read into it, one after another.
_READ_BUFFER = memoryview(bytearray(256 << 10))
_SMALL_READ_BUFFER = _READ_BUFFER[: answer_memory.SMALL_ANSWER_BYTES]


class Reply(msgspec.Struct):
    """An HTTP response whose head is complete.

    Attributes:
        status: HTTP status code.
        headers: Names in lower case and values, in the order received.
        body: Body, decoded from chunks.
        reusable: Whether the connection may carry another request.
        rest: Body that is still arriving; `body` is empty then, and the
            connection is in use until its end.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes = b''
    reusable: bool = True
    rest: body_stream.BodyStream | None = None

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def discard_rest(self) -> None:
        """Ends a body that is still arriving, and its connection."""
        if self.rest is not None:
            self.rest.discard()


# Returns whether a response belongs to the pending request.
Accept = abc.Callable[[Reply], bool]


class ClientConnection(asyncio.BufferedProtocol):
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
        '_length',
        '_loop',
        '_memory',
        '_on_lost',
        '_on_part',
        '_parser',
        '_peer',
        '_received_body_bytes',
        '_received_bytes',
        '_share',
        '_skipping',
        '_streamed_reply',
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
        # Memory for a long response, and its share of it.
        self._memory: answer_memory.AnswerMemory | None = None
        self._share: answer_memory.Share | None = None
        self._length: int | None = None
        # Response that is passed on while it arrives.
        self._streamed_reply: Reply | None = None
        # Whether the body that arrives belongs to no request.
        self._skipping = False
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
        memory: answer_memory.AnswerMemory | None = None,
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
            memory: Memory for long responses. If it is given, the future of a
                long response is done once that is known, and the rest of its
                body is passed on while it arrives.
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
        self._memory = memory
        self._streamed_reply = None
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
            keepalive.set_keepalive(sock)

    def get_buffer(self, sizehint: int) -> memoryview:
        """See base class; a long response is read in parts of its share."""
        if self._memory is None:
            return _READ_BUFFER
        if self._share is None:
            return _SMALL_READ_BUFFER
        return _READ_BUFFER[
            : min(answer_memory.MAX_READ_BYTES, self._share.half_bytes)
        ]

    def buffer_updated(self, nbytes: int) -> None:
        """See base class."""
        self.data_received(_READ_BUFFER[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parses received bytes."""
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
            if self._memory is not None:
                self._check_length()

    def eof_received(self) -> bool:
        """See base class."""
        if self._fut is not None and not self._delimited:
            self._accept_complete(reusable=False)
            if self._accepted_reply is not None:
                self._finish(self._accepted_reply)
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
        self._length = None
        self._skipping = False
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
        framing = dict(self._headers)
        if b'transfer-encoding' in framing:
            return
        length = framing.get(b'content-length')
        if length is None:
            self._delimited = False
            return
        self._length = int(length)
        if self._memory is not None and self._length > MAX_BODY_BYTES:
            self._fail_too_large()

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._body_bytes += len(body)
        self._received_body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._fail_too_large()
            return
        if self._streamed_reply is not None:
            if self._accepted_reply is None:
                self._streamed_reply.rest.add(body)
        elif not self._skipping:
            self._body.append(body)
        if self._on_part is not None:
            self._on_part()

    def on_message_complete(self) -> None:
        """Stores the response if it belongs to the request."""
        if self._parser.get_status_code() >= 200:
            self._accept_complete(reusable=self._parser.should_keep_alive())

    def _accept_complete(self, *, reusable: bool) -> None:
        """Stores a response whose body is complete."""
        reply = self._streamed_reply
        if reply is None and not self._skipping:
            status = self._parser.get_status_code()
            body = b''.join(self._body)
            self._accept_reply(Reply(status, self._headers, body, reusable))
        elif reply is not None and self._accepted_reply is None:
            reply.reusable = reusable
            self._accepted_reply = reply

    def _accept_reply(self, reply: Reply) -> None:
        if self._accepted_reply is not None or self._fut is None:
            return
        if self._accept is None or self._accept(reply):
            self._accepted_reply = reply

    def _check_length(self) -> None:
        """Passes on or skips a response that has become long."""
        if self._fut is None or self._streamed_reply is not None:
            return
        if self._share is None:
            if self._received_bytes <= answer_memory.SMALL_ANSWER_BYTES:
                return
            self._share = answer_memory.Share(self._memory)
        limit_bytes = min(MAX_COLLECTED_BYTES, self._share.half_bytes)
        if self._skipping or self._body_bytes <= limit_bytes:
            return
        parts, self._body = self._body, []
        status = self._parser.get_status_code()
        reply = Reply(status, list(self._headers), b'', False)
        if self._accept is not None and not self._accept(reply):
            self._skipping = True
            return
        reply.rest = body_stream.BodyStream(
            self._transport, self._peer, self._share, parts, self._length
        )
        self._streamed_reply = reply
        if self._fut.done():
            # Nobody awaits the response any more.
            reply.rest.discard()
        else:
            self._fut.set_result(reply)

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
        # It holds the request, and an idle connection would keep that.
        self._accept = None
        self._on_part = None
        self._accepted_reply = None
        self._headers = []
        self._body = []
        self._end_share()
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
        if reply.rest is not None:
            reply.rest.finish()
        elif fut is not None and not fut.done():
            fut.set_result(reply)

    def _fail_too_large(self) -> None:
        self._fail(
            errors.AnswerTooLarge, f'response exceeds {MAX_BODY_BYTES} bytes'
        )

    def _fail(self, kind: type[errors.TargetError], detail: str) -> None:
        if self._accepted_reply is not None:
            self._accepted_reply.reusable = False
            return
        fut, self._fut = self._fut, None
        self._accept = None
        self._on_part = None
        self._headers = []
        self._unsent_parts.clear()
        reply = self._streamed_reply
        self._end_share()
        if self._transport is not None:
            self._transport.abort()
        error = kind(detail, step='answer', peer=self._peer)
        if reply is not None:
            reply.rest.break_off(error)
        elif fut is not None and not fut.done():
            fut.set_exception(error)
            # Mark the exception as retrieved: nobody awaits the future of an
            # abandoned request.
            fut.exception()

    def _end_share(self) -> None:
        """Returns the share of a response that was not passed on."""
        if self._share is not None and self._streamed_reply is None:
            self._share.end()
        self._share = None
        self._streamed_reply = None


def parse_keep_alive(value: bytes) -> float:
    """Returns the timeout of a `Keep-Alive` header in seconds, or 0."""
    for item in value.split(b','):
        name, _, text = item.partition(b'=')
        if name.strip().lower() == b'timeout' and text.strip().isdigit():
            return float(text)
    return 0.0


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
