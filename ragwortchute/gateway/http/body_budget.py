"""Bound on the bytes of request bodies that a host holds at the same time.

Load: bodies may be as long as the configuration allows, on any number of
connections, while the memory of a host is a few times that length. A body
for which no memory is left is not read on until others have ended.
"""

import asyncio
from collections import abc

from ragwortchute.gateway.resources import limits


class Reservation:
    """Memory that is reserved for one body.

    Attributes:
        size_bytes: Reserved bytes.
        short_bytes: Those of the memory that only short bodies may take.
    """

    __slots__ = ('short_bytes', 'size_bytes')

    def __init__(self) -> None:
        self.size_bytes = 0
        self.short_bytes = 0


class BodyBudget:
    """Reserves memory for bodies in the order in which it is asked for.

    One body at a time may exceed the limit, so that bodies that grow while they
    arrive don't wait for the memory that each other holds. All bodies together
    take at most the limit and the length of the longest one.

    Args:
        limit_bytes: Bytes that may be reserved at the same time.
        short_limit_bytes: Bytes that only short bodies may take in addition.
        on_wait: Called when a body has to wait.

    Attributes:
        limit_bytes: Bytes that may be reserved beside a body that exceeds the
            limit.
        short_limit_bytes: Bytes that only short bodies may take in addition.
        most_bytes: Bytes that may be reserved while no body exceeds this.
        used_bytes: Reserved bytes of all bodies.
    """

    __slots__ = (
        '_exempt',
        '_on_wait',
        '_short_bytes',
        'short_limit_bytes',
        '_waiting',
        'limit_bytes',
        'most_bytes',
        'used_bytes',
    )

    def __init__(
        self,
        limit_bytes: int,
        short_limit_bytes: int = 0,
        on_wait: abc.Callable[[], None] | None = None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.most_bytes = limit_bytes
        self.short_limit_bytes = short_limit_bytes
        self._on_wait = on_wait
        self._exempt: Reservation | None = None
        self._waiting: dict[Reservation, tuple[int, asyncio.Future[None]]] = {}
        self._short_bytes = 0
        self.used_bytes = 0

    @property
    def has_waiting(self) -> bool:
        """Whether a body waits for memory."""
        return bool(self._waiting)

    def extend(
        self, reservation: Reservation, size_bytes: int
    ) -> asyncio.Future[None] | None:
        """Reserves more memory for a body.

        Args:
            reservation: Reservation of the body, which does not wait.
            size_bytes: Bytes to add to it.

        Returns:
            None if they are reserved, else a future that is done once they are.
        """
        if self._extend_short(reservation, size_bytes):
            return None
        waits = self._waiting and reservation is not self._exempt
        if not waits and self._may_grant(reservation, size_bytes):
            self._grant(reservation, size_bytes)
            return None
        fut = asyncio.get_running_loop().create_future()
        self._waiting[reservation] = size_bytes, fut
        if self._on_wait is not None:
            self._on_wait()
        return fut

    def shrink(self, reservation: Reservation, size_bytes: int) -> None:
        """Reduces a reservation to a length, unless it is shorter."""
        unused_bytes = reservation.size_bytes - size_bytes
        if unused_bytes <= 0:
            return
        self.used_bytes -= unused_bytes
        reservation.size_bytes = size_bytes
        unused_short_bytes = max(0, reservation.short_bytes - size_bytes)
        reservation.short_bytes -= unused_short_bytes
        self._short_bytes -= unused_short_bytes
        if reservation is self._exempt and not size_bytes:
            self._exempt = None
        self._grant_waiting()

    def withdraw(self, reservation: Reservation) -> None:
        """Ends the wait of a reservation for more memory."""
        if self._waiting.pop(reservation, None) is not None:
            self._grant_waiting()

    def _extend_short(self, reservation: Reservation, size_bytes: int) -> bool:
        """Takes memory for short bodies; returns whether there was enough."""
        is_short = (
            reservation.size_bytes + size_bytes <= limits.SHORT_BODY_BYTES
        )
        is_left = self._short_bytes + size_bytes <= self.short_limit_bytes
        if not (is_short and is_left):
            return False
        self._short_bytes += size_bytes
        reservation.short_bytes += size_bytes
        reservation.size_bytes += size_bytes
        self.used_bytes += size_bytes
        return True

    def _grant_waiting(self) -> None:
        while self._waiting:
            reservation, (size_bytes, fut) = next(iter(self._waiting.items()))
            if not self._may_grant(reservation, size_bytes):
                return
            del self._waiting[reservation]
            self._grant(reservation, size_bytes)
            fut.set_result(None)

    def _may_grant(self, reservation: Reservation, size_bytes: int) -> bool:
        if self._exempt is reservation:
            return True
        long_bytes = self.used_bytes - self._short_bytes
        if self._exempt is not None:
            return long_bytes + size_bytes <= self.limit_bytes
        own_bytes = reservation.size_bytes - reservation.short_bytes
        return (
            long_bytes + size_bytes <= self.most_bytes
            or long_bytes - own_bytes <= self.limit_bytes
        )

    def _grant(self, reservation: Reservation, size_bytes: int) -> None:
        self.used_bytes += size_bytes
        reservation.size_bytes += size_bytes
        if self.used_bytes - self._short_bytes > self.most_bytes:
            self._exempt = reservation
