"""Measurements of a whole fleet on a simulated network, for `slopes`.

Every function builds its fleet, runs it on a manual clock and returns points.
CPU is the CPU time of the process, simulation included, divided by the number
of hosts, so it is an upper bound.
"""

import asyncio
import collections
import random
import statistics
import time

from absl import logging
import msgspec

from benchmarks import control
from ragwortchute import clock as clock_lib
from ragwortchute import codecs
from ragwortchute import directory as directory_lib
from ragwortchute import documents
from ragwortchute import upstream
from ragwortchute import wire
from ragwortchute.records import tokens as tokens_lib
from ragwortchute.slots import manager as manager_lib
from ragwortchute.targets import table as table_lib
from tests import simulation

SEED = 20
REGIONS = 2
_ROUNDS = 3
_ROUND_S = 30
_SETTLE_S = 25
_RATE_FACTOR = 10
_CHANGES = 8
_LEADER_LOSSES = 4
_IN_FORCE_LIMIT_S = 30.0
_DOMAIN_S = 0.001
_REGION_S = 0.012
_STORE_S = 0.002
_QUERIES = 50
_TICKS = 10
_TARGETS = 950
_DESIGN_SERVICES = 54
_SLOTS = 4
_DOCUMENT_BYTES = 4000


class Point(msgspec.Struct, frozen=True):
    """One measured value of a series."""

    series: str
    x: float
    y: float


class StorePhase(msgspec.Struct, frozen=True):
    """Store calls of a whole fleet during one phase.

    Attributes:
        hosts: Hosts of the fleet at its start.
        phase: What happened.
        seconds: Length of the phase.
        per_s: Mean calls per second, by kind.
        peak: Most calls within one second.
        peak_writes: Most writes within one second.
        max_bytes_per_s: Bytes that the busiest host sent, per second.
    """

    hosts: int
    phase: str
    seconds: int
    per_s: dict[str, float]
    peak: int
    peak_writes: int
    max_bytes_per_s: float


class Fleet(control._Fleet):
    """A fleet whose number of documents can be set."""

    def __init__(self, count: int, services: int | None = None) -> None:
        super().__init__(count, REGIONS, codecs.REGISTRY.get('capnp')())
        self.rng = random.Random(SEED)
        if services is not None:
            self._set_services(services)

    def _set_services(self, services: int) -> None:
        for name in list(self.store.objects):
            if name.startswith('documents/service-'):
                del self.store.objects[name]
        for number in range(services):
            value = self.rng.randbytes(_DOCUMENT_BYTES)
            self.store.set(f'documents/service-{number:03}', value)

    async def begin(self) -> None:
        """Starts the first host, then the others, and lets them settle."""
        names = sorted(self.domains)
        self.start(*names[:1])
        await self.advance(2, step_s=0.5)
        self.start(*names[1:])
        await self.advance(_SETTLE_S, step_s=0.5)

    def restart(self) -> None:
        """Restarts a random host."""
        host = self.rng.choice(sorted(self.hosts))
        self.kill(host)
        self.start(host)

    async def phase(
        self, name: str, seconds: int, per_s: float = 0.0, act: object = None
    ) -> tuple[StorePhase, float]:
        """Runs a phase; returns its store calls and its CPU seconds."""
        self.network.reset()
        totals: collections.Counter[str] = collections.Counter()
        peak = peak_writes = done = 0
        count = len(self.hosts)
        began_s = time.process_time()
        for second in range(seconds):
            self.store.calls.clear()
            while act is not None and done < (second + 1) * per_s:
                act(done)
                done += 1
            await self.advance(1.0, step_s=1.0)
            calls = self.store.calls
            totals.update(calls)
            peak = max(peak, sum(calls.values()))
            peak_writes = max(peak_writes, calls.get('put', 0))
        cpu_s = time.process_time() - began_s
        found = StorePhase(
            hosts=count,
            phase=name,
            seconds=seconds,
            per_s={kind: n / seconds for kind, n in sorted(totals.items())},
            peak=peak,
            peak_writes=peak_writes,
            max_bytes_per_s=max(self.network.sent_bytes.values()) / seconds,
        )
        return found, cpu_s

    def mean_bytes(self, seconds: int) -> float:
        """Returns bytes per host and second of the last phase."""
        sent = sum(self.network.sent_bytes.values())
        return sent / seconds / len(self.hosts)


