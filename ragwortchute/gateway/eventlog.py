"""Structured log lines on standard output, bounded and never blocking.

Each line is one JSON object. Lines are collected and written together; what a
full pipe or the rate limit keeps back is counted and the count is logged.
"""

import os
import sys
import time
import traceback

import msgspec

RATE_PER_S = 400.0  # lines; about 80 KB/s
BURST_LINES = 800.0
MAX_BUFFER_BYTES = 1 << 18
FLUSH_S = 0.2


class EventLog:
    """Writes events as JSON lines.

    Args:
        host: Name of this host, part of each line.
        fd: File descriptor to write to; it is set to non-blocking.
    """

    __slots__ = (
        '_allowance',
        '_buffer',
        '_dropped',
        '_encoder',
        '_fd',
        '_host',
        '_refilled_s',
        '_size',
    )

    def __init__(self, host: str, fd: int | None = None) -> None:
        self._host = host
        self._fd = sys.stdout.fileno() if fd is None else fd
        os.set_blocking(self._fd, False)
        self._encoder = msgspec.json.Encoder()
        self._buffer: list[bytes] = []
        self._size = 0
        self._dropped = 0
        self._allowance = BURST_LINES
        self._refilled_s = time.monotonic()

    def event(self, kind: str, **fields: object) -> None:
        """Adds a line, unless the rate or the buffer is exhausted."""
        now_s = time.monotonic()
        gained = (now_s - self._refilled_s) * RATE_PER_S
        self._refilled_s = now_s
        self._allowance = min(BURST_LINES, self._allowance + gained)
        if self._allowance < 1 or self._size > MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        self._allowance -= 1
        self._add(kind, fields)

    def failure(self, kind: str, subject: str) -> None:
        """Adds a line with the exception that is being handled."""
        text = traceback.format_exc(limit=-6)
        self.event('error', step=kind, subject=subject, trace=text)

    def flush(self) -> None:
        """Writes what has been collected, as far as the pipe takes it."""
        if self._dropped and self._size <= MAX_BUFFER_BYTES:
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
            # Nobody reads the log any more.
            self._dropped += len(self._buffer)
            written = len(data)
        rest = data[written:]
        self._buffer = [rest] if rest else []
        self._size = len(rest)

    def _add(self, kind: str, fields: dict[str, object]) -> None:
        line = {'t': round(time.time(), 3), 'host': self._host, 'event': kind}
        line.update(fields)
        data = self._encoder.encode(line) + b'\n'
        self._buffer.append(data)
        self._size += len(data)
