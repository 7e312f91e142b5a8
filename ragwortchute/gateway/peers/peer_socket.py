"""UDP socket for messages between hosts."""

import asyncio
from collections import abc

from ragwortchute.gateway.peers import membership

DatagramCallback = abc.Callable[[bytes, float, tuple[str, int]], None]


class PeerSocket(asyncio.DatagramProtocol, membership.Transport):
    """Sends and receives datagrams.

    Attributes:
        on_datagram: Called with a datagram, the loop time of its arrival and
            the address that it was sent from.
    """

    def __init__(self) -> None:
        self.on_datagram: DatagramCallback | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, ip: str, port: int) -> None:
        """Binds the socket."""
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )

    def send(self, ip: str, port: int, data: bytes) -> None:
        """See base class."""
        if self._transport is not None:
            self._transport.sendto(data, (ip, port))

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """See base class."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """See base class."""
        if self.on_datagram is not None:
            self.on_datagram(data, self._loop.time(), addr)

    def error_received(self, exc: Exception) -> None:
        """Ignores that a peer is unreachable; its heartbeats reveal that."""
