"""Stand-in targets: slots, cold start, shedding, faults and a run log."""

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

_HEADER_END = b'\r\n'
_SERVICE_SIGMA = 0.6


@dataclasses.dataclass(slots=True)
class Run:
    """One execution of a request on a target.

    Attributes:
        target: Name of the target.
        incarnation: Incarnation that ran it.
        key: Header `Idempotency-Key`, or an empty string.
        call: Header `X-Call`, an id that the caller chose.
        finished: Whether the run reached its end.
    """

    target: str
    incarnation: str
    key: str
    call: str
    finished: bool = False


@dataclasses.dataclass(slots=True)
class RunLog:
    """Executions and broken rules of all targets of one process.

    Attributes:
        runs: Every execution.
        cold_overloads: Requests that came to a cold target above its limit.
        connections: Connections accepted.
        drain_arrivals: Requests that came to a draining target.
    """

    runs: list[Run] = dataclasses.field(default_factory=list)
    cold_overloads: int = 0
    connections: int = 0
    drain_arrivals: int = 0

    def ran_twice(self) -> list[str]:
        """Returns the request keys that were executed more than once."""
        seen: dict[str, int] = {}
        for run in self.runs:
            if run.key:
                seen[run.key] = seen.get(run.key, 0) + 1
        return [key for key, count in seen.items() if count > 1]

    def count(self, call: str) -> int:
        """Returns how often the request with a caller's id was executed."""
        return sum(run.call == call for run in self.runs)


class Holds:
    """Keeps requests with a header `X-Hold` at the step that it names.

    The steps are `body` (a part of the request body was read), `run` (the
    request runs) and `answer` (half of the answer body was written).

    Attributes:
        held: Pairs of `X-Call` and target name in order of arrival.
    """

    def __init__(self) -> None:
        self.held: list[tuple[str, str]] = []
        self._armed = False
        self._released = asyncio.Event()

    def arm(self) -> None:
        """Begins to keep requests."""
        self.held.clear()
        self._armed = True
        self._released = asyncio.Event()

    def release(self) -> None:
        """Lets all requests go on, later ones too."""
        self._armed = False
        self._released.set()

    def wanted(self, headers: list[tuple[str, str]], step: str) -> bool:
        """Tells whether a request is to be kept at a step."""
        return self._armed and calls.header(headers, 'x-hold') == step

    async def wait(self, headers: list[tuple[str, str]], target: str) -> None:
        """Keeps a request until `release`."""
        self.held.append((calls.header(headers, 'x-call'), target))
        await self._released.wait()


