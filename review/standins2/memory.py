"""The part of the platform that ends a process beyond its memory."""

import asyncio
import pathlib

import deployment


class Platform:
    """Watches the memory of a process and ends it beyond its limit.

    Args:
        host: The process.
        record: Record of the case.
        memory_mb: Its limit; the larger reading of a megabyte counts.
        unread_ports: Ports of its servers, if what the kernel has received for
            it and it has not read counts as well; else only resident memory.

    Attributes:
        peak_mb: Most memory that counted.
        killed: Whether the process was ended.
    """

    def __init__(
        self,
        host: deployment.Host,
        record: deployment.Record,
        memory_mb: float,
        unread_ports: set[int] | None = None,
    ) -> None:
        self._host = host
        self._record = record
        self._limit_mb = memory_mb * (1 << 20) / 1e6
        self._ports = unread_ports
        self.peak_mb = 0.0
        self.killed = False

    async def run(self) -> None:
        """Looks every 100 ms until the process has ended."""
        noted_mb = 0.0
        while self._host.running:
            rss_mb, private_mb = self._host.memory_mb()
            unread_mb = 0.0 if self._ports is None else self._unread_mb()
            counted_mb = rss_mb + unread_mb
            self.peak_mb = max(self.peak_mb, counted_mb)
            ends = counted_mb > self._limit_mb
            if ends or counted_mb > noted_mb + 10:
                noted_mb = counted_mb
                self._record.note(
                    f'memory: {rss_mb:.1f} MB resident, {private_mb:.1f} MB '
                    f'of these private; {unread_mb:.1f} MB unread'
                )
            if ends:
                self.killed = True
                self._record.note(
                    f'beyond {self._limit_mb:.1f} MB: the platform ends it'
                )
                self._host.kill()
                return
            await asyncio.sleep(0.1)

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
