"""Structured, rate-limited and non-blocking log on standard output.

Each line is one JSON object. Lines are buffered and written together. Lines
that are dropped by the rate limit or because the pipe is full are counted, and
the count is logged.
"""

import os
import sys
import time
import traceback

import msgspec

LINES_PER_S = 400.0  # about 80 KB/s
BURST_LINES = 800.0
MAX_BUFFER_BYTES = 1 << 18
FLUSH_S = 0.2


class EventLog:
    """Writes events as JSON lines.

    Args:
        host: Name of this host, included in each line.
        fd: File descriptor to write to, standard output by default; it is set
            to non-blocking mode.
    """

    __slots__ = (
        '_buffer',
        '_buffer_bytes',
        '_dropped',
        '_encoder',
        '_fd',
        '_host',
        '_last_refill_s',
        '_tokens',
    )

    def __init__(self, host: str, fd: int | None = None) -> None:
        self._host = host
        self._fd = sys.stdout.fileno() if fd is None else fd
        os.set_blocking(self._fd, False)
        self._encoder = msgspec.json.Encoder()
        self._buffer: list[bytes] = []
        self._buffer_bytes = 0
        self._dropped = 0
        self._tokens = BURST_LINES
        self._last_refill_s = time.monotonic()

    def event(self, kind: str, **fields: object) -> None:
        """Adds a line, or drops it if the rate or buffer limit is reached."""
        now_s = time.monotonic()
        refill = (now_s - self._last_refill_s) * LINES_PER_S
        self._last_refill_s = now_s
        self._tokens = min(BURST_LINES, self._tokens + refill)
        if self._tokens < 1 or self._buffer_bytes > MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        self._tokens -= 1
        self._add(kind, fields)

    def failure(self, kind: str, subject: str) -> None:
        """Adds a line with the traceback of the exception being handled."""
        text = traceback.format_exc(limit=-6)
        self.event('error', step=kind, subject=subject, trace=text)

    def flush(self) -> None:
        """Writes as much of the buffer as the pipe accepts."""
        if self._dropped and self._buffer_bytes <= MAX_BUFFER_BYTES:
            dropped, self._dropped = self._dropped, 0
            self._add('log-dropped', {'lines': dropped})
        if not self._buffer:
            return
        data = b''.join(self._buffer)
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe.
            self._dropped += len(self._buffer)
            written = len(data)
        rest = data[written:]
        self._buffer = [rest] if rest else []
        self._buffer_bytes = len(rest)

    def _add(self, kind: str, fields: dict[str, object]) -> None:
        line = {'t': round(time.time(), 3), 'host': self._host, 'event': kind}
        line.update(fields)
        data = self._encoder.encode(line) + b'\n'
        self._buffer.append(data)
        self._buffer_bytes += len(data)
