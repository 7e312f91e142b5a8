"""State of the other hosts: entries and latest heartbeats."""

from collections import abc
import random

from ragwortchute.gateway import model
from ragwortchute.gateway.peers import heartbeats

# How long a dead host still counts in limits that hold over all hosts.
DEAD_RETENTION_S = 30.0
# How long a silent host may be behind a partition, for parts whose limits must
# hold in one. Without an end, hosts that were replaced over months would count:
# quotas would shrink, and rollouts and isolated hosts would wait for them.
SILENT_RETENTION_S = 3600.0
# Hosts that are known at most, dead ones included: two and a half times the
# design size. Those that were silent for longest are dropped beyond that.
MAX_PEERS = 2000
# Wait before the entry of a host is requested again, from another sender.
ENTRY_TIMEOUT_S = 0.4
REQUEST_RETENTION_S = 2.0


class Peer:
    """State of another host.

    Attributes:
        count: Latest heartbeat counter received; -1 before the first.
        entry: Addresses of the host.
        last_heartbeat_s: Loop time at which the latest heartbeat was sent.
        key: Key of the host in heartbeats.
        leaving: Whether the host is stopping.
        discovered_s: Loop time at which the entry was learned.
    """

    __slots__ = (
        'count',
        'discovered_s',
        'entry',
        'key',
        'last_heartbeat_s',
        'leaving',
    )

    def __init__(self, entry: model.HostEntry, now_s: float) -> None:
        self.entry = entry
        self.key = heartbeats.key_of(entry)
        self.count = -1
        self.last_heartbeat_s = float('-inf')
        self.discovered_s = now_s
        self.leaving = False

    def heartbeat(self, now_s: float) -> heartbeats.Heartbeat:
        """Returns the latest heartbeat as it is sent to other hosts."""
        return heartbeats.Heartbeat(
            self.key, self.count, now_s - self.last_heartbeat_s, self.leaving
        )


