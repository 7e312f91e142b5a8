"""Runs a small deployment on loopback and checks the promises.

Three entry hosts as processes, a store and targets in this process. Calls
are driven through the hosts while a target turns cold and a failure domain
goes out and comes back. The last line is one JSON object; the exit code is 1
if a promise was broken.
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
OUT_AT_S = 12.0
IN_AT_S = 20.0
DOMAIN = 'luzon-pasig'
SEED = 7
_OUT_GRACE_S = 5.0
_LABEL = 'ragwortchute demo'


class Tally(msgspec.Struct):
    """What the callers saw.

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


def _tally(samples: list[load_lib.Sample], run_calls: set[str]) -> Tally:
    """Sorts calls by outcome.

    Args:
        samples: The calls.
        run_calls: Ids of the calls that a target ran.
    """
    tally = Tally(calls=len(samples), reasons={})
    for sample in samples:
        if sample.outcome == load_lib.SERVED:
            tally.whole_answers += 1
            continue
        outcome = sample.outcome.partition(':')[0]
        if outcome == calls.Outcome.NOT_RUN:
            tally.refused_not_run += 1
            tally.false_not_run += sample.call_id in run_calls
        elif outcome == calls.Outcome.RAN:
            tally.refused_ran += 1
        elif outcome == calls.Outcome.UNKNOWN:
            tally.unknown += 1
        else:
            tally.wrong_answers += 1
            continue
        reasons = tally.reasons
        reasons[sample.outcome] = reasons.get(sample.outcome, 0) + 1
    return tally


async def _events(deployment: deployment_lib.Deployment) -> int:
    """Brings about the failures; returns calls in the domain that was out."""
    await asyncio.sleep(COLD_AT_S)
    name = next(iter(deployment.targets.targets))
    _say(f'target {name} restarts cold')
    await deployment.targets.targets[name].restart(0.5)
    await asyncio.sleep(OUT_AT_S - COLD_AT_S - 0.5)
    host = next(iter(deployment.hosts))
    _say(f'failure domain {DOMAIN} goes out')
    await deployment.operator(host, f'/domains/{DOMAIN}/out', 'POST')
    await asyncio.sleep(_OUT_GRACE_S)
    before = _runs_in(deployment, DOMAIN)
    await asyncio.sleep(IN_AT_S - OUT_AT_S - _OUT_GRACE_S)
    during = _runs_in(deployment, DOMAIN) - before
    _say(f'failure domain {DOMAIN} comes back')
    await deployment.operator(host, f'/domains/{DOMAIN}/in', 'POST')
    return during


def _runs_in(deployment: deployment_lib.Deployment, domain: str) -> int:
    document = deployment.service_document(deployment.services[0])
    names = {t.name for t in document.targets if t.failure_domain == domain}
    return sum(run.target in names for run in deployment.targets.log.runs)


async def _progress(caller: load_lib.Caller) -> None:
    while True:
        await asyncio.sleep(3.0)
        tally = _tally(caller.samples, set())
        _say(
            f'{tally.calls} calls, {tally.whole_answers} answered, '
            f'{tally.refused_not_run} refused not-run, '
            f'{tally.unknown} unknown'
        )


def _say(text: str) -> None:
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
    for_targets = deployment.targets
    try:
        _say('starting a store, 8 targets and 3 entry hosts')
        await deployment.start()
        for target in for_targets.targets.values():
            target.behaviour.cold_ramp_s = 2.0
        caller = load_lib.Caller(
            deployment.services[0].service, deployment.caller_urls()
        )
        _say('warming up')
        # Hosts that have just started take every target for cold.
        await caller.run(load_lib.Phase(WARM_UP_PER_S, WARM_UP_S, SEED))
        _say('ready')
        progress = asyncio.create_task(_progress(caller))
        events = asyncio.create_task(_events(deployment))
        measured = await caller.run(
            load_lib.Phase(
                RATE_PER_S, SECONDS, SEED + 1, write_share=WRITE_SHARE
            )
        )
        late_work = await events
        progress.cancel()
        await caller.close()
        return _report(deployment, measured.samples, late_work)
    finally:
        await deployment.stop()


def _report(
    deployment: deployment_lib.Deployment,
    samples: list[load_lib.Sample],
    late_work: int,
) -> int:
    log = deployment.targets.log
    tally = _tally(samples, {run.call for run in log.runs})
    latencies = load_lib.latencies(
        s for s in samples if s.outcome == load_lib.SERVED
    )
    for name, count in sorted(tally.reasons.items()):
        _say(f'refusals {name}: {count}')
    figures = {
        'calls': tally.calls,
        'whole_answers': tally.whole_answers,
        'refused_not_run': tally.refused_not_run,
        'refused_ran': tally.refused_ran,
        'unknown': tally.unknown,
        'ran_twice': len(log.ran_twice()),
        'wrong_answers': tally.wrong_answers,
        'false_not_run': tally.false_not_run,
        'cold_overloads': log.cold_overloads,
        'runs_in_domain_out': late_work,
        'p50_ms': load_lib.percentile_ms(latencies, 50),
        'p99_ms': load_lib.percentile_ms(latencies, 99),
    }
    broken = [
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
    for name in broken:
        _say(f'promise broken: {name} is {figures[name]}')
    print(json.dumps(figures), flush=True)
    return 1 if broken or not tally.whole_answers else 0


def main() -> None:
    """Runs the demo."""
    sys.exit(asyncio.run(_main()))


if __name__ == '__main__':
    main()
