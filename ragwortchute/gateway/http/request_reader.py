"""Parser of the requests on an accepted connection."""

import asyncio
from collections import abc
import typing

import httptools

from ragwortchute.gateway import model
from ragwortchute.gateway.http import body_budget
from ragwortchute.gateway.http import body_reader
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.resources import account

# How long the rest of a long body waits for memory. Callers give up on a host
# that does not read their request for a second.
BODY_WAIT_S = 0.8
# Named to a caller for whose body no memory was left.
_BODY_RETRY_AFTER_S = 0.5
# A request with a shorter body is refused once it is complete, which keeps its
# connection open.
MIN_EARLY_BYTES = 16 << 10
# A body that grows by less has made no progress. The shortest one that needs
# memory of its own must grow by 20 KB a second to be complete in 3 s.
MIN_PROGRESS_BYTES = 1 << 10
# Framing of a chunk that carries a single byte, rounded up.
FRAMING_BYTES_PER_BODY_BYTE = 8
# Bytes read at once: of a body whose length is known, of one in long chunks,
# and of anything else. What is read is parsed before any other connection is
# served, and the shortest requests (26 bytes) take the longest for each byte.
LONG_READ_BYTES = 64 << 10
CHUNK_READ_BYTES = 8 << 10
READ_BYTES = 4 << 10


EarlyRefusal = abc.Callable[
    [http_messages.Request], http_messages.Response | None
]


class Receiver(typing.Protocol):
    """What a reader needs of its connection."""

    def handle_request(
        self, req: http_messages.Request, reservation: body_budget.Reservation
    ) -> None:
        """Handles a complete request.

        Args:
            req: The request.
            reservation: Memory of its body, to be released afterwards.
        """

    def reject(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]] = ()
    ) -> None:
        """Responds to a request that is not handled and closes."""

    def write_continue(self) -> None:
        """Lets the caller send the body of its request."""

    def update_reading(self) -> None:
        """Pauses reading, or goes on, as the reader demands."""


