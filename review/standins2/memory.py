"""The part of the platform that ends a process beyond its memory."""

import asyncio
import pathlib

import deployment


class Platform:
    """Watches the memory of a process and ends it beyond its limit."""

    def __init__(
        self,
        host: deployment.Host,
        record: deployment.Record,
        memory_mb: float,
        ports: set[int],
    ) -> None:
        self._host = host
        self._record = record
        self._memory_mb = memory_mb
        self._ports = ports
        self.peak_mb = 0.0
        self.killed = False

    async def run(self) -> None:
        """Looks every 50 ms until the process has ended."""
        noted_mb = 0.0
        while self._host.running:
            rss_mb, private_mb = self._host.memory_mb()
            self.peak_mb = max(self.peak_mb, rss_mb)
            if rss_mb > self._memory_mb or rss_mb > noted_mb + 10:
                noted_mb = rss_mb
                self._record.note(
                    f'memory: {rss_mb:.1f} MB resident, {private_mb:.1f} MB '
                    f'of these private; {self._unread_mb():.1f} MB unread'
                )
            if rss_mb > self._memory_mb:
                self.killed = True
                self._record.note(
                    f'beyond {self._memory_mb} MB: the platform ends it'
                )
                self._host.kill()
                return
            await asyncio.sleep(0.05)

    def _unread_mb(self) -> float:
        """Returns what the kernel has received for the host."""
        own = ''.join(
            f'{int(part):02X}' for part in reversed(self._host.ip.split('.'))
        )
        total = 0
        for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
            fields = line.split()
            if (
                fields[1].startswith(own)
                or int(fields[2].split(':')[1], 16) in self._ports
            ):
                total += int(fields[4].split(':')[1], 16)
        return total / 1e6