class PeerTable:
    """The other hosts that this host knows.

    Args:
        me: Entry of this host.
        dead_s: Age in seconds of the last heartbeat from which on a host
            counts as dead.

    Attributes:
        last_discovery_s: Loop time at which the last host was discovered.
        keeps_silent: Whether silent hosts are members until they leave; set by
            parts whose limits must hold in long partitions. Hosts that
            start are then told of them, too.
    """

    __slots__ = (
        '_by_key',
        '_by_name',
        '_dead_s',
        '_key',
        '_me',
        '_requested_s',
        'keeps_silent',
        'last_discovery_s',
    )

    def __init__(self, me: model.HostEntry, dead_s: float) -> None:
        self.last_discovery_s = float('-inf')
        self.keeps_silent = False
        self._me = me
        self._key = heartbeats.key_of(me)
        self._dead_s = dead_s
        self._by_name: dict[str, Peer] = {}
        self._by_key: dict[int, Peer] = {}
        self._requested_s: dict[int, float] = {}

    def all(self) -> abc.Collection[Peer]:
        """Returns all known hosts, dead ones included."""
        return self._by_name.values()

    def get(self, name: str) -> Peer | None:
        """Returns a host, None if it is not known."""
        return self._by_name.get(name)

    def entry_of(self, key: int) -> model.HostEntry | None:
        """Returns the entry of the host with a key, None if it is not known."""
        peer = self._by_key.get(key)
        return peer.entry if peer is not None else None

    def is_alive(self, peer: Peer, now_s: float) -> bool:
        """Returns whether the last heartbeat of a host is recent."""
        return now_s - peer.last_heartbeat_s < self._dead_s

    def alive(self, now_s: float) -> list[Peer]:
        """Returns the live hosts."""
        return [peer for peer in self.all() if self.is_alive(peer, now_s)]

    def alive_in_domain(self, now_s: float) -> list[Peer]:
        """Returns the live hosts of the failure domain of this host."""
        domain = self._me.failure_domain
        return [
            peer
            for peer in self.all()
            if peer.entry.failure_domain == domain
            and self.is_alive(peer, now_s)
        ]

    def delegates(
        self, peers: abc.Iterable[Peer], rng: random.Random, now_s: float
    ) -> list[Peer]:
        """Returns the delegate of each failure domain among some hosts.

        It is the first live host by name, or any host if none is alive.

        Args:
            peers: The hosts.
            rng: Source of randomness.
            now_s: Loop time in seconds.
        """
        domains: dict[str, list[Peer]] = {}
        for peer in peers:
            domains.setdefault(peer.entry.failure_domain, []).append(peer)
        chosen = []
        for group in domains.values():
            alive = [peer for peer in group if self.is_alive(peer, now_s)]
            if alive:
                chosen.append(min(alive, key=lambda peer: peer.entry.name))
            else:
                chosen.append(rng.choice(group))
        return chosen

    def heard(self, since_s: float) -> list[str]:
        """Returns the names of the hosts heard of since a loop time.

        Args:
            since_s: Loop time in seconds.

        Returns:
            The names, that of the host that was heard of last first.
        """
        peers = [peer for peer in self.all() if peer.last_heartbeat_s > since_s]
        peers.sort(key=lambda peer: peer.last_heartbeat_s, reverse=True)
        return [peer.entry.name for peer in peers]

    def may_be_alive(self, peer: Peer, now_s: float) -> bool:
        """Returns whether a host may be alive, also behind a partition."""
        silent_s = now_s - max(peer.last_heartbeat_s, peer.discovered_s)
        if peer.leaving:
            return silent_s < DEAD_RETENTION_S
        return silent_s < SILENT_RETENTION_S

    def retained_names(self, now_s: float) -> list[str]:
        """Returns the names of the hosts that may be alive.

        Hosts without recent heartbeats are included: they may be alive behind
        a network partition.
        """
        return [
            peer.entry.name
            for peer in self.all()
            if now_s - max(peer.last_heartbeat_s, peer.discovered_s)
            < DEAD_RETENTION_S
        ]

    def member_names(self, now_s: float) -> list[str]:
        """Returns the names of the hosts that are not known to be gone.

        These are the live and the silent ones, and for `DEAD_RETENTION_S` also
        hosts that leave and hosts of which only the entry is known: the host
        list of the store also has hosts that were removed.
        """
        retained = dict.fromkeys(self.retained_names(now_s))
        for peer in self.silent_members(now_s):
            retained[peer.entry.name] = None
        return list(retained)

    def silent_members(self, now_s: float) -> list[Peer]:
        """Returns the hosts that are not heard of any more and did not leave.

        They may be dead or behind a partition of up to `SILENT_RETENTION_S`. A
        host is gone for certain if another live host has its address.

        Returns:
            The hosts, none unless `keeps_silent` is set.
        """
        if not self.keeps_silent:
            return []
        silent = [
            peer
            for peer in self.all()
            if peer.count >= 0
            and not peer.leaving
            and not self.is_alive(peer, now_s)
            and self.may_be_alive(peer, now_s)
        ]
        if not silent:
            return []
        reused = {
            (peer.entry.ip, peer.entry.peer_port) for peer in self.alive(now_s)
        }
        return [
            peer
            for peer in silent
            if (peer.entry.ip, peer.entry.peer_port) not in reused
        ]

    @property
    def has_requests(self) -> bool:
        """Whether entries of hosts have been requested and not received."""
        return bool(self._requested_s)

    def add_entry(self, entry: model.HostEntry, now_s: float) -> None:
        """Adds or updates a host, unless a later incarnation is known."""
        if entry.name == self._me.name:
            return
        peer = self._by_name.get(entry.name)
        if peer is None or peer.entry.incarnation < entry.incarnation:
            if peer is None:
                self.last_discovery_s = now_s
            else:
                del self._by_key[peer.key]
            peer = Peer(entry, now_s)
            self._by_name[entry.name] = peer
            self._by_key[peer.key] = peer
            if len(self._by_name) > MAX_PEERS:
                self._drop_oldest(now_s)
        self._requested_s.pop(heartbeats.key_of(entry), None)

    def record_heartbeats(self, data: bytes, now_s: float) -> tuple[int, ...]:
        """Records heartbeats as encoded by `heartbeats.pack`.

        Returns:
            The keys of unknown hosts whose entries should be requested.
        """
        requested_keys = []
        for heartbeat in heartbeats.unpack(data):
            if self._record_heartbeat(heartbeat, now_s):
                continue
            requested_s = self._requested_s.get(heartbeat.key, float('-inf'))
            if now_s - requested_s >= ENTRY_TIMEOUT_S:
                self._requested_s[heartbeat.key] = now_s
                requested_keys.append(heartbeat.key)
        return tuple(requested_keys)

    def forget_requests(self, now_s: float) -> None:
        """Drops requests of entries that no host seems to have."""
        for key, requested_s in list(self._requested_s.items()):
            if now_s - requested_s > REQUEST_RETENTION_S:
                del self._requested_s[key]

    def _drop_oldest(self, now_s: float) -> None:
        """Drops the host that was silent for longest."""
        oldest = min(
            (peer for peer in self.all() if not self.is_alive(peer, now_s)),
            key=lambda peer: max(peer.last_heartbeat_s, peer.discovered_s),
        )
        del self._by_name[oldest.entry.name]
        del self._by_key[oldest.key]

    def _record_heartbeat(
        self, heartbeat: heartbeats.Heartbeat, now_s: float
    ) -> bool:
        """Records a heartbeat; returns whether the host is known."""
        if heartbeat.key == self._key:
            return True
        peer = self._by_key.get(heartbeat.key)
        if peer is None:
            return False
        last_heartbeat_s = now_s - heartbeat.age_s
        if peer.count < 0 or heartbeats.is_newer(heartbeat.count, peer.count):
            peer.count = heartbeat.count
            peer.last_heartbeat_s = max(peer.last_heartbeat_s, last_heartbeat_s)
        peer.leaving = peer.leaving or heartbeat.leaving
        return True
