"""Stand-in of an upstream, as PROTOCOL.md describes it."""

import asyncio
import dataclasses
import json
import time
from urllib import parse

from review.standins import wire

HEALTH_PATH = '/health'
_REASONS = {
    200: 'OK',
    421: 'Misdirected Request',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


@dataclasses.dataclass(slots=True)
class Run:
    """A request that the upstream began to work on.

    Attributes:
        request_id: Its `X-Request-Id`.
        method: Its method.
        target: Its path and query.
        at_s: Time at which the work began, on the steady clock.
        status: Status of the answer, 0 if there was none.
    """

    request_id: str
    method: str
    target: str
    at_s: float
    status: int = 0


class Upstream:
    """An upstream that listens on a loopback address.

    Args:
        name: Its id.
        service: Service that it belongs to.
        zone: Zone that it reports.
        work_s: Time that a request takes.
        slots: Requests that it processes at the same time.
        queue: Requests that may wait for a slot.

    Attributes:
        runs: Requests that it began to work on.
        fail_status: Status of the answers to requests that fail.
        fail_share: Share of the requests that fail, evenly spread.
        address: `IP:port` after `start`.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        *,
        work_s: float = 0.01,
        slots: int = 4,
        queue: int = 8,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.runs: list[Run] = []
        self.fail_status = 500
        self.fail_share = 0.0
        self._work_s = work_s
        self._slots = slots
        self._queue = queue
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._born_ms = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''

    async def start(self, ip: str) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'

    async def stop(self) -> None:
        """Ends the upstream: closes its port and its connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, state: str = 'ready') -> bytes:
        """Returns its entry of kind `servers`."""
        return json.dumps(
            {
                'address': self.address,
                'info': {
                    'service': self.service,
                    'config_version': 'v1',
                    'zone': self.zone,
                    'slots': self._slots,
                },
                'status': {'state': state, 'seq': 1, 'warmup_left_s': 0},
                'born': self._born_ms,
            }
        ).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                req = await wire.read_message(reader)
                writer.write(await self._answer(req))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, req: wire.Message) -> bytes:
        method, target = req.start[0], req.start[1]
        load = f'{self._running},{self._waiting},{self._slots},100'
        headers = {'x-server-load': load}
        if target == HEALTH_PATH:
            headers['x-instance-id'] = self.name
            return self._encode(200, headers)
        request_id = req.headers.get('x-request-id', '')
        headers['x-request-id'] = request_id
        if req.headers.get('x-expect-instance', self.name) != self.name:
            headers['x-instance-id'] = self.name
            return self._encode(421, headers)
        if self._running >= self._slots and self._waiting >= self._queue:
            headers['x-not-executed'] = '1'
            return self._encode(503, headers)
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            try:
                run = Run(request_id, method, target, time.monotonic())
                self.runs.append(run)
                await asyncio.sleep(self._work_s)
            finally:
                self._running -= 1
        headers['x-server-stamp'] = f'stamp-{self.name}-{request_id}'
        if self._fails(len(self.runs)):
            run.status = self.fail_status
            return self._encode(self.fail_status, headers, b'failed')
        run.status = 200
        query = dict(parse.parse_qsl(target.partition('?')[2]))
        body = self.name.encode() + b'\n'
        return self._encode(
            200, headers, body.ljust(int(query.get('bytes', 0)))
        )

    def _fails(self, number: int) -> bool:
        """Returns whether the run with a number, from 1, fails."""
        return int(number * self.fail_share) > int(
            (number - 1) * self.fail_share
        )

    def _encode(
        self, status: int, headers: dict[str, str], body: bytes = b''
    ) -> bytes:
        return wire.encode(
            f'HTTP/1.1 {status} {_REASONS[status]}', headers, body
        )
