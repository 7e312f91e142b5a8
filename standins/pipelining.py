"""Stand-in for callers that send on before earlier requests are answered."""

import asyncio
import collections
import itertools

from standins import connecting

ANSWER_TIMEOUT_S = 10.0
_NUMBERS = itertools.count(1)


class SentRequest:
    """A request and what became of it.

    Attributes:
        request_id: Value of its header `X-Request-Id`.
        sent_s: Loop time at which it was sent, in seconds.
        ended_s: Loop time of its answer or of the end of its connection.
        status: Status of its answer, 0 without one.
        complete: Whether all of the answer has arrived.
        stamped: Whether the answer bears the stamp of a target.
        mixed: Whether the answer is a success without a stamp or with the id
            of another request.
        behind: Whether it was sent before an earlier one was answered.
        sent: Whether all of it has been sent.
        unread: Whether an earlier answer has closed the connection, so that
            the host states that it has not read the request.
    """

    __slots__ = (
        'behind',
        'complete',
        'ended_s',
        'mixed',
        'request_id',
        'sent',
        'sent_s',
        'stamped',
        'status',
        'unread',
    )

    def __init__(self, request_id: str, sent_s: float) -> None:
        self.request_id = request_id
        self.sent_s = sent_s
        self.ended_s = 0.0
        self.status = 0
        self.complete = False
        self.stamped = False
        self.mixed = False
        self.behind = False
        self.sent = True
        self.unread = False


class PipeliningCaller:
    """Keeps several requests outstanding on a connection, until stopped.

    Args:
        ip: Address of the host.
        port: Port of the host.
        host_name: Value of the header `Host`.
        prefix: Path of the route with slashes at both ends.
        depth: Number of requests that are outstanding at the same time.
        read_bytes_per_s: Speed at which answers are read; 0 for no limit.
        pause_s: Time from an answer to the next request, in seconds.
        deadline_ms: Value of the header `X-Request-Deadline-Ms`.

    Attributes:
        requests: All requests, in the order in which they were sent.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        host_name: str,
        prefix: str,
        depth: int,
        read_bytes_per_s: float = 0.0,
        pause_s: float = 0.0,
        deadline_ms: int = 2000,
    ) -> None:
        self._ip = ip
        self._port = port
        self._host_name = host_name
        self._prefix = prefix
        self._depth = depth
        self._read_bytes_per_s = read_bytes_per_s
        self._pause_s = pause_s
        self._deadline_ms = deadline_ms
        self._outstanding: collections.deque[SentRequest] = collections.deque()
        self._loop = asyncio.get_running_loop()
        self._stopping = False
        self.requests: list[SentRequest] = []

    def stop(self) -> None:
        """Sends no further requests."""
        self._stopping = True

    async def run(self) -> None:
        """Sends requests until stopped and all of them are ended."""
        while not self._stopping:
            streams = await connecting.connect(
                self._ip, self._port, limit=1 << 14
            )
            if streams is None:
                continue
            reader, writer = streams
            try:
                await self._use(reader, writer)
            except (OSError, EOFError, TimeoutError):
                continue
            finally:
                writer.transport.abort()
                self._end_outstanding()

    def _end_outstanding(self) -> None:
        while self._outstanding:
            self._outstanding.popleft().ended_s = self._loop.time()

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Sends requests on a connection until an answer closes it."""
        while True:
            while len(self._outstanding) < self._depth and not self._stopping:
                self._outstanding.append(self._send(writer))
            if not self._outstanding:
                return
            req = self._outstanding[0]
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                closes = await read_answer(reader, req, self._read_bytes_per_s)
            req.ended_s = self._loop.time()
            self._outstanding.popleft()
            if closes:
                for unread in self._outstanding:
                    unread.unread = True
                return
            await asyncio.sleep(self._pause_s)

    def _send(self, writer: asyncio.StreamWriter) -> SentRequest:
        req = SentRequest(f'p{next(_NUMBERS)}', self._loop.time())
        req.behind = bool(self._outstanding)
        self.requests.append(req)
        writer.write(
            f'GET {self._prefix}{req.request_id} HTTP/1.1\r\n'
            f'Host: {self._host_name}\r\nX-Request-Id: {req.request_id}\r\n'
            f'X-Request-Deadline-Ms: {self._deadline_ms}\r\n\r\n'.encode()
        )
        return req


async def read_answer(
    reader: asyncio.StreamReader,
    req: SentRequest,
    read_bytes_per_s: float = 0.0,
) -> bool:
    """Reads an answer and notes it in its request.

    Args:
        reader: Stream of the connection.
        req: The request.
        read_bytes_per_s: Speed at which it is read; 0 for no limit.

    Returns:
        Whether it closes the connection.

    Raises:
        EOFError: The connection ended in the answer.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').lower()
    req.status = int(head.split(' ')[1])
    req.stamped = 'x-server-stamp' in head
    has_id = f'x-request-id: {req.request_id}\r' in head
    req.mixed = req.status == 200 and not (req.stamped and has_id)
    left = int(head.partition('content-length: ')[2].split('\r')[0])
    while left:
        data = await reader.read(min(left, 1 << 14))
        if not data:
            raise EOFError('connection ended in an answer')
        left -= len(data)
        if read_bytes_per_s:
            await asyncio.sleep(len(data) / read_bytes_per_s)
    req.complete = True
    return 'connection: close' in head
