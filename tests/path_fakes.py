"""Fakes for tests of the call path: targets, slots, documents, records."""

import asyncio
from collections import abc
import contextlib

from returns import result

from ragwortchute import callers
from ragwortchute import calls
from ragwortchute import documents
from ragwortchute import records
from ragwortchute import slots
from ragwortchute import upstream
from ragwortchute.documents import matching

OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


class RawTarget:
    """A target that answers each request with scripted bytes.

    Attributes:
        script: Function or coroutine function that is called for each request
            with the request number, from 1, and the connection's writer. It
            returns the bytes to write, or None to close the connection.
        requests: Header section and body of every request received.
        connections: Number of accepted connections.
        ended: Number of connections closed by the peer.
        writers: Writers of all accepted connections.
    """

    def __init__(self, script=None) -> None:
        self.script = script or (lambda number, writer: OK)
        self.requests: list[bytes] = []
        self.connections = 0
        self.ended = 0
        self.writers: list[asyncio.StreamWriter] = []

    @contextlib.asynccontextmanager
    async def serve(self) -> abc.AsyncIterator['RawTarget']:
        server = await asyncio.start_server(self._handle, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            for writer in self.writers:
                writer.close()

    def document(self, name: str = 't1', domain: str = 'luzon-makati'):
        return make_target(name, f'127.0.0.1:{self.port}', domain)

    async def _handle(self, reader, writer) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = 0
                for line in head.lower().split(b'\r\n'):
                    if line.startswith(b'content-length:'):
                        length = int(line.split(b':')[1])
                body = await reader.readexactly(length)
                self.requests.append(head + body)
                data = self.script(len(self.requests), writer)
                if asyncio.iscoroutine(data):
                    data = await data
                if data is None:
                    writer.close()
                    return
                writer.write(data)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ended += 1
            writer.close()


async def until(check: abc.Callable[[], object]) -> None:
    """Waits up to 10 s until a condition holds."""
    async with asyncio.timeout(10):
        while not check():  # noqa: ASYNC110
            await asyncio.sleep(0.001)


def make_target(name: str, address: str, domain: str = 'luzon-makati'):
    return documents.Target(
        name=name,
        address=address,
        failure_domain=domain,
        region='luzon',
        slots=4,
    )


def make_call(clock, **changes) -> calls.Call:
    values = {
        'call_id': 'c-1',
        'service': 'billing',
        'method': 'POST',
        'path': '/pay',
        'headers': [],
        'body': b'{}',
        'tenant': '',
        'deadline_s': clock.monotonic() + 5,
        'idempotent': False,
    }
    return calls.Call(**{**values, **changes})


class FakeLease(slots.SlotLease):
    """A slot lease that records the reports of its releases."""

    def __init__(self, target: documents.Target, usable: bool = True) -> None:
        self.target = target
        self.reports: list[slots.AttemptReport] = []
        self._usable = usable

    def usable(self) -> bool:
        return self._usable

    def release(self, report: slots.AttemptReport) -> None:
        self.reports.append(report)


class FakeSlots(slots.SlotSource):
    """Leases the first target that is not excluded, without a slot limit.

    Attributes:
        hedges: Remaining number of hedges.
        leases: All leases handed out.
        unusable: Number of coming leases that report themselves as unusable.
    """

    def __init__(
        self,
        *targets: documents.Target,
        hedge_s: float = 9,
        hedges: int = 100,
    ) -> None:
        self.targets = targets
        self.hedge_s = hedge_s
        self.hedges = hedges
        self.leases: list[FakeLease] = []
        self.unusable = 0

    async def acquire(self, call, *, exclude=frozenset()):
        lease = self._lease(exclude)
        if lease is None:
            return result.Failure(
                calls.Refusal(calls.Outcome.NOT_RUN, 'no-slot', 'slots', 503)
            )
        return result.Success(lease)

    def try_acquire(self, call, *, exclude=frozenset(), avoid_domain=''):
        if self.hedges <= 0:
            return result.Failure(slots.HedgeDenial.BUDGET)
        lease = self._lease(exclude)
        if lease is None:
            return result.Failure(slots.HedgeDenial.NO_SLOT)
        self.hedges -= 1
        return result.Success(lease)

    def hedge_delay_s(self) -> float:
        return self.hedge_s

    def _lease(self, exclude):
        for target in self.targets:
            if target.name not in exclude:
                usable = self.unusable <= 0
                self.unusable -= 1
                self.leases.append(FakeLease(target, usable))
                return self.leases[-1]
        return None


class FakeGuard(records.CrashGuard):
    """A crash guard that refuses calls after a number of broken connections.

    Attributes:
        broken: Target of each broken connection reported.
        cleared: Number of answered calls reported.
        refuse_after: Number of broken connections after which calls are
            refused.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.cleared = 0
        self.refuse_after = 2

    def check(self, call):
        if len(self.broken) < self.refuse_after:
            return None
        return calls.Refusal(
            calls.Outcome.NOT_RUN, 'crashes-targets', 'guard', 503
        )

    def report_crash(self, call, target, started_s) -> None:
        self.broken.append(target)

    def report_answer(self, call) -> None:
        self.cleared += 1


class FakeBudget:
    """A budget with a fixed number of units."""

    def __init__(self, units: int = 100) -> None:
        self.units = units

    def try_spend(self) -> bool:
        self.units -= 1
        return self.units >= 0


class FakeRecorder(records.Recorder):
    """Runs every call and stores its outcome by key."""

    def __init__(self) -> None:
        self.outcomes: dict[str, records.Outcome] = {}

    async def execute(self, call, run):
        self.outcomes[call.key] = await run(call)
        return self.outcomes[call.key]


class FakeListener(upstream.ConnectionListener):
    """Counts connections that are open and that were opened."""

    def __init__(self) -> None:
        self.open = 0
        self.opened = 0

    def connection_opened(self, service, target) -> None:
        self.open += 1
        self.opened += 1

    def connection_closed(self, service, target) -> None:
        self.open -= 1


class FakeDirectory(callers.Directory):
    """A directory of one service with an idempotent and a recorded route."""

    region = 'luzon'
    ready = True
    leaving = False

    def __init__(self) -> None:
        self.reason = ''
        self.homes: tuple[str, ...] = ()
        self.routes = (
            documents.Route(name='pay', methods=('POST',)),
            documents.Route(name='read', idempotent=True),
        )

    def document(self, service):
        if service != 'billing':
            return None
        return documents.ServiceDocument(service, (), self.routes)

    def match(self, document, method, path, organisation):
        for route in document.routes:
            methods = not route.methods or method in route.methods
            if methods and path.startswith(route.path_prefix):
                return matching.Match(route, self.homes, route.deadline_ms)
        return None

    def refusal_reason(self, service) -> str:
        return self.reason

    def addresses(self, service, organisation, method='', path=''):
        address = calls.Address(
            'h2', 'http://127.0.0.1:2', 'luzon-pasig', 'luzon'
        )
        return calls.AddressAnswer((address,), 5000)
