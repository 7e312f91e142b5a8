"""Randomized soak test of gateway host processes with injected faults.

Each host is the real program, listening on a loopback address. The store and
the targets are stand-ins in this process, and each host reaches the store
through a fault-injecting proxy. Random faults start one after another and may
overlap. The run checks that

- a non-idempotent request runs at most once,
- a request refused with a status that means "not run" has not run,
- a successful response is complete and belongs to the caller's own request,
- a removed target or an evacuated failure domain receives no request after
  its time limit from hosts that could reach the store throughout,
- a planned stop on its own does not break off any request,
- hosts do what targets say in their answers (see `soak_statements`),
- requests are served again after all faults have ended.

`python -m benchmarks.soak --seed 1 --seconds 20` runs one seed; `--seeds N`
runs N consecutive seeds. The seed of a failing run is printed.
"""

import asyncio
import collections
from collections import abc
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile

import click

from benchmarks import soak_statements
from standins import fault_proxy
from standins import platform_store
from standins import platform_targets

DOMAINS = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b'}
HOSTS_PER_DOMAIN = 2
TARGETS_PER_DOMAIN = 3
CALLERS = 6
START_TIMEOUT_S = 15.0
RECOVERY_S = 8.0
TIMER_INTERVAL_S = 0.05
MIN_SERVED_AT_END = 0.9
# Limits that the platform documents, plus the time for which a host may act
# on state that it has read before.
EVACUATION_LIMIT_S = 5.0
DRAIN_LIMIT_S = 2.0
CONTACT_S = 3.0
GRACE_S = 6.0
_READ_TIMEOUT_S = 3.0
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_TARGET_FAULTS = (
    'shed', 'error', 'hang', 'truncate', 'garbage', 'extra', 'late',
    'unframed', 'lose',
)  # fmt: skip

# Addresses of hosts that may not be listening yet.
_assigned: set[tuple[str, int]] = set()

Fault = abc.Callable[['Soak'], abc.Awaitable[str]]
FAULTS: list[Fault] = []


def fault(function: Fault) -> Fault:
    """Adds a function to the faults that a run chooses from."""
    FAULTS.append(function)
    return function


