"""Simulated hosts on a manual clock, with faults of network and store."""

import asyncio
import random

import msgspec

from ragwortchute import clock
from ragwortchute import errors
from ragwortchute import events
from ragwortchute import stores
from ragwortchute import wire
from ragwortchute.membership import regional
from tests import fakes


class SimStore:
    """Versioned objects shared by the clients of all hosts.

    Attributes:
        objects: Current objects by name.
        revision: Revision of the latest change.
        removed: Revision of the removal by name of the removed object.
        down: Whether the store is unavailable.
        cut: Hosts that can't reach the store.
        lose_answers: Number of writes to apply without an answer.
        stale: Outdated objects that reads return, by host name.
        calls: Number of calls by kind.
    """

    def __init__(self, manual):
        self.clock = manual
        self.objects = {}
        self.revision = 0
        self.removed = {}
        self.down = False
        self.cut = set()
        self.lose_answers = 0
        self.stale = {}
        self.calls = {}

    def set(self, name, value):
        """Writes an object unconditionally, as operator or platform."""
        self.revision += 1
        self.removed.pop(name, None)
        self.objects[name] = stores.StoredObject(name, self.revision, value)
        return self.objects[name]

    def remove(self, name):
        self.revision += 1
        if self.objects.pop(name, None) is not None:
            self.removed[name] = self.revision

    def make_stale(self, host):
        self.stale[host] = dict(self.objects)

    def client(self, host):
        return _SimClient(self, host)


class _SimClient(stores.Store):
    def __init__(self, store, host):
        self.store = store
        self.host = host

    async def _call(self, kind):
        self.store.calls[kind] = self.store.calls.get(kind, 0) + 1
        await asyncio.sleep(0)
        self._check()

    def _check(self):
        if self.store.down or self.host in self.store.cut:
            raise errors.StoreUnavailable('no answer')

    def _objects(self):
        return self.store.stale.get(self.host, self.store.objects)

    async def get(self, name):
        await self._call('get')
        return self._objects().get(name)

    async def list(self, prefix):
        await self._call('list')
        objects = self._objects()
        return [objects[name] for name in objects if name.startswith(prefix)]

    async def put(self, name, value, *, expected_version):
        await self._call('put')
        current = self.store.objects.get(name)
        version = current.version if current else 0
        if version != expected_version:
            raise errors.VersionConflict('conflict', current_version=version)
        stored = self.store.set(name, value)
        await asyncio.sleep(0)
        if self.store.lose_answers:
            self.store.lose_answers -= 1
            raise errors.StoreUnavailable('lost', maybe_applied=True)
        return stored

    async def watch(
        self,
        prefix,
        *,
        after_revision,
        timeout_s,
        may_be_stale=False,
        progress=None,
    ):
        await self._call('watch')
        end_s = self.store.clock.monotonic() + timeout_s
        while True:
            found = [
                item
                for name, item in self._objects().items()
                if name.startswith(prefix) and item.version > after_revision
            ]
            timed_out = self.store.clock.monotonic() >= end_s
            if found or timed_out or not after_revision:
                break
            await self.store.clock.sleep(0.05)
            self._check()
        removed = tuple(
            name
            for name, revision in self.store.removed.items()
            if name.startswith(prefix) and revision > after_revision
        )
        return stores.WatchAnswer(self.store.revision, tuple(found), removed)

    async def close(self):
        pass


class HostClock(clock.Clock):
    """Clock of one host; sleeps do not end while the host is paused."""

    def __init__(self, manual):
        self.manual = manual
        self.running = asyncio.Event()
        self.running.set()

    def monotonic(self):
        return self.manual.monotonic()

    def wall(self):
        return self.manual.wall()

    async def sleep(self, delay_s):
        await self.manual.sleep(delay_s)
        await self.running.wait()


class SimNetwork(fakes.FakeNetwork):
    """Network that queues messages to paused hosts.

    Requests to a paused host time out, and the host handles them when it
    resumes. A paused sender receives its answers when it resumes.

    Attributes:
        clocks: Clock by host name.
        backlog: Queued pairs of sender and message by paused host.
    """

    def __init__(self):
        super().__init__()
        self.clocks = {}
        self.backlog = {}

    def transport(self, host):
        self.transports[host] = _SimTransport(self, host)
        return self.transports[host]


class _SimTransport(fakes.FakeTransport):
    async def request(self, host, message, *, timeout_s, bulk=False):
        try:
            return await super().request(
                host, message, timeout_s=timeout_s, bulk=bulk
            )
        finally:
            await self.network.clocks[self.host].running.wait()

    async def _deliver(self, host, message):
        clocks = self.network.clocks
        if host in clocks and not clocks[host].running.is_set():
            if self.network.reachable(self.host, host):
                held = self.network.backlog.setdefault(host, [])
                held.append((self.host, message))
            return None
        answer = await super()._deliver(host, message)
        if self.network.transports.get(self.host) is not self:
            raise errors.PeerUnreachable('killed', step='send', peer=host)
        return answer


