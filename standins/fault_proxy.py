"""TCP proxy on loopback that delays, resets, silences or cuts one way."""

import asyncio
import contextlib

_CHUNK_BYTES = 65536


class FaultProxy:
    """Passes connections on to one address.

    Attributes:
        port: Port that it listens on.
        delay_s: Delay of each chunk.
        silent: While true, no byte passes and connections stay open.
        one_way: While true, no byte passes towards the one who connected.
    """

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self._port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.delay_s = 0.0
        self.silent = False
        self.one_way = False

    async def start(self) -> None:
        """Starts to listen; `port` tells where."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Resets all connections and stops to listen."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Ends all faults."""
        self.delay_s = 0.0
        self.silent = False
        self.one_way = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._ip, self._port
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, False)),
            asyncio.create_task(self._pump(far_reader, writer, True)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            for one in (writer, far_writer):
                self._writers.discard(one)
                one.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        back: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.silent or (self.one_way and back):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
