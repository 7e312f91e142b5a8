"""Stand-in for the targets on the users' platform.

A target processes requests in slots, reports its load, and can simulate the
faults that occur in targets of the platform.
"""

import asyncio
import collections

REASON_PHRASES = {
    200: 'OK',
    408: 'Request Timeout',
    421: 'Misdirected Request',
    429: 'Too Many Requests',
    500: 'Error',
    503: 'Full',
}
# Faults in which an answer has no end, with the header that frames its body.
ENDLESS_FRAMING = {
    'endless-chunked': {'transfer-encoding': 'chunked'},
    'endless-announced': {'content-length': '100000000000'},
    'endless-unframed': {},
}
ENDLESS_PART_BYTES = 1 << 16


class Run:
    """Execution of one request on a target.

    Attributes:
        request_id: Value of the header `x-request-id`.
        path: Path of the request.
        head: Head of the request, as received.
        deadline_ms: Value of the header `x-request-deadline-ms`; 0 if it is
            missing.
        started_s: Loop time at which the request arrived, in seconds.
        ended: Empty during the execution, then `done`, or `dropped` if the
            caller disconnected the connection first.
        ended_s: Loop time of its end, infinity during the execution.
    """

    __slots__ = (
        'deadline_ms',
        'ended',
        'ended_s',
        'head',
        'path',
        'request_id',
        'started_s',
    )

    def __init__(
        self,
        request_id: str,
        path: str,
        deadline_ms: int,
        started_s: float,
        head: str = '',
    ) -> None:
        self.request_id = request_id
        self.path = path
        self.head = head
        self.deadline_ms = deadline_ms
        self.started_s = started_s
        self.ended = ''
        self.ended_s = float('inf')


class Work:
    """What a target does for the requests of a route.

    Attributes:
        work_s: Processing time of a request, in seconds.
        answer_bytes: Length to which bodies of answers are filled up.
    """

    __slots__ = ('answer_bytes', 'work_s')

    def __init__(self, work_s: float, answer_bytes: int = 0) -> None:
        self.work_s = work_s
        self.answer_bytes = answer_bytes


class TurnedAway:
    """Request that a target turned away with a `Retry-After` header.

    Attributes:
        at_s: Loop time in seconds.
        path: Path of the request.
        pause_s: Value of the header in seconds.
    """

    __slots__ = ('at_s', 'path', 'pause_s')

    def __init__(self, at_s: float, path: str, pause_s: float) -> None:
        self.at_s = at_s
        self.path = path
        self.pause_s = pause_s


