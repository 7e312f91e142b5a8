"""Body of a request while it arrives, and the memory reserved for it."""

import asyncio
from collections import abc

from ragwortchute.gateway.http import body_budget

# Bodies up to this length need no reservation.
SMALL_BODY_BYTES = 64 << 10
# Parts below this length are joined as they arrive: a body in chunks of a byte
# would take an object and a pointer for each.
SMALL_PART_BYTES = 4 << 10
JOINED_BYTES = 64 << 10


class BodyReader:
    """Collects the parts of a body.

    Args:
        budget: Memory for bodies.
        on_reserved: Called when a body that had to wait may be read on.

    Attributes:
        has_long_parts: Whether the last part was not small.
        size_bytes: Length of the body so far.
    """

    __slots__ = (
        '_budget',
        '_joined',
        '_on_reserved',
        '_parts',
        '_reservation',
        '_waiter',
        'has_long_parts',
        'size_bytes',
    )

    def __init__(
        self,
        budget: body_budget.BodyBudget,
        on_reserved: abc.Callable[[], None],
    ) -> None:
        self._budget = budget
        self._on_reserved = on_reserved
        self._parts: list[bytes] = []
        # Small parts that have arrived last.
        self._joined = bytearray()
        self._reservation = body_budget.Reservation()
        self._waiter: asyncio.Future[None] | None = None
        self.has_long_parts = False
        self.size_bytes = 0

    @property
    def waiting(self) -> bool:
        """Whether the rest of the body must wait for memory."""
        return self._waiter is not None

    @property
    def outgrown(self) -> bool:
        """Whether the body is longer than what is reserved."""
        reserved_bytes = max(SMALL_BODY_BYTES, self._reservation.size_bytes)
        return self.size_bytes > reserved_bytes

    def expect(self, size_bytes: int) -> None:
        """Reserves memory for a body, unless it is small.

        Args:
            size_bytes: Length that it will have.
        """
        missing_bytes = size_bytes - self._reservation.size_bytes
        if size_bytes <= SMALL_BODY_BYTES or missing_bytes <= 0 or self.waiting:
            return
        self._waiter = self._budget.extend(self._reservation, missing_bytes)
        if self._waiter is not None:
            self._waiter.add_done_callback(self._note_reserved)

    def add(self, part: bytes) -> None:
        """Adds a part."""
        self.size_bytes += len(part)
        self.has_long_parts = len(part) >= SMALL_PART_BYTES
        if not self.has_long_parts:
            self._joined += part
            if len(self._joined) >= JOINED_BYTES:
                self._end_joined()
        else:
            self._end_joined()
            self._parts.append(part)

    def take(self) -> tuple[list[bytes], body_budget.Reservation]:
        """Returns the parts of the complete body and their reservation.

        The caller must release it. The reader is empty afterwards.
        """
        self._end_wait()
        self._end_joined()
        self._budget.shrink(self._reservation, self.size_bytes)
        taken = self._parts, self._reservation
        self._parts = []
        self._reservation = body_budget.Reservation()
        self.has_long_parts = False
        self.size_bytes = 0
        return taken

    def clear(self) -> None:
        """Drops the body and releases its memory."""
        self._end_wait()
        self._parts = []
        self._joined.clear()
        self.has_long_parts = False
        self.size_bytes = 0
        self._budget.shrink(self._reservation, 0)

    @property
    def reserved_bytes(self) -> int:
        """Bytes that are reserved for the body."""
        return self._reservation.size_bytes

    @property
    def unreserved_bytes(self) -> int:
        """Bytes of a body without a reservation."""
        return 0 if self._reservation.size_bytes else self.size_bytes

    def _end_joined(self) -> None:
        if self._joined:
            self._parts.append(bytes(self._joined))
            self._joined.clear()

    def _end_wait(self) -> None:
        if self._waiter is not None:
            self._waiter = None
            self._budget.withdraw(self._reservation)

    def _note_reserved(self, fut: asyncio.Future[None]) -> None:
        if fut is self._waiter:
            self._waiter = None
            self._on_reserved()
