"""Gateway host on loopback with stand-in targets and without a store."""

import asyncio
import json
import random

from ragwortchute.gateway import dispatcher
from ragwortchute.gateway import grace
from ragwortchute.gateway import host_settings
from ragwortchute.gateway import host_state
from ragwortchute.gateway import model
from ragwortchute.gateway import relays
from ragwortchute.gateway import request_log
from ragwortchute.gateway import stats
from ragwortchute.gateway.http import answer_memory
from ragwortchute.gateway.http import http_server
from ragwortchute.gateway.http import pools
from ragwortchute.gateway.peers import failure_reports
from ragwortchute.gateway.peers import membership
from ragwortchute.gateway.selection import candidates
from ragwortchute.gateway.selection import crash_guard
from ragwortchute.gateway.selection import pacing
from ragwortchute.gateway.selection import pauses
from ragwortchute.gateway.selection import send_limits
from ragwortchute.gateway.selection import statement_reader
from ragwortchute.gateway.selection import target_statements
from ragwortchute.platform import feeds
from ragwortchute.platform import wire
from standins import platform_targets

MAX_ANSWERS_BYTES = 8 << 20
DOMAINS = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b'}


class MemoryLog:
    """Event log that keeps its lines in memory."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def event(self, kind: str, **fields: object) -> None:
        """Adds a line."""
        self.lines.append((kind, fields))

    def failure(self, kind: str, subject: str) -> None:
        """Fails the test, since the exception was unexpected."""
        raise AssertionError(f'{kind} {subject}')

    def flush(self) -> None:
        """Does nothing."""

    def kinds(self) -> list[str]:
        """Returns the kinds of all lines."""
        return [kind for kind, _ in self.lines]


class NullTransport(membership.Transport):
    """Transport that drops all datagrams."""

    def send(self, ip: str, port: int, data: bytes) -> None:
        """Drops a datagram."""


def host(
    name: str = 'h1', failure_domain: str = 'a1', **fields: object
) -> model.HostEntry:
    """Returns the entry of a host."""
    values = {
        'incarnation': 1,
        'region': DOMAINS[failure_domain],
        'caller_address': f'10.0.0.{sum(name.encode()) % 250}:80',
        'ip': '127.0.0.1',
        'peer_port': 1,
    }
    values.update(fields)
    return model.HostEntry(name=name, failure_domain=failure_domain, **values)


def route(**fields: object) -> model.Route:
    """Returns a route for the prefix `/r/` of the host name `example`."""
    values = {
        'name': 'r',
        'host': 'example',
        'path_prefix': '/r/',
        'idempotent': True,
        'timeout_s': 1.0,
        'objective_s': 0.2,
        'priority': 0,
        'services': (model.WeightedService('svc', 1.0),),
        'attempts': 2,
    }
    values.update(fields)
    return model.Route(**values)


def configuration(
    *routes: model.Route, version: int = 1, **service: object
) -> model.Configuration:
    """Returns a configuration with the service `svc`."""
    values = {
        'health_path': '/health',
        'max_connections': 100,
        'warmup_s': 3.0,
        'warmup_per_s': 10.0,
    }
    values.update(service)
    services = {'svc': model.Service(name='svc', **values)}
    return model.Configuration(
        version, routes or (route(),), services, model.Limits()
    )


class Rig:
    """Gateway host with stand-in targets.

    Args:
        targets: Stand-in targets, started by `start`.
        limits: Limits of the dispatcher.

    Attributes:
        targets: Stand-in targets.
        log: Log of the host.
        state: Configuration and targets that the host knows.
        membership: Membership of the host, without other hosts.
        reader: Reads what targets say in their answers.
        send_limits: Limits on the requests that the host sends.
        selector: Selects targets.
        stats: Counters of the host.
        failures: Reports of failures of targets.
        statements: What targets have said to all hosts.
        pauses: Pauses that targets have asked the host for.
        guard: Blocks requests that crash targets.
        grace_period: Time that the host has left in a stop.
        answers: Memory for long answers.
        rng: Source of randomness of the host.
        dispatcher: Serves requests.
        listener: Listener for callers.
        outdated: Whether the host knows of a newer configuration for too long.
        confirmed: Whether the configuration was confirmed recently.
    """

    def __init__(
        self,
        *targets: platform_targets.TargetServer,
        limits: host_settings.FleetLimits | None = None,
    ) -> None:
        self.targets = targets
        self.log = MemoryLog()
        rng = self.rng = random.Random(1)
        dialect = wire.PlatformDialect()
        self.state = host_state.HostState(dialect, DOMAINS, 'a1', self.log)
        limits = limits or host_settings.FleetLimits()
        self.membership = membership.Membership(
            host(), NullTransport(), self.log, rng, 5.4
        )
        self.statements = target_statements.TargetStatements(self.log)
        self.pauses = pauses.Pauses(self.log)
        self.send_limits = send_limits.SendLimits(
            self.statements,
            self.pauses,
            limits.warmup_overage,
            limits.warmup_slack,
        )
        self.reader = statement_reader.StatementReader(
            dialect, self.state, self.statements, self.pauses, self.log
        )
        self.selector = candidates.TargetSelector(
            rng, self.send_limits, self.reader, limits.probes_per_s
        )
        self.send_limits.fleet = pacing.make_fleet(
            'h1', ['h2', 'h3', 'h4'], True
        )
        self.stats = stats.Stats()
        self.failures = failure_reports.FailureReports(
            rng, self.state.note_reported_failure
        )
        self.answers = answer_memory.AnswerMemory(MAX_ANSWERS_BYTES)
        self.guard = crash_guard.CrashGuard('h1', self.membership, self.log)
        self.grace_period = grace.GracePeriod()
        request_log_ = request_log.RequestLog(self.log, self.state, self.stats)
        self.dispatcher = dispatcher.Dispatcher(
            state=self.state,
            dialect=dialect,
            selector=self.selector,
            relays=relays.Relays(
                self.membership,
                pools.HostPools(),
                dialect,
                request_log_,
                self.stats,
                rng,
                self.answers,
            ),
            request_log=request_log_,
            crash_guard=self.guard,
            failures=self.failures,
            statements=self.reader,
            grace_period=self.grace_period,
            is_outdated=lambda: self.outdated,
            is_confirmed=lambda: self.confirmed,
            limits=limits,
            stats=self.stats,
            rng=rng,
            memory=self.answers,
        )
        self.listener = http_server.Listener(
            self.dispatcher.serve,
            lambda: self.state.limits,
            self.log,
            'callers',
        )
        self.outdated = False
        self.confirmed = True
        self._request_count = 0

    async def start(
        self, *routes: model.Route, start_targets: bool = True
    ) -> None:
        """Starts targets and listener and applies a configuration.

        Args:
            *routes: Routes of the configuration.
            start_targets: False if another rig has started the targets.
        """
        if start_targets:
            for target in self.targets:
                await target.start()
        self.state.set_configuration(1, configuration(*routes))
        self.state.set_targets(
            [self.entry(target) for target in self.targets], 1
        )
        self.state.set_domains_out((), 1)
        self.selector.targets = len(self.targets)
        await self.listener.start('127.0.0.1', 0)

    def entry(self, target: platform_targets.TargetServer) -> model.TargetEntry:
        """Returns the entry of a target as decoded from the store."""
        return feeds.decode_target(
            target.name, json.dumps(target.entry).encode()
        )

    async def stop(self) -> None:
        """Stops the listener, the dispatcher and the targets."""
        await self.listener.stop()
        await self.dispatcher.close()
        for target in self.targets:
            await target.stop()

    async def request(
        self,
        path: str = '/r/x',
        *,
        method: str = 'GET',
        body: bytes = b'',
        deadline_ms: int = 1000,
        request_id: str = '',
    ) -> 'Response':
        """Sends one request on a new connection and reads the response."""
        self._request_count += 1
        request_id = request_id or f'id-{self._request_count}'
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.listener.port
        )
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: example\r\n'
            f'X-Request-Id: {request_id}\r\n'
            f'X-Request-Deadline-Ms: {deadline_ms}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)
        try:
            return await read_response(reader)
        finally:
            writer.close()


class Response:
    """HTTP response as received by a caller."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads one response with a `Content-Length` header."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.rstrip('\r\n').split('\r\n')
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(':') for line in lines)
    }
    body = await reader.readexactly(int(headers['content-length']))
    return Response(int(first.split(' ')[1]), headers, body)
