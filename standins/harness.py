"""Injects faults at known steps and checks the guarantees of the design.

A `FaultTrial` runs a seeded load against a running deployment, brings a call or
an operation to one step, injects faults, ends them, and checks the observations
of callers, targets and hosts against the guarantees.
"""

import asyncio
from collections import abc
import itertools
import json
import random
import socket
import time

import aiohttp
import msgspec
from returns import result

from ragwortchute import calls
from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.client import caller as caller_lib
from ragwortchute.client import transport as transport_lib
from ragwortchute.stores import http as http_store
from ragwortchute.stores import writing
from standins import matrix_cluster as cluster_lib
from standins import targets as targets_lib

DOMAIN = 'luzon-pasig'
# Limit for a document to be in force on all hosts.
IN_FORCE_TIMEOUT_S = 7.0
MAX_CONTROL_BYTES_PER_S = 4096
_LOAD_PER_S = 70.0
_WRITE_SHARE = 0.35
_HOMED_SHARE = 0.15
_MONITOR_INTERVAL_S = 0.4
_STEP_TIMEOUT_S = 4.0
_CALL_TIMEOUT_S = 2.0
_RETRY_BUDGET_WINDOW_S = 10


class RecordingTransport(transport_lib.HttpTransport):
    """HTTP transport that records the URLs of calls.

    Attributes:
        urls: URLs of the calls in the order in which they were sent.
    """

    def __init__(self) -> None:
        super().__init__()
        self.urls: list[str] = []

    async def send(
        self, method: str, url: str, **options: object
    ) -> transport_lib.Response:
        """See base class."""
        if '/call/' in url:
            self.urls.append(url)
        return await super().send(method, url, **options)


class SentCall(msgspec.Struct):
    """One call of the load or of a step.

    Attributes:
        call: Value of the header `X-Call`.
        key: Idempotency key of a write; empty for a read.
        homed: Whether the route of the call is restricted to home regions.
        probe: Whether the call is to be held at a step.
        outcome: Result from the client; None while the call runs.
    """

    call: str
    key: str
    homed: bool
    probe: bool
    outcome: caller_lib.Outcome | None = None


