"""Targets with their connections and what this host has seen of them."""

import asyncio
import collections

from ragwortchute import errors
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import http_client
from ragwortchute.gateway import model
from ragwortchute.gateway import pacing
from ragwortchute.gateway import pools

CONNECT_TIMEOUT_S = 0.5
# Round trips that are assumed before the first one was measured.
SAME_DOMAIN_S = 0.002
SAME_REGION_S = 0.004
OTHER_REGION_S = 0.028
_PATH_SMOOTHING = 0.2
_FAILURE_SMOOTHING = 0.25
# Failures in a row after which a target is left alone for a while.
OUT_AFTER = 3
OUT_S = 1.0
MAX_OUT_S = 4.0


class Target:
    """One incarnation of a target.

    Attributes:
        entry: What the store says of it.
        service: Its service, None while no configuration names it.
        same_domain: Whether it is in the failure domain of this host.
        same_region: Whether it is in the region of this host.
        reading: Last reading, None before the first one.
        failing: Smoothed share of failed answers, 0 to 1.
        pacer: Pace of requests while it is cold.
        misdirected: True once another incarnation answered at its address.
        path_s: Smoothed round trip of health requests.
        pool: Kept connections to it.
    """

    __slots__ = (
        '_dialect',
        '_failures',
        '_out_until_s',
        '_sent',
        'cold_until_s',
        'entry',
        'failing',
        'misdirected',
        'pacer',
        'path_s',
        'pool',
        'reading',
        'region',
        'same_domain',
        'same_region',
        'service',
    )

    def __init__(
        self,
        entry: model.TargetEntry,
        dialect: dialects.Dialect,
        region: str,
        *,
        same_domain: bool,
        same_region: bool,
    ) -> None:
        self.entry = entry
        self.service: model.Service | None = None
        self.region = region
        self.same_domain = same_domain
        self.same_region = same_region
        self.reading: dialects.Reading | None = None
        self.failing = 0.0
        self.pacer = pacing.ColdPacer()
        self.misdirected = False
        self.cold_until_s = 0.0
        self.path_s = OTHER_REGION_S
        if same_region:
            self.path_s = SAME_DOMAIN_S if same_domain else SAME_REGION_S
        self._dialect = dialect
        self.pool = pools.Pool(entry.ip, entry.port, CONNECT_TIMEOUT_S)
        self._sent: collections.deque[float] = collections.deque(maxlen=64)
        self._failures = 0
        self._out_until_s = 0.0

    def is_out(self, now_s: float) -> bool:
        """Tells whether it failed several times in a row just now."""
        return now_s < self._out_until_s

    def is_cold(self, now_s: float) -> bool:
        """Tells whether it is cold by its own words."""
        return now_s < self.cold_until_s

    def unseen(self, reading: dialects.Reading) -> int:
        """Returns requests that were sent after a reading was taken."""
        return sum(1 for sent_s in self._sent if sent_s >= reading.taken_s)

    def note_sent(self, now_s: float) -> None:
        """Counts a request that was sent."""
        self._sent.append(now_s)

    def note_reading(self, reading: dialects.Reading) -> None:
        """Keeps a reading unless a newer one is known."""
        if self.reading is None or reading.taken_s >= self.reading.taken_s:
            self.reading = reading
            if reading.cold_s > 0:
                self.cold_until_s = reading.taken_s + reading.cold_s

    def note_success(self) -> None:
        """Counts a proper answer."""
        self._failures = 0
        self.failing *= 1 - _FAILURE_SMOOTHING

    def note_failure(self, now_s: float, weight: float = 1.0) -> None:
        """Counts a failed request or health request.

        Args:
            now_s: Loop time.
            weight: How much it tells of the target, 0 to 1.
        """
        self.failing += (weight - self.failing) * _FAILURE_SMOOTHING
        self._failures += 1
        if self._failures >= OUT_AFTER:
            out_s = OUT_S * 2 ** min(4, self._failures - OUT_AFTER)
            self._out_until_s = now_s + min(MAX_OUT_S, out_s)

    async def probe(
        self,
    ) -> tuple[http_client.ClientConnection, dialects.Reading]:
        """Asks the target for its state; the connection is the caller's.

        Raises:
            TargetError: It can't be reached or is another incarnation.
        """
        loop = asyncio.get_running_loop()
        conn = await self.pool.take()
        taken_s = loop.time()
        path = self.service.health_path if self.service else '/'
        try:
            reply = await conn.send(
                self._dialect.encode_probe(path, self.entry),
                self._dialect.accept_probe(self.entry),
            )
        except BaseException:
            conn.abort()
            raise
        reading = self._dialect.reading(reply, self.entry, taken_s)
        if reading is None:
            conn.abort()
            self.misdirected = True
            raise errors.ConnectFailed(
                'another incarnation answered',
                step='probe',
                peer=self.entry.name,
            )
        elapsed_s = loop.time() - taken_s
        self.path_s += (elapsed_s - self.path_s) * _PATH_SMOOTHING
        self.note_reading(reading)
        return conn, reading
