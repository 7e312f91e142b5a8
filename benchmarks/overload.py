"""Measures goodput under overload and after an outage of all targets.

Offers 0.5, 1, 2 and 4 times the capacity of a small set of targets through
host processes, first in rising and then in falling order. Then offers 0.8 times
the capacity while all targets are down for some seconds and restart cold.
Goodput is the number of complete answers within the deadline per second.
Callers resend refused calls as the caller client does, so a retry storm would
show in the attempts on targets and the sends per call.

Run with `make bench-overload`.
"""

import asyncio
import sys

import msgspec

from benchmarks import load
from ragwortchute import documents
from standins import deployment as deployment_lib

SEED = 59
SERVICE = 'dispatch'
HOSTS_PER_DOMAIN = 2
TARGETS = 4
SLOTS = 2
MEAN_SERVICE_S = 0.04
CAPACITY_PER_S = TARGETS * SLOTS / MEAN_SERVICE_S
FACTORS = (0.5, 1.0, 2.0, 4.0)
# The second pass is in reverse order, so that no factor always comes last.
FACTOR_SEQUENCE = (0.5, 1.0, 2.0, 4.0, 4.0, 2.0, 1.0, 0.5)
PHASE_S = 8.0
PAUSE_S = 2.0
DEADLINE_S = 1.0
WARM_UP_S = 12.0
OUTAGE_START_S = 5
OUTAGE_S = 4
OUTAGE_PHASE_S = 25
OUTAGE_FACTOR = 0.8
RAMP_S = 2.0
WORKERS = 2
CALLERS_PER_WORKER = 16
# Goals of the design: the share of the peak goodput under overload, and one
# attempt per call plus the retry budget of 10 % and its floor.
MIN_GOODPUT_SHARE = 0.9
MAX_ATTEMPTS_PER_CALL = 1.2


class Point(msgspec.Struct):
    """Figures of one phase.

    Attributes:
        factor: Offered load as a multiple of the capacity.
        calls: Calls offered.
        good: Complete answers within the deadline.
        seconds: Duration of the arrivals.
        attempts: Attempts on targets.
        retries: Attempts that follow a failed attempt of the same call.
        sends: Requests sent by the callers, with those sent again.
        host_cpu_s: CPU time of all hosts.
        lag_p99_ms: p99 of the lag of the load generator.
        outcomes: Number of calls by outcome.
    """

    factor: float
    calls: int
    good: int
    seconds: float
    attempts: int
    retries: int
    sends: int
    host_cpu_s: float
    lag_p99_ms: float
    outcomes: dict[str, int]


def _is_good(sample: load.Sample) -> bool:
    return (
        sample.outcome == load.SERVED and sample.latency_us <= DEADLINE_S * 1e6
    )


class Bench:
    """Runs the phases of the benchmark on one deployment."""

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        generator: load.Generator,
    ) -> None:
        self.deployment = deployment
        self.generator = generator

    async def phase(
        self, factor: float, seconds: float, seed: int
    ) -> tuple[Point, load.Result]:
        """Offers a constant load and measures it.

        Args:
            factor: Offered load as a multiple of the capacity.
            seconds: Duration of the arrivals.
            seed: Seed of the arrivals.

        Returns:
            The figures of the phase and the result of the generator.
        """
        before = await load.dump(self.deployment, 'dispatch')
        cpu_s = self._cpu_s()
        outcome = await self.generator.run(
            factor * CAPACITY_PER_S,
            seconds,
            seed,
            timeout_s=DEADLINE_S,
        )
        after = await load.dump(self.deployment, 'dispatch')
        point = Point(
            factor=factor,
            calls=len(outcome.samples),
            good=sum(_is_good(sample) for sample in outcome.samples),
            seconds=seconds,
            attempts=int(_increase(before, after, 'attempts')),
            retries=int(_increase(before, after, 'retries')),
            sends=outcome.sends,
            host_cpu_s=self._cpu_s() - cpu_s,
            lag_p99_ms=outcome.lag_p99_ms,
            outcomes=outcome.outcomes(),
        )
        return point, outcome

    async def outage(self, seed: int) -> tuple[Point, load.Result]:
        """Offers a constant load while all targets are down for a time.

        Args:
            seed: Seed of the arrivals.

        Returns:
            The figures of the phase and the result of the generator.
        """
        task = asyncio.create_task(self._restart_targets())
        figures = await self.phase(OUTAGE_FACTOR, OUTAGE_PHASE_S, seed)
        await task
        return figures

    async def _restart_targets(self) -> None:
        await asyncio.sleep(OUTAGE_START_S)
        targets = self.deployment.targets.targets.values()
        await asyncio.gather(*(t.restart(OUTAGE_S) for t in targets))

    def _cpu_s(self) -> float:
        return sum(host.cpu_s() for host in self.deployment.hosts.values())


def _increase(
    before: dict[str, dict[str, float]],
    after: dict[str, dict[str, float]],
    field: str,
) -> float:
    return load.total(after, field) - load.total(before, field)


