"""Stand-in of a client: one attempt of one request at a time."""

import asyncio
import dataclasses
import itertools
import socket
import time

from review.standins import wire

CONNECT_TIMEOUT_S = 1.0
_NUMBERS = itertools.count(1)


@dataclasses.dataclass(slots=True)
class Attempt:
    """A client attempt and its end.

    Attributes:
        request_id: Its `X-Request-Id`.
        host: Name of the machine that it was sent to.
        target: Path and query.
        sent_s: Time at which its last byte was sent, on the steady clock.
        ended_s: Time of its end.
        status: Status of the answer, 0 if the head of none arrived.
        complete: Whether the whole answer arrived.
        announced_bytes: Length of the body that the answer announced.
        received_bytes: Bytes of the body that arrived.
        error: What ended it in place of an answer.
        kept: Whether its connection has carried a request before.
        early_bytes: Bytes that had arrived on its connection before it was
            sent.
    """

    request_id: str
    host: str
    target: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    complete: bool = False
    announced_bytes: int = 0
    received_bytes: int = 0
    error: str = ''
    kept: bool = False
    early_bytes: int = 0

    def line(self, started_s: float) -> str:
        """Returns a line of the record."""
        return (
            f'{self.sent_s - started_s:8.3f} s  {self.request_id} '
            f'{self.target} to {self.host}: '
            f'{self.status or "no answer"} after '
            f'{self.ended_s - self.sent_s:.3f} s, '
            f'{self.received_bytes} of {self.announced_bytes} bytes'
            f'{", " + self.error if self.error else ""}'
        )


class _Reader(asyncio.StreamReader):
    """Reader that counts what has arrived and has not been read.

    Attributes:
        unread_bytes: Bytes that have arrived and have not been read.
    """

    def __init__(self) -> None:
        super().__init__()
        self.unread_bytes = 0

    def feed_data(self, data: bytes) -> None:
        """Adds bytes that have arrived."""
        self.unread_bytes += len(data)
        super().feed_data(data)

    async def readuntil(self, separator: bytes = b'\n') -> bytes:
        """Reads up to the end of a separator."""
        data = await super().readuntil(separator)
        self.unread_bytes -= len(data)
        return data

    async def read(self, n: int = -1) -> bytes:
        """Reads at most `n` bytes."""
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data


class Connection:
    """A connection of a client to a machine.

    Args:
        host: Name of the machine.
        address: `IP:port` of the machine.
        receive_buffer_bytes: Size of the receive buffer; the system's if 0.
    """

    def __init__(
        self, host: str, address: str, receive_buffer_bytes: int = 0
    ) -> None:
        self._host = host
        self._address = address
        self._receive_buffer_bytes = receive_buffer_bytes
        self._reader: _Reader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection may carry another request."""
        return self._writer is not None

    async def open(self) -> None:
        """Connects.

        Raises:
            OSError: The machine does not accept the connection.
        """
        sock = socket.socket()
        sock.setblocking(False)
        if self._receive_buffer_bytes:
            sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                self._receive_buffer_bytes,
            )
        ip, _, port = self._address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, (ip, int(port)))
        except BaseException:
            sock.close()
            raise
        reader = _Reader()
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.create_connection(lambda: protocol, sock=sock)
        self._reader = reader
        self._writer = asyncio.StreamWriter(transport, protocol, reader, loop)

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None

    async def send(
        self,
        method: str,
        name: str,
        target: str,
        deadline_s: float,
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        bytes_per_s: float = 0.0,
    ) -> Attempt:
        """Sends a request and reads its answer.

        Args:
            method: Method.
            name: Host name of the request.
            target: Path and query.
            deadline_s: Seconds that the client waits.
            body: Body.
            headers: Further headers.
            bytes_per_s: Speed at which the client reads; 0 for no limit.
        """
        request_id = f'{next(_NUMBERS):016x}'
        all_headers = {
            'host': name,
            'x-request-id': request_id,
            'x-request-deadline-ms': str(int(deadline_s * 1000)),
            **(headers or {}),
        }
        attempt = Attempt(request_id, self._host, target, time.monotonic())
        attempt.kept = self.is_open
        try:
            async with asyncio.timeout(deadline_s):
                if not self.is_open:
                    await self.open()
                attempt.early_bytes = self._reader.unread_bytes
                start = f'{method} {target} HTTP/1.1'
                self._writer.write(wire.encode(start, all_headers, body))
                attempt.sent_s = time.monotonic()
                await self._read(attempt, bytes_per_s)
        except TimeoutError:
            attempt.error = 'deadline'
            self.close()
        except (OSError, asyncio.IncompleteReadError) as exc:
            attempt.error = type(exc).__name__
            self.close()
        attempt.ended_s = time.monotonic()
        return attempt

    async def send_once(
        self,
        method: str,
        name: str,
        target: str,
        deadline_s: float,
        *,
        body: bytes = b'',
    ) -> Attempt:
        """Sends a request and closes the connection; see `send`."""
        try:
            return await self.send(method, name, target, deadline_s, body=body)
        finally:
            self.close()

    async def _read(self, attempt: Attempt, bytes_per_s: float) -> None:
        head = await wire.read_head(self._reader)
        attempt.status = head.status
        attempt.announced_bytes = int(head.headers.get('content-length', 0))
        started_s = time.monotonic()
        while attempt.received_bytes < attempt.announced_bytes:
            left = attempt.announced_bytes - attempt.received_bytes
            data = await self._reader.read(min(left, 65536))
            if not data:
                raise asyncio.IncompleteReadError(b'', left)
            attempt.received_bytes += len(data)
            if bytes_per_s:
                due_s = started_s + attempt.received_bytes / bytes_per_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        attempt.complete = True
        if head.closes:
            self.close()


async def get(
    address: str, target: str, timeout_s: float = 1.0
) -> wire.Message | None:
    """Sends a `GET` on a new connection; returns None without an answer."""
    ip, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            start = f'GET {target} HTTP/1.1'
            writer.write(wire.encode(start, {'host': 'platform'}))
            return await wire.read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
