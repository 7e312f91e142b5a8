"""Slot managers of several hosts on one manual clock.

The targets are simulated and count the requests that they run.
"""

import asyncio
import random

from ragwortchute import calls
from ragwortchute import clock as clock_
from ragwortchute import documents
from ragwortchute import slots
from ragwortchute import upstream
from ragwortchute.codecs import capnp
from ragwortchute.slots import manager
from ragwortchute.targets import table as table_
from tests import fakes

SERVICE = 'dispatch'
RAMP_S = 4.0


class Process:
    """The process that runs at the address of a target.

    Attributes:
        incarnation: Its incarnation.
        running: Requests in flight, from all hosts.
        started_s: When its first request arrived, or None.
    """

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.running = 0
        self.started_s = None


class FakeUpstream(upstream.Upstream):
    """Counts connections; requests are simulated by `Cluster`."""

    def __init__(self, cluster, table):
        self.cluster = cluster
        self.table = table
        self.open = {}

    async def send(self, service, target, call):
        raise NotImplementedError

    async def keep_open(self, service, target, connections):
        if target.name in self.cluster.down:
            return 0
        while self.open.get(target.name, 0) < connections:
            self.open[target.name] = self.open.get(target.name, 0) + 1
            self.table.connection_opened(service, target.name)
        return connections

    def break_all(self, target):
        for _ in range(self.open.pop(target, 0)):
            self.table.connection_closed(SERVICE, target)

    async def close(self):
        self.open.clear()


class Host:
    """One entry host."""

    def __init__(self, cluster, name, seed):
        self.name = name
        self.membership = fakes.FakeMembership(name, cluster.names)
        self.table = table_.TargetTable()
        self.upstream = FakeUpstream(cluster, self.table)
        self.domains_out = set()
        self.manager = manager.SlotManager(
            clock=cluster.clock,
            membership=self.membership,
            transport=cluster.network.transport(name),
            table=self.table,
            upstream=self.upstream,
            domain_state=lambda name: documents.DomainState(
                'out' if name in self.domains_out else 'in'
            ),
            codec=capnp.CapnpCodec(),
            rng=random.Random(seed),
        )
        self.manager.apply(cluster.document)
        self.task = None

    @property
    def service(self):
        return self.manager.service(SERVICE)

    def state(self, target):
        return self.table.get(SERVICE, target)

    def start(self):
        self.task = asyncio.create_task(self.manager.run())

    async def kill(self):
        """Stops the host without a message to the others."""
        self.task.cancel()
        await self.manager.stop()


class Request:
    """A request that runs on a process."""

    def __init__(self, lease, process, begun_s):
        self.lease = lease
        self.process = process
        self.begun_s = begun_s


class Cluster:
    """Hosts of one serving set and the targets of one service."""

    def __init__(self, hosts=3, targets=2, slots_=3, **document):
        self.clock = clock_.ManualClock()
        self.network = fakes.FakeNetwork()
        self.names = [f'h{i}' for i in range(hosts)]
        self.down = set()
        # The warm-up takes two steps to get from 1 to 3 or 4 slots.
        document.setdefault(
            'cold_start', documents.ColdStart(1, 20.0, RAMP_S / 2)
        )
        self.document = documents.ServiceDocument(
            service=SERVICE,
            targets=tuple(
                documents.Target(
                    f't{i}', f'127.0.0.1:{i + 1}', f'luzon-{i}', 'luzon', slots_
                )
                for i in range(targets)
            ),
            routes=(),
            **document,
        )
        self.slots = slots_
        self.processes = {t.name: Process('p0') for t in self.document.targets}
        self.hosts = {}
        self.calls = 0

    async def __aenter__(self):
        for seed, name in enumerate(self.names):
            self.hosts[name] = Host(self, name, seed)
            self.hosts[name].start()
        await self.clock.advance(0.3)
        return self

    async def __aexit__(self, *exc):
        for host in self.hosts.values():
            await host.kill()

    def call(self, timeout_s=0.5, priority=1):
        self.calls += 1
        return calls.Call(
            call_id=str(self.calls),
            service=SERVICE,
            method='GET',
            path='/',
            headers=[],
            body=b'',
            tenant='',
            deadline_s=self.clock.monotonic() + timeout_s,
            idempotent=True,
            priority=priority,
        )

    def take(self, host):
        """Acquires a free slot without sending a request."""
        service = self.hosts[host].service
        return service.take_free(frozenset(), self.clock.monotonic())

    def dispatch(self, lease):
        """Sends the request of a lease if the lease is usable."""
        if not lease.usable():
            lease.release(report(slots.AttemptKind.CANCELLED, 0.0))
            return None
        process = self.processes[lease.target.name]
        now_s = self.clock.monotonic()
        process.running += 1
        if process.started_s is None:
            process.started_s = now_s
        return Request(lease, process, now_s)

    def send(self, host):
        lease = self.take(host)
        return self.dispatch(lease) if lease else None

    def answer(self, request, **fields):
        request.process.running -= 1
        latency_s = self.clock.monotonic() - request.begun_s
        fields.setdefault('incarnation', request.process.incarnation)
        request.lease.release(
            report(slots.AttemptKind.ANSWERED, latency_s, **fields)
        )

    def lose(self, request):
        """Ends a request whose process or connection was lost."""
        request.process.running -= 1
        latency_s = self.clock.monotonic() - request.begun_s
        request.lease.release(report(slots.AttemptKind.LOST, latency_s))

    def restart(self, target, requests=()):
        """Replaces the process of a target and breaks all its connections.

        Requests of `requests` that ran on the old process are lost and removed
        from the list.
        """
        old = self.processes[target]
        self.processes[target] = Process(old.incarnation + '+')
        for host in self.hosts.values():
            host.upstream.break_all(target)
        for request in [r for r in requests if r.process is old]:
            requests.remove(request)
            self.lose(request)

    def limit(self, target):
        """Returns how many requests a process may run at its age.

        The limit doubles with each step of the warm-up.
        """
        started_s = self.processes[target].started_s
        if started_s is None:
            return 1
        steps = 2  # From 1 to 3 or 4 slots.
        age_s = self.clock.monotonic() - started_s
        return min(self.slots, 1 << int(steps * age_s / RAMP_S + 1e-6))

    async def drive(self, seconds, hosts=None, check=None, hold_s=0.02):
        """Sends up to 4 requests per host every 10 ms, as slots permit.

        Args:
            seconds: Duration.
            hosts: Names of the hosts that send; all by default.
            check: Called after each round of requests.
            hold_s: Time in seconds after which a request is answered.
        """
        running = []
        end_s = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end_s:
            for host in hosts or self.names:
                for _ in range(4):
                    request = self.send(host)
                    if request:
                        running.append(request)
            if check:
                check()
            await self.clock.advance(0.01)
            now_s = self.clock.monotonic()
            for request in list(running):
                if now_s - request.begun_s >= hold_s - 1e-6:
                    running.remove(request)
                    self.answer(request)
        for request in running:
            self.answer(request)

    async def warm_up(self):
        """Warms up all targets and checks that all hosts know of it."""
        await self.drive(RAMP_S * 1.5)
        await self.clock.advance(0.5)
        for host in self.hosts.values():
            for target in self.processes:
                assert host.state(target).proved_warm(), (host.name, target)


def report(kind, latency_s, **fields):
    """Returns the report of an attempt."""
    return slots.AttemptReport(kind, latency_s, **fields)
