"""Body of a request while it arrives, and the room that it takes."""

import asyncio
from collections import abc

from ragwortchute.gateway import body_budget

# Bodies up to this length need no room of the budget.
SMALL_BODY_BYTES = 64 << 10


class BodyReader:
    """Collects the parts of a body.

    Args:
        budget: Room for bodies.
        on_room: Called when there is room for a body that had to wait.

    Attributes:
        size_bytes: Length of the body so far.
    """

    __slots__ = (
        '_budget',
        '_on_room',
        '_parts',
        '_room',
        '_waiter',
        'size_bytes',
    )

    def __init__(
        self, budget: body_budget.BodyBudget, on_room: abc.Callable[[], None]
    ) -> None:
        self._budget = budget
        self._on_room = on_room
        self._parts: list[bytes] = []
        self._room = body_budget.Room()
        self._waiter: asyncio.Future[None] | None = None
        self.size_bytes = 0

    @property
    def waiting(self) -> bool:
        """Whether the rest of the body must wait for room."""
        return self._waiter is not None

    @property
    def outgrown(self) -> bool:
        """Whether the body is longer than the room for it."""
        room_bytes = max(SMALL_BODY_BYTES, self._room.size_bytes)
        return self.size_bytes > room_bytes

    def expect(self, size_bytes: int) -> None:
        """Asks for the room for a body, unless it is small.

        Args:
            size_bytes: Length that it will have.
        """
        missing_bytes = size_bytes - self._room.size_bytes
        if size_bytes <= SMALL_BODY_BYTES or missing_bytes <= 0 or self.waiting:
            return
        self._waiter = self._budget.acquire(self._room, missing_bytes)
        if self._waiter is not None:
            self._waiter.add_done_callback(self._note_room)

    def add(self, part: bytes) -> None:
        """Adds a part."""
        self._parts.append(part)
        self.size_bytes += len(part)

    def take(self) -> tuple[list[bytes], body_budget.Room]:
        """Returns the parts of the complete body and the room for them.

        The caller must release the room. The reader is empty afterwards.
        """
        self._end_wait()
        unused_bytes = self._room.size_bytes - self.size_bytes
        if unused_bytes > 0:
            self._budget.release(self._room, unused_bytes)
        taken = self._parts, self._room
        self._parts = []
        self._room = body_budget.Room()
        self.size_bytes = 0
        return taken

    def clear(self) -> None:
        """Drops the body and releases its room."""
        self._end_wait()
        self._parts = []
        self.size_bytes = 0
        if self._room.size_bytes:
            self._budget.release(self._room, self._room.size_bytes)

    def _end_wait(self) -> None:
        if self._waiter is not None:
            self._waiter = None
            self._budget.withdraw(self._room)

    def _note_room(self, fut: asyncio.Future[None]) -> None:
        if fut is self._waiter:
            self._waiter = None
            self._on_room()
