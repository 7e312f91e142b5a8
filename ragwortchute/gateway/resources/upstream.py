"""Connections to targets and other hosts, which share the descriptors.

Load: when many requests arrive at the same time, each health request finds no
idle connection and opens one. Without a bound, 60 callers made a host hold more
than 500 connections, most of them idle.
"""

import asyncio
import collections
from collections import abc
import typing

# No target keeps idle connections for as long as this.
MAX_IDLE_S = 30.0


class Connection(typing.Protocol):
    """A connection to a target or another host.

    Attributes:
        idle_since_s: Loop time at which its last response was complete.
    """

    idle_since_s: float

    def abort(self) -> None:
        """Closes the connection immediately."""


class Slot:
    """Place of a connection that is open or being opened."""

    __slots__ = ()


class Upstream:
    """Bounds the connections to targets and other hosts.

    Args:
        limit: Returns the number of connections that may be open.

    Attributes:
        on_shortage: Called when a connection is refused.
    """

    __slots__ = ('_idle', '_limit', '_open', 'on_shortage')

    def __init__(self, limit: abc.Callable[[], int]) -> None:
        self._limit = limit
        self._idle: collections.OrderedDict[Connection, None] = (
            collections.OrderedDict()
        )
        self._open: set[Slot] = set()
        self.on_shortage: abc.Callable[[], None] | None = None

    @property
    def used(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open)

    @property
    def pressure(self) -> float:
        """Share of the connections that are in use, at least 0."""
        return (self.used - len(self._idle)) / max(1, self._limit())

    def close_idle(self) -> bool:
        """Closes the longest idle connection if no place is left.

        Returns:
            Whether one is being closed. Its place is free once the loop has
            run the callbacks that are due.
        """
        return self.used >= self._limit() and self.close_longest_idle()

    def close_longest_idle(self) -> bool:
        """Closes the longest idle connection, as `close_idle` does.

        Returns:
            Whether there was one.
        """
        if not self._idle:
            return False
        conn, _ = self._idle.popitem(last=False)
        conn.abort()
        return True

    def take(self, *, essential: bool = False) -> Slot | None:
        """Counts a connection that is about to be opened.

        Args:
            essential: Whether it may take a reserved descriptor.

        Returns:
            Its place, to be returned by `end`; None if there is none.
        """
        if self.used >= self._limit() and not essential:
            if self.on_shortage is not None:
                self.on_shortage()
            return None
        slot = Slot()
        self._open.add(slot)
        return slot

    def end(self, slot: Slot) -> None:
        """Counts a connection that is closed or could not be opened.

        A second call has no effect.
        """
        self._open.discard(slot)

    def note_idle(self, conn: Connection) -> None:
        """Notes that a connection has become idle."""
        self._idle[conn] = None
        self._idle.move_to_end(conn)

    def note_busy(self, conn: Connection) -> None:
        """Notes that a connection carries a request."""
        self._idle.pop(conn, None)

    def prune(self) -> None:
        """Closes connections that have been idle for too long."""
        oldest_s = asyncio.get_running_loop().time() - MAX_IDLE_S
        while self._idle:
            conn = next(iter(self._idle))
            if conn.idle_since_s > oldest_s:
                return
            del self._idle[conn]
            conn.abort()
