"""Measures calls while a failure domain leaves and returns.

A deployment of four failure domains in two regions is under a steady load. In
the first run, an operator command takes one failure domain out, and another
returns it 10 s later. In the second run, its hosts are killed and its targets
stopped without notice, and all return cold 10 s later. Prints the share of
calls served and the p99 of each second, the time after which no new call ran in
the domain, and the cold overloads.

Run with `make bench-domain`.
"""

import asyncio
from collections import abc
import math
import sys
import time

import matplotlib as mpl
import msgspec

from benchmarks import load
from ragwortchute import documents
from standins import deployment as deployment_lib

mpl.use('Agg')

from matplotlib import pyplot  # noqa: E402

SEED = 31
SERVICE = 'dispatch'
DOMAIN = 'luzon-pasig'
HOSTS_PER_DOMAIN = 2
TARGETS = 16
SLOTS = 4
MEAN_SERVICE_S = 0.04
# A third of the capacity of all targets. While the domain is out, it uses two
# thirds of the capacity that is left in its region.
RATE_PER_S = 533.0
WRITE_SHARE = 0.2
RAMP_S = 4.0
WARM_UP_S = 15.0
WARM_UP_RATE_PER_S = 250.0
LEAVES_AT_S = 10
RETURNS_AT_S = 20
DURATION_S = 40
# The design demands that new calls stop within "a few seconds".
MAX_LAST_WORK_S = 5.0


class Second(msgspec.Struct, frozen=True):
    """Figures of the calls due in one second."""

    second: int
    calls: int
    served: int
    p99_ms: float
    domain_runs: int


class Run(msgspec.Struct):
    """Figures of one run."""

    kind: str
    seconds: list[Second]
    last_work_s: float
    cold_overloads: int
    outcomes: dict[str, int]
    result: load.Result
    machine: str


async def measure(kind: str, leave: abc.Callable, back: abc.Callable) -> Run:
    """Runs one deployment while a domain leaves and returns.

    Args:
        kind: Name of the run.
        leave: Coroutine function that takes the domain out.
        back: Coroutine function that brings the domain back.
    """
    deployment = deployment_lib.Deployment(
        deployment_lib.manila_hosts(HOSTS_PER_DOMAIN),
        [deployment_lib.ServiceSpec(SERVICE, TARGETS, SLOTS)],
        seed=SEED,
        cold_start=documents.ColdStart(ramp_s=RAMP_S),
    )
    runs = deployment.targets.log.runs = load.TimedRunList()
    generator = None
    try:
        await deployment.start()
        for target in deployment.targets.targets.values():
            target.behaviour.mean_service_s = MEAN_SERVICE_S
            target.behaviour.cold_ramp_s = RAMP_S
        generator = load.Generator(_workers(deployment))
        await generator.run(
            WARM_UP_RATE_PER_S, WARM_UP_S, SEED, write_share=WRITE_SHARE
        )
        machine = load.MachineLoad(lambda: _pids(deployment, generator))
        start_s = time.monotonic() + 0.5
        events = asyncio.create_task(
            _trigger_events(deployment, start_s, leave, back)
        )
        outcome = await generator.run(
            RATE_PER_S,
            DURATION_S,
            SEED + 1,
            write_share=WRITE_SHARE,
            start_s=start_s,
        )
        await events
        return _summarise(
            kind, deployment, runs, outcome, start_s, machine.report()
        )
    finally:
        if generator is not None:
            generator.close()
        await deployment.stop()


def _workers(deployment: deployment_lib.Deployment) -> list[load.Worker]:
    """Starts one worker of the load generator in each region."""
    regions: dict[str, list[str]] = {}
    for host in deployment.hosts.values():
        regions.setdefault(host.spec.region, []).append(host.caller_url)
    return [
        load.Worker(SERVICE, urls, 8, region)
        for region, urls in regions.items()
    ]


def _pids(
    deployment: deployment_lib.Deployment, generator: load.Generator
) -> list[int]:
    hosts = [host.pid for host in deployment.hosts.values() if host.running]
    return hosts + [worker.pid for worker in generator.workers]


async def _trigger_events(
    deployment: deployment_lib.Deployment,
    start_s: float,
    leave: abc.Callable,
    back: abc.Callable,
) -> None:
    await asyncio.sleep(start_s + LEAVES_AT_S - time.monotonic())
    await leave(deployment)
    await asyncio.sleep(start_s + RETURNS_AT_S - time.monotonic())
    await back(deployment)


async def order_out(deployment: deployment_lib.Deployment) -> None:
    """Takes the domain out by a command to a host of another domain."""
    host = next(iter(deployment.hosts))
    await deployment.operator(host, f'/domains/{DOMAIN}/out', 'POST')


async def order_in(deployment: deployment_lib.Deployment) -> None:
    """Returns the domain to service by an operator command."""
    host = next(iter(deployment.hosts))
    await deployment.operator(host, f'/domains/{DOMAIN}/in', 'POST')


async def kill_domain(deployment: deployment_lib.Deployment) -> None:
    """Kills the hosts and stops the targets of the domain."""
    for host in deployment.hosts.values():
        if host.spec.failure_domain == DOMAIN:
            host.kill()
    down_s = RETURNS_AT_S - LEAVES_AT_S
    names = _target_names(deployment)
    for name, target in deployment.targets.targets.items():
        if name in names:
            asyncio.create_task(target.restart(down_s))  # noqa: RUF006


