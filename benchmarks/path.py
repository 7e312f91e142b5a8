"""Measures the overhead of the call path of one entry host.

Compares four routes to a target in one run, with the same open-loop load: a
direct connection, a minimal relay (uvicorn and aiohttp without any routing
decision), the call path with stub slots and records, and a complete entry
host. Reports latency from the scheduled start of each call, CPU time per call
as each process reports it, and resident memory.

Run with `make bench-path`, or with `--profile FILE` to write the cProfile
statistics of the entry host.
"""

import argparse
import asyncio
from collections import abc
import cProfile
import itertools
import multiprocessing
import multiprocessing.connection
import os
import platform
import random
import re
import resource
import socket
import time

import aiohttp
from hdrh import histogram
import msgspec
from returns import result
import uvicorn
import uvloop

from ragwortchute import application as entry_host
from ragwortchute import callers
from ragwortchute import calls
from ragwortchute import clock as clocks
from ragwortchute import config
from ragwortchute import documents
from ragwortchute import records
from ragwortchute import scraping
from ragwortchute import serving
from ragwortchute import slots
from ragwortchute.callers import application
from ragwortchute.dispatch import dispatcher
from ragwortchute.documents import matching
from ragwortchute.stores import memory
from ragwortchute.upstream import http

RATES_PER_S = (500, 1000)
ROUNDS = 6
ROUND_S = 4.0
WARM_UP_S = 2.0
SEED = 20

# Goals of the design.
MAX_ADDED_P99_MS = 1.0
MAX_CPU_RATIO = 1.5
MAX_RESIDENT_BYTES = 64 << 20

_TARGETS = 4
_ANSWER_BODY = b'x' * 600
_ANSWER = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
    b'target-incarnation: 17\r\ntarget-load: 1/4\r\n'
    b'x-trace: 0123456789abcdef\r\ncontent-length: %d\r\n\r\n%s'
) % (len(_ANSWER_BODY), _ANSWER_BODY)
_REQUEST_BODY = b'{"amount": 120, "currency": "PHP", "note": "%s"}' % (
    b'n' * 200
)
_CONTENT_LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)
_MAX_LATENCY_US = 10_000_000
_CONTROL_TIMEOUT_S = 30.0
_POLL_S = 0.1
_BUSY_WAIT_S = 0.002


class Usage(msgspec.Struct, frozen=True):
    """Resources that a process has used since its start.

    Attributes:
        cpu_s: User and system CPU time, in seconds.
        resident_bytes: Resident memory, in bytes.
    """

    cpu_s: float
    resident_bytes: int


class Row(msgspec.Struct, frozen=True):
    """Measurements of one route at one rate.

    CPU time and memory are those of the process that the load connects to.
    `best_p99_ms` is the lowest 99th percentile of all rounds. On a machine
    that is shared with other work it shows best what the process itself adds.
    """

    way: str
    rate_per_s: int
    calls: int
    failed: int
    p50_ms: float
    p99_ms: float
    best_p99_ms: float
    cpu_us: float
    resident_bytes: int


