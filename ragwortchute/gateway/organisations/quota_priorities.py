"""Which requests of an organisation that is over its quota go first.

Load: an organisation sends more than its quota allows, and its routes have
different priorities. The share of its requests that may be admitted is given to
the most urgent routes first. Each priority keeps a part of that share, so that
no kind of request starves.
"""

import math

import msgspec

# The share of the requests of each priority that are admitted is at least this
# part of the share over all priorities.
MIN_PART = 0.25
# Time constant of the counts of requests by priority, in seconds.
MEMORY_S = 8.0
# Counts below this one are dropped.
_MIN_COUNT = 0.01


class Portion(msgspec.Struct, frozen=True):
    """What the requests of one priority get, as shares.

    Attributes:
        admitted: Share of the requests of this priority that are admitted.
        refused_before: Refused requests of more urgent priorities, as a share
            of all requests.
        refused: Refused requests of this priority, as a share of all.
    """

    admitted: float
    refused_before: float
    refused: float


class PriorityMix:
    """Recent requests of an organisation at this host, by priority."""

    __slots__ = ('_counts', '_noted_s')

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._noted_s = 0.0

    def note(self, priority: int, now_s: float) -> None:
        """Counts a request.

        Args:
            priority: Priority of its route; 0 is the most urgent.
            now_s: Loop time in seconds.
        """
        decay = math.exp(min(0.0, self._noted_s - now_s) / MEMORY_S)
        self._noted_s = now_s
        self._counts = {
            item: count * decay
            for item, count in self._counts.items()
            if count * decay >= _MIN_COUNT
        }
        self._counts[priority] = self._counts.get(priority, 0.0) + 1.0

    def portion(self, priority: int, admit_fraction: float) -> Portion:
        """Returns what requests of a priority get.

        Over all priorities, the admitted requests add up to `admit_fraction`.

        Args:
            priority: Priority of the route; 0 is the most urgent.
            admit_fraction: Share of all requests that may be admitted.
        """
        total = sum(self._counts.values())
        if not total:
            return Portion(admit_fraction, 0.0, 1.0 - admit_fraction)
        # The share `least` of each priority is admitted. What is left of the
        # admitted share is given to the most urgent priorities first.
        least = MIN_PART * admit_fraction
        left = admit_fraction - least
        refused_before = 0.0
        for item in sorted(self._counts):
            if item >= priority:
                break
            share = self._counts[item] / total
            extra = min(left, share * (1.0 - least))
            left -= extra
            refused_before += share * (1.0 - least) - extra
        share = self._counts.get(priority, 0.0) / total
        extra = min(left, share * (1.0 - least))
        if not share:
            # There was no such request lately, so that any room is enough.
            admitted = 1.0 if left > 0 else least
        else:
            admitted = least + extra / share
        return Portion(admitted, refused_before, share * (1.0 - least) - extra)
