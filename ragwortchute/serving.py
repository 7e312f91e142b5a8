"""Starts and stops HTTP servers inside a running event loop."""

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
# Time for the first or the rest of a head.
HEAD_S = 10.0
_START_POLL_S = 0.002
# Few objects of a call survive it, and a full collection takes milliseconds.
_GC_THRESHOLDS = (50_000, 20, 100)
_REFUSAL = (
    b'HTTP/1.1 %d %s\r\n'
    b'content-type: application/problem+json\r\n'
    b'ragwortchute-refusal: 1\r\n'
    b'connection: close\r\n'
    b'content-length: %d\r\n\r\n%s'
)


def settle_memory() -> None:
    """Excludes what exists now from garbage collection.

    Called once the process is set up. A full collection walks every imported
    module and document otherwise, and delays the calls that wait meanwhile.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP/1.1 server protocol with a bound on the head of a request.

    It also tells the application of a disconnect by a function call; ASGI
    alone would take a second task per call to learn of it.
    """

    max_head_bytes = 16384
    head_refusal = b''
    syntax_refusal = b''

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._head_bytes = 0
        self._in_head = False
        self._mixed = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._closing = False
        self._on_disconnect: abc.Callable[[], None] | None = None
        self._gone = False
        self._extensions = {
            application.DISCONNECT_EXTENSION: self._watch_disconnect,
            application.RESPOND_EXTENSION: self._respond,
        }

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begins to wait for a head."""
        super().connection_made(transport)
        self._wait_for_head()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes unless the head grows too large."""
        self._mixed = False
        continued = self._in_head
        super().data_received(data)
        if not self._in_head or self.transport.is_closing():
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None
            return
        if continued:
            self._head_bytes += len(data)
        else:
            # How much of mixed data belongs to the new head is not known.
            self._head_bytes = 0 if self._mixed else len(data)
        if self._head_bytes > self.max_head_bytes:
            self._refuse(self.head_refusal)
        elif self._head_timer is None:
            self._wait_for_head()

    def shutdown(self) -> None:
        """Closes the connection, after the answer to what is on its way."""
        idle = self.cycle is None or self.cycle.response_complete
        if idle and (self._in_head or self._readable()):
            self._closing = True
        else:
            super().shutdown()

    def send_400_response(self, msg: str) -> None:
        """Refuses bytes that are not HTTP, after the answers still due.

        An answer written at once could be taken for that of a request that
        is still running.
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
        self._refuse(self.syntax_refusal)

    def on_message_begin(self) -> None:
        """Begins to count the bytes of a head."""
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
            self._refuse(self.head_refusal)
            return
        super().on_headers_complete()
        if self._closing:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Passes a part of a body on."""
        self._mixed = True
        if not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends a request."""
        self._mixed = True
        if not self.transport.is_closing():
            super().on_message_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the application that the caller is gone."""
        super().connection_lost(exc)
        if self._head_timer is not None:
            self._head_timer.cancel()
        self._gone = True
        if self._on_disconnect is not None:
            self._on_disconnect()
            self._on_disconnect = None

    def _wait_for_head(self) -> None:
        self._head_timer = self.loop.call_later(HEAD_S, self._head_late)

    def _readable(self) -> bool:
        """Tells whether the kernel holds bytes of a further request."""
        if self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(
            self.transport.get_extra_info('socket').fileno(), select.POLLIN
        )
        return bool(poll.poll(0))

    def _head_late(self) -> None:
        self._head_timer = None
        if self.cycle is None or self.cycle.response_complete:
            self.transport.close()
        else:
            # An answer is due first on this connection.
            self._wait_for_head()

    def _refuse(self, answer: bytes) -> None:
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
        """Writes a whole answer at once; False if it is left to ASGI.

        The two messages of ASGI cost about 10 us more per answer.
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
        self, function: abc.Callable[[], None] | None
    ) -> bool:
        """Sets what is called on a disconnect; False if it has happened."""
        self._on_disconnect = function
        return not self._gone


class _Server(uvicorn.Server):
    """A server that leaves signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        """Leaves signals alone."""
        yield


class HttpServer:
    """One listener and its application.

    Args:
        app: ASGI application.
        ip: Address to listen on.
        port: Port to listen on; 0 takes a free one.
        max_head_bytes: Largest request head.
        stop_s: Longest time to finish what runs, in seconds.
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
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """The port it listens on."""
        return self._port

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.server_state.connections) if self._server else 0

    async def start(self) -> None:
        """Listens and begins to serve.

        Raises:
            RagwortchuteError: The address can't be listened on.
        """
        sock = self._bind()
        self._server = _Server(self._config())
        self._task = asyncio.create_task(
            self._server.serve(sockets=[sock]), name=f'server-{self._port}'
        )
        while not self._server.started:
            if self._task.done():
                await self._task
                return
            await asyncio.sleep(_START_POLL_S)
        logging.info('serving: listening, address=%s:%d', self._ip, self._port)

    async def stop(self) -> None:
        """Stops accepting, finishes what runs, then returns.

        Connections without a request are closed at once, the others after
        their current answer.
        """
        if self._task is None:
            return
        self._server.should_exit = True
        # uvicorn looks at the flag every 100 ms only.
        for listener in self._server.servers:
            listener.close()
        for connection in list(self._server.server_state.connections):
            connection.shutdown()
        await self._task
        self._task = None
        logging.info('serving: stopped, address=%s:%d', self._ip, self._port)

    def _bind(self) -> socket.socket:
        family = socket.AF_INET6 if ':' in self._ip else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((self._ip, self._port))
            sock.setblocking(False)
        except OSError as exc:
            sock.close()
            raise errors.RagwortchuteError(
                f'address {self._ip}:{self._port} can not be listened on: '
                f'{exc}',
                step='listen',
            ) from exc
        self._port = sock.getsockname()[1]
        return sock

    def _config(self) -> uvicorn.Config:
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
        # uvicorn logs every malformed request, so a caller could fill the log.
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
    return _REFUSAL % (status, phrase, len(body), body)
