"""Measures call latency under each balancing policy at the same load.

Starts one deployment of 13 host processes and stand-in targets. In each round
the service document switches from policy to policy, so that all policies run
with the same hosts, targets, arrivals and slow periods. A call without an
answer counts with the time until it was refused, at most its deadline; the
share of served calls is reported too. The bound is the simulation of a single
queue in front of all targets.

Run with `make bench-policy`.
"""

import asyncio
import heapq
import json
import math
import random
import statistics
import sys
import time
import urllib.request

import msgspec

from benchmarks import load
from ragwortchute import documents
from standins import deployment as deployment_lib
from standins import targets as targets_lib

SEED = 47
SERVICE = 'dispatch'
HOSTS_PER_DOMAIN = (7, 6)
TARGETS = 20
SLOTS = 4
# All times of the workload are 4 times those of the design (20 ms, 1 s). At
# 20 ms the fleet serves 2,590 calls/s. While other processes used 7.4 cores,
# the load generator lagged by over 1 s at that rate; with 5 targets instead of
# 20, scheduling delays alone used up the free slots.
SERVICE_S = 0.08
SERVICE_SIGMA = 0.6
SLOW_FACTOR = 4.0
SLOW_SHARE = 0.1
MEAN_SLOW_PERIOD_S = 4.0
LOAD_SHARE = 0.7
ROUNDS = 2
ROUND_S = 16.0
SETTLE_S = 3.0
WARM_UP_S = 12.0
WORKERS = 2
CALLERS = 12
PERCENTILES = (50, 90, 99, 99.9)
TIMEOUT_S = 4.0


class Variant(msgspec.Struct, frozen=True):
    """A balancing policy with or without hedging."""

    name: str
    balancer: str
    hedge: bool = False


VARIANTS = (
    Variant('random', 'random'),
    Variant('round_robin', 'round_robin'),
    Variant('two_choices', 'two_choices'),
    Variant('least_inflight', 'least_inflight'),
    Variant('slot_shares', 'slot_shares'),
    Variant('slot_shares, hedging', 'slot_shares', hedge=True),
)


class SpeedChange(msgspec.Struct, frozen=True):
    """A change of the service time of a target.

    Attributes:
        at_s: Time since the start of the round, in seconds.
        target: Index of the target.
        factor: Multiple of the normal service time.
    """

    at_s: float
    target: int
    factor: float


class PolicyMetrics(msgspec.Struct):
    """Measurements of one policy, accumulated over all rounds."""

    samples: list[load.Sample] = msgspec.field(default_factory=list)
    control_bytes: float = 0.0
    control_cpu_s: float = 0.0
    host_cpu_s: float = 0.0
    seconds: float = 0.0
    attempts: float = 0.0
    lag_p99_ms: float = 0.0
    worker_cpu: float = 0.0
    not_warm: list[float] = msgspec.field(default_factory=list)


def order_of_round(number: int) -> tuple[Variant, ...]:
    """Returns the variants in the order of a round, another one each time.

    Load from other processes is thereby spread over them.
    """
    offset = number % len(VARIANTS)
    return VARIANTS[offset:] + VARIANTS[:offset]


def capacity_per_s(targets: int) -> float:
    """Returns the answers per second when all slots are always busy."""
    speed = (1 - SLOW_SHARE) + SLOW_SHARE / SLOW_FACTOR
    return targets * SLOTS * speed / SERVICE_S


def speed_changes(targets: int, seconds: float, seed: int) -> list[SpeedChange]:
    """Returns the speed changes of all targets, ordered by time."""
    rng = random.Random(seed)
    mean_cycle_s = MEAN_SLOW_PERIOD_S / SLOW_SHARE
    changes = []
    for target in range(targets):
        at_s = rng.uniform(-mean_cycle_s, mean_cycle_s)
        while at_s < seconds:
            length_s = MEAN_SLOW_PERIOD_S * rng.uniform(0.5, 1.5)
            if at_s + length_s > 0:
                begin_s = max(0.0, at_s)
                changes.append(SpeedChange(begin_s, target, SLOW_FACTOR))
                changes.append(SpeedChange(at_s + length_s, target, 1.0))
            at_s += length_s + (
                mean_cycle_s - MEAN_SLOW_PERIOD_S
            ) * rng.uniform(0.5, 1.5)
    return sorted(changes, key=lambda change: change.at_s)


