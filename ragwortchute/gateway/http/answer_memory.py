"""Memory for long answers, divided evenly among those that are passed on.

Each long answer may hold the same share, which shrinks as there are more of
them. None waits for the memory of another, so that no caller or target can stop
the answers of others. Failures that are kept while their requests are tried
again take up to half of the memory.
"""

# Answers up to this length have no share.
SMALL_ANSWER_BYTES = 16 << 10
MIN_SHARE_BYTES = 16 << 10
MAX_SHARE_BYTES = 128 << 10
# An answer is read in parts of up to this length.
MAX_READ_BYTES = 64 << 10
# Share of the memory for failures that are kept.
KEPT_FRACTION = 0.5


class AnswerMemory:
    """Divides memory among long answers.

    Args:
        limit_bytes: Bytes that all of them and the kept failures may hold. Each
            long answer may hold `MIN_SHARE_BYTES` in any case.

    Attributes:
        shares: Number of long answers.
        kept_bytes: Bytes of failures that are kept.
    """

    __slots__ = ('_limit_bytes', 'kept_bytes', 'shares')

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.shares = 0
        self.kept_bytes = 0

    def keep(self, size_bytes: int) -> bool:
        """Reserves memory for a failure that is kept.

        Returns:
            Whether there was enough; `release` returns it.
        """
        if self.kept_bytes + size_bytes > self._limit_bytes * KEPT_FRACTION:
            return False
        self.kept_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Returns memory that `keep` has reserved."""
        self.kept_bytes -= size_bytes

    @property
    def share_bytes(self) -> int:
        """Bytes that each long answer may hold."""
        left_bytes = self._limit_bytes - self.kept_bytes
        share_bytes = left_bytes // max(1, self.shares)
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
