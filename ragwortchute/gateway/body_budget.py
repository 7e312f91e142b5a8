"""Bound on the bytes of request bodies that a host holds at the same time.

Load: bodies may be as long as the configuration allows, on any number of
connections, while the memory of a host is a few times that length. A body
that finds no room is not read on until others have ended.
"""

import asyncio
import collections


class Room:
    """Room that one body takes.

    Attributes:
        size_bytes: Bytes that are granted.
    """

    __slots__ = ('size_bytes',)

    def __init__(self) -> None:
        self.size_bytes = 0


class BodyBudget:
    """Grants room for bodies in the order in which it is asked for.

    One body at a time may exceed the limit, so that bodies that grow while they
    arrive don't wait for the room that each other holds. All bodies together
    take at most the limit and the length of the longest one.

    Args:
        limit_bytes: Bytes that may be granted at the same time.

    Attributes:
        used_bytes: Bytes that are granted.
    """

    __slots__ = ('_exempt', '_limit_bytes', '_waiting', 'used_bytes')

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._exempt: Room | None = None
        self._waiting: collections.deque[
            tuple[Room, int, asyncio.Future[None]]
        ] = collections.deque()
        self.used_bytes = 0

    def acquire(
        self, room: Room, size_bytes: int
    ) -> asyncio.Future[None] | None:
        """Asks for more room for a body.

        Args:
            room: Room of the body.
            size_bytes: Bytes to add to it.

        Returns:
            None if it is granted, else a future that is done once it is.
        """
        waits = self._waiting and room is not self._exempt
        if not waits and self._may_grant(room, size_bytes):
            self._grant(room, size_bytes)
            return None
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append((room, size_bytes, fut))
        return fut

    def release(self, room: Room, size_bytes: int) -> None:
        """Gives a part of the room of a body back, or all of it."""
        self.used_bytes -= size_bytes
        room.size_bytes -= size_bytes
        if room is self._exempt and not room.size_bytes:
            self._exempt = None
        self._grant_waiting()

    def withdraw(self, room: Room) -> None:
        """Ends the wait of a room for more."""
        self._waiting = collections.deque(
            item for item in self._waiting if item[0] is not room
        )
        self._grant_waiting()

    def _grant_waiting(self) -> None:
        while self._waiting and self._may_grant(*self._waiting[0][:2]):
            room, size_bytes, fut = self._waiting.popleft()
            self._grant(room, size_bytes)
            fut.set_result(None)

    def _may_grant(self, room: Room, size_bytes: int) -> bool:
        return (
            self.used_bytes + size_bytes <= self._limit_bytes
            or self._exempt is None
            or self._exempt is room
        )

    def _grant(self, room: Room, size_bytes: int) -> None:
        self.used_bytes += size_bytes
        room.size_bytes += size_bytes
        if self.used_bytes > self._limit_bytes:
            self._exempt = room
