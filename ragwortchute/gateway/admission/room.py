"""Room that is kept on targets for more urgent requests.

Load: a surge of less urgent requests. They would take the last slots and the
places in the queues of all targets, and a more urgent request would wait behind
them. Above the knee, a target also does less work per second than below it.
A less urgent request therefore only takes slots below the knee. The more
targets have no such slot, the more of them it leaves free.
"""

import math

from ragwortchute.gateway import dialect
from ragwortchute.gateway import estimates

# Readings that the share of full targets is averaged over, and the time
# constant at which older ones lose weight at a host that gets few.
MEMORY_READINGS = 40
MEMORY_S = 3.0
# Share of targets without a slot below the knee from which a request of rank 1
# leaves slots free, and one of a higher rank.
KEEP_FROM = (0.55, 0.45)
# From this share on it leaves all slots but one.
KEEP_ALL_FROM = 0.9


def knee_slots(slots: int) -> int:
    """Returns the number of requests that a target runs without slowing."""
    return max(1, int(slots * estimates.HIGH_OCCUPANCY + 1e-9))


class Fullness:
    """Share of the targets of a service that have no slot below the knee.

    Each reading of a probe counts once. Hosts that see different readings
    differ by what these readings differ.
    """

    __slots__ = ('_full', '_updated_s', '_weight')

    def __init__(self) -> None:
        self._full = 0.0
        self._weight = 0.0
        self._updated_s = 0.0

    def note(self, reading: dialect.Reading) -> None:
        """Adds a reading."""
        if not reading.slots:
            return
        decay = math.exp(-(reading.taken_s - self._updated_s) / MEMORY_S)
        decay = min(1 - 1 / MEMORY_READINGS, decay)
        self._updated_s = max(self._updated_s, reading.taken_s)
        occupied = reading.running + reading.waiting
        full = occupied >= knee_slots(reading.slots)
        self._full = self._full * decay + full
        self._weight = self._weight * decay + 1

    def share(self) -> float:
        """Returns the share, 0 before the first reading."""
        return self._full / self._weight if self._weight else 0.0


class Limit:
    """Which targets have room for a request.

    Args:
        rank: How many priorities of the service are more urgent.

    Attributes:
        urgent: Whether none is. Such a request prefers targets with room and
            is also sent to others.
    """

    __slots__ = ('_rank', 'urgent')

    def __init__(self, rank: int) -> None:
        self._rank = rank
        self.urgent = not rank

    def allows(
        self, occupied: int, slots: int, full_share: float, draw: float
    ) -> bool:
        """Returns whether a target has room.

        Args:
            occupied: Requests that it runs, that wait there or are on the way.
            slots: Requests that it processes concurrently.
            full_share: Share of targets without a slot below the knee.
            draw: Number from 0 to 1, by which parts of slots are rounded. It is
                the same at all hosts, so that they keep the same slots free.
        """
        most = knee_slots(max(1, slots))
        if self.urgent:
            return occupied < most
        start = KEEP_FROM[min(self._rank, len(KEEP_FROM)) - 1]
        kept = (full_share - start) / (KEEP_ALL_FROM - start)
        kept = min(1.0, max(0.0, kept))
        usable = most - int(kept * (most - 1) + draw)
        return occupied < max(1, usable)
