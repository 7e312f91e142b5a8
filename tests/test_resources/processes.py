"""Host processes with small machines, for tests of the limits for callers."""

import asyncio
import json
import os
import pathlib
import re
import resource
import sys

import msgspec

from ragwortchute.platform import daemon
from standins import deployment
from standins import platform_store
from standins import platform_targets

START_TIMEOUT_S = 20.0
# An ordinary request is sent again while it is refused truthfully.
TRIES = 60
RETRY_S = 0.25
CALL_TIMEOUT_S = 10.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
HOSTS_KIND = daemon.HOSTS_KIND.rstrip('/')
REGIONS = {'a1': 'a', 'b1': 'b'}
# Share of a limit of the machine that a process may use.
MAX_SHARE = 0.9
# Loopback networks of 250 addresses, one for each test process.
_NETWORKS = 250 * 90
# Length to which the body of an ordinary request is filled up. It is longer
# than what a host reads without a reservation.
ORDINARY_BODY_BYTES = 100_000


class Machine(msgspec.Struct, frozen=True):
    """Limits of the machine of a host.

    Attributes:
        memory_mb: Memory in MB.
        max_descriptors: Descriptors that a process may hold.
    """

    memory_mb: int
    max_descriptors: int


class Host:
    """A host process.

    Args:
        name: Name of the host.
        domain: Failure domain of the host.
        machine: Limits of its machine.
        index: Last part of its loopback address.
        folder: Directory of the settings and the log.
        store_port: Port of the store.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        machine: Machine,
        index: int,
        folder: pathlib.Path,
        store_port: int,
    ) -> None:
        self.name = name
        self.machine = machine
        high, low = divmod(os.getpid() % _NETWORKS, 250)
        self.ip = f'127.{high + 100}.{low}.{index}'
        self.port = deployment.free_port(self.ip)
        self.ready_port = deployment.free_port(self.ip)
        self.directory_port = deployment.free_port(self.ip)
        self.process: asyncio.subprocess.Process | None = None
        # Largest number of descriptors and largest memory seen so far.
        self.most_descriptors = 0
        self.most_memory_bytes = 0
        # Its entry in the list of hosts; a host that is listed starts at once.
        self.entry = {
            'name': name,
            'incarnation': 1,
            'failure_domain': domain,
            'region': REGIONS[domain],
            'caller_address': f'{self.ip}:{self.port}',
            'ip': self.ip,
        }
        self._settings = folder / f'{name}.conf'
        self._log = folder / f'{name}.log'
        peer_port = deployment.free_port(self.ip)
        self.entry['peer_port'] = peer_port
        zones = ''.join(f'zones.{d}={r}\n' for d, r in REGIONS.items())
        self._settings.write_text(
            f'node={name}\nip={self.ip}\nzone={domain}\n{zones}'
            f'listen.front={self.ip}:{self.port}\n'
            f'listen.readiness={self.ip}:{self.ready_port}\n'
            f'listen.directory={self.ip}:{self.directory_port}\n'
            f'port_range={peer_port},{peer_port}\n'
            'bounds=grace_s=6,contact_s=3,retry_slack=50\n'
            f'limits.memory_mb={machine.memory_mb}\n'
            f'limits.max_fds={machine.max_descriptors}\n'
            f'provider.address=127.0.0.1:{store_port}\n'
        )

    async def start(self) -> None:
        """Starts the process and limits its descriptors."""
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'ragwortchute.platform',
                env={
                    **os.environ,
                    'RAGWORTCHUTE_NODE_FILE': str(self._settings),
                },
                stdout=log,
                stderr=log,
            )
        limit = self.machine.max_descriptors
        resource.prlimit(
            self.process.pid, resource.RLIMIT_NOFILE, (limit, limit)
        )

    async def kill(self) -> None:
        """Kills the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process.returncode is None

    def note_usage(self) -> None:
        """Notes the open descriptors and the peak of the resident memory."""
        if not self.running:
            return
        folder = pathlib.Path(f'/proc/{self.process.pid}')
        try:
            count = len(os.listdir(folder / 'fd'))
            text = (folder / 'status').read_text()
        except OSError:
            # It has just ended.
            return
        self.most_descriptors = max(self.most_descriptors, count)
        peak = re.search(r'VmHWM:\s+(\d+) kB', text)
        if peak is not None:
            peak_bytes = int(peak[1]) * 1024
            self.most_memory_bytes = max(self.most_memory_bytes, peak_bytes)

    def log_text(self) -> str:
        """Returns what the process has logged."""
        return self._log.read_text(errors='replace')

    def usage(self) -> str:
        """Describes the peaks of memory and descriptors."""
        return (
            f'{self.name}: peak {self.most_memory_bytes / 1e6:.1f} MB of '
            f'{self.machine.memory_mb}, {self.most_descriptors} descriptors '
            f'of {self.machine.max_descriptors}'
        )

    def check(self) -> None:
        """Checks that the process lives inside the limits of its machine."""
        assert self.running, self.log_text()[-2000:]
        self.note_usage()
        self.check_usage()

    def check_usage(self) -> None:
        """Checks that the process was inside the limits when last seen."""
        usage = self.usage()
        print(usage)
        allowed_bytes = self.machine.memory_mb * 1e6 * MAX_SHARE
        assert 0 < self.most_memory_bytes <= allowed_bytes, usage
        allowed = self.machine.max_descriptors * MAX_SHARE
        assert self.most_descriptors <= allowed, usage


