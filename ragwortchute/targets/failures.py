"""Detection of targets that answer 5xx far more often than the others."""

from collections import abc
import statistics

WINDOW_ANSWERS = 32
# With fewer answers, healthy targets would be marked by chance. If all targets
# answer 10 % 5xx, 7 or more of 16 answers fail once in about 2,000 times.
MIN_ANSWERS = 16
# A target is marked as failing, or no longer marked, depending on how much its
# ratio of 5xx exceeds the median of the other targets.
FAILING_MARGIN = 0.3
RECOVERED_MARGIN = 0.15
_MASK = (1 << WINDOW_ANSWERS) - 1


class RecentAnswers:
    """Counts the 5xx among the last `WINDOW_ANSWERS` answers of a target."""

    __slots__ = ('_answers', '_failure_bits')

    def __init__(self) -> None:
        self._answers = 0
        # One bit per answer; the lowest bit is the newest answer.
        self._failure_bits = 0

    def note(self, failed: bool) -> None:
        """Adds an answer.

        Args:
            failed: Whether the answer was a 5xx.
        """
        self._failure_bits = (self._failure_bits << 1 | failed) & _MASK
        self._answers = min(WINDOW_ANSWERS, self._answers + 1)

    def clear(self) -> None:
        """Removes all answers."""
        self._answers = self._failure_bits = 0

    @property
    def sufficient(self) -> bool:
        """Whether there are enough answers to compute the ratio."""
        return self._answers >= MIN_ANSWERS

    def failure_ratio(self) -> float:
        """Returns the ratio of 5xx to answers; 0 with too few answers."""
        if not self.sufficient:
            return 0.0
        return self._failure_bits.bit_count() / self._answers


def is_failing(
    answers: RecentAnswers,
    others: abc.Iterable[RecentAnswers],
    *,
    failing: bool,
) -> bool:
    """Returns whether a target answers 5xx far more often than the others.

    Args:
        answers: Answers of the target.
        others: Answers of the other targets of its service.
        failing: Whether the target is marked as failing; then the lower margin
            applies, so that the mark does not change back and forth.
    """
    ratio = answers.failure_ratio()
    margin = RECOVERED_MARGIN if failing else FAILING_MARGIN
    if ratio < margin:
        return False
    ratios = [other.failure_ratio() for other in others if other.sufficient]
    return bool(ratios) and ratio - statistics.median(ratios) >= margin
