"""Exchange of failures of targets between the hosts of a region.

Load: some targets reject or fail part of their requests while their health
checks are good. Where hundreds of hosts share the traffic, each sends too few
requests to a target to learn of that in time, and the retry budget is spent on
targets that other hosts know to fail. Each host therefore reports the failures
that it sees, and passes on the reports that it receives, in batches to a few
random hosts.
"""

import collections
from collections import abc
import random
import struct
import zlib

# Interval of the batches of a host.
BATCH_INTERVAL_S = 0.25
# Hosts that get each batch.
RECEIVERS = 2
# Reports in a batch; later ones are dropped, as they would be outdated.
MAX_REPORTS = 24
MAX_KNOWN_REPORTS = 4096
# Identity of the report, key of the target, weight of the failure in 1/255.
_REPORT_FORMAT = struct.Struct('<IIB')
_MAX_WEIGHT = 255

# Called with the key of a target, the weight of a failure from 0 to 1 and the
# loop time in seconds.
FailureCallback = abc.Callable[[int, float, float], None]


class FailureReports:
    """Collects the failures of targets and passes on those of other hosts.

    Args:
        rng: Source of randomness.
        on_failure: Called with each failure that another host reports.
    """

    __slots__ = ('_known', '_on_failure', '_own', '_pending', '_rng')

    def __init__(self, rng: random.Random, on_failure: FailureCallback) -> None:
        self._rng = rng
        self._on_failure = on_failure
        self._own: dict[int, float] = {}
        self._pending: list[bytes] = []
        self._known: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def note_failure(self, target: str, weight: float) -> None:
        """Notes a failure that this host has seen.

        Of several failures of a target in a batch interval, the greatest
        counts.

        Args:
            target: Name of the target.
            weight: Share of a full failure that it counts as, 0 to 1.
        """
        key = target_key(target)
        self._own[key] = max(weight, self._own.get(key, 0.0))

    def take_batch(self) -> bytes:
        """Returns the reports to send now, empty if there are none."""
        own, self._own = self._own, {}
        pending, self._pending = self._pending, []
        for key, weight in own.items():
            report_id = self._rng.getrandbits(32)
            self._remember(report_id)
            pending.append(
                _REPORT_FORMAT.pack(report_id, key, round(weight * _MAX_WEIGHT))
            )
        # Own reports are the newest and come first.
        return b''.join(pending[: -MAX_REPORTS - 1 : -1])

    def handle_batch(self, batch: bytes, now_s: float) -> None:
        """Handles the reports of another host.

        Args:
            batch: Reports as encoded by `take_batch`; an incomplete one at the
                end is ignored.
            now_s: Loop time in seconds.
        """
        size = _REPORT_FORMAT.size
        for start in range(0, len(batch) - size + 1, size):
            report = batch[start : start + size]
            report_id, key, weight = _REPORT_FORMAT.unpack(report)
            if report_id in self._known:
                continue
            self._remember(report_id)
            self._pending.append(report)
            self._on_failure(key, weight / _MAX_WEIGHT, now_s)

    def _remember(self, report_id: int) -> None:
        self._known[report_id] = None
        if len(self._known) > MAX_KNOWN_REPORTS:
            self._known.popitem(last=False)


def target_key(target: str) -> int:
    """Returns a hash of the name of a target."""
    return zlib.crc32(target.encode())