class Host:
    """An entry host with its membership."""

    def __init__(self, cluster, member, seeds):
        self.member = member
        self.clock = cluster.network.clocks[member.host] = HostClock(
            cluster.clock
        )
        self.transport = cluster.network.transport(member.host)
        self.events = events.EventTable()
        self.membership = regional.RegionalMembership(
            member,
            cluster.store.client(member.host),
            self.transport,
            self.clock,
            random.Random(cluster.rng.random()),
            self.events,
            seeds=seeds,
        )
        self.membership.domain_out = lambda name: name in cluster.out
        self.epochs = []
        self.events.connect(
            'view-changed', lambda view: self.epochs.append(view.epoch)
        )
        self.tasks = [asyncio.create_task(self.membership.run())]


class Cluster:
    """Hosts of one or more regions.

    Args:
        hosts: Failure domain by host name. The part of the domain before the
            first hyphen is the region.
        targets: Number of targets whose ownership is checked.
        size: Size of the serving set whose hosts may own targets.
        host_class: Class of the hosts.

    Attributes:
        hosts: Running hosts by name.
        domains: Failure domain by name of each host, running or not.
        dead: Hosts that were killed.
        out: Failure domains that are taken out.
    """

    def __init__(self, hosts, *, targets=12, size=4, host_class=Host):
        self.clock = clock.ManualClock()
        self.store = SimStore(self.clock)
        self.network = SimNetwork()
        self.rng = random.Random(1)
        self.size = size
        self.targets = [f't{i}' for i in range(targets)]
        self.hosts = {}
        self.domains = dict(hosts)
        self.host_class = host_class
        self.incarnation = 0
        self.dead = []
        self.out = set()
        for host in hosts:
            self.list_host(host)

    def list_host(self, host, *, leaving=False):
        member = self.make_member(host)
        listed = stores.ListedHost(
            host,
            member.peer_address,
            member.caller_url,
            member.failure_domain,
            member.region,
            leaving,
        )
        self.store.set(f'hosts/{host}', msgspec.json.encode(listed))

    def make_member(self, host):
        domain = self.domains[host]
        self.incarnation += 1
        number = sorted(self.domains).index(host)
        return wire.Member(
            host=host,
            incarnation=self.incarnation,
            peer_address=f'127.0.0.{number + 1}:1',
            caller_url='',
            failure_domain=domain,
            region=domain.split('-')[0],
        )

    def start(self, *hosts):
        for host in hosts or self.domains:
            seeds = {
                name: f'127.0.0.{number + 1}:1'
                for number, name in enumerate(sorted(self.domains))
            }
            self.hosts[host] = self.host_class(
                self, self.make_member(host), seeds
            )

    def kill(self, host):
        """Kills a host; a host of the same name may be started later."""
        killed = self.hosts.pop(host)
        self.network.transports.pop(host, None)
        self.network.backlog.pop(host, None)
        killed.clock.running.set()
        for task in killed.tasks:
            task.cancel()
        self.dead.append(killed)

    def pause(self, host):
        self.network.clocks[host].running.clear()

    async def resume(self, host):
        self.network.clocks[host].running.set()
        transport = self.network.transports[host]
        for sender, message in self.network.backlog.pop(host, []):
            handler = transport.handlers.get(type(message))
            if handler is not None:
                await handler(sender, message)

    async def advance(self, delay_s, step_s=0.05):
        """Advances the clock in steps and checks the invariants after each."""
        end_s = self.clock.monotonic() + delay_s
        while self.clock.monotonic() < end_s - 1e-9:
            await self.clock.advance(step_s)
            self.check()

    def owners(self, target):
        """Returns the hosts that may currently send to the target if cold."""
        return [
            name
            for name, host in self.hosts.items()
            if host.membership.lease_valid()
            and host.membership.may_use_new_ownership()
            and host.membership.owner('s', target, self.size) == name
        ]

    def check(self):
        """Checks that targets have one owner a region and epochs increase."""
        for target in self.targets:
            owners = self.owners(target)
            regions = [self.domains[name].split('-')[0] for name in owners]
            assert len(set(regions)) == len(regions), (target, owners)
        for host in self.hosts.values():
            assert host.epochs == sorted(set(host.epochs))

    def view(self, host):
        return self.hosts[host].membership.view

    def epochs(self):
        return {name: self.view(name).epoch for name in self.hosts}

    async def close(self):
        for host in list(self.hosts):
            self.kill(host)
        tasks = [task for host in self.dead for task in host.tasks]
        await asyncio.gather(*tasks, return_exceptions=True)
