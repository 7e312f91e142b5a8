"""Runs a small deployment on loopback and checks its guarantees.

Three entry hosts run as processes; the store and the targets run in this
process. Calls pass through the hosts while a target restarts cold and a
failure domain is evacuated and readmitted. The last line of the output is a
JSON object with the figures. The exit code is 1 if a guarantee was violated or
no call was answered.
"""

import asyncio
import json
import sys

import msgspec

from benchmarks import load as load_lib
from ragwortchute import calls
from ragwortchute import documents
from standins import deployment as deployment_lib

SECONDS = 30.0
RATE_PER_S = 120.0
WARM_UP_S = 8.0
WARM_UP_PER_S = 40.0
WRITE_SHARE = 0.3
COLD_AT_S = 6.0
EVACUATE_AT_S = 12.0
READMIT_AT_S = 20.0
DOMAIN = 'luzon-pasig'
SEED = 7
_EVACUATION_LIMIT_S = 5.0
_LABEL = 'ragwortchute demo'


class OutcomeCounts(msgspec.Struct):
    """Numbers of calls by outcome.

    Attributes:
        reasons: Refused calls by outcome and reason.
    """

    calls: int = 0
    whole_answers: int = 0
    refused_not_run: int = 0
    refused_ran: int = 0
    unknown: int = 0
    wrong_answers: int = 0
    false_not_run: int = 0
    reasons: dict[str, int] = {}


def _count_outcomes(
    samples: list[load_lib.Sample], run_calls: set[str]
) -> OutcomeCounts:
    """Counts calls by outcome.

    Args:
        samples: The calls.
        run_calls: Ids of the calls that targets executed.
    """
    counts = OutcomeCounts(calls=len(samples), reasons={})
    for sample in samples:
        if sample.outcome == load_lib.SERVED:
            counts.whole_answers += 1
            continue
        outcome = sample.outcome.partition(':')[0]
        if outcome == calls.Outcome.NOT_RUN:
            counts.refused_not_run += 1
            counts.false_not_run += sample.call_id in run_calls
        elif outcome == calls.Outcome.RAN:
            counts.refused_ran += 1
        elif outcome == calls.Outcome.UNKNOWN:
            counts.unknown += 1
        else:
            counts.wrong_answers += 1
            continue
        reasons = counts.reasons
        reasons[sample.outcome] = reasons.get(sample.outcome, 0) + 1
    return counts


async def _inject_events(deployment: deployment_lib.Deployment) -> int:
    """Injects the failures.

    Returns:
        The number of calls executed in the domain after its evacuation.
    """
    await asyncio.sleep(COLD_AT_S)
    name = next(iter(deployment.targets.targets))
    _print_line(f'target {name} restarts and is cold')
    await deployment.targets.targets[name].restart(0.5)
    await asyncio.sleep(EVACUATE_AT_S - COLD_AT_S - 0.5)
    host = next(iter(deployment.hosts))
    _print_line(f'failure domain {DOMAIN} is evacuated')
    await deployment.operator(host, f'/domains/{DOMAIN}/out', 'POST')
    await asyncio.sleep(_EVACUATION_LIMIT_S)
    before = _runs_in(deployment, DOMAIN)
    await asyncio.sleep(READMIT_AT_S - EVACUATE_AT_S - _EVACUATION_LIMIT_S)
    late_runs = _runs_in(deployment, DOMAIN) - before
    _print_line(f'failure domain {DOMAIN} is readmitted')
    await deployment.operator(host, f'/domains/{DOMAIN}/in', 'POST')
    return late_runs


def _runs_in(deployment: deployment_lib.Deployment, domain: str) -> int:
    document = deployment.service_document(deployment.services[0])
    names = {t.name for t in document.targets if t.failure_domain == domain}
    return sum(run.target in names for run in deployment.targets.log.runs)


async def _print_progress(caller: load_lib.Caller) -> None:
    while True:
        await asyncio.sleep(3.0)
        counts = _count_outcomes(caller.samples, set())
        _print_line(
            f'{counts.calls} calls, {counts.whole_answers} answered, '
            f'{counts.refused_not_run} refused not-run, '
            f'{counts.unknown} unknown'
        )


def _print_line(text: str) -> None:
    print(f'{_LABEL}: {text}', flush=True)


async def _main() -> int:
    hosts = [
        deployment_lib.HostSpec('makati-0', 'luzon-makati', 'luzon'),
        deployment_lib.HostSpec('pasig-0', 'luzon-pasig', 'luzon'),
        deployment_lib.HostSpec('makati-1', 'luzon-makati', 'luzon'),
    ]
    deployment = deployment_lib.Deployment(
        hosts,
        [deployment_lib.ServiceSpec('dispatch', 8, 4)],
        seed=SEED,
        cold_start=documents.ColdStart(ramp_s=2.0),
    )
    target_set = deployment.targets
    try:
        _print_line('starting the store, 8 targets and 3 entry hosts')
        await deployment.start()
        for target in target_set.targets.values():
            target.behaviour.cold_ramp_s = 2.0
        caller = load_lib.Caller(
            deployment.services[0].service, deployment.caller_urls()
        )
        _print_line('warming up')
        # A host that has just started treats every target as cold.
        await caller.run(load_lib.Phase(WARM_UP_PER_S, WARM_UP_S, SEED))
        _print_line('ready')
        progress = asyncio.create_task(_print_progress(caller))
        events = asyncio.create_task(_inject_events(deployment))
        measured = await caller.run(
            load_lib.Phase(
                RATE_PER_S, SECONDS, SEED + 1, write_share=WRITE_SHARE
            )
        )
        late_runs = await events
        progress.cancel()
        await caller.close()
        return _report(deployment, measured.samples, late_runs)
    finally:
        await deployment.stop()


def _report(
    deployment: deployment_lib.Deployment,
    samples: list[load_lib.Sample],
    late_runs: int,
) -> int:
    log = deployment.targets.log
    counts = _count_outcomes(samples, {run.call for run in log.runs})
    latencies = load_lib.latencies(
        s for s in samples if s.outcome == load_lib.SERVED
    )
    for name, count in sorted(counts.reasons.items()):
        _print_line(f'refusals {name}: {count}')
    figures = {
        'calls': counts.calls,
        'whole_answers': counts.whole_answers,
        'refused_not_run': counts.refused_not_run,
        'refused_ran': counts.refused_ran,
        'unknown': counts.unknown,
        'ran_twice': len(log.ran_twice()),
        'wrong_answers': counts.wrong_answers,
        'false_not_run': counts.false_not_run,
        'cold_overloads': log.cold_overloads,
        'runs_in_domain_out': late_runs,
        'p50_ms': load_lib.percentile_ms(latencies, 50),
        'p99_ms': load_lib.percentile_ms(latencies, 99),
    }
    violated = [
        name
        for name in (
            'ran_twice',
            'wrong_answers',
            'false_not_run',
            'cold_overloads',
            'runs_in_domain_out',
        )
        if figures[name]
    ]
    for name in violated:
        _print_line(f'guarantee violated: {name} is {figures[name]}')
    print(json.dumps(figures), flush=True)
    return 1 if violated or not counts.whole_answers else 0


def main() -> None:
    """Runs the demo."""
    sys.exit(asyncio.run(_main()))


if __name__ == '__main__':
    main()
