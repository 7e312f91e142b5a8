"""A complete deployment on loopback: store, targets and entry hosts."""

import asyncio
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import aiohttp
import msgspec

from ragwortchute import documents
from ragwortchute import stores
from standins import object_api
from standins import targets as targets_lib

OPERATOR_TOKEN = 'operator-token-of-the-stand-in'
DEPLOYMENT_KEY = 'deployment-key-of-the-stand-in'
_POLL_INTERVAL_S = 0.05
_FIRST_PORT = 12_000
_PORT_COUNT = 20_000
_PORTS_PER_PROCESS = 128
_PORT_OFFSETS = itertools.count(os.getpid() * _PORTS_PER_PROCESS)
_REPOSITORY_ROOT = pathlib.Path(__file__).resolve().parent.parent


class HostSpec(msgspec.Struct, frozen=True):
    """Name, failure domain and region of an entry host."""

    host: str
    failure_domain: str
    region: str


class ServiceSpec(msgspec.Struct, frozen=True):
    """Targets and balancing of a service.

    Attributes:
        service: Name of the service.
        count: Number of targets, distributed over the failure domains.
        slots: Number of slots of each target.
        balancer: Registered name of the balancing policy.
        hosts_per_service: Size of the serving set in each region.
    """

    service: str
    count: int
    slots: int
    balancer: str = 'slot_shares'
    hosts_per_service: int = 4


