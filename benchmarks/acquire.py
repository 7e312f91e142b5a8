"""CPU cost of acquiring and releasing a slot, compared with a baseline.

The baseline keeps in-flight counts in a dictionary and chooses the target with
the lowest count. Both run alternately in one process. The ratio is more
meaningful than the times, which depend on the machine.

    python -m benchmarks.acquire [--rounds N] [--calls N]
"""

import argparse
import asyncio
import random
import statistics
import time

from ragwortchute import calls
from ragwortchute import clock as clock_
from ragwortchute import documents
from ragwortchute import events
from ragwortchute import slots
from ragwortchute.codecs import msgpack
from ragwortchute.slots import context
from ragwortchute.slots import service as service_
from ragwortchute.slots import traffic
from ragwortchute.targets import table as table_
from tests import fakes

SERVICE = 'dispatch'
HOST = 'h0'


def make_service(targets: int, slots_: int) -> service_.ServiceSlots:
    """Returns the slots of a service whose targets are all warm."""
    table = table_.TargetTable()
    ctx = context.Context(
        clock=clock_.SystemClock(),
        membership=fakes.FakeMembership(HOST, [HOST]),
        table=table,
        rng=random.Random(1),
        domain_open=lambda name: True,
        post=lambda host, message: None,
        wake=lambda name: None,
        events=events.EventTable(),
        traffic=traffic.SlotTraffic(
            clock_.SystemClock(), msgpack.MsgpackCodec()
        ),
    )
    document = documents.ServiceDocument(
        SERVICE,
        tuple(
            documents.Target(
                f't{i}', f'127.0.0.1:{i + 1}', f'luzon-{i % 2}', 'luzon', slots_
            )
            for i in range(targets)
        ),
        (),
    )
    service = service_.ServiceSlots(document, ctx)
    for entry in service.warmth.entries.values():
        name = entry.state.target.name
        table.connection_opened(SERVICE, name)
        entry.ramped = True
        service.warmth.proved(warm_notice(name), entry.state.generation)
    service.view_changed()
    return service


def warm_notice(target: str) -> fakes.wire.TargetNotice:
    """Returns a proof that a target is warm."""
    return fakes.wire.TargetNotice(SERVICE, target, 'p0', 'warm', 1)


def make_call() -> calls.Call:
    """Returns a call that never reaches its deadline."""
    return calls.Call(
        call_id='1',
        service=SERVICE,
        method='GET',
        path='/',
        headers=[],
        body=b'',
        tenant='',
        deadline_s=float('inf'),
        idempotent=True,
    )


async def time_service(service: service_.ServiceSlots, count: int) -> float:
    """Returns microseconds of CPU per acquire and release."""
    call = make_call()
    rng = random.Random(2)
    reports = [
        slots.AttemptReport(
            slots.AttemptKind.ANSWERED, rng.lognormvariate(-4, 0.5), 'p0', 1
        )
        for _ in range(64)
    ]
    held = [(await service.acquire(call)).unwrap() for _ in range(8)]
    started_s = time.process_time()
    for i in range(count):
        lease = (await service.acquire(call)).unwrap()
        if not lease.usable():
            raise RuntimeError('lease of a warm target is not usable')
        held[i % 8].release(reports[i % 64])
        held[i % 8] = lease
    elapsed_s = time.process_time() - started_s
    for lease in held:
        lease.release(reports[0])
    return elapsed_s / count * 1e6


def time_baseline(targets: int, count: int) -> float:
    """Returns microseconds of CPU per choice of the least loaded target."""
    in_flight = {f't{i}': 0 for i in range(targets)}
    held = ['t0'] * 8
    in_flight['t0'] = 8
    started_s = time.process_time()
    for i in range(count):
        chosen = min(in_flight, key=in_flight.__getitem__)
        in_flight[chosen] += 1
        in_flight[held[i % 8]] -= 1
        held[i % 8] = chosen
    return (time.process_time() - started_s) / count * 1e6


async def run(rounds: int, count: int) -> None:
    """Prints the medians for 20 and for 100 targets."""
    print(f'{"targets":>8} {"acquire us":>11} {"bare us":>9} {"ratio":>7}')
    for targets in (20, 100):
        service = make_service(targets, 4)
        service_times, baseline_times = [], []
        for _ in range(rounds):
            service_times.append(await time_service(service, count))
            baseline_times.append(time_baseline(targets, count))
        service_us, baseline_us = (
            statistics.median(service_times),
            statistics.median(baseline_times),
        )
        print(
            f'{targets:>8} {service_us:>11.2f} {baseline_us:>9.2f} '
            f'{service_us / baseline_us:>7.1f}'
        )


def main() -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=7)
    parser.add_argument('--calls', type=int, default=20_000)
    args = parser.parse_args()
    asyncio.run(run(args.rounds, args.calls))


if __name__ == '__main__':
    main()