async def _apply_speed_changes(
    group: targets_lib.TargetSet, changes: list[SpeedChange], start_s: float
) -> None:
    targets = list(group.targets.values())
    for change in changes:
        await asyncio.sleep(start_s + change.at_s - time.monotonic())
        targets[change.target].behaviour.slow_factor = change.factor


def central_queue(
    targets: int, rate_per_s: float, seconds: float, seed: int
) -> list[load.Sample]:
    """Simulates a single queue that prefers targets that are not slow.

    Args:
        targets: Number of targets.
        rate_per_s: Arrival rate, in calls per second.
        seconds: Time during which calls arrive.
        seed: Seed of arrivals, service times and slow periods.

    Returns:
        One sample for each call.
    """
    rng = random.Random(seed)
    changes = speed_changes(targets, seconds, seed)
    factors = [1.0] * targets
    free = [SLOTS] * targets
    ends: list[tuple[float, int]] = []
    waiting: list[float] = []
    samples = []
    mu = math.log(SERVICE_S) - SERVICE_SIGMA * SERVICE_SIGMA / 2
    next_change = 0

    def start_calls(now_s: float) -> None:
        nonlocal next_change
        while next_change < len(changes) and changes[next_change].at_s <= now_s:
            factors[changes[next_change].target] = changes[next_change].factor
            next_change += 1
        while waiting and any(free):
            open_targets = [t for t in range(targets) if free[t]]
            target = min(open_targets, key=lambda t: (factors[t], rng.random()))
            due_s = waiting.pop(0)
            service_s = rng.lognormvariate(mu, SERVICE_SIGMA) * factors[target]
            free[target] -= 1
            heapq.heappush(ends, (now_s + service_s, target))
            latency_us = int((now_s + service_s - due_s) * 1e6)
            samples.append(load.Sample(due_s, latency_us, load.SERVED, ''))

    due_s = 0.0
    while due_s < seconds or ends:
        if ends and (ends[0][0] <= due_s or due_s >= seconds):
            now_s, target = heapq.heappop(ends)
            free[target] += 1
        else:
            now_s = due_s
            waiting.append(due_s)
            due_s += rng.expovariate(rate_per_s)
        start_calls(now_s)
    return samples


async def _record_not_warm(
    deployment: deployment_lib.Deployment, shares: list[float]
) -> None:
    """Records each second the share of targets that are not warm.

    Only hosts that have at least one warm target count.
    """
    while True:
        await asyncio.sleep(1.0)
        phases = []
        for name in deployment.hosts:
            path = f'/targets?service={SERVICE}'
            entries = await deployment.operator(name, path)
            if any(entry['phase'] == 'warm' for entry in entries):
                phases += [entry['phase'] for entry in entries]
        shares.append(sum(p != 'warm' for p in phases) / max(1, len(phases)))


async def _apply_policy(
    deployment: deployment_lib.Deployment, variant: Variant, targets: int
) -> None:
    """Stores a document with the policy and waits until all hosts have it."""
    deployment.routes = (
        documents.Route(
            name='read',
            methods=('GET',),
            idempotent=True,
            hedge=variant.hedge,
            deadline_ms=int(TIMEOUT_S * 1000),
        ),
    )
    spec = deployment_lib.ServiceSpec(
        SERVICE, targets, SLOTS, balancer=variant.balancer
    )
    document = deployment.service_document(spec)
    stored = deployment.api.store.seed(
        f'documents/{SERVICE}', msgspec.json.encode(document)
    )
    for host in deployment.hosts.values():
        url = f'{host.caller_url}/addresses?service={SERVICE}'
        while await asyncio.to_thread(_document_version, url) < stored.version:
            await asyncio.sleep(0.05)


