"""The parts of a gateway host, wired together."""

import asyncio
import random

import msgspec

from ragwortchute import stores
from ragwortchute.gateway import candidates
from ragwortchute.gateway import crash_guard
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import directory
from ragwortchute.gateway import dispatcher
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import following
from ragwortchute.gateway import http_server
from ragwortchute.gateway import knowledge as knowledge_
from ragwortchute.gateway import membership as membership_
from ragwortchute.gateway import model
from ragwortchute.gateway import pacing
from ragwortchute.gateway import peer_api
from ragwortchute.gateway import peer_socket
from ragwortchute.gateway import pools
from ragwortchute.gateway import relays
from ragwortchute.gateway import replica
from ragwortchute.gateway import sources
from ragwortchute.gateway import stats as stats_

# How long callers may keep an address answer.
ADDRESS_TTL_S = 2.0
# A leaving host takes new connections this long, while callers still hold
# answers that name it.
LEAVE_ACCEPT_S = 2.6
# After that it still reads for this long: requests on the connections that it
# accepted last may be on their way.
LAST_READ_S = 0.25
# It ends this long before the platform would kill it.
GRACE_MARGIN_S = 0.4
# Longest time to find hosts whose copies of the store can be read at the start.
FIND_READER_S = 1.0
# Time for them to answer.
GREETING_S = 0.1
# A host that can't read the list of hosts waits this long for heartbeats
# before it sends to cold targets.
SETTLE_S = 5.0


class Settings(msgspec.Struct, frozen=True):
    """What a host is told at its start.

    Attributes:
        me: This host.
        domains: Region of each failure domain.
        peer_ip: Address of the socket for other hosts.
        grace_s: Time from a stop signal to the kill.
        dead_s: Callers may be told of a host for this long after its last
            heartbeat.
        limits: Bounds of repeats and cold starts over all hosts.
    """

    me: model.HostEntry
    domains: dict[str, str]
    peer_ip: str
    grace_s: float
    dead_s: float
    limits: dispatcher.Limits