class TargetProtocol(asyncio.Protocol):
    """Server side of a connection: answers every request immediately."""

    def __init__(self) -> None:
        self._buffer = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answers each request that has been received completely."""
        self._buffer += data
        while True:
            message, self._buffer = _split_message(self._buffer)
            if not message:
                return
            self._transport.write(_ANSWER)


class CallProtocol(asyncio.Protocol):
    """Client side of a persistent connection of the load generator."""

    def __init__(self) -> None:
        self._buffer = b''
        self._waiter: asyncio.Future[bool] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Completes the call when its answer has been received completely."""
        message, self._buffer = _split_message(self._buffer + data)
        if message and self._waiter is not None:
            self._waiter.set_result(message.startswith(b'HTTP/1.1 200'))
            self._waiter = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the call in progress, if any."""
        if self._waiter is not None:
            self._waiter.set_result(False)
            self._waiter = None

    async def call(self, data: bytes) -> bool:
        """Sends a request; returns whether it was answered with 200."""
        self._waiter = asyncio.get_running_loop().create_future()
        waiter = self._waiter
        self.transport.write(data)
        return await waiter


def _split_message(data: bytes) -> tuple[bytes, bytes]:
    """Returns the first complete message, or b'', and the rest."""
    end = data.find(b'\r\n\r\n')
    if end < 0:
        return b'', data
    length = _CONTENT_LENGTH.search(data, 0, end)
    size = end + 4 + (int(length.group(1)) if length else 0)
    if len(data) < size:
        return b'', data
    return data[:size], data[size:]


class StubLease(slots.SlotLease):
    """A slot lease that is always usable."""

    __slots__ = ('source', 'target')

    def __init__(self, source: 'StubSlots', target: documents.Target) -> None:
        self.source = source
        self.target = target

    def usable(self) -> bool:
        """Returns True."""
        return True

    def release(self, report: slots.AttemptReport) -> None:
        """Decrements the number of slots in use."""
        self.source.in_flight -= 1


class StubSlots(slots.SlotSource):
    """A slot source that cycles through its targets without a limit."""

    def __init__(self, targets: abc.Sequence[documents.Target]) -> None:
        self.in_flight = 0
        self._next_targets = itertools.cycle(targets)

    async def acquire(
        self, call: calls.Call, *, exclude: frozenset[str] = frozenset()
    ) -> result.Result[slots.SlotLease, calls.Refusal]:
        """Returns a lease for the next target."""
        self.in_flight += 1
        return result.Success(StubLease(self, next(self._next_targets)))

    def try_acquire(
        self,
        call: calls.Call,
        *,
        exclude: frozenset[str] = frozenset(),
        avoid_domain: str = '',
    ) -> result.Result[slots.SlotLease, slots.HedgeDenial]:
        """Denies the slot, so that no call is hedged."""
        return result.Failure(slots.HedgeDenial.NO_SLOT)

    def hedge_delay_s(self) -> float:
        """Returns a delay, in seconds, that no call should reach."""
        return 1.0


class StubCrashGuard(records.CrashGuard):
    """A crash guard that never refuses a request."""

    def check(self, call: calls.Call) -> calls.Refusal | None:
        """Returns None: no call is refused."""
        return None

    def report_crash(
        self, call: calls.Call, target: str, started_s: float
    ) -> None:
        """Notes nothing."""

    def report_answer(self, call: calls.Call) -> None:
        """Notes nothing."""


class StubRecorder(records.Recorder):
    """A recorder that runs every call and keeps no record."""

    async def execute(
        self, call: calls.Call, run: records.Run
    ) -> records.Outcome:
        """Runs the call without recording it."""
        return await run(call)


class EmptyBudget:
    """A retry budget that is always empty."""

    def try_spend(self) -> bool:
        """Returns False: no retry is allowed."""
        return False


class StubDirectory(callers.Directory):
    """A directory of one service with two routes."""

    region = 'luzon'
    ready = True
    leaving = False

    def __init__(self) -> None:
        read = documents.Route(name='read', methods=('GET',), idempotent=True)
        pay = documents.Route(name='pay', methods=('POST',))
        self._document = documents.ServiceDocument('billing', (), (read, pay))
        self._matches = {
            'GET': matching.Match(read, (), read.deadline_ms),
            'POST': matching.Match(pay, (), pay.deadline_ms),
        }

    def document(self, service: str) -> documents.ServiceDocument | None:
        """Returns the document of the service, or None for another one."""
        return self._document if service == 'billing' else None

    def match(
        self,
        document: documents.ServiceDocument,
        method: str,
        path: str,
        organisation: str,
    ) -> matching.Match | None:
        """Returns the route for the method, whatever the path."""
        return self._matches.get(method)

    def refusal_reason(self, service: str) -> str:
        """Returns an empty reason: every service is accepted."""
        return ''

    def addresses(
        self, service: str, organisation: str, method: str = '', path: str = ''
    ) -> calls.AddressAnswer:
        """Returns an answer without addresses."""
        return calls.AddressAnswer((), 5000)


async def serve_target(ports: abc.Sequence[int]) -> int:
    """Starts a target; returns its port."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(TargetProtocol, '127.0.0.1', 0)
    return server.sockets[0].getsockname()[1]


async def serve_relay(ports: abc.Sequence[int]) -> int:
    """Starts a relay that cycles through the targets; returns its port."""
    session = aiohttp.ClientSession(
        auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
    )
    urls = itertools.cycle([f'http://127.0.0.1:{port}' for port in ports])
    dropped_request_headers = {b'host', b'content-length', b'connection'}
    dropped_answer_headers = {b'content-length', b'connection'}

    async def relay(
        scope: application.Scope,
        receive: application.Receive,
        send: application.Send,
    ) -> None:
        body = b''
        more = True
        while more:
            message = await receive()
            body += message.get('body', b'')
            more = message.get('more_body', False)
        path = scope['raw_path'].decode('latin-1')
        headers = [
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in scope['headers']
            if name not in dropped_request_headers
        ]
        async with session.request(
            scope['method'],
            next(urls) + path,
            headers=headers,
            data=body or None,
            allow_redirects=False,
        ) as resp:
            content = await resp.read()
        start = [
            (name, value)
            for name, value in resp.raw_headers
            if name.lower() not in dropped_answer_headers
        ]
        start.append((b'content-length', b'%d' % len(content)))
        await send(
            {
                'type': 'http.response.start',
                'status': resp.status,
                'headers': start,
            }
        )
        await send({'type': 'http.response.body', 'body': content})

    server_cfg = uvicorn.Config(
        relay,
        host='127.0.0.1',
        port=0,
        http='httptools',
        loop='none',
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        timeout_keep_alive=75,
    )
    server = uvicorn.Server(server_cfg)
    server.task = asyncio.create_task(server.serve())
    while not server.started:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    return server.servers[0].sockets[0].getsockname()[1]


