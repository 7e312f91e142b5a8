"""Connection of a caller to an HTTP/1.1 server.

It handles each request in a task of its own, and writes the responses in the
order of the requests.
"""

import asyncio
from collections import abc

import msgspec

from ragwortchute.gateway import model
from ragwortchute.gateway.http import accounted_connection
from ragwortchute.gateway.http import body_budget
from ragwortchute.gateway.http import connection_owner
from ragwortchute.gateway.http import delivery as delivery_
from ragwortchute.gateway.http import exchanges as exchanges_
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import pipeline as pipeline_
from ragwortchute.gateway.http import request_reader
from ragwortchute.gateway.http import response_writer
from ragwortchute.gateway.resources import account as account_

# Reading from a connection pauses while this many requests are pending.
MAX_PIPELINED = 64
# How long this host keeps reading from a connection that it closes once the
# caller has received all of it: closing a socket with unread data resets it,
# which may discard what the caller has not read yet.
CLOSE_LINGER_S = 1.0
# Named to a caller whose request the stopping host has no time to read; other
# hosts can take it.
_RETRY_AFTER_S = 0.05
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# All connections read into it, one after another. What a read brings is parsed
# before any other connection is served, so it bounds the time that takes.
_READ_BUFFER = memoryview(bytearray(request_reader.LONG_READ_BYTES))