class Gateway:
    """One host.

    Args:
        settings: Settings of this host.
        store: The object API.
        dialect: Protocol of callers and targets.
        log: Takes log lines.

    Attributes:
        knowledge: Configuration and targets.
        membership: Hosts that are alive.
        health: Whether the store answers.
        rng: Source of randomness.
        callers: Listener for requests of callers.
        leaving: Whether this host is stopping.
        registered: Is set once it has read the list of hosts.
    """

    def __init__(
        self,
        settings: Settings,
        store: stores.Store,
        dialect: dialects.Dialect,
        log: eventlog.EventLog,
    ) -> None:
        self._settings = settings
        self._store = store
        self._log = log
        self.rng = random.Random()
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []
        me = settings.me
        self.stats = stats_.Stats()
        self.health = following.StoreHealth(log)
        self.knowledge = knowledge_.Knowledge(
            dialect, settings.domains, me.failure_domain, log
        )
        self._socket = peer_socket.PeerSocket()
        self.membership = membership_.Membership(
            me, self._socket, log, self.rng, settings.dead_s
        )
        self._socket.received = self.membership.received
        self._chooser = candidates.Chooser(
            self.rng,
            settings.limits.warmup_overage,
            settings.limits.warmup_slack,
        )
        self._host_pools = pools.HostPools()
        guard = crash_guard.CrashGuard(me.name, self.membership, log)
        self.membership.crash = guard.received
        self.dispatcher = dispatcher.Dispatcher(
            knowledge=self.knowledge,
            dialect=dialect,
            chooser=self._chooser,
            relays=relays.Relays(self.membership, self.rng),
            host_pools=self._host_pools,
            crash_guard=guard,
            limits=settings.limits,
            log=log,
            stats=self.stats,
            rng=self.rng,
        )
        self.callers = http_server.Listener(
            self.dispatcher.serve, lambda: self.knowledge.limits, log, 'callers'
        )
        self._followers: dict[str, following.Follower] = {}
        self._replicas: dict[str, replica.Replica] = {}
        api = peer_api.PeerApi(self._replicas, self.dispatcher)
        self.peers = http_server.Listener(
            api.serve, lambda: self.knowledge.limits, log, 'peers'
        )
        self.membership.changes = self._changes
        self.membership.hint = self._hint
        self.leaving = False
        self.registered = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether new callers should come to this host."""
        return self.knowledge.complete and not self.leaving

    @property
    def probes(self) -> int:
        """Number of health requests sent to targets."""
        return self._chooser.asked

    def revisions(self) -> dict[str, float]:
        """Returns the revision up to which changes are known, by prefix."""
        return {
            prefix: copy.revision for prefix, copy in self._replicas.items()
        }

    def hosts(self) -> list[model.HostEntry]:
        """Returns the hosts that take new callers."""
        return self.membership.alive(self._loop.time())

    def addresses(
        self, name: str, region: str, failure_domain: str
    ) -> list[str]:
        """Returns the addresses for a caller of a host name."""
        hosts = directory.choose(
            self.hosts(),
            region,
            failure_domain,
            self.knowledge.table.homes(name),
            self.rng,
        )
        return [host.caller_address for host in hosts]

    async def start(self, feeds: list[following.Feed]) -> None:
        """Starts to read the store, then to listen to hosts and callers."""
        me = self._settings.me
        await self._socket.open(self._settings.peer_ip, me.peer_port)
        await self.peers.start(self._settings.peer_ip, me.peer_port)
        for feed in feeds:
            follower = following.Follower(
                self._sources, feed, self.health, self._log, self.rng
            )
            self._followers[feed.prefix] = follower
            self._replicas[feed.prefix] = follower.replica
            self._spawn(self._follow(follower))
        self._spawn(self.membership.run())
        self._spawn(self._upkeep())
        ip, _, port = me.caller_address.rpartition(':')
        await self.callers.start(ip, int(port))
        self._log.event('start', caller_address=me.caller_address)

    async def leave(self) -> None:
        """Stops as planned: new callers go elsewhere, requests finish."""
        started_s = self._loop.time()
        end_s = started_s + self._settings.grace_s - GRACE_MARGIN_S
        self._log.event('leaving', running=self.callers.running)
        self.leaving = True
        self.membership.leaving = True
        self.membership.announce_leave(started_s)
        self.callers.drain()
        await asyncio.sleep(LEAVE_ACCEPT_S)
        self.callers.stop_accepting()
        await asyncio.sleep(LAST_READ_S)
        self.callers.close()
        await self.callers.finished(end_s - self._loop.time())
        await self.peers.finished(end_s - self._loop.time())
        self._log.event('stop', running=self.callers.running)

    async def close(self) -> None:
        """Ends everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.callers.stop()
        await self.peers.stop()
        await self.dispatcher.close()
        self._host_pools.close()
        self._socket.close()
        await self._store.close()
        self._log.flush()

    def _sources(self) -> list[following.Source]:
        """Returns the places to read the store's contents from."""
        hosts = self.hosts()
        return [
            self._copy(host) if host else following.Source('', self._store)
            for host in sources.order(self._settings.me, hosts)
        ]

    def _copy(self, host: model.HostEntry) -> following.Source:
        pool = self._host_pools.get(host)
        return following.Source(host.name, peer_api.PeerStore(host.name, pool))

    async def _follow(self, follower: following.Follower) -> None:
        """Follows once hosts whose copies can be read had time to answer."""
        try:
            async with asyncio.timeout(FIND_READER_S):
                await self.registered.wait()
                await asyncio.sleep(GREETING_S)
        except TimeoutError:
            self._log.event('no-reader-found', prefix=follower.prefix)
        await follower.run()

    def _changes(self) -> dict[str, int]:
        """Returns the last change known, by prefix of the store."""
        return {
            prefix: follower.replica.changed
            for prefix, follower in self._followers.items()
        }

    def _hint(self, host: model.HostEntry, prefix: str, changed: int) -> None:
        follower = self._followers.get(prefix)
        if follower is not None and changed > follower.replica.revision:
            follower.hint(changed, self._copy(host))

    def _spawn(self, coro: object) -> None:
        self._tasks.append(self._loop.create_task(coro))

    async def _upkeep(self) -> None:
        """Writes the log, counts the hosts and forgets those that are gone."""
        started_s = self._loop.time()
        while True:
            await asyncio.sleep(eventlog.FLUSH_S)
            now_s = self._loop.time()
            known = self.membership.known(now_s)
            self._host_pools.keep_only(frozenset(known))
            self._chooser.fleet = pacing.fleet(
                self._settings.me.name,
                known,
                self.registered.is_set() or now_s - started_s > SETTLE_S,
            )
            self._log.flush()
