"""Open-loop load generator and helpers shared by the benchmarks.

Load is generated in separate processes, so that neither the stand-in targets
nor another generator delays a call. Latency is measured from the scheduled
start of a call, so a generator that falls behind makes the figures worse, not
better. Each result includes the lag and the CPU use of the generator.
"""

import argparse
import asyncio
from collections import abc
import contextlib
import itertools
import json
import multiprocessing
import multiprocessing.connection
import os
import pathlib
import random
import time
import urllib.parse

from hdrh import histogram
import httptools
import matplotlib as mpl
import msgspec
from returns import result

from ragwortchute import calls
from ragwortchute.client import caller as caller_lib
from ragwortchute.client import transport as transport_lib
from standins import deployment as deployment_lib
from standins import targets as targets_lib

MAX_LATENCY_US = 60_000_000
SERVED = 'served'
WRONG_ANSWER = 'wrong-answer'
# A larger lag of the generator at p99 distorts the measured latencies.
MAX_LAG_P99_MS = 5.0
MAX_WORKER_CPU = 0.7

_PLOTS = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'plots'
_START_DELAY_S = 0.3
# Callers cache addresses by path. With an unbounded number of paths, each call
# would need an address query and hosts would serve twice as many requests.
_PATH_COUNT = 4
_CPU_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class Phase(msgspec.Struct, frozen=True):
    """Load that one generator process offers.

    Attributes:
        rate_per_s: Mean rate of the Poisson arrivals, in calls per second.
        seconds: Time during which calls start.
        seed: Seed of the arrival times and of the choice of reads and writes.
        start_s: Monotonic time of the start; 0 starts at once.
        write_share: Share of calls that are not idempotent.
        timeout_s: Deadline of a call, in seconds after its scheduled start.
    """

    rate_per_s: float
    seconds: float
    seed: int
    start_s: float = 0.0
    write_share: float = 0.0
    timeout_s: float = 2.0