async def serve_entry_host(ports: abc.Sequence[int]) -> int:
    """Starts a complete entry host on an in-memory store."""
    store = memory.MemoryStore()
    targets = [
        documents.Target(
            f't{number}', f'127.0.0.1:{port}', 'luzon-makati', 'luzon', 8
        )
        for number, port in enumerate(ports)
    ]
    document = documents.ServiceDocument(
        'billing',
        tuple(targets),
        (
            documents.Route(name='read', methods=('GET',), idempotent=True),
            documents.Route(name='pay', methods=('POST',)),
        ),
        documents.ColdStart(concurrency=8, rate_per_s=1000.0, ramp_s=0.1),
    )
    deployment = documents.DeploymentDocument(
        {'luzon-makati': documents.DomainEntry('luzon')}, 'luzon'
    )
    for name, value in (('billing', document), ('_deployment', deployment)):
        store.seed(f'documents/{name}', msgspec.json.encode(value))
    port, operator_port, peer_port = _free_ports(3)
    cfg = config.Settings(
        host='h1',
        region='luzon',
        failure_domain='luzon-makati',
        caller_address=f'127.0.0.1:{port}',
        operator_address=f'127.0.0.1:{operator_port}',
        peer_address=f'127.0.0.1:{peer_port}',
        deployment_key='key-of-the-benchmark',
        operator_token='token-of-the-benchmark',
        seed=SEED,
    )
    await entry_host.EntryHost(cfg, store=store).start()
    return port


def _free_ports(count: int) -> list[int]:
    socks = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


async def serve_path(ports: abc.Sequence[int]) -> int:
    """Starts the call path of an entry host with stub slots and records."""
    clock = clocks.SystemClock()
    source = StubSlots(
        [
            documents.Target(
                f't{number}', f'127.0.0.1:{port}', 'luzon-makati', 'luzon', 4
            )
            for number, port in enumerate(ports)
        ]
    )
    budget = EmptyBudget()
    target_dispatcher = dispatcher.Dispatcher(
        slot_source=lambda service: source,
        sender=http.HttpUpstream(clock),
        guard=StubCrashGuard(),
        retry_budget=lambda service: budget,
        clock=clock,
    )
    app = application.CallerApplication(
        directory=StubDirectory(),
        dispatch=target_dispatcher.run,
        recorder=StubRecorder(),
        clock=clock,
    )
    server = serving.HttpServer(app, '127.0.0.1', 0)
    await server.start()
    return server.port


def run_process(
    start_server: abc.Callable[[abc.Sequence[int]], abc.Awaitable[int]],
    ports: abc.Sequence[int],
    pipe: multiprocessing.connection.Connection,
    profile_path: str,
) -> None:
    """Runs one server until the pipe closes.

    Sends the port of the server first, then the usage for each message that
    the parent sends.
    """

    async def main() -> None:
        loop = asyncio.get_running_loop()
        stopped = asyncio.Event()

        def answer() -> None:
            try:
                pipe.recv()
            except EOFError:
                loop.remove_reader(pipe.fileno())
                stopped.set()
                return
            used = resource.getrusage(resource.RUSAGE_SELF)
            cpu_s = used.ru_utime + used.ru_stime
            pipe.send(Usage(cpu_s, scraping.resident_bytes()))

        port = await start_server(ports)
        serving.freeze_startup_objects()
        pipe.send(port)
        loop.add_reader(pipe.fileno(), answer)
        await stopped.wait()

    profile = cProfile.Profile() if profile_path else None
    if profile is not None:
        profile.enable()
    uvloop.run(main())
    if profile is not None:
        profile.disable()
        profile.dump_stats(profile_path)
    os._exit(0)