@dataclasses.dataclass(slots=True)
class Behaviour:
    """What a target does; a test changes the fields at any time.

    Attributes:
        mean_service_s: Mean of the lognormal service time, in seconds.
        slow_factor: Factor on the service time.
        connect_s: Seconds until a new connection takes its first request.
        sheds: Whether it refuses requests beyond its slots; else they share
            its processor time.
        draining: Whether it announces that it is leaving and sheds.
        fail_fast: Whether it answers 500 at once.
        truncate: Whether it cuts its answers short.
        hang: Whether it takes requests and never answers.
        lying_load: Load to report in place of the true one; -1 for the truth.
        cold_concurrency: Requests at once that it bears when just started.
        cold_ramp_s: Seconds in which that number doubles.
        cold_crash_s: Seconds it is away after an overload when cold.
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
    """One target on a loopback port.

    A request is answered with the SHA-256 of its method, path and body and
    with the caller's `X-Call`, so that a caller can check that an answer is
    whole and its own. A body that contains `crash-target` ends the target.

    Args:
        name: Name of the target.
        slots: Requests that it runs at once.
        log: Where executions are recorded.
        rng: Source of service times.
        clock: Source of time.
        warm: Whether it starts warm.
        holds: Keeps marked requests at a step.
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
        holds: Holds | None = None,
    ) -> None:
        self.holds = holds or Holds()
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
        self._numbers = itertools.count(1)
        self._cold_since_s = -math.inf
        self.incarnation = ''
        self._new_incarnation(cold=not warm)

    async def start(self, port: int = 0) -> None:
        """Listens on a loopback port; 0 takes a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), '127.0.0.1', port
        )
        host, bound = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{bound}'

    async def stop(self) -> None:
        """Breaks all connections and stops listening."""
        if self._server:
            self._server.close()
            self._server = None
        for conn in list(self._conns):
            conn.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def restart(self, down_s: float = 0.0, *, cold: bool = True) -> None:
        """Ends the process behind the address and starts another one."""
        port = int(self.address.rpartition(':')[2])
        await self.stop()
        await self._clock.sleep(down_s)
        self._new_incarnation(cold=cold)
        await self.start(port)

    def turn_cold(self) -> None:
        """Makes the same process cold again, without notice."""
        self._cold_since_s = self._clock.monotonic()

    def cold_limit(self) -> int:
        """Returns the requests at once that the target bears now."""
        age_s = self._clock.monotonic() - self._cold_since_s
        doublings = min(age_s / self.behaviour.cold_ramp_s, 16.0)
        limit = self.behaviour.cold_concurrency * 2.0**doublings
        return min(self.slots, int(limit))

    def _new_incarnation(self, *, cold: bool) -> None:
        self.incarnation = f'{self.name}.{next(self._numbers)}'
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
        lying = self.behaviour.lying_load
        load = lying if lying >= 0 else self.running
        headers = [
            ('Target-Incarnation', self.incarnation),
            ('Target-Load', f'{load}/{self.slots}'),
        ]
        if self.behaviour.draining:
            headers.append(('Target-Draining', '1'))
        return headers

    async def serve(self, req: '_Request', conn: '_Connection') -> None:
        """Runs one request and writes the answer."""
        if req.path.startswith('/_standin/'):
            await self._control(req, conn)
            return
        if self.behaviour.draining:
            self.log.drain_arrivals += 1
        if self.behaviour.draining or self._full():
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
            if self.holds.wanted(req.headers, 'run'):
                await self.holds.wait(req.headers, self.name)
            if self.behaviour.hang:
                await asyncio.get_running_loop().create_future()
            overload = max(1.0, self.running / self.slots)
            await self._clock.sleep(self._service_s() * overload)
            run.finished = True
        finally:
            if incarnation == self.incarnation:
                self.running -= 1
        body = json.dumps(
            {'call': run.call, 'digest': digest(req), 'target': self.name}
        ).encode()
        headers = [('Content-Type', 'application/json'), *self._headers()]
        if self.holds.wanted(req.headers, 'answer'):
            half = len(body) // 2
            conn.respond(200, headers, body, sent=half)
            await self.holds.wait(req.headers, self.name)
            conn.write(body[half:])
            return
        conn.respond(200, headers, body, cut=self.behaviour.truncate)

    def _full(self) -> bool:
        return self.behaviour.sheds and self.running >= self.slots

    def _shed(self, conn: '_Connection') -> None:
        headers = [('Target-Shed', '1'), *self._headers()]
        conn.respond(503, headers, b'{"error":"shed"}')

    def _service_s(self) -> float:
        sigma = _SERVICE_SIGMA
        mu = math.log(self.behaviour.mean_service_s) - sigma * sigma / 2
        return self._rng.lognormvariate(mu, sigma) * self.behaviour.slow_factor

    async def _control(self, req: '_Request', conn: '_Connection') -> None:
        """Changes the behaviour: `/_standin/set?slow_factor=4`."""
        url = urllib.parse.urlsplit(req.path)
        action = url.path.rpartition('/')[2]
        if action == 'restart':
            conn.respond(200, [], b'{}')
            self._spawn(self._restart_later(0.1))
            return
        if action == 'cold':
            self.turn_cold()
        for name, value in urllib.parse.parse_qsl(url.query):
            kind = type(getattr(self.behaviour, name))
            parsed = value == '1' if kind is bool else kind(value)
            setattr(self.behaviour, name, parsed)
        state = json.dumps(dataclasses.asdict(self.behaviour)).encode()
        conn.respond(200, [], state)


def digest(req: '_Request') -> str:
    """Returns the digest that an answer must carry."""
    return expected_digest(req.method, req.path, req.body)


def expected_digest(method: str, path: str, body: bytes) -> str:
    """Returns the digest of a request, in hexadecimal."""
    text = f'{method} {path}\n'.encode() + body
    return hashlib.sha256(text).hexdigest()


@dataclasses.dataclass(slots=True)
class _Request:
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class _Connection(asyncio.Protocol):
    """One accepted connection; requests on it run one after the other."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._opened_s = 0.0
        self._reset()

    def _reset(self) -> None:
        self._url = b''
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._opened_s = asyncio.get_running_loop().time()
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
        if not self._body and holds.wanted(self._headers, 'body'):
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
        age_s = asyncio.get_running_loop().time() - self._opened_s
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
        cut: bool = False,
        sent: int = -1,
    ) -> None:
        """Writes an answer.

        Args:
            status: HTTP status.
            headers: Response headers.
            body: The whole body.
            cut: Whether to close the connection after half of the body.
            sent: Bytes of the body to write; -1 for all of it.
        """
        if self._transport is None or self._transport.is_closing():
            return
        lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        lines += [f'{name}: {value}' for name, value in headers]
        head = '\r\n'.join(lines).encode() + _HEADER_END * 2
        if cut:
            self._transport.write(head + body[: len(body) // 2])
            self._transport.close()
            return
        self._transport.write(head + (body if sent < 0 else body[:sent]))

    def write(self, data: bytes) -> None:
        """Writes a further part of an answer."""
        if self._transport and not self._transport.is_closing():
            self._transport.write(data)

    def abort(self) -> None:
        """Breaks the connection without an answer."""
        if self._transport:
            self._transport.abort()


class TargetSet:
    """Targets of one process, with one run log.

    Args:
        seed: Seed of the service times.
        clock: Source of time.
    """

    def __init__(
        self, seed: int = 1, clock: clock_lib.Clock | None = None
    ) -> None:
        self.log = RunLog()
        self.holds = Holds()
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