class Sample(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of one call.

    Attributes:
        due_s: Scheduled start, in seconds from the start of the phase.
        latency_us: Time from the scheduled start to the outcome.
        outcome: `served`, or outcome and reason of the refusal.
        call_id: Id of the call in the run log of the targets.
    """

    due_s: float
    latency_us: int
    outcome: str
    call_id: str


class WorkerResult(msgspec.Struct):
    """Measurements of one generator process.

    Attributes:
        samples: Outcomes of all calls.
        sends: Number of requests sent to `/call/`.
        lag_p99_ms: 99th percentile of the lag behind the schedule.
        cpu: CPU use in cores.
    """

    samples: list[Sample]
    sends: int
    lag_p99_ms: float
    cpu: float


class Result(msgspec.Struct):
    """Measurements of one phase over all generator processes.

    `lag_p99_ms` and `worker_cpu` are those of the worst process.
    """

    samples: list[Sample]
    sends: int
    lag_p99_ms: float
    worker_cpu: float

    @property
    def served(self) -> int:
        """Number of calls with a complete, correct answer."""
        return sum(s.outcome == SERVED for s in self.samples)

    @property
    def kept_up(self) -> bool:
        """Whether the generator kept up with its schedule."""
        return (
            self.lag_p99_ms <= MAX_LAG_P99_MS
            and self.worker_cpu <= MAX_WORKER_CPU
        )

    def outcomes(self) -> dict[str, int]:
        """Returns the number of calls by outcome."""
        counts: dict[str, int] = {}
        for sample in self.samples:
            counts[sample.outcome] = counts.get(sample.outcome, 0) + 1
        return dict(sorted(counts.items()))


class AsyncioTransport(transport_lib.HttpTransport):
    """Transport for the caller client based on asyncio protocols.

    The client's own transport takes about 1 ms of CPU per request, which would
    make the generator the bottleneck.
    """

    def __init__(self) -> None:
        super().__init__()
        self.call_sends = 0
        self._idle: dict[str, list[_Connection]] = {}
        self._conns: set[_Connection] = set()

    async def send(
        self,
        method: str,
        url: str,
        *,
        headers: abc.Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        timeout_s: float,
    ) -> transport_lib.Response:
        """Sends a request without retries and returns the response.

        Raises:
            SendFailed: No complete response arrived within `timeout_s` seconds.
        """
        authority, _, path = url.removeprefix('http://').partition('/')
        lines = [f'{method} /{path} HTTP/1.1', f'host: {authority}']
        lines += [f'{name}: {value}' for name, value in headers]
        lines.append(f'content-length: {len(body)}\r\n\r\n')
        data = '\r\n'.join(lines).encode() + body
        conn = None
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self._connection(authority)
                self.call_sends += path.startswith('call/')
                response = await conn.request(data)
        except TimeoutError as exc:
            raise transport_lib.SendFailed(
                f'no response of {url} in {timeout_s:.3f} s',
                maybe_sent=conn is not None,
                timed_out=conn is not None,
            ) from exc
        except OSError as exc:
            raise transport_lib.SendFailed(
                f'no response of {url}: {exc!r}', maybe_sent=conn is not None
            ) from exc
        finally:
            if conn is not None:
                self._release(authority, conn)
        return response

    async def close(self) -> None:
        """Closes all connections."""
        for conn in list(self._conns):
            conn.abort()

    async def _connection(self, authority: str) -> '_Connection':
        idle = self._idle.setdefault(authority, [])
        while idle:
            conn = idle.pop()
            if conn.open:
                return conn
        ip, _, port = authority.rpartition(':')
        _, conn = await asyncio.get_running_loop().create_connection(
            lambda: _Connection(self._conns), ip, int(port)
        )
        return conn

    def _release(self, authority: str, conn: '_Connection') -> None:
        if conn.reusable:
            self._idle[authority].append(conn)
        else:
            conn.abort()


class _Connection(asyncio.Protocol):
    """HTTP client connection that carries one request at a time."""

    def __init__(self, conns: set['_Connection']) -> None:
        self.open = False
        self._conns = conns
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[transport_lib.Response] | None = None
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []

    @property
    def reusable(self) -> bool:
        """Whether the connection is open and has no request in progress."""
        return self.open and self._waiter is None

    async def request(self, data: bytes) -> transport_lib.Response:
        """Sends a request and returns the response.

        Raises:
            OSError: The connection was lost.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiter = waiter
        self._transport.write(data)
        return await waiter

    def abort(self) -> None:
        """Closes the connection immediately."""
        self.open = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self.open = True
        self._conns.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._conns.discard(self)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ConnectionResetError('closed'))

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
        )

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        response = transport_lib.Response(
            self._parser.get_status_code(), self._headers, b''.join(self._body)
        )
        if not self._parser.should_keep_alive():
            self.open = False
        waiter, self._waiter = self._waiter, None
        self._reset()
        if waiter is not None and not waiter.done():
            waiter.set_result(response)


