"""Memory for long answers, divided evenly among those that are passed on.

Each long answer may hold the same share, which shrinks as there are more of
them. None waits for the memory of another, so that no caller or target can stop
the answers of others.
"""

# Answers up to this length have no share.
SMALL_ANSWER_BYTES = 16 << 10
MIN_SHARE_BYTES = 16 << 10
MAX_SHARE_BYTES = 128 << 10
# An answer is read in parts of up to this length.
MAX_READ_BYTES = 64 << 10


class AnswerMemory:
    """Divides memory among long answers.

    Args:
        limit_bytes: Bytes that all of them may hold. Each may hold
            `MIN_SHARE_BYTES` in any case.

    Attributes:
        shares: Number of long answers.
    """

    __slots__ = ('_limit_bytes', 'shares')

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.shares = 0

    @property
    def share_bytes(self) -> int:
        """Bytes that each long answer may hold."""
        share_bytes = self._limit_bytes // max(1, self.shares)
        return min(MAX_SHARE_BYTES, max(MIN_SHARE_BYTES, share_bytes))


class Share:
    """Memory of one long answer.

    Half of it is for a part that has just been read, half for what the caller
    has not taken yet.

    Args:
        memory: Memory for all long answers.
    """

    __slots__ = ('_memory',)

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory: AnswerMemory | None = memory
        memory.shares += 1

    @property
    def half_bytes(self) -> int:
        """Half of the share in bytes."""
        if self._memory is None:
            return MIN_SHARE_BYTES // 2
        return self._memory.share_bytes // 2

    def end(self) -> None:
        """Returns the share; a second call has no effect."""
        memory, self._memory = self._memory, None
        if memory is not None:
            memory.shares -= 1
