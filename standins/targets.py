"""Stand-in targets with slots, cold start, load shedding, faults and a log."""

import asyncio
from collections import abc
import dataclasses
import hashlib
import itertools
import json
import math
import random
import urllib.parse

import click
import httptools

from ragwortchute import calls
from ragwortchute import clock as clock_lib

_LINE_END = b'\r\n'
_SERVICE_SIGMA = 0.6


@dataclasses.dataclass(slots=True)
class Run:
    """Execution of one request on a target.

    Attributes:
        target: Name of the target.
        incarnation: Incarnation of the target that executed the request.
        key: Value of the header `Idempotency-Key`; empty if it is missing.
        call: Value of the header `X-Call`, an id chosen by the caller.
        finished: Whether the execution completed.
    """

    target: str
    incarnation: str
    key: str
    call: str
    finished: bool = False


@dataclasses.dataclass(slots=True)
class RunLog:
    """Executions and rule violations of all targets in one process.

    Attributes:
        runs: All executions in order of their start.
        cold_overloads: Requests that exceeded the concurrency limit of a cold
            target.
        connections: Number of accepted connections.
        drain_arrivals: Requests received by targets while they drained.
    """

    runs: list[Run] = dataclasses.field(default_factory=list)
    cold_overloads: int = 0
    connections: int = 0
    drain_arrivals: int = 0

    def ran_twice(self) -> list[str]:
        """Returns the idempotency keys that were executed more than once."""
        seen: dict[str, int] = {}
        for run in self.runs:
            if run.key:
                seen[run.key] = seen.get(run.key, 0) + 1
        return [key for key, count in seen.items() if count > 1]

    def count(self, call: str) -> int:
        """Returns how often the request with this `X-Call` id was executed."""
        return sum(run.call == call for run in self.runs)


