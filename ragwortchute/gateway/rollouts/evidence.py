"""Evidence on two versions: counters by host, version, route and target.

Hosts send cumulative counters. What a counter is above the highest that the
same incarnation of a host has reported is added to the evidence, so lost
reports are made up for by later ones, and late or repeated ones add nothing
twice. A report holds the counters that have changed, and others in turn.
"""

import struct
import zlib

import msgspec

# Version flag, keys of route, failure domain and target, then four counters.
_CELL_FORMAT = struct.Struct('<BHHHHHHH')
_MAX_COUNT = 0xFFFF
# Targets of the canary version are counted in as many groups, by a hash of
# their names: a report on a hundred targets would be too long.
_TARGET_GROUPS = 8
# Cells that fit a datagram beside the other fields of a report. Once the canary
# version has so many, its further targets are counted together, not by group.
MAX_CELLS = 68
# Period within which the versions are compared with each other.
BUCKET_S = 0.5


class CellKey(msgspec.Struct, frozen=True, order=True):
    """What a counter belongs to.

    Attributes:
        canary: Whether the target runs the canary version.
        route: Key of the route.
        domain: Key of the failure domain of the target.
        target: Group of the target, 0 for targets of the old version.
    """

    canary: bool
    route: int
    domain: int
    target: int


class Counts(msgspec.Struct):
    """Counters of responses.

    Attributes:
        ended: Responses and failures.
        failed: Failures.
        timed: Responses whose duration can be compared.
        slow: Those that took several times as long as expected.
    """

    ended: int = 0
    failed: int = 0
    timed: int = 0
    slow: int = 0

    def add(self, other: 'Counts') -> None:
        """Adds other counters."""
        self.ended += other.ended
        self.failed += other.failed
        self.timed += other.timed
        self.slow += other.slow

    def raise_to(self, other: 'Counts') -> 'Counts':
        """Raises each counter to another one if that is higher.

        Returns:
            By how much each was raised.
        """
        added = Counts(
            max(0, other.ended - self.ended),
            max(0, other.failed - self.failed),
            max(0, other.timed - self.timed),
            max(0, other.slow - self.slow),
        )
        self.add(added)
        return added


Cells = dict[CellKey, Counts]


def key_of(name: str) -> int:
    """Returns the key of a route or failure domain."""
    return zlib.crc32(name.encode()) & _MAX_COUNT


def group_of(name: str) -> int:
    """Returns the group of a target of the canary version; never 0."""
    return 1 + zlib.crc32(name.encode()) % _TARGET_GROUPS


class Counters:
    """Cumulative counters of this host for one order.

    Attributes:
        cells: The counters, least recently reported ones first.
    """

    __slots__ = ('_canary_cells', '_changed', 'cells')

    def __init__(self) -> None:
        self.cells: Cells = {}
        self._canary_cells = 0
        # Counters that have changed since their last report, in this order.
        self._changed: dict[CellKey, None] = {}

    def note(
        self, key: CellKey, *, failed: bool, timed: bool, slow: bool
    ) -> None:
        """Counts a response or failure."""
        counts = self.cells.get(key)
        if counts is None:
            if self._canary_cells >= MAX_CELLS and key.target:
                key = CellKey(key.canary, key.route, key.domain, 0)
            if key not in self.cells:
                self._canary_cells += key.canary
            counts = self.cells.setdefault(key, Counts())
        self._changed[key] = None
        counts.ended += 1
        counts.failed += failed
        counts.timed += timed
        counts.slow += timed and slow

    def next_cells(self) -> Cells:
        """Returns the counters of the next report, at most `MAX_CELLS`.

        Those of the canary version come first.
        """
        canary = [key for key in self._changed if key.canary]
        others = [key for key in self._changed if not key.canary]
        chosen = dict.fromkeys([*canary, *others][:MAX_CELLS])
        for key in self.cells:
            if len(chosen) >= MAX_CELLS:
                break
            chosen[key] = None
        for key in chosen:
            self._changed.pop(key, None)
            self.cells[key] = self.cells.pop(key)
        return {key: self.cells[key] for key in chosen}


def pack(cells: Cells) -> bytes:
    """Encodes counters."""
    return b''.join(
        _CELL_FORMAT.pack(
            key.canary,
            key.route,
            key.domain,
            key.target,
            min(_MAX_COUNT, counts.ended),
            min(_MAX_COUNT, counts.failed),
            min(_MAX_COUNT, counts.timed),
            min(_MAX_COUNT, counts.slow),
        )
        for key, counts in cells.items()
    )


def unpack(data: bytes) -> Cells:
    """Decodes counters; an incomplete cell at the end is ignored."""
    complete_bytes = len(data) - len(data) % _CELL_FORMAT.size
    return {
        CellKey(bool(canary), route, domain, target): Counts(*counts)
        for canary, route, domain, target, *counts in _CELL_FORMAT.iter_unpack(
            data[:complete_bytes]
        )
    }


class Bucket(msgspec.Struct):
    """Responses that were reported within `BUCKET_S`.

    Attributes:
        start_s: Age of the order at its beginning, in seconds.
        cells: The counters.
    """

    start_s: float
    cells: Cells


class Evidence:
    """Evidence of all hosts for one order.

    Attributes:
        buckets: Responses in periods of `BUCKET_S`, in order of time.
    """

    __slots__ = ('_known', '_sequences', 'buckets')

    def __init__(self) -> None:
        self._sequences: dict[tuple[str, int], int] = {}
        # The highest counters that were reported.
        self._known: dict[tuple[str, int], Cells] = {}
        self.buckets: list[Bucket] = []

    def merge(
        self,
        host: str,
        incarnation: int,
        sequence: int,
        data: bytes,
        age_s: float,
    ) -> bool:
        """Adds what a report says beyond others of the same host.

        Args:
            host: Name of the host.
            incarnation: Its incarnation, which began with counters of 0.
            sequence: Number of the report.
            data: Cumulative counters as encoded by `pack`, not always all.
            age_s: Age of the order in seconds.

        Returns:
            False if a later report is known already.
        """
        known = self._known.setdefault((host, incarnation), {})
        bucket = self._bucket(age_s).cells
        for key, counts in unpack(data).items():
            highest = known.setdefault(key, Counts())
            added = highest.raise_to(counts)
            if added != Counts():
                bucket.setdefault(key, Counts()).add(added)
        if sequence <= self._sequences.get((host, incarnation), -1):
            return False
        self._sequences[host, incarnation] = sequence
        return True

    def total(self, *, canary: bool) -> Counts:
        """Returns the sum of the counters of a version."""
        total = Counts()
        for bucket in self.buckets:
            for key, counts in bucket.cells.items():
                if key.canary == canary:
                    total.add(counts)
        return total

    def _bucket(self, age_s: float) -> Bucket:
        start_s = age_s - age_s % BUCKET_S
        if not self.buckets or self.buckets[-1].start_s < start_s:
            self.buckets.append(Bucket(start_s, {}))
        return self.buckets[-1]
