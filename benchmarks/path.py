"""Cost of the call path of one entry host.

Compares, in one run and with the same open-loop load, calls to a target
directly, through a bare relay (uvicorn and aiohttp without any decision),
through the call path on trivial slots and records, and through an entry host
of all its real parts. Reports latency from the scheduled start of each call,
CPU per call from each process's own usage, and resident memory.

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
from ragwortchute import serving
from ragwortchute import slots
from ragwortchute.callers import application
from ragwortchute.dispatch import dispatcher
from ragwortchute.documents import matching
from ragwortchute.operators import metrics
from ragwortchute.stores import memory
from ragwortchute.upstream import http

RATES_PER_S = (500, 1000)
ROUNDS = 6
ROUND_S = 4.0
WARM_UP_S = 2.0
SEED = 20

# Aims of the design.
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
_LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)
_HIGHEST_US = 10_000_000
_CONTROL_S = 30.0
_POLL_S = 0.1
_SPIN_S = 0.002


class Usage(msgspec.Struct, frozen=True):
    """What a process used so far.

    Attributes:
        cpu_s: User and system CPU time, in seconds.
        resident_bytes: Resident memory.
    """

    cpu_s: float
    resident_bytes: int


class Row(msgspec.Struct, frozen=True):
    """Figures of one way at one rate; CPU is that of the process between.

    `best_p99_ms` is that of the quietest round. On a machine that other work
    shares it shows what the process itself adds.
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
    """Answers every request at once."""

    def __init__(self) -> None:
        self._buffer = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answers the whole requests received so far."""
        self._buffer += data
        while True:
            message, self._buffer = _split_message(self._buffer)
            if not message:
                return
            self._transport.write(_ANSWER)


class CallProtocol(asyncio.Protocol):
    """One kept connection of the load generator."""

    def __init__(self) -> None:
        self._buffer = b''
        self._waiter: asyncio.Future[bool] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Ends the call when its answer is whole."""
        message, self._buffer = _split_message(self._buffer + data)
        if message and self._waiter is not None:
            self._waiter.set_result(message.startswith(b'HTTP/1.1 200'))
            self._waiter = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the call that runs."""
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
    """Returns the first whole message, or b'', and the rest."""
    end = data.find(b'\r\n\r\n')
    if end < 0:
        return b'', data
    length = _LENGTH.search(data, 0, end)
    size = end + 4 + (int(length.group(1)) if length else 0)
    if len(data) < size:
        return b'', data
    return data[:size], data[size:]


class Lease(slots.SlotLease):
    """A slot of a trivial source."""

    __slots__ = ('source', 'target')

    def __init__(self, source: 'Slots', target: documents.Target) -> None:
        self.source = source
        self.target = target

    def usable(self) -> bool:
        """Tells that the slot may be used."""
        return True

    def release(self, report: slots.AttemptReport) -> None:
        """Counts the release."""
        self.source.in_flight -= 1


class Slots(slots.SlotSource):
    """Hands out the targets in turn."""

    def __init__(self, targets: abc.Sequence[documents.Target]) -> None:
        self.in_flight = 0
        self._turn = itertools.cycle(targets)

    async def acquire(
        self, call: calls.Call, *, exclude: frozenset[str] = frozenset()
    ) -> result.Result[slots.SlotLease, calls.Refusal]:
        """Returns a slot of the next target."""
        self.in_flight += 1
        return result.Success(Lease(self, next(self._turn)))

    def try_acquire(
        self,
        call: calls.Call,
        *,
        exclude: frozenset[str] = frozenset(),
        avoid_domain: str = '',
    ) -> result.Result[slots.SlotLease, slots.HedgeDenial]:
        """Returns no slot, so that no call is hedged."""
        return result.Failure(slots.HedgeDenial.NO_SLOT)

    def hedge_delay_s(self) -> float:
        """Returns a delay that no call reaches."""
        return 1.0


class Guard(records.CrashGuard):
    """Knows no crashing request."""

    def check(self, call: calls.Call) -> calls.Refusal | None:
        """Refuses nothing."""
        return None

    def broke(self, call: calls.Call, target: str, started_s: float) -> None:
        """Notes nothing."""

    def answered(self, call: calls.Call) -> None:
        """Notes nothing."""


class Recorder(records.Recorder):
    """Runs every call."""

    async def execute(
        self, call: calls.Call, run: records.Run
    ) -> records.Outcome:
        """Runs the call."""
        return await run(call)


class Budget:
    """A budget that is always empty."""

    def try_spend(self) -> bool:
        """Denies."""
        return False


class Directory(callers.Directory):
    """One service with two routes."""

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
        """Returns the document."""
        return self._document if service == 'billing' else None

    def match(
        self,
        document: documents.ServiceDocument,
        method: str,
        path: str,
        tenant: str,
    ) -> matching.Match | None:
        """Matches by method."""
        return self._matches.get(method)

    def refusal_reason(self, service: str) -> str:
        """Accepts everything."""
        return ''

    def addresses(
        self, service: str, tenant: str, method: str = '', path: str = ''
    ) -> calls.AddressAnswer:
        """Returns no address."""
        return calls.AddressAnswer((), 5000)


async def serve_target(ports: abc.Sequence[int]) -> int:
    """Starts a target; returns its port."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(TargetProtocol, '127.0.0.1', 0)
    return server.sockets[0].getsockname()[1]


