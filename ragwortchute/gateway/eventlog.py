"""Structured, rate-limited and non-blocking log on standard output.

Each line is one JSON object. Lines are buffered and written together. Lines
that are dropped by the rate limit or because the pipe is full are counted by
kind, and the counts are logged.

Each kind of line has a rate of its own, which no other kind can take. Beyond
it, the kinds share a greater rate, except those that callers can cause without
a valid request.
"""

import collections
import os
import sys
import time
import traceback

import msgspec

LINES_PER_S = 400.0  # about 80 KB/s
BURST_LINES = 800.0
# Rate and burst of each kind. Its lines count towards the shared rate as well.
# In the rate of its kind, a line counts once for each `LINE_BYTES` of its
# length: a `cut` line may have 20 KB.
KIND_LINES_PER_S = 20.0
KIND_BURST_LINES = 100.0
LINE_BYTES = 512
# Kinds that have no part in the shared rate.
UNSHARED_KINDS = frozenset({'close-failed', 'rejected'})
MAX_BUFFER_BYTES = 1 << 18
# Further bytes of the buffer for lines within the rate of their kind.
KINDS_BYTES = 1 << 16
FLUSH_S = 0.2
# Kind under which buffered lines are counted that could not be written since
# the reader has closed the pipe.
UNWRITTEN = 'unwritten'


class _Rate:
    """Token bucket of lines.

    Args:
        lines_per_s: Lines a second.
        burst_lines: Lines at once.
        now_s: Monotonic time in seconds.

    Attributes:
        lines: Lines that may be written now.
    """

    __slots__ = ('_burst_lines', '_lines_per_s', '_refilled_s', 'lines')

    def __init__(
        self, lines_per_s: float, burst_lines: float, now_s: float
    ) -> None:
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._refilled_s = now_s
        self.lines = burst_lines

    def refill(self, now_s: float) -> None:
        """Adds the lines of the time since the last call."""
        added = (now_s - self._refilled_s) * self._lines_per_s
        self._refilled_s = now_s
        self.lines = min(self._burst_lines, self.lines + added)


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
        '_kinds',
        '_shared',
    )

    def __init__(self, host: str, fd: int | None = None) -> None:
        self._host = host
        self._fd = sys.stdout.fileno() if fd is None else fd
        os.set_blocking(self._fd, False)
        self._encoder = msgspec.json.Encoder()
        self._buffer: list[bytes] = []
        self._buffer_bytes = 0
        # Lines dropped since the last `log-dropped` line, by kind.
        self._dropped: collections.Counter[str] = collections.Counter()
        self._shared = _Rate(LINES_PER_S, BURST_LINES, time.monotonic())
        self._kinds: dict[str, _Rate] = {}

    def event(self, kind: str, **fields: object) -> None:
        """Adds a line, or drops it if the rate or buffer limit is reached."""
        now_s = time.monotonic()
        shared = self._shared
        shared.refill(now_s)
        own = self._kinds.get(kind)
        if own is None:
            own = _Rate(KIND_LINES_PER_S, KIND_BURST_LINES, now_s)
            self._kinds[kind] = own
        own.refill(now_s)
        if own.lines >= 1 and self._buffer_bytes <= (
            MAX_BUFFER_BYTES + KINDS_BYTES
        ):
            size_bytes = self._add(kind, fields)
            own.lines -= max(1.0, size_bytes / LINE_BYTES)
            # It counts in the shared rate, which bounds most of the total.
            shared.lines = max(-BURST_LINES, shared.lines - 1)
        elif (
            shared.lines >= 1
            and self._buffer_bytes <= MAX_BUFFER_BYTES
            and kind not in UNSHARED_KINDS
        ):
            shared.lines -= 1
            self._add(kind, fields)
        else:
            self._dropped[kind] += 1

    def failure(self, kind: str, subject: str) -> None:
        """Adds a line with the traceback of the exception being handled."""
        text = traceback.format_exc(limit=-6)
        self.event('error', step=kind, subject=subject, trace=text)

    def flush(self) -> None:
        """Writes as much of the buffer as the pipe accepts."""
        if self._dropped and self._buffer_bytes <= MAX_BUFFER_BYTES:
            dropped, self._dropped = self._dropped, collections.Counter()
            self._add(
                'log-dropped',
                {'lines': dropped.total(), 'kinds': dict(dropped)},
            )
        if not self._buffer:
            return
        data = b''.join(self._buffer)
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe.
            self._dropped[UNWRITTEN] += len(self._buffer)
            written = len(data)
        rest = data[written:]
        self._buffer = [rest] if rest else []
        self._buffer_bytes = len(rest)

    def _add(self, kind: str, fields: dict[str, object]) -> int:
        """Adds a line to the buffer and returns its length."""
        line = {'t': round(time.time(), 3), 'host': self._host, 'event': kind}
        line.update(fields)
        data = self._encoder.encode(line) + b'\n'
        self._buffer.append(data)
        self._buffer_bytes += len(data)
        return len(data)
