"""A soak run: hosts, stand-ins, callers and checks."""

import asyncio
import collections
from collections import abc
import random
import signal

from benchmarks.soak import configurations
from benchmarks.soak import disruptions
from benchmarks.soak import hosts as hosts_
from benchmarks.soak import kept
from benchmarks.soak import rollouts
from benchmarks.soak import statements
from standins import fault_proxy
from standins import platform_store
from standins import platform_targets

TARGETS_PER_DOMAIN = 3
WORK_TARGETS_PER_DOMAIN = 2
MAX_WORK_TARGETS = 14
WORK_SLOTS = 24
CALLERS = 6
START_TIMEOUT_S = 15.0
RECOVERY_S = 8.0
TIMER_INTERVAL_S = 0.05
MIN_SERVED_AT_END = 0.9
# Limits that the platform documents, plus the time for which a host may act
# on state that it has read before.
EVACUATION_LIMIT_S = 5.0
DRAIN_LIMIT_S = 2.0
# Paths of the routes of callers, without slashes.
READ = 'r'
WRITE = 'w'
_WORK_SERVICE = 'work'
_CONNECT_TIMEOUT_S = 1.0
_READ_TIMEOUT_S = 3.0
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

Fault = abc.Callable[['Soak'], abc.Awaitable[str]]