class Server:
    """A server that runs in its own process."""

    def __init__(
        self,
        start_server: abc.Callable[[abc.Sequence[int]], abc.Awaitable[int]],
        ports: abc.Sequence[int] = (),
        profile_path: str = '',
    ) -> None:
        ctx = multiprocessing.get_context('spawn')
        self._pipe, child_pipe = ctx.Pipe()
        self._process = ctx.Process(
            target=run_process,
            args=(start_server, ports, child_pipe, profile_path),
            daemon=True,
        )
        self._process.start()
        child_pipe.close()
        self.port = self._receive()

    def usage(self) -> Usage:
        """Returns the resources used by the process so far."""
        self._pipe.send(b'')
        return self._receive()

    def stop(self) -> None:
        """Closes the pipe, which stops the process, and waits for its end."""
        self._pipe.close()
        self._process.join(_CONTROL_TIMEOUT_S)

    def _receive(self) -> object:
        if not self._pipe.poll(_CONTROL_TIMEOUT_S):
            raise TimeoutError('server process did not answer in time')
        return self._pipe.recv()


class LoadGenerator:
    """Open-loop load on one port over persistent connections."""

    def __init__(self, port: int, rng: random.Random) -> None:
        self._port = port
        self._rng = rng
        self._idle: list[CallProtocol] = []
        self._run_id = f'{rng.getrandbits(32):x}'.encode()
        self._numbers = itertools.count()
        self._token = b''
        self.latencies_us = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)
        self._rounds: list[histogram.HdrHistogram] = []
        self.failed = 0
        self.calls = 0

    async def prepare(self, host_port: int) -> None:
        """Fetches the origin token that entry hosts require for payments."""
        url = f'http://127.0.0.1:{host_port}/addresses?service=billing'
        async with (
            aiohttp.ClientSession() as session,
            asyncio.timeout(_CONTROL_TIMEOUT_S),
        ):
            while True:
                async with session.get(url) as resp:
                    if resp.status == 200:
                        answer = await resp.json()
                        break
                await asyncio.sleep(_POLL_S)
        self._token = answer['hosts'][0]['origin_token'].encode()

    async def run(self, rate_per_s: int, duration_s: float) -> None:
        """Starts calls at exponential intervals and waits until they end."""
        # The clock and timers of uvloop have a resolution of 1 ms. The last
        # 2 ms before a call is due are therefore spent in busy iterations of
        # the event loop.
        loop = asyncio.get_running_loop()
        start_s = time.perf_counter()
        offset_s = 0.0
        running: set[asyncio.Task[None]] = set()
        while offset_s < duration_s:
            offset_s += self._rng.expovariate(rate_per_s)
            due_s = start_s + offset_s
            while (delay_s := due_s - time.perf_counter()) > 0:
                await asyncio.sleep(max(0.0, delay_s - _BUSY_WAIT_S))
            task = loop.create_task(self._call(due_s))
            running.add(task)
            task.add_done_callback(running.discard)
        if running:
            await asyncio.wait(running, timeout=_CONTROL_TIMEOUT_S)

    def begin_round(self) -> None:
        """Starts a new histogram, for the calls of the next round."""
        self._rounds.append(histogram.HdrHistogram(1, _MAX_LATENCY_US, 3))

    def best_p99_ms(self) -> float:
        """Returns the lowest 99th percentile of all rounds, in ms."""
        return min(r.get_value_at_percentile(99) for r in self._rounds) / 1000

    def reset(self) -> None:
        """Clears the measurements of the warm-up."""
        self.latencies_us.reset()
        self.failed = 0
        self.calls = 0

    def close(self) -> None:
        """Closes the idle connections."""
        for conn in self._idle:
            conn.transport.close()

    async def _call(self, due_s: float) -> None:
        loop = asyncio.get_running_loop()
        conn = None
        while self._idle and conn is None:
            conn = self._idle.pop()
            if conn.transport.is_closing():
                conn = None
        if conn is None:
            _, conn = await loop.create_connection(
                CallProtocol, '127.0.0.1', self._port
            )
        answered = await conn.call(self._request())
        latency_us = (time.perf_counter() - due_s) * 1_000_000
        self.latencies_us.record_value(max(1, int(latency_us)))
        if self._rounds:
            self._rounds[-1].record_value(max(1, int(latency_us)))
        self.calls += 1
        if answered:
            self._idle.append(conn)
        else:
            self.failed += 1
            conn.transport.close()

    def _request(self) -> bytes:
        number = next(self._numbers)
        common = (
            b'host: 127.0.0.1\r\nragwortchute-tenant: t1\r\n'
            b'ragwortchute-deadline-ms: 2000\r\naccept: application/json\r\n'
            b'user-agent: bench/1\r\nx-trace: 0123456789abcdef\r\n'
        )
        if number % 5:
            return b'GET /call/billing/accounts/%d HTTP/1.1\r\n%s\r\n' % (
                number,
                common,
            )
        return (
            b'POST /call/billing/payments HTTP/1.1\r\n%s'
            b'idempotency-key: k-%s-%d\r\ncontent-type: application/json\r\n'
            b'ragwortchute-origin: %s\r\nragwortchute-first-send: 1\r\n'
            b'content-length: %d\r\n\r\n%s'
        ) % (
            common,
            self._run_id,
            number,
            self._token,
            len(_REQUEST_BODY),
            _REQUEST_BODY,
        )