class TargetServer:
    """A target that listens on a loopback port.

    Attributes:
        name: Identity of the incarnation.
        service: Name of the service that the target belongs to.
        failure_domain: Failure domain that the target reports.
        slots: Number of requests that the target processes concurrently.
        queue: Number of requests that may wait for a slot before the target
            sheds.
        work_s: Processing time of a request, in seconds.
        slowness: Multiplier of the processing time, reported to callers.
        fault: Simulated fault: empty, `shed`, `error`, `hang`, `reset`,
            `truncate`, `garbage`, `extra`, `late`, `unframed`, `encoded`,
            `no-id` or `lose`. `reset` resets the connection instead of running
            the request, `lose` instead of answering it.
        healthy: Result of the health check.
        states_in_health: Whether health answers have the statements, too.
        rejects_probes: Whether health requests are turned away like others
            while `fault` is `shed`.
        cold_s: Remaining warm-up time that the target reports, in seconds.
        limit_per_s: Limit that the target names in its answers; None for none.
        limit_in_rejections: Whether it names the limit also when it turns a
            request away.
        leaving: Whether the target says in its answers that it leaves.
        retry_after: Value of the `Retry-After` header that it adds when it
            turns a request away; empty for none.
        pauses: Requests that it turned away with a valid header of this kind.
        crash_path: Path of requests that crash the target; empty for none.
        error_status: Status of the answers while `fault` is `error`.
        answer_bytes: Length to which bodies of answers are filled up.
        work_by_route: Processing on routes that differ in it, by the first
            part of their path.
        repeats_refusals: Whether the answer to a request comes behind the
            last refusal on its connection, which is written once more.
        runs: Requests whose execution began.
        arrivals: Loop time in seconds and path of each request received.
        connections: Number of accepted connections.
        probes: Number of health checks received.
        port: Listening port; 0 before `start`.
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
        self.states_in_health = False
        self.rejects_probes = False
        self.cold_s = 0.0
        self.limit_per_s: float | None = None
        self.limit_in_rejections = True
        self.leaving = False
        self.retry_after = ''
        self.pauses: list[TurnedAway] = []
        self.crash_path = ''
        self.answer_bytes = 0
        self.work_by_route: dict[str, Work] = {}
        self.error_status = 500
        self.repeats_refusals = False
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
        # Headers of the last refusal on each connection.
        self._refusals: dict[asyncio.StreamWriter, dict[str, str]] = {}

    @property
    def entry(self) -> dict[str, object]:
        """Entry that the target registers in the store."""
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
        """Starts listening and sets `port`."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            self._refusals.pop(writer, None)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        request_line, *lines = head.rstrip('\r\n').split('\r\n')
        headers = dict(
            (name.lower(), value.strip())
            for name, _, value in (line.partition(':') for line in lines)
        )
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        path = request_line.split(' ')[1]
        if path == '/health':
            self.probes += 1
            self._answer_probe(writer)
            return True
        now_s = asyncio.get_running_loop().time()
        self.arrivals.append((now_s, path))
        id_headers = {'x-request-id': headers.get('x-request-id', '')}
        id_headers |= self._statements()
        if headers.get('x-expect-instance', self.name) != self.name:
            id_headers['x-instance-id'] = self.name
            self._write(writer, 421, id_headers, b'')
            return True
        if self.repeats_refusals and writer in self._refusals:
            self._write(writer, 503, self._refusals[writer], b'')
        full = self._running >= self.slots and len(self._waiting) >= self.queue
        if full or self.fault == 'shed':
            id_headers['x-not-executed'] = '1'
            if not self.limit_in_rejections:
                id_headers.pop('server-limit', None)
            if self.retry_after:
                id_headers['retry-after'] = self.retry_after
                self._record_pause(now_s, path)
            self._refuse(writer, id_headers)
            return True
        if self.fault == 'reset':
            writer.transport.abort()
            return False
        run = Run(
            headers.get('x-request-id', ''),
            path,
            int(headers.get('x-request-deadline-ms', 0)),
            now_s,
            head,
        )
        if not await self._execute(run, reader):
            return False
        text = b'answer of ' + self.name.encode() + b' ' + body
        text = text.ljust(self._work(path).answer_bytes)
        return await self._respond(writer, id_headers, text)

    def _work(self, path: str) -> Work:
        default = Work(self.work_s, self.answer_bytes)
        return self.work_by_route.get(path.split('/')[1], default)

    def _statements(self) -> dict[str, str]:
        """Returns what the target says in its answers."""
        statements = {}
        if self.limit_per_s is not None:
            statements['server-limit'] = f'{self.limit_per_s:g}'
        if self.leaving:
            statements['server-leaving'] = '1'
        return statements

    def _answer_probe(self, writer: asyncio.StreamWriter) -> None:
        headers = self._statements() if self.states_in_health else {}
        if self.rejects_probes and self.fault == 'shed':
            headers['x-not-executed'] = '1'
            if self.retry_after:
                headers['retry-after'] = self.retry_after
            self._refuse(writer, headers)
            return
        headers['x-instance-id'] = self.name
        self._write(writer, 200 if self.healthy else 503, headers, b'')

    def _record_pause(self, now_s: float, path: str) -> None:
        try:
            pause_s = float(self.retry_after)
        except ValueError:
            return
        self.pauses.append(TurnedAway(now_s, path, pause_s))

    async def _execute(self, run: Run, reader: asyncio.StreamReader) -> bool:
        """Executes a request; returns whether the caller is still connected."""
        if self._running >= self.slots:
            fut = asyncio.get_running_loop().create_future()
            self._waiting.append(fut)
            await fut
        self._running += 1
        self.runs.append(run)
        try:
            if run.path == self.crash_path:
                await self.stop()
                return False
            disconnected = asyncio.create_task(reader.read(1))
            work_s = self._work(run.path).work_s * self.slowness
            if self.fault == 'hang':
                work_s = 3600.0
            done, _ = await asyncio.wait((disconnected,), timeout=work_s)
            # The reader admits one read at a time, so this read must end
            # before the next request is read.
            disconnected.cancel()
            await asyncio.gather(disconnected, return_exceptions=True)
            run.ended = 'dropped' if done else 'done'
            run.ended_s = asyncio.get_running_loop().time()
            return not done
        finally:
            self._running -= 1
            while self._waiting:
                fut = self._waiting.popleft()
                if not fut.done():
                    fut.set_result(None)
                    break

    async def _respond(
        self,
        writer: asyncio.StreamWriter,
        id_headers: dict[str, str],
        text: bytes,
    ) -> bool:
        """Writes the response; returns whether the connection stays open."""
        headers = {**id_headers, 'x-server-stamp': f'stamp.{self.name}'}
        if self.fault == 'lose':
            writer.transport.abort()
            return False
        if self.fault == 'error':
            self._write(writer, self.error_status, headers, b'failed')
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
        if self.fault in ENDLESS_FRAMING:
            return await self._answer_without_end(writer, headers)
        if self.fault == 'unframed':
            self._write(writer, 200, headers, text, length=-1)
            await writer.drain()
            return False
        self._write(writer, 200, headers, text)
        if self.fault == 'extra':
            self._write(writer, 200, headers, b'again')
        if self.fault == 'late':
            # The caller receives this extra response in place of the response
            # to its next request.
            asyncio.get_running_loop().call_later(
                0.001, self._write, writer, 200, headers, b'late'
            )
        return True

    async def _answer_without_end(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        """Writes a body until the caller closes the connection."""
        headers = {**headers, **ENDLESS_FRAMING[self.fault]}
        self._write(writer, 200, headers, b'', length=-1)
        part = b'z' * ENDLESS_PART_BYTES
        if self.fault == 'endless-chunked':
            part = b'%x\r\n%b\r\n' % (len(part), part)
        while True:
            writer.write(part)
            await writer.drain()

    def _refuse(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        self._refusals[writer] = headers
        self._write(writer, 503, headers, b'')

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
        length: int | None = None,
    ) -> None:
        lines = [f'HTTP/1.1 {status} {REASON_PHRASES[status]}']
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
