"""Stand-in for callers that read long answers, one request a connection."""

import asyncio
import collections
import itertools

from standins import connecting

ANSWER_TIMEOUT_S = 10.0
READ_BYTES = 1 << 16
_NUMBERS = itertools.count(1)


class ReadingCaller:
    """Sends requests until stopped and counts what comes back.

    Args:
        ip: Address of the host.
        port: Port of the host.
        host_name: Value of the header `Host`.
        path: Path of the requests.
        deadline_ms: Value of the header `X-Request-Deadline-Ms`.

    Attributes:
        outcomes: Number of answers by status and whether all of it arrived.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        host_name: str,
        path: str,
        deadline_ms: int = 2000,
    ) -> None:
        self._ip = ip
        self._port = port
        self._host_name = host_name
        self._path = path
        self._deadline_ms = deadline_ms
        self._stopping = False
        self.outcomes: collections.Counter[tuple[int, bool]] = (
            collections.Counter()
        )

    def stop(self) -> None:
        """Sends no further requests."""
        self._stopping = True

    async def run(self) -> None:
        """Sends requests until stopped."""
        while not self._stopping:
            streams = await connecting.connect(self._ip, self._port)
            if streams is None:
                continue
            reader, writer = streams
            writer.write(
                f'GET {self._path} HTTP/1.1\r\nHost: {self._host_name}\r\n'
                f'X-Request-Id: l{next(_NUMBERS)}\r\n'
                f'X-Request-Deadline-Ms: {self._deadline_ms}\r\n'
                'Connection: close\r\n\r\n'.encode()
            )
            self.outcomes[await _read_answer(reader)] += 1
            writer.transport.abort()


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Returns the status of an answer, and whether all of it arrived."""
    status = 0
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            status = int(head.split(' ')[1])
            length = head.lower().partition('content-length: ')[2]
            left = int(length.split('\r')[0]) if length else -1
            while left:
                data = await reader.read(READ_BYTES)
                if not data:
                    # The parts of a sound answer always have a length.
                    return status, False
                left -= len(data)
    except (OSError, EOFError, TimeoutError):
        return status, False
    return status, True