async def measure(
    ways: abc.Mapping[str, Server], rate_per_s: int, round_s: float
) -> list[Row]:
    """Measures all routes in each of several rounds and merges the rounds."""
    rng = random.Random(SEED)
    loads = {
        way: LoadGenerator(server.port, rng) for way, server in ways.items()
    }
    cpu_s = dict.fromkeys(ways, 0.0)
    for load in loads.values():
        await load.prepare(ways['host'].port)
        await load.run(rate_per_s, WARM_UP_S)
        load.reset()
    for _ in range(ROUNDS):
        for way, load in loads.items():
            await load.prepare(ways['host'].port)
            before = ways[way].usage()
            load.begin_round()
            await load.run(rate_per_s, round_s)
            cpu_s[way] += ways[way].usage().cpu_s - before.cpu_s
    rows = []
    for way, load in loads.items():
        load.close()
        rows.append(
            Row(
                way,
                rate_per_s,
                load.calls,
                load.failed,
                load.latencies_us.get_value_at_percentile(50) / 1000,
                load.latencies_us.get_value_at_percentile(99) / 1000,
                load.best_p99_ms(),
                cpu_s[way] / max(1, load.calls) * 1_000_000,
                ways[way].usage().resident_bytes,
            )
        )
    return rows


def report(rows: abc.Sequence[Row]) -> None:
    """Prints the measurements and compares them with the design goals."""
    print(
        'way      rate/s   calls failed   p50 ms   p99 ms  best p99'
        '  cpu us/call    MB'
    )
    for row in rows:
        print(
            f'{row.way:7} {row.rate_per_s:7d} {row.calls:7d} {row.failed:6d} '
            f'{row.p50_ms:8.3f} {row.p99_ms:8.3f} {row.best_p99_ms:9.3f} '
            f'{row.cpu_us:12.1f} '
            f'{row.resident_bytes / (1 << 20):5.1f}'
        )
    by_way = {(row.way, row.rate_per_s): row for row in rows}
    for rate in sorted({row.rate_per_s for row in rows}):
        host = by_way['host', rate]
        added_ms = host.p99_ms - by_way['direct', rate].p99_ms
        best_ms = host.best_p99_ms - by_way['direct', rate].best_p99_ms
        ratio = host.cpu_us / by_way['relay', rate].cpu_us
        print(
            f'{rate}/s: added at p99 {added_ms:.3f} ms '
            f'(quietest rounds {best_ms:.3f}, aim {MAX_ADDED_P99_MS}), '
            f'CPU {ratio:.2f} times the relay (aim {MAX_CPU_RATIO}), '
            f'resident {host.resident_bytes / (1 << 20):.1f} MB '
            f'(aim {MAX_RESIDENT_BYTES >> 20})'
        )


async def main(
    profile_path: str, rates: abc.Sequence[int], round_s: float
) -> None:
    """Starts the servers, measures all routes and prints the report."""
    print(
        f'python {platform.python_version()}, {os.cpu_count()} cores, '
        f'load {os.getloadavg()[0]:.1f}, {time.strftime("%H:%M:%S")}'
    )
    targets = [Server(serve_target) for _ in range(_TARGETS)]
    ports = [target.port for target in targets]
    ways = {
        'direct': targets[0],
        'relay': Server(serve_relay, ports),
        'path': Server(serve_path, ports),
        'host': Server(serve_entry_host, ports, profile_path),
    }
    rows = []
    try:
        for rate_per_s in rates:
            rows += await measure(ways, rate_per_s, round_s)
    finally:
        for server in {*ways.values(), *targets}:
            server.stop()
    report(rows)


def parse_args() -> argparse.Namespace:
    """Returns the command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--profile', default='', help='file for cProfile')
    parser.add_argument('--rates', type=int, nargs='+', default=RATES_PER_S)
    parser.add_argument('--round-s', type=float, default=ROUND_S)
    return parser.parse_args()


if __name__ == '__main__':
    args = parse_args()
    uvloop.run(main(args.profile, args.rates, args.round_s))
