"""Measurements of a whole fleet on a simulated network, for `slopes`.

Each measurement builds a fleet, runs it on a manual clock and returns points.
CPU per host is the CPU time of the process divided by the number of hosts. It
includes the simulation, so it is an upper bound.
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
_CHANGE_COUNT = 8
_LEADER_LOSS_COUNT = 4
_IN_FORCE_TIMEOUT_S = 30.0
_DOMAIN_DELAY_S = 0.001
_REGION_DELAY_S = 0.012
_STORE_LATENCY_S = 0.002
_RUNS_PER_ROUND = 50
_TICKS_PER_ROUND = 10
_DESIGN_TARGETS = 950
_DESIGN_SERVICES = 54
_SLOTS_PER_TARGET = 4
_DOCUMENT_BYTES = 4000


class Point(msgspec.Struct, frozen=True):
    """One measured value of a series."""

    series: str
    x: float
    y: float


class StorePhase(msgspec.Struct, frozen=True):
    """Store calls and the largest control traffic of a fleet in one phase.

    Attributes:
        hosts: Hosts that run at the start of the phase.
        phase: Name of the phase: the changes or faults in it.
        seconds: Duration of the phase.
        per_s: Mean store calls per second, by kind.
        peak: Largest number of store calls within one second.
        peak_writes: Largest number of writes within one second.
        max_bytes_per_s: Bytes per second sent by the host that sent most.
    """

    hosts: int
    phase: str
    seconds: int
    per_s: dict[str, float]
    peak: int
    peak_writes: int
    max_bytes_per_s: float


class Fleet(control._Fleet):
    """A fleet with a settable number of service documents."""

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
        """Starts the first host, then the others, and waits `_SETTLE_S`."""
        names = sorted(self.domains)
        self.start(*names[:1])
        await self.advance(2, step_s=0.5)
        self.start(*names[1:])
        await self.advance(_SETTLE_S, step_s=0.5)

    def restart(self) -> None:
        """Kills a random host and starts it again at once."""
        host = self.rng.choice(sorted(self.hosts))
        self.kill(host)
        self.start(host)

    async def phase(
        self, name: str, seconds: int, per_s: float = 0.0, act: object = None
    ) -> tuple[StorePhase, float]:
        """Runs one phase of simulated time.

        Args:
            name: Name of the phase.
            seconds: Duration of the phase.
            per_s: Rate at which `act` is called.
            act: Called with the number of earlier calls, or None.

        Returns:
            The store calls of the phase and its CPU time in seconds.
        """
        self.network.reset()
        totals: collections.Counter[str] = collections.Counter()
        peak = peak_writes = done = 0
        count = len(self.hosts)
        start_s = time.process_time()
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
        cpu_s = time.process_time() - start_s
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
        """Returns bytes sent per host and second in the last phase.

        Args:
            seconds: Duration of that phase.
        """
        sent = sum(self.network.sent_bytes.values())
        return sent / seconds / len(self.hosts)


def by_hosts(count: int) -> list[Point]:
    """Measures a fleet by number of hosts.

    Covers a fleet at rest, under changes and after 4 hosts fail, and on one
    host address queries and the upkeep of idle services.
    """
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
        Point(
            'hosts-tick-cpu', count, await _time_ticks(fleet, _DESIGN_TARGETS)
        )
    )
    changes_per_s = _RATE_FACTOR * 1300 / 86400
    found, cpu_s = await fleet.phase(
        'changes x10', 2 * _ROUND_S, changes_per_s, fleet.change
    )
    points += _fleet_points('changes', fleet, found)
    points.append(
        Point('hosts-changes-cpu', count, 100 * cpu_s / 2 / _ROUND_S / count)
    )
    failed = sorted(fleet.hosts)[-4:]
    for host in failed:
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
    """Measures address queries and uncached refusal reasons on one host."""
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


class _StubUpstream(upstream.Upstream):
    """An upstream that opens no connection and reports all as open."""

    async def send(self, *args: object, **kwargs: object) -> None:
        raise AssertionError('an idle host must not send a call')

    async def keep_open(
        self, service: str, target: documents.Target, connections: int
    ) -> int:
        return connections

    def open_connections(self, service: str, target: str) -> int:
        return _SLOTS_PER_TARGET + 1

    def forget(self, service: str, target: str) -> None:
        pass

    async def close(self) -> None:
        pass


def _make_services(targets: int) -> list[documents.ServiceDocument]:
    """Returns `_DESIGN_SERVICES` services with targets in both regions."""
    targets_by_service = [[] for _ in range(_DESIGN_SERVICES)]
    for number in range(targets):
        region = ('luzon', 'visayas')[number // _DESIGN_SERVICES % REGIONS]
        target = documents.Target(
            f't{number}',
            '127.0.0.1:1',
            f'{region}-a',
            region,
            _SLOTS_PER_TARGET,
        )
        targets_by_service[number % _DESIGN_SERVICES].append(target)
    return [
        documents.ServiceDocument(f'service-{number:02}', tuple(entries), ())
        for number, entries in enumerate(targets_by_service)
    ]


async def _time_ticks(fleet: Fleet, targets: int) -> float:
    """Measures the periodic upkeep of all idle services on one host.

    All targets are warm, and the host is in the serving sets that its
    simulated membership computes.

    Returns:
        Percent of one core.
    """
    host = fleet.hosts[sorted(fleet.hosts)[0]]
    table = table_lib.TargetTable()
    manager = manager_lib.SlotManager(
        clock=clock_lib.SystemClock(),
        membership=host.membership,
        transport=simulation.SimNetwork().transport('idle'),
        table=table,
        upstream=_StubUpstream(),
        domain_state=host.distributor.domain_state,
        rng=random.Random(SEED),
        codec=codecs.REGISTRY.get('capnp')(),
    )
    for document in _make_services(targets):
        manager.apply(document)
        service = manager.service(document.service)
        for name, entry in service.warmth.entries.items():
            for _ in range(_SLOTS_PER_TARGET + 1):
                table.connection_opened(document.service, name)
            entry.pulled = entry.ramped = True
            notice = wire.TargetNotice(document.service, name, 'p0', 'warm', 1)
            service.warmth.proved(notice, entry.state.generation)
            entry.informed = service.warmth.others
    values = []
    for _ in range(7):
        start_s = time.process_time()
        for _ in range(_TICKS_PER_ROUND):
            manager.tick()
        values.append((time.process_time() - start_s) / _TICKS_PER_ROUND)
    await manager.stop()
    return 100 * statistics.median(values) / manager_lib.ROUND_S


def median_us(act: object) -> float:
    """Returns the CPU time of one call of `act` in microseconds.

    It is the median of 7 rounds of `_RUNS_PER_ROUND` calls.
    """
    values = []
    for _ in range(7):
        start_s = time.process_time()
        for _ in range(_RUNS_PER_ROUND):
            act()
        values.append((time.process_time() - start_s) / _RUNS_PER_ROUND * 1e6)
    return statistics.median(values)


def at_rest(count: int, seconds: int) -> tuple[float, float, float]:
    """Measures a fleet at rest.

    Returns:
        Messages per second, bytes per second and percent of one core, each
        per host.
    """
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
    """Measures a fleet at rest by number of services."""
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
    """Measures a fleet by document changes per hour."""
    return _run(
        _by_events('changes', per_hour, count, lambda f: f.change),
    )


def by_restarts(per_hour: int, count: int = 26) -> list[Point]:
    """Measures a fleet by host restarts per hour."""
    return _run(
        _by_events('restarts', per_hour, count, lambda f: lambda _: f.restart())
    )


async def _by_events(
    name: str, per_hour: int, count: int, make: object
) -> list[Point]:
    fleet = Fleet(count)
    await fleet.begin()
    seconds = 4 * _ROUND_S
    # The first event comes after a full interval, so that the number of
    # events in a phase is exactly the rate times the duration.
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
    """Counts store calls at rest, under changes and during large faults."""
    return _run(_store_phases(count))


async def _store_phases(count: int) -> list[StorePhase]:
    fleet = Fleet(count)
    await fleet.begin()
    phases = []

    async def run(name: str, seconds: int, *args: object) -> None:
        phase, _ = await fleet.phase(name, seconds, *args)
        phases.append(phase)

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
    # The store is in the first region.
    fleet.store.cut = far
    await run('regions cut, first minute', 60)
    await run('regions cut, later', 300)
    fleet.network.heal()
    fleet.store.cut = set()
    await run('regions joined again', 60)
    await fleet.close()
    return phases


class _DelayedTransport(simulation._SimTransport):
    """Delays messages by the one-way delay between two hosts."""

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


class _DelayedNetwork(simulation.SimNetwork):
    def __init__(self, domains: dict[str, str]) -> None:
        super().__init__()
        self._domains = domains

    def transport(self, host: str) -> _DelayedTransport:
        self.transports[host] = _DelayedTransport(self, host)
        return self.transports[host]

    def delay_s(self, left: str, right: str) -> float:
        a, b = self._domains[left], self._domains[right]
        if a.split('-')[0] != b.split('-')[0]:
            return _REGION_DELAY_S
        return _DOMAIN_DELAY_S if a != b else 0.0


class _DelayedStoreClient(simulation._SimClient):
    """A client of a store in the first region that answers in 2 ms."""

    async def _call(self, kind: str) -> None:
        near = self.host.startswith('luzon')
        one_way_s = _DOMAIN_DELAY_S if near else _REGION_DELAY_S
        await self.store.clock.sleep(2 * one_way_s + _STORE_LATENCY_S)
        await super()._call(kind)


def in_force(count: int) -> list[Point]:
    """Measures the time until an accepted document is in force on all hosts."""
    return _run(_in_force(count))


async def _in_force(count: int) -> list[Point]:
    fleet = Fleet(count)
    fleet.network = _DelayedNetwork(fleet.domains)
    fleet.store.client = lambda host: _DelayedStoreClient(fleet.store, host)
    await fleet.begin()
    applied_s: dict[int, list[float]] = collections.defaultdict(list)

    def record_applied(document: object, version: int) -> None:
        applied_s[version].append(fleet.clock.monotonic())

    for host in fleet.hosts.values():
        host.events.connect('document-applied', record_applied)

    async def change(number: int) -> float:
        fleet.change(number)
        version = fleet.store.revision
        start_s = fleet.clock.monotonic()
        while len(applied_s[version]) < len(fleet.hosts):
            if fleet.clock.monotonic() > start_s + _IN_FORCE_TIMEOUT_S:
                raise TimeoutError(
                    f'document is not in force on every host, hosts={count}'
                )
            await fleet.advance(0.1, step_s=0.1)
        return max(applied_s[version]) - start_s

    times_s = []
    for number in range(_CHANGE_COUNT):
        await fleet.advance(fleet.rng.uniform(1.0, 3.0), step_s=0.5)
        times_s.append(await change(number))
    leader_lost_s = []
    for number in range(_LEADER_LOSS_COUNT):
        await fleet.advance(fleet.rng.uniform(15.0, 16.0), step_s=0.5)
        fleet.kill(fleet.view(sorted(fleet.hosts)[0]).leader)
        leader_lost_s.append(await change(number))
    await fleet.close()
    return [
        Point('hosts-in-force-median', count, statistics.median(times_s)),
        Point('hosts-in-force-max', count, max(times_s)),
        Point('hosts-in-force-leader-lost-max', count, max(leader_lost_s)),
    ]


def _run(coro: object) -> list:
    logging.set_verbosity(logging.FATAL)
    return asyncio.run(coro)