def by_hosts(count: int) -> list[Point]:
    """Measures a fleet at rest, under changes and restarts, and queries."""
    return _run(_by_hosts(count))


async def _by_hosts(count: int) -> list[Point]:
    fleet = Fleet(count)
    await fleet.begin()
    points = []
    cpu = []
    for _ in range(_ROUNDS):
        rest, cpu_s = await fleet.phase('at rest', _ROUND_S)
        cpu.append(100 * cpu_s / _ROUND_S / count)
    points += _fleet_points('rest', fleet, rest)
    points.append(Point('hosts-rest-cpu', count, statistics.median(cpu)))
    points += _time_queries(fleet, count)
    points.append(
        Point('hosts-tick-cpu', count, await _time_ticks(fleet, _TARGETS))
    )
    changes_per_s = _RATE_FACTOR * 1300 / 86400
    found, cpu_s = await fleet.phase(
        'changes x10', 2 * _ROUND_S, changes_per_s, fleet.change
    )
    points += _fleet_points('changes', fleet, found)
    points.append(
        Point('hosts-changes-cpu', count, 100 * cpu_s / 2 / _ROUND_S / count)
    )
    lost = sorted(fleet.hosts)[-4:]
    for host in lost:
        fleet.kill(host)
    found, _ = await fleet.phase('4 hosts fail', _ROUND_S)
    points.append(
        Point('hosts-failing-store', count, sum(found.per_s.values()))
    )
    await fleet.close()
    return points


def _fleet_points(phase: str, fleet: Fleet, found: StorePhase) -> list[Point]:
    count = found.hosts
    prefix = f'hosts-{phase}'
    return [
        Point(f'{prefix}-bytes', count, fleet.mean_bytes(found.seconds)),
        Point(f'{prefix}-max-bytes', count, found.max_bytes_per_s),
        Point(f'{prefix}-store', count, sum(found.per_s.values())),
    ]


def _time_queries(fleet: Fleet, count: int) -> list[Point]:
    """Times address queries and uncached refusal reasons on one host."""
    host = fleet.hosts[sorted(fleet.hosts)[0]]
    clock = clock_lib.SystemClock()
    directory = directory_lib.HostDirectory(
        membership=host.membership,
        tokens=tokens_lib.TokenMint('key-of-the-benchmark', clock, 120.0),
        domain_out=lambda name: False,
        rng=random.Random(SEED),
        clock=clock,
        lifetime_ms=5000,
    )
    for number in range(54):
        document = documents.ServiceDocument(f'service-{number:02}', (), ())
        directory.apply(document, number + 1)

    def query() -> None:
        directory.addresses('service-07', 'tenant-1')

    def find() -> None:
        directory._find_reason('service-07')

    return [
        Point('hosts-query-cpu', count, median_us(query)),
        Point('hosts-reason-cpu', count, median_us(find)),
    ]


class _NoUpstream(upstream.Upstream):
    """Opens no connection."""

    async def send(self, *args: object, **kwargs: object) -> None:
        raise AssertionError('an idle host sends no call')

    async def keep_open(
        self, service: str, target: documents.Target, connections: int
    ) -> int:
        return connections

    def open_connections(self, service: str, target: str) -> int:
        return _SLOTS + 1

    def forget(self, service: str, target: str) -> None:
        pass

    async def close(self) -> None:
        pass


