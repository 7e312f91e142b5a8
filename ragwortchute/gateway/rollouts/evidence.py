"""Evidence on two versions: counters by host, version, route and target.

Hosts send cumulative counters. The difference to the last report of the same
incarnation of a host is added to the evidence, so lost reports are made up for
by later ones, and late or repeated ones change nothing.
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
# Cells that fit a datagram beside the other fields of a report.
MAX_CELLS = 70
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
        cells: The counters.
    """

    __slots__ = ('cells',)

    def __init__(self) -> None:
        self.cells: Cells = {}

    def note(
        self, key: CellKey, *, failed: bool, timed: bool, slow: bool
    ) -> None:
        """Counts a response or failure."""
        counts = self.cells.get(key)
        if counts is None:
            if len(self.cells) >= MAX_CELLS and key.target:
                # The report must fit a datagram.
                key = CellKey(key.canary, key.route, key.domain, 0)
            counts = self.cells.setdefault(key, Counts())
        counts.ended += 1
        counts.failed += failed
        counts.timed += timed
        counts.slow += timed and slow


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

    __slots__ = ('_latest', 'buckets')

    def __init__(self) -> None:
        self._latest: dict[tuple[str, int], tuple[int, Cells]] = {}
        self.buckets: list[Bucket] = []

    def merge(
        self,
        host: str,
        incarnation: int,
        sequence: int,
        data: bytes,
        age_s: float,
    ) -> bool:
        """Adds what a report says beyond earlier ones of the same host.

        Args:
            host: Name of the host.
            incarnation: Its incarnation, which began with counters of 0.
            sequence: Number of the report.
            data: Cumulative counters as encoded by `pack`.
            age_s: Age of the order in seconds.

        Returns:
            False if a later report is known already.
        """
        known_sequence, known = self._latest.get((host, incarnation), (-1, {}))
        if sequence <= known_sequence:
            return False
        cells = unpack(data)
        self._latest[host, incarnation] = (sequence, cells)
        bucket = self._bucket(age_s).cells
        for key, counts in cells.items():
            old = known.get(key)
            if old == counts:
                continue
            old = old or Counts()
            bucket.setdefault(key, Counts()).add(
                Counts(
                    max(0, counts.ended - old.ended),
                    max(0, counts.failed - old.failed),
                    max(0, counts.timed - old.timed),
                    max(0, counts.slow - old.slow),
                )
            )
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
