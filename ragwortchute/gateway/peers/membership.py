"""Membership of hosts by gossiped heartbeats.

Each host increments a heartbeat counter and sends the latest heartbeats of all
hosts to a few random hosts of its failure domain. One delegate of each failure
domain also sends them to the other failure domains of the region, and one
delegate of each region to the other regions. A host is alive while its
heartbeat counter advances.
"""

import asyncio
from collections import abc
import random

import msgspec

from ragwortchute import decoding
from ragwortchute import errors
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model
from ragwortchute.gateway.peers import heartbeats
from ragwortchute.gateway.peers import part_messages
from ragwortchute.gateway.peers import peer_table
from ragwortchute.gateway.peers import retry_loans
from ragwortchute.gateway.selection import crash_guard

HEARTBEAT_INTERVAL_S = 0.5
# Hosts of the local failure domain that receive each heartbeat message.
FANOUT = 2
# Heartbeats per message to another region; traffic between regions is billed.
INTER_REGION_BEATS = 2
# Hosts that send the heartbeats of all hosts to a new host; the second covers
# the loss of a datagram.
BOOTSTRAP_SENDERS = 2
# A datagram with more entries than this may be too large.
ENTRIES_PER_DATAGRAM = 40

# Called with a host, a prefix, and the last revision that the host knows.
RevisionCallback = abc.Callable[[model.HostEntry, str, int], None]
# Called with a notice and the loop time of its arrival.
CrashNoticeCallback = abc.Callable[[crash_guard.CrashNotice, float], None]
LoanCallback = abc.Callable[[str, retry_loans.LoanMessage, float], None]


class Transport:
    """Sends datagrams to hosts; tests replace it with a fake."""

    def send(self, ip: str, port: int, data: bytes) -> None:
        """Sends a datagram without a guarantee of delivery."""
        raise NotImplementedError