def _document_version(url: str) -> int:
    with urllib.request.urlopen(url, timeout=5) as response:
        return json.load(response)['versions'][SERVICE]


async def _measure(
    deployment: deployment_lib.Deployment,
    generator: load.Generator,
    rate_per_s: float,
    seed: int,
    metrics: PolicyMetrics,
) -> None:
    count = len(deployment.targets.targets)
    await generator.run(rate_per_s, SETTLE_S, SEED, timeout_s=TIMEOUT_S)
    control_before = await load.dump(deployment, 'control')
    dispatch_before = await load.dump(deployment, 'dispatch')
    cpu_before_s = sum(host.cpu_s() for host in deployment.hosts.values())
    start_s = time.monotonic() + 0.3
    changes = speed_changes(count, ROUND_S, seed)
    speed_task = asyncio.create_task(
        _apply_speed_changes(deployment.targets, changes, start_s)
    )
    warmth_task = asyncio.create_task(
        _record_not_warm(deployment, metrics.not_warm)
    )
    outcome = await generator.run(
        rate_per_s, ROUND_S, seed, timeout_s=TIMEOUT_S, start_s=start_s
    )
    speed_task.cancel()
    warmth_task.cancel()
    for target in deployment.targets.targets.values():
        target.behaviour.slow_factor = 1.0
    elapsed_s = time.monotonic() - start_s
    control_after = await load.dump(deployment, 'control')
    dispatch_after = await load.dump(deployment, 'dispatch')
    metrics.samples += outcome.samples
    metrics.seconds += elapsed_s
    for field, name in (
        ('control_bytes', 'sent_bytes'),
        ('control_cpu_s', 'control_cpu_s'),
    ):
        spent = load.total(control_after, name) - load.total(
            control_before, name
        )
        setattr(metrics, field, getattr(metrics, field) + spent)
    metrics.attempts += load.total(dispatch_after, 'attempts')
    metrics.attempts -= load.total(dispatch_before, 'attempts')
    cpu_after_s = sum(host.cpu_s() for host in deployment.hosts.values())
    metrics.host_cpu_s += cpu_after_s - cpu_before_s
    metrics.lag_p99_ms = max(metrics.lag_p99_ms, outcome.lag_p99_ms)
    metrics.worker_cpu = max(metrics.worker_cpu, outcome.worker_cpu)


def _percentiles(samples: list[load.Sample]) -> list[float]:
    hist = load.latencies(samples)
    return [load.percentile_ms(hist, percent) for percent in PERCENTILES]


def _report(
    metrics: dict[str, PolicyMetrics], bound: list[load.Sample], hosts: int
) -> str:
    values = {name: _percentiles(f.samples) for name, f in metrics.items()}
    values['one central queue'] = _percentiles(bound)
    rows = []
    for name, row in values.items():
        cells = [f'{value:.1f}' for value in row]
        for base in ('random', 'least_inflight'):
            cells.append(
                ' / '.join(
                    f'{value / other:.2f}'
                    for value, other in zip(row, values[base], strict=True)
                )
            )
        found = metrics.get(name)
        if found is None:
            rows.append([name, *cells, '100.00%', '', '', '', ''])
            continue
        served = sum(s.outcome == load.SERVED for s in found.samples)
        count = len(found.samples)
        per_host = hosts * found.seconds
        rows.append(
            [
                name,
                *cells,
                f'{served / count:.2%}',
                f'{found.attempts / count:.3f}',
                f'{statistics.mean(found.not_warm):.1%}',
                f'{found.control_bytes / per_host:.0f}',
                f'{found.control_cpu_s / per_host:.3%}',
            ]
        )
    header = [
        'policy',
        *(f'p{percent} ms' for percent in PERCENTILES),
        'ratios to `random`',
        'ratios to `least_inflight`',
        'served',
        'attempts per call',
        'targets not warm',
        'control bytes/s per host',
        'control CPU per host',
    ]
    return load.table(header, rows)