class HostProcess:
    """An entry host that runs in its own process.

    Args:
        spec: Name and location of the host.
        settings: Additional settings by name; they override the defaults.

    Attributes:
        spec: See `Args`.
        ports: Ports of the caller, operator and peer listeners.
    """

    def __init__(self, spec: HostSpec, settings: dict[str, object]) -> None:
        self.spec = spec
        self.ports = tuple(free_port() for _ in range(3))
        self._settings = settings
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def caller_url(self) -> str:
        """Base URL of the caller listener."""
        return f'http://127.0.0.1:{self.ports[0]}'

    @property
    def operator_url(self) -> str:
        """Base URL of the operator listener."""
        return f'http://127.0.0.1:{self.ports[1]}'

    @property
    def peer_address(self) -> str:
        """Address of the peer listener as `IP:port`."""
        return f'127.0.0.1:{self.ports[2]}'

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def listed(self) -> stores.ListedHost:
        """Returns the host's entry for the platform's host list."""
        return stores.ListedHost(
            host=self.spec.host,
            peer_address=self.peer_address,
            caller_url=self.caller_url,
            failure_domain=self.spec.failure_domain,
            region=self.spec.region,
        )

    def start(self) -> None:
        """Starts the process."""
        settings = {
            'host': self.spec.host,
            'region': self.spec.region,
            'failure_domain': self.spec.failure_domain,
            'caller_address': f'127.0.0.1:{self.ports[0]}',
            'operator_address': f'127.0.0.1:{self.ports[1]}',
            'peer_address': f'127.0.0.1:{self.ports[2]}',
            'deployment_key': DEPLOYMENT_KEY,
            'operator_token': OPERATOR_TOKEN,
            'log_level': 'warning',
            **self._settings,
        }
        env = {
            **os.environ,
            **{
                f'RAGWORTCHUTE_{name.upper()}': str(value)
                for name, value in settings.items()
            },
        }
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'ragwortchute.daemon'],
            cwd=_REPOSITORY_ROOT,
            env=env,
        )

    def kill(self) -> None:
        """Kills the process with SIGKILL."""
        self._signal(signal.SIGKILL)
        if self._process:
            self._process.wait()

    def pause(self) -> None:
        """Suspends the process with SIGSTOP until `resume` is called."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self._signal(signal.SIGCONT)

    async def stop(self, timeout_s: float = 40.0) -> int:
        """Requests a graceful stop and returns the exit code.

        The process is killed if it still runs after `timeout_s` seconds.
        """
        self._signal(signal.SIGTERM)
        end_s = time.monotonic() + timeout_s
        while self.running and time.monotonic() < end_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
        if self.running:
            self.kill()
        assert self._process is not None
        return self._process.returncode

    def cpu_s(self) -> float:
        """Returns the CPU time of the process in user and kernel mode, in s."""
        path = pathlib.Path(f'/proc/{self.pid}/stat')
        fields = path.read_text().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    def resident_bytes(self) -> int:
        """Returns the resident set size of the process, in bytes."""
        pages = pathlib.Path(f'/proc/{self.pid}/statm').read_text().split()[1]
        return int(pages) * os.sysconf('SC_PAGE_SIZE')

    def _signal(self, number: int) -> None:
        if self.running:
            os.kill(self.pid, number)


class Deployment:
    """Store, targets and entry hosts with the documents of all services.

    Args:
        hosts: Entry hosts.
        services: Services; their targets are distributed over the failure
            domains of the hosts.
        seed: Random seed of the targets' service times.
        settings: Settings of all hosts.
        routes: Routes of every service; defaults to `default_routes`.
        cold_start: Cold-start settings of every service.
        host_lag_s: Lag of the platform's host list, in seconds.

    Attributes:
        host_specs: Entry hosts to start.
        services: See `Args`.
        routes: See `Args`.
        cold_start: See `Args`.
        targets: Targets of all services.
        api: The store.
        hosts: Started entry hosts by name.
    """

    def __init__(
        self,
        hosts: list[HostSpec],
        services: list[ServiceSpec],
        *,
        seed: int = 1,
        settings: dict[str, object] | None = None,
        routes: tuple[documents.Route, ...] | None = None,
        cold_start: documents.ColdStart | None = None,
        host_lag_s: float = 0.0,
    ) -> None:
        self.host_specs = hosts
        self.services = services
        self.routes = routes or default_routes()
        self.cold_start = cold_start or documents.ColdStart()
        self.targets = targets_lib.TargetSet(seed)
        self.api = object_api.ObjectApi(host_lag_s=host_lag_s)
        self.hosts: dict[str, HostProcess] = {}
        self._settings = settings or {}
        self._session: aiohttp.ClientSession | None = None

    async def start(self, *, warm: bool = True) -> None:
        """Starts the store, targets and hosts; waits until hosts are ready."""
        await self.api.start()
        await self._start_targets(warm=warm)
        self._seed_documents()
        for spec in self.host_specs:
            self.add_host(spec)
        self._session = aiohttp.ClientSession(
            headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'}
        )
        for host in self.hosts.values():
            await self.wait_ready(host.spec.host)

    async def stop(self) -> None:
        """Stops the hosts, the targets and the store."""
        for host in self.hosts.values():
            host.resume()
            host.kill()
        if self._session:
            await self._session.close()
        await self.targets.stop()
        await self.api.stop()

    def add_host(self, spec: HostSpec) -> HostProcess:
        """Starts an entry host and adds it to the host list."""
        seeds = ','.join(
            f'{host.spec.host}={host.peer_address}'
            for host in self.hosts.values()
        )
        host = HostProcess(
            spec,
            {
                'store_url': self.api.url,
                'seed_hosts': seeds,
                **self._settings,
            },
        )
        self.hosts[spec.host] = host
        self.api.publish_host(host.listed())
        host.start()
        return host

    def caller_urls(self) -> list[str]:
        """Returns the base URL of the caller listener of every host."""
        return [host.caller_url for host in self.hosts.values()]

    async def operator(
        self, host: str, path: str, method: str = 'GET'
    ) -> dict[str, object]:
        """Calls the operator listener of a host and returns the JSON body.

        Raises:
            ClientError: The host is unreachable or answers with an error.
            TimeoutError: The host does not answer within 5 s.
        """
        assert self._session is not None
        url = self.hosts[host].operator_url + path
        async with self._session.request(
            method, url, timeout=aiohttp.ClientTimeout(total=5)
        ) as resp:
            resp.raise_for_status()
            return await resp.json()

    async def wait_ready(self, host: str, timeout_s: float = 30.0) -> None:
        """Waits until a host is ready and a member of its own view.

        Raises:
            TimeoutError: The host is not ready after `timeout_s` seconds.
        """
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            try:
                status = await self.operator(host, '/status')
            except (aiohttp.ClientError, TimeoutError):
                status = {}
            view = status.get('view') or {}
            if status.get('ready') and host in view.get('members', ()):
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f'host {host} is not ready after {timeout_s} s')

    def service_document(self, spec: ServiceSpec) -> documents.ServiceDocument:
        """Returns the document of a service."""
        entries = []
        for name, target in self.targets.targets.items():
            if not name.startswith(f'{spec.service}-'):
                continue
            domain_host = self._host_in_target_domain(
                int(name.rpartition('-')[2])
            )
            entries.append(
                documents.Target(
                    name=name,
                    address=target.address,
                    failure_domain=domain_host.failure_domain,
                    region=domain_host.region,
                    slots=target.slots,
                )
            )
        return documents.ServiceDocument(
            service=spec.service,
            targets=tuple(entries),
            routes=self.routes,
            cold_start=self.cold_start,
            balancer=spec.balancer,
            hosts_per_service=spec.hosts_per_service,
        )

    def put_document(self, spec: ServiceSpec) -> None:
        """Writes a service's document to the store without validating it."""
        document = self.service_document(spec)
        self.api.store.seed(
            f'documents/{spec.service}', msgspec.json.encode(document)
        )

    async def _start_targets(self, *, warm: bool) -> None:
        for spec in self.services:
            for index in range(spec.count):
                await self.targets.add(
                    f'{spec.service}-{index}', spec.slots, warm=warm
                )

    def _host_in_target_domain(self, index: int) -> HostSpec:
        """Returns a host in the failure domain of the target with this index.

        Targets are assigned to the failure domains in turn, in sorted order.
        """
        domains = {spec.failure_domain: spec for spec in self.host_specs}
        names = sorted(domains)
        return domains[names[index % len(names)]]

    def _seed_documents(self) -> None:
        regions = {s.failure_domain: s.region for s in self.host_specs}
        deployment = documents.DeploymentDocument(
            failure_domains={
                name: documents.DomainEntry(region=region)
                for name, region in regions.items()
            },
            store_region=self.host_specs[0].region,
        )
        self.api.store.seed(
            f'documents/{documents.DEPLOYMENT_NAME}',
            msgspec.json.encode(deployment),
        )
        for spec in self.services:
            self.put_document(spec)


def default_routes() -> tuple[documents.Route, ...]:
    """Returns an idempotent route for GET and a plain one for POST."""
    return (
        documents.Route(name='read', methods=('GET',), idempotent=True),
        documents.Route(name='write', methods=('POST',), idempotent=False),
    )


def manila_hosts(per_domain: int = 3) -> list[HostSpec]:
    """Returns entry hosts in the four failure domains of Manila."""
    names = ('luzon-makati', 'luzon-pasig', 'visayas-cebu', 'visayas-iloilo')
    return [
        HostSpec(f'{name}-{index}', name, name.partition('-')[0])
        for index in range(per_domain)
        for name in names
    ]


def free_port(ip: str = '127.0.0.1') -> int:
    """Returns a free port of a loopback address.

    The port is free at the time of the call, and returned again only after
    `_PORT_COUNT` calls, whatever the address. It is below the kernel's
    ephemeral range, so that no outgoing connection can take it before the host
    listens. Concurrent processes start at different ports to avoid choosing the
    same one.
    """
    while True:
        port = _FIRST_PORT + next(_PORT_OFFSETS) % _PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                continue
            return port
