"""Which hosts are alive, by heartbeats that hosts pass on to each other.

Each host counts a heartbeat up and sends what it knows of all hosts to a few
hosts of its failure domain. One host of each failure domain also sends it to
the other failure domains of the region, and one of each region to the other
regions. A host is alive while its heartbeat goes up.
"""

import asyncio
from collections import abc
import random

import msgspec

from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model

BEAT_S = 0.5
# Hosts of the own failure domain that get each heartbeat.
FANOUT = 3
# Heartbeats between two messages to another region; that link is priced.
REGION_BEATS = 2
# A heartbeat that has not gone up for this long means that the host is gone.
DEAD_S = 3.0
# A host that is gone still counts for bounds over all hosts for this long.
FORGET_S = 30.0


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat of a host, as passed on."""

    name: str
    incarnation: int
    count: int
    leaving: bool


class Message(msgspec.Struct, frozen=True, array_like=True):
    """What one host tells another.

    Attributes:
        sender: Name of the sending host.
        beats: Heartbeats that it knows.
        entries: Addresses of hosts.
        wanted: Names of hosts whose addresses it asks for.
        changes: Revision of the last change that it knows, by prefix.
    """

    sender: str
    beats: tuple[Beat, ...] = ()
    entries: tuple[model.HostEntry, ...] = ()
    wanted: tuple[str, ...] = ()
    changes: dict[str, int] = {}


class Transport:
    """Sends datagrams to hosts; replaced by a fake in tests."""

    def send(self, ip: str, port: int, data: bytes) -> None:
        """Sends a datagram; it may be lost."""
        raise NotImplementedError


class _Peer:
    """What is known of another host."""

    __slots__ = ('count', 'entry', 'heard_s', 'leaving', 'since_s')

    def __init__(self, entry: model.HostEntry, now_s: float) -> None:
        self.entry = entry
        self.count = -1
        self.heard_s = float('-inf')
        self.since_s = now_s
        self.leaving = False


class Membership:
    """Hosts of the deployment.

    Args:
        me: This host.
        transport: Sends datagrams.
        log: Takes log lines.
        rng: Source of randomness.

    Attributes:
        me: This host.
        leaving: Whether this host is stopping.
        changes: Returns the last change that this host knows, by prefix.
        hint: Takes over a prefix and a change that another host knows.
    """

    def __init__(
        self,
        me: model.HostEntry,
        transport: Transport,
        log: eventlog.EventLog,
        rng: random.Random,
    ) -> None:
        self.me = me
        self.changes: abc.Callable[[], dict[str, int]] = dict
        self.hint: abc.Callable[[str, int], None] = lambda *_: None
        self.leaving = False
        self._transport = transport
        self._log = log
        self._rng = rng
        self._count = 0
        self._peers: dict[str, _Peer] = {}
        self._alive: set[str] = set()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message)

    def alive(self, now_s: float) -> list[model.HostEntry]:
        """Returns the hosts that may take new callers, this one included."""
        entries = [
            peer.entry
            for peer in self._peers.values()
            if self._is_alive(peer, now_s) and not peer.leaving
        ]
        if not self.leaving:
            entries.append(self.me)
        return entries

    def count(self, now_s: float) -> int:
        """Returns how many hosts may be sending to targets."""
        return 1 + sum(
            1
            for peer in self._peers.values()
            if now_s - max(peer.heard_s, peer.since_s) < FORGET_S
        )

    def learn(self, entries: list[model.HostEntry], now_s: float) -> None:
        """Takes over addresses, such as those in the store."""
        for entry in entries:
            self._learn(entry, now_s)

    def greet(self, now_s: float) -> None:
        """Tells all known hosts of this one, at its start or end."""
        data = self._encode(entries=(self.me,), now_s=now_s)
        for peer in self._peers.values():
            self._send(peer, data)

    async def run(self) -> None:
        """Sends heartbeats until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.beat(loop.time())
            await asyncio.sleep(BEAT_S * (0.9 + 0.2 * self._rng.random()))

    def beat(self, now_s: float) -> None:
        """Counts the heartbeat up and passes on what is known."""
        self._count += 1
        alive = [
            peer for peer in self._peers.values() if self._is_alive(peer, now_s)
        ]
        self._note_changes(alive)
        mine = [
            peer
            for peer in alive
            if peer.entry.failure_domain == self.me.failure_domain
        ]
        receivers = self._rng.sample(mine, min(FANOUT, len(mine)))
        receivers += self._other_domains(alive, mine)
        data = self._encode(now_s=now_s)
        for peer in receivers:
            self._send(peer, data)
        if self._count % REGION_BEATS == 0:
            self._beat_regions(alive, now_s)
        if not alive and self._peers:
            self._send(self._rng.choice(list(self._peers.values())), data)

    def received(self, data: bytes, now_s: float) -> None:
        """Takes over a datagram."""
        try:
            message = self._decoder.decode(data)
        except msgspec.DecodeError as exc:
            self._log.event('peer-malformed', error=str(exc))
            return
        self.learn(list(message.entries), now_s)
        for prefix, changed in message.changes.items():
            self.hint(prefix, changed)
        wanted = [
            beat.name for beat in message.beats if not self._take(beat, now_s)
        ]
        sender = self._peers.get(message.sender)
        if sender is None:
            return
        if wanted:
            data = self._encoder.encode(
                Message(self.me.name, entries=(self.me,), wanted=tuple(wanted))
            )
            self._send(sender, data)
        if message.wanted:
            self._send(sender, self._reply(message.wanted))

    def _reply(self, wanted: tuple[str, ...]) -> bytes:
        entries = [
            self._peers[name].entry for name in wanted if name in self._peers
        ]
        entries.append(self.me)
        return self._encoder.encode(
            Message(self.me.name, entries=tuple(entries))
        )

    def _learn(self, entry: model.HostEntry, now_s: float) -> None:
        if entry.name == self.me.name:
            return
        peer = self._peers.get(entry.name)
        if peer is None or peer.entry.incarnation < entry.incarnation:
            self._peers[entry.name] = _Peer(entry, now_s)

    def _take(self, beat: Beat, now_s: float) -> bool:
        """Takes over a heartbeat; tells whether the host is known."""
        if beat.name == self.me.name:
            return True
        peer = self._peers.get(beat.name)
        if peer is None or peer.entry.incarnation < beat.incarnation:
            return False
        if peer.entry.incarnation == beat.incarnation:
            if beat.count > peer.count:
                peer.count = beat.count
                peer.heard_s = now_s
            peer.leaving = peer.leaving or beat.leaving
        return True

    def _is_alive(self, peer: _Peer, now_s: float) -> bool:
        return now_s - peer.heard_s < DEAD_S

    def _note_changes(self, alive: list[_Peer]) -> None:
        names = {peer.entry.name for peer in alive}
        if names != self._alive:
            self._log.event(
                'hosts',
                joined=sorted(names - self._alive),
                lost=sorted(self._alive - names),
                alive=len(names) + 1,
            )
            self._alive = names

    def _other_domains(
        self, alive: list[_Peer], mine: list[_Peer]
    ) -> list[_Peer]:
        """Returns a host of each other failure domain of the region."""
        if any(peer.entry.name < self.me.name for peer in mine):
            return []
        domains: dict[str, list[_Peer]] = {}
        for peer in alive:
            entry = peer.entry
            if (
                entry.region == self.me.region
                and entry.failure_domain != self.me.failure_domain
            ):
                domains.setdefault(entry.failure_domain, []).append(peer)
        return [self._rng.choice(peers) for peers in domains.values()]

    def _beat_regions(self, alive: list[_Peer], now_s: float) -> None:
        """Sends the heartbeats of this region to each other region."""
        regions: dict[str, list[_Peer]] = {}
        for peer in alive:
            regions.setdefault(peer.entry.region, []).append(peer)
        mine = regions.pop(self.me.region, [])
        if any(peer.entry.name < self.me.name for peer in mine):
            return
        data = self._encode(now_s=now_s, region=self.me.region)
        for peers in regions.values():
            self._send(self._rng.choice(peers), data)

    def _encode(
        self,
        *,
        now_s: float,
        entries: tuple[model.HostEntry, ...] = (),
        region: str = '',
    ) -> bytes:
        beats = [
            Beat(
                peer.entry.name,
                peer.entry.incarnation,
                peer.count,
                peer.leaving,
            )
            for peer in self._peers.values()
            if self._is_alive(peer, now_s)
            and (not region or peer.entry.region == region)
        ]
        beats.append(
            Beat(self.me.name, self.me.incarnation, self._count, self.leaving)
        )
        return self._encoder.encode(
            Message(self.me.name, tuple(beats), entries, changes=self.changes())
        )

    def _send(self, peer: _Peer, data: bytes) -> None:
        self._transport.send(peer.entry.ip, peer.entry.peer_port, data)
