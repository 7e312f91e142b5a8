"""Room that is kept on targets for more urgent requests.

Load: a surge of less urgent requests. They would take the last slots and the
places in the queues of all targets, and a more urgent request would wait behind
them. Above the knee, a target also does less work per second than below it.
A less urgent request therefore only takes slots below the knee. The more
targets have no such slot, the more of them it leaves free.
"""

import math

from ragwortchute.gateway import dialect
from ragwortchute.gateway.selection import estimates

# Readings that the share of full targets is averaged over, and the time
# constant at which older ones lose weight at a host that gets few.
MEMORY_READINGS = 40
MEMORY_S = 3.0
# Share of targets without a slot below the knee from which requests of rank 1
# leave slots free: with seven probes in two rounds, 19 of 20 urgent requests
# find a slot then (0.05 ** (1 / 7)).
KEEP_FROM = 0.65
# The same where the probes of this host don't suffice for a second round.
KEEP_FROM_SHORT_OF_PROBES = 0.5
# With each further rank slots are left free from a share less by this.
KEEP_STEP = 0.1
MAX_STEPS = 4
# All slots but one are left free from this much above the share of rank 1.
KEEP_ALL_AFTER = 0.25
# With more targets without such a slot, hedges of urgent requests and of others
# are not sent: under overload a hedge takes a slot that another request needs.
HEDGE_BELOW = 0.5
LESS_URGENT_HEDGE_BELOW = 0.35
# Factor by which targets are slower above the knee, to weigh idle slots.
KNEE_FACTOR = 1.5
# Urgent requests compete with each other once almost no target has such a slot.
URGENT_SCARCE_FROM = 0.95


def knee_slots(slots: int) -> int:
    """Returns the number of requests up to which a target does most work.

    That is what it runs without slowing, unless the slots above the knee are
    worth more than they cost: of two slots, one would be left idle.
    """
    knee = max(1, int(slots * estimates.HIGH_OCCUPANCY + 1e-9))
    return knee if knee * KNEE_FACTOR >= slots else slots


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
        """Adds a reading; those of cold or unhealthy targets don't count.

        Such targets look free, but take hardly any request.
        """
        if not reading.slots or reading.cold_s > 0 or not reading.healthy:
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


def is_scarce(rank: int, full_share: float) -> bool:
    """Returns whether requests of a rank compete for room.

    Args:
        rank: How many priorities are more urgent.
        full_share: Share of targets without a slot below the knee.
    """
    return full_share >= (
        KEEP_FROM_SHORT_OF_PROBES if rank else URGENT_SCARCE_FROM
    )


def forbids_hedge(rank: int, full_share: float) -> bool:
    """Returns whether a hedge takes room that others need.

    Args:
        rank: How many priorities are more urgent.
        full_share: Share of targets without a slot below the knee.
    """
    return full_share >= (LESS_URGENT_HEDGE_BELOW if rank else HEDGE_BELOW)


class Limit:
    """Which targets have room for a request.

    Args:
        rank: How many priorities of the service are more urgent.
        is_hedge: Whether the request runs elsewhere already.

    Attributes:
        short_of_probes: Whether urgent requests can't probe twice.
        steps: Requests with fewer steps come first.
        strict: Whether it only goes to targets that have room; otherwise it
            prefers them.
        urgent: Whether no request is more urgent.
    """

    __slots__ = ('_keeps', 'short_of_probes', 'steps', 'strict', 'urgent')

    def __init__(self, rank: int, *, is_hedge: bool = False) -> None:
        self.steps = min(rank, MAX_STEPS)
        self.urgent = not rank and not is_hedge
        self.strict = not self.urgent
        self.short_of_probes = False
        self._keeps = rank > 0

    def precede(self) -> None:
        """Lets a kind that gets too little come before other kinds."""
        self.steps = 0

    def recede(self) -> None:
        """Puts a request behind those that are as urgent."""
        self.steps = min(self.steps + 1, MAX_STEPS)
        self.urgent = False
        self.strict = True
        self._keeps = True

    def kept(self, full_share: float) -> float:
        """Returns the share of the slots below the knee that it leaves free.

        Args:
            full_share: Share of targets without a slot below the knee.
        """
        if not self._keeps:
            return 0.0
        top = KEEP_FROM
        if self.short_of_probes:
            top = KEEP_FROM_SHORT_OF_PROBES
        start = top - KEEP_STEP * (self.steps - 1)
        kept = (full_share - start) / (top + KEEP_ALL_AFTER - start)
        return min(1.0, max(0.0, kept))

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
        usable = most - int(self.kept(full_share) * (most - 1) + draw)
        return occupied < max(1, usable)
