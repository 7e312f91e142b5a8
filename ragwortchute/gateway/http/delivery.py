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

    Attributes:
        complete: Whether the peer had acknowledged everything at the last
            update, and nothing was written since.
        progress_s: Loop time of the last write or noted progress, in seconds;
            minus infinity before.
        unsent_bytes: Bytes that the kernel had not taken at the last update.
        unacknowledged_bytes: Bytes that the peer had not acknowledged then,
            besides these.
    """

    __slots__ = (
        '_transport',
        'complete',
        'progress_s',
        'unacknowledged_bytes',
        'unsent_bytes',
    )

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self.complete = True
        self.progress_s = float('-inf')
        self.unsent_bytes = 0
        self.unacknowledged_bytes = 0

    def note_write(self, now_s: float) -> None:
        """Notes that something was written."""
        self.complete = False
        self.progress_s = now_s

    def update_unsent(self, now_s: float) -> None:
        """Notes whether the kernel has taken more of what was written."""
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes != self.unsent_bytes:
            self.unsent_bytes = unsent_bytes
            self.progress_s = now_s

    def update(self, now_s: float, *, closed: bool) -> None:
        """Notes whether the peer has received more of what was written.

        Args:
            now_s: Loop time in seconds.
            closed: Whether the sending side has been shut down. The kernel
                counts its end as a byte.
        """
        if self.complete:
            return
        self.update_unsent(now_s)
        end_bytes = 1 if closed and not self.unsent_bytes else 0
        unacknowledged_bytes = max(0, self._outq_bytes() - end_bytes)
        if unacknowledged_bytes != self.unacknowledged_bytes:
            self.unacknowledged_bytes = unacknowledged_bytes
            self.progress_s = now_s
        self.complete = not self.unsent_bytes and not unacknowledged_bytes

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
