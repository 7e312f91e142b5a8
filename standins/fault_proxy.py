"""TCP proxy on loopback that delays, slows, blocks or resets connections."""

import asyncio
import contextlib

_CHUNK_BYTES = 65536


class Link:
    """One direction of a link that several proxies share.

    Args:
        bytes_per_s: What it transfers per second.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0

    async def transfer(self, size: int) -> None:
        """Waits until a number of bytes has passed after all earlier ones."""
        now_s = asyncio.get_running_loop().time()
        self._free_s = max(now_s, self._free_s) + size / self._bytes_per_s
        await asyncio.sleep(self._free_s - now_s)


class FaultProxy:
    """Forwards connections to one address and injects faults.

    Args:
        ip: IP address of the upstream server.
        port: Port of the upstream server.
        link: Link to the client; None for one without a limit.

    Attributes:
        port: Listening port; 0 before `start`.
        delay_s: Delay of each forwarded chunk, in seconds.
        silent: While true, nothing is forwarded in either direction and
            connections stay open.
        one_way: While true, nothing is forwarded to the client.
    """

    def __init__(self, ip: str, port: int, link: Link | None = None) -> None:
        self._link = link
        self._upstream_ip = ip
        self._upstream_port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.delay_s = 0.0
        self.silent = False
        self.one_way = False

    async def start(self) -> None:
        """Starts listening and sets `port`."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Clears all faults."""
        self.delay_s = 0.0
        self.silent = False
        self.one_way = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self._upstream_ip, self._upstream_port
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(upstream_writer)
        pumps = [
            asyncio.create_task(self._pump(reader, upstream_writer, False)),
            asyncio.create_task(self._pump(upstream_reader, writer, True)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            for each_writer in (writer, upstream_writer):
                self._writers.discard(each_writer)
                each_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_client: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self._link is not None and to_client:
                    await self._link.transfer(len(data))
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.silent or (self.one_way and to_client):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
