"""Randomized soak of gateway hosts as processes, with faults from outside.

Hosts are the real program on loopback addresses. The store and the targets are
stand-ins in this process; a proxy lies between each host and the store. Faults
come in series and overlap. While they do, callers and targets check that

- a request that may not repeat runs once at most,
- a refusal that says that a request has not run is true,
- a success is the whole answer to the caller's own request,
- a target that left, or a failure domain that was taken out, gets nothing
  after its bound, from hosts that have reached the store all the while,
- a planned stop alone cuts no request off,
- calls are served again once all faults are over.

`python -m benchmarks.soak --seed 1 --seconds 20` runs one seed, `--seeds N`
that many seeds from there on. The seed of a failure is printed.
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

from standins import fault_proxy
from standins import platform_store
from standins import platform_targets

DOMAINS = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b'}
HOSTS_PER_DOMAIN = 2
TARGETS_PER_DOMAIN = 3
CALLERS = 6
START_S = 15.0
RECOVERY_S = 8.0
MIN_SERVED_AT_END = 0.9
# Bounds of the platform's pages, with the age of a host's own knowledge.
EVACUATION_S = 5.0
DRAIN_S = 2.0
CONTACT_S = 3.0
GRACE_S = 6.0
_READ_S = 3.0
_PROMISES = frozenset({408, 421, 429, 503})
_TARGET_FAULTS = (
    'shed', 'error', 'hang', 'truncate', 'garbage', 'extra', 'late',
    'unframed', 'lose',
)  # fmt: skip

Fault = abc.Callable[['Soak'], abc.Awaitable[str]]
FAULTS: list[Fault] = []


def fault(function: Fault) -> Fault:
    """Registers a fault."""
    FAULTS.append(function)
    return function


class Host:
    """One host process.

    Attributes:
        name: Name of the host.
        harmed_s: Loop time of the last fault that touched it.
    """

    def __init__(
        self, name: str, number: int, domain: str, folder: str
    ) -> None:
        self.name = name
        self.domain = domain
        # Runs at the same time have different addresses.
        self.ip = f'127.3.{os.getpid() % 250}.{number + 1}'
        self.port = _free_port(self.ip)
        self.peer_port = _free_port(self.ip)
        self.folder = pathlib.Path(folder)
        self.process: asyncio.subprocess.Process | None = None
        self.proxy: fault_proxy.FaultProxy | None = None
        self.harmed_s = float('-inf')
        self.stopping = False

    async def start(self) -> None:
        """Starts the process; its log goes to a file."""
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

    def signal(self, number: int) -> None:
        """Sends a signal to the process that this soak started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def ended(self) -> None:
        """Waits until the process has ended, and kills it after its grace."""
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Soak:
    """One run.

    Args:
        seed: Seed of faults and calls.
        folder: Where settings and logs go.
    """

    def __init__(self, seed: int, folder: str) -> None:
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
        self.broken: list[str] = []
        self.promised: dict[str, str] = {}
        self.statuses: collections.Counter[int] = collections.Counter()
        self.out: dict[str, float] = {}
        self.left: dict[str, float] = {}
        self.unplanned_s = float('-inf')
        self.steps: list[str] = []
        self._ids = 0
        self._version = 1
        self._calling = True

    async def run(self, seconds: float) -> list[str]:
        """Runs faults for some seconds; returns the broken promises."""
        await self._start()
        callers = [
            asyncio.create_task(self._caller(number))
            for number in range(CALLERS)
        ]
        try:
            end_s = self.loop.time() + seconds
            faults: set[asyncio.Task[None]] = set()
            while self.loop.time() < end_s and not self.broken:
                task = asyncio.create_task(self._fault())
                faults.add(task)
                task.add_done_callback(faults.discard)
                await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            await asyncio.gather(*faults)
            await self._recover()
        finally:
            self._calling = False
            await asyncio.gather(*callers)
            await self._stop()
        self._check_runs()
        return self.broken

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
        async with asyncio.timeout(START_S):
            for host in self.hosts:
                while await self.call(host, False) != 200:
                    await asyncio.sleep(0.1)

    async def add_target(
        self, name: str, domain: str
    ) -> platform_targets.TargetServer:
        """Starts a target that registers itself."""
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

    # Callers.

    async def _caller(self, number: int) -> None:
        rng = random.Random(number)
        while self._calling:
            host = rng.choice(self.hosts)
            await self.call(host, rng.random() < 0.5)
            await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def call(self, host: Host, writes: bool) -> int:
        """Sends a request and checks its answer; returns 0 without one."""
        self._ids += 1
        request_id = f'q{self._ids}'
        path = f'/{"w" if writes else "r"}/{request_id}'
        started_s = self.loop.time()
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
                self._answer(reader, request_id), _READ_S
            )
        except (OSError, EOFError, TimeoutError) as exc:
            self._cut_off(host, request_id, started_s, exc)
            return 0
        finally:
            writer.close()
        self.statuses[status] += 1
        if status in _PROMISES:
            self.promised[request_id] = f'{status} by {host.name}'
        return status

    async def _answer(
        self, reader: asyncio.StreamReader, request_id: str
    ) -> int:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').lower()
        status = int(head.split(' ')[1])
        length = int(head.partition('content-length: ')[2].split('\r')[0])
        body = await reader.readexactly(length)
        if status == 200 and (
            not body.endswith(b' ' + request_id.encode())
            or f'x-request-id: {request_id}' not in head
            or 'x-server-stamp' not in head
        ):
            self.broken.append(f'{request_id}: got {body!r}')
        return status

    def _cut_off(
        self, host: Host, request_id: str, started_s: float, exc: Exception
    ) -> None:
        """Checks that only an unplanned fault cuts a request off."""
        calm = started_s - CONTACT_S
        if host.harmed_s < calm and self.unplanned_s < calm:
            self.broken.append(
                f'{request_id}: cut off by {host.name} without a fault: '
                f'{type(exc).__name__}'
            )

    # Faults.

    async def _fault(self) -> None:
        chosen = self.rng.choice(FAULTS)
        self.steps.append(f'{self.loop.time():.2f} {chosen.__name__}')
        self.steps.append(
            f'{self.loop.time():.2f} {chosen.__name__}: {await chosen(self)}'
        )

    def harm(self, host: Host) -> None:
        """Notes a fault of a host that is not planned work."""
        host.harmed_s = self.unplanned_s = self.loop.time()

    async def _recover(self) -> None:
        for host in self.hosts:
            host.proxy.heal()
            host.proxy.reset()
            host.signal(signal.SIGCONT)
            self.harm(host)
        self.store.mode = 'up'
        self.store.deaf = False
        for target in self.targets:
            target.fault = ''
            target.healthy = True
            target.cold_s = 0.0
        for domain in list(self.out):
            await self.store.delete('evacuations', domain)
            del self.out[domain]
        await asyncio.sleep(RECOVERY_S)
        answers = [
            await self.call(host, False) for host in self.hosts for _ in '12345'
        ]
        served = answers.count(200) / len(answers)
        if served < MIN_SERVED_AT_END:
            self.broken.append(f'{served:.2f} of the calls served at the end')

    async def _stop(self) -> None:
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            await host.process.wait()
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
            self._check_times(target)
        for request_id, count in runs.items():
            if count > 1:
                self.broken.append(f'{request_id}: ran {count} times')
            if request_id in self.promised:
                promise = self.promised[request_id]
                self.broken.append(f'{request_id}: ran despite {promise}')

    def _check_times(self, target: platform_targets.TargetServer) -> None:
        """Checks that a target that left got nothing after its bound.

        Only runs without any unplanned fault after the departure count: a
        host that is cut off can't know of it.
        """
        left_s = self.left.get(target.name)
        if left_s is None:
            return
        for arrived_s, path in target.arrivals:
            if arrived_s > left_s + DRAIN_S and self.unplanned_s < left_s - (
                CONTACT_S
            ):
                self.broken.append(
                    f'{path}: reached {target.name} '
                    f'{arrived_s - left_s:.2f} s after it left'
                )