class ServerConnection(
    accounted_connection.AccountedConnection, asyncio.BufferedProtocol
):
    """An accepted connection.

    Args:
        listener: The listener that accepted it.
    """

    __slots__ = (
        '_account',
        '_caller_ended',
        '_close_started_s',
        '_closed',
        '_delivery',
        '_held_bytes',
        '_idle_since_s',
        '_listener',
        '_loop',
        '_pipeline',
        '_reader',
        '_reading_paused',
        '_received_s',
        '_sends_ahead',
        '_transport',
        '_writer',
        '_writing_paused',
    )

    def __init__(self, listener: connection_owner.Owner) -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._account = listener.account
        self._held_bytes = 0
        self._pipeline = pipeline_.Pipeline(
            lambda req: listener.handler(req),
            listener.account,
            listener.bodies,
            listener.log,
            self._flush,
        )
        self._closed: asyncio.Future[None] = self._loop.create_future()
        self._reader = request_reader.RequestReader(
            self,
            listener.limits,
            listener.bodies,
            self._closed,
            listener.refuse_early,
        )
        self._idle_since_s = self._loop.time()
        self._received_s = self._idle_since_s
        # Whether the caller has ended its sending side.
        self._caller_ended = False
        self._close_started_s = 0.0
        self._reading_paused = False
        # Whether the caller sends before it has read all responses. What it
        # sends to a socket that is closed already would reset them, so the
        # caller must have closed the connection first.
        self._sends_ahead = False
        self._delivery: delivery_.Delivery | None = None
        # Writes the first response while its body arrives.
        self._writer: response_writer.ResponseWriter | None = None
        self._writing_paused = False

    @property
    def running(self) -> int:
        """Number of requests whose response has not been written yet."""
        return len(self._pipeline)

    @property
    def unfinished(self) -> bool:
        """Whether a request is pending, or the caller may still read."""
        return (
            bool(self._pipeline)
            or bool(self._reader.started_s)
            or not self._delivery.complete
            or self._sends_ahead
            or self._loop.time() - self._delivery.progress_s <= CLOSE_LINGER_S
        )

    def update_delivery(self, now_s: float) -> None:
        """Notes whether the caller has received more of the responses."""
        self._delivery.update(now_s, closed=bool(self._close_started_s))

    def drain(self) -> None:
        """Makes the last request that has arrived, or else the next, the last.

        Its response closes the connection. A caller that has sent further
        requests sees by it that they were not read. Waiting for a moment
        without pending requests instead may take forever, since callers may
        send requests before earlier ones are answered.
        """
        if self._pipeline and not self._reader.started_s:
            self._end_reading()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is pending or incomplete."""
        if not self._pipeline and not self._reader.started_s:
            self._begin_close()

    def fail_pending(self) -> None:
        """Ends requests that are still at work, delivers responses behind them.

        The requests may have run.
        """
        if self._pipeline.has_work():
            self._log_cut()
            self._pipeline.fail_work()
        self._flush()

    def refuse_incomplete(self) -> None:
        """Refuses a request that has been read in part."""
        if self._reader.started_s:
            self.reject(503, [http_messages.retry_after(_RETRY_AFTER_S)])

    def abort(self) -> None:
        """Closes the connection immediately and logs what is unfinished."""
        if self._transport is None:
            return
        try:
            self._log_cut()
        finally:
            self._transport.abort()

    def expire(self, now_s: float, limits: model.Limits) -> None:
        """Closes the connection if one of its timeouts has expired."""
        if self._close_started_s or self._listener.draining:
            self.update_delivery(now_s)
        else:
            self._delivery.update_unsent(now_s)
        # The caller may have read without an event of the transport.
        self._update_held()
        if self._is_stalled(now_s, limits):
            self.abort()
        elif self._close_started_s:
            self._expire_close(now_s, limits)
        elif self._reader.waiting:
            return
        elif self._reader.started_s and not self._reading_paused:
            if now_s - self._reader.started_s > limits.header_timeout_s:
                self.reject(408)
        elif (
            not self._pipeline
            and now_s - max(self._idle_since_s, self._delivery.progress_s)
            > limits.idle_timeout_s
        ):
            self._begin_close()

    def _is_stalled(self, now_s: float, limits: model.Limits) -> bool:
        """Returns whether the caller takes nothing of a streamed response."""
        if self._writer is None:
            return False
        since_s = max(self._writer.stalled_since_s, self._delivery.progress_s)
        return now_s - since_s > limits.idle_timeout_s

    def _expire_close(self, now_s: float, limits: model.Limits) -> None:
        """Ends the close of a connection if the caller takes too long."""
        may_read = not self._delivery.complete or self._sends_ahead
        limit_s = limits.idle_timeout_s if may_read else CLOSE_LINGER_S
        if now_s - max(self._delivery.progress_s, self._close_started_s) > (
            max(limit_s, CLOSE_LINGER_S)
        ):
            self.abort()

    def _log_cut(self) -> None:
        """Logs what is unfinished, if anything is."""
        now_s = self._loop.time()
        self.update_delivery(now_s)
        cut = exchanges_.Cut(
            exchanges_.describe_pending(self._pipeline.exchanges, now_s),
            bool(self._reader.started_s),
            self._delivery.unsent_bytes,
            self._delivery.unacknowledged_bytes,
            self._sends_ahead,
        )
        if self._delivery.complete and not (
            cut.pending or cut.incomplete or cut.unread
        ):
            return
        self._listener.log.event(
            'cut', listener=self._listener.name, **msgspec.structs.asdict(cut)
        )

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        self._transport = transport
        self._delivery = delivery_.Delivery(transport)
        if self._account.add(self, essential=self._listener.essential):
            self._listener.connections.add(self)
        else:
            transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """See base class."""
        return _READ_BUFFER[: self._reader.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """See base class."""
        self.data_received(_READ_BUFFER[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parses received bytes."""
        self._reader.feed(data)
        if self._reader.note_progress():
            self._received_s = self._loop.time()
        self.update_reading()
        self._update_held()

    def eof_received(self) -> bool:
        """Closes the connection, unless a response is being passed on.

        The caller may have ended its sending side only. If it has closed the
        connection, the next write resets it.
        """
        if self._writer is None:
            return False
        self._caller_ended = True
        self._end_reading()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """See base class."""
        self._listener.connections.discard(self)
        self._account.remove(self)
        self._transport = None
        self._reader.end()
        if not self._closed.done():
            self._closed.set_result(None)
        self._drop_exchanges()
        self._update_held()
        self._listener.notify_finished()

    def pause_writing(self) -> None:
        """See base class."""
        self._writing_paused = True
        self.update_reading()
        if self._writer is not None:
            self._writer.pause()

    def resume_writing(self) -> None:
        """See base class."""
        self._writing_paused = False
        self.update_reading()
        if self._writer is not None:
            self._writer.resume()

    # Callbacks of the reader.

    def handle_request(
        self, req: http_messages.Request, reservation: body_budget.Reservation
    ) -> None:
        """Starts the handler of a request."""
        if self._pipeline.exchanges or self._transport.get_write_buffer_size():
            self._sends_ahead = True
        self._pipeline.add(req, reservation, self._reader.head_held_bytes)
        if self._listener.draining or not self._reader.should_keep_alive:
            self._end_reading()
        self.update_reading()

    def write_continue(self) -> None:
        """Lets the caller send a body, unless responses come first."""
        if not self._pipeline:
            self._transport.write(_CONTINUE)

    def update_reading(self) -> None:
        """Pauses reading, or goes on, as the pending requests demand.

        A caller that leaves its responses unread gets no further one: a request
        that has not run can be sent again. A body is read to its end, as its
        caller may read nothing before it has sent all of it. The rest of a head
        waits: reads hardly ever end between two requests, so that many short
        ones would be read without an end.
        """
        pending = len(self._pipeline.exchanges)
        full = self._writing_paused or (
            pending > 0
            and (
                pending >= MAX_PIPELINED
                or self._pipeline.held_bytes >= account_.CONNECTION_BYTES
                or self._account.is_full
            )
        )
        pause = not self._reader.ended and (
            self._reader.waiting
            or (full and (not self._reader.started_s or self._reader.in_head))
        )
        if pause == self._reading_paused or self._transport is None:
            return
        self._reading_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            if self._reader.in_head:
                # This host has not read it, so the time does not count.
                self._reader.restart_time()
            self._transport.resume_reading()

    def _end_reading(self) -> None:
        """Ignores all further data; the last response closes the connection.

        Requests that the caller sends behind it have then not been read.
        """
        self._reader.end()
        self.update_reading()

    def _flush(self) -> None:
        """Writes available responses in the order of the requests."""
        exchanges = self._pipeline.exchanges
        while self._writer is None and exchanges:
            resp = exchanges[0].response
            if resp is None or self._transport is None:
                break
            if resp.close:
                self._end_reading()
            resp.close = self._reader.ended and len(exchanges) == 1
            if resp.rest is not None:
                self._start_writer(exchanges[0])
                continue
            self._pipeline.pop()
            self._transport.write(http_messages.encode(resp))
            self._idle_since_s = self._loop.time()
            self._delivery.note_write(self._idle_since_s)
            if resp.close:
                self._begin_close()
                break
        self.update_reading()
        self._update_held()

    def _start_writer(self, exchange: exchanges_.Exchange) -> None:
        """Starts to write a response whose body is still arriving."""
        self._writer = response_writer.ResponseWriter(
            self._transport,
            exchange.response,
            accepts_chunks=exchange.accepts_chunks,
            paused=self._writing_paused,
            on_done=self._end_writer,
        )
        if exchange.response.close:
            self._end_reading()
        self._delivery.note_write(self._loop.time())
        self._writer.start()

    def _end_writer(self) -> None:
        """Goes on after a response, or closes if it is incomplete."""
        writer, self._writer = self._writer, None
        if self._transport is None:
            return
        self._idle_since_s = self._loop.time()
        self._delivery.note_write(self._idle_since_s)
        if writer.broken or writer.response.close:
            self._begin_close()
            return
        self._pipeline.pop()
        if self._reader.ended and not self._pipeline:
            self._begin_close()
        else:
            self._flush()

    def _drop_exchanges(self) -> None:
        """Ends the responses that can't be written any more."""
        self._writer = None
        self._pipeline.drop()

    def reject(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]] = ()
    ) -> None:
        """Responds to a request that is not handled and closes."""
        self._listener.log.event(
            'rejected', listener=self._listener.name, status=status
        )
        self._refuse(status, headers)

    def _refuse(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]]
    ) -> None:
        """See base class."""
        if self._reader.started_s:
            # The caller may go on sending the rest of it.
            self._sends_ahead = True
        self._end_reading()
        self._pipeline.add_response(
            http_messages.Response(status, headers, close=True)
        )
        self._flush()

    def _begin_close(self) -> None:
        """Shuts down the sending side; further received data is ignored."""
        if self._close_started_s or self._transport is None:
            return
        self._end_reading()
        self._close_started_s = self._loop.time()
        self._drop_exchanges()
        if self._transport.is_closing():
            return
        if self._caller_ended:
            self._transport.close()
            return
        try:
            self._transport.write_eof()
        except OSError as exc:
            # The peer has reset the connection, which is reported next.
            self._listener.log.event(
                'close-failed', listener=self._listener.name, error=str(exc)
            )
            self._transport.abort()