class HoldPoints:
    """Suspends requests at the processing step named by their `X-Hold` header.

    The steps are `body` (part of the request body has been read), `run` (the
    request is being executed) and `answer` (half of the answer body has been
    written).

    Attributes:
        held: Pairs of `X-Call` id and target name, in the order in which the
            requests were suspended.
    """

    def __init__(self) -> None:
        self.held: list[tuple[str, str]] = []
        self._enabled = False
        self._released = asyncio.Event()

    def enable(self) -> None:
        """Starts suspending requests and clears `held`."""
        self.held.clear()
        self._enabled = True
        self._released = asyncio.Event()

    def release(self) -> None:
        """Resumes all suspended requests and stops suspending new ones."""
        self._enabled = False
        self._released.set()

    def should_hold(self, headers: list[tuple[str, str]], step: str) -> bool:
        """Returns whether a request is to be suspended at a step."""
        return self._enabled and calls.header(headers, 'x-hold') == step

    async def wait(self, headers: list[tuple[str, str]], target: str) -> None:
        """Suspends a request until `release` is called."""
        self.held.append((calls.header(headers, 'x-call'), target))
        await self._released.wait()


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Adjustable behaviour of a target; fields may be changed at any time.

    Attributes:
        mean_service_s: Mean of the lognormal service time, in seconds.
        slow_factor: Multiplier of the service time.
        connect_s: Delay before the first request of a new connection is
            processed, in seconds.
        sheds: Whether the target refuses requests beyond its slots. Otherwise
            it runs them all and service times grow in proportion.
        draining: Whether the target announces that it is draining and sheds
            every request.
        fail_fast: Whether the target answers 500 immediately.
        truncate: Whether the target closes the connection after half of the
            answer body.
        hang: Whether the target accepts requests and never answers them.
        lying_load: Load to report instead of the actual one; -1 reports the
            actual load.
        cold_concurrency: Concurrent requests that the target can process
            right after a cold start.
        cold_ramp_s: Time in which that number doubles, in seconds.
        cold_crash_s: Downtime after a crash, in seconds.
    """

    mean_service_s: float = 0.02
    slow_factor: float = 1.0
    connect_s: float = 0.001
    sheds: bool = True
    draining: bool = False
    fail_fast: bool = False
    truncate: bool = False
    hang: bool = False
    lying_load: int = -1
    cold_concurrency: int = 1
    cold_ramp_s: float = 10.0
    cold_crash_s: float = 2.0


class Target:
    """A target that listens on a loopback port.

    An answer contains the SHA-256 digest of the request's method, path and
    body, and its `X-Call` id, so that the caller can verify that the answer is
    complete and belongs to its request. A request whose body contains
    `crash-target` crashes the target.

    Args:
        name: Name of the target.
        slots: Number of requests that the target processes concurrently.
        log: Log that records executions.
        rng: Random source of the service times.
        clock: Source of time.
        warm: Whether the target starts warm.
        holds: Hold points that suspend requests with an `X-Hold` header.

    Attributes:
        behaviour: Faults and timing, adjustable at any time.
        address: Listening address as `IP:port`; empty before `start`.
        running: Requests being processed.
        peak: Highest value of `running` so far.
        incarnation: Identity of the simulated process.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        log: RunLog,
        rng: random.Random,
        *,
        clock: clock_lib.Clock | None = None,
        warm: bool = True,
        holds: HoldPoints | None = None,
    ) -> None:
        self.holds = holds or HoldPoints()
        self.name = name
        self.slots = slots
        self.log = log
        self.behaviour = Behaviour()
        self.address = ''
        self.running = 0
        self.peak = 0
        self._rng = rng
        self._clock = clock or clock_lib.SystemClock()
        self._server: asyncio.Server | None = None
        self._conns: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._incarnation_numbers = itertools.count(1)
        self._cold_since_s = -math.inf
        self.incarnation = ''
        self._new_incarnation(cold=not warm)

    async def start(self, port: int = 0) -> None:
        """Listens on a loopback port; 0 selects a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), '127.0.0.1', port
        )
        host, bound = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{bound}'

    async def stop(self) -> None:
        """Stops listening, aborts all connections and cancels all requests."""
        if self._server:
            self._server.close()
            self._server = None
        for conn in list(self._conns):
            conn.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def restart(self, down_s: float = 0.0, *, cold: bool = True) -> None:
        """Replaces the simulated process after `down_s` seconds of downtime.

        The new incarnation listens at the same address.
        """
        port = int(self.address.rpartition(':')[2])
        await self.stop()
        await self._clock.sleep(down_s)
        self._new_incarnation(cold=cold)
        await self.start(port)

    def turn_cold(self) -> None:
        """Makes the running incarnation cold without announcing it."""
        self._cold_since_s = self._clock.monotonic()

    def cold_limit(self) -> int:
        """Returns how many concurrent requests the target can process now."""
        age_s = self._clock.monotonic() - self._cold_since_s
        doublings = min(age_s / self.behaviour.cold_ramp_s, 16.0)
        limit = self.behaviour.cold_concurrency * 2.0**doublings
        return min(self.slots, int(limit))

    def _new_incarnation(self, *, cold: bool) -> None:
        self.incarnation = f'{self.name}.{next(self._incarnation_numbers)}'
        self.running = 0
        now_s = self._clock.monotonic()
        self._cold_since_s = now_s if cold else -math.inf

    def _spawn(self, coro: abc.Coroutine[None, None, None]) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _crash(self, down_s: float) -> None:
        self._spawn(self._restart_later(down_s))
        for conn in list(self._conns):
            conn.abort()

    async def _restart_later(self, down_s: float) -> None:
        port = int(self.address.rpartition(':')[2])
        if self._server:
            self._server.close()
            self._server = None
        await self._clock.sleep(down_s)
        self._new_incarnation(cold=True)
        await self.start(port)

    def _headers(self) -> list[tuple[str, str]]:
        reported_load = self.behaviour.lying_load
        load = reported_load if reported_load >= 0 else self.running
        headers = [
            ('Target-Incarnation', self.incarnation),
            ('Target-Load', f'{load}/{self.slots}'),
        ]
        if self.behaviour.draining:
            headers.append(('Target-Draining', '1'))
        return headers

    async def serve(self, req: '_Request', conn: '_Connection') -> None:
        """Processes one request and writes the answer."""
        if req.path.startswith('/_standin/'):
            await self._control(req, conn)
            return
        if self.behaviour.draining:
            self.log.drain_arrivals += 1
        if self.behaviour.draining or self._is_full():
            self._shed(conn)
            return
        if self.behaviour.fail_fast:
            conn.respond(500, self._headers(), b'{"error":"fail-fast"}')
            return
        run = Run(
            self.name,
            self.incarnation,
            calls.header(req.headers, 'idempotency-key'),
            calls.header(req.headers, 'x-call'),
        )
        self.log.runs.append(run)
        if self.running + 1 > self.cold_limit():
            self.log.cold_overloads += 1
            await self._crash(self.behaviour.cold_crash_s)
            return
        if b'crash-target' in req.body:
            await self._crash(self.behaviour.cold_crash_s)
            return
        await self._execute(req, conn, run)

    async def _execute(
        self, req: '_Request', conn: '_Connection', run: Run
    ) -> None:
        incarnation = self.incarnation
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            if self.holds.should_hold(req.headers, 'run'):
                await self.holds.wait(req.headers, self.name)
            if self.behaviour.hang:
                await asyncio.get_running_loop().create_future()
            contention = max(1.0, self.running / self.slots)
            await self._clock.sleep(self._draw_service_s() * contention)
            run.finished = True
        finally:
            if incarnation == self.incarnation:
                self.running -= 1
        body = json.dumps(
            {'call': run.call, 'digest': digest(req), 'target': self.name}
        ).encode()
        headers = [('Content-Type', 'application/json'), *self._headers()]
        if self.holds.should_hold(req.headers, 'answer'):
            half = len(body) // 2
            conn.respond(200, headers, body, sent_bytes=half)
            await self.holds.wait(req.headers, self.name)
            conn.write(body[half:])
            return
        conn.respond(200, headers, body, truncate=self.behaviour.truncate)

    def _is_full(self) -> bool:
        return self.behaviour.sheds and self.running >= self.slots

    def _shed(self, conn: '_Connection') -> None:
        headers = [('Target-Shed', '1'), *self._headers()]
        conn.respond(503, headers, b'{"error":"shed"}')

    def _draw_service_s(self) -> float:
        sigma = _SERVICE_SIGMA
        mu = math.log(self.behaviour.mean_service_s) - sigma * sigma / 2
        return self._rng.lognormvariate(mu, sigma) * self.behaviour.slow_factor

    async def _control(self, req: '_Request', conn: '_Connection') -> None:
        """Serves control requests such as `/_standin/set?slow_factor=4`.

        `restart` replaces the incarnation, `cold` makes it cold. Query
        parameters set fields of `Behaviour` by name.
        """
        url = urllib.parse.urlsplit(req.path)
        action = url.path.rpartition('/')[2]
        if action == 'restart':
            conn.respond(200, [], b'{}')
            self._spawn(self._restart_later(0.1))
            return
        if action == 'cold':
            self.turn_cold()
        settings = urllib.parse.parse_qsl(url.query)
        unknown = [
            name for name, _ in settings if not hasattr(self.behaviour, name)
        ]
        if unknown:
            error = json.dumps({'error': f'unknown: {", ".join(unknown)}'})
            conn.respond(400, [], error.encode())
            return
        for name, value in settings:
            field_type = type(getattr(self.behaviour, name))
            parsed = value == '1' if field_type is bool else field_type(value)
            setattr(self.behaviour, name, parsed)
        state = json.dumps(dataclasses.asdict(self.behaviour)).encode()
        conn.respond(200, [], state)


def digest(req: '_Request') -> str:
    """Returns the digest to be sent in the answer to a request."""
    return expected_digest(req.method, req.path, req.body)


def expected_digest(method: str, path: str, body: bytes) -> str:
    """Returns the hexadecimal digest of a request."""
    text = f'{method} {path}\n'.encode() + body
    return hashlib.sha256(text).hexdigest()


@dataclasses.dataclass(slots=True)
class _Request:
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class _Connection(asyncio.Protocol):
    """An accepted connection that processes its requests sequentially."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._connected_s = 0.0
        self._reset()

    def _reset(self) -> None:
        self._url = b''
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._connected_s = asyncio.get_running_loop().time()
        self._target.log.connections += 1
        self._target._conns.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._target._conns.discard(self)
        if self._task:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.decode('latin-1').lower(), value.decode()))

    def on_body(self, body: bytes) -> None:
        holds = self._target.holds
        if not self._body and holds.should_hold(self._headers, 'body'):
            self._transport.pause_reading()
            self._target._spawn(self._hold_body(list(self._headers)))
        self._body.append(body)

    async def _hold_body(self, headers: list[tuple[str, str]]) -> None:
        await self._target.holds.wait(headers, self._target.name)
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def on_message_complete(self) -> None:
        req = _Request(
            self._parser.get_method().decode(),
            self._url.decode(),
            self._headers,
            b''.join(self._body),
        )
        self._reset()
        self._task = self._target._spawn(self._serve(req))

    async def _serve(self, req: _Request) -> None:
        age_s = asyncio.get_running_loop().time() - self._connected_s
        wait_s = self._target.behaviour.connect_s - age_s
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        await self._target.serve(req, self)

    def respond(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        truncate: bool = False,
        sent_bytes: int = -1,
    ) -> None:
        """Writes a response with the `Content-Length` of the complete body.

        Args:
            status: HTTP status.
            headers: Response headers.
            body: The complete body.
            truncate: Whether to close the connection after half of the body.
            sent_bytes: Length of the prefix of the body to write now; -1 for
                the complete body.
        """
        if self._transport is None or self._transport.is_closing():
            return
        lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        lines += [f'{name}: {value}' for name, value in headers]
        head = '\r\n'.join(lines).encode() + _LINE_END * 2
        if truncate:
            self._transport.write(head + body[: len(body) // 2])
            self._transport.close()
            return
        self._transport.write(
            head + (body if sent_bytes < 0 else body[:sent_bytes])
        )

    def write(self, data: bytes) -> None:
        """Writes a further part of a response body."""
        if self._transport and not self._transport.is_closing():
            self._transport.write(data)

    def abort(self) -> None:
        """Aborts the connection without a response."""
        if self._transport:
            self._transport.abort()


class TargetSet:
    """Targets in one process that share a run log and hold points.

    Args:
        seed: Random seed of the service times.
        clock: Source of time.

    Attributes:
        log: Log of all executions.
        holds: Hold points shared by all targets.
        targets: Targets by name.
    """

    def __init__(
        self, seed: int = 1, clock: clock_lib.Clock | None = None
    ) -> None:
        self.log = RunLog()
        self.holds = HoldPoints()
        self.targets: dict[str, Target] = {}
        self._rng = random.Random(seed)
        self._clock = clock

    async def add(
        self, name: str, slots: int, *, port: int = 0, warm: bool = True
    ) -> Target:
        """Starts a target."""
        rng = random.Random(self._rng.random())
        target = Target(
            name,
            slots,
            self.log,
            rng,
            clock=self._clock,
            warm=warm,
            holds=self.holds,
        )
        await target.start(port)
        self.targets[name] = target
        return target

    async def stop(self) -> None:
        """Stops all targets."""
        for target in self.targets.values():
            await target.stop()


async def _run(first_port: int, count: int, slots: int, seconds: float) -> None:
    targets = TargetSet()
    for index in range(count):
        target = await targets.add(f't{index}', slots, port=first_port + index)
        click.echo(f'{target.name} {target.address}')
    await asyncio.sleep(seconds)
    await targets.stop()


@click.command()
@click.option('--first-port', default=9100, help='port of the first target')
@click.option('--count', default=4, help='number of targets')
@click.option('--slots', default=4, help='slots of each target')
@click.option('--seconds', default=600.0, help='seconds until it stops')
def main(first_port: int, count: int, slots: int, seconds: float) -> None:
    """Runs stand-in targets on loopback ports."""
    asyncio.run(_run(first_port, count, slots, seconds))


if __name__ == '__main__':
    main()
