"""Revisions that the store has returned without any change.

The store may return no changes for a second, but the revision after them. A
revision without changes is relied on only if a later watch that starts before
it has not returned any either.
"""

import collections

from ragwortchute import stores

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

    def reliable_answer(
        self, now_s: float, answer: stores.WatchAnswer, known_revision: int
    ) -> stores.WatchAnswer:
        """Returns an answer of the store with a revision that is reliable.

        Args:
            now_s: Loop time in seconds.
            answer: The answer; one with changes is returned as it is.
            known_revision: Revision that has been relied on so far.
        """
        if answer.objects or answer.removed:
            self.clear()
            return answer
        return stores.WatchAnswer(
            self.reliable_revision(now_s, answer.revision, known_revision)
        )

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
