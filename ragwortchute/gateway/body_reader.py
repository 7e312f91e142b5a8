"""Body of a request while it arrives, and the memory reserved for it."""

import asyncio
from collections import abc

from ragwortchute.gateway import body_budget

# Bodies up to this length need no reservation.
SMALL_BODY_BYTES = 64 << 10


class BodyReader:
    """Collects the parts of a body.

    Args:
        budget: Memory for bodies.
        on_reserved: Called when a body that had to wait may be read on.

    Attributes:
        size_bytes: Length of the body so far.
    """

    __slots__ = (
        '_budget',
        '_on_reserved',
        '_parts',
        '_reservation',
        '_waiter',
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
        self._reservation = body_budget.Reservation()
        self._waiter: asyncio.Future[None] | None = None
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
        self._parts.append(part)
        self.size_bytes += len(part)

    def take(self) -> tuple[list[bytes], body_budget.Reservation]:
        """Returns the parts of the complete body and their reservation.

        The caller must release it. The reader is empty afterwards.
        """
        self._end_wait()
        self._budget.shrink(self._reservation, self.size_bytes)
        taken = self._parts, self._reservation
        self._parts = []
        self._reservation = body_budget.Reservation()
        self.size_bytes = 0
        return taken

    def clear(self) -> None:
        """Drops the body and releases its memory."""
        self._end_wait()
        self._parts = []
        self.size_bytes = 0
        self._budget.shrink(self._reservation, 0)

    def _end_wait(self) -> None:
        if self._waiter is not None:
            self._waiter = None
            self._budget.withdraw(self._reservation)

    def _note_reserved(self, fut: asyncio.Future[None]) -> None:
        if fut is self._waiter:
            self._waiter = None
            self._on_reserved()
