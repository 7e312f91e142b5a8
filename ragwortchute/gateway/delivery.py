"""How much of what was written to a connection has reached its peer."""

import asyncio
import fcntl
import struct
import termios

_COUNT = struct.Struct('i')


class Delivery:
    """Progress of a connection in delivering what was written to it.

    The kernel takes bytes long before the peer has them, so the bytes that the
    peer has not acknowledged count as undelivered, too.

    Args:
        transport: Transport of the connection.
        now_s: Loop time in seconds.

    Attributes:
        progress_s: Loop time at which progress was last noted, in seconds.
        unsent_bytes: Bytes that the kernel had not taken then.
        unacknowledged_bytes: Bytes that the peer had not acknowledged then,
            besides these.
    """

    __slots__ = (
        '_transport',
        'progress_s',
        'unacknowledged_bytes',
        'unsent_bytes',
    )

    def __init__(self, transport: asyncio.Transport, now_s: float) -> None:
        self._transport = transport
        self.progress_s = now_s
        self.unsent_bytes = 0
        self.unacknowledged_bytes = 0

    @property
    def complete(self) -> bool:
        """Whether the peer had acknowledged everything at the last update."""
        return not self.unsent_bytes and not self.unacknowledged_bytes

    def update(self, now_s: float, *, closed: bool) -> None:
        """Notes what is undelivered, and whether that has changed.

        Args:
            now_s: Loop time in seconds.
            closed: Whether the sending side has been shut down. The kernel
                counts its end as a byte.
        """
        before = self.unsent_bytes, self.unacknowledged_bytes
        self.unsent_bytes = self._transport.get_write_buffer_size()
        end_bytes = 1 if closed and not self.unsent_bytes else 0
        self.unacknowledged_bytes = max(0, self._outq_bytes() - end_bytes)
        if (self.unsent_bytes, self.unacknowledged_bytes) != before:
            self.progress_s = now_s

    def _outq_bytes(self) -> int:
        """Returns the length of the kernel's send queue; 0 if it is unknown."""
        sock = self._transport.get_extra_info('socket')
        if sock is None or sock.fileno() < 0:
            return 0
        try:
            buf = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _COUNT.pack(0))
        except OSError:
            # Not every kind of socket has this request.
            return 0
        return _COUNT.unpack(buf)[0]
