"""Deployment of host processes for fault injection."""

import asyncio

import aiohttp

from ragwortchute import documents
from standins import deployment as deployment_lib
from standins import relay
from standins import targets as targets_lib

SERVICE = 'dispatch'
SMALL_SERVICE = 'narrow'
STORE_REGION = 'luzon'
ADDRESS_LIFETIME_MS = 1000
COLD_RAMP_S = 0.5
# The design allows "a few seconds"; the tests take that as 5 s.
GRACE_PERIOD_S = 5.0
HOMED_BODY_MARKER = b'only-in-luzon-' * 3
POLL_INTERVAL_S = 0.05
PROBE_TIMEOUT_S = 6.0
_MEAN_SERVICE_S = 0.06


def host_specs() -> list[deployment_lib.HostSpec]:
    """Returns three hosts in the store's region and one in another region."""
    return [
        deployment_lib.HostSpec('makati-0', 'luzon-makati', 'luzon'),
        deployment_lib.HostSpec('pasig-0', 'luzon-pasig', 'luzon'),
        deployment_lib.HostSpec('makati-1', 'luzon-makati', 'luzon'),
        deployment_lib.HostSpec('cebu-0', 'visayas-cebu', 'visayas'),
    ]


def _routes() -> tuple[documents.Route, ...]:
    deadline_ms = int(PROBE_TIMEOUT_S * 1000) + 1000
    return (
        documents.Route(
            name='homed',
            path_prefix='/homed/',
            homes=(STORE_REGION,),
            deadline_ms=deadline_ms,
        ),
        documents.Route(
            name='read',
            methods=('GET',),
            idempotent=True,
            deadline_ms=deadline_ms,
        ),
        documents.Route(
            name='write', methods=('POST',), deadline_ms=deadline_ms
        ),
    )


class Cluster(deployment_lib.Deployment):
    """A deployment whose links between hosts and to the store can be cut.

    Args:
        seed: Random seed of the targets.
        specs: Entry hosts; defaults to `host_specs()`.

    Attributes:
        links: Relays between the hosts and to the store.
    """

    def __init__(
        self, seed: int, specs: list[deployment_lib.HostSpec] | None = None
    ) -> None:
        specs = specs or host_specs()
        super().__init__(
            specs,
            [
                deployment_lib.ServiceSpec(SERVICE, 9, 4),
                deployment_lib.ServiceSpec(SMALL_SERVICE, 3, 1),
            ],
            seed=seed,
            routes=_routes(),
            cold_start=documents.ColdStart(ramp_s=COLD_RAMP_S),
        )
        self.links = relay.LinkRelays({s.host: s.region for s in specs})
        self.links.marker = HOMED_BODY_MARKER
        self._relayed: dict[str, dict[str, object]] = {}

    @property
    def holds(self) -> targets_lib.HoldPoints:
        """Hold points of the targets."""
        return self.targets.holds

    async def start(self, *, warm: bool = True) -> None:
        """Starts all parts and waits until every host is ready."""
        await self.api.start()
        store_port = int(self.api.url.rpartition(':')[2])
        for spec in self.host_specs:
            port = deployment_lib.free_port()
            self._relayed[spec.host] = {
                'peer_listen_address': f'127.0.0.1:{port}',
                'peer_address': await self.links.add_peer(spec.host, port),
                'store_url': 'http://'
                + await self.links.add_store(spec.host, store_port),
                'address_lifetime_ms': ADDRESS_LIFETIME_MS,
                'stop_s': 10.0,
                'log_level': 'error',
            }
        await self._start_targets(warm=warm)
        for target in self.targets.targets.values():
            target.behaviour.cold_ramp_s = COLD_RAMP_S
            target.behaviour.cold_crash_s = 0.5
            target.behaviour.mean_service_s = _MEAN_SERVICE_S
        self._seed_documents()
        self._session = aiohttp.ClientSession(
            headers={'Authorization': f'Bearer {deployment_lib.OPERATOR_TOKEN}'}
        )
        for spec in self.host_specs:
            self.add_host(spec)
        for host in self.hosts:
            await self.wait_ready(host)

    async def stop(self) -> None:
        """Stops the hosts, the targets, the store and the relays."""
        await super().stop()
        await self.links.close()

    def add_host(
        self, spec: deployment_lib.HostSpec
    ) -> deployment_lib.HostProcess:
        """Starts an entry host behind its relays and lists it."""
        seeds = ','.join(
            f'{name}={self._relayed[name]["peer_address"]}'
            for name in self._relayed
            if name != spec.host
        )
        host = _RelayedHost(
            spec, {'seed_hosts': seeds, **self._relayed[spec.host]}
        )
        self.hosts[spec.host] = host
        self.api.publish_host(host.listed())
        host.start()
        return host

    def target_domains(self) -> dict[str, str]:
        """Returns the failure domain of each target by name."""
        return {
            target.name: target.failure_domain
            for spec in self.services
            for target in self.service_document(spec).targets
        }

    async def status(self, host: str) -> dict[str, object]:
        """Returns a host's status, or an empty dictionary if it fails."""
        return await self._try_operator(host, '/status')

    async def dump(self, host: str) -> dict[str, object]:
        """Returns a host's dump, or an empty dictionary if it fails."""
        return await self._try_operator(host, '/dump')

    async def _try_operator(self, host: str, path: str) -> dict[str, object]:
        try:
            async with asyncio.timeout(1.0):
                return await self.operator(host, path)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return {}


class _RelayedHost(deployment_lib.HostProcess):
    """A host whose peer listener is behind a relay."""

    @property
    def peer_address(self) -> str:
        return str(self._settings['peer_address'])