class RequestReader:
    """Parses requests and reads their bodies within limits.

    Args:
        receiver: The connection.
        limits: Returns the current limits on requests.
        bodies: Memory for long bodies.
        disconnected: Future that is done once the connection is lost.
        refusal_of: Returns the refusal of a request whose body has not been
            read, None if its head gives no reason for one.

    Attributes:
        ended: Whether all further data is ignored.
        started_s: Loop time at which the incomplete request began, 0 if there
            is none.
        head_held_bytes: Memory of the head of the last request that began.
    """

    __slots__ = (
        '_body',
        '_body_wait_timer',
        '_disconnected',
        '_expects_continue',
        '_first_trailer',
        '_framing_bytes',
        '_head_bytes',
        '_headers',
        '_in_body',
        '_length',
        '_limits',
        '_loop',
        '_mixed_bytes',
        '_noted_bytes',
        '_parser',
        '_received_bytes',
        '_receiver',
        '_refusal_of',
        '_requests_begun',
        '_url',
        'ended',
        'head_held_bytes',
        'started_s',
    )

    def __init__(
        self,
        receiver: Receiver,
        limits: abc.Callable[[], model.Limits],
        bodies: body_budget.BodyBudget,
        disconnected: asyncio.Future[None],
        refusal_of: EarlyRefusal = lambda _: None,
    ) -> None:
        self._receiver = receiver
        self._refusal_of = refusal_of
        self._limits = limits
        self._disconnected = disconnected
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._body = body_reader.BodyReader(bodies, self._on_body_reserved)
        self._body_wait_timer: asyncio.TimerHandle | None = None
        self._requests_begun = 0
        self.ended = False
        self.started_s = 0.0
        self._reset_request()

    @property
    def waiting(self) -> bool:
        """Whether the rest of a body must wait for memory."""
        return self._body.waiting

    @property
    def in_head(self) -> bool:
        """Whether the head of a request has been read in part."""
        return bool(self.started_s) and not self._in_body

    @property
    def has_reservation(self) -> bool:
        """Whether memory is reserved for the body of the request."""
        return self._body.reserved_bytes > 0

    @property
    def read_bytes(self) -> int:
        """Number of bytes to read at once."""
        if self._in_body and self._length:
            # Not beyond its end: short requests may follow.
            left = self._length - self._body.size_bytes
            return max(READ_BYTES, min(LONG_READ_BYTES, left))
        return CHUNK_READ_BYTES if self._body.has_long_parts else READ_BYTES

    @property
    def held_bytes(self) -> int:
        """Memory of the incomplete request without a reservation."""
        if not self.started_s:
            return 0
        # The parser keeps an incomplete header or trailer.
        unparsed_bytes = self._framing_bytes + self._mixed_bytes
        return (
            max(self.head_held_bytes, unparsed_bytes)
            + self._body.unreserved_bytes
        )

    @property
    def should_keep_alive(self) -> bool:
        """Whether the caller lets the connection carry another request."""
        return self._parser.should_keep_alive()

    def note_progress(self) -> bool:
        """Returns whether the caller has made progress since the last call.

        Within a body that takes `MIN_PROGRESS_BYTES`, else any bytes.
        """
        if not self._in_body:
            return True
        if self._body.size_bytes - self._noted_bytes < MIN_PROGRESS_BYTES:
            return False
        self._noted_bytes = self._body.size_bytes
        return True

    def restart_time(self) -> None:
        """Lets the time of an incomplete request begin now."""
        if self.started_s:
            self.started_s = self._loop.time()

    def end(self) -> None:
        """Ignores all further data and drops an incomplete request."""
        self.ended = True
        self.started_s = 0.0
        self._headers = []
        self._stop_body_wait()
        self._body.clear()

    def feed(self, data: bytes | memoryview) -> None:
        """Parses received bytes."""
        if self.ended:
            return
        begun_before = self._requests_begun
        body_bytes_before = self._body.size_bytes
        was_between_requests = not self.started_s
        try:
            self._parse(data)
        except httptools.HttpParserError:
            if not self.ended:
                self._receiver.reject(400)
        # The parser reports a header or trailer only when it is complete, so
        # the bytes of an incomplete one are counted here. Data that also
        # belongs to an earlier request is left out.
        begun = self._requests_begun - begun_before
        if self.started_s and (
            begun == 0 or (begun == 1 and was_between_requests)
        ):
            self._count_framing(
                len(data), self._body.size_bytes - body_bytes_before
            )

    def _count_framing(self, size: int, body_size: int) -> None:
        """Counts received bytes that are not part of the body.

        Args:
            size: Length of what was received.
            body_size: Length of the parts of the body in it.
        """
        self._received_bytes += size
        if body_size:
            self._framing_bytes = 0
            self._mixed_bytes = size - body_size
        else:
            # A trailer or chunk extension may follow a body of any length.
            self._framing_bytes += size
            self._check_head(self._framing_bytes)
        framing_bytes = self._received_bytes - self._body.size_bytes
        allowed = self._body.size_bytes * FRAMING_BYTES_PER_BODY_BYTE
        self._check_head(framing_bytes - allowed)

    def _parse(self, data: bytes | memoryview) -> None:
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
                if self.ended:
                    return
                if self._parser.get_method() == b'CONNECT':
                    self._receiver.reject(501)
                    return
                head = http_messages.encode_head(
                    self._parser.get_method(),
                    self._url,
                    self._parser.get_http_version(),
                    [item for item in self._headers if item[0] != b'upgrade'],
                )
                data = head + bytes(data[exc.args[0] :])
                self._parser = httptools.HttpRequestParser(self)
                self._requests_begun -= 1

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        if self.ended:
            return
        self._reset_request()
        self._requests_begun += 1
        self.started_s = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        if self.ended:
            return
        self._url += url
        self.head_held_bytes += len(url)
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        if self.ended:
            return
        self._headers.append((name.lower(), value))
        size = len(name) + len(value)
        self.head_held_bytes += size + account.HEADER_BYTES
        self._count_head(size + 4)

    def on_headers_complete(self) -> None:
        """Reserves memory for the body and lets the caller send it."""
        size_bytes = 0
        if self.ended or self._parser.should_upgrade():
            return
        self._in_body = True
        for name, value in self._headers:
            if name == b'content-length':
                size_bytes = int(value)
            elif name == b'expect' and value.lower() == b'100-continue':
                self._expects_continue = True
        if size_bytes > self._limits().max_body_bytes:
            self._receiver.reject(413)
            return
        self._length = size_bytes
        self._first_trailer = len(self._headers)
        if self._refuse_early(size_bytes):
            return
        self._expect_body(size_bytes)
        if not self._body.waiting:
            self._continue()

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        if self.ended:
            return
        self._body.add(body)
        max_body_bytes = self._limits().max_body_bytes
        if self._body.size_bytes > max_body_bytes:
            self._receiver.reject(413)
        elif self._body.outgrown:
            # It is sent in chunks, and its length is not known.
            self._expect_body(min(2 * self._body.size_bytes, max_body_bytes))

    def on_message_complete(self) -> None:
        """Hands the request to the connection."""
        if self.ended or self._parser.should_upgrade():
            return
        self.started_s = 0.0
        try:
            req = self._build_request()
        except ValueError:
            self._receiver.reject(400)
            return
        trailers = self._headers[self._first_trailer :]
        if trailers:
            req.trailer_names = frozenset(name for name, _ in trailers)
        # An idle connection would keep them until its next request.
        self._headers = []
        self._in_body = False
        self._stop_body_wait()
        req.accepts_chunks = self._parser.get_http_version() != '1.0'
        req.body_parts, reservation = self._body.take()
        self._receiver.handle_request(req, reservation)

    def _build_request(self) -> http_messages.Request:
        """Returns the request without its body.

        Raises:
            ValueError: The head is invalid.
        """
        return http_messages.build_request(
            self._parser.get_method(),
            self._url,
            self._headers,
            self._loop.time(),
            self._disconnected,
        )

    def _refuse_early(self, size_bytes: int) -> bool:
        """Refuses a request with a long body if the head is reason enough.

        Args:
            size_bytes: Length of the body; 0 if it is sent in chunks.

        Returns:
            Whether it was refused.
        """
        chunked = any(item[0] == b'transfer-encoding' for item in self._headers)
        if size_bytes < MIN_EARLY_BYTES and not chunked:
            return False
        try:
            req = self._build_request()
        except ValueError:
            # It is rejected once it is complete.
            return False
        resp = self._refusal_of(req)
        if resp is not None:
            self._receiver.reject(resp.status, resp.headers)
        return resp is not None

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
            self._receiver.update_reading()

    def _on_body_reserved(self) -> None:
        """Goes on to read a body that had to wait for memory."""
        self._stop_body_wait()
        self.started_s = self._loop.time()
        self._continue()
        self._receiver.update_reading()

    def _refuse_body(self) -> None:
        """Rejects a request for whose body no memory is left."""
        after = http_messages.retry_after(_BODY_RETRY_AFTER_S)
        self._receiver.reject(503, [after])

    def _stop_body_wait(self) -> None:
        if self._body_wait_timer is not None:
            self._body_wait_timer.cancel()
            self._body_wait_timer = None

    def _continue(self) -> None:
        if self._expects_continue:
            self._receiver.write_continue()
        self._expects_continue = False

    def _reset_request(self) -> None:
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._expects_continue = False
        self._in_body = False
        # Length that the head states for the body.
        self._length = 0
        # Length of the body when it last made progress.
        self._noted_bytes = 0
        self._body.clear()
        self._first_trailer = 0
        self._head_bytes = 0
        self.head_held_bytes = 0
        self._received_bytes = 0
        # Bytes without a part of the body since the last read that had one,
        # and the rest of that read.
        self._framing_bytes = 0
        self._mixed_bytes = 0

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        self._check_head(self._head_bytes)

    def _check_head(self, size: int) -> None:
        if size > self._limits().max_header_bytes and not self.ended:
            self._receiver.reject(431)