class Site:
    """Store, targets and host processes.

    Args:
        folder: Directory of settings and logs.

    Attributes:
        hosts: The host processes.
        targets: The stand-in targets.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._store = platform_store.ObjectServer()
        self._watcher: asyncio.Task[None] | None = None
        self.hosts: list[Host] = []
        self.targets: list[platform_targets.TargetServer] = []

    async def start(
        self,
        machine: Machine,
        *targets: platform_targets.TargetServer,
        limits: dict[str, float] | None = None,
        domains: tuple[str, ...] = ('a1',),
        timeout_s: float = 10.0,
    ) -> None:
        """Starts everything and waits until the hosts are ready.

        Args:
            machine: Limits of the machine of each host.
            *targets: Stand-in targets.
            limits: Limits of the configuration.
            domains: Failure domain of each host.
            timeout_s: Timeout of the routes in seconds.
        """
        await self._store.start()
        config = configuration(limits or {}, timeout_s)
        await self._store.put('config', 'main', config)
        self.targets += targets
        for target in targets:
            await target.start()
            await self._store.put('servers', target.name, target.entry)
        for index, domain in enumerate(domains, 1):
            host = Host(
                f'h{index}',
                domain,
                machine,
                index,
                self._folder,
                self._store.port,
            )
            self.hosts.append(host)
            await self._store.put(HOSTS_KIND, host.name, host.entry)
        for host in self.hosts:
            await host.start()
        self._watcher = asyncio.create_task(self._watch())
        for host in self.hosts:
            await wait_ready(host)

    async def stop(self) -> None:
        """Ends everything."""
        if self._watcher is not None:
            self._watcher.cancel()
        for host in self.hosts:
            await host.kill()
        for target in self.targets:
            await target.stop()
        await self._store.stop()

    async def _watch(self) -> None:
        """Notes the usage of the hosts, periodically."""
        while True:
            for host in self.hosts:
                host.note_usage()
            await asyncio.sleep(0.05)


def configuration(
    limits: dict[str, float], timeout_s: float
) -> dict[str, object]:
    """Returns a configuration with one service, and routes by region."""
    return {
        'config_version': 1,
        'routes': [
            {
                'name': name,
                'hostname': 'example',
                'path_prefix': f'/{name}/',
                'route_type': route_type,
                'timeout_s': timeout_s,
                'target_latency_s': 0.2,
                'attempts': 2,
                'service': 'svc',
                'allowed_regions': homes,
            }
            for name, route_type, homes in (
                ('read', 'idempotent', []),
                ('write', 'non_idempotent', []),
                ('far', 'idempotent', ['b']),
            )
        ],
        'services': [
            {'name': 'svc', 'health_path': '/health', 'max_conns': 1000}
        ],
        'limits': limits,
    }


async def wait_ready(host: Host) -> None:
    """Waits until a host accepts callers."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while await get(host.ip, host.ready_port, '/ready') != 200:
            assert host.running, host.log_text()[-2000:]
            await asyncio.sleep(0.05)


async def look_up(host: Host) -> None:
    """Asks a host for addresses until it answers."""
    path = '/resolve?name=example'
    async with asyncio.timeout(START_TIMEOUT_S):
        while await get(host.ip, host.directory_port, path) != 200:
            assert host.running, host.log_text()[-2000:]
            await asyncio.sleep(RETRY_S)


async def get(ip: str, port: int, path: str) -> int:
    """Sends a request without a body; returns its status, or 0."""
    head = f'GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    try:
        return await _exchange(ip, port, head.encode())
    except (OSError, EOFError, TimeoutError):
        return 0


async def call(host: Host, path: str = '/write/ordinary') -> None:
    """Sends an ordinary request until it is answered.

    It is sent again while it is refused in a way that promises that it has not
    run, and while its connection is closed before any answer.
    """
    body = b'o' * ORDINARY_BODY_BYTES
    head = (
        f'POST {path} HTTP/1.1\r\nHost: example\r\nX-Request-Id: ordinary\r\n'
        'X-Request-Deadline-Ms: 5000\r\nConnection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    seen = []
    for _ in range(TRIES):
        assert host.running, host.log_text()[-2000:]
        try:
            status = await _exchange(host.ip, host.port, head.encode() + body)
        except (OSError, EOFError, TimeoutError) as exc:
            status = type(exc).__name__
        seen.append(status)
        if status == 200:
            return
        assert status in NOT_RUN_STATUSES or not isinstance(status, int), seen
        await asyncio.sleep(RETRY_S)
    raise AssertionError(f'no answer to an ordinary request: {seen}')


async def _exchange(ip: str, port: int, data: bytes) -> int:
    async with asyncio.timeout(CALL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(data)
            head = await reader.readuntil(b'\r\n\r\n')
            return int(head.split(b' ')[1])
        finally:
            writer.transport.abort()


async def metric(host: Host, name: str) -> float:
    """Returns the sum of a metric over its labels."""
    reader, writer = await asyncio.open_connection(host.ip, 9464)
    writer.write(b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n')
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(re.search(rb'content-length: (\d+)', head.lower())[1])
    text = (await reader.readexactly(length)).decode()
    writer.close()
    values = re.findall(rf'^{name}(?:{{.*}})? (\S+)$', text, re.MULTILINE)
    return sum(json.loads(value) for value in values)