class Host:
    """One host process.

    Attributes:
        name: Name of the host.
        faults_s: Loop times of its stops, starts, pauses and cuts.
    """

    def __init__(self, name: str, index: int, domain: str, folder: str) -> None:
        self.name = name
        self.domain = domain
        # Concurrent soak processes use different addresses.
        self.ip = f'127.3.{os.getpid() % 250}.{index + 1}'
        self.port = _free_port(self.ip)
        self.peer_port = _free_port(self.ip)
        self.folder = pathlib.Path(folder)
        self.process: asyncio.subprocess.Process | None = None
        self.proxy: fault_proxy.FaultProxy | None = None
        self.stopping = False
        self.faults_s: list[float] = []

    def note_fault(self) -> None:
        """Records the time of a stop, start, pause or cut."""
        self.faults_s.append(asyncio.get_running_loop().time())

    async def start(self) -> None:
        """Starts the process with its log written to a file."""
        path = self.folder / f'{self.name}.conf'
        domains = ''.join(
            f'zones.{domain}={region}\n' for domain, region in DOMAINS.items()
        )
        path.write_text(
            f'node={self.name}\nip={self.ip}\nzone={self.domain}\n{domains}'
            f'listen.front={self.ip}:{self.port}\n'
            f'listen.readiness={self.ip}:{_free_port(self.ip)}\n'
            f'listen.directory={self.ip}:{_free_port(self.ip)}\n'
            f'port_range={self.peer_port},{self.peer_port}\n'
            f'bounds=grace_s={GRACE_S},contact_s={CONTACT_S},retry_slack=50\n'
            f'provider.address=127.0.0.1:{self.proxy.port}\n'
        )
        log = self._open_log()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'ragwortchute.platform',
            env={**os.environ, 'RAGWORTCHUTE_NODE_FILE': str(path)},
            stdout=log,
            stderr=log,
        )
        os.close(log)
        self.stopping = False

    def _open_log(self) -> int:
        path = self.folder / f'{self.name}.log'
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def signal(self, signum: int) -> None:
        """Sends a signal to the host process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    async def wait_ended(self) -> None:
        """Waits for the process to exit; kills it after `GRACE_S` seconds."""
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Soak:
    """One soak run.

    Args:
        seed: Seed of the choice and timing of faults.
        folder: Directory for the settings and logs of the hosts.

    Attributes:
        violations: Violations found so far.
        not_run_claims: Refusals with a "not run" status, by request id.
        evacuated_at_s: Loop time of the evacuation, by failure domain.
        removed_at_s: Loop time of the removal, by target.
        fault_times_s: Loop times of the unplanned faults of all parts: start
            and end of those that last.
        late_s: Greatest delay of this process's own timer, in seconds.
        fault_log: Log of the injected faults.
    """

    def __init__(self, seed: int, folder: str) -> None:
        self._seed = seed
        self.rng = random.Random(seed)
        self.store = platform_store.ObjectServer()
        self.loop = asyncio.get_running_loop()
        self.hosts = [
            Host(f'{domain}-{number}', index, domain, folder)
            for index, (domain, number) in enumerate(
                (domain, number)
                for domain in DOMAINS
                for number in range(HOSTS_PER_DOMAIN)
            )
        ]
        self.targets: list[platform_targets.TargetServer] = []
        self.violations: list[str] = []
        self.not_run_claims: dict[str, str] = {}
        self.statuses: collections.Counter[int] = collections.Counter()
        self.evacuated_at_s: dict[str, float] = {}
        self.removed_at_s: dict[str, float] = {}
        self.fault_times_s: list[float] = []
        self.late_s = 0.0
        self.fault_log: list[str] = []
        self.judge = soak_statements.Judge(seed, self.hosts, self.targets)
        self._ids = 0
        self._version = 1
        self._calling = True

    async def run(self, seconds: float) -> list[str]:
        """Injects faults for `seconds` and returns the violations found."""
        try:
            await self._start()
            await self._play(seconds)
        finally:
            await self._stop()
        self._check_runs()
        self.violations += self.judge.check()
        return self.violations

    async def _play(self, seconds: float) -> None:
        """Injects faults while callers send requests."""
        callers = [
            asyncio.create_task(self._caller(f'{self._seed}/{number}'))
            for number in range(CALLERS)
        ]
        timer = asyncio.create_task(self._measure_delay())
        statements = asyncio.create_task(self.judge.run())
        try:
            end_s = self.loop.time() + seconds
            faults: set[asyncio.Task[None]] = set()
            while self.loop.time() < end_s and not self.violations:
                task = asyncio.create_task(self._inject_fault())
                faults.add(task)
                task.add_done_callback(faults.discard)
                await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            await asyncio.gather(*faults)
            statements.cancel()
            await self._recover()
        finally:
            self._calling = False
            statements.cancel()
            await asyncio.gather(*callers)
            timer.cancel()

    async def _start(self) -> None:
        await self.store.start()
        for domain in DOMAINS:
            for number in range(TARGETS_PER_DOMAIN):
                await self.add_target(f't-{domain}-{number}', domain)
        await self.configure()
        for host in self.hosts:
            host.proxy = fault_proxy.FaultProxy('127.0.0.1', self.store.port)
            await host.proxy.start()
            await host.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for host in self.hosts:
                while await self.call(host, False) != 200:
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

    async def configure(self) -> None:
        """Writes a new version of the configuration."""
        self._version += self.rng.randint(1, 3)
        routes = []
        for name, kind in (('r', 'idempotent'), ('w', 'non_idempotent')):
            routes.append(
                {
                    'name': name,
                    'hostname': 'soak.example',
                    'path_prefix': f'/{name}/',
                    'route_type': kind,
                    'timeout_s': self.rng.choice((0.8, 1.0, 1.2)),
                    'target_latency_s': 0.2,
                    'priority': 1,
                    'service': 'svc',
                    'attempts': 2,
                    'allowed_regions': [],
                }
            )
        service = {
            'name': 'svc', 'health_path': '/health', 'max_conns': 200,
            'warmup_s': 2.0, 'warmup_per_s': 10.0,
        }  # fmt: skip
        spec = {
            'config_version': self._version,
            'routes': routes,
            'services': [service],
            'limits': {'idle_timeout_s': 10},
        }
        await self.store.put('config', 'main', spec)

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
            await self.call(host, rng.random() < 0.5)
            await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def call(self, host: Host, is_write: bool) -> int:
        """Sends a request and checks the response.

        Returns:
            The status code, or 0 if there was no complete response.
        """
        self._ids += 1
        request_id = f'q{self._ids}'
        path = f'/{"w" if is_write else "r"}/{request_id}'
        started_s = self.loop.time()
        self.judge.sent[request_id] = soak_statements.SentRequest(
            host.name, started_s
        )
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host.ip, host.port), 1.0
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
            status = await asyncio.wait_for(
                self._read_response(reader, host, request_id), _READ_TIMEOUT_S
            )
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
        self, reader: asyncio.StreamReader, host: Host, request_id: str
    ) -> int:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').lower()
        self.judge.note_answer(host.name, head)
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
        self, host: Host, request_id: str, started_s: float, exc: Exception
    ) -> None:
        """Records a violation if no unplanned fault explains the failure."""
        if not self.had_fault(started_s - CONTACT_S, self.loop.time()):
            self.violations.append(
                f'{request_id}: cut off by {host.name} without a fault: '
                f'{type(exc).__name__}'
            )

    # Faults.

    async def _inject_fault(self) -> None:
        chosen = self.rng.choice(FAULTS)
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
            await self.call(host, False) for host in self.hosts for _ in '12345'
        ]
        served = answers.count(200) / len(answers)
        if served < MIN_SERVED_AT_END:
            self.violations.append(
                f'{served:.2f} of calls served after recovery'
            )

    async def _stop(self) -> None:
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()
            if host.proxy is not None:
                host.proxy.stop()
        for target in self.targets:
            await target.stop()
        await self.store.stop()

    def _check_runs(self) -> None:
        runs: collections.Counter[str] = collections.Counter()
        for target in self.targets:
            runs.update(
                run.request_id for run in target.runs if run.path[:2] == '/w'
            )
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
                removed_s - CONTACT_S, arrived_s
            ):
                self.violations.append(
                    f'{path}: reached {target.name} '
                    f'{arrived_s - removed_s:.2f} s after its removal'
                )


@fault
async def kill(soak: Soak) -> str:
    """Kills a host with SIGKILL and restarts it."""
    host = soak.rng.choice(soak.hosts)
    if host.stopping:
        return 'none'
    host.stopping = True
    soak.note_fault()
    host.note_fault()
    host.signal(signal.SIGKILL)
    await host.process.wait()
    await asyncio.sleep(soak.rng.uniform(0.1, 1.0))
    await host.start()
    soak.note_fault()
    host.note_fault()
    return host.name


@fault
async def planned_stop(soak: Soak) -> str:
    """Stops a host gracefully with SIGTERM and restarts it."""
    host = soak.rng.choice(soak.hosts)
    if host.stopping:
        return 'none'
    host.stopping = True
    host.signal(signal.SIGTERM)
    await host.wait_ended()
    await host.start()
    host.note_fault()
    return host.name


@fault
async def pause(soak: Soak) -> str:
    """Suspends a host with SIGSTOP for a while."""
    host = soak.rng.choice(soak.hosts)
    soak.note_fault()
    host.note_fault()
    host.signal(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    host.signal(signal.SIGCONT)
    soak.note_fault()
    host.note_fault()
    return host.name


@fault
async def reload(soak: Soak) -> str:
    """Makes a host reload its settings with SIGHUP."""
    host = soak.rng.choice(soak.hosts)
    host.signal(signal.SIGHUP)
    return host.name


@fault
async def store_outage(soak: Soak) -> str:
    """Makes the store fail for all hosts for a while."""
    mode = soak.rng.choice(('busy', 'reset', 'silent'))
    soak.note_fault()
    soak.store.mode = mode
    await soak.store.close_connections()
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    soak.store.mode = 'up'
    await soak.store.close_connections()
    soak.note_fault()
    return mode


@fault
async def store_path(soak: Soak) -> str:
    """Impairs the connection of one host to the store for a while."""
    host = soak.rng.choice(soak.hosts)
    impairment = soak.rng.choice(('delay', 'silent', 'one_way', 'reset'))
    soak.note_fault()
    if impairment == 'delay':
        host.proxy.delay_s = soak.rng.uniform(0.05, 0.5)
    elif impairment == 'reset':
        host.proxy.reset()
    else:
        setattr(host.proxy, impairment, True)
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    host.proxy.heal()
    soak.note_fault()
    return f'{host.name} {impairment}'


@fault
async def history(soak: Soak) -> str:
    """Delays change notifications, then drops the change history."""
    soak.note_fault()
    soak.store.suppress_events = True
    await soak.configure()
    await asyncio.sleep(1.0)
    soak.store.drop_history()
    soak.store.suppress_events = False
    await soak.store.close_connections()
    soak.note_fault()
    return 'dropped'


@fault
async def target_fault(soak: Soak) -> str:
    """Makes a target respond incorrectly for a while."""
    target = soak.rng.choice(soak.targets)
    soak.note_fault()
    target.fault = soak.rng.choice(_TARGET_FAULTS)
    name = f'{target.name} {target.fault}'
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    target.fault = ''
    soak.note_fault()
    return name


@fault
async def cold_target(soak: Soak) -> str:
    """Makes a target cold for 2 s."""
    target = soak.rng.choice(soak.targets)
    target.cold_s = 2.0
    await asyncio.sleep(2.0)
    target.cold_s = 0.0
    return target.name


@fault
async def configuration(soak: Soak) -> str:
    """Writes a new configuration."""
    await soak.configure()
    return str(soak.store.revision)


@fault
async def evacuation(soak: Soak) -> str:
    """Evacuates a failure domain and then readmits it."""
    domain = soak.rng.choice(sorted(DOMAINS))
    if soak.evacuated_at_s:
        return 'none'
    soak.evacuated_at_s[domain] = soak.loop.time()
    await soak.store.put('evacuations', domain, {})
    await asyncio.sleep(EVACUATION_LIMIT_S + 1.0)
    since_s = soak.evacuated_at_s.get(domain)
    if since_s is not None and not soak.had_fault(
        since_s - CONTACT_S, soak.loop.time()
    ):
        for target in soak.targets:
            late = [
                path
                for arrived_s, path in target.arrivals
                if target.failure_domain == domain
                and arrived_s > since_s + EVACUATION_LIMIT_S
            ]
            if late:
                soak.violations.append(
                    f'{late[0]}: reached {domain} after its evacuation'
                )
    await soak.store.delete('evacuations', domain)
    soak.evacuated_at_s.pop(domain, None)
    return domain


@fault
async def replace_target(soak: Soak) -> str:
    """Adds a target and removes another one."""
    target = soak.rng.choice(soak.targets)
    if target.name in soak.removed_at_s or len(soak.removed_at_s) > 4:
        return 'none'
    await soak.add_target(f'{target.name}x', target.failure_domain)
    await soak.store.delete('servers', target.name)
    soak.removed_at_s[target.name] = soak.loop.time()
    return target.name


def _free_port(ip: str) -> int:
    """Returns a free port that no host of this process has been given."""
    while True:
        with socket.socket() as sock:
            sock.bind((ip, 0))
            address = sock.getsockname()
        if address not in _assigned:
            _assigned.add(address)
            return address[1]


async def run_seed(seed: int, seconds: float, folder: str) -> Soak:
    """Runs one seed, leaving settings and logs in `folder`."""
    soak = Soak(seed, folder)
    await soak.run(seconds)
    return soak


@click.command()
@click.option('--seed', default=1, help='First seed.')
@click.option('--seeds', default=1, help='Number of seeds.')
@click.option(
    '--seconds', default=20.0, help='Seconds of fault injection per seed.'
)
def main(seed: int, seeds: int, seconds: float) -> None:
    """Runs seeds until one finds a violation."""
    for number in range(seed, seed + seeds):
        folder = tempfile.mkdtemp(prefix=f'soak-{number}-')
        soak = asyncio.run(run_seed(number, seconds, folder))
        counts = dict(sorted(soak.statuses.items()))
        click.echo(
            f'seed {number}: {counts}, '
            f'own process up to {soak.late_s:.2f} s late'
        )
        if soak.violations:
            click.echo('\n'.join(soak.violations[:5] + soak.fault_log[-12:]))
            click.echo(f'logs in {folder}')
            raise SystemExit(1)


if __name__ == '__main__':
    main()
