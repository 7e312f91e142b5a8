"""Large configurations on the slow links of small hosts."""

import asyncio
import random

import msgspec
import pytest

from ragwortchute import errors
from ragwortchute.gateway.http import pools
from ragwortchute.gateway.peers import peer_api
from ragwortchute.gateway.store import replica
from ragwortchute.platform import objects
from standins import fault_proxy
from tests.test_gateway import host_deployment
from tests.test_platform import test_adapter

ROUTES = 1740
# Hosts of a failure domain, which read the copy of one of them. Most are only
# clients: whole hosts would share the processor time of this process.
HOSTS = 5
CLIENTS = 16
CONFIG_S = 2.0
BYTES_PER_MBIT = 125_000


class ProxiedPools(pools.HostPools):
    """Connection pools of other hosts, by way of their proxies."""

    def __init__(self, proxies):
        super().__init__()
        self.proxies = proxies

    def get(self, host):
        port = self.proxies[host.name].port
        return super().get(
            msgspec.structs.replace(host, ip='127.0.0.1', peer_port=port)
        )


class SlowDeployment(host_deployment.Deployment):
    """Hosts whose links carry few bytes per second."""

    def __init__(self, mbit_per_s):
        super().__init__()
        self.bytes_per_s = mbit_per_s * BYTES_PER_MBIT
        self.proxies = {}
        self.store_proxies = []
        self.clients = []

    def build(self, me):
        host = super().build(me)
        host._host_pools = ProxiedPools(self.proxies)
        return host

    async def run(self, host):
        me = host.membership.me
        self.proxies[me.name] = await self.proxy(me.ip, me.peer_port)
        store_proxy = await self.proxy('127.0.0.1', self.server.port)
        self.store_proxies.append(store_proxy)
        host._store = objects.ObjectStore('127.0.0.1', store_proxy.port)
        await super().run(host)

    async def proxy(self, ip, port):
        """Returns a proxy whose clients have a slow link."""
        link = fault_proxy.Link(self.bytes_per_s)
        proxy = fault_proxy.FaultProxy(ip, port, link)
        await proxy.start()
        return proxy

    def start_clients(self, reader):
        proxy = self.proxies[reader.membership.me.name]
        for number in range(CLIENTS):
            own = replica.Replica()
            store = peer_api.PeerStore(
                f'c{number}',
                pools.Pool('127.0.0.1', proxy.port),
                {'config/': own},
            )
            self.clients.append(asyncio.create_task(self.follow(store, own)))

    async def follow(self, store, own):
        """Reads the changes of the configuration as a host does."""
        full_read = True
        while True:
            try:
                answer = await store.watch(
                    'config/',
                    after_revision=0 if full_read else own.revision,
                    timeout_s=1.0,
                )
            except errors.HistoryGone:
                full_read = True
                continue
            except errors.StoreError:
                await asyncio.sleep(1.0)
                continue
            full_read = False
            own.apply(answer)

    async def stop(self):
        for client in self.clients:
            client.cancel()
        for proxy in [*self.proxies.values(), *self.store_proxies]:
            proxy.stop()
        await super().stop()


def configuration(version):
    """Returns a configuration of about 400 KB, a tenth if compressed."""
    rng = random.Random(1)
    first = test_adapter.CONFIG['routes'][0]
    routes = []
    for _ in range(ROUTES + version):
        name = f'{rng.getrandbits(50):x}'
        path = f'/{rng.getrandbits(40):x}/'
        routes.append(first | {'name': name, 'path_prefix': path})
    return test_adapter.CONFIG | {'config_version': version, 'routes': routes}


class TestLargeConfigurations:
    """A change must be in force in time on all hosts."""

    @pytest.fixture
    async def deployment(self, mbit_per_s):
        deployment = SlowDeployment(mbit_per_s)
        yield deployment
        await deployment.stop()

    async def start(self, deployment):
        """Starts hosts that have a large configuration; returns the reader."""
        await deployment.start(*['a1'] * HOSTS)
        await deployment.server.put('config', 'main', configuration(100))
        await deployment.until(
            lambda: self.have(deployment.hosts, 100), seconds=20.0
        )
        reader = min(
            deployment.hosts,
            key=lambda host: (
                host.membership.me.incarnation,
                host.membership.me.name,
            ),
        )
        deployment.start_clients(reader)
        await asyncio.sleep(2.0)
        return reader

    def have(self, hosts, version):
        return all(
            host.state.cfg is not None and host.state.cfg.version >= version
            for host in hosts
        )

    async def latest_s(self, deployment, hosts):
        """Writes a version; returns when the last host had it."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await deployment.server.put('config', 'main', configuration(101))
        await deployment.until(lambda: self.have(hosts, 101))
        return loop.time() - started_s

    @pytest.mark.parametrize('mbit_per_s', [5, 20, 100])
    async def test_change_is_in_force_on_all_hosts(self, deployment):
        await self.start(deployment)
        took_s = await self.latest_s(deployment, deployment.hosts)
        print(f'all hosts after {took_s:.2f} s')
        assert took_s <= CONFIG_S

    @pytest.mark.parametrize('mbit_per_s', [20])
    async def test_reader_dies_while_hosts_read_its_copy(self, deployment):
        reader = await self.start(deployment)
        others = [host for host in deployment.hosts if host is not reader]
        loop = asyncio.get_running_loop()
        loop.call_later(0.25, lambda: loop.create_task(reader.close()))
        took_s = await self.latest_s(deployment, others)
        print(f'all hosts after {took_s:.2f} s')
        assert took_s <= CONFIG_S