async def restart_domain(deployment: deployment_lib.Deployment) -> None:
    """Starts the hosts again; the targets restart cold on their own."""
    for host in deployment.hosts.values():
        if host.spec.failure_domain == DOMAIN:
            host.start()


def _target_names(deployment: deployment_lib.Deployment) -> set[str]:
    document = deployment.service_document(deployment.services[0])
    return {t.name for t in document.targets if t.failure_domain == DOMAIN}


def _summarise(
    kind: str,
    deployment: deployment_lib.Deployment,
    runs: load.TimedRunList,
    outcome: load.Result,
    start_s: float,
    machine: str,
) -> Run:
    names = _target_names(deployment)
    run_times_s = [
        at_s - start_s
        for run, at_s in zip(runs, runs.times_s, strict=True)
        if run.target in names
    ]
    runs_while_out_s = [
        s for s in run_times_s if LEAVES_AT_S <= s < RETURNS_AT_S
    ]
    seconds = []
    for second in range(DURATION_S):
        due = [s for s in outcome.samples if int(s.due_s) == second]
        hist = load.latencies(due)
        seconds.append(
            Second(
                second=second,
                calls=len(due),
                served=sum(s.outcome == load.SERVED for s in due),
                p99_ms=load.percentile_ms(hist, 99),
                domain_runs=sum(math.floor(at) == second for at in run_times_s),
            )
        )
    return Run(
        kind=kind,
        seconds=seconds,
        last_work_s=max(runs_while_out_s, default=LEAVES_AT_S) - LEAVES_AT_S,
        cold_overloads=deployment.targets.log.cold_overloads,
        outcomes=outcome.outcomes(),
        result=outcome,
        machine=machine,
    )


def _summarise_span(run: Run, begin: int, end: int) -> tuple[str, str]:
    """Returns the share of calls served and the p99 of a time span.

    Args:
        run: The run.
        begin: Start of the span in seconds.
        end: End of the span in seconds, exclusive.
    """
    samples = [s for s in run.result.samples if begin <= s.due_s < end]
    served = sum(s.outcome == load.SERVED for s in samples)
    p99_ms = load.percentile_ms(load.latencies(samples), 99)
    return f'{served / len(samples):.2%}', f'{p99_ms:.0f} ms'


def _print_run(run: Run) -> None:
    print(f'{run.kind}: seconds')
    for row in run.seconds:
        print(
            f'  {row.second:3d} s: {row.served}/{row.calls} served, '
            f'p99 {row.p99_ms:.0f} ms, {row.domain_runs} runs in {DOMAIN}'
        )
    print(f'{run.kind}: outcomes {run.outcomes}')
    print(
        f'{run.kind}: generator lag p99 {run.result.lag_p99_ms:.1f} ms, '
        f'busiest process {run.result.worker_cpu:.2f} cores; {run.machine}'
    )


def _table(runs: list[Run]) -> str:
    spans = {
        'before': (0, LEAVES_AT_S),
        'first 5 s away': (LEAVES_AT_S, LEAVES_AT_S + 5),
        'rest away': (LEAVES_AT_S + 5, RETURNS_AT_S),
        'first 10 s back': (RETURNS_AT_S, RETURNS_AT_S + 10),
        'rest': (RETURNS_AT_S + 10, DURATION_S),
    }
    rows = [
        (
            run.kind,
            *(
                ', '.join(_summarise_span(run, *span))
                for span in spans.values()
            ),
            f'{run.last_work_s:.2f} s',
            run.cold_overloads,
        )
        for run in runs
    ]
    header = ('run', *spans, 'last new work after', 'cold overloads')
    return load.table(header, rows)


def _plot(runs: list[Run]) -> None:
    figure, axes = pyplot.subplots(
        2, len(runs), sharex=True, sharey='row', figsize=(10, 6)
    )
    for column, run in enumerate(runs):
        x = [row.second for row in run.seconds]
        share = [100 * row.served / max(1, row.calls) for row in run.seconds]
        axes[0][column].plot(x, share)
        axes[0][column].set_title(run.kind)
        axes[0][column].set_ylim(0, 105)
        axes[1][column].plot(x, [row.p99_ms for row in run.seconds])
        axes[1][column].set_xlabel('s')
        for axis in (axes[0][column], axes[1][column]):
            axis.axvspan(LEAVES_AT_S, RETURNS_AT_S, alpha=0.15)
            axis.grid(alpha=0.3)
    axes[0][0].set_ylabel('calls served, %')
    axes[1][0].set_ylabel('p99, ms')
    figure.tight_layout()
    print(load.save_plot(figure, 'domain'))


async def _main() -> int:
    runs = [
        await measure('order', order_out, order_in),
        await measure('loss', kill_domain, restart_domain),
    ]
    for run in runs:
        _print_run(run)
    print(_table(runs))
    _plot(runs)
    missed = [
        f'{run.kind}: {check}'
        for run in runs
        for check, failed in (
            ('cold overloads', run.cold_overloads > 0),
            ('late work', run.last_work_s > MAX_LAST_WORK_S),
            ('wrong answers', load.WRONG_ANSWER in run.outcomes),
            ('generator too slow', not run.result.kept_up),
        )
        if failed
    ]
    for text in missed:
        print(f'missed: {text}')
    return 1 if missed else 0


def main() -> None:
    """Runs the benchmark."""
    load.parser(__doc__).parse_args()
    sys.exit(asyncio.run(_main()))


if __name__ == '__main__':
    main()
