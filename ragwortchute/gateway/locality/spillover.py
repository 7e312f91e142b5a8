"""Share of the requests to a service that look outside their domain first.

The share follows what leaving is expected to save: the difference between the
occupancy of the targets of the own domain and that of the other domains of the
region, as time of a mean request, less the worth of a crossing. It is computed
by each host from the readings of its own probes.

Load: a hundred hosts that see the same congestion. They must not leave, find
the neighbour congested, and return in step. Occupancies are averaged, the
share moves gradually, small differences don't move it, and it starts at a
greater gain than the one at which it ends.
"""

import math

# Time constant at which readings lose weight, in seconds.
MEMORY_S = 1.0
# A reading takes at most this part of the weight of those before it, so that a
# few readings that are far apart do not replace each other.
MAX_DECAY = 1 / 8
# Below this occupancy, targets with free slots are found in the own domain.
FREE_OCCUPANCY = 0.6
# Readings count at most this, and so does a target that does not answer. A
# longer queue does not call for a greater share, and would hold the share up
# after the queue has become shorter.
MAX_OCCUPANCY = 1.25
# Gain, as a part of the time of a mean request, at which all requests look
# outside first.
FULL_GAIN = 0.6
# Spillover starts at this share, and ends at a share of 0.
START_SHARE = 0.1
# Time constant of the changes of the share, in seconds.
SHARE_LAG_S = 0.25
# A share that differs less from the wanted one is kept.
DEAD_BAND = 0.1
# A share that falls to 0 gradually would never reach it; below this, it is 0.
_END_SHARE = 0.02
# Readings of other domains that are older than this are not used, in seconds.
MAX_AGE_S = 60.0
# Weight of a request in the time of a mean request.
_WORK_SMOOTHING = 0.05


class Occupancy:
    """Mean occupancy of targets, 0 to `MAX_OCCUPANCY`.

    Attributes:
        updated_s: Loop time of the last reading, in seconds.
    """

    __slots__ = ('_sum', '_weight', 'updated_s')

    def __init__(self) -> None:
        self._sum = 0.0
        self._weight = 0.0
        self.updated_s = float('-inf')

    def note(self, occupancy: float, now_s: float) -> None:
        """Adds a reading."""
        decay = math.exp(min(0.0, self.updated_s - now_s) / MEMORY_S)
        decay = max(1 - MAX_DECAY, decay)
        occupancy = min(MAX_OCCUPANCY, occupancy)
        self._sum = self._sum * decay + occupancy
        self._weight = self._weight * decay + 1
        self.updated_s = max(self.updated_s, now_s)

    def mean(self) -> float:
        """Returns the mean, 0 before the first reading."""
        return self._sum / self._weight if self._weight else 0.0


class Spillover:
    """What a host knows of a service by domain, and its share.

    Attributes:
        own: Occupancy of the targets of the own domain.
        others: Occupancy by other domain of the region.
        share: Share of the requests that look outside first, 0 to 1.
        lost: Whether the targets of the own domain did not answer last.
    """

    __slots__ = ('_request_s', '_updated_s', 'lost', 'others', 'own', 'share')

    def __init__(self) -> None:
        self.own = Occupancy()
        self.others: dict[str, Occupancy] = {}
        self.share = 0.0
        self.lost = False
        self._request_s = 0.0
        self._updated_s = 0.0

    def note_own(self, occupancy: float, now_s: float) -> None:
        """Adds a reading of a target of the own domain."""
        if self.lost:
            # What was counted for missing answers says nothing any more.
            self.own = Occupancy()
            self.lost = False
        self.own.note(occupancy, now_s)

    def note_other(self, domain: str, occupancy: float, now_s: float) -> None:
        """Adds a reading of a target of another domain of the region."""
        known = self.others.get(domain)
        if known is None:
            known = self.others[domain] = Occupancy()
        known.note(occupancy, now_s)

    def note_lost(self) -> None:
        """Notes that several targets of the own domain have not answered."""
        self.lost = True
        self.share = 1.0

    def read_s(self) -> float:
        """Returns the loop time of the last reading of another domain."""
        return max(
            (known.updated_s for known in self.others.values()),
            default=float('-inf'),
        )

    def knows_others(self, now_s: float) -> bool:
        """Returns whether there are usable readings of other domains."""
        return now_s - self.read_s() < MAX_AGE_S

    def others_mean(self, now_s: float) -> float:
        """Returns the mean occupancy of the other domains."""
        means = [
            known.mean()
            for known in self.others.values()
            if now_s - known.updated_s < MAX_AGE_S
        ]
        return sum(means) / len(means) if means else 0.0

    def gain_s(self, now_s: float, worth_s: float) -> float:
        """Returns what leaving saves a request beyond its worth, in seconds."""
        elsewhere = max(FREE_OCCUPANCY, self.others_mean(now_s))
        return (self.own.mean() - elsewhere) * self._request_s - worth_s

    def update(self, now_s: float, request_s: float, worth_s: float) -> None:
        """Moves the share for the time that has passed.

        Args:
            now_s: Loop time in seconds.
            request_s: Time that a request takes at the mean slowness.
            worth_s: Worth of a crossing in seconds.
        """
        if not self._request_s:
            self._request_s = request_s
        self._request_s += (request_s - self._request_s) * _WORK_SMOOTHING
        passed_s = now_s - self._updated_s
        self._updated_s = now_s
        if self.lost:
            return
        wanted = self.gain_s(now_s, worth_s) / (self._request_s * FULL_GAIN)
        wanted = min(1.0, max(0.0, wanted))
        if not self.share and wanted < START_SHARE:
            return
        if wanted and abs(wanted - self.share) < DEAD_BAND:
            return
        moved = 1 - math.exp(-passed_s / SHARE_LAG_S)
        self.share += (wanted - self.share) * moved
        if not wanted and self.share < _END_SHARE:
            self.share = 0.0
