"""Which targets answer 5xx far more often than the others."""

from collections import abc
import statistics

WINDOW = 32
# With fewer answers a healthy target would be marked by chance: at 10 % of
# 5xx everywhere, 7 or more of 16 answers fail once in about 2,000 times.
MIN_ANSWERS = 16
# Difference of the share of 5xx to the median of the other targets.
FAILING_MARGIN = 0.3
RECOVERED_MARGIN = 0.15
_MASK = (1 << WINDOW) - 1


class RecentAnswers:
    """Counts the 5xx among the last answers of a target."""

    __slots__ = ('_answers', '_failures')

    def __init__(self) -> None:
        self._answers = 0
        # One bit per answer, the newest lowest.
        self._failures = 0

    def note(self, failed: bool) -> None:
        """Adds an answer."""
        self._failures = (self._failures << 1 | failed) & _MASK
        self._answers = min(WINDOW, self._answers + 1)

    def clear(self) -> None:
        """Forgets all answers."""
        self._answers = self._failures = 0

    @property
    def known(self) -> bool:
        """Whether there are enough answers for a share."""
        return self._answers >= MIN_ANSWERS

    def share(self) -> float:
        """Returns the share of 5xx; 0 with too few answers."""
        if not self.known:
            return 0.0
        return self._failures.bit_count() / self._answers


def is_failing(
    answers: RecentAnswers,
    others: abc.Iterable[RecentAnswers],
    *,
    failing: bool,
) -> bool:
    """Tells whether a target answers 5xx far more often than the others.

    Args:
        answers: Answers of the target.
        others: Answers of the other targets of its service.
        failing: Whether the target was failing until now.
    """
    share = answers.share()
    margin = RECOVERED_MARGIN if failing else FAILING_MARGIN
    if share < margin:
        return False
    shares = [other.share() for other in others if other.known]
    return bool(shares) and share - statistics.median(shares) >= margin
