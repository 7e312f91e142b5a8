"""Brings about faults at known steps and checks the promises.

A `Cell` runs a seeded load against a running deployment, leads a call or an
operation to one step, brings about faults, ends them and checks what the
callers, the targets and the hosts saw against the promises of the design.
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
# A document takes effect everywhere within this time.
IN_FORCE_S = 7.0
CONTROL_BYTES_PER_S = 4096
_LOAD_PER_S = 70.0
_WRITE_SHARE = 0.35
_HOMED_SHARE = 0.15
_MONITOR_S = 0.4
_STEP_S = 4.0
_CALL_S = 2.0
_RETRY_WINDOW_S = 10


class NotedTransport(transport_lib.HttpTransport):
    """Remembers where calls went.

    Attributes:
        urls: URLs of the calls that were sent.
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


class Sent(msgspec.Struct):
    """One call of the load or of a step.

    Attributes:
        call: Id in the header `X-Call`.
        key: Request key of a write.
        homed: Whether the call has home regions.
        probe: Whether it was led to a step.
        outcome: What the client returned; None while it runs.
    """

    call: str
    key: str
    homed: bool
    probe: bool
    outcome: caller_lib.Outcome | None = None


class Totals(msgspec.Struct):
    """Counts of calls by outcome."""

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
        broken: What was seen, by number of the promise.
        reached: Whether the step was reached before the faults.
        note: Trouble of the harness that is no broken promise.
        totals: Counts of calls.
        seconds: Time taken.
    """

    broken: dict[int, list[str]] = msgspec.field(default_factory=dict)
    reached: bool = True
    note: str = ''
    totals: Totals = msgspec.field(default_factory=Totals)
    seconds: float = 0.0

    def add(self, promise: int, seen: str) -> None:
        """Records a broken promise."""
        self.broken.setdefault(promise, []).append(seen)


class Cell:
    """One run of a load, a step and faults.

    Args:
        cluster: A running deployment.
        seed: Seed of the load.
        name: Prefix of the ids of all calls.

    Attributes:
        victim: Host at which the step happens.
        target: Target at which the step happens.
        benign: Whether no fault touches hosts or targets, so that every
            call must be answered.
        killed: Hosts that a fault ended.
        unwarned: Overloads that no host can avoid: a process that turns cold
            shows nothing until its first overload breaks all connections.
    """

    def __init__(
        self, cluster: cluster_lib.Cluster, seed: int, name: str
    ) -> None:
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.verdict = Verdict()
        self.victim = 'pasig-0'
        self.target = f'{cluster_lib.SERVICE}-0'
        self.benign = True
        self.killed: set[str] = set()
        self.unwarned = 0
        self.stopped: set[str] = set()
        self._name = name
        self._numbers = itertools.count(1)
        self._client = caller_lib.CallerClient(cluster.caller_urls())
        self._sent: list[Sent] = []
        self._load: set[asyncio.Task[None]] = set()
        self._loading = True
        self._operation: list[asyncio.Task[None]] = []
        self._accepted: dict[str, int] = {}
        self._seen: dict[str, dict[str, int]] = {}
        self._first_run = len(cluster.targets.log.runs)
        self._overloads = cluster.targets.log.cold_overloads
        self._marked = cluster.links.marker_hits
        self._out_from: int | None = None
        self._fault_ended = asyncio.Event()
        self._resumed = asyncio.Event()

    async def run(
        self,
        step: 'Step',
        faults: abc.Sequence['Fault'],
        delay_s: float = 0.0,
    ) -> Verdict:
        """Runs the cell and returns its verdict."""
        start_s = time.monotonic()
        before = {h: await self.cluster.dump(h) for h in self.cluster.hosts}
        load = asyncio.create_task(self._run_load())
        monitor = asyncio.create_task(self._monitor())
        await asyncio.sleep(0.3)
        self.cluster.holds.enable()
        try:
            async with asyncio.timeout(_STEP_S):
                await step.begin(self)
        except TimeoutError:
            self.verdict.reached = False
        await asyncio.sleep(delay_s)
        await self._bring_about(step.name, faults)
        await asyncio.gather(*self._operation)
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

    async def _bring_about(
        self, step: str, faults: abc.Sequence['Fault']
    ) -> None:
        if step == 'choice of target':
            # The freed slots are given to queued calls while the fault acts.
            self.cluster.holds.release()
        for fault in faults:
            self.benign = self.benign and fault.benign
            await fault.begin(self)
        await asyncio.sleep(0.3)
        self._resumed.set()
        self.cluster.holds.release()
        hold_s = max((fault.hold_s for fault in faults), default=0.0)
        await asyncio.sleep(max(0.0, hold_s - 0.3))
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
            self._load.add(task)
            task.add_done_callback(self._load.discard)
            await asyncio.sleep(self.rng.expovariate(_LOAD_PER_S))
        await asyncio.gather(*self._load)

    async def read(self, **options: object) -> Sent:
        """Runs an idempotent call and checks the answer."""
        return await self._call('GET', b'', **options)

    async def write(self, *, homed: bool = False, **options: object) -> Sent:
        """Runs a call that may run once and checks the answer."""
        body = cluster_lib.MARKER * 8 if homed else b'{"job": 1}'
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
        timeout_s: float = _CALL_S,
    ) -> Sent:
        number = next(self._numbers)
        call = f'{self._name}-{number}'
        path = f'/{"homed" if homed else "jobs"}/{number}'
        headers = [('x-call', call)]
        if hold:
            headers.append(('x-hold', hold))
        key = '' if method == 'GET' else call
        sent = Sent(call, key, homed, bool(hold))
        self._sent.append(sent)
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
        """Runs a part of the step's operation."""
        self._operation.append(asyncio.create_task(coro))

    async def probe(
        self, hold: str, *, count: int = 1, body: bytes | None = None
    ) -> None:
        """Leads writes and a read to a step; the first one names the victim."""
        transport = NotedTransport()
        client = caller_lib.CallerClient(
            self.cluster.caller_urls(), transport=transport
        )
        options = {
            'hold': hold,
            'timeout_s': cluster_lib.PROBE_S,
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
        await self.wait_held(count)
        self.target = self.cluster.holds.held[0][1]
        self.victim = self.host_of(transport.urls[-1]) or self.victim

    async def wait_held(self, count: int) -> None:
        """Waits until targets hold a number of requests."""
        while len(self.cluster.holds.held) < count:
            await asyncio.sleep(0.005)

    def host_of(self, url: str) -> str:
        """Returns the host that a URL leads to, or ''."""
        for name, host in self.cluster.hosts.items():
            if url.startswith(host.caller_url + '/'):
                return name
        return ''

    async def wait_resumed(self) -> None:
        """Waits until the step goes on under the fault."""
        await self._resumed.wait()

    # Operations.

    async def apply_document(self, author: str = 'operator') -> None:
        """Writes a changed document and waits until it is in force."""
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
            self.accept(cluster_lib.SERVICE, outcome.unwrap().version)

    def writer(self) -> tuple[writing.DocumentWriter, stores.Store]:
        """Returns a writer of documents and its store client."""
        store = http_store.HttpStore(self.cluster.api.url)
        return writing.DocumentWriter(store, wall=time.time), store

    def accept(self, name: str, version: int) -> None:
        """Notes that a version was accepted."""
        self._accepted[name] = max(self._accepted.get(name, 0), version)

    async def order(self, host: str, state: str) -> bool:
        """Orders the domain out or in; tells whether it was accepted."""
        path = f'/domains/{DOMAIN}/{state}'
        try:
            await self.cluster.operator(host, path, 'POST')
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        return True

    async def order_until_done(self, state: str, timeout_s: float) -> bool:
        """Orders at one host after the other until one accepts."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            for host in ('makati-0', 'makati-1', 'cebu-0'):
                if await self.order(host, state):
                    return True
            await asyncio.sleep(0.2)
        return False

    async def domain_out_and_in(self) -> None:
        """Takes a domain out, watches for late work and takes it in."""
        accepted = await self.order_until_done('out', 6.0)
        if not accepted:
            return
        await asyncio.sleep(cluster_lib.GRACE_S)
        # A host that was cut off learns of the order when the cut ends.
        if not self._fault_ended.is_set():
            await self._fault_ended.wait()
            await asyncio.sleep(cluster_lib.GRACE_S)
        self.check_domain_from = len(self.cluster.targets.log.runs)
        await asyncio.sleep(1.2)
        self._check_domain()
        if not await self.order_until_done('in', 10.0):
            self.verdict.note = 'the domain did not come back'

    def _check_domain(self) -> None:
        domains = self.cluster.target_domains()
        runs = self.cluster.targets.log.runs[self.check_domain_from :]
        late = [r.call for r in runs if domains[r.target] == DOMAIN]
        if late:
            self.verdict.add(3, f'{len(late)} runs, first {late[0]}')

    async def planned_stop(self) -> None:
        """Stops the victim as planned and checks its exit code."""
        host = self.cluster.hosts[self.victim]
        self.stopped.add(self.victim)
        code = await host.stop(30.0)
        if code != 0 and self.victim not in self.killed:
            self.verdict.add(9, f'{self.victim} ended with {code}')

    async def wait_refused(self) -> None:
        """Waits until the victim takes no more callers."""
        port = self.cluster.hosts[self.victim].ports[0]
        while _open(port):
            await asyncio.sleep(0.005)

    # Checks.

    async def _monitor(self) -> None:
        """Looks for versions that go back."""
        while True:
            for host in self.cluster.hosts:
                self._note_versions(host, await self.cluster.status(host))
            await asyncio.sleep(_MONITOR_S)

    def _note_versions(self, host: str, status: dict[str, object]) -> None:
        if not status.get('ready'):
            return
        seen = self._seen.setdefault(host, {})
        for name, entry in status['documents'].items():
            version = entry['version']
            if version < seen.get(name, 0):
                self.verdict.add(
                    10, f'{host} went from {seen[name]} to {version}'
                )
            seen[name] = max(version, seen.get(name, 0))

    async def _heal(self) -> None:
        """Restarts ended hosts and waits until all are ready."""
        for host in self.cluster.hosts.values():
            host.resume()
            if not host.running:
                host.start()
        for name in self.cluster.hosts:
            try:
                await self.cluster.wait_ready(name, 20.0)
            except TimeoutError:
                self.verdict.note = f'{name} did not become ready'

    async def _check(
        self, before: dict[str, dict[str, object]], elapsed_s: float
    ) -> None:
        await self._check_in_force()
        self._check_refusals()
        log = self.cluster.targets.log
        runs = log.runs[self._first_run :]
        self.verdict.totals.runs = len(runs)
        counts: dict[str, int] = {}
        for run in runs:
            if run.key:
                counts[run.key] = counts.get(run.key, 0) + 1
        for key, count in counts.items():
            if count > 1:
                where = [r.target for r in runs if r.key == key]
                self.verdict.add(7, f'{key} ran on {where}')
        overloads = log.cold_overloads - self._overloads
        if overloads > self.unwarned:
            self.verdict.add(2, f'{overloads} requests above the limit')
        domains = self.cluster.target_domains()
        homed = {sent.call for sent in self._sent if sent.homed}
        for run in runs:
            if run.call in homed and not domains[run.target].startswith(
                cluster_lib.STORE_REGION
            ):
                self.verdict.add(4, f'{run.call} ran on {run.target}')
        if self.cluster.links.marker_hits > self._marked:
            self.verdict.add(4, 'its body crossed a link between regions')
        await self._check_budgets(before, elapsed_s)

    async def _check_in_force(self) -> None:
        if not self._accepted:
            return
        end_s = time.monotonic() + IN_FORCE_S
        while True:
            missing = []
            for host in self.cluster.hosts:
                held = (await self.cluster.status(host)).get('documents', {})
                missing += [
                    f'{host} lacks {name} {version}'
                    for name, version in self._accepted.items()
                    if held.get(name, {}).get('version', 0) < version
                ]
            if not missing:
                return
            if time.monotonic() > end_s:
                self.verdict.add(10, '; '.join(missing))
                return
            await asyncio.sleep(cluster_lib.POLL_S)

    def _check_refusals(self) -> None:
        totals = self.verdict.totals
        log = self.cluster.targets.log
        ran = {run.call for run in log.runs[self._first_run :]}
        for sent in self._sent:
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
                    self.verdict.add(6, f'{sent.call}: `ran` is false')
            else:
                totals.unknown += 1
            if self.stopped and self.benign:
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
            same = old['status']['incarnation'] == new['status']['incarnation']
            if not same:
                continue
            spent = new['dispatch']['retries'] - old['dispatch']['retries']
            made = new['dispatch']['attempts'] - old['dispatch']['attempts']
            # The calls of the 10 s before count for the budget too.
            window_s = elapsed_s + _RETRY_WINDOW_S
            services = len(self.cluster.services)
            allowed = 0.1 * (made + _LOAD_PER_S * _RETRY_WINDOW_S)
            allowed += window_s * services
            if spent > allowed:
                self.verdict.add(1, f'{host}: {spent} retries, {allowed:.0f}')
            sent = new['control']['sent_bytes'] - old['control']['sent_bytes']
            if sent > CONTROL_BYTES_PER_S * elapsed_s:
                self.verdict.add(
                    1, f'{host}: {sent / elapsed_s:.0f} control bytes/s'
                )


class Step(msgspec.Struct, frozen=True):
    """A step of a call or an operation.

    Attributes:
        name: Name of the step.
        begin: Leads the cell to the step.
    """

    name: str
    begin: abc.Callable[[Cell], abc.Awaitable[None]]


class Fault:
    """A fault that a cell brings about.

    Attributes:
        hold_s: Seconds until the fault ends.
        benign: Whether calls must all be answered in spite of it.
    """

    hold_s = 1.5
    benign = False

    async def begin(self, cell: Cell) -> None:
        """Brings the fault about."""

    async def end(self, cell: Cell) -> None:
        """Ends the fault."""


async def _joining(cluster: cluster_lib.Cluster, host: str) -> bool:
    """Tells whether a host still refuses calls because it has no slots."""
    path = f'/explain?service={cluster_lib.SERVICE}&method=GET&path=/&tenant='
    return (await cluster.operator(host, path))['reason'] == 'joining'


async def warm_up(cluster: cluster_lib.Cluster, seconds: float) -> None:
    """Lets the hosts take their targets for warm."""
    cell = Cell(cluster, 1, f'warm-{time.monotonic_ns()}')
    load = asyncio.create_task(cell._run_load())
    await asyncio.sleep(seconds)
    while any([await _joining(cluster, host) for host in cluster.hosts]):
        await asyncio.sleep(cluster_lib.POLL_S)
    cell._loading = False
    await load
    await cell._client.close()


def _open(port: int) -> bool:
    with socket.socket() as sock:
        sock.settimeout(0.2)
        return sock.connect_ex(('127.0.0.1', port)) == 0