@fault
async def kill(soak: Soak) -> str:
    """A host is killed and starts again."""
    host = soak.rng.choice(soak.hosts)
    if host.stopping:
        return 'none'
    host.stopping = True
    soak.harm(host)
    host.signal(signal.SIGKILL)
    await host.process.wait()
    await asyncio.sleep(soak.rng.uniform(0.1, 1.0))
    await host.start()
    soak.harm(host)
    return host.name


@fault
async def planned_stop(soak: Soak) -> str:
    """A host is stopped as planned and starts again."""
    host = soak.rng.choice(soak.hosts)
    if host.stopping:
        return 'none'
    host.stopping = True
    host.signal(signal.SIGTERM)
    await host.ended()
    await host.start()
    return host.name


@fault
async def pause(soak: Soak) -> str:
    """A host stands still."""
    host = soak.rng.choice(soak.hosts)
    soak.harm(host)
    host.signal(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    host.signal(signal.SIGCONT)
    soak.harm(host)
    return host.name


@fault
async def reload(soak: Soak) -> str:
    """A host is told that its settings changed."""
    host = soak.rng.choice(soak.hosts)
    host.signal(signal.SIGHUP)
    return host.name


@fault
async def store_outage(soak: Soak) -> str:
    """The store misbehaves for all hosts."""
    mode = soak.rng.choice(('busy', 'reset', 'silent'))
    soak.unplanned_s = soak.loop.time()
    soak.store.mode = mode
    await soak.store.cut()
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    soak.store.mode = 'up'
    await soak.store.cut()
    soak.unplanned_s = soak.loop.time()
    return mode


@fault
async def store_path(soak: Soak) -> str:
    """The path of one host to the store is harmed."""
    host = soak.rng.choice(soak.hosts)
    how = soak.rng.choice(('delay', 'silent', 'one_way', 'reset'))
    soak.harm(host)
    if how == 'delay':
        host.proxy.delay_s = soak.rng.uniform(0.05, 0.5)
    elif how == 'reset':
        host.proxy.reset()
    else:
        setattr(host.proxy, how, True)
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    host.proxy.heal()
    soak.harm(host)
    return f'{host.name} {how}'


@fault
async def history(soak: Soak) -> str:
    """The store hears changes late and drops its history."""
    soak.unplanned_s = soak.loop.time()
    soak.store.deaf = True
    await soak.configure()
    await asyncio.sleep(1.0)
    soak.store.forget()
    soak.store.deaf = False
    await soak.store.cut()
    soak.unplanned_s = soak.loop.time()
    return 'dropped'


@fault
async def target_fault(soak: Soak) -> str:
    """A target answers wrongly."""
    target = soak.rng.choice(soak.targets)
    soak.unplanned_s = soak.loop.time()
    target.fault = soak.rng.choice(_TARGET_FAULTS)
    name = f'{target.name} {target.fault}'
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    target.fault = ''
    soak.unplanned_s = soak.loop.time()
    return name


@fault
async def cold_target(soak: Soak) -> str:
    """A target turns cold."""
    target = soak.rng.choice(soak.targets)
    target.cold_s = 2.0
    await asyncio.sleep(2.0)
    target.cold_s = 0.0
    return target.name


@fault
async def configuration(soak: Soak) -> str:
    """The configuration changes."""
    await soak.configure()
    return str(soak.store.revision)


@fault
async def evacuation(soak: Soak) -> str:
    """A failure domain is taken out and comes back."""
    domain = soak.rng.choice(sorted(DOMAINS))
    if soak.out:
        return 'none'
    soak.out[domain] = soak.loop.time()
    await soak.store.put('evacuations', domain, {})
    await asyncio.sleep(EVACUATION_S + 1.0)
    since_s = soak.out.get(domain)
    if since_s is not None and soak.unplanned_s < since_s - CONTACT_S:
        for target in soak.targets:
            late = [
                path
                for arrived_s, path in target.arrivals
                if target.failure_domain == domain
                and arrived_s > since_s + EVACUATION_S
            ]
            if late:
                soak.broken.append(f'{late[0]}: reached {domain}, taken out')
    await soak.store.delete('evacuations', domain)
    soak.out.pop(domain, None)
    return domain


@fault
async def replace_target(soak: Soak) -> str:
    """A target leaves and another one joins."""
    target = soak.rng.choice(soak.targets)
    if target.name in soak.left or len(soak.left) > 4:
        return 'none'
    await soak.add_target(f'{target.name}x', target.failure_domain)
    await soak.store.delete('servers', target.name)
    soak.left[target.name] = soak.loop.time()
    return target.name


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


async def run_seed(seed: int, seconds: float, folder: str) -> Soak:
    """Runs one seed; its settings and logs stay in the folder."""
    soak = Soak(seed, folder)
    await soak.run(seconds)
    return soak


@click.command()
@click.option('--seed', default=1, help='First seed.')
@click.option('--seeds', default=1, help='Number of seeds.')
@click.option('--seconds', default=20.0, help='Time of faults for each.')
def main(seed: int, seeds: int, seconds: float) -> None:
    """Runs seeds until one breaks a promise."""
    for number in range(seed, seed + seeds):
        folder = tempfile.mkdtemp(prefix=f'soak-{number}-')
        soak = asyncio.run(run_seed(number, seconds, folder))
        counts = dict(sorted(soak.statuses.items()))
        click.echo(f'seed {number}: {counts}')
        if soak.broken:
            click.echo('\n'.join(soak.broken[:5] + soak.steps[-12:]))
            click.echo(f'logs in {folder}')
            raise SystemExit(1)


if __name__ == '__main__':
    main()
