"""Progress of an answer that arrives in several parts."""

import asyncio


class Progress:
    """Times at which parts of an answer have arrived.

    Attributes:
        first_s: Loop time of the first part in seconds; infinity before it.
        last_s: Loop time of the last part in seconds; minus infinity before
            the first one.
    """

    __slots__ = ('first_s', 'last_s')

    def __init__(self) -> None:
        self.first_s = float('inf')
        self.last_s = float('-inf')

    def note_part(self) -> None:
        """Notes that a part arrives now."""
        now_s = asyncio.get_running_loop().time()
        self.first_s = min(self.first_s, now_s)
        self.last_s = now_s
