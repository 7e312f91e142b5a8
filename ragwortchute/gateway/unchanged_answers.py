"""Revisions that the store has returned without any change.

The store may return no changes for a second, but the revision after them. A
revision without changes is relied on only if a later watch that starts before
it has not returned any either.
"""

import collections

CONFIRM_S = 3.0


class UnchangedAnswers:
    """Answers of the store without changes, the oldest first."""

    __slots__ = ('_answers',)

    def __init__(self) -> None:
        # Loop time in seconds and revision of each answer.
        self._answers: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def clear(self) -> None:
        """Forgets all answers, since there was a change."""
        self._answers.clear()

    def reliable_revision(
        self, now_s: float, revision: int, known_revision: int
    ) -> int:
        """Adds an answer and returns the revision that can be relied on.

        Args:
            now_s: Loop time in seconds.
            revision: Revision of the answer.
            known_revision: Revision that has been relied on so far.
        """
        self._answers.append((now_s, revision))
        reliable = known_revision
        while self._answers[0][0] <= now_s - CONFIRM_S:
            _, reliable = self._answers.popleft()
        return max(reliable, known_revision)