class Membership(crash_guard.HostNotifier):
    """Tracks the hosts of the deployment.

    Args:
        me: Entry of this host.
        transport: Sends datagrams.
        log: Event log.
        rng: Random number generator.
        dead_s: Age in seconds of the last heartbeat from which on a host
            counts as dead.

    Attributes:
        me: Entry of this host.
        leaving: Whether this host is stopping.
        local_revisions: Returns the revision of the last change that this
            host knows, by prefix of the store.
        on_peer_revision: Called with the last revision that another host
            knows of a prefix.
        on_crash_notice: Called with notices about requests that crash targets.
        on_answer_notice: Called with digests of suspected requests that a
            target has answered.
        on_failure_reports: Called with reports of failures of targets and the
            loop time of their arrival.
        local_statements: Returns what targets have said, to be passed on with
            heartbeats, for a loop time in seconds.
        on_statements: Called with the statements that another host has passed
            on and the loop time of their arrival.
        on_loan: Called with the name of a host, its message about a loan of
            retries and the loop time of its arrival.
        listed: Names in the host list of the store, as last read.
        parts: Messages of optional parts.
        peers: The other hosts.
    """

    def __init__(
        self,
        me: model.HostEntry,
        transport: Transport,
        log: eventlog.EventLog,
        rng: random.Random,
        dead_s: float,
    ) -> None:
        self.me = me
        self.local_revisions: abc.Callable[[], dict[str, int]] = dict
        self.on_peer_revision: RevisionCallback = lambda *_: None
        self.on_crash_notice: CrashNoticeCallback = lambda *_: None
        self.on_answer_notice: abc.Callable[[int], None] = lambda _: None
        self.on_failure_reports: abc.Callable[[bytes, float], None] = (
            lambda *_: None
        )
        self.on_loan: LoanCallback = lambda *_: None
        self.local_statements: abc.Callable[[float], bytes] = lambda _: b''
        self.on_statements: abc.Callable[[bytes, float], None] = lambda *_: None
        self.leaving = False
        self.listed: frozenset[str] = frozenset()
        self.parts = part_messages.PartMessages(me.name, self._send_to_names)
        self.peers = peer_table.PeerTable(me, dead_s)
        self._transport = transport
        self._log = log
        self._rng = rng
        self._count = 0
        self._key = heartbeats.key_of(me)
        self._logged_alive: set[str] = set()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(heartbeats.Message)

    def available_hosts(self, now_s: float) -> list[model.HostEntry]:
        """Returns the hosts that accept new callers, this one included."""
        entries = [
            peer.entry
            for peer in self.peers.all()
            if self.peers.is_alive(peer, now_s) and not peer.leaving
        ]
        if not self.leaving:
            entries.append(self.me)
        return entries

    def possible_senders(self, now_s: float) -> list[str]:
        """Returns the names of the hosts that may be sending to targets.

        These include hosts that fell silent a short time ago: they may be alive
        behind a network partition. See `members` for longer ones.
        """
        return [self.me.name, *self.peers.retained_names(now_s)]

    def members(self, now_s: float) -> list[str]:
        """Returns the hosts that are not known to be gone, see `PeerTable`."""
        return [self.me.name, *self.peers.member_names(now_s)]

    def regions(self) -> dict[str, str]:
        """Returns the regions of all known hosts by name."""
        regions = {
            peer.entry.name: peer.entry.region for peer in self.peers.all()
        }
        regions[self.me.name] = self.me.region
        return regions

    def joined(self, now_s: float) -> bool:
        """Returns whether a host of the own failure domain has replied.

        All heartbeats that it sent must have been matched with entries.
        """
        return not self.peers.has_requests and bool(
            self.peers.alive_in_domain(now_s)
        )

    def precedes_in_domain(self, count: int, now_s: float) -> bool:
        """Returns whether this host is among the first of its failure domain.

        Args:
            count: Number of hosts, the first by name among the live ones.
            now_s: Loop time in seconds.
        """
        preceding = [
            peer
            for peer in self.peers.alive_in_domain(now_s)
            if peer.entry.name < self.me.name
        ]
        return len(preceding) < count

    def add_entries(self, entries: list[model.HostEntry], now_s: float) -> None:
        """Adds or updates host entries, such as those read from the store."""
        for entry in entries:
            self.peers.add_entry(entry, now_s)

    def note_listed(self, entries: list[model.HostEntry], now_s: float) -> None:
        """Adds the entries of the host list of the store.

        Args:
            entries: All entries of the list.
            now_s: Loop time in seconds.
        """
        self.listed = frozenset(entry.name for entry in entries)
        self.add_entries(entries, now_s)

    def announce_start(self, now_s: float) -> None:
        """Announces this host to all hosts of its region.

        Hosts of other regions learn of it by heartbeats. If it knows none of
        its own region, the delegate of each failure domain elsewhere gets the
        announcement.
        """
        data = self._encode((), now_s, (self.me,))
        peers = list(self.peers.all())
        receivers = [
            peer for peer in peers if peer.entry.region == self.me.region
        ]
        for peer in receivers or self.peers.delegates(peers, self._rng, now_s):
            self._send(peer, data)

    def announce_stop(self, now_s: float) -> None:
        """Announces to all known hosts that this host is stopping."""
        data = self._encode((), now_s)
        for peer in self.peers.all():
            self._send(peer, data)

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.send_heartbeats(loop.time())
            await asyncio.sleep(
                HEARTBEAT_INTERVAL_S * (0.9 + 0.2 * self._rng.random())
            )

    def send_heartbeats(self, now_s: float) -> None:
        """Increments the heartbeat counter and sends out heartbeats."""
        self._count += 1
        alive = self.peers.alive(now_s)
        self._log_membership_changes(alive)
        local_peers = self.peers.alive_in_domain(now_s)
        self.peers.forget_requests(now_s)
        data = self._encode(alive, now_s)
        receivers = self._rng.sample(local_peers, min(FANOUT, len(local_peers)))
        receivers += self._other_domain_delegates(now_s, local_peers)
        if not local_peers and self.peers.all():
            # No live host in the failure domain, or partitioned from it.
            receivers.append(self._rng.choice([*self.peers.all()]))
        for peer in receivers:
            self._send(peer, data)
        if local_peers:
            self._send_to_delegate(local_peers, now_s)
        if self._count % INTER_REGION_BEATS == 0:
            self._send_to_other_regions(alive, now_s)

    def on_datagram(
        self, data: bytes, now_s: float, sender_address: tuple[str, int]
    ) -> None:
        """Processes a datagram from another host.

        Args:
            data: The datagram.
            now_s: Loop time in seconds.
            sender_address: Address and port that it was sent from.
        """
        try:
            message = decoding.decode_msgpack(data, self._decoder)
        except errors.DecodeFailed as exc:
            self._log.event('peer-malformed', error=str(exc))
            return
        known_sender = self.peers.get(message.sender)
        self.add_entries(list(message.entries), now_s)
        is_new = self.peers.get(message.sender) is not known_sender
        requested_keys = self.peers.record_heartbeats(message.heartbeats, now_s)
        if requested_keys:
            # The sender may know a host that this one doesn't, such as itself
            # after this host has restarted.
            request = heartbeats.Message(
                self.me.name, entries=(self.me,), requested_keys=requested_keys
            )
            self._transport.send(*sender_address, self._encoder.encode(request))
        sender = self.peers.get(message.sender)
        if sender is None:
            self.parts.handle_early(
                message.sender, message.parts, now_s, sender_address
            )
            return
        for prefix, revision in message.revisions.items():
            self.on_peer_revision(sender.entry, prefix, revision)
        for notice in message.crashes:
            self.on_crash_notice(notice, now_s)
        for key in message.answered:
            self.on_answer_notice(key)
        for loan in message.loans:
            self.on_loan(sender.entry.name, loan, now_s)
        if message.statements:
            self.on_statements(message.statements, now_s)
        if message.failures:
            self.on_failure_reports(message.failures, now_s)
        if message.parts:
            self.parts.handle(sender.entry.name, message.parts, now_s)
        if message.requested_keys:
            self._send_entries(sender, message.requested_keys, now_s)
        if is_new:
            # A host that has just started looks for replicas of the store.
            known = []
            if self._is_bootstrap_sender(sender, now_s):
                known = self.peers.alive(now_s)
                known += self.peers.silent_members(now_s)
            self._send(sender, self._encode(known, now_s))

    def alive_names(self, now_s: float) -> list[str]:
        """See base class."""
        peers = self.peers.alive(now_s)
        return [self.me.name, *(peer.entry.name for peer in peers)]

    def send_crash_notice(
        self, names: list[str], notice: crash_guard.CrashNotice
    ) -> None:
        """See base class."""
        message = heartbeats.Message(self.me.name, crashes=(notice,))
        self._send_to_names(names, message)

    def send_answer_notice(self, names: list[str], key: int) -> None:
        """See base class."""
        message = heartbeats.Message(self.me.name, answered=(key,))
        self._send_to_names(names, message)

    def send_failure_reports(
        self, batch: bytes, receivers: int, now_s: float
    ) -> None:
        """Sends reports of failures to random hosts of the region.

        Args:
            batch: The reports.
            receivers: Number of hosts.
            now_s: Loop time in seconds.
        """
        peers = self._region_peers(now_s)
        data = self._encoder.encode(
            heartbeats.Message(self.me.name, failures=batch)
        )
        for peer in self._rng.sample(peers, min(receivers, len(peers))):
            self._send(peer, data)

    def ask_for_loans(
        self, loan: retry_loans.LoanMessage, lenders: int
    ) -> list[str]:
        """Asks random hosts of the failure domain for retries.

        If it has no other live host, hosts of the region are asked.

        Args:
            loan: The request.
            lenders: Number of hosts to ask.

        Returns:
            The names of the hosts that were asked.
        """
        now_s = asyncio.get_running_loop().time()
        peers = self.peers.alive_in_domain(now_s) or self._region_peers(now_s)
        names = [peer.entry.name for peer in peers if not peer.leaving]
        chosen = self._rng.sample(names, min(lenders, len(names)))
        self._send_to_names(
            chosen, heartbeats.Message(self.me.name, loans=(loan,))
        )
        return chosen

    def send_loan(self, name: str, loan: retry_loans.LoanMessage) -> None:
        """Sends the answer to a request for retries to a host."""
        message = heartbeats.Message(self.me.name, loans=(loan,))
        self._send_to_names([name], message)

    def _region_peers(self, now_s: float) -> list[peer_table.Peer]:
        return [
            peer
            for peer in self.peers.alive(now_s)
            if peer.entry.region == self.me.region
        ]

    def _is_bootstrap_sender(self, new: peer_table.Peer, now_s: float) -> bool:
        """Returns whether this host sends all heartbeats to a new host.

        The first hosts, by name, of the new host's failure domain do so. If it
        has none, the first hosts of each other failure domain of the region
        do. A host of another region always does, since only delegates receive
        announcements from other regions.
        """
        if new.entry.region != self.me.region:
            return True
        alive = [peer for peer in self.peers.alive(now_s) if peer is not new]
        domain = new.entry.failure_domain
        if self.me.failure_domain != domain and any(
            peer.entry.failure_domain == domain for peer in alive
        ):
            return False
        preceding = [
            peer
            for peer in alive
            if peer.entry.failure_domain == self.me.failure_domain
            and peer.entry.name < self.me.name
        ]
        return len(preceding) < BOOTSTRAP_SENDERS

    def _send_entries(
        self,
        receiver: peer_table.Peer,
        requested_keys: tuple[int, ...],
        now_s: float,
    ) -> None:
        known = (self.peers.entry_of(key) for key in requested_keys)
        entries = [entry for entry in known if entry is not None]
        entries.append(self.me)
        # No other host sends the heartbeats of those that are silent.
        silent = self.peers.silent_members(now_s)
        for start in range(0, len(entries), ENTRIES_PER_DATAGRAM):
            part = tuple(entries[start : start + ENTRIES_PER_DATAGRAM])
            beats = heartbeats.pack(
                peer.heartbeat(now_s) for peer in silent if peer.entry in part
            )
            message = heartbeats.Message(self.me.name, beats, entries=part)
            self._send(receiver, self._encoder.encode(message))

    def _log_membership_changes(self, alive: list[peer_table.Peer]) -> None:
        names = {peer.entry.name for peer in alive}
        if names == self._logged_alive:
            return
        self._log.event(
            'hosts',
            joined=sorted(names - self._logged_alive),
            lost=sorted(self._logged_alive - names),
            alive=len(names) + 1,
        )
        self._logged_alive = names

    def _other_domain_delegates(
        self, now_s: float, local_peers: list[peer_table.Peer]
    ) -> list[peer_table.Peer]:
        """Returns the delegates of the region's other failure domains.

        Returns:
            Nothing if this host is not the delegate of its failure domain.
        """
        if any(peer.entry.name < self.me.name for peer in local_peers):
            return []
        others = [
            peer
            for peer in self.peers.all()
            if peer.entry.region == self.me.region
            and peer.entry.failure_domain != self.me.failure_domain
        ]
        return self.peers.delegates(others, self._rng, now_s)

    def _send_to_delegate(
        self, local_peers: list[peer_table.Peer], now_s: float
    ) -> None:
        """Sends this host's heartbeat to the delegate of its failure domain."""
        delegate = min(local_peers, key=lambda peer: peer.entry.name)
        if delegate.entry.name < self.me.name:
            self._send(delegate, self._encode((), now_s))

    def _send_to_other_regions(
        self, alive: list[peer_table.Peer], now_s: float
    ) -> None:
        """Sends the heartbeats of this region to the other regions.

        Only the delegate of this region sends, to the delegate of each failure
        domain there.
        """
        region_peers = [
            peer for peer in alive if peer.entry.region == self.me.region
        ]
        if any(peer.entry.name < self.me.name for peer in region_peers):
            return
        others = [
            peer
            for peer in self.peers.all()
            if peer.entry.region != self.me.region
        ]
        data = self._encode(region_peers, now_s)
        for peer in self.peers.delegates(others, self._rng, now_s):
            self._send(peer, data)

    def _encode(
        self,
        peers: abc.Iterable[peer_table.Peer],
        now_s: float,
        entries: tuple[model.HostEntry, ...] = (),
    ) -> bytes:
        known = [peer.heartbeat(now_s) for peer in peers]
        known.append(
            heartbeats.Heartbeat(self._key, self._count, 0.0, self.leaving)
        )
        message = heartbeats.Message(
            self.me.name,
            heartbeats.pack(known),
            entries,
            revisions=self.local_revisions(),
            statements=self.local_statements(now_s),
        )
        return self._encoder.encode(message)

    def _send_to_names(
        self, names: list[str], message: heartbeats.Message
    ) -> None:
        data = self._encoder.encode(message)
        for name in names:
            peer = self.peers.get(name)
            if peer is not None:
                self._send(peer, data)
            elif name in self.parts.addresses:
                self._transport.send(*self.parts.addresses[name], data)

    def _send(self, peer: peer_table.Peer, data: bytes) -> None:
        self._transport.send(peer.entry.ip, peer.entry.peer_port, data)