class Totals(msgspec.Struct):
    """Number of calls by outcome, and of executions on targets."""

    calls: int = 0
    answers: int = 0
    not_run: int = 0
    ran: int = 0
    unknown: int = 0
    runs: int = 0

    def add(self, other: 'Totals') -> None:
        """Adds the counts of another cell."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


class Verdict(msgspec.Struct):
    """Result of a cell.

    Attributes:
        violations: Observed violations by number of the guarantee.
        reached: Whether the step was reached before the faults began.
        error: Problem that violates no guarantee, such as a host that does not
            become ready again.
        totals: Number of calls by outcome.
        seconds: Duration of the cell, in seconds.
    """

    violations: dict[int, list[str]] = msgspec.field(default_factory=dict)
    reached: bool = True
    error: str = ''
    totals: Totals = msgspec.field(default_factory=Totals)
    seconds: float = 0.0

    def add(self, guarantee: int, observation: str) -> None:
        """Records a violation of a guarantee."""
        self.violations.setdefault(guarantee, []).append(observation)


class FaultTrial:
    """One trial that combines a load, a step and faults.

    Args:
        cluster: A running deployment.
        seed: Random seed of the load.
        name: Prefix of the ids of all calls.

    Attributes:
        cluster: See `Args`.
        rng: Random source of the load.
        verdict: Result of the trial.
        affected_host: Host at which the step takes place.
        target: Target at which the step takes place.
        expect_all_answered: Whether no fault affects hosts or targets, so that
            every call must be answered.
        killed: Hosts that a fault killed.
        unavoidable_overloads: Number of overloads that no host can prevent. A
            target process that becomes cold gives no sign of it until its
            first overload breaks all connections.
        stopped: Hosts that were stopped gracefully.
        domain_check_start: Index of the first execution that must not be in a
            domain that was taken out.
    """

    def __init__(
        self, cluster: cluster_lib.Cluster, seed: int, name: str
    ) -> None:
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.verdict = Verdict()
        self.affected_host = 'pasig-0'
        self.target = f'{cluster_lib.SERVICE}-0'
        self.expect_all_answered = True
        self.killed: set[str] = set()
        self.unavoidable_overloads = 0
        self.stopped: set[str] = set()
        self._name = name
        self._numbers = itertools.count(1)
        self._client = caller_lib.CallerClient(cluster.caller_urls())
        self._sent_calls: list[SentCall] = []
        self._load_tasks: set[asyncio.Task[None]] = set()
        self._loading = True
        self._operation_tasks: list[asyncio.Task[None]] = []
        self._accepted_versions: dict[str, int] = {}
        self._highest_versions: dict[str, dict[str, int]] = {}
        self._first_run_index = len(cluster.targets.log.runs)
        self._overloads_before = cluster.targets.log.cold_overloads
        self._marker_hits_before = cluster.links.marker_hits
        self._out_from: int | None = None
        self._fault_ended = asyncio.Event()
        self._resumed = asyncio.Event()

    async def run(
        self,
        step: 'Step',
        faults: abc.Sequence['Fault'],
        delay_s: float = 0.0,
    ) -> Verdict:
        """Runs the trial.

        Args:
            step: Step to reach before the faults begin.
            faults: Faults to inject together.
            delay_s: Delay between the step and the faults, in seconds.

        Returns:
            The verdict.
        """
        start_s = time.monotonic()
        before = {h: await self.cluster.dump(h) for h in self.cluster.hosts}
        load = asyncio.create_task(self._run_load())
        monitor = asyncio.create_task(self._monitor())
        await asyncio.sleep(0.3)
        self.cluster.holds.enable()
        try:
            async with asyncio.timeout(_STEP_TIMEOUT_S):
                await step.begin(self)
        except TimeoutError:
            self.verdict.reached = False
        await asyncio.sleep(delay_s)
        await self._inject(step.name, faults)
        await asyncio.gather(*self._operation_tasks)
        await asyncio.sleep(0.5)
        self._loading = False
        await load
        monitor.cancel()
        await asyncio.gather(monitor, return_exceptions=True)
        await self._heal()
        await self._check(before, time.monotonic() - start_s)
        await self._client.close()
        self.verdict.seconds = time.monotonic() - start_s
        return self.verdict

    async def _inject(self, step: str, faults: abc.Sequence['Fault']) -> None:
        if step == 'choice of target':
            # Queued calls get the freed slots while the fault is active.
            self.cluster.holds.release()
        for fault in faults:
            self.expect_all_answered = (
                self.expect_all_answered and fault.expect_all_answered
            )
            await fault.begin(self)
        await asyncio.sleep(0.3)
        self._resumed.set()
        self.cluster.holds.release()
        duration_s = max((fault.duration_s for fault in faults), default=0.0)
        await asyncio.sleep(max(0.0, duration_s - 0.3))
        for fault in reversed(faults):
            await fault.end(self)
        self._fault_ended.set()

    # Load and probes.

    async def _run_load(self) -> None:
        while self._loading:
            draw = self.rng.random()
            if draw < _WRITE_SHARE:
                coro = self.write()
            elif draw < _WRITE_SHARE + _HOMED_SHARE:
                coro = self.write(homed=True)
            else:
                coro = self.read()
            task = asyncio.create_task(coro)
            self._load_tasks.add(task)
            task.add_done_callback(self._load_tasks.discard)
            await asyncio.sleep(self.rng.expovariate(_LOAD_PER_S))
        await asyncio.gather(*self._load_tasks)

    async def read(self, **options: object) -> SentCall:
        """Runs an idempotent call and checks the answer."""
        return await self._call('GET', b'', **options)

    async def write(
        self, *, homed: bool = False, **options: object
    ) -> SentCall:
        """Runs a call that may execute at most once and checks the answer."""
        body = cluster_lib.HOMED_BODY_MARKER * 8 if homed else b'{"job": 1}'
        options.setdefault('body', body)
        return await self._call('POST', homed=homed, **options)

    async def _call(
        self,
        method: str,
        body: bytes,
        *,
        homed: bool = False,
        hold: str = '',
        service: str = cluster_lib.SERVICE,
        client: caller_lib.CallerClient | None = None,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> SentCall:
        number = next(self._numbers)
        call = f'{self._name}-{number}'
        path = f'/{"homed" if homed else "jobs"}/{number}'
        headers = [('x-call', call)]
        if hold:
            headers.append(('x-hold', hold))
        key = '' if method == 'GET' else call
        sent = SentCall(call, key, homed, bool(hold))
        self._sent_calls.append(sent)
        sent.outcome = await (client or self._client).call(
            service,
            method,
            path,
            body=body,
            headers=headers,
            timeout_s=timeout_s,
            idempotent=not key,
            key=key,
        )
        if isinstance(sent.outcome, result.Success):
            expected = targets_lib.expected_digest(method, path, body)
            self._check_answer(sent.outcome.unwrap(), call, expected)
        return sent

    def _check_answer(
        self, answer: calls.Answer, call: str, digest: str
    ) -> None:
        if answer.status == 500 and answer.body == b'{"error":"fail-fast"}':
            return
        try:
            content = json.loads(answer.body)
        except ValueError:
            content = {}
        if content.get('call') != call or content.get('digest') != digest:
            self.verdict.add(
                5, f'{call}: status {answer.status}, {answer.body[:80]!r}'
            )

    def spawn(self, coro: abc.Coroutine[None, None, object]) -> None:
        """Starts a task of the step's operation; `run` awaits it."""
        self._operation_tasks.append(asyncio.create_task(coro))

    async def probe(
        self, hold: str, *, count: int = 1, body: bytes | None = None
    ) -> None:
        """Sends calls that targets hold at a step.

        Sets `target` and `affected_host` from the first held call.

        Args:
            hold: Step at which targets hold the calls.
            count: Number of writes, and of held calls to wait for.
            body: Body of the writes; if None, a default body is sent and a
                read is added.
        """
        transport = RecordingTransport()
        client = caller_lib.CallerClient(
            self.cluster.caller_urls(), transport=transport
        )
        options = {
            'hold': hold,
            'timeout_s': cluster_lib.PROBE_TIMEOUT_S,
            'client': client,
        }
        if body is not None:
            options['body'] = body
        tasks = [
            asyncio.create_task(self.write(**options)) for _ in range(count)
        ]
        if body is None:
            tasks.append(asyncio.create_task(self.read(**options)))

        async def finish() -> None:
            await asyncio.gather(*tasks)
            await client.close()

        self.spawn(finish())
        await self.wait_until_held(count)
        self.target = self.cluster.holds.held[0][1]
        self.affected_host = (
            self.host_for_url(transport.urls[-1]) or self.affected_host
        )

    async def wait_until_held(self, count: int) -> None:
        """Waits until targets hold at least `count` requests."""
        while len(self.cluster.holds.held) < count:
            await asyncio.sleep(0.005)

    def host_for_url(self, url: str) -> str:
        """Returns the host that serves a caller URL, or an empty string."""
        for name, host in self.cluster.hosts.items():
            if url.startswith(host.caller_url + '/'):
                return name
        return ''

    async def wait_until_resumed(self) -> None:
        """Waits until held calls are resumed while the faults are active."""
        await self._resumed.wait()

    # Operations.

    async def apply_document(self, author: str = 'operator') -> None:
        """Writes a changed document and records its version if accepted.

        `_check_in_force` waits later until the version is in force.
        """
        writer, store = self.writer()
        try:
            current = await writer.read(cluster_lib.SERVICE)
            document = msgspec.structs.replace(
                current.document, max_queue=self.rng.randrange(200, 400)
            )
            outcome = await writer.write(
                document, author=author, expected_version=current.version
            )
        except (errors.StoreError, errors.StoreUnavailable):
            return
        finally:
            await store.close()
        if isinstance(outcome, result.Success):
            self.record_accepted(cluster_lib.SERVICE, outcome.unwrap().version)

    def writer(self) -> tuple[writing.DocumentWriter, stores.Store]:
        """Returns a document writer and the store client that it uses."""
        store = http_store.HttpStore(self.cluster.api.url)
        return writing.DocumentWriter(store, wall=time.time), store

    def record_accepted(self, name: str, version: int) -> None:
        """Records an accepted document version."""
        self._accepted_versions[name] = max(
            self._accepted_versions.get(name, 0), version
        )

    async def order_domain(self, host: str, state: str) -> bool:
        """Orders the domain `out` or `in`; returns whether a host accepted."""
        path = f'/domains/{DOMAIN}/{state}'
        try:
            await self.cluster.operator(host, path, 'POST')
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        return True

    async def order_domain_until_accepted(
        self, state: str, timeout_s: float
    ) -> bool:
        """Sends the order to one host after another until one accepts it."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            for host in ('makati-0', 'makati-1', 'cebu-0'):
                if await self.order_domain(host, state):
                    return True
            await asyncio.sleep(0.2)
        return False

    async def domain_out_and_in(self) -> None:
        """Takes a domain out, checks for executions in it, and takes it in."""
        accepted = await self.order_domain_until_accepted('out', 6.0)
        if not accepted:
            return
        await asyncio.sleep(cluster_lib.GRACE_PERIOD_S)
        # An isolated host receives the order only after the fault ends.
        if not self._fault_ended.is_set():
            await self._fault_ended.wait()
            await asyncio.sleep(cluster_lib.GRACE_PERIOD_S)
        self.domain_check_start = len(self.cluster.targets.log.runs)
        await asyncio.sleep(1.2)
        self._check_domain()
        if not await self.order_domain_until_accepted('in', 10.0):
            self.verdict.error = 'the domain was not taken in again'

    def _check_domain(self) -> None:
        domains = self.cluster.target_domains()
        runs = self.cluster.targets.log.runs[self.domain_check_start :]
        late = [r.call for r in runs if domains[r.target] == DOMAIN]
        if late:
            self.verdict.add(
                3, f'{len(late)} runs in the domain, first {late[0]}'
            )

    async def planned_stop(self) -> None:
        """Stops the affected host gracefully and checks its exit code."""
        host = self.cluster.hosts[self.affected_host]
        self.stopped.add(self.affected_host)
        code = await host.stop(30.0)
        if code != 0 and self.affected_host not in self.killed:
            self.verdict.add(9, f'{self.affected_host} exited with code {code}')

    async def wait_listener_closed(self) -> None:
        """Waits until the affected host refuses caller connections."""
        port = self.cluster.hosts[self.affected_host].ports[0]
        while _accepts_connections(port):
            await asyncio.sleep(0.005)

    # Checks.

    async def _monitor(self) -> None:
        """Polls all hosts for document versions that decrease."""
        while True:
            for host in self.cluster.hosts:
                self._check_versions(host, await self.cluster.status(host))
            await asyncio.sleep(_MONITOR_INTERVAL_S)

    def _check_versions(self, host: str, status: dict[str, object]) -> None:
        if not status.get('ready'):
            return
        seen = self._highest_versions.setdefault(host, {})
        for name, entry in status['documents'].items():
            version = entry['version']
            if version < seen.get(name, 0):
                self.verdict.add(
                    10,
                    f'{host}: version fell from {seen[name]} to {version}',
                )
            seen[name] = max(version, seen.get(name, 0))

    async def _heal(self) -> None:
        """Resumes or restarts all hosts and waits until they are ready."""
        for host in self.cluster.hosts.values():
            host.resume()
            if not host.running:
                host.start()
        for name in self.cluster.hosts:
            try:
                await self.cluster.wait_ready(name, 20.0)
            except TimeoutError:
                self.verdict.error = f'{name} did not become ready'

    async def _check(
        self, before: dict[str, dict[str, object]], elapsed_s: float
    ) -> None:
        await self._check_in_force()
        self._check_refusals()
        log = self.cluster.targets.log
        runs = log.runs[self._first_run_index :]
        self.verdict.totals.runs = len(runs)
        counts: dict[str, int] = {}
        for run in runs:
            if run.key:
                counts[run.key] = counts.get(run.key, 0) + 1
        for key, count in counts.items():
            if count > 1:
                where = [r.target for r in runs if r.key == key]
                self.verdict.add(7, f'{key} ran on {where}')
        overloads = log.cold_overloads - self._overloads_before
        if overloads > self.unavoidable_overloads:
            self.verdict.add(2, f'{overloads} requests above the cold limit')
        domains = self.cluster.target_domains()
        homed = {sent.call for sent in self._sent_calls if sent.homed}
        for run in runs:
            if run.call in homed and not domains[run.target].startswith(
                cluster_lib.STORE_REGION
            ):
                self.verdict.add(4, f'{run.call} ran on {run.target}')
        if self.cluster.links.marker_hits > self._marker_hits_before:
            self.verdict.add(
                4, 'the body of a homed call crossed a link between regions'
            )
        await self._check_budgets(before, elapsed_s)

    async def _check_in_force(self) -> None:
        if not self._accepted_versions:
            return
        end_s = time.monotonic() + IN_FORCE_TIMEOUT_S
        while True:
            missing = []
            for host in self.cluster.hosts:
                held = (await self.cluster.status(host)).get('documents', {})
                missing += [
                    f'{host} lacks {name} {version}'
                    for name, version in self._accepted_versions.items()
                    if held.get(name, {}).get('version', 0) < version
                ]
            if not missing:
                return
            if time.monotonic() > end_s:
                self.verdict.add(10, '; '.join(missing))
                return
            await asyncio.sleep(cluster_lib.POLL_INTERVAL_S)

    def _check_refusals(self) -> None:
        totals = self.verdict.totals
        log = self.cluster.targets.log
        ran = {run.call for run in log.runs[self._first_run_index :]}
        for sent in self._sent_calls:
            totals.calls += 1
            if isinstance(sent.outcome, result.Success):
                totals.answers += 1
                continue
            refusal = sent.outcome.failure()
            if refusal.outcome is calls.Outcome.NOT_RUN:
                totals.not_run += 1
                if sent.call in ran:
                    self.verdict.add(
                        6, f'{sent.call} ran, {refusal.reason}/{refusal.step}'
                    )
            elif refusal.outcome is calls.Outcome.RAN:
                totals.ran += 1
                if sent.call not in ran:
                    self.verdict.add(
                        6, f'{sent.call}: refused as `ran` but not run'
                    )
            else:
                totals.unknown += 1
            if self.stopped and self.expect_all_answered:
                self.verdict.add(
                    9,
                    f'{sent.call} refused {refusal.outcome} '
                    f'{refusal.reason}/{refusal.step}',
                )

    async def _check_budgets(
        self, before: dict[str, dict[str, object]], elapsed_s: float
    ) -> None:
        for host, old in before.items():
            new = await self.cluster.dump(host)
            if not old or not new:
                continue
            same_incarnation = (
                old['status']['incarnation'] == new['status']['incarnation']
            )
            if not same_incarnation:
                continue
            retries = new['dispatch']['retries'] - old['dispatch']['retries']
            attempts = new['dispatch']['attempts'] - old['dispatch']['attempts']
            # The budget includes the calls of the preceding 10 s window.
            window_s = elapsed_s + _RETRY_BUDGET_WINDOW_S
            services = len(self.cluster.services)
            allowed = 0.1 * (attempts + _LOAD_PER_S * _RETRY_BUDGET_WINDOW_S)
            allowed += window_s * services
            if retries > allowed:
                self.verdict.add(1, f'{host}: {retries} retries, {allowed:.0f}')
            sent = new['control']['sent_bytes'] - old['control']['sent_bytes']
            if sent > MAX_CONTROL_BYTES_PER_S * elapsed_s:
                self.verdict.add(
                    1, f'{host}: {sent / elapsed_s:.0f} control bytes/s'
                )


class Step(msgspec.Struct, frozen=True):
    """A step of a call or an operation at which faults are injected.

    Attributes:
        name: Name of the step.
        begin: Brings the cell to the step.
    """

    name: str
    begin: abc.Callable[[FaultTrial], abc.Awaitable[None]]


class Fault:
    """A fault that a cell injects.

    Attributes:
        duration_s: Duration of the fault, in seconds.
        expect_all_answered: Whether every call must be answered despite the
            fault.
    """

    duration_s = 1.5
    expect_all_answered = False

    async def begin(self, cell: FaultTrial) -> None:
        """Injects the fault."""

    async def end(self, cell: FaultTrial) -> None:
        """Ends the fault."""


async def _joining(cluster: cluster_lib.Cluster, host: str) -> bool:
    """Returns whether a host refuses calls because it holds no slots yet."""
    path = f'/explain?service={cluster_lib.SERVICE}&method=GET&path=/&tenant='
    return (await cluster.operator(host, path))['reason'] == 'joining'


async def warm_up(cluster: cluster_lib.Cluster, seconds: float) -> None:
    """Runs load until the hosts consider their targets warm.

    Args:
        cluster: A running deployment.
        seconds: Minimum duration of the load, in seconds.
    """
    cell = FaultTrial(cluster, 1, f'warm-{time.monotonic_ns()}')
    load = asyncio.create_task(cell._run_load())
    await asyncio.sleep(seconds)
    while any([await _joining(cluster, host) for host in cluster.hosts]):
        await asyncio.sleep(cluster_lib.POLL_INTERVAL_S)
    cell._loading = False
    await load
    await cell._client.close()


def _accepts_connections(port: int) -> bool:
    with socket.socket() as sock:
        sock.settimeout(0.2)
        return sock.connect_ex(('127.0.0.1', port)) == 0
