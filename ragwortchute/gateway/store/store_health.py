"""Availability of the store, as seen by a host."""

import asyncio

from ragwortchute import errors
from ragwortchute.gateway import eventlog

# How long expired entries are kept after an outage. Their owners write them
# again within 2 s after the store is back.
REMOVAL_DELAY_S = 2.2
# Shorter failures are lost connections, during which no entries expire.
MIN_OUTAGE_S = 1.0


class StoreHealth:
    """Availability of the store, as seen by this host.

    Attributes:
        down: Whether the last call failed.
        recovered_s: Loop time of the first successful call after the last
            outage.
    """

    __slots__ = (
        '_log',
        '_loop',
        '_outage_s',
        '_outage_started_s',
        'down',
        'recovered_s',
    )

    def __init__(self, log: eventlog.EventLog) -> None:
        self._log = log
        self._loop = asyncio.get_running_loop()
        self.down = False
        self.recovered_s = float('-inf')
        self._outage_started_s = 0.0
        self._outage_s = 0.0

    def removal_delay_left_s(self) -> float:
        """Returns for how many seconds removals are still to be deferred."""
        if self._outage_s < MIN_OUTAGE_S:
            return 0.0
        return max(0.0, self.recovered_s + REMOVAL_DELAY_S - self._loop.time())

    def record_failure(self, exc: errors.StoreError) -> None:
        """Records a failed call."""
        if not self.down:
            self._log.event('store-lost', error=str(exc))
            self._outage_started_s = self._loop.time()
        self.down = True

    def record_success(self) -> None:
        """Records a successful call."""
        if self.down:
            self.recovered_s = self._loop.time()
            self._outage_s = self.recovered_s - self._outage_started_s
            self._log.event('store-regained', outage_s=round(self._outage_s, 2))
        self.down = False
