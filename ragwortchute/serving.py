"""HTTP servers that run inside an existing event loop."""

import asyncio
from collections import abc
import contextlib
import gc
import http
import logging as standard_logging
import select
import socket
from typing import Any

from absl import logging
import uvicorn
from uvicorn.protocols.http import httptools_impl

from ragwortchute import calls
from ragwortchute import errors
from ragwortchute.callers import application

_BACKLOG = 1024
_KEEP_ALIVE_S = 75
# Time limit for a head: the first one counts from the connection, a later one
# from its first bytes.
HEAD_TIMEOUT_S = 10.0
_START_POLL_INTERVAL_S = 0.002
# Few objects outlive the call that created them, and a full collection takes
# milliseconds, so collections are made rarer than by default.
_GC_THRESHOLDS = (50_000, 20, 100)
_REFUSAL_FORMAT = (
    b'HTTP/1.1 %d %s\r\n'
    b'content-type: application/problem+json\r\n'
    b'ragwortchute-refusal: 1\r\n'
    b'connection: close\r\n'
    b'content-length: %d\r\n\r\n%s'
)


def freeze_startup_objects() -> None:
    """Excludes all existing objects from garbage collection.

    Called once after start-up. Otherwise a full collection would traverse every
    imported module and document and delay the calls that arrive meanwhile.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP/1.1 server protocol that limits the size of request heads.

    It also reports a disconnect to the application by a callback; with plain
    ASGI, the application would need a second task per call to detect it.

    Attributes:
        max_head_bytes: Largest request head.
        head_refusal: Complete response to a head that is too large.
        syntax_refusal: Complete response to malformed HTTP.
    """

    max_head_bytes = 16384
    head_refusal = b''
    syntax_refusal = b''

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._head_bytes = 0
        self._in_head = False
        self._chunk_has_body = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._close_after_answer = False
        self._on_disconnect: abc.Callable[[], None] | None = None
        self._disconnected = False
        self._extensions = {
            application.DISCONNECT_EXTENSION: self._watch_disconnect,
            application.RESPOND_EXTENSION: self._respond,
        }

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts the timeout for the first head."""
        super().connection_made(transport)
        self._start_head_timer()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and refuses a head that grows too large."""
        self._chunk_has_body = False
        head_continues = self._in_head
        super().data_received(data)
        if not self._in_head or self.transport.is_closing():
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None
            return
        if head_continues:
            self._head_bytes += len(data)
        else:
            # If the chunk also held a body, it is unknown how many of its bytes
            # belong to the new head.
            self._head_bytes = 0 if self._chunk_has_body else len(data)
        if self._head_bytes > self.max_head_bytes:
            self._write_refusal(self.head_refusal)
        elif self._head_timer is None:
            self._start_head_timer()

    def shutdown(self) -> None:
        """Closes the connection once the request in transit is answered."""
        idle = self.cycle is None or self.cycle.response_complete
        if idle and (self._in_head or self._has_unread_bytes()):
            self._close_after_answer = True
        else:
            super().shutdown()

    def send_400_response(self, msg: str) -> None:
        """Refuses bytes that are not HTTP, after any pending answer.

        A refusal written at once could be mistaken for the answer to a request
        that is still running.
        """
        cycle = self.cycle
        if (
            cycle is not None
            and not cycle.response_complete
            and not cycle.more_body
        ):
            cycle.keep_alive = False
            self.flow.pause_reading()
            return
        self._write_refusal(self.syntax_refusal)

    def on_message_begin(self) -> None:
        """Starts counting the bytes of a new head."""
        super().on_message_begin()
        self._in_head = True
        self.scope['extensions'] = self._extensions

    def on_headers_complete(self) -> None:
        """Starts the application unless the head is too large."""
        self._in_head = False
        size = len(self.url)
        for name, value in self.headers:
            size += len(name) + len(value) + 4
        if size > self.max_head_bytes:
            self._write_refusal(self.head_refusal)
            return
        super().on_headers_complete()
        if self._close_after_answer:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Passes a chunk of a body to the application."""
        self._chunk_has_body = True
        if not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Marks the end of a request."""
        self._chunk_has_body = True
        if not self.transport.is_closing():
            super().on_message_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies the application that the caller disconnected."""
        super().connection_lost(exc)
        if self._head_timer is not None:
            self._head_timer.cancel()
        self._disconnected = True
        if self._on_disconnect is not None:
            self._on_disconnect()
            self._on_disconnect = None

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            HEAD_TIMEOUT_S, self._on_head_timeout
        )

    def _has_unread_bytes(self) -> bool:
        """Returns whether the socket has unread bytes of another request."""
        if self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(
            self.transport.get_extra_info('socket').fileno(), select.POLLIN
        )
        return bool(poll.poll(0))

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if self.cycle is None or self.cycle.response_complete:
            self.transport.close()
        else:
            # The answer to the previous request is still pending.
            self._start_head_timer()

    def _write_refusal(self, answer: bytes) -> None:
        cycle = self.cycle
        if cycle is None or cycle.response_complete or cycle.more_body:
            self.transport.write(answer)
        self.transport.close()

    def _respond(
        self,
        scope: application.Scope,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> bool:
        """Writes a complete answer in one call.

        Sending the two ASGI messages instead takes about 10 us more per answer.

        Returns:
            False if nothing was written and the application must send the
            answer through ASGI.

        Raises:
            ValueError: A header has a line break or a NUL character.
        """
        cycle = self.cycle
        if (
            cycle.scope is not scope
            or cycle.response_started
            or cycle.disconnected
            or self.flow.write_paused
        ):
            return False
        lines = [httptools_impl.STATUS_LINE[status]]
        for name, value in (*cycle.default_headers, *headers):
            if name == b'connection':
                cycle.keep_alive = False
            else:
                lines.append(b'%b: %b\r\n' % (name, value))
        if not cycle.keep_alive:
            lines.append(b'connection: close\r\n')
        head = b''.join(lines)
        if (
            head.count(b'\n') != len(lines)
            or head.count(b'\r') != len(lines)
            or b'\0' in head
        ):
            raise ValueError('answer head has a control character')
        if scope['method'] == 'HEAD':
            body = b''
        cycle.response_started = True
        cycle.response_complete = True
        self.transport.write(b'%b\r\n%b' % (head, body))
        cycle.message_event.set()
        if not cycle.keep_alive:
            self.transport.close()
        cycle.on_response()
        return True

    def _watch_disconnect(
        self, callback: abc.Callable[[], None] | None
    ) -> bool:
        """Sets the callback for a disconnect; False if it has happened."""
        self._on_disconnect = callback
        return not self._disconnected


class _SignalFreeServer(uvicorn.Server):
    """Uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        """Does nothing, so the process keeps its own signal handlers."""
        yield


