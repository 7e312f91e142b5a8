"""Stand-in of the targets on the users' platform.

A target runs requests in slots, tells its load, and can be told to misbehave
in the ways that the platform's targets do.
"""

import asyncio
import collections

RESPONSES = {200: 'OK', 421: 'Misdirected Request', 500: 'Error', 503: 'Full'}


class Run:
    """One request that a target began to work on.

    Attributes:
        request_id: Identity of the caller's request.
        started_s: Loop time.
        ended: How it ended: empty while it runs, `done` or `dropped`.
        path: Path of the request.
    """

    __slots__ = ('deadline_ms', 'ended', 'path', 'request_id', 'started_s')

    def __init__(
        self, request_id: str, path: str, deadline_ms: int, started_s: float
    ) -> None:
        self.request_id = request_id
        self.path = path
        self.deadline_ms = deadline_ms
        self.started_s = started_s
        self.ended = ''


class TargetServer:
    """One target.

    Attributes:
        name: Identity of the incarnation.
        service: Its service.
        failure_domain: Where it runs.
        slots: Requests that it processes concurrently.
        queue: Requests that wait before it sheds.
        work_s: Duration of a request.
        slowness: Factor on the duration, as told to callers.
        fault: What it does wrong: empty, `shed`, `error`, `hang`, `reset`,
            `truncate`, `garbage`, `extra`, `late`, `unframed`, `encoded`,
            `no-id` or `lose` (runs the request and resets).
        healthy: What its health check says.
        cold_s: How long it says that it is cold.
        crash_path: Path of requests that crash it; empty if none does.
        runs: Requests that it began to work on.
        arrivals: Loop times and paths of all requests that arrived.
        connections: Connections that were opened.
    """

    def __init__(
        self,
        name: str,
        service: str = 'svc',
        failure_domain: str = 'a1',
        *,
        slots: int = 4,
        queue: int = 8,
        work_s: float = 0.005,
    ) -> None:
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.slowness = 1.0
        self.fault = ''
        self.healthy = True
        self.cold_s = 0.0
        self.crash_path = ''
        self.runs: list[Run] = []
        self.arrivals: list[tuple[float, str]] = []
        self.connections = 0
        self.probes = 0
        self.port = 0
        self._running = 0
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def entry(self) -> dict[str, object]:
        """What it writes into the store."""
        return {
            'address': f'127.0.0.1:{self.port}',
            'info': {
                'service': self.service,
                'config_version': 'v1',
                'zone': self.failure_domain,
                'slots': self.slots,
            },
            'status': {
                'state': 'ready',
                'seq': 1,
                'warmup_left_s': self.cold_s,
            },
            'born': 1,
        }

    async def start(self, ip: str = '127.0.0.1', port: int = 0) -> None:
        """Starts to listen; `port` tells where."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Resets all connections and stops to listen."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._exchange(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.rstrip('\r\n').split('\r\n')
        headers = dict(
            (name.lower(), value.strip())
            for name, _, value in (line.partition(':') for line in lines)
        )
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        path = first.split(' ')[1]
        if path == '/health':
            self.probes += 1
            self._write(
                writer,
                200 if self.healthy else 503,
                {'x-instance-id': self.name},
                b'',
            )
            return True
        now_s = asyncio.get_running_loop().time()
        self.arrivals.append((now_s, path))
        ids = {'x-request-id': headers.get('x-request-id', '')}
        if headers.get('x-expect-instance', self.name) != self.name:
            self._write(writer, 421, {'x-instance-id': self.name}, b'')
            return True
        full = self._running >= self.slots and len(self._waiting) >= self.queue
        if full or self.fault == 'shed':
            self._write(writer, 503, {**ids, 'x-not-executed': '1'}, b'')
            return True
        run = Run(
            headers.get('x-request-id', ''),
            path,
            int(headers.get('x-request-deadline-ms', 0)),
            now_s,
        )
        if not await self._work(run, reader):
            return False
        return await self._answer(writer, ids, body)

    async def _work(self, run: Run, reader: asyncio.StreamReader) -> bool:
        """Runs a request; tells whether the caller is still there."""
        if self._running >= self.slots:
            fut = asyncio.get_running_loop().create_future()
            self._waiting.append(fut)
            await fut
        self._running += 1
        self.runs.append(run)
        if run.path == self.crash_path:
            await self.stop()
            return False
        try:
            closed = asyncio.create_task(reader.read(1))
            work_s = self.work_s * self.slowness
            if self.fault == 'hang':
                work_s = 3600.0
            done, _ = await asyncio.wait((closed,), timeout=work_s)
            # The next request may be read only once this read has ended.
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            run.ended = 'dropped' if done else 'done'
            return not done
        finally:
            self._running -= 1
            while self._waiting:
                fut = self._waiting.popleft()
                if not fut.done():
                    fut.set_result(None)
                    break

    async def _answer(
        self, writer: asyncio.StreamWriter, ids: dict[str, str], body: bytes
    ) -> bool:
        """Writes the answer; tells whether the connection stays open."""
        headers = {**ids, 'x-server-stamp': f'stamp.{self.name}'}
        text = b'answer of ' + self.name.encode() + b' ' + body
        if self.fault in ('reset', 'lose'):
            writer.transport.abort()
            return False
        if self.fault == 'error':
            self._write(writer, 500, headers, b'failed')
            return True
        if self.fault == 'encoded':
            headers['content-encoding'] = 'gzip'
        if self.fault == 'no-id':
            del headers['x-request-id']
        if self.fault == 'garbage':
            writer.write(b'\x00\xffnot an answer\r\n\r\n')
            return True
        if self.fault == 'truncate':
            self._write(writer, 200, headers, text, length=len(text) + 10)
            await writer.drain()
            return False
        if self.fault == 'unframed':
            self._write(writer, 200, headers, text, length=-1)
            await writer.drain()
            return False
        self._write(writer, 200, headers, text)
        if self.fault == 'extra':
            self._write(writer, 200, headers, b'again')
        if self.fault == 'late':
            # The second answer arrives where the next one is expected.
            asyncio.get_running_loop().call_later(
                0.001, self._write, writer, 200, headers, b'late'
            )
        return True

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
        length: int | None = None,
    ) -> None:
        lines = [f'HTTP/1.1 {status} {RESPONSES[status]}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        load = f'{self._running},{len(self._waiting)},{self.slots}'
        lines.append(f'x-server-load: {load},{int(self.slowness * 100)}')
        if self.cold_s > 0:
            lines.append(f'x-warmup-ms: {int(self.cold_s * 1000)}')
        if length is None:
            length = len(body)
        if length >= 0:
            lines.append(f'content-length: {length}')
        else:
            lines.append('connection: close')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