def _make_services(targets: int) -> list[documents.ServiceDocument]:
    """Returns the services of the design with targets in both regions."""
    names = [[] for _ in range(_DESIGN_SERVICES)]
    for number in range(targets):
        region = ('luzon', 'visayas')[number // _DESIGN_SERVICES % REGIONS]
        target = documents.Target(
            f't{number}', '127.0.0.1:1', f'{region}-a', region, _SLOTS
        )
        names[number % _DESIGN_SERVICES].append(target)
    return [
        documents.ServiceDocument(f'service-{number:02}', tuple(entries), ())
        for number, entries in enumerate(names)
    ]


async def _time_ticks(fleet: Fleet, targets: int) -> float:
    """Returns percent of a core that the upkeep of all idle services takes.

    All targets are warm, and the host is in the serving sets that its real
    membership computes.
    """
    host = fleet.hosts[sorted(fleet.hosts)[0]]
    table = table_lib.TargetTable()
    manager = manager_lib.SlotManager(
        clock=clock_lib.SystemClock(),
        membership=host.membership,
        transport=simulation.SimNetwork().transport('idle'),
        table=table,
        upstream=_NoUpstream(),
        domain_state=host.distributor.domain_state,
        rng=random.Random(SEED),
        codec=codecs.REGISTRY.get('capnp')(),
    )
    for document in _make_services(targets):
        manager.apply(document)
        service = manager.service(document.service)
        for name, entry in service.warmth.entries.items():
            for _ in range(_SLOTS + 1):
                table.connection_opened(document.service, name)
            entry.pulled = entry.ramped = True
            notice = wire.TargetNotice(document.service, name, 'p0', 'warm', 1)
            service.warmth.proved(notice, entry.state.generation)
            entry.informed = service.warmth.others
    values = []
    for _ in range(7):
        began_s = time.process_time()
        for _ in range(_TICKS):
            manager.tick()
        values.append((time.process_time() - began_s) / _TICKS)
    await manager.stop()
    return 100 * statistics.median(values) / manager_lib.ROUND_S


def median_us(act: object) -> float:
    """Returns microseconds of CPU per run, the median of 7 rounds."""
    values = []
    for _ in range(7):
        began_s = time.process_time()
        for _ in range(_QUERIES):
            act()
        values.append((time.process_time() - began_s) / _QUERIES * 1e6)
    return statistics.median(values)


def at_rest(count: int, seconds: int) -> tuple[float, float, float]:
    """Returns messages, bytes and CPU percent per host and second at rest."""
    return _run(_at_rest(count, seconds))


async def _at_rest(count: int, seconds: int) -> tuple[float, float, float]:
    fleet = Fleet(count)
    await fleet.begin()
    _, cpu_s = await fleet.phase('at rest', seconds)
    messages = sum(fleet.network.sent_messages.values()) / seconds / count
    sent = fleet.mean_bytes(seconds)
    await fleet.close()
    return messages, sent, 100 * cpu_s / seconds / count


def by_services(services: int, count: int = 26) -> list[Point]:
    """Measures a fleet at rest and its start, by number of services."""
    return _run(_by_services(services, count))


async def _by_services(services: int, count: int) -> list[Point]:
    fleet = Fleet(count, services)
    await fleet.begin()
    cpu = []
    for _ in range(_ROUNDS):
        _, cpu_s = await fleet.phase('at rest', _ROUND_S)
        cpu.append(100 * cpu_s / _ROUND_S / count)
    points = [
        Point('services-bytes', services, fleet.mean_bytes(_ROUND_S)),
        Point('services-cpu', services, statistics.median(cpu)),
    ]
    await fleet.close()
    return points


def by_changes(per_hour: int, count: int = 26) -> list[Point]:
    """Measures a fleet by changes per hour."""
    return _run(
        _by_events('changes', per_hour, count, lambda f: f.change),
    )


def by_restarts(per_hour: int, count: int = 26) -> list[Point]:
    """Measures a fleet by restarts per hour."""
    return _run(
        _by_events('restarts', per_hour, count, lambda f: lambda _: f.restart())
    )


async def _by_events(
    name: str, per_hour: int, count: int, make: object
) -> list[Point]:
    fleet = Fleet(count)
    await fleet.begin()
    seconds = 4 * _ROUND_S
    # The first event comes after a full interval, so that a phase holds
    # exactly the rate times its length.
    act = make(fleet) if per_hour else None
    found, cpu_s = await fleet.phase(name, seconds, per_hour / 3600, act)
    points = [
        Point(f'{name}-bytes', per_hour, fleet.mean_bytes(seconds)),
        Point(f'{name}-cpu', per_hour, 100 * cpu_s / seconds / count),
        Point(f'{name}-store', per_hour, sum(found.per_s.values())),
    ]
    await fleet.close()
    return points


def store_phases(count: int) -> list[StorePhase]:
    """Counts store calls on an ordinary day and through large faults."""
    return _run(_store_phases(count))


async def _store_phases(count: int) -> list[StorePhase]:
    fleet = Fleet(count)
    await fleet.begin()
    found = []

    async def run(name: str, seconds: int, *args: object) -> None:
        phase, _ = await fleet.phase(name, seconds, *args)
        found.append(phase)

    await run('at rest', 60)
    await run('changes x10', 120, _RATE_FACTOR * 1300 / 86400, fleet.change)
    await run(
        'restarts x10',
        120,
        _RATE_FACTOR * 295 / 86400,
        lambda _: fleet.restart(),
    )
    rack = sorted(fleet.hosts)[:4]
    for host in rack:
        fleet.kill(host)
    await run('rack of 4 with a leader goes', 60)
    fleet.start(*rack)
    await run('rack returns', 60)
    domain = [h for h, name in fleet.domains.items() if name == 'luzon-a']
    for host in domain:
        fleet.kill(host)
    await run('failure domain goes', 60)
    fleet.start(*domain)
    await run('failure domain returns', 60)
    near = {h for h, name in fleet.domains.items() if name.startswith('luzon')}
    far = set(fleet.domains) - near
    fleet.network.partition(near, far)
    # The store lies in the first region.
    fleet.store.cut = far
    await run('regions cut, first minute', 60)
    await run('regions cut, later', 300)
    fleet.network.heal()
    fleet.store.cut = set()
    await run('regions joined again', 60)
    await fleet.close()
    return found


class _LateTransport(simulation._SimTransport):
    """Delays messages by the distance between two hosts."""

    async def _deliver(
        self, host: str, message: wire.Message
    ) -> wire.Message | None:
        delay_s = self.network.delay_s(self.host, host)
        clock = self.network.clocks[self.host]
        await clock.sleep(delay_s)
        answer = await super()._deliver(host, message)
        self.network.log.clear()
        if answer is not None:
            await clock.sleep(delay_s)
        return answer


class _LateNetwork(simulation.SimNetwork):
    def __init__(self, domains: dict[str, str]) -> None:
        super().__init__()
        self._domains = domains

    def transport(self, host: str) -> _LateTransport:
        self.transports[host] = _LateTransport(self, host)
        return self.transports[host]

    def delay_s(self, left: str, right: str) -> float:
        a, b = self._domains[left], self._domains[right]
        if a.split('-')[0] != b.split('-')[0]:
            return _REGION_S
        return _DOMAIN_S if a != b else 0.0


class _LateClient(simulation._SimClient):
    """A store in the first region that answers in 2 ms."""

    async def _call(self, kind: str) -> None:
        near = self.host.startswith('luzon')
        way_s = _DOMAIN_S if near else _REGION_S
        await self.store.clock.sleep(2 * way_s + _STORE_S)
        await super()._call(kind)


def in_force(count: int) -> list[Point]:
    """Measures the time from an accepted document to in force everywhere."""
    return _run(_in_force(count))


async def _in_force(count: int) -> list[Point]:
    fleet = Fleet(count)
    fleet.network = _LateNetwork(fleet.domains)
    fleet.store.client = lambda host: _LateClient(fleet.store, host)
    await fleet.begin()
    applied: dict[int, list[float]] = collections.defaultdict(list)

    def note(document: object, version: int) -> None:
        applied[version].append(fleet.clock.monotonic())

    for host in fleet.hosts.values():
        host.events.connect('document-applied', note)

    async def change(number: int) -> float:
        fleet.change(number)
        version = fleet.store.revision
        began_s = fleet.clock.monotonic()
        while len(applied[version]) < len(fleet.hosts):
            if fleet.clock.monotonic() > began_s + _IN_FORCE_LIMIT_S:
                raise TimeoutError(f'document is not in force, hosts={count}')
            await fleet.advance(0.1, step_s=0.1)
        return max(applied[version]) - began_s

    times = []
    for number in range(_CHANGES):
        await fleet.advance(fleet.rng.uniform(1.0, 3.0), step_s=0.5)
        times.append(await change(number))
    lost = []
    for number in range(_LEADER_LOSSES):
        await fleet.advance(fleet.rng.uniform(15.0, 16.0), step_s=0.5)
        fleet.kill(fleet.view(sorted(fleet.hosts)[0]).leader)
        lost.append(await change(number))
    await fleet.close()
    return [
        Point('hosts-in-force-median', count, statistics.median(times)),
        Point('hosts-in-force-max', count, max(times)),
        Point('hosts-in-force-leader-lost-max', count, max(lost)),
    ]


def _run(coro: object) -> list:
    logging.set_verbosity(logging.FATAL)
    return asyncio.run(coro)
