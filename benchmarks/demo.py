"""Runs a small deployment on loopback and checks the promises.

Three entry hosts as processes, a store and targets in this process. Calls
are driven through the hosts while a target turns cold and a failure domain
goes out and comes back. The last line is one JSON object; the exit code is 1
if a promise was broken.
"""

import asyncio
import itertools
import json
import random
import sys
import time

from hdrh import histogram
import msgspec
from returns import result

from ragwortchute import calls
from ragwortchute import documents
from ragwortchute.client import caller as caller_lib
from standins import deployment as deployment_lib
from standins import targets as targets_lib

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
_HIGHEST_US = 60_000_000
_LABEL = 'ragwortchute demo'


class Tally(msgspec.Struct):
    """What the callers saw."""

    calls: int = 0
    whole_answers: int = 0
    refused_not_run: int = 0
    refused_ran: int = 0
    unknown: int = 0
    wrong_answers: int = 0
    false_not_run: int = 0


class Load:
    """Open-loop calls with a seeded schedule.

    Args:
        deployment: Where the calls go.
        seed: Seed of times and kinds of calls.
    """

    def __init__(
        self, deployment: deployment_lib.Deployment, seed: int
    ) -> None:
        self.tally = Tally()
        self.latencies = histogram.HdrHistogram(1, _HIGHEST_US, 3)
        self.keys_not_run: list[str] = []
        self.reasons: dict[str, int] = {}
        self._deployment = deployment
        self._numbers = itertools.count(1)
        self._rng = random.Random(seed)
        self._client = caller_lib.CallerClient(deployment.caller_urls())
        self._tasks: set[asyncio.Task[None]] = set()

    async def warm_up(self, seconds: float, rate_per_s: float) -> None:
        """Runs calls that count in no figure.

        Hosts that have just started take every target for cold.
        """
        await self.run(seconds, rate_per_s)
        self.tally = Tally()
        self.reasons.clear()
        self.latencies.reset()

    async def run(self, seconds: float, rate_per_s: float) -> None:
        """Starts calls for some seconds, then waits for the last of them."""
        start_s = time.monotonic()
        due_s = start_s
        while due_s < start_s + seconds:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            task = asyncio.create_task(self._one(next(self._numbers)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due_s += self._rng.expovariate(rate_per_s)
        await asyncio.gather(*self._tasks)

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.close()

    async def _one(self, number: int) -> None:
        call_id = f'call-{number}'
        write = self._rng.random() < WRITE_SHARE
        method = 'POST' if write else 'GET'
        body = json.dumps({'job': number}).encode() if write else b''
        path = f'/jobs/{number}'
        start_s = time.monotonic()
        outcome = await self._client.call(
            'dispatch',
            method,
            path,
            body=body,
            headers=[('x-call', call_id)],
            idempotent=not write,
        )
        self.tally.calls += 1
        if isinstance(outcome, result.Success):
            elapsed_us = int((time.monotonic() - start_s) * 1e6)
            self.latencies.record_value(max(1, elapsed_us))
            expected = targets_lib.expected_digest(method, path, body)
            self._check(outcome.unwrap(), call_id, expected)
            return
        self._refused(outcome.failure(), call_id)

    def _check(self, answer: calls.Answer, call_id: str, digest: str) -> None:
        try:
            content = json.loads(answer.body)
        except ValueError:
            content = {}
        right = content.get('call') == call_id
        if right and content.get('digest') == digest:
            self.tally.whole_answers += 1
        else:
            self.tally.wrong_answers += 1

    def _refused(self, refusal: calls.Refusal, call_id: str) -> None:
        name = f'{refusal.outcome}:{refusal.reason}'
        self.reasons[name] = self.reasons.get(name, 0) + 1
        if refusal.outcome is calls.Outcome.NOT_RUN:
            self.tally.refused_not_run += 1
            if self._deployment.targets.log.count(call_id):
                self.tally.false_not_run += 1
        elif refusal.outcome is calls.Outcome.RAN:
            self.tally.refused_ran += 1
        else:
            self.tally.unknown += 1


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


async def _progress(load: Load) -> None:
    while True:
        await asyncio.sleep(3.0)
        tally = load.tally
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
        load = Load(deployment, SEED)
        _say('warming up')
        await load.warm_up(WARM_UP_S, WARM_UP_PER_S)
        _say('ready')
        progress = asyncio.create_task(_progress(load))
        events = asyncio.create_task(_events(deployment))
        await load.run(SECONDS, RATE_PER_S)
        late_work = await events
        progress.cancel()
        await load.close()
        return _report(deployment, load, late_work)
    finally:
        await deployment.stop()


def _report(
    deployment: deployment_lib.Deployment, load: Load, late_work: int
) -> int:
    log = deployment.targets.log
    tally = load.tally
    for name, count in sorted(load.reasons.items()):
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
        'p50_ms': load.latencies.get_value_at_percentile(50) / 1000,
        'p99_ms': load.latencies.get_value_at_percentile(99) / 1000,
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