async def serve_relay(ports: abc.Sequence[int]) -> int:
    """Starts a relay that takes no decision; returns its port."""
    session = aiohttp.ClientSession(
        auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
    )
    urls = itertools.cycle([f'http://127.0.0.1:{port}' for port in ports])
    request_drop = {b'host', b'content-length', b'connection'}
    answer_drop = {b'content-length', b'connection'}

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
            if name not in request_drop
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
            if name.lower() not in answer_drop
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

    config = uvicorn.Config(
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
    server = uvicorn.Server(config)
    server.task = asyncio.create_task(server.serve())
    while not server.started:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    return server.servers[0].sockets[0].getsockname()[1]


async def serve_entry_host(ports: abc.Sequence[int]) -> int:
    """Starts an entry host of all its real parts on a store in memory."""
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
    """Starts the call path of an entry host on trivial slots."""
    clock = clocks.SystemClock()
    source = Slots(
        [
            documents.Target(
                f't{number}', f'127.0.0.1:{port}', 'luzon-makati', 'luzon', 4
            )
            for number, port in enumerate(ports)
        ]
    )
    budget = Budget()
    calls_to_targets = dispatcher.Dispatcher(
        slot_source=lambda service: source,
        sender=http.HttpUpstream(clock),
        guard=Guard(),
        retry_budget=lambda service: budget,
        clock=clock,
    )
    app = application.CallerApplication(
        directory=Directory(),
        dispatch=calls_to_targets.run,
        recorder=Recorder(),
        clock=clock,
    )
    server = serving.HttpServer(app, '127.0.0.1', 0)
    await server.start()
    return server.port


def run_process(
    role: abc.Callable[[abc.Sequence[int]], abc.Awaitable[int]],
    ports: abc.Sequence[int],
    pipe: multiprocessing.connection.Connection,
    profile_path: str,
) -> None:
    """Runs one server until the pipe closes; answers each byte with usage."""

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
            pipe.send(Usage(cpu_s, metrics.resident_bytes()))

        port = await role(ports)
        serving.settle_memory()
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
    """A server in a process of its own."""

    def __init__(
        self,
        role: abc.Callable[[abc.Sequence[int]], abc.Awaitable[int]],
        ports: abc.Sequence[int] = (),
        profile_path: str = '',
    ) -> None:
        ctx = multiprocessing.get_context('spawn')
        self._pipe, other = ctx.Pipe()
        self._process = ctx.Process(
            target=run_process,
            args=(role, ports, other, profile_path),
            daemon=True,
        )
        self._process.start()
        other.close()
        self.port = self._receive()

    def usage(self) -> Usage:
        """Returns what the process used so far."""
        self._pipe.send(b'')
        return self._receive()

    def stop(self) -> None:
        """Ends the process."""
        self._pipe.close()
        self._process.join(_CONTROL_S)

    def _receive(self) -> object:
        if not self._pipe.poll(_CONTROL_S):
            raise TimeoutError('server process does not answer')
        return self._pipe.recv()


class Load:
    """Open-loop load on one port over kept connections."""

    def __init__(self, port: int, rng: random.Random) -> None:
        self._port = port
        self._rng = rng
        self._idle: list[CallProtocol] = []
        self._run = f'{rng.getrandbits(32):x}'.encode()
        self._keys = itertools.count()
        self._token = b''
        self.latencies_us = histogram.HdrHistogram(1, _HIGHEST_US, 3)
        self._rounds: list[histogram.HdrHistogram] = []
        self.failed = 0
        self.calls = 0

    async def prepare(self, host_port: int) -> None:
        """Gets an origin token, which entry hosts require of payments."""
        url = f'http://127.0.0.1:{host_port}/addresses?service=billing'
        async with (
            aiohttp.ClientSession() as session,
            asyncio.timeout(_CONTROL_S),
        ):
            while True:
                async with session.get(url) as resp:
                    if resp.status == 200:
                        answer = await resp.json()
                        break
                await asyncio.sleep(_POLL_S)
        self._token = answer['hosts'][0]['origin_token'].encode()

    async def run(self, rate_per_s: int, duration_s: float) -> None:
        """Starts calls at exponential intervals; waits for all to end."""
        # Timers and the time of uvloop have a resolution of 1 ms, so the last
        # 2 ms before a start are spent in turns of the loop.
        loop = asyncio.get_running_loop()
        start_s = time.perf_counter()
        offset_s = 0.0
        running: set[asyncio.Task[None]] = set()
        while offset_s < duration_s:
            offset_s += self._rng.expovariate(rate_per_s)
            due_s = start_s + offset_s
            while (delay_s := due_s - time.perf_counter()) > 0:
                await asyncio.sleep(max(0.0, delay_s - _SPIN_S))
            task = loop.create_task(self._call(due_s))
            running.add(task)
            task.add_done_callback(running.discard)
        if running:
            await asyncio.wait(running, timeout=_CONTROL_S)

    def begin_round(self) -> None:
        """Counts the calls from here on as a round of their own."""
        self._rounds.append(histogram.HdrHistogram(1, _HIGHEST_US, 3))

    def best_p99_ms(self) -> float:
        """Returns the 99th percentile of the quietest round."""
        return min(r.get_value_at_percentile(99) for r in self._rounds) / 1000

    def reset(self) -> None:
        """Forgets the calls of the warm-up."""
        self.latencies_us.reset()
        self.failed = 0
        self.calls = 0

    def close(self) -> None:
        """Closes the connections."""
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
        took_us = (time.perf_counter() - due_s) * 1_000_000
        self.latencies_us.record_value(max(1, int(took_us)))
        if self._rounds:
            self._rounds[-1].record_value(max(1, int(took_us)))
        self.calls += 1
        if answered:
            self._idle.append(conn)
        else:
            self.failed += 1
            conn.transport.close()

    def _request(self) -> bytes:
        number = next(self._keys)
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
            self._run,
            number,
            self._token,
            len(_REQUEST_BODY),
            _REQUEST_BODY,
        )


async def measure(
    ways: abc.Mapping[str, Server], rate_per_s: int, round_s: float
) -> list[Row]:
    """Runs the ways in turn, several rounds, and merges the rounds."""
    rng = random.Random(SEED)
    loads = {way: Load(server.port, rng) for way, server in ways.items()}
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
    """Prints the figures and how they compare with the aims."""
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
    """Starts the servers, measures and reports."""
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