async def _main(targets: int, rounds: int, share: float) -> int:
    hosts = [
        deployment_lib.HostSpec(f'{domain}-{index}', domain, 'luzon')
        for domain, count in zip(
            ('luzon-makati', 'luzon-pasig'), HOSTS_PER_DOMAIN, strict=True
        )
        for index in range(count)
    ]
    deployment = deployment_lib.Deployment(
        hosts,
        [deployment_lib.ServiceSpec(SERVICE, targets, SLOTS)],
        seed=SEED,
        cold_start=documents.ColdStart(ramp_s=2.0),
    )
    rate_per_s = share * capacity_per_s(targets)
    metrics = {variant.name: PolicyMetrics() for variant in VARIANTS}
    generator = None
    try:
        await deployment.start()
        for target in deployment.targets.targets.values():
            target.behaviour.mean_service_s = SERVICE_S
            target.behaviour.cold_ramp_s = 2.0
        urls = deployment.caller_urls()
        generator = load.Generator(
            [
                load.Worker(SERVICE, urls, CALLERS, f'w{index}')
                for index in range(WORKERS)
            ]
        )
        await generator.run(rate_per_s / 3, WARM_UP_S, SEED)
        pids = [host.pid for host in deployment.hosts.values()]
        pids += [worker.pid for worker in generator.workers]
        machine = load.MachineLoad(lambda: pids)
        cpu_before_s = time.process_time()
        started_s = time.monotonic()
        for number in range(rounds):
            for variant in order_of_round(number):
                await _apply_policy(deployment, variant, targets)
                deployment.targets.log.runs.clear()
                await _measure(
                    deployment,
                    generator,
                    rate_per_s,
                    SEED + 1 + number,
                    metrics[variant.name],
                )
        machine_text = machine.report()
        target_cpu = (time.process_time() - cpu_before_s) / (
            time.monotonic() - started_s
        )
        overloads = deployment.targets.log.cold_overloads
    finally:
        if generator is not None:
            generator.close()
        await deployment.stop()
    bound = []
    for number in range(rounds):
        seed = SEED + 1 + number
        bound += central_queue(targets, rate_per_s, ROUND_S, seed)
    print(
        f'{len(hosts)} hosts, {targets} targets of {SLOTS} slots, '
        f'{rate_per_s:.0f} calls/s ({share:.0%} of capacity), {rounds} rounds '
        f'of {ROUND_S:.0f} s; seed {SEED}'
    )
    print(f'{machine_text}; process of the targets {target_cpu:.2f} cores')
    generator_on_time = True
    for name, found in metrics.items():
        outcomes = load.Result(found.samples, 0, 0.0, 0.0).outcomes()
        generator_on_time &= found.lag_p99_ms <= load.MAX_LAG_P99_MS
        print(
            f'{name}: generator lag p99 {found.lag_p99_ms:.1f} ms, busiest '
            f'process {found.worker_cpu:.2f} cores, hosts '
            f'{found.host_cpu_s / found.seconds:.2f} cores; {outcomes}'
        )
    print(_report(metrics, bound, len(hosts)))
    if not generator_on_time:
        print('missed: generator too slow')
    if overloads:
        print(f'missed: {overloads} cold overloads')
    return 0 if generator_on_time and not overloads else 1


def main() -> None:
    """Runs the benchmark; exits with 1 if a check fails."""
    parser = load.parser(__doc__)
    parser.add_argument('--targets', type=int, default=TARGETS)
    parser.add_argument('--rounds', type=int, default=ROUNDS)
    parser.add_argument('--share', type=float, default=LOAD_SHARE)
    args = parser.parse_args()
    sys.exit(asyncio.run(_main(args.targets, args.rounds, args.share)))


if __name__ == '__main__':
    main()