class Soak:
    """One soak run.

    Args:
        seed: Seed of the choice and timing of faults.
        folder: Directory for the settings and logs of the hosts.
        faults: Faults that the run chooses from.
        hosts_per_domain: Number of hosts in each failure domain.

    Attributes:
        violations: Violations found so far.
        not_run_claims: Refusals with a "not run" status, by request id.
        evacuated_at_s: Loop time of the evacuation, by failure domain.
        removed_at_s: Loop time of the removal, by target.
        fault_times_s: Loop times of the unplanned faults of all parts: start
            and end of those that last.
        store_disruptions: Times in which the store was disturbed for all hosts.
        target_disruptions: Times of the faults of targets, by their name.
        work_targets: Targets of the requests that take long.
        rollouts: Rollouts and their checks.
        kept_checker: Callers that keep their connections, and their checks.
        timeouts_s: Timeouts of routes that configurations choose from, in
            seconds.
        late_s: Greatest delay of this process's own timer, in seconds.
        fault_log: Log of the injected faults.
    """

    def __init__(
        self,
        seed: int,
        folder: str,
        faults: list[Fault],
        hosts_per_domain: int = 2,
    ) -> None:
        self._seed = seed
        self._faults = faults
        self.rng = random.Random(seed)
        self.store = platform_store.ObjectServer()
        self.loop = asyncio.get_running_loop()
        self.hosts = [
            hosts_.Host(f'{domain}-{number}', index, domain, folder)
            for index, (domain, number) in enumerate(
                (domain, number)
                for domain in hosts_.DOMAINS
                for number in range(hosts_per_domain)
            )
        ]
        self.targets: list[platform_targets.TargetServer] = []
        self.violations: list[str] = []
        self.not_run_claims: dict[str, str] = {}
        self.statuses: collections.Counter[int] = collections.Counter()
        self.evacuated_at_s: dict[str, float] = {}
        self.removed_at_s: dict[str, float] = {}
        self.fault_times_s: list[float] = []
        self.timeouts_s: tuple[float, ...] = (0.8, 1.0, 1.2)
        self.late_s = 0.0
        self.fault_log: list[str] = []
        self.statement_checker = statements.StatementChecker(
            seed, self.hosts, self.targets
        )
        self.store_disruptions = disruptions.Disruptions()
        self.cfg_checker = configurations.ConfigurationChecker(
            seed, self.hosts, self.store_disruptions
        )
        self.target_disruptions: dict[str, disruptions.Disruptions] = (
            collections.defaultdict(disruptions.Disruptions)
        )
        self.work_targets: list[platform_targets.TargetServer] = []
        self.kept_checker = kept.Checker(self.hosts, self.target_disruptions)
        self.rollouts = rollouts.RolloutChecker(seed, self.hosts, self.store)
        self._ids = 0
        self._version = 1
        self._calling = True

    async def run(self, seconds: float) -> list[str]:
        """Injects faults for `seconds` and returns the violations found."""
        try:
            await self.start()
            await self._play(seconds)
        finally:
            await self.stop()
        self._check_runs()
        self.violations += self.statement_checker.check()
        self.violations += self.cfg_checker.check()
        self.violations += self.kept_checker.check(self.all_targets())
        self.violations += self.rollouts.check()
        return self.violations

    async def _play(self, seconds: float) -> None:
        """Injects faults while callers send requests."""
        callers = [
            asyncio.create_task(self._caller(f'{self._seed}/{number}'))
            for number in range(CALLERS)
        ]
        timer = asyncio.create_task(self._measure_delay())
        checks = [
            asyncio.create_task(self.statement_checker.run()),
            asyncio.create_task(self.cfg_checker.change(self.configure)),
            asyncio.create_task(self.cfg_checker.send(self.call)),
            asyncio.create_task(self.rollouts.run(self.call)),
        ]
        self.kept_checker.add_clients()
        kept_callers = [
            asyncio.create_task(client.caller.run())
            for client in self.kept_checker.clients
        ]
        try:
            end_s = self.loop.time() + seconds
            faults: set[asyncio.Task[None]] = set()
            while self.loop.time() < end_s and not self.violations:
                task = asyncio.create_task(self._inject_fault())
                faults.add(task)
                task.add_done_callback(faults.discard)
                await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            await asyncio.gather(*faults)
            await _cancel(checks)
            # Their last requests end while the hosts recover.
            self.kept_checker.stop()
            await self._recover()
        finally:
            self._calling = False
            self.kept_checker.stop()
            await _cancel(checks)
            await asyncio.gather(*callers, *kept_callers)
            timer.cancel()

    async def start(self) -> None:
        """Starts the store, the targets and the hosts."""
        await self.store.start()
        for domain in hosts_.DOMAINS:
            for number in range(TARGETS_PER_DOMAIN):
                await self.add_target(f't-{domain}-{number}', domain)
            for number in range(WORK_TARGETS_PER_DOMAIN):
                await self._add_work_target(f'w-{domain}-{number}', domain)
        await self.rollouts.start()
        await self.configure(self.rng)
        for host in self.hosts:
            host.proxy = fault_proxy.FaultProxy('127.0.0.1', self.store.port)
            await host.proxy.start()
            await host.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for host in self.hosts:
                while await self.call(host, READ) != 200:
                    await asyncio.sleep(0.1)

    async def add_target(
        self, name: str, domain: str
    ) -> platform_targets.TargetServer:
        """Starts a target and registers it in the store."""
        target = platform_targets.TargetServer(
            name, 'svc', domain, slots=4, work_s=self.rng.uniform(0.005, 0.05)
        )
        await target.start()
        self.targets.append(target)
        await self.store.put('servers', name, target.entry)
        return target

    async def _add_work_target(self, name: str, domain: str) -> None:
        target = platform_targets.TargetServer(
            name, _WORK_SERVICE, domain, slots=WORK_SLOTS
        )
        target.work_by_route = {
            route.name: platform_targets.Work(route.work_s, route.answer_bytes)
            for route in kept.WORK_ROUTES
        }
        await target.start()
        self.work_targets.append(target)
        await self.store.put('servers', name, target.entry)

    async def replace_work_target(
        self,
    ) -> platform_targets.TargetServer | None:
        """Adds a target of long requests; returns the one that is to go."""
        number = len(self.work_targets)
        if number >= MAX_WORK_TARGETS:
            return None
        oldest = len(hosts_.DOMAINS) * WORK_TARGETS_PER_DOMAIN
        target = self.work_targets[number - oldest]
        domain = target.failure_domain
        await self._add_work_target(f'w-{domain}-{number}', domain)
        return target

    def all_targets(self) -> list[platform_targets.TargetServer]:
        """Returns the targets of all services."""
        return [*self.targets, *self.work_targets]

    def others_reachable(self, host: hosts_.Host) -> bool:
        """Returns whether callers of a host have another one to go to."""
        return any(
            other.is_reachable() for other in self.hosts if other is not host
        )

    def check_end(self, host: hosts_.Host) -> None:
        """Checks that a host has ended its planned stop by itself."""
        code = host.process.returncode
        if code == -signal.SIGKILL and host.has_finished_stop():
            self.kept_checker.counts['killed as they exit'] += 1
            return
        signalled_s = host.signalled_s[-1]
        if code and not host.unplanned.overlap(
            signalled_s - hosts_.CONTACT_S, self.loop.time()
        ):
            self.violations.append(
                f'{host.name}: ended with {code} '
                f'{self.loop.time() - signalled_s:.2f} s after SIGTERM'
            )

    async def configure(self, rng: random.Random) -> None:
        """Writes a new version of the configuration.

        Args:
            rng: Source of its number and timeouts.
        """
        self._version += rng.randint(1, 3)
        prefixes = self.cfg_checker.prefixes(self._version)
        routes = [
            configurations.route_spec(
                name, name != WRITE, rng.choice(self.timeouts_s)
            )
            for name in (READ, WRITE, *prefixes)
        ]
        routes += [
            configurations.route_spec(
                kept.SHORT.name, True, kept.SHORT.timeout_s
            ),
            rollouts.route_spec(),
        ]
        routes += [
            configurations.route_spec(
                route.name,
                route.idempotent,
                route.timeout_s,
                _WORK_SERVICE,
                target_latency_s=route.timeout_s,
            )
            for route in kept.WORK_ROUTES
        ]
        spec = configurations.configuration_spec(
            self._version, routes, ('svc', _WORK_SERVICE, rollouts.SERVICE)
        )
        await self.store.put('config', 'main', spec)
        self.cfg_checker.note_accepted(prefixes)

    async def _measure_delay(self) -> None:
        """Measures how late this process runs its tasks.

        A late process also reads answers late, and its targets answer late.
        """
        while True:
            started_s = self.loop.time()
            await asyncio.sleep(TIMER_INTERVAL_S)
            delay_s = self.loop.time() - started_s - TIMER_INTERVAL_S
            self.late_s = max(self.late_s, delay_s)

    # Callers.

    async def _caller(self, seed: str) -> None:
        rng = random.Random(seed)
        while self._calling:
            host = rng.choice(self.hosts)
            await self.call(host, WRITE if rng.random() < 0.5 else READ)
            await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def call(self, host: hosts_.Host, prefix: str) -> int:
        """Sends a request and checks the response.

        Args:
            host: The host.
            prefix: Path of a route without slashes.

        Returns:
            The status code, or 0 if there was no complete response.
        """
        self._ids += 1
        request_id = f'q{self._ids}'
        path = f'/{prefix}/{request_id}'
        started_s = self.loop.time()
        self.statement_checker.sent[request_id] = statements.SentRequest(
            host.name, started_s
        )
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    host.ip, host.port
                )
        except (OSError, TimeoutError):
            return 0
        body = request_id.encode()
        writer.write(
            f'POST {path} HTTP/1.1\r\nHost: soak.example\r\n'
            f'X-Request-Id: {request_id}\r\nX-Request-Deadline-Ms: 1500\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                status = await self._read_response(reader, host, request_id)
        except (OSError, EOFError, TimeoutError) as exc:
            self._check_cut_off(host, request_id, started_s, exc)
            return 0
        finally:
            writer.close()
        self.statuses[status] += 1
        if status in _NOT_RUN_STATUSES:
            self.not_run_claims[request_id] = f'{status} by {host.name}'
        return status

    async def _read_response(
        self, reader: asyncio.StreamReader, host: hosts_.Host, request_id: str
    ) -> int:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').lower()
        self.statement_checker.note_answer(host.name, head)
        status = int(head.split(' ')[1])
        length = int(head.partition('content-length: ')[2].split('\r')[0])
        body = await reader.readexactly(length)
        if status == 200 and (
            not body.endswith(b' ' + request_id.encode())
            or f'x-request-id: {request_id}' not in head
            or 'x-server-stamp' not in head
        ):
            self.violations.append(f'{request_id}: got {body!r}')
        return status

    def _check_cut_off(
        self,
        host: hosts_.Host,
        request_id: str,
        started_s: float,
        exc: Exception,
    ) -> None:
        """Records a violation if no unplanned fault explains the failure."""
        ended_s = self.loop.time()
        self.kept_checker.note_cut_off(host, request_id, started_s, ended_s)
        if not self.had_fault(started_s - hosts_.CONTACT_S, ended_s):
            self.violations.append(
                f'{request_id}: cut off by {host.name} without a fault: '
                f'{type(exc).__name__}'
            )

    # Faults.

    async def _inject_fault(self) -> None:
        chosen = self.rng.choice(self._faults)
        self.fault_log.append(f'{self.loop.time():.2f} {chosen.__name__}')
        self.fault_log.append(
            f'{self.loop.time():.2f} {chosen.__name__}: {await chosen(self)}'
        )

    def note_fault(self) -> None:
        """Records the time of an unplanned fault of any part."""
        self.fault_times_s.append(self.loop.time())

    def had_fault(self, since_s: float, until_s: float) -> bool:
        """Tells whether there was an unplanned fault in an interval.

        Args:
            since_s: Loop time of its start in seconds.
            until_s: Loop time of its end in seconds.
        """
        return any(since_s <= at_s <= until_s for at_s in self.fault_times_s)

    async def _recover(self) -> None:
        for host in self.hosts:
            host.proxy.heal()
            host.proxy.reset()
            host.signal(signal.SIGCONT)
            self.note_fault()
            code = host.process.returncode
            if code is not None:
                self.violations.append(f'{host.name}: ended with {code}')
        self.store.mode = 'up'
        self.store.suppress_events = False
        for target in self.targets:
            target.fault = ''
            target.healthy = True
            target.cold_s = 0.0
        for domain in list(self.evacuated_at_s):
            await self.store.delete('evacuations', domain)
            del self.evacuated_at_s[domain]
        await asyncio.sleep(RECOVERY_S)
        answers = [
            await self.call(host, READ) for host in self.hosts for _ in '12345'
        ]
        served = answers.count(200) / len(answers)
        if served < MIN_SERVED_AT_END:
            self.violations.append(
                f'{served:.2f} of calls served after recovery'
            )

    async def stop(self) -> None:
        """Ends the hosts and stops the targets and the store."""
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()
            if host.proxy is not None:
                host.proxy.stop()
        for target in self.all_targets():
            await target.stop()
        await self.rollouts.stop()
        await self.store.stop()

    def _check_runs(self) -> None:
        runs: collections.Counter[str] = collections.Counter()
        for target in self.targets:
            runs.update(
                run.request_id for run in target.runs if run.path[:3] == '/w/'
            )
        for target in self.all_targets():
            self.check_times(target)
        for request_id, count in runs.items():
            if count > 1:
                self.violations.append(f'{request_id}: ran {count} times')
            if request_id in self.not_run_claims:
                claim = self.not_run_claims[request_id]
                self.violations.append(
                    f'{request_id}: ran although refused with {claim}'
                )

    def check_times(self, target: platform_targets.TargetServer) -> None:
        """Checks that a removed target received nothing after its limit.

        A request counts only if there was no unplanned fault from shortly
        before the removal until it arrived, because a host cut off from the
        store cannot learn of the removal.
        """
        removed_s = self.removed_at_s.get(target.name)
        if removed_s is None:
            return
        for arrived_s, path in target.arrivals:
            if arrived_s > removed_s + DRAIN_LIMIT_S and not self.had_fault(
                removed_s - hosts_.CONTACT_S, arrived_s
            ):
                self.violations.append(
                    f'{path}: reached {target.name} '
                    f'{arrived_s - removed_s:.2f} s after its removal'
                )


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def run_seed(
    seed: int,
    seconds: float,
    folder: str,
    faults: list[Fault],
    hosts_per_domain: int = 2,
) -> Soak:
    """Runs one seed, leaving settings and logs in `folder`."""
    soak = Soak(seed, folder, faults, hosts_per_domain)
    await soak.run(seconds)
    return soak
