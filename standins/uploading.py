"""Stand-in for callers that take long to send the bodies of their requests."""

import asyncio
import itertools

from standins import connecting
from standins import pipelining

ANSWER_TIMEOUT_S = 10.0
# A body is sent in this many parts.
PARTS = 20
_NUMBERS = itertools.count(1)


class UploadingCaller:
    """Sends requests with slow bodies, one at a time, until stopped.

    Args:
        ip: Address of the host.
        port: Port of the host.
        host_name: Value of the header `Host`.
        prefix: Path of the route with slashes at both ends.
        body_bytes: Length of a body.
        body_s: Time that it takes to send a body, in seconds.
        delay_s: Time until the first request, in seconds.

    Attributes:
        requests: All requests. `sent_s` is the time of the last byte.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        host_name: str,
        prefix: str,
        body_bytes: int,
        body_s: float,
        delay_s: float = 0.0,
    ) -> None:
        self._ip = ip
        self._port = port
        self._host_name = host_name
        self._prefix = prefix
        self._part = b'x' * (body_bytes // PARTS)
        self._body_s = body_s
        self._delay_s = delay_s
        self._loop = asyncio.get_running_loop()
        self._stopping = False
        self.requests: list[pipelining.SentRequest] = []

    def stop(self) -> None:
        """Sends no further requests."""
        self._stopping = True

    async def run(self) -> None:
        """Sends requests until stopped and the last one is ended."""
        await asyncio.sleep(self._delay_s)
        while not self._stopping:
            streams = await connecting.connect(self._ip, self._port)
            if streams is None:
                continue
            reader, writer = streams
            try:
                while not await self._send(reader, writer):
                    pass
            except (OSError, EOFError, TimeoutError):
                continue
            finally:
                writer.transport.abort()

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends a request; returns whether its answer closes the connection."""
        req = pipelining.SentRequest(f'u{next(_NUMBERS)}', self._loop.time())
        req.sent = False
        self.requests.append(req)
        writer.write(
            f'POST {self._prefix}{req.request_id} HTTP/1.1\r\n'
            f'Host: {self._host_name}\r\nX-Request-Id: {req.request_id}\r\n'
            f'Content-Length: {len(self._part) * PARTS}\r\n\r\n'.encode()
        )
        for _ in range(PARTS):
            await asyncio.sleep(self._body_s / PARTS)
            if writer.transport.is_closing():
                break
            writer.write(self._part)
        else:
            req.sent = True
        req.sent_s = self._loop.time()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                closes = await pipelining.read_answer(reader, req)
        finally:
            req.ended_s = self._loop.time()
        return closes or self._stopping
