"""TCP relays that can cut the link between any two hosts, or to the store."""

import asyncio
import contextlib

from ragwortchute import codecs
from ragwortchute import errors
from ragwortchute import plugins
from ragwortchute import wire
from ragwortchute.peers import frames

STORE = 'store'
_CHUNK_BYTES = 65536
_MAX_HELLO_BYTES = 65536
_HELLO_TIMEOUT_S = 5.0
# A payload starts with the frame kind and the request id.
_PAYLOAD_HEADER_BYTES = 9


class LinkRelays:
    """Relays in front of the hosts' peer listeners and the store.

    While a link is cut, the relay forwards nothing and leaves new connections
    unanswered, like a network that drops packets. Connections that had data
    held back during the cut are closed when the cut ends.

    Args:
        regions: Region by host name.

    Attributes:
        marker: Byte sequence to detect on links between regions.
        marker_hits: Number of chunks between regions that contained the marker.
    """

    def __init__(self, regions: dict[str, str]) -> None:
        plugins.load()
        self.marker = b''
        self.marker_hits = 0
        self._regions = regions
        self._codec = codecs.REGISTRY.get('capnp')()
        self._cut_links: set[frozenset[str]] = set()
        self._healed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def add_peer(self, host: str, port: int) -> str:
        """Starts a relay to a host's peer listener and returns its address."""
        return await self._listen('', host, port)

    async def add_store(self, host: str, port: int) -> str:
        """Starts a relay from a host to the store and returns its address."""
        return await self._listen(host, STORE, port)

    def cut(self, first: str, second: str) -> None:
        """Cuts the link between two hosts, or between a host and the store."""
        self._cut_links.add(frozenset((first, second)))

    def isolate(self, host: str) -> None:
        """Cuts a host off from all peers but not from the store."""
        for other in self._regions:
            if other != host:
                self.cut(host, other)

    def cut_regions(self, store_region: str) -> None:
        """Cuts all links between regions, including those to the store."""
        for host, region in self._regions.items():
            if region != store_region:
                self.cut(host, STORE)
            for other, other_region in self._regions.items():
                if region != other_region:
                    self.cut(host, other)

    def heal(self) -> None:
        """Restores all links."""
        self._cut_links.clear()
        self._healed.set()
        self._healed = asyncio.Event()

    async def close(self) -> None:
        """Stops all relays."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _listen(self, source: str, target: str, port: int) -> str:
        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            self._tasks.add(task)
            try:
                await self._relay(reader, writer, source, target, port)
            except (OSError, EOFError, errors.RagwortchuteError, TimeoutError):
                pass
            finally:
                self._tasks.discard(task)
                writer.close()

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        self._servers.append(server)
        return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        target: str,
        port: int,
    ) -> None:
        initial_frame = b''
        if not source:
            async with asyncio.timeout(_HELLO_TIMEOUT_S):
                mac, payload = await frames.read(reader, _MAX_HELLO_BYTES)
            hello = self._codec.decode(payload[_PAYLOAD_HEADER_BYTES:])
            if not isinstance(hello, wire.Hello):
                return
            source = hello.host
            initial_frame = len(payload).to_bytes(4, 'big') + mac + payload
        link = frozenset((source, target))
        if await self._wait_while_cut(link):
            return
        peer_reader, peer_writer = await asyncio.open_connection(
            '127.0.0.1', port
        )
        try:
            peer_writer.write(initial_frame)
            pumps = [
                asyncio.ensure_future(self._pump(reader, peer_writer, link)),
                asyncio.ensure_future(self._pump(peer_reader, writer, link)),
            ]
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
                await asyncio.gather(*pumps, return_exceptions=True)
        finally:
            peer_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: frozenset[str],
    ) -> None:
        regions = {self._regions.get(name, '') for name in link}
        crosses_regions = len(regions - {''}) > 1
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if await self._wait_while_cut(link):
                    return
                if crosses_regions and self.marker and self.marker in data:
                    self.marker_hits += 1
                writer.write(data)
                await writer.drain()

    async def _wait_while_cut(self, link: frozenset[str]) -> bool:
        """Waits while the link is cut; returns whether it was cut."""
        if link not in self._cut_links:
            return False
        await self._healed.wait()
        return True