class HttpServer:
    """HTTP server with one listener for an ASGI application.

    Args:
        app: ASGI application.
        ip: Address to listen on.
        port: Port to listen on; 0 selects a free one.
        max_head_bytes: Largest request head.
        stop_s: Longest wait for running requests on a stop, in seconds.
    """

    def __init__(
        self,
        app: abc.Callable[..., abc.Awaitable[None]],
        ip: str,
        port: int,
        *,
        max_head_bytes: int = 16384,
        stop_s: float = 30.0,
    ) -> None:
        self._app = app
        self._ip = ip
        self._port = port
        self._max_head_bytes = max_head_bytes
        self._stop_s = stop_s
        self._server: _SignalFreeServer | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Port of the listener; the actual one once it is started."""
        return self._port

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.server_state.connections) if self._server else 0

    async def start(self) -> None:
        """Opens the listener and starts to serve.

        Raises:
            RagwortchuteError: The listener can't be opened.
        """
        sock = self._bind_socket()
        self._server = _SignalFreeServer(self._make_uvicorn_config())
        self._task = asyncio.create_task(
            self._server.serve(sockets=[sock]), name=f'server-{self._port}'
        )
        while not self._server.started:
            if self._task.done():
                await self._task
                return
            await asyncio.sleep(_START_POLL_INTERVAL_S)
        logging.info('serving: listening, address=%s:%d', self._ip, self._port)

    async def stop(self) -> None:
        """Closes the listener and waits for the running requests.

        Idle connections are closed at once, the others after their current
        answer.
        """
        if self._task is None:
            return
        self._server.should_exit = True
        # uvicorn checks the flag only every 100 ms.
        for listener in self._server.servers:
            listener.close()
        for connection in list(self._server.server_state.connections):
            connection.shutdown()
        await self._task
        self._task = None
        logging.info('serving: stopped, address=%s:%d', self._ip, self._port)

    def _bind_socket(self) -> socket.socket:
        family = socket.AF_INET6 if ':' in self._ip else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((self._ip, self._port))
            sock.setblocking(False)
        except OSError as exc:
            sock.close()
            raise errors.RagwortchuteError(
                f'can not listen on address {self._ip}:{self._port}: {exc}',
                step='listen',
            ) from exc
        self._port = sock.getsockname()[1]
        return sock

    def _make_uvicorn_config(self) -> uvicorn.Config:
        protocol = type(
            'BoundedProtocol',
            (BoundedProtocol,),
            {
                'max_head_bytes': self._max_head_bytes,
                'head_refusal': _encode_refusal(
                    431,
                    'head-too-large',
                    f'head is larger than {self._max_head_bytes} bytes',
                ),
                'syntax_refusal': _encode_refusal(
                    400, 'syntax', 'request is not valid HTTP/1.1'
                ),
            },
        )
        config = uvicorn.Config(
            self._app,
            http=protocol,
            ws='none',
            lifespan='off',
            loop='none',
            interface='asgi3',
            log_config=None,
            access_log=False,
            server_header=False,
            proxy_headers=False,
            backlog=_BACKLOG,
            timeout_keep_alive=_KEEP_ALIVE_S,
            timeout_graceful_shutdown=self._stop_s,
        )
        # uvicorn logs every malformed request, so callers could flood the log.
        standard_logging.getLogger('uvicorn.error').setLevel(
            standard_logging.ERROR
        )
        return config


def _encode_refusal(status: int, reason: str, detail: str) -> bytes:
    body = application.encode_problem(
        calls.Refusal(
            calls.Outcome.NOT_RUN,
            reason,
            application.ADMIT_STEP,
            status,
            detail,
        )
    )
    phrase = http.HTTPStatus(status).phrase.encode()
    return _REFUSAL_FORMAT % (status, phrase, len(body), body)
