"""Listener of an HTTP/1.1 server."""

import asyncio
from collections import abc
import socket

from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model
from ragwortchute.gateway.http import body_budget
from ragwortchute.gateway.http import pipeline
from ragwortchute.gateway.http import request_reader
from ragwortchute.gateway.http import server_connection
from ragwortchute.gateway.resources import account as account_
from ragwortchute.gateway.resources import caller_turns
from ragwortchute.gateway.resources import limits as limits_

EXPIRY_CHECK_S = 0.25
# The kernel takes this much of a response before it can send it. With more, a
# host would take many responses for sent that a slow caller has yet to read.
UNSENT_IN_KERNEL_BYTES = 128 << 10
# Connections accepted at once: those beyond the limit hold descriptors until
# the loop has closed them.
ACCEPT_BATCH = 4
# Backlog of the listening socket: connections that may wait to be accepted. As
# many are accepted at most before the socket closes.
MAX_WAITING = 512
# Memory of a listener that shares no account.
DEFAULT_MEMORY_BYTES = 200e6


class Listener:
    """Listens on a port and owns the accepted connections.

    Args:
        handler: Returns the response to a request.
        limits: Returns the current limits on requests.
        log: Event log.
        name: Name of the listener in the log.
        bodies: Memory for long bodies; that of the account by default.
        account: Account of memory and connections, which listeners may share.

    Attributes:
        essential: Whether connections may take reserved descriptors.
        turns: Divides the time among connections of callers; None if these are
            handled like those to targets and other hosts.
        draining: Whether connections are closed after their last response.
        connections: Open connections.
        refuse_early: Returns the refusal of a request whose body has not been
            read, None if the head gives no reason for one.
    """

    def __init__(
        self,
        handler: pipeline.Handler,
        limits: abc.Callable[[], model.Limits],
        log: eventlog.EventLog,
        name: str,
        bodies: body_budget.BodyBudget | None = None,
        account: account_.Account | None = None,
    ) -> None:
        self.handler = handler
        self.refuse_early: request_reader.EarlyRefusal = lambda _: None
        self.limits = limits
        self.log = log
        self.name = name
        self.account = account or account_.Account(
            limits_.derive(DEFAULT_MEMORY_BYTES, 0), log
        )
        self.bodies = bodies or self.account.bodies
        self.essential = False
        self.turns: caller_turns.TurnSelector | None = None
        self.draining = False
        self.connections: set[server_connection.ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sock: socket.socket | None = None
        # Server that is closed once no accepted connection waits.
        self._closing_server: asyncio.Server | None = None
        self._accept_tasks: set[asyncio.Task[None]] = set()
        self._stopped = False
        self._expiry_task: asyncio.Task[None] | None = None
        self._finished_fut: asyncio.Future[None] | None = None
        self._check_is_due = False

    async def start(
        self, ip: str, port: int, backlog: int = MAX_WAITING
    ) -> None:
        """Starts to listen and to close idle connections."""
        loop = asyncio.get_running_loop()
        self._stopped = False
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((ip, port))
        except OSError:
            sock.close()
            raise
        self._server = await loop.create_server(
            lambda: server_connection.ServerConnection(self),
            sock=sock,
            backlog=ACCEPT_BATCH,
        )
        # The loop takes its backlog for the number to accept at once, too.
        sock.listen(backlog)
        self._sock = sock
        self._limit_unsent(sock)
        self._expiry_task = asyncio.create_task(self._expire_connections())

    def _limit_unsent(self, sock: socket.socket) -> None:
        """Bounds what the kernel takes for each accepted connection."""
        try:
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_NOTSENT_LOWAT,
                UNSENT_IN_KERNEL_BYTES,
            )
        except OSError as exc:
            self.log.event(
                'unsent-unlimited', listener=self.name, error=str(exc)
            )

    def drain(self) -> None:
        """Closes each connection after a last request.

        That is the last one that has arrived, or else the next.
        """
        self.draining = True
        for conn in self.connections:
            conn.drain()

    def stop_accepting(self) -> None:
        """Closes the listening socket and starts to drain.

        Connections that the system has accepted already are served: their
        callers may have sent requests, which a close would reset.
        """
        self.drain()
        if self._server is None:
            return
        self._closing_server, self._server = self._server, None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock)
        # Connections that the loop has accepted already still need the server.
        loop.call_soon(self._accept_waiting, MAX_WAITING)

    def _accept_waiting(self, left: int) -> None:
        """Accepts connections that wait, then closes the listening socket.

        Args:
            left: Number of connections that may still be accepted.
        """
        if self._closing_server is None:
            return
        loop = asyncio.get_running_loop()
        for _ in range(ACCEPT_BATCH):
            try:
                sock, _ = self._sock.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                # None waits, or no descriptor is left for it.
                left = 0
                break
            task = loop.create_task(self._connect(sock))
            self._accept_tasks.add(task)
            task.add_done_callback(self._end_accept)
        left -= ACCEPT_BATCH
        if left > 0:
            loop.call_soon(self._accept_waiting, left)
        else:
            self._close_server()

    def _end_accept(self, task: asyncio.Task[None]) -> None:
        self._accept_tasks.discard(task)
        self.notify_finished()

    async def _connect(self, sock: socket.socket) -> None:
        """Hands an accepted connection to the loop."""
        loop = asyncio.get_running_loop()
        sock.setblocking(False)
        try:
            transport, _ = await loop.connect_accepted_socket(
                lambda: server_connection.ServerConnection(self), sock
            )
        except OSError:
            sock.close()
            return
        if self._stopped:
            transport.abort()

    def _close_server(self) -> None:
        if self._closing_server is not None:
            self._closing_server.close()
            self._closing_server = None
            self.notify_finished()

    def close(self) -> None:
        """Stops accepting and closes connections without pending requests."""
        self.stop_accepting()
        for conn in list(self.connections):
            conn.close_if_idle()

    def fail_pending(self) -> None:
        """Ends all requests that are still at work."""
        for conn in list(self.connections):
            conn.fail_pending()

    def refuse_incomplete(self) -> None:
        """Refuses all requests that have been read in part."""
        for conn in list(self.connections):
            conn.refuse_incomplete()

    async def stop(self) -> None:
        """Closes the listener and all connections immediately."""
        self.close()
        self._close_server()
        self._stopped = True
        if self._expiry_task is not None:
            self._expiry_task.cancel()
            self._expiry_task = None
        for conn in list(self.connections):
            conn.abort()

    @property
    def port(self) -> int:
        """Port of the listening socket."""
        return self._server.sockets[0].getsockname()[1]

    async def wait_finished(self, timeout_s: float) -> bool:
        """Waits until callers have received all responses.

        A caller that may still read must have closed its connection, others
        have lingered long enough.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            Whether that was so in time.
        """
        loop = asyncio.get_running_loop()
        self._finished_fut = loop.create_future()
        for conn in self.connections:
            conn.update_delivery(loop.time())
        self._check_finished()
        await asyncio.wait((self._finished_fut,), timeout=max(0.0, timeout_s))
        return self._finished_fut.done()

    def notify_finished(self) -> None:
        """Wakes `wait_finished` soon if all responses have been received.

        All connections are looked at once, however many call this.
        """
        fut = self._finished_fut
        if fut is None or fut.done() or self._check_is_due:
            return
        self._check_is_due = True
        asyncio.get_running_loop().call_soon(self._check_finished)

    def _check_finished(self) -> None:
        self._check_is_due = False
        if (
            not self._finished_fut.done()
            and self._closing_server is None
            and not self._accept_tasks
            and not any(conn.unfinished for conn in self.connections)
        ):
            self._finished_fut.set_result(None)

    @property
    def running(self) -> int:
        """Number of requests whose response has not been written yet."""
        return sum(conn.running for conn in self.connections)

    async def _expire_connections(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            now_s = loop.time()
            for conn in list(self.connections):
                try:
                    conn.expire(now_s, self.limits())
                except Exception:
                    self.log.failure('expiry', self.name)
                    conn.abort()
            self.notify_finished()