def _row(name: str, points: list[Point]) -> list[str]:
    calls = sum(p.calls for p in points)
    seconds = sum(p.seconds for p in points)
    return [
        name,
        f'{calls / seconds:.0f}',
        f'{sum(p.good for p in points) / seconds:.0f}',
        f'{sum(p.attempts for p in points) / calls:.3f}',
        f'{sum(p.retries for p in points) / calls:.3f}',
        f'{sum(p.sends for p in points) / calls:.2f}',
        f'{sum(p.host_cpu_s for p in points) / seconds:.2f}',
    ]


def _table(points: list[Point], outage: Point) -> str:
    rows = [
        _row(f'{factor:g}', [p for p in points if p.factor == factor])
        for factor in FACTORS
    ]
    rows.append(_row(f'{OUTAGE_FACTOR:g}, outage', [outage]))
    header = (
        'times capacity',
        'offered calls/s',
        'goodput/s',
        'attempts per call',
        'retries per call',
        'sends per call',
        'CPU of all hosts, cores',
    )
    return load.table(header, rows)


def _goodput(points: list[Point], factor: float) -> float:
    selected = [p for p in points if p.factor == factor]
    return sum(p.good for p in selected) / sum(p.seconds for p in selected)


def _print_seconds(outcome: load.Result) -> None:
    for second in range(OUTAGE_PHASE_S):
        due = [s for s in outcome.samples if int(s.due_s) == second]
        good = sum(_is_good(sample) for sample in due)
        print(f'  {second:3d} s: {good}/{len(due)} within the deadline')


async def _main() -> int:
    names = ('luzon-makati', 'luzon-pasig')
    hosts = [
        deployment_lib.HostSpec(f'{name}-{index}', name, 'luzon')
        for index in range(HOSTS_PER_DOMAIN)
        for name in names
    ]
    deployment = deployment_lib.Deployment(
        hosts,
        [deployment_lib.ServiceSpec(SERVICE, TARGETS, SLOTS)],
        seed=SEED,
        cold_start=documents.ColdStart(ramp_s=RAMP_S),
    )
    generator = None
    points = []
    try:
        await deployment.start()
        for target in deployment.targets.targets.values():
            target.behaviour.mean_service_s = MEAN_SERVICE_S
            target.behaviour.cold_ramp_s = RAMP_S
        urls = deployment.caller_urls()
        generator = load.Generator(
            [
                load.Worker(SERVICE, urls, CALLERS_PER_WORKER, f'w{index}')
                for index in range(WORKERS)
            ]
        )
        bench = Bench(deployment, generator)
        await generator.run(CAPACITY_PER_S / 3, WARM_UP_S, SEED)
        pids = [host.pid for host in deployment.hosts.values()]
        pids += [worker.pid for worker in generator.workers]
        machine = load.MachineLoad(lambda: pids)
        for number, factor in enumerate(FACTOR_SEQUENCE):
            point, _ = await bench.phase(factor, PHASE_S, SEED + 1 + number)
            points.append(point)
            await asyncio.sleep(PAUSE_S)
        outage, outcome = await bench.outage(SEED + 50)
        machine_load = machine.report()
        overloads = deployment.targets.log.cold_overloads
    finally:
        if generator is not None:
            generator.close()
        await deployment.stop()
    print(
        f'{len(hosts)} hosts, {TARGETS} targets of {SLOTS} slots, capacity '
        f'{CAPACITY_PER_S:.0f} calls/s, deadline {DEADLINE_S:g} s; seed {SEED}'
    )
    print(machine_load)
    for point in (*points, outage):
        print(
            f'{point.factor:g}: lag p99 {point.lag_p99_ms:.1f} ms, '
            f'{point.good / point.seconds:.0f} good/s, {point.outcomes}'
        )
    print(f'outage from {OUTAGE_START_S} s to {OUTAGE_START_S + OUTAGE_S} s:')
    _print_seconds(outcome)
    print(_table(points, outage))
    return _report_failures(points, outage, overloads)


def _report_failures(points: list[Point], outage: Point, overloads: int) -> int:
    peak = max(_goodput(points, factor) for factor in FACTORS)
    share = _goodput(points, FACTORS[-1]) / peak
    print(f'goodput at {FACTORS[-1]:g} times the capacity: {share:.1%} of peak')
    failures = []
    if share < MIN_GOODPUT_SHARE:
        failures.append('goodput under overload')
    if outage.attempts / outage.calls > MAX_ATTEMPTS_PER_CALL:
        failures.append('attempts per call with an outage')
    if max(p.attempts / p.calls for p in points) > MAX_ATTEMPTS_PER_CALL:
        failures.append('attempts per call under overload')
    if overloads:
        failures.append(f'{overloads} cold overloads')
    if max(p.lag_p99_ms for p in points) > load.MAX_LAG_P99_MS:
        failures.append('generator too slow')
    for failure in failures:
        print(f'missed: {failure}')
    return 1 if failures else 0


def main() -> None:
    """Runs the benchmark."""
    load.parser(__doc__).parse_args()
    sys.exit(asyncio.run(_main()))


if __name__ == '__main__':
    main()