class Caller:
    """Starts calls on a random, seeded schedule and checks the answers.

    Args:
        service: Service to call.
        urls: Base URLs of known entry hosts.
        callers: Number of caller clients, each with its own address cache.
        name: Prefix of the ids of calls.
    """

    def __init__(
        self,
        service: str,
        urls: abc.Sequence[str],
        *,
        callers: int = 1,
        name: str = 'call',
    ) -> None:
        self._service = service
        self._name = name
        self._transport = AsyncioTransport()
        rng = random.Random(name)
        self._clients = [
            caller_lib.CallerClient(
                rng.sample(urls, len(urls)), transport=self._transport
            )
            for _ in range(callers)
        ]
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self.samples: list[Sample] = []

    async def run(self, phase: Phase) -> WorkerResult:
        """Runs the calls of a phase and waits for all of them to finish."""
        rng = random.Random(phase.seed)
        self.samples = []
        lags = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        sends_before = self._transport.call_sends
        start_s = phase.start_s or time.monotonic()
        await asyncio.sleep(max(0.0, start_s - time.monotonic()))
        cpu_before_s = time.process_time()
        due_s = start_s
        while due_s < start_s + phase.seconds:
            now_s = time.monotonic()
            if now_s < due_s:
                await asyncio.sleep(due_s - now_s)
            lag_s = max(0.0, time.monotonic() - due_s)
            lags.record_value(max(1, int(lag_s * 1e6)))
            write = rng.random() < phase.write_share
            self._start_task(self._call(phase, due_s, due_s - start_s, write))
            due_s += rng.expovariate(phase.rate_per_s)
        await asyncio.gather(*self._tasks)
        elapsed_s = time.monotonic() - start_s
        return WorkerResult(
            samples=self.samples,
            sends=self._transport.call_sends - sends_before,
            lag_p99_ms=lags.get_value_at_percentile(99) / 1000,
            cpu=(time.process_time() - cpu_before_s) / elapsed_s,
        )

    async def close(self) -> None:
        """Closes the connections."""
        for client in self._clients:
            await client.close()

    def _start_task(self, coro: abc.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(
        self, phase: Phase, due_s: float, offset_s: float, write: bool
    ) -> None:
        number = next(self._numbers)
        call_id = f'{self._name}-{number}'
        method = 'POST' if write else 'GET'
        body = b'{"job": %d}' % number if write else b''
        path = f'/jobs/{number % _PATH_COUNT}'
        client = self._clients[number % len(self._clients)]
        timeout_s = due_s + phase.timeout_s - time.monotonic()
        outcome = await client.call(
            self._service,
            method,
            path,
            body=body,
            headers=[('x-call', call_id)],
            timeout_s=max(0.001, timeout_s),
            idempotent=not write,
        )
        latency_us = max(1, int((time.monotonic() - due_s) * 1e6))
        if isinstance(outcome, result.Success):
            digest = targets_lib.expected_digest(method, path, body)
            name = _classify(outcome.unwrap(), call_id, digest)
        else:
            refusal = outcome.failure()
            name = f'{refusal.outcome}:{refusal.reason}'
        self.samples.append(Sample(offset_s, latency_us, name, call_id))


def _classify(answer: calls.Answer, call_id: str, digest: str) -> str:
    if answer.status != 200:
        return f'status:{answer.status}'
    try:
        content = json.loads(answer.body)
    except ValueError:
        return WRONG_ANSWER
    if content.get('call') != call_id or content.get('digest') != digest:
        return WRONG_ANSWER
    return SERVED


class Worker:
    """Process that generates load.

    Args:
        service: Service to call.
        urls: Base URLs of known entry hosts.
        callers: Number of caller clients in the process.
        name: Prefix of the ids of calls.
    """

    def __init__(
        self, service: str, urls: abc.Sequence[str], callers: int, name: str
    ) -> None:
        context = multiprocessing.get_context('spawn')
        self._conn, child_conn = context.Pipe()
        self._process = context.Process(
            target=_work,
            args=(child_conn, service, list(urls), callers, name),
            daemon=True,
        )
        self._process.start()
        child_conn.close()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    async def run(self, phase: Phase) -> WorkerResult:
        """Runs a phase in the process and returns its measurements."""
        self._conn.send_bytes(msgspec.msgpack.encode(phase))
        data = await asyncio.to_thread(self._conn.recv_bytes)
        return msgspec.msgpack.decode(data, type=WorkerResult)

    def close(self) -> None:
        """Ends the process."""
        self._conn.close()
        self._process.join(5.0)
        if self._process.is_alive():
            self._process.kill()


def _work(
    conn: multiprocessing.connection.Connection,
    service: str,
    urls: list[str],
    callers: int,
    name: str,
) -> None:
    async def serve() -> None:
        caller = Caller(service, urls, callers=callers, name=name)
        while True:
            try:
                data = await asyncio.to_thread(conn.recv_bytes)
            except EOFError:
                break
            phase = msgspec.msgpack.decode(data, type=Phase)
            conn.send_bytes(msgspec.msgpack.encode(await caller.run(phase)))
        await caller.close()

    asyncio.run(serve())


class Generator:
    """Generator that splits one load between several processes.

    Args:
        workers: The processes; each generates an equal share of the rate.
    """

    def __init__(self, workers: abc.Sequence[Worker]) -> None:
        self.workers = list(workers)

    async def run(
        self,
        rate_per_s: float,
        seconds: float,
        seed: int,
        *,
        write_share: float = 0.0,
        timeout_s: float = 2.0,
        start_s: float = 0.0,
    ) -> Result:
        """Runs one phase in all processes and merges their measurements."""
        start_s = start_s or time.monotonic() + _START_DELAY_S
        count = len(self.workers)
        parts = await asyncio.gather(
            *(
                worker.run(
                    Phase(
                        rate_per_s=rate_per_s / count,
                        seconds=seconds,
                        seed=seed * 100 + index,
                        start_s=start_s,
                        write_share=write_share,
                        timeout_s=timeout_s,
                    )
                )
                for index, worker in enumerate(self.workers)
            )
        )
        samples = [sample for part in parts for sample in part.samples]
        samples.sort(key=lambda sample: sample.due_s)
        return Result(
            samples=samples,
            sends=sum(part.sends for part in parts),
            lag_p99_ms=max(part.lag_p99_ms for part in parts),
            worker_cpu=max(part.cpu for part in parts),
        )

    def close(self) -> None:
        """Ends the processes."""
        for worker in self.workers:
            worker.close()


class TimedRunList(list[targets_lib.Run]):
    """List of runs that also records the monotonic time of each."""

    def __init__(self) -> None:
        super().__init__()
        self.times_s: list[float] = []

    def append(self, run: targets_lib.Run) -> None:
        """Adds a run that starts now."""
        self.times_s.append(time.monotonic())
        super().append(run)


class MachineLoad:
    """Measures the CPU use of this benchmark and of all other processes."""

    def __init__(self, pids: abc.Callable[[], abc.Iterable[int]]) -> None:
        self._pids = pids
        self._start_s = time.monotonic()
        self._busy_s = _busy_s()
        self._start_cpu_s = self._process_cpu()

    def _process_cpu(self) -> dict[int, float]:
        own = {}
        for pid in {os.getpid(), *self._pids()}:
            with contextlib.suppress(OSError):
                own[pid] = process_cpu_s(pid)
        return own

    def report(self) -> str:
        """Returns the cores used so far by this benchmark and by others."""
        elapsed_s = time.monotonic() - self._start_s
        busy = (_busy_s() - self._busy_s) / elapsed_s
        own = sum(
            max(0.0, cpu_s - self._start_cpu_s.get(pid, 0.0))
            for pid, cpu_s in self._process_cpu().items()
        )
        own /= elapsed_s
        load = pathlib.Path('/proc/loadavg').read_text().split()[0]
        return (
            f'{os.cpu_count()} cores; this benchmark used {own:.1f}, other '
            f'processes {max(0.0, busy - own):.1f}; load average {load}'
        )


def process_cpu_s(pid: int) -> float:
    """Returns the user and system CPU time of a process, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _CPU_TICKS_PER_S


def _busy_s() -> float:
    fields = pathlib.Path('/proc/stat').read_text().split('\n', 1)[0].split()
    user, nice, system, _, _, irq, softirq = map(int, fields[1:8])
    return (user + nice + system + irq + softirq) / _CPU_TICKS_PER_S


def latencies(samples: abc.Iterable[Sample]) -> histogram.HdrHistogram:
    """Returns a histogram of latencies, in microseconds."""
    hist = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for sample in samples:
        hist.record_value(min(sample.latency_us, MAX_LATENCY_US))
    return hist


def percentile_ms(hist: histogram.HdrHistogram, percent: float) -> float:
    """Returns a percentile of a histogram of microseconds, in ms."""
    return hist.get_value_at_percentile(percent) / 1000


async def dump(
    deployment: deployment_lib.Deployment, part: str
) -> dict[str, dict[str, float]]:
    """Returns one part of the state dump of each running host by name."""
    values = {}
    for name, host in deployment.hosts.items():
        if host.running:
            path = f'/dump?part={urllib.parse.quote(part)}'
            values[name] = (await deployment.operator(name, path))[part]
    return values


def total(values: dict[str, dict[str, float]], field: str) -> float:
    """Returns the sum of a field over the dumps of all hosts."""
    return sum(value[field] for value in values.values())


def table(header: abc.Sequence[str], rows: abc.Iterable[abc.Sequence]) -> str:
    """Returns a table in Markdown."""
    lines = [header, ['---'] * len(header), *rows]
    shown = (' | '.join(str(cell) for cell in line) for line in lines)
    return '\n'.join(f'| {line} |' for line in shown)


def save_plot(figure: object, name: str) -> pathlib.Path:
    """Writes a figure as SVG; equal figures give equal bytes."""
    _PLOTS.mkdir(parents=True, exist_ok=True)
    path = _PLOTS / f'{name}.svg'
    with mpl.rc_context({'svg.hashsalt': 'ragwortchute'}):
        figure.savefig(path, format='svg', metadata={'Date': None})
    return path


def parser(doc: str) -> argparse.ArgumentParser:
    """Returns an argument parser described by the first line of `doc`."""
    return argparse.ArgumentParser(description=doc.splitlines()[0])
