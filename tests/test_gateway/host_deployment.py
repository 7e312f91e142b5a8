"""Complete hosts with a stand-in store and targets, in one process."""

import asyncio
import os

from ragwortchute.gateway import application
from ragwortchute.gateway import host_settings
from ragwortchute.gateway.store import registration
from ragwortchute.platform import feeds
from ragwortchute.platform import objects
from ragwortchute.platform import wire
from standins import deployment as deployment_lib
from standins import platform_store
from standins import platform_targets
from tests.test_gateway import rig as rigs
from tests.test_platform import test_adapter


class Deployment:
    """Hosts, a stand-in store and stand-in targets."""

    def __init__(self):
        self.server = platform_store.ObjectServer()
        self.hosts = []
        self.addresses = 0
        self.targets = []
        self.tasks = []
        self.grace_s = 2.0
        self.configuration = test_adapter.CONFIG
        self.contracts = frozenset()

    async def start(self, *domains, targets=2):
        await self.server.start()
        await self.server.put('config', 'main', self.configuration)
        for number in range(targets):
            await self.add_target(
                platform_targets.TargetServer(f't{number}', 's')
            )
        await self.add_hosts(domains)

    async def add_target(self, target):
        await target.start()
        self.targets.append(target)
        await self.server.put('servers', target.name, target.entry)

    async def add_hosts(self, domains):
        await asyncio.gather(
            *(
                self.add(f'h{number}', domain)
                for number, domain in enumerate(domains)
            )
        )

    async def add(self, name, domain):
        # Each host has an IP address of its own, as on the platform.
        self.addresses += 1
        ip = f'127.2.{os.getpid() % 250}.{self.addresses}'
        me = rigs.host(
            name,
            domain,
            caller_address=f'{ip}:{deployment_lib.free_port(ip)}',
            ip=ip,
            peer_port=deployment_lib.free_port(ip),
        )
        host = self.build(me)
        await self.run(host)
        await self.registration(host).join()
        return host

    def build(self, me):
        settings = host_settings.Settings(
            me,
            rigs.DOMAINS,
            me.ip,
            self.grace_s,
            5.4,
            host_settings.FleetLimits(),
            contracts=self.contracts,
        )
        store = objects.ObjectStore('127.0.0.1', self.server.port)
        log = rigs.MemoryLog()
        host = application.Gateway(settings, store, wire.PlatformDialect(), log)
        host.log = log
        self.hosts.append(host)
        return host

    async def run(self, host):
        await host.start(self.feeds(host))

    def feeds(self, host):
        return [
            feeds.ConfigFeed(host.state, host.log),
            feeds.TargetFeed(host.state, host.log),
            feeds.EvacuationFeed(host.state),
        ]

    def registration(self, host):
        return registration.Registration(
            host, host._store, 'hosts/', host.log, spread_s=0.2
        )

    async def until(self, condition, seconds=6.0):
        for _ in range(int(seconds / 0.05)):
            if condition():
                return
            await asyncio.sleep(0.05)
        assert condition()

    async def stop(self):
        for host in self.hosts:
            await host.close()
        for target in self.targets:
            await target.stop()
        await self.server.stop()
