"""Bound on the bytes of request bodies that a host holds at the same time.

Load: bodies may be as long as the configuration allows, on any number of
connections, while the memory of a host is a few times that length. A body
for which no memory is left is not read on until others have ended.
"""

import asyncio
import collections


class Reservation:
    """Memory that is reserved for one body.

    Attributes:
        size_bytes: Reserved bytes.
    """

    __slots__ = ('size_bytes',)

    def __init__(self) -> None:
        self.size_bytes = 0


class BodyBudget:
    """Reserves memory for bodies in the order in which it is asked for.

    One body at a time may exceed the limit, so that bodies that grow while they
    arrive don't wait for the memory that each other holds. All bodies together
    take at most the limit and the length of the longest one.

    Args:
        limit_bytes: Bytes that may be reserved at the same time.

    Attributes:
        used_bytes: Reserved bytes of all bodies.
    """

    __slots__ = ('_exempt', '_limit_bytes', '_waiting', 'used_bytes')

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._exempt: Reservation | None = None
        self._waiting: collections.deque[
            tuple[Reservation, int, asyncio.Future[None]]
        ] = collections.deque()
        self.used_bytes = 0

    def extend(
        self, reservation: Reservation, size_bytes: int
    ) -> asyncio.Future[None] | None:
        """Reserves more memory for a body.

        Args:
            reservation: Reservation of the body.
            size_bytes: Bytes to add to it.

        Returns:
            None if they are reserved, else a future that is done once they are.
        """
        waits = self._waiting and reservation is not self._exempt
        if not waits and self._may_grant(reservation, size_bytes):
            self._grant(reservation, size_bytes)
            return None
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append((reservation, size_bytes, fut))
        return fut

    def shrink(self, reservation: Reservation, size_bytes: int) -> None:
        """Reduces a reservation to a length, unless it is shorter."""
        unused_bytes = reservation.size_bytes - size_bytes
        if unused_bytes <= 0:
            return
        self.used_bytes -= unused_bytes
        reservation.size_bytes = size_bytes
        if reservation is self._exempt and not size_bytes:
            self._exempt = None
        self._grant_waiting()

    def withdraw(self, reservation: Reservation) -> None:
        """Ends the wait of a reservation for more memory."""
        self._waiting = collections.deque(
            item for item in self._waiting if item[0] is not reservation
        )
        self._grant_waiting()

    def _grant_waiting(self) -> None:
        while self._waiting and self._may_grant(*self._waiting[0][:2]):
            reservation, size_bytes, fut = self._waiting.popleft()
            self._grant(reservation, size_bytes)
            fut.set_result(None)

    def _may_grant(self, reservation: Reservation, size_bytes: int) -> bool:
        return (
            self.used_bytes + size_bytes <= self._limit_bytes
            or self._exempt is None
            or self._exempt is reservation
        )

    def _grant(self, reservation: Reservation, size_bytes: int) -> None:
        self.used_bytes += size_bytes
        reservation.size_bytes += size_bytes
        if self.used_bytes > self._limit_bytes:
            self._exempt = reservation
