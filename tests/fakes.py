"""Fakes of the interfaces to peers and membership."""

import asyncio
from collections import abc

from ragwortchute import errors
from ragwortchute import membership
from ragwortchute import peers
from ragwortchute import wire


class FakeNetwork:
    """Connects fake transports within one process.

    Attributes:
        transports: Transport by host name.
        cut: Pairs (sender, receiver) between which no message is delivered.
        down: Hosts that neither send nor receive.
        lose_answers: Pairs (receiver, sender) of requests whose answers are
            lost.
        log: Every delivered message as (sender, receiver, message).
    """

    def __init__(self) -> None:
        self.transports: dict[str, FakeTransport] = {}
        self.cut: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.lose_answers: set[tuple[str, str]] = set()
        self.log: list[tuple[str, str, wire.Message]] = []

    def transport(self, host: str) -> 'FakeTransport':
        """Returns a new transport for a host, replacing any existing one."""
        self.transports[host] = FakeTransport(self, host)
        return self.transports[host]

    def partition(self, left: abc.Iterable[str], right: abc.Iterable[str]):
        """Cuts off two groups of hosts from each other in both directions."""
        for first in left:
            for second in right:
                self.cut |= {(first, second), (second, first)}

    def heal(self) -> None:
        """Removes all cuts."""
        self.cut.clear()

    def reachable(self, sender: str, receiver: str) -> bool:
        """Returns whether a message would be delivered."""
        return (
            receiver in self.transports
            and sender not in self.down
            and receiver not in self.down
            and (sender, receiver) not in self.cut
        )


class FakeTransport(peers.Transport):
    """A transport without sockets that delivers messages directly."""

    def __init__(self, network: FakeNetwork, host: str) -> None:
        self.network = network
        self.host = host
        self.handlers: dict[type, peers.Handler] = {}
        self.addresses: dict[str, str] = {}

    def on(self, kind, handler) -> None:
        self.handlers[kind] = handler

    def set_peer_address(self, host: str, peer_address: str) -> None:
        self.addresses[host] = peer_address

    async def send(self, host, message, *, bulk=False) -> None:
        await self._deliver(host, message)

    async def request(self, host, message, *, timeout_s, bulk=False):
        answer = await self._deliver(host, message)
        lost = (host, self.host) in self.network.lose_answers
        if lost or not self.network.reachable(host, self.host):
            raise errors.PeerTimeout('no answer', step='request', peer=host)
        if answer is None or answer is peers.UNANSWERED:
            raise errors.PeerTimeout('no answer', step='request', peer=host)
        return answer

    async def _deliver(self, host, message):
        await asyncio.sleep(0)
        if not self.network.reachable(self.host, host):
            raise errors.PeerUnreachable(
                'no connection', step='send', peer=host
            )
        self.network.log.append((self.host, host, message))
        handler = self.network.transports[host].handlers.get(type(message))
        if handler is None:
            return None
        return await handler(self.host, message)


class FakeMembership(membership.Membership):
    """A membership whose state is set by the test."""

    def __init__(self, host: str, hosts: abc.Sequence[str]) -> None:
        self.host = host
        self.hosts = list(hosts)
        self.lease = True
        self.gains = True
        self.owners: dict[str, str] = {}
        self.epoch = 1

    @property
    def me(self) -> wire.Member:
        return make_member(self.host)

    @property
    def view(self) -> wire.View:
        return wire.View(
            region='luzon',
            epoch=self.epoch,
            leader=self.hosts[0],
            members=tuple(make_member(host) for host in self.hosts),
            witnesses=tuple(self.hosts[:3]),
        )

    def live_members(self) -> list[wire.Member]:
        return list(self.view.members)

    def serving_set(self, service: str, size: int) -> list[wire.Member]:
        return list(self.view.members)[:size]

    def lease_valid(self) -> bool:
        return self.lease

    def may_use_new_ownership(self) -> bool:
        return self.gains

    def owner(self, service: str, target: str, size: int) -> str:
        return self.owners.get(target, self.hosts[0])


def make_member(host: str, failure_domain: str = 'luzon-makati'):
    """Returns a member with addresses on which nothing listens."""
    return wire.Member(
        host=host,
        incarnation=sum(host.encode()),
        peer_address='127.0.0.1:1',
        caller_url='http://127.0.0.1:1',
        failure_domain=failure_domain,
        region=failure_domain.split('-')[0],
    )
